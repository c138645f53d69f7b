//! Schema of the operator language: tables and their columns.

mod columns;

use std::fmt;
use std::fmt::Write as _;

use crate::error::QueryError;
use crate::nearest::nearest;

/// Type of a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// A string.
    Text,
    /// A 64-bit signed integer.
    Integer,
    /// A 64-bit floating-point number.
    Real,
    /// `true` or `false`.
    Boolean,
}

impl ColumnType {
    pub(crate) const fn example(self) -> &'static str {
        match self {
            Self::Text => "text in single quotes, like 'reconcile'",
            Self::Integer => "a whole number without quotes, like 7",
            Self::Real => "a number without quotes, like 0.5",
            Self::Boolean => "true or false without quotes",
        }
    }
}

impl fmt::Display for ColumnType {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Text => "text",
            Self::Integer => "integer",
            Self::Real => "real",
            Self::Boolean => "boolean",
        })
    }
}

/// How a change may use a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Identifies the row: set by `INSERT`, compared in the `WHERE` of a change.
    Key,
    /// Can be set by `INSERT` and `UPDATE`.
    Writable {
        /// Largest number that can be set; ignored for other types.
        maximum: i64,
    },
    /// Cannot be set.
    ReadOnly,
}

/// A column of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Column {
    /// Name in statements and results.
    pub name: &'static str,
    /// Type of its values.
    pub column_type: ColumnType,
    /// How a change may use it.
    pub access: Access,
    /// Meaning and unit, for the help text.
    pub description: &'static str,
}

/// A table of the operator language.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// Services.
    Services,
    /// Models.
    Models,
    /// Adapters.
    Adapters,
    /// Model engines.
    Engines,
    /// Plain back ends.
    BackEnds,
    /// Daemons.
    Daemons,
    /// Cells of engines.
    Cells,
    /// Recent decisions and their reasons.
    Decisions,
    /// Running and waiting requests.
    Requests,
    /// Configuration revision in force at each daemon.
    Configuration,
    /// Tenants.
    Tenants,
    /// Priority classes.
    Priorities,
    /// Engines pinned to a role.
    Pins,
}

impl Table {
    /// All tables, in the order of the help text.
    pub const ALL: [Self; 13] = [
        Self::Services,
        Self::Models,
        Self::Adapters,
        Self::Engines,
        Self::BackEnds,
        Self::Daemons,
        Self::Cells,
        Self::Decisions,
        Self::Requests,
        Self::Configuration,
        Self::Tenants,
        Self::Priorities,
        Self::Pins,
    ];

    /// Returns the name used in statements.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Services => "services",
            Self::Models => "models",
            Self::Adapters => "adapters",
            Self::Engines => "engines",
            Self::BackEnds => "back_ends",
            Self::Daemons => "daemons",
            Self::Cells => "cells",
            Self::Decisions => "decisions",
            Self::Requests => "requests",
            Self::Configuration => "configuration",
            Self::Tenants => "tenants",
            Self::Priorities => "priorities",
            Self::Pins => "pins",
        }
    }

    /// Returns a description of its rows, for the help text.
    #[must_use]
    pub const fn description(self) -> &'static str {
        match self {
            Self::Services => "services that callers name in their requests",
            Self::Models => "models that engines load",
            Self::Adapters => "adapters that services put on top of a model",
            Self::Engines => "model engines: what each does now, and why",
            Self::BackEnds => "plain back ends",
            Self::Daemons => "daemons, as the answering one sees them",
            Self::Cells => "cells of engines and their controllers",
            Self::Decisions => "recent decisions of all live daemons, with their reasons",
            Self::Requests => "requests that run or wait at the answering daemon",
            Self::Configuration => "the configuration in force at each daemon",
            Self::Tenants => "tenants and their limits",
            Self::Priorities => "priority classes",
            Self::Pins => "engines that are to keep a role",
        }
    }

    /// Returns the columns; the values of a row are in this order.
    #[must_use]
    pub const fn columns(self) -> &'static [Column] {
        match self {
            Self::Services => columns::SERVICES,
            Self::Models => columns::MODELS,
            Self::Adapters => columns::ADAPTERS,
            Self::Engines => columns::ENGINES,
            Self::BackEnds => columns::BACK_ENDS,
            Self::Daemons => columns::DAEMONS,
            Self::Cells => columns::CELLS,
            Self::Decisions => columns::DECISIONS,
            Self::Requests => columns::REQUESTS,
            Self::Configuration => columns::CONFIGURATION,
            Self::Tenants => columns::TENANTS,
            Self::Priorities => columns::PRIORITIES,
            Self::Pins => columns::PINS,
        }
    }

    /// Returns the key column; `None` if the table is read-only.
    #[must_use]
    pub fn key(self) -> Option<&'static Column> {
        let mut columns = self.columns().iter();
        columns.find(|column| column.access == Access::Key)
    }

    pub(crate) fn key_name(self) -> &'static str {
        self.key().map_or("name", |column| column.name)
    }

    /// Finds a table by its name.
    ///
    /// # Errors
    /// [`QueryError::UnknownTable`] with the most similar name.
    pub fn find(name: &str) -> Result<Self, QueryError> {
        let found = Self::ALL.into_iter().find(|table| table.as_str() == name);
        found.ok_or_else(|| QueryError::UnknownTable {
            nearest: nearest(name, Self::ALL.into_iter().map(Self::as_str)),
            name: name.to_owned(),
        })
    }

    /// Finds the index of a column by its name.
    ///
    /// # Errors
    /// [`QueryError::UnknownColumn`] with the most similar name.
    pub fn find_column(self, name: &str) -> Result<usize, QueryError> {
        let found = self.columns().iter().position(|column| column.name == name);
        found.ok_or_else(|| QueryError::UnknownColumn {
            table: self,
            nearest: nearest(name, self.columns().iter().map(|column| column.name)),
            name: name.to_owned(),
        })
    }

    pub(crate) fn names() -> String {
        Self::ALL.map(Self::as_str).join(", ")
    }

    pub(crate) fn writable_table_names() -> String {
        let writable = Self::ALL.into_iter().filter(|table| table.key().is_some());
        writable.map(Self::as_str).collect::<Vec<_>>().join(", ")
    }

    pub(crate) fn column_names(self) -> String {
        let names = self.columns().iter().map(|column| column.name);
        names.collect::<Vec<_>>().join(", ")
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Returns the help text that lists all tables and columns.
#[must_use]
pub fn schema() -> String {
    let mut text = String::new();
    for table in Table::ALL {
        let _infallible = writeln!(text, "{table}: {}", table.description());
        for column in table.columns() {
            let access = match column.access {
                Access::Key => ", key",
                Access::Writable { .. } => ", can be set",
                Access::ReadOnly => "",
            };
            let (name, column_type) = (column.name, column.column_type);
            let _infallible = writeln!(
                text,
                "  {name} ({column_type}{access}): {}",
                column.description
            );
        }
    }
    text
}
