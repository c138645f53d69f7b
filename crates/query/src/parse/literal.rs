//! Lowers literals and column names, and checks types.

use sqlparser::ast;

use super::{identifier, reject, truncate, unsupported};
use crate::error::QueryError;
use crate::schema::{Column, ColumnType, Table};
use crate::statement::ColumnReference;
use crate::value::Value;

/// Lowers a literal.
pub(super) fn literal(expression: &ast::Expr) -> Result<Value, QueryError> {
    match expression {
        ast::Expr::Nested(inner) => literal(inner),
        ast::Expr::Value(value) => convert_value(&value.value, false),
        ast::Expr::UnaryOp {
            op: ast::UnaryOperator::Minus,
            expr,
        } => match expr.as_ref() {
            ast::Expr::Value(value) => convert_value(&value.value, true),
            other => Err(reject::unsupported_expression(other)),
        },
        ast::Expr::Identifier(name) => Err(unsupported(
            format!(
                "the name {} in place of a value",
                truncate(&name.to_string())
            ),
            "write text in single quotes, like 'reconcile'",
        )),
        other => Err(reject::unsupported_expression(other)),
    }
}

fn convert_value(value: &ast::Value, negative: bool) -> Result<Value, QueryError> {
    match value {
        ast::Value::Number(digits, false) => parse_number(digits, negative),
        ast::Value::SingleQuotedString(text) if !negative => Ok(Value::Text(text.clone())),
        ast::Value::Boolean(value) if !negative => Ok(Value::Boolean(*value)),
        ast::Value::Null if !negative => Ok(Value::Null),
        other => Err(unsupported(
            format!("the literal {}", truncate(&other.to_string())),
            "write a number, text in single quotes, true, false or NULL",
        )),
    }
}

fn parse_number(digits: &str, negative: bool) -> Result<Value, QueryError> {
    let signed = if negative {
        format!("-{digits}")
    } else {
        digits.to_owned()
    };
    if let Ok(integer) = signed.parse() {
        return Ok(Value::Integer(integer));
    }
    match signed.parse::<f64>() {
        Ok(real) if real.is_finite() => Ok(Value::Real(real)),
        _ => Err(unsupported(
            format!("the number {}", truncate(&signed)),
            "write a number like 7 or 0.5",
        )),
    }
}

/// Lowers a literal that is compared with a column; NULL is an error.
pub(super) fn comparison_literal(
    column: &'static Column,
    expression: &ast::Expr,
) -> Result<Value, QueryError> {
    let value = literal(expression)?;
    if value == Value::Null {
        let column = column.name;
        return Err(QueryError::ComparisonWithNull { column });
    }
    check_type(column, &value)?;
    Ok(value)
}

/// Checks that a literal can be compared with a column. Integers and reals can be mixed.
pub(super) fn check_type(column: &'static Column, value: &Value) -> Result<(), QueryError> {
    let fits = matches!(
        (column.column_type, value),
        (ColumnType::Text, Value::Text(_))
            | (ColumnType::Boolean, Value::Boolean(_))
            | (
                ColumnType::Integer | ColumnType::Real,
                Value::Integer(_) | Value::Real(_)
            )
    );
    if fits {
        return Ok(());
    }
    Err(QueryError::WrongType {
        column: column.name,
        expected: column.column_type,
        found: truncate_value(value),
    })
}

/// Truncates a value for error messages.
pub(super) fn truncate_value(value: &Value) -> Value {
    match value {
        Value::Text(text) => Value::Text(truncate(text)),
        other => other.clone(),
    }
}

/// Returns the column that an expression names.
pub(super) fn column(table: Table, expression: &ast::Expr) -> Result<ColumnReference, QueryError> {
    match expression {
        ast::Expr::Nested(inner) => column(table, inner),
        ast::Expr::Identifier(name) => ColumnReference::find(table, &truncate(&identifier(name))),
        other => Err(reject::unsupported_expression(other)),
    }
}
