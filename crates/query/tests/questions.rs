//! Results of queries over a small fleet.

use ponddrift_query::{
    QueryError, ResultSet, Row, Statement, Table, TableSource, Value, evaluate, parse,
};

/// Table source with four engines, of which one has no role, and an unavailable table of cells.
struct TestFleet;

fn engine(id: i64, zone: &str, role: Option<&str>, running: i64, used: f64) -> Row {
    let mut row = vec![Value::Null; Table::Engines.columns().len()];
    let mut set = |name: &str, value: Value| {
        row[Table::Engines.find_column(name).expect("the column exists")] = value;
    };
    set("id", Value::Integer(id));
    set("name", Value::from(format!("engine-{id}")));
    set("zone", Value::from(zone));
    set("role", Value::from(role));
    set("running", Value::Integer(running));
    set("cache_used_percent", Value::Real(used));
    set("pinned", Value::Boolean(id == 3));
    row
}

impl TableSource for TestFleet {
    fn rows(&self, table: Table) -> Result<Vec<Row>, QueryError> {
        match table {
            Table::Engines => Ok(vec![
                engine(1, "a", Some("prefill"), 4, 12.5),
                engine(2, "b", Some("decode"), 40, 90.0),
                engine(3, "a", Some("decode"), 31, 50.0),
                engine(4, "a", None, 0, 0.0),
            ]),
            Table::Cells => Err(QueryError::Unavailable {
                table,
                reason: "no controller is known".to_owned(),
            }),
            _ => Ok(Vec::new()),
        }
    }
}

fn run(text: &str) -> ResultSet {
    let statement = parse(text).unwrap_or_else(|error| panic!("{text}: {error}"));
    let Statement::Select(query) = statement else {
        panic!("{text} is not a query");
    };
    evaluate(&query, &TestFleet).unwrap_or_else(|error| panic!("{text}: {error}"))
}

/// Returns the ids of the engines selected by `clauses`, which follow `FROM engines`.
fn ids(clauses: &str) -> Vec<i64> {
    let rows = run(&format!("SELECT id FROM engines {clauses}")).rows;
    let number = |row: &Row| match row[0] {
        Value::Integer(number) => number,
        ref other => panic!("{other} is not an integer"),
    };
    rows.iter().map(number).collect()
}

#[test]
fn conditions_follow_three_valued_logic() {
    let cases: &[(&str, &[i64])] = &[
        ("", &[1, 2, 3, 4]),
        ("WHERE zone = 'a' AND role <> 'decode'", &[1]),
        ("WHERE role = 'decode' OR id = 4", &[2, 3, 4]),
        ("WHERE NOT role = 'decode'", &[1]),
        ("WHERE NOT (role = 'decode' AND zone = 'b')", &[1, 3, 4]),
        ("WHERE role IS NULL", &[4]),
        ("WHERE role IS NOT NULL AND NOT pinned = true", &[1, 2]),
        ("WHERE running >= 31", &[2, 3]),
        ("WHERE 31 < running", &[2]),
        ("WHERE running <= 4", &[1, 4]),
        ("WHERE running != 4", &[2, 3, 4]),
        ("WHERE cache_used_percent > 12", &[1, 2, 3]),
        ("WHERE running > 30.5", &[2, 3]),
        ("WHERE id > -1", &[1, 2, 3, 4]),
        ("WHERE id IN (1, 3, 9)", &[1, 3]),
        ("WHERE id NOT IN (1, 3)", &[2, 4]),
        ("WHERE role IN ('prefill')", &[1]),
        ("WHERE role NOT IN ('prefill')", &[2, 3]),
        (
            "WHERE name LIKE 'engine-_' AND name NOT LIKE '%2'",
            &[1, 3, 4],
        ),
        ("WHERE name LIKE '%n%e%3%'", &[3]),
        ("WHERE role LIKE '%'", &[1, 2, 3]),
        ("WHERE role NOT LIKE 'd%'", &[1]),
        ("WHERE role = 'Decode'", &[]),
        ("WHERE reason = 'x' OR id = 1", &[1]),
        ("WHERE reason = 'x' AND id = 1", &[]),
    ];
    for (clauses, expected) in cases {
        assert_eq!(ids(clauses), *expected, "{clauses}");
    }
}

#[test]
fn results_are_sorted_and_limited() {
    let cases: &[(&str, &[i64])] = &[
        ("ORDER BY running", &[4, 1, 3, 2]),
        ("ORDER BY running DESC LIMIT 2", &[2, 3]),
        ("ORDER BY role, id DESC", &[4, 3, 2, 1]),
        ("ORDER BY role DESC, id", &[1, 2, 3, 4]),
        ("ORDER BY cache_used_percent ASC LIMIT 1", &[4]),
        ("LIMIT 0", &[]),
    ];
    for (clauses, expected) in cases {
        assert_eq!(ids(clauses), *expected, "{clauses}");
    }
}

#[test]
fn unquoted_names_are_case_insensitive() {
    assert_eq!(ids("WHERE ZONE = 'b'"), [2]);
    assert_eq!(run("select ID from ENGINES limit 1;").columns, ["id"]);
}

#[test]
fn rows_are_counted_by_a_column() {
    let counted = run("SELECT role, COUNT(*) FROM engines GROUP BY role ORDER BY count DESC, role");
    assert_eq!(counted.columns, ["role", "count"]);
    let expected = [
        vec![Value::from("decode"), Value::Integer(2)],
        vec![Value::Null, Value::Integer(1)],
        vec![Value::from("prefill"), Value::Integer(1)],
    ];
    assert_eq!(counted.rows, expected);
    assert_eq!(
        run("SELECT COUNT(*) FROM engines WHERE zone = 'a'").rows,
        [[Value::Integer(3)]]
    );
    assert_eq!(
        run("SELECT count(*) FROM daemons").rows,
        [[Value::Integer(0)]]
    );
    assert!(
        run("SELECT zone FROM daemons GROUP BY zone")
            .rows
            .is_empty()
    );
}

#[test]
fn a_wildcard_selects_every_column_and_json_values_are_bare() {
    let all = run("SELECT * FROM engines WHERE id = 3");
    let names = Table::Engines.columns().iter().map(|column| column.name);
    assert!(all.columns.iter().map(String::as_str).eq(names));
    let some = run("SELECT id, role, pinned, cache_used_percent FROM engines WHERE id >= 3");
    let json = serde_json::to_string(&some).expect("serializes");
    assert_eq!(
        json,
        r#"{"columns":["id","role","pinned","cache_used_percent"],"rows":[[3,"decode",true,50.0],[4,null,false,0.0]]}"#
    );
    let read: ResultSet = serde_json::from_str(&json).expect("reads back");
    assert_eq!(read, some);
}

#[test]
fn an_unavailable_table_is_reported() {
    let Ok(Statement::Select(query)) = parse("SELECT * FROM cells") else {
        panic!("expected a query");
    };
    let error = evaluate(&query, &TestFleet).expect_err("unavailable");
    assert_eq!(
        error.to_string(),
        "the rows of cells cannot be read now: no controller is known; ask again, or ask another daemon"
    );
}
