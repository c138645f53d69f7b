//! Typed statements and their parts.

use crate::change::ChangeRequest;
use crate::schema::{Column, Table};
use crate::value::Value;

/// A validated statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// A `SELECT`.
    Select(SelectQuery),
    /// An `INSERT`, `UPDATE` or `DELETE`.
    Change(ChangeRequest),
}

/// A column of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColumnReference {
    /// Index in [`Table::columns`].
    pub index: usize,
    /// Definition of the column.
    pub column: &'static Column,
}

impl ColumnReference {
    pub(crate) fn find(table: Table, name: &str) -> Result<Self, crate::QueryError> {
        let index = table.find_column(name)?;
        Ok(Self {
            index,
            column: &table.columns()[index],
        })
    }
}

/// A column of the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// A column of the table.
    Column(ColumnReference),
    /// `COUNT(*)`, named `count` in the result.
    Count,
}

/// A comparison operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `<>`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
}

impl Comparison {
    /// Returns the operator that gives the same result with left and right operand swapped.
    pub(crate) const fn with_swapped_operands(self) -> Self {
        match self {
            Self::Equal => Self::Equal,
            Self::NotEqual => Self::NotEqual,
            Self::Less => Self::Greater,
            Self::LessOrEqual => Self::GreaterOrEqual,
            Self::Greater => Self::Less,
            Self::GreaterOrEqual => Self::LessOrEqual,
        }
    }

    pub(crate) const fn holds(self, ordering: std::cmp::Ordering) -> bool {
        match self {
            Self::Equal => ordering.is_eq(),
            Self::NotEqual => ordering.is_ne(),
            Self::Less => ordering.is_lt(),
            Self::LessOrEqual => ordering.is_le(),
            Self::Greater => ordering.is_gt(),
            Self::GreaterOrEqual => ordering.is_ge(),
        }
    }
}

/// A condition of `WHERE`. As in SQL, it is true, false or unknown; comparing NULL gives unknown.
#[derive(Debug, Clone, PartialEq)]
pub enum Condition {
    /// `AND`
    All(Vec<Condition>),
    /// `OR`
    Any(Vec<Condition>),
    /// `NOT`
    Not(Box<Condition>),
    /// A column compared with a literal.
    Compare {
        /// Column on the left side.
        column: ColumnReference,
        /// Operator.
        comparison: Comparison,
        /// Literal on the right side.
        value: Value,
    },
    /// `IN`
    In {
        /// Column on the left side.
        column: ColumnReference,
        /// Literals, none of which is NULL.
        values: Vec<Value>,
    },
    /// `LIKE`
    Like {
        /// Column on the left side.
        column: ColumnReference,
        /// Pattern: `%` matches any text, `_` one character.
        pattern: String,
    },
    /// `IS NULL`
    IsNull(ColumnReference),
}

/// Sort direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// `ASC`; NULL first.
    Ascending,
    /// `DESC`; NULL last.
    Descending,
}

/// What rows are sorted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SortKey {
    /// A column, whether it is selected or not.
    Column(ColumnReference),
    /// `COUNT(*)` of the group.
    Count,
}

/// One key of `ORDER BY`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ordering {
    /// What to sort by.
    pub key: SortKey,
    /// Ascending or descending.
    pub direction: Direction,
}

/// A `SELECT` query over one table.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectQuery {
    /// Table in `FROM`.
    pub table: Table,
    /// Columns of the result.
    pub outputs: Vec<Output>,
    /// Condition in `WHERE`.
    pub filter: Option<Condition>,
    /// Column in `GROUP BY`.
    pub group_by: Option<ColumnReference>,
    /// Sort keys, most significant first.
    pub order_by: Vec<Ordering>,
    /// Maximum number of rows in the result.
    pub limit: Option<usize>,
}

impl SelectQuery {
    /// Whether the query groups or counts rows.
    #[must_use]
    pub fn is_grouped(&self) -> bool {
        self.group_by.is_some() || self.outputs.contains(&Output::Count)
    }
}
