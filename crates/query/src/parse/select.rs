//! Lowers `SELECT` queries.

use sqlparser::ast;

use super::literal::{column, literal};
use super::{condition, reject, single_table, unsupported};
use crate::error::QueryError;
use crate::schema::Table;
use crate::statement::{ColumnReference, Direction, Ordering, Output, SelectQuery, SortKey};
use crate::value::Value;

/// Name of `COUNT(*)` in the result and in `ORDER BY`.
const COUNT_NAME: &str = "count";

/// Lowers a query.
pub(super) fn lower(query: ast::Query) -> Result<SelectQuery, QueryError> {
    reject::reject_query_clauses(&query)?;
    let ast::Query {
        body,
        order_by,
        limit_clause,
        ..
    } = query;
    let mut select = match *body {
        ast::SetExpr::Select(select) => lower_select(*select)?,
        ast::SetExpr::SetOperation { .. } => {
            return Err(unsupported(
                "UNION, EXCEPT and INTERSECT",
                "ask each question by itself",
            ));
        }
        _ => {
            return Err(unsupported(
                "this form of a question",
                "write SELECT … FROM a table",
            ));
        }
    };
    select.order_by = order_by.map_or(Ok(Vec::new()), |by| lower_order_by(&select, by))?;
    select.limit = limit_clause.map_or(Ok(None), |clause| lower_limit(&clause))?;
    check_grouped_columns(&select)?;
    Ok(select)
}

fn lower_select(select: ast::Select) -> Result<SelectQuery, QueryError> {
    reject_select_clauses(&select)?;
    let table = single_table(&select.from)?;
    let filter = select.selection.as_ref();
    let mut outputs = Vec::new();
    for item in &select.projection {
        lower_output(table, item, &mut outputs)?;
    }
    if outputs.is_empty() {
        return Err(unsupported(
            "a question without columns",
            "write SELECT * FROM a table",
        ));
    }
    Ok(SelectQuery {
        table,
        outputs,
        filter: filter
            .map(|expression| condition::lower(table, expression))
            .transpose()?,
        group_by: lower_group_by(table, &select.group_by)?,
        order_by: Vec::new(),
        limit: None,
    })
}

fn reject_select_clauses(select: &ast::Select) -> Result<(), QueryError> {
    let ast::Select {
        select_token: _,
        distinct,
        top,
        top_before_distinct: _,
        projection: _,
        exclude,
        into,
        from: _,
        lateral_views,
        prewhere,
        selection: _,
        group_by: _,
        cluster_by,
        distribute_by,
        sort_by,
        having,
        named_window,
        qualify,
        window_before_qualify: _,
        value_table_mode,
        connect_by,
        flavor,
    } = select;
    let filter_hint = "write WHERE";
    let sort_hint = "write ORDER BY";
    let is_from_first = !matches!(flavor, ast::SelectFlavor::Standard);
    reject::reject_clauses(&[
        (
            distinct.is_some(),
            "DISTINCT",
            "write SELECT column, COUNT(*) … GROUP BY column",
        ),
        (top.is_some(), "TOP", "write LIMIT at the end"),
        (
            exclude.is_some(),
            "EXCLUDE",
            "name the columns that you want",
        ),
        (
            into.is_some(),
            "INTO",
            "leave it out: answers are only shown",
        ),
        (!lateral_views.is_empty(), "LATERAL VIEW", "leave it out"),
        (prewhere.is_some(), "PREWHERE", filter_hint),
        (!cluster_by.is_empty(), "CLUSTER BY", sort_hint),
        (!distribute_by.is_empty(), "DISTRIBUTE BY", sort_hint),
        (!sort_by.is_empty(), "SORT BY", sort_hint),
        (
            having.is_some(),
            "HAVING",
            "write ORDER BY count DESC and LIMIT, or WHERE for the rows",
        ),
        (!named_window.is_empty(), "WINDOW", "leave it out"),
        (qualify.is_some(), "QUALIFY", filter_hint),
        (
            value_table_mode.is_some(),
            "AS VALUE and AS STRUCT",
            "leave it out",
        ),
        (connect_by.is_some(), "CONNECT BY", filter_hint),
        (is_from_first, "FROM before SELECT", "write SELECT … FROM …"),
    ])
}

fn lower_output(
    table: Table,
    item: &ast::SelectItem,
    outputs: &mut Vec<Output>,
) -> Result<(), QueryError> {
    match item {
        ast::SelectItem::Wildcard(options) => {
            if *options != ast::WildcardAdditionalOptions::default() {
                return Err(unsupported(
                    "an addition to *",
                    "name the columns that you want",
                ));
            }
            let columns = table.columns().iter().enumerate();
            outputs.extend(
                columns.map(|(index, column)| Output::Column(ColumnReference { index, column })),
            );
        }
        ast::SelectItem::UnnamedExpr(expression) if is_count(expression) => {
            outputs.push(Output::Count);
        }
        ast::SelectItem::UnnamedExpr(expression) => {
            outputs.push(Output::Column(column(table, expression)?));
        }
        ast::SelectItem::ExprWithAlias { .. } => {
            return Err(unsupported("AS", "leave it out: columns keep their names"));
        }
        ast::SelectItem::QualifiedWildcard(..) => {
            return Err(unsupported("a prefix of *", "write SELECT *"));
        }
    }
    Ok(())
}

