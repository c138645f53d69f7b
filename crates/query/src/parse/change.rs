//! Lowers `INSERT`, `UPDATE` and `DELETE` to typed changes.

mod assign;

use sqlparser::ast;
use sqlparser::ast::{BinaryOperator, Expr};

use self::assign::{Assignment, build_object_change};
use super::literal::{column, literal};
use super::{condition, identifier, reject, simple_name, single_table, truncate, unsupported};
use crate::change::{ChangeRequest, Edit};
use crate::error::QueryError;
use crate::schema::{Access, Column, Table};
use crate::statement::ColumnReference;
use crate::value::Value;
use ponddrift_core::Revision;

/// Column that makes a change conditional when compared in `WHERE`.
const REVISION_COLUMN: &str = "revision";

/// The `WHERE` clause of a change.
struct RowSelector {
    /// Value of the key column.
    key: Value,
    expected_revision: Option<Revision>,
}

/// Lowers `INSERT`.
pub(super) fn insert(insert: ast::Insert) -> Result<ChangeRequest, QueryError> {
    reject_insert_clauses(&insert)?;
    let table = match &insert.table {
        ast::TableObject::TableName(name) => Table::find(&truncate(&simple_name(name)?))?,
        ast::TableObject::TableFunction(_) => {
            return Err(unsupported(
                "a table function",
                "write INSERT INTO with a table",
            ));
        }
    };
    let key = require_key(table)?;
    if insert.columns.is_empty() {
        return Err(unsupported(
            "INSERT without column names",
            "write INSERT INTO table (column, …) VALUES (value, …)",
        ));
    }
    let values = inserted_values(insert.source.as_deref())?;
    if values.len() != insert.columns.len() {
        return Err(QueryError::ValueCount {
            columns: insert.columns.len(),
            values: values.len(),
        });
    }
    let mut assignments = Vec::new();
    for (name, value) in insert.columns.iter().zip(values) {
        let column = ColumnReference::find(table, &truncate(&identifier(name)))?.column;
        add_assignment(table, &mut assignments, column, value)?;
    }
    let position = assignments
        .iter()
        .position(|assignment| assignment.column == key);
    let position = position.ok_or(QueryError::MissingColumn {
        table,
        column: key.name,
    })?;
    let key_value = assignments.remove(position).value;
    Ok(ChangeRequest {
        object: build_object_change(table, &key_value, Edit::Insert(assignments))?,
        expected_revision: None,
    })
}

fn reject_insert_clauses(insert: &ast::Insert) -> Result<(), QueryError> {
    let ast::Insert {
        or,
        ignore,
        into: _,
        table: _,
        table_alias,
        columns: _,
        overwrite,
        source: _,
        assignments,
        partitioned,
        after_columns,
        has_table_keyword: _,
        on,
        returning,
        replace_into,
        priority,
        insert_alias,
        settings,
        format_clause,
    } = insert;
    let hint = "write INSERT INTO table (column, …) VALUES (value, …)";
    let update_hint = "write UPDATE for a row that is there, INSERT for a new one";
    let has_replace = *replace_into || *overwrite || *ignore || or.is_some();
    reject::reject_clauses(&[
        (
            has_replace,
            "REPLACE, OVERWRITE, IGNORE and INSERT OR",
            update_hint,
        ),
        (on.is_some(), "ON CONFLICT", update_hint),
        (
            table_alias.is_some() || insert_alias.is_some(),
            "an alias",
            hint,
        ),
        (!assignments.is_empty(), "INSERT … SET", hint),
        (
            partitioned.is_some() || !after_columns.is_empty(),
            "PARTITION",
            hint,
        ),
        (
            returning.is_some(),
            "RETURNING",
            "ask with SELECT after the change",
        ),
        (priority.is_some(), "a priority of INSERT", hint),
        (
            settings.is_some() || format_clause.is_some(),
            "SETTINGS and FORMAT",
            hint,
        ),
    ])
}

fn inserted_values(source: Option<&ast::Query>) -> Result<Vec<Value>, QueryError> {
    let hint = "write VALUES with one row of literals";
    let no_values = || unsupported("INSERT without VALUES", hint);
    let query = source.ok_or_else(no_values)?;
    reject::reject_query_clauses(query)?;
    let has_more = query.order_by.is_some() || query.limit_clause.is_some();
    reject::reject_clauses(&[(has_more, "ORDER BY or LIMIT in INSERT", hint)])?;
    let ast::SetExpr::Values(values) = query.body.as_ref() else {
        return Err(no_values());
    };
    match values.rows.as_slice() {
        [row] => row.iter().map(literal).collect(),
        _ => Err(unsupported(
            "INSERT of several rows",
            "write one statement for each row, since each is accepted or refused whole",
        )),
    }
}

