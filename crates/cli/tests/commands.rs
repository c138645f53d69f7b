//! End-to-end tests of the commands: output formats, error messages and exit codes.

mod support;

use support::{TestDaemon, ponddrift, ponddrift_reading, unused_address};

const INSERT: &str = "INSERT INTO priorities (name, level) VALUES ('month-end', 0)";

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_is_shown_in_each_output_format() {
    let test_daemon = TestDaemon::start().await;
    let daemon = test_daemon.operator_address();
    let applied = ponddrift(&["--daemon", &daemon, "apply", "--operator", "hana", INSERT]).await;
    assert_eq!(applied.code, Some(0), "{}", applied.errors);
    assert!(
        applied.output.contains("accepted at revision"),
        "{}",
        applied.output
    );
    assert!(
        applied.output.contains("in force on 1 of 1 daemons"),
        "{}",
        applied.output
    );

    let query = "SELECT name, level FROM priorities";
    let ask = |format: &'static str| {
        let daemon = daemon.clone();
        async move { ponddrift(&["query", query, "--daemon", &daemon, "--output", format]).await }
    };
    assert_eq!(ask("csv").await.output, "name,level\nmonth-end,0\n");
    let table = ask("table").await.output;
    assert!(
        table.contains("month-end") && table.contains("1 row"),
        "{table}"
    );
    let json: serde_json::Value = serde_json::from_str(&ask("json").await.output).expect("JSON");
    assert_eq!(json["rows"], serde_json::json!([["month-end", 0]]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_read_from_standard_input() {
    let test_daemon = TestDaemon::start().await;
    let arguments = [
        "--daemon",
        &test_daemon.operator_address(),
        "--output",
        "csv",
        "query",
    ];
    let queried = ponddrift_reading(&arguments, "SELECT id, state FROM daemons\n").await;
    assert_eq!(
        (queried.code, queried.output.as_str()),
        (Some(0), "id,state\n1,alive\n")
    );
    let empty = ponddrift_reading(&arguments, " \n").await;
    assert_eq!(empty.code, Some(2));
    assert!(
        empty.errors.contains("write it after the command"),
        "{}",
        empty.errors
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_statement_exits_with_1_and_names_the_remedy() {
    let test_daemon = TestDaemon::start().await;
    let daemon = test_daemon.operator_address();
    let cases = [
        ("query", "SELECT * FROM engine", "did you mean engines?"),
        ("query", INSERT, "ponddrift apply"),
        ("apply", "SELECT * FROM engines", "ponddrift query"),
        (
            "apply",
            "DELETE FROM priorities WHERE name = 'absent'",
            "look with",
        ),
    ];
    for (command, statement, remedy) in cases {
        let refused = ponddrift(&["--daemon", &daemon, command, statement]).await;
        assert_eq!(refused.code, Some(1), "{statement}: {}", refused.errors);
        assert!(
            refused.errors.contains(remedy),
            "{statement}: {}",
            refused.errors
        );
        assert_eq!(refused.output, "");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_daemon_is_tried_and_the_exit_code_is_3_if_none_answers() {
    let test_daemon = TestDaemon::start().await;
    let (unreachable, daemon) = (unused_address().await, test_daemon.operator_address());
    let query = "SELECT id FROM daemons";
    let several = format!("{unreachable},{daemon}");
    let queried = ponddrift(&["--daemon", &several, "query", query]).await;
    assert_eq!(queried.code, Some(0), "{}", queried.errors);
    for arguments in [["query", query], ["apply", INSERT]] {
        let [command, statement] = arguments;
        let failed = ponddrift(&["--daemon", &unreachable, command, statement]).await;
        assert_eq!(failed.code, Some(3), "{}", failed.errors);
        assert!(
            failed.errors.contains("nothing was sent"),
            "{}",
            failed.errors
        );
        assert!(failed.errors.contains(&unreachable), "{}", failed.errors);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_daemon_id_and_addresses() {
    let test_daemon = TestDaemon::start().await;
    let daemon = test_daemon.operator_address();
    let status = ponddrift(&["--daemon", &daemon, "--output", "csv", "status"]).await;
    assert_eq!(status.code, Some(0), "{}", status.errors);
    assert!(status.output.contains("daemon,1\n"), "{}", status.output);
    let address = format!("addresses.operator,{daemon}\n");
    assert!(status.output.contains(&address), "{}", status.output);
}

#[tokio::test]
async fn check_config_works_without_a_daemon() {
    let template = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/ponddriftd.toml");
    let good = ponddrift(&["check-config", template]).await;
    assert_eq!(good.code, Some(0), "{}", good.errors);
    let other_file = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let bad = ponddrift(&["check-config", other_file]).await;
    assert_eq!(bad.code, Some(2));
    assert!(bad.errors.contains("fault"), "{}", bad.errors);
    let absent = ponddrift(&["check-config", "no-such-file.toml"]).await;
    assert_eq!(absent.code, Some(2));
    assert!(
        absent.errors.contains("check the name"),
        "{}",
        absent.errors
    );
}

#[tokio::test]
async fn help_lists_tables_and_invalid_usage_exits_with_2() {
    let help = ponddrift(&["--help"]).await;
    assert!(help.output.contains("Exit codes"), "{}", help.output);
    let tables = ponddrift(&["query", "--help"]).await;
    assert!(tables.output.contains("fencing_token"), "{}", tables.output);
    let completions = ponddrift(&["completions", "bash"]).await;
    assert!(completions.output.contains("_ponddrift"));
    for wrong in [
        vec![],
        vec!["quary"],
        vec!["--daemon", "localhost", "status"],
    ] {
        assert_eq!(ponddrift(&wrong).await.code, Some(2), "{wrong:?}");
    }
}
