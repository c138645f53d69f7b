//! Parses text into typed statements, with limits on length and nesting.

mod change;
mod condition;
mod literal;
mod reject;
mod select;
mod tokens;

use sqlparser::ast;
use sqlparser::dialect::GenericDialect;
use sqlparser::parser::{Parser, ParserError};
use sqlparser::tokenizer::Tokenizer;

use crate::error::QueryError;
use crate::schema::Table;
use crate::statement::Statement;

/// Maximum length of a statement in bytes.
pub const MAXIMUM_STATEMENT_BYTES: usize = 16 * 1024;
/// Maximum number of tokens of a statement, not counting whitespace. This also bounds the depth of
/// the syntax tree, whose destructor is recursive.
pub const MAXIMUM_STATEMENT_TOKENS: usize = 1_000;
/// Maximum nesting depth of parentheses and `NOT`.
pub const MAXIMUM_NESTING: usize = 16;

/// Recursion limit of the SQL parser, which uses several levels for each parenthesis.
const PARSER_RECURSION_LIMIT: usize = 2 * MAXIMUM_NESTING;
/// Stack size for the SQL parser. Its stack frames are large, so the permitted depth does not fit
/// into a thread's default stack, and its own overflow protection starts too late.
const PARSER_STACK_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of characters of the statement that an error message quotes.
const MAXIMUM_QUOTED_CHARACTERS: usize = 80;

/// Parses and validates one statement.
///
/// # Errors
/// Returns a [`QueryError`] whose message says what to write instead.
pub fn parse(text: &str) -> Result<Statement, QueryError> {
    // The syntax tree must also be dropped on the large stack: its destructor is recursive.
    stacker::grow(PARSER_STACK_BYTES, || parse_on_large_stack(text))
}

fn parse_on_large_stack(text: &str) -> Result<Statement, QueryError> {
    let mut statements = parse_statements(text)?;
    if statements.len() > 1 {
        let count = statements.len();
        return Err(QueryError::SeveralStatements { count });
    }
    match statements.pop().ok_or(QueryError::Empty)? {
        ast::Statement::Query(query) => select::lower(*query).map(Statement::Select),
        ast::Statement::Insert(insert) => change::insert(insert).map(Statement::Change),
        ast::Statement::Delete(delete) => change::delete(delete).map(Statement::Change),
        update @ ast::Statement::Update { .. } => change::update(update).map(Statement::Change),
        other => Err(reject::unsupported_statement(&other)),
    }
}

fn parse_statements(text: &str) -> Result<Vec<ast::Statement>, QueryError> {
    if text.len() > MAXIMUM_STATEMENT_BYTES {
        return Err(QueryError::TooLong {
            length: text.len(),
            limit: MAXIMUM_STATEMENT_BYTES,
        });
    }
    let dialect = GenericDialect {};
    let tokens = Tokenizer::new(&dialect, text)
        .tokenize_with_location()
        .map_err(|error| syntax(&error.to_string()))?;
    tokens::check(&tokens)?;
    Parser::new(&dialect)
        .with_recursion_limit(PARSER_RECURSION_LIMIT)
        .with_tokens_with_locations(tokens)
        .parse_statements()
        .map_err(|error| match error {
            ParserError::RecursionLimitExceeded => too_deep(),
            ParserError::TokenizerError(message) | ParserError::ParserError(message) => {
                syntax(&message)
            }
        })
}

const fn too_deep() -> QueryError {
    QueryError::TooDeep {
        limit: MAXIMUM_NESTING,
    }
}

fn syntax(message: &str) -> QueryError {
    QueryError::Syntax {
        message: truncate(message),
    }
}

/// Truncates a text for error messages.
fn truncate(text: &str) -> String {
    let mut characters = text.chars();
    let mut truncated: String = characters
        .by_ref()
        .take(MAXIMUM_QUOTED_CHARACTERS)
        .collect();
    if characters.next().is_some() {
        truncated.push('…');
    }
    truncated
}

fn unsupported(found: impl Into<String>, instead: &'static str) -> QueryError {
    QueryError::Unsupported {
        found: found.into(),
        instead,
    }
}

/// Returns the text of an identifier. Unquoted identifiers are case-insensitive.
fn identifier(ident: &ast::Ident) -> String {
    if ident.quote_style.is_some() {
        ident.value.clone()
    } else {
        ident.value.to_lowercase()
    }
}

/// Returns a name without qualifier.
fn simple_name(name: &ast::ObjectName) -> Result<String, QueryError> {
    match name.0.as_slice() {
        [ast::ObjectNamePart::Identifier(ident)] => Ok(identifier(ident)),
        _ => Err(unsupported(
            format!("the name {}", truncate(&name.to_string())),
            "write the bare name of the table or column, without a prefix",
        )),
    }
}

/// Returns the table of a statement, which must name exactly one.
fn single_table(tables: &[ast::TableWithJoins]) -> Result<Table, QueryError> {
    let [table] = tables else {
        return Err(unsupported(
            "a statement over no table or several",
            "write FROM with one table, and ask for each table by itself",
        ));
    };
    if !table.joins.is_empty() {
        return Err(unsupported(
            "JOIN",
            "ask for each table by itself, for example with WHERE service = 'reconcile'",
        ));
    }
    reject::plain_table(&table.relation)
}