/// Lowers `UPDATE`.
pub(super) fn update(statement: ast::Statement) -> Result<ChangeRequest, QueryError> {
    let ast::Statement::Update {
        table,
        assignments,
        from,
        selection,
        returning,
        or,
        limit,
    } = statement
    else {
        return Err(reject::unsupported_statement(&statement));
    };
    reject::reject_clauses(&[
        (from.is_some(), "FROM in UPDATE", "write literals after SET"),
        (
            returning.is_some(),
            "RETURNING",
            "ask with SELECT after the change",
        ),
        (or.is_some(), "UPDATE OR", "write UPDATE"),
        (
            limit.is_some(),
            "LIMIT in UPDATE",
            "name the row by its key",
        ),
    ])?;
    let table = single_table(std::slice::from_ref(&table))?;
    require_key(table)?;
    let assignments = update_assignments(table, &assignments)?;
    let row = row_selector(table, selection.as_ref())?;
    Ok(ChangeRequest {
        object: build_object_change(table, &row.key, Edit::Update(assignments))?,
        expected_revision: row.expected_revision,
    })
}

fn update_assignments(
    table: Table,
    ast_assignments: &[ast::Assignment],
) -> Result<Vec<Assignment>, QueryError> {
    let mut assignments = Vec::new();
    for assignment in ast_assignments {
        let ast::AssignmentTarget::ColumnName(name) = &assignment.target else {
            return Err(unsupported(
                "SET with a list of columns",
                "write SET column = value, …",
            ));
        };
        let column = ColumnReference::find(table, &truncate(&simple_name(name)?))?.column;
        if column.access == Access::Key {
            return Err(read_only(table, column));
        }
        add_assignment(table, &mut assignments, column, literal(&assignment.value)?)?;
    }
    Ok(assignments)
}

/// Lowers `DELETE`.
pub(super) fn delete(delete: ast::Delete) -> Result<ChangeRequest, QueryError> {
    let ast::Delete {
        tables,
        from,
        using,
        selection,
        returning,
        order_by,
        limit,
    } = delete;
    let hint = "write DELETE FROM table WHERE name = '…'";
    let ast::FromTable::WithFromKeyword(from) = from else {
        return Err(unsupported("DELETE without FROM", hint));
    };
    let is_sorted = !order_by.is_empty() || limit.is_some();
    reject::reject_clauses(&[
        (!tables.is_empty(), "DELETE from several tables", hint),
        (using.is_some(), "USING", hint),
        (
            returning.is_some(),
            "RETURNING",
            "ask with SELECT before the change",
        ),
        (
            is_sorted,
            "ORDER BY and LIMIT in DELETE",
            "name the row by its key",
        ),
    ])?;
    let table = single_table(&from)?;
    let row = row_selector(table, selection.as_ref())?;
    Ok(ChangeRequest {
        object: build_object_change(table, &row.key, Edit::Delete)?,
        expected_revision: row.expected_revision,
    })
}

fn require_key(table: Table) -> Result<&'static Column, QueryError> {
    table.key().ok_or(QueryError::ReadOnlyTable { table })
}

fn read_only(table: Table, column: &'static Column) -> QueryError {
    QueryError::ReadOnlyColumn {
        table,
        column: column.name,
    }
}

fn add_assignment(
    table: Table,
    assignments: &mut Vec<Assignment>,
    column: &'static Column,
    value: Value,
) -> Result<(), QueryError> {
    if column.access == Access::ReadOnly {
        return Err(read_only(table, column));
    }
    if assignments.iter().any(|earlier| earlier.column == column) {
        return Err(QueryError::RepeatedColumn {
            table,
            column: column.name,
        });
    }
    assignments.push(Assignment { column, value });
    Ok(())
}

/// Reads `WHERE key = literal [AND revision = number]`, in either order.
fn row_selector(table: Table, selection: Option<&Expr>) -> Result<RowSelector, QueryError> {
    let key_column = require_key(table)?;
    let key_missing = || QueryError::KeyMissing {
        table,
        key: key_column.name,
    };
    let selection = selection.ok_or_else(key_missing)?;
    let mut key = None;
    let mut expected_revision = None;
    for part in condition::operands(selection, &BinaryOperator::And) {
        let Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        } = part
        else {
            return Err(key_missing());
        };
        let column = column(table, left)?.column;
        if column == key_column && key.is_none() {
            key = Some(literal(right)?);
        } else if column.name == REVISION_COLUMN && expected_revision.is_none() {
            expected_revision = Some(revision(column, literal(right)?)?);
        } else {
            return Err(key_missing());
        }
    }
    let key = key.ok_or_else(key_missing)?;
    Ok(RowSelector {
        key,
        expected_revision,
    })
}

fn revision(column: &'static Column, value: Value) -> Result<Revision, QueryError> {
    let number = assign::integer_in_range(column, &value, i64::MAX)?;
    Ok(Revision(number))
}
