//! Column values and query results.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

/// A column value. Serialized as the bare JSON value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// The value is unknown, or the column does not apply to the row.
    Null,
    /// `true` or `false`.
    Boolean(bool),
    /// A 64-bit signed integer.
    Integer(i64),
    /// A 64-bit floating-point number.
    Real(f64),
    /// A string.
    Text(String),
}

impl Value {
    /// Compares values as in `WHERE`; `None` if either is NULL or the types are not comparable.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Boolean(left), Self::Boolean(right)) => Some(left.cmp(right)),
            (Self::Integer(left), Self::Integer(right)) => Some(left.cmp(right)),
            (Self::Text(left), Self::Text(right)) => Some(left.cmp(right)),
            (left, right) => left.as_real()?.partial_cmp(&right.as_real()?),
        }
    }

    /// Compares values as in `ORDER BY`: a total order of NULL, booleans, numbers, then text.
    #[must_use]
    pub fn sort_order(&self, other: &Self) -> Ordering {
        if let (Some(left), Some(right)) = (self.as_real(), other.as_real()) {
            // Different large integers may convert to the same `f64`: compare them exactly too.
            let by_size = left.total_cmp(&right);
            return by_size.then_with(|| self.as_integer().cmp(&other.as_integer()));
        }
        let by_rank = self.sort_rank().cmp(&other.sort_rank());
        by_rank.then_with(|| self.compare(other).unwrap_or(Ordering::Equal))
    }

    const fn as_integer(&self) -> Option<i64> {
        match self {
            Self::Integer(number) => Some(*number),
            _ => None,
        }
    }

    const fn sort_rank(&self) -> u8 {
        match self {
            Self::Null => 0,
            Self::Boolean(_) => 1,
            Self::Integer(_) | Self::Real(_) => 2,
            Self::Text(_) => 3,
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "integers and reals are compared as f64"
    )]
    const fn as_real(&self) -> Option<f64> {
        match self {
            Self::Integer(number) => Some(*number as f64),
            Self::Real(number) => Some(*number),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => formatter.write_str("NULL"),
            Self::Boolean(value) => write!(formatter, "{value}"),
            Self::Integer(number) => write!(formatter, "{number}"),
            Self::Real(number) => write!(formatter, "{number}"),
            Self::Text(text) => formatter.write_str(text),
        }
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self::Boolean(value)
    }
}

impl From<f64> for Value {
    fn from(number: f64) -> Self {
        Self::Real(number)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Integer(i64::from(number))
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Integer(i64::try_from(number).unwrap_or(i64::MAX))
    }
}

impl<T: Into<Self>> From<Option<T>> for Value {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Null, Into::into)
    }
}

/// The result of a `SELECT`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ResultSet {
    /// Column names.
    pub columns: Vec<String>,
    /// Rows, each with one value per column.
    pub rows: Vec<Vec<Value>>,
}