/// Whether an expression is exactly `COUNT(*)`.
fn is_count(expression: &ast::Expr) -> bool {
    let ast::Expr::Function(function) = expression else {
        return false;
    };
    let ast::Function {
        name,
        uses_odbc_syntax: false,
        parameters: ast::FunctionArguments::None,
        args: ast::FunctionArguments::List(list),
        filter: None,
        null_treatment: None,
        over: None,
        within_group,
    } = function
    else {
        return false;
    };
    let star = ast::FunctionArg::Unnamed(ast::FunctionArgExpr::Wildcard);
    name.to_string().eq_ignore_ascii_case(COUNT_NAME)
        && within_group.is_empty()
        && list.duplicate_treatment.is_none()
        && list.clauses.is_empty()
        && list.args == [star]
}

fn lower_group_by(
    table: Table,
    group_by: &ast::GroupByExpr,
) -> Result<Option<ColumnReference>, QueryError> {
    match group_by {
        ast::GroupByExpr::Expressions(columns, modifiers) if modifiers.is_empty() => {
            match columns.as_slice() {
                [] => Ok(None),
                [one] => column(table, one).map(Some),
                _ => Err(unsupported(
                    "GROUP BY with several columns",
                    "group by one column",
                )),
            }
        }
        _ => Err(unsupported(
            "this form of GROUP BY",
            "write GROUP BY with one column",
        )),
    }
}

fn lower_order_by(
    select: &SelectQuery,
    order_by: ast::OrderBy,
) -> Result<Vec<Ordering>, QueryError> {
    let ast::OrderBy {
        kind: ast::OrderByKind::Expressions(keys),
        interpolate: None,
    } = order_by
    else {
        return Err(unsupported(
            "this form of ORDER BY",
            "write ORDER BY with columns",
        ));
    };
    keys.iter().map(|key| lower_ordering(select, key)).collect()
}

fn lower_ordering(select: &SelectQuery, key: &ast::OrderByExpr) -> Result<Ordering, QueryError> {
    let instead = "leave it out: NULL comes first, and last with DESC";
    reject::reject_clauses(&[
        (
            key.options.nulls_first.is_some(),
            "NULLS FIRST and NULLS LAST",
            instead,
        ),
        (key.with_fill.is_some(), "WITH FILL", "leave it out"),
    ])?;
    if matches!(key.expr, ast::Expr::Value(_)) {
        return Err(unsupported(
            "ORDER BY with a number",
            "write the name of the column",
        ));
    }
    let direction = match key.options.asc {
        Some(false) => Direction::Descending,
        _ => Direction::Ascending,
    };
    let is_count_name = matches!(
        &key.expr,
        ast::Expr::Identifier(name) if name.value.eq_ignore_ascii_case(COUNT_NAME)
    );
    let is_count = is_count(&key.expr) || is_count_name;
    let key = if is_count && select.is_grouped() {
        SortKey::Count
    } else {
        SortKey::Column(column(select.table, &key.expr)?)
    };
    Ok(Ordering { key, direction })
}

fn lower_limit(clause: &ast::LimitClause) -> Result<Option<usize>, QueryError> {
    let ast::LimitClause::LimitOffset {
        limit,
        offset: None,
        limit_by,
    } = clause
    else {
        return Err(unsupported(
            "OFFSET",
            "write WHERE with the last value that you have seen",
        ));
    };
    if !limit_by.is_empty() {
        return Err(unsupported("LIMIT BY", "write LIMIT with a number"));
    }
    let Some(limit) = limit else {
        return Ok(None);
    };
    match literal(limit)? {
        Value::Integer(rows @ 0..) => Ok(Some(usize::try_from(rows).unwrap_or(usize::MAX))),
        other => Err(unsupported(
            format!("LIMIT {}", super::literal::truncate_value(&other)),
            "write LIMIT with a whole number from 0",
        )),
    }
}

/// Checks that a grouped query only selects and sorts by the group column and the count.
fn check_grouped_columns(select: &SelectQuery) -> Result<(), QueryError> {
    if !select.is_grouped() {
        return Ok(());
    }
    let shown = select.outputs.iter().filter_map(|output| match output {
        Output::Column(column) => Some(*column),
        Output::Count => None,
    });
    let sorted = select
        .order_by
        .iter()
        .filter_map(|ordering| match ordering.key {
            SortKey::Column(column) => Some(column),
            SortKey::Count => None,
        });
    let mut columns = shown.chain(sorted);
    match columns.find(|column| Some(*column) != select.group_by) {
        Some(other) => Err(QueryError::NotGrouped {
            column: other.column.name,
        }),
        None => Ok(()),
    }
}
