//! Evaluates `SELECT` queries over rows.

use std::cmp::Ordering as Order;

use crate::error::QueryError;
use crate::like;
use crate::schema::Table;
use crate::statement::{
    ColumnReference, Condition, Direction, Ordering, Output, SelectQuery, SortKey,
};
use crate::value::{ResultSet, Value};

/// Values in the order of [`Table::columns`]. Missing trailing values are NULL.
pub type Row = Vec<Value>;

/// Provides the rows of tables.
pub trait TableSource {
    /// Returns the current rows of a table.
    ///
    /// # Errors
    /// [`QueryError::Unavailable`] if they cannot be read now.
    fn rows(&self, table: Table) -> Result<Vec<Row>, QueryError>;
}

/// Runs a query.
///
/// # Errors
/// Returns the error of the source.
pub fn evaluate(query: &SelectQuery, source: &dyn TableSource) -> Result<ResultSet, QueryError> {
    let mut rows = source.rows(query.table)?;
    if let Some(filter) = &query.filter {
        rows.retain(|row| evaluate_condition(filter, row) == Some(true));
    }
    let entries = if query.is_grouped() {
        count_groups(rows, query.group_by)
    } else {
        rows.into_iter()
            .map(|row| Entry { row, count: 0 })
            .collect()
    };
    Ok(ResultSet {
        columns: query.outputs.iter().map(output_column_name).collect(),
        rows: sort_and_project(entries, query),
    })
}

/// A row of the table, or the first row of a group with the number of its rows.
struct Entry {
    row: Row,
    count: i64,
}

impl Entry {
    fn output(&self, output: &Output) -> Value {
        match output {
            Output::Column(column) => value(&self.row, *column).clone(),
            Output::Count => Value::Integer(self.count),
        }
    }

    fn compare(&self, other: &Self, ordering: &Ordering) -> Order {
        let order = match ordering.key {
            SortKey::Count => self.count.cmp(&other.count),
            SortKey::Column(column) => {
                value(&self.row, column).sort_order(value(&other.row, column))
            }
        };
        match ordering.direction {
            Direction::Ascending => order,
            Direction::Descending => order.reverse(),
        }
    }
}

fn output_column_name(output: &Output) -> String {
    match output {
        Output::Column(reference) => reference.column.name.to_owned(),
        Output::Count => "count".to_owned(),
    }
}

/// Sorts and limits the entries, and selects the output columns.
fn sort_and_project(mut entries: Vec<Entry>, query: &SelectQuery) -> Vec<Vec<Value>> {
    entries.sort_by(|left, right| {
        let keys = query.order_by.iter();
        let first_difference = keys
            .map(|ordering| left.compare(right, ordering))
            .find(|order| order.is_ne());
        first_difference.unwrap_or(Order::Equal)
    });
    entries.truncate(query.limit.unwrap_or(usize::MAX));
    let outputs = &query.outputs;
    let project = |entry: &Entry| outputs.iter().map(|output| entry.output(output)).collect();
    entries.iter().map(project).collect()
}

/// Groups rows by equal values of the column, or counts all rows if there is none.
fn count_groups(mut rows: Vec<Row>, group_by: Option<ColumnReference>) -> Vec<Entry> {
    let Some(column) = group_by else {
        let count = i64::try_from(rows.len()).unwrap_or(i64::MAX);
        let row = Row::new();
        return vec![Entry { row, count }];
    };
    rows.sort_by(|left, right| value(left, column).sort_order(value(right, column)));
    let mut groups: Vec<Entry> = Vec::new();
    for row in rows {
        match groups.last_mut() {
            Some(group) if same_group(&group.row, &row, column) => group.count += 1,
            _ => groups.push(Entry { row, count: 1 }),
        }
    }
    groups
}

fn same_group(left: &Row, right: &Row, column: ColumnReference) -> bool {
    value(left, column).sort_order(value(right, column)).is_eq()
}

fn value(row: &Row, column: ColumnReference) -> &Value {
    row.get(column.index).unwrap_or(&Value::Null)
}

/// Evaluates a condition in three-valued logic, where `None` means unknown.
fn evaluate_condition(condition: &Condition, row: &Row) -> Option<bool> {
    match condition {
        Condition::All(parts) => all(parts, row),
        Condition::Any(parts) => any(parts, row),
        Condition::Not(part) => evaluate_condition(part, row).map(|is_true| !is_true),
        Condition::Compare {
            column,
            comparison,
            value: literal,
        } => {
            let order = value(row, *column).compare(literal)?;
            Some(comparison.holds(order))
        }
        Condition::In { column, values } => {
            let actual = value(row, *column);
            if *actual == Value::Null {
                return None;
            }
            let is_equal = |literal: &Value| actual.compare(literal) == Some(Order::Equal);
            Some(values.iter().any(is_equal))
        }
        Condition::Like { column, pattern } => match value(row, *column) {
            Value::Text(text) => Some(like::matches(pattern, text)),
            _ => None,
        },
        Condition::IsNull(column) => Some(*value(row, *column) == Value::Null),
    }
}

fn all(parts: &[Condition], row: &Row) -> Option<bool> {
    let mut result = Some(true);
    for part in parts {
        match evaluate_condition(part, row) {
            Some(false) => return Some(false),
            Some(true) => {}
            None => result = None,
        }
    }
    result
}

fn any(parts: &[Condition], row: &Row) -> Option<bool> {
    let mut result = Some(false);
    for part in parts {
        match evaluate_condition(part, row) {
            Some(true) => return Some(true),
            Some(false) => {}
            None => result = None,
        }
    }
    result
}
