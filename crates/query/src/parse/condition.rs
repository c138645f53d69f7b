//! Lowers the conditions of `WHERE`.

use sqlparser::ast::{BinaryOperator, Expr, UnaryOperator};

use super::literal::{check_type, column, comparison_literal, literal};
use super::{MAXIMUM_NESTING, reject, too_deep, unsupported};
use crate::error::QueryError;
use crate::schema::{ColumnType, Table};
use crate::statement::{Comparison, Condition};
use crate::value::Value;

/// Lowers an expression to a condition on the columns of `table`.
pub(super) fn lower(table: Table, expression: &Expr) -> Result<Condition, QueryError> {
    Lowering { table, depth: 0 }.lower(expression)
}

/// Returns the operands of a chain of one operator. The parser nests a chain to the left, as deep
/// as it is long, so this iterates instead of recursing.
pub(super) fn operands<'a>(mut expression: &'a Expr, operator: &BinaryOperator) -> Vec<&'a Expr> {
    let mut reversed = Vec::new();
    loop {
        match expression {
            Expr::BinaryOp { left, op, right } if op == operator => {
                reversed.push(right.as_ref());
                expression = left;
            }
            _ => {
                reversed.push(expression);
                reversed.reverse();
                return reversed;
            }
        }
    }
}

/// Context of a lowering: the table and the current nesting depth.
#[derive(Clone, Copy)]
struct Lowering {
    table: Table,
    depth: usize,
}

impl Lowering {
    /// Lowers a nested expression, checking the nesting limit.
    fn lower_nested(self, expression: &Expr) -> Result<Condition, QueryError> {
        if self.depth >= MAXIMUM_NESTING {
            return Err(too_deep());
        }
        let deeper = Self {
            depth: self.depth + 1,
            ..self
        };
        deeper.lower(expression)
    }

    fn lower(self, expression: &Expr) -> Result<Condition, QueryError> {
        match expression {
            Expr::Nested(inner) => self.lower_nested(inner),
            Expr::UnaryOp {
                op: UnaryOperator::Not,
                expr,
            } => self.lower_nested(expr).map(negate),
            Expr::BinaryOp { left, op, right } => match op {
                BinaryOperator::And => self.chain(expression, op).map(Condition::All),
                BinaryOperator::Or => self.chain(expression, op).map(Condition::Any),
                _ => self.comparison(left, op, right),
            },
            Expr::InList {
                expr,
                list,
                negated,
            } => self.in_list(expr, list).map(negate_if(*negated)),
            Expr::Like { negated, .. } => self.like(expression).map(negate_if(*negated)),
            Expr::IsNull(inner) => column(self.table, inner).map(Condition::IsNull),
            Expr::IsNotNull(inner) => {
                column(self.table, inner).map(|column| negate(Condition::IsNull(column)))
            }
            Expr::Identifier(_) => self.bare_column(expression),
            other => Err(reject::unsupported_expression(other)),
        }
    }

    fn chain(self, expression: &Expr, op: &BinaryOperator) -> Result<Vec<Condition>, QueryError> {
        let parts = operands(expression, op).into_iter();
        parts.map(|part| self.lower_nested(part)).collect()
    }

    fn comparison(
        self,
        left: &Expr,
        op: &BinaryOperator,
        right: &Expr,
    ) -> Result<Condition, QueryError> {
        let comparison = comparison(op)?;
        let is_reversed = !is_name(left) && is_name(right);
        let (name, value, comparison) = if is_reversed {
            (right, left, comparison.with_swapped_operands())
        } else {
            (left, right, comparison)
        };
        let column = column(self.table, name)?;
        if is_name(value) && !is_double_quoted(value) {
            return Err(unsupported(
                "a comparison of two columns",
                "compare a column with a literal; text stands in single quotes",
            ));
        }
        let value = comparison_literal(column.column, value)?;
        Ok(Condition::Compare {
            column,
            comparison,
            value,
        })
    }

    fn in_list(self, name: &Expr, list: &[Expr]) -> Result<Condition, QueryError> {
        let column = column(self.table, name)?;
        let values = list
            .iter()
            .map(|value| comparison_literal(column.column, value));
        let values = values.collect::<Result<_, _>>()?;
        Ok(Condition::In { column, values })
    }

    fn like(self, expression: &Expr) -> Result<Condition, QueryError> {
        let Expr::Like {
            any,
            expr,
            pattern,
            escape_char,
            ..
        } = expression
        else {
            return Err(reject::unsupported_expression(expression));
        };
        reject::reject_clauses(&[
            (*any, "LIKE ANY", "write several LIKE with OR"),
            (escape_char.is_some(), "ESCAPE", "write _ for the character"),
        ])?;
        let column = column(self.table, expr)?;
        if column.column.column_type != ColumnType::Text {
            return Err(unsupported(
                format!(
                    "LIKE on the column {}, which holds no text",
                    column.column.name
                ),
                "compare it with =, <>, <, <=, > or >=",
            ));
        }
        let pattern = literal(pattern)?;
        check_type(column.column, &pattern)?;
        match pattern {
            Value::Text(pattern) => Ok(Condition::Like { column, pattern }),
            _ => Err(QueryError::ComparisonWithNull {
                column: column.column.name,
            }),
        }
    }

    fn bare_column(self, expression: &Expr) -> Result<Condition, QueryError> {
        let column = column(self.table, expression)?;
        Err(unsupported(
            format!("the column {} as a condition", column.column.name),
            "compare it with a literal, for example column = true",
        ))
    }
}

fn negate(condition: Condition) -> Condition {
    Condition::Not(Box::new(condition))
}

fn negate_if(negated: bool) -> impl Fn(Condition) -> Condition {
    move |condition| {
        if negated {
            negate(condition)
        } else {
            condition
        }
    }
}

fn is_name(expression: &Expr) -> bool {
    matches!(expression, Expr::Identifier(_))
}

fn is_double_quoted(expression: &Expr) -> bool {
    matches!(expression, Expr::Identifier(name) if name.quote_style.is_some())
}

fn comparison(op: &BinaryOperator) -> Result<Comparison, QueryError> {
    match op {
        BinaryOperator::Eq => Ok(Comparison::Equal),
        BinaryOperator::NotEq => Ok(Comparison::NotEqual),
        BinaryOperator::Lt => Ok(Comparison::Less),
        BinaryOperator::LtEq => Ok(Comparison::LessOrEqual),
        BinaryOperator::Gt => Ok(Comparison::Greater),
        BinaryOperator::GtEq => Ok(Comparison::GreaterOrEqual),
        other => Err(unsupported(
            format!("the operator {other}"),
            "write =, <>, <, <=, >, >=, IN, LIKE or IS NULL, with AND, OR and NOT",
        )),
    }
}
