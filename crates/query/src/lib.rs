//! The SQL subset for operators: parsing, validation, query evaluation and configuration changes.
//!
//! [`parse`] turns text into a typed [`Statement`], or an error that says what to write instead.
//! [`evaluate`] runs a [`SelectQuery`] over a [`TableSource`]. [`resolve`] merges a
//! [`ChangeRequest`] into the current configuration and returns complete records.
//! The crate does no I/O.
//! `docs/OPERATOR-LANGUAGE.md` documents the language for operators.

mod change;
mod error;
mod evaluate;
mod like;
mod nearest;
mod parse;
mod resolve;
mod schema;
mod statement;
mod value;

pub use change::{
    ChangeRequest, Edit, ModelPatch, ObjectChange, PinPatch, PriorityPatch, ServiceKindName,
    ServicePatch, TenantPatch,
};
pub use error::QueryError;
pub use evaluate::{Row, TableSource, evaluate};
pub use parse::{MAXIMUM_NESTING, MAXIMUM_STATEMENT_BYTES, MAXIMUM_STATEMENT_TOKENS, parse};
pub use resolve::{RecordChange, resolve};
pub use schema::{Access, Column, ColumnType, Table, schema};
pub use statement::{
    ColumnReference, Comparison, Condition, Direction, Ordering, Output, SelectQuery, SortKey,
    Statement,
};
pub use value::{ResultSet, Value};
