//! No input makes the parser panic, overflow the stack or run for a long time.

use ponddrift_query::{
    MAXIMUM_STATEMENT_BYTES, QueryError, Row, Statement, Table, TableSource, evaluate, parse,
};

/// Deliberately small: a daemon thread may have used most of its stack when it calls the parser.
const STACK_BYTES: usize = 256 * 1024;

struct EmptyRow;

impl TableSource for EmptyRow {
    fn rows(&self, _table: Table) -> Result<Vec<Row>, QueryError> {
        Ok(vec![Row::new()])
    }
}

fn parse_and_evaluate(text: &str) {
    match parse(text) {
        Ok(Statement::Select(query)) => {
            let _answer = evaluate(&query, &EmptyRow);
        }
        Ok(Statement::Change(_)) => {}
        Err(error) => assert!(error.to_string().len() < 2_000, "{error}"),
    }
}

#[test]
fn any_text_is_parsed_or_rejected() {
    bolero::check!()
        .with_type::<String>()
        .for_each(|text| parse_and_evaluate(text));
}

/// SQL fragments, which get further into the parser than random characters.
const SQL_FRAGMENTS: &[&str] = &[
    "SELECT ",
    "INSERT INTO ",
    "UPDATE ",
    "DELETE ",
    "FROM ",
    "WHERE ",
    "SET ",
    "VALUES ",
    "AND ",
    "OR ",
    "NOT ",
    "IN ",
    "LIKE ",
    "IS ",
    "NULL ",
    "ORDER BY ",
    "GROUP BY ",
    "LIMIT ",
    "COUNT(*) ",
    "services ",
    "engines ",
    "pins ",
    "name ",
    "role ",
    "version ",
    "revision ",
    "engine ",
    "* ",
    ", ",
    "( ",
    ") ",
    "= ",
    "<> ",
    "< ",
    ">= ",
    "- ",
    "+ ",
    "7 ",
    "0.5 ",
    "'a' ",
    "\"a\" ",
    "'%_' ",
    "true ",
    "; ",
    ". ",
    ":: ",
    "[ ",
    "] ",
    "BETWEEN ",
    "CASE ",
    "WHEN ",
    "END ",
    "EXISTS ",
    "WITH ",
    "AS ",
    "JOIN ",
    "ON ",
    "INTERVAL ",
    "CAST ",
    "ARRAY ",
    "OVER ",
    "FETCH ",
    "UNION ",
];

#[test]
fn any_sequence_of_sql_fragments_is_parsed_or_rejected() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|choices| {
        let fragment = |choice: &u8| SQL_FRAGMENTS[usize::from(*choice) % SQL_FRAGMENTS.len()];
        parse_and_evaluate(&choices.iter().map(fragment).collect::<String>());
    });
}

#[test]
fn deep_and_long_texts_do_not_overflow_a_small_stack() {
    let repeated_fragments = [
        "(",
        "NOT ",
        "- ",
        "1 + ",
        "a = 1 OR ",
        "a = 1 AND ",
        "((",
        "CASE WHEN ",
        "[",
        "{",
        "1::",
        "NOT (",
        "a.",
        "- (",
        "EXISTS (",
        "SELECT ",
        "(SELECT ",
        "a[",
        "f(",
        "INTERVAL ",
        "ARRAY[",
        "CAST(",
        "EXPLAIN ",
        "(VALUES (",
        "WITH a AS (",
        "a IN (",
        "'",
        "--",
        "/*",
        "\"",
    ];
    let prefixes = [
        "",
        "SELECT * FROM engines WHERE ",
        "SELECT ",
        "DELETE FROM pins WHERE ",
    ];
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    let handle = thread.spawn(move || {
        for prefix in prefixes {
            for repeated_fragment in repeated_fragments {
                for count in [7, 8, 15, 16, 17, 29, 100, 450, 990, 3_000] {
                    parse_and_evaluate(&format!("{prefix}{}", repeated_fragment.repeat(count)));
                    parse_and_evaluate(&format!(
                        "{prefix}{}id = 1",
                        repeated_fragment.repeat(count)
                    ));
                    parse_and_evaluate(&format!(
                        "{prefix}{}1{}",
                        repeated_fragment.repeat(count),
                        ")".repeat(count)
                    ));
                }
            }
        }
    });
    handle.expect("starts").join().expect("no panic");
}

#[test]
fn exceeded_limits_are_reported() {
    let long = format!(
        "SELECT * FROM engines WHERE name = '{}'",
        "x".repeat(MAXIMUM_STATEMENT_BYTES)
    );
    assert!(matches!(parse(&long), Err(QueryError::TooLong { .. })));
    let wide = format!("SELECT * FROM engines WHERE id IN (1{})", ", 1".repeat(600));
    assert!(matches!(
        parse(&wide),
        Err(QueryError::TooManyTokens { .. })
    ));
    let nested = |depth: usize| {
        let (open, close) = ("(".repeat(depth), ")".repeat(depth));
        parse(&format!("SELECT * FROM engines WHERE {open}id = 1{close}"))
    };
    assert!(nested(16).is_ok(), "{:?}", nested(16));
    assert!(matches!(nested(17), Err(QueryError::TooDeep { .. })));
    let chain = format!(
        "SELECT * FROM engines WHERE id = 1{}",
        " OR id = 2".repeat(200)
    );
    assert!(parse(&chain).is_ok());
}
