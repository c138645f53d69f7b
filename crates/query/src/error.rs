//! Errors of statements, with the remedy in each message.

use ponddrift_core::identifiers::InvalidName;

use crate::change::ServiceKindName;
use crate::schema::{ColumnType, Table};
use crate::value::Value;

/// Reason why a statement was rejected. Messages say how to fix it.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum QueryError {
    /// The text exceeds the length limit.
    #[error("the statement has {length} bytes: write at most {limit}")]
    TooLong {
        /// Length of the text in bytes.
        length: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The statement has too many tokens, not counting whitespace.
    #[error("the statement has {tokens} tokens: write at most {limit}")]
    TooManyTokens {
        /// Number of tokens.
        tokens: usize,
        /// Maximum permitted value.
        limit: usize,
    },
    /// Parentheses or NOT are nested too deeply.
    #[error("the statement is nested more than {limit} deep: use fewer parentheses")]
    TooDeep {
        /// Maximum permitted value.
        limit: usize,
    },
    /// The text contains no statement.
    #[error("the statement is empty: write for example SELECT * FROM services")]
    Empty,
    /// The text could not be parsed as SQL.
    #[error(
        "this is not a statement of the language: {message}; write SELECT, INSERT INTO, UPDATE or DELETE FROM"
    )]
    Syntax {
        /// Message of the parser.
        message: String,
    },
    /// The text contains more than one statement.
    #[error(
        "the text holds {count} statements: send them one by one, since each is accepted or refused whole"
    )]
    SeveralStatements {
        /// Number of statements.
        count: usize,
    },
    /// The statement uses SQL outside of the supported subset.
    #[error("{found} is not part of the language: {instead}")]
    Unsupported {
        /// The unsupported construct.
        found: String,
        /// What to write instead.
        instead: &'static str,
    },
    /// The table does not exist.
    #[error("there is no table {name:?}{}: the tables are {}", suggestion(.nearest), Table::names())]
    UnknownTable {
        /// Name in the statement.
        name: String,
        /// Most similar existing name, if any is close enough.
        nearest: Option<&'static str>,
    },
    /// The table has no such column.
    #[error("table {table} has no column {name:?}{}: its columns are {}", suggestion(.nearest), .table.column_names())]
    UnknownColumn {
        /// Table that the statement names.
        table: Table,
        /// Name in the statement.
        name: String,
        /// Most similar existing name, if any is close enough.
        nearest: Option<&'static str>,
    },
    /// The table is read-only.
    #[error(
        "table {table} shows state and cannot be changed: change one of {}",
        Table::writable_table_names()
    )]
    ReadOnlyTable {
        /// Table that the statement names.
        table: Table,
    },
    /// The column is read-only, or is the key of an `UPDATE`.
    #[error(
        "column {column} of {table} cannot be set: leave it out; a row gets another key by INSERT and DELETE"
    )]
    ReadOnlyColumn {
        /// Table that the statement names.
        table: Table,
        /// Name of the column.
        column: &'static str,
    },
    /// A column is set more than once.
    #[error("column {column} of {table} is set twice: set it once")]
    RepeatedColumn {
        /// Table that the statement names.
        table: Table,
        /// Name of the column.
        column: &'static str,
    },
    /// The value does not have the column's type.
    #[error("column {column} holds {expected}, not {found}: write {}", .expected.example())]
    WrongType {
        /// Name of the column.
        column: &'static str,
        /// The column's type.
        expected: ColumnType,
        /// Value in the statement.
        found: Value,
    },
    /// The number is outside of the column's range.
    #[error("{found} is out of range for column {column}: write a number from 0 to {maximum}")]
    OutOfRange {
        /// Name of the column.
        column: &'static str,
        /// Number in the statement.
        found: Value,
        /// Largest permitted number.
        maximum: i64,
    },
    /// The text is not one of the column's permitted values.
    #[error("column {column} cannot be {found:?}: write one of {allowed}")]
    UnknownValue {
        /// Name of the column.
        column: &'static str,
        /// Text in the statement.
        found: String,
        /// Permitted values, as a list for the message.
        allowed: &'static str,
    },
    /// The name is not valid.
    #[error(transparent)]
    InvalidName(#[from] InvalidName),
    /// A comparison with NULL, which is never true.
    #[error(
        "comparing {column} with NULL is never true: write {column} IS NULL or {column} IS NOT NULL"
    )]
    ComparisonWithNull {
        /// Name of the column.
        column: &'static str,
    },
    /// The number of `VALUES` differs from the number of columns.
    #[error(
        "{columns} columns are named and {values} values given: write one value for each column"
    )]
    ValueCount {
        /// Number of columns.
        columns: usize,
        /// Number of values.
        values: usize,
    },
    /// The `WHERE` of a change does not select exactly one row by its key.
    #[error(
        "a change of {table} names its one row: write WHERE {key} = …, and AND revision = … to make it conditional"
    )]
    KeyMissing {
        /// Table that the statement names.
        table: Table,
        /// Name of the key column.
        key: &'static str,
    },
    /// A required column has no value.
    #[error("a new row of {table} needs column {column}: add it to the INSERT")]
    MissingColumn {
        /// Table that the statement names.
        table: Table,
        /// Name of the column.
        column: &'static str,
    },
    /// The column does not apply to the service's kind.
    #[error("a service of kind {kind} has no {column}: leave it out, or set kind as well")]
    ColumnOfOtherKind {
        /// The service's kind after the change.
        kind: ServiceKindName,
        /// Name of the column.
        column: &'static str,
    },
    /// A grouped query selects or sorts by something other than the group and the count.
    #[error(
        "column {column} is not what the rows are grouped by: select and sort by the GROUP BY column and COUNT(*) only"
    )]
    NotGrouped {
        /// Name of the column.
        column: &'static str,
    },
    /// The row to insert already exists.
    #[error("{table} already has {key}: use UPDATE {table} SET … WHERE {} = {key}", .table.key_name())]
    AlreadyExists {
        /// Table that the statement names.
        table: Table,
        /// Key of the row.
        key: String,
    },
    /// The row to update or delete does not exist.
    #[error("{table} has no {key}: look with SELECT * FROM {table}, or use INSERT")]
    NotFound {
        /// Table that the statement names.
        table: Table,
        /// Key of the row.
        key: String,
    },
    /// The rows of the table are temporarily unavailable.
    #[error("the rows of {table} cannot be read now: {reason}; ask again, or ask another daemon")]
    Unavailable {
        /// Table that the statement names.
        table: Table,
        /// Cause of the failure.
        reason: String,
    },
}

fn suggestion(nearest: &Option<&'static str>) -> String {
    nearest.map_or_else(String::new, |name| format!(", did you mean {name}?"))
}
