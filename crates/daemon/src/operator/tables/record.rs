//! Builds table rows by column name.

use ponddrift_query::{Row, Table, Value};

/// A row builder; columns that are not set are NULL.
pub(super) struct RowBuilder {
    table: Table,
    row: Row,
}

impl RowBuilder {
    pub(super) fn new(table: Table) -> Self {
        Self {
            table,
            row: vec![Value::Null; table.columns().len()],
        }
    }

    /// Sets a column. Logs an error if the table has no such column, which is a bug in this crate.
    pub(super) fn set(mut self, column: &str, value: impl Into<Value>) -> Self {
        match self.table.find_column(column) {
            Ok(index) => self.row[index] = value.into(),
            Err(error) => tracing::error!(%error, "unknown column in an operator table row"),
        }
        self
    }

    pub(super) fn finish(self) -> Row {
        self.row
    }
}

/// Converts a count to a table value.
pub(super) fn count(number: usize) -> Value {
    Value::from(u64::try_from(number).unwrap_or(u64::MAX))
}

/// Converts a duration to a table value in milliseconds.
pub(super) fn milliseconds(duration: std::time::Duration) -> Value {
    Value::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
