//! Errors for SQL outside of the supported subset, with the supported alternative.

use sqlparser::ast;

use super::{simple_name, truncate, unsupported};
use crate::error::QueryError;
use crate::schema::Table;

/// Returns an error for the first clause that is present. Each element of `clauses` holds whether
/// the clause is present, its name, and what to write instead.
pub(super) fn reject_clauses(clauses: &[(bool, &str, &'static str)]) -> Result<(), QueryError> {
    match clauses.iter().find(|(is_present, _, _)| *is_present) {
        Some((_, found, instead)) => Err(unsupported(*found, instead)),
        None => Ok(()),
    }
}

/// Rejects all clauses around the body of a query except `ORDER BY` and `LIMIT`.
pub(super) fn reject_query_clauses(query: &ast::Query) -> Result<(), QueryError> {
    let ast::Query {
        with,
        body: _,
        order_by: _,
        limit_clause: _,
        fetch,
        locks,
        for_clause,
        settings,
        format_clause,
        pipe_operators,
    } = query;
    let revision_hint = "leave it out, and write UPDATE … WHERE revision = …";
    let select_hint = "write SELECT … FROM … WHERE …";
    reject_clauses(&[
        (with.is_some(), "WITH", "ask each question by itself"),
        (fetch.is_some(), "FETCH", "write LIMIT"),
        (!locks.is_empty(), "FOR UPDATE", revision_hint),
        (for_clause.is_some(), "FOR XML and FOR JSON", "leave it out"),
        (settings.is_some(), "SETTINGS", "leave it out"),
        (format_clause.is_some(), "FORMAT", "leave it out"),
        (!pipe_operators.is_empty(), "a pipe", select_hint),
    ])
}

/// Returns the error for a statement that is neither a query nor a change.
pub(super) fn unsupported_statement(statement: &ast::Statement) -> QueryError {
    let text = statement.to_string();
    let first_word = text.split_whitespace().next().unwrap_or_default();
    let instead = match first_word {
        "CREATE" => "write INSERT INTO services (…) VALUES (…)",
        "DROP" | "TRUNCATE" => "write DELETE FROM services WHERE name = '…'",
        "ALTER" | "MERGE" => "write UPDATE services SET … WHERE name = '…'",
        "SHOW" | "DESCRIBE" | "DESC" | "EXPLAIN" => "write SELECT * FROM a table",
        "START" | "BEGIN" | "COMMIT" | "ROLLBACK" => {
            "leave it out: each change is accepted or refused whole"
        }
        _ => "write SELECT, INSERT INTO, UPDATE or DELETE FROM",
    };
    unsupported(truncate(first_word), instead)
}

/// Returns the table that a relation names; rejects everything but a bare name.
pub(super) fn plain_table(factor: &ast::TableFactor) -> Result<Table, QueryError> {
    let ast::TableFactor::Table {
        name,
        alias,
        args,
        with_hints,
        version,
        with_ordinality,
        partitions,
        json_path,
        sample,
        index_hints,
    } = factor
    else {
        return Err(unsupported(
            "a subquery or function in place of a table",
            "write FROM with the name of a table",
        ));
    };
    let bare_name_hint = "write the bare name of the table";
    reject_clauses(&[
        (alias.is_some(), "an alias of a table", bare_name_hint),
        (args.is_some(), "a table function", bare_name_hint),
        (!with_hints.is_empty(), "a table hint", bare_name_hint),
        (version.is_some(), "a version of a table", bare_name_hint),
        (*with_ordinality, "WITH ORDINALITY", bare_name_hint),
        (!partitions.is_empty(), "PARTITION", bare_name_hint),
        (json_path.is_some(), "a path into a table", bare_name_hint),
        (sample.is_some(), "SAMPLE", "write LIMIT"),
        (!index_hints.is_empty(), "an index hint", bare_name_hint),
    ])?;
    Table::find(&simple_name(name)?)
}

/// Returns the error for an expression that is neither a supported condition nor a literal.
pub(super) fn unsupported_expression(expression: &ast::Expr) -> QueryError {
    use ast::Expr;
    let found = truncate(&expression.to_string());
    match expression {
        Expr::Function(_) => unsupported(
            format!("the function {found}"),
            "compare a column with a literal; COUNT(*) is the one function, and stands after SELECT",
        ),
        Expr::Subquery(_) | Expr::InSubquery { .. } | Expr::Exists { .. } => unsupported(
            "a subquery",
            "ask the inner question first and write its answer, for example with IN (…)",
        ),
        Expr::Between { .. } => unsupported("BETWEEN", "write column >= … AND column <= …"),
        Expr::ILike { .. } | Expr::SimilarTo { .. } | Expr::RLike { .. } => unsupported(
            "ILIKE, SIMILAR TO and RLIKE",
            "write LIKE, with % for any text and _ for one character",
        ),
        Expr::IsTrue(_) | Expr::IsNotTrue(_) | Expr::IsFalse(_) | Expr::IsNotFalse(_) => {
            unsupported(
                "IS TRUE and IS FALSE",
                "write column = true or column = false",
            )
        }
        Expr::Case { .. } => unsupported("CASE", "select the column itself"),
        Expr::Cast { .. } | Expr::Convert { .. } => unsupported(
            "a conversion of types",
            "compare with a literal of the column's type",
        ),
        Expr::CompoundIdentifier(_) => unsupported(
            format!("the name {found}"),
            "write the bare name of the column, without a prefix",
        ),
        _ => unsupported(
            format!("the expression {found}"),
            "compare a column with a literal, for example WHERE zone = 'a' AND role <> 'decode'",
        ),
    }
}
