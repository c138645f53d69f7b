//! Limits on the tokens of a statement, checked before it is parsed.

use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::{Token, TokenWithSpan};

use super::{MAXIMUM_NESTING, MAXIMUM_STATEMENT_TOKENS, too_deep, unsupported};
use crate::error::QueryError;
use crate::schema::Table;

/// Maximum number of tokens outside of the SQL subset. A few are passed to the parser, so that
/// errors can say what to write instead. The limit protects the parser: for some tokens, such as
/// `INTERVAL`, it recurses without limit and takes exponential time.
const MAXIMUM_UNSUPPORTED_TOKENS: usize = 8;

/// Keywords of the SQL subset.
const SUPPORTED_KEYWORDS: &[Keyword] = &[
    Keyword::SELECT,
    Keyword::FROM,
    Keyword::WHERE,
    Keyword::AND,
    Keyword::OR,
    Keyword::NOT,
    Keyword::IN,
    Keyword::LIKE,
    Keyword::IS,
    Keyword::NULL,
    Keyword::ORDER,
    Keyword::GROUP,
    Keyword::BY,
    Keyword::ASC,
    Keyword::DESC,
    Keyword::LIMIT,
    Keyword::COUNT,
    Keyword::INSERT,
    Keyword::INTO,
    Keyword::VALUES,
    Keyword::UPDATE,
    Keyword::SET,
    Keyword::DELETE,
    Keyword::TRUE,
    Keyword::FALSE,
];

/// Checks the number of tokens, the number of unsupported tokens, and the nesting of brackets.
pub(super) fn check(tokens: &[TokenWithSpan]) -> Result<(), QueryError> {
    let significant_tokens = tokens.iter().map(|token| &token.token);
    let significant_tokens: Vec<&Token> = significant_tokens
        .filter(|token| !is_whitespace(token))
        .collect();
    if significant_tokens.len() > MAXIMUM_STATEMENT_TOKENS {
        return Err(QueryError::TooManyTokens {
            tokens: significant_tokens.len(),
            limit: MAXIMUM_STATEMENT_TOKENS,
        });
    }
    let unsupported_tokens = significant_tokens
        .iter()
        .filter(|token| is_unsupported(token));
    if unsupported_tokens.count() > MAXIMUM_UNSUPPORTED_TOKENS {
        return Err(unsupported(
            "a statement with so many words and signs of other SQL",
            "write SELECT, INSERT INTO, UPDATE or DELETE FROM over one table, with literals",
        ));
    }
    check_nesting(&significant_tokens)
}

fn is_whitespace(token: &Token) -> bool {
    matches!(token, Token::Whitespace(_))
}

fn is_unsupported(token: &Token) -> bool {
    match token {
        Token::Word(word) => {
            word.keyword != Keyword::NoKeyword
                && !SUPPORTED_KEYWORDS.contains(&word.keyword)
                && !is_schema_name(&word.value)
        }
        Token::Number(..) | Token::SingleQuotedString(_) => false,
        Token::Comma | Token::LParen | Token::RParen | Token::SemiColon | Token::Period => false,
        Token::Eq | Token::Neq | Token::Lt | Token::LtEq | Token::Gt | Token::GtEq => false,
        Token::Minus | Token::Mul | Token::EOF => false,
        _ => true,
    }
}

/// Whether a keyword is also the name of a table or column, like `version`.
fn is_schema_name(word: &str) -> bool {
    Table::ALL.into_iter().any(|table| {
        let mut columns = table.columns().iter();
        table.as_str().eq_ignore_ascii_case(word)
            || columns.any(|column| column.name.eq_ignore_ascii_case(word))
    })
}

fn check_nesting(tokens: &[&Token]) -> Result<(), QueryError> {
    let mut depth: usize = 0;
    for token in tokens {
        match token {
            Token::LParen | Token::LBracket | Token::LBrace => depth += 1,
            Token::RParen | Token::RBracket | Token::RBrace => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAXIMUM_NESTING {
            return Err(too_deep());
        }
    }
    Ok(())
}
