//! `docs/OPERATOR-LANGUAGE.md` matches the schema, the parser and its error messages.

use ponddrift_query::{Access, Column, Table, parse};

const PAGE: &str = include_str!("../../../docs/OPERATOR-LANGUAGE.md");

fn column_row(column: &Column) -> String {
    let change = match column.access {
        Access::Key => "key",
        Access::Writable { .. } => "yes",
        Access::ReadOnly => "",
    };
    let (name, column_type) = (column.name, column.column_type);
    format!(
        "| `{name}` | {column_type} | {change} | {} |",
        column.description
    )
}

fn table_section(table: Table) -> String {
    let mut text = format!("### `{table}`: {}\n\n", table.description());
    text.push_str("| column | type | set | meaning |\n|---|---|---|---|\n");
    for column in table.columns() {
        text.push_str(&column_row(column));
        text.push('\n');
    }
    text
}

#[test]
fn every_table_and_column_is_documented() {
    for table in Table::ALL {
        let expected = table_section(table);
        assert!(PAGE.contains(&expected), "the page lacks:\n{expected}");
    }
}

#[test]
fn every_documented_example_is_accepted() {
    let blocks = PAGE.split("```sql\n").skip(1);
    let statements: Vec<&str> = blocks
        .filter_map(|block| block.split("```").next())
        .flat_map(|block| block.split(";\n"))
        .map(str::trim)
        .filter(|statement| !statement.is_empty())
        .collect();
    assert!(statements.len() >= 10, "{statements:?}");
    for statement in statements {
        assert!(
            parse(statement).is_ok(),
            "{statement}: {:?}",
            parse(statement)
        );
    }
}

#[test]
fn every_documented_error_message_matches() {
    let (_, refusals) = PAGE.split_once("## Refusals").expect("a section");
    let rows: Vec<(&str, &str)> = refusals
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.strip_suffix(" |"))
        .filter_map(|line| line.split_once("` | "))
        .collect();
    assert!(rows.len() >= 20, "{rows:?}");
    for (statement, message) in rows {
        let error = parse(statement).expect_err(statement);
        assert_eq!(error.to_string(), message, "{statement}");
    }
}
