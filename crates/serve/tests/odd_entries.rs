//! Entries of other writers among those of the back ends. They name no back end to use; the others
//! stay in use, also when all daemons read the store anew.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{Fleet, FleetOptions, RECORDS, routes};

/// Requests to each daemon.
const ROUNDS: usize = 5;
/// Time for daemons to read the store after a restart.
const READ_TIME: Duration = Duration::from_secs(3);

fn fleet() -> Fleet {
    Fleet::new(FleetOptions {
        daemons: 3,
        ..FleetOptions::default()
    })
}

fn restart_all_daemons(fleet: &mut Fleet) {
    let simulation = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        simulation.kill(daemon.host);
    }
    fleet.wait(Duration::from_millis(100));
    for daemon in &fleet.daemons {
        simulation.restart(daemon.host);
    }
    fleet.wait(READ_TIME);
}

/// Asserts that all requests are served, each by a back end with a proper entry.
fn assert_served(fleet: &mut Fleet, case: &str) {
    for round in 0..ROUNDS {
        let served = fleet.ask_each_daemon(&format!("round-{round}"));
        assert_eq!(served, fleet.daemons.len(), "{case:?}, round {round}");
    }
    let rejected: usize = fleet.records.iter().map(|engine| engine.rejected()).sum();
    assert_eq!(rejected, 0, "{case:?}: requests for another instance");
}

/// Texts with a meaning in the target of a call, or that must not stand there.
const RESERVED_TEXTS: [&str; 9] = ["&", "+", "#", "%", " ", "%26", "?", "\u{1}", "\u{e9}"];

/// Guards against a full read that does not get past the name of one entry.
#[test]
fn a_list_whose_pages_end_with_reserved_characters_is_read_to_its_end() {
    /// More than a page of the store.
    const ENTRIES: usize = 60;
    for text in RESERVED_TEXTS {
        let mut fleet = fleet();
        // They sort before the entries of the back ends.
        for number in 0..ENTRIES {
            fleet
                .store
                .put(&format!("servers/h{text}{number:02}"), "{}");
        }
        assert_served(&mut fleet, text);
        restart_all_daemons(&mut fleet);
        assert_served(&mut fleet, text);
    }
}

/// A proper value, with the address of a back end that has an entry of its own.
fn proper_value(fleet: &Fleet) -> Value {
    json!({
        "service": RECORDS, "address": fleet.records[0].address().to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 0,
    })
}

/// Writes entries, and asserts that requests are served by others while they stand, before and after
/// a restart, and that later changes are followed.
fn assert_left_out(case: &str, entries: impl FnOnce(&Fleet) -> Vec<(String, Vec<u8>)>) {
    let mut fleet = fleet();
    let entries = entries(&fleet);
    for (key, value) in &entries {
        fleet.store.put(key, value.clone());
    }
    fleet.wait(READ_TIME);
    assert_served(&mut fleet, case);
    restart_all_daemons(&mut fleet);
    assert_served(&mut fleet, case);
    for daemon in 0..fleet.daemons.len() {
        let unusable = fleet.metric(daemon, "ponddrift_unusable_back_end_entries");
        #[expect(clippy::cast_precision_loss, reason = "a few entries")]
        let expected = entries.len() as f64;
        assert!(unusable == expected, "{case:?}: {unusable} left out");
    }
    let mut later_routes = routes();
    later_routes.retain(|route| route.name != "post");
    fleet.configure(2, &later_routes);
    fleet.wait(READ_TIME);
    for daemon in 0..fleet.daemons.len() {
        let version = fleet.metric(daemon, "ponddrift_configuration_version");
        assert!(version == 2.0, "{case:?}: configuration {version} in force");
    }
}

/// Guards against requests for an instance whose name cannot be sent, or that no back end has.
#[test]
fn entries_under_names_that_no_back_end_has_are_left_out() {
    for name in RESERVED_TEXTS.into_iter().chain(["/", ":", "\u{7f}"]) {
        assert_left_out(name, |fleet| {
            let value = proper_value(fleet).to_string().into_bytes();
            let keys = (0..5).map(|number| format!("servers/odd{name}{number}"));
            keys.map(|key| (key, value.clone())).collect()
        });
    }
    assert_left_out("no name", |fleet| {
        let value = proper_value(fleet).to_string().into_bytes();
        vec![(String::from("servers/"), value)]
    });
}

/// Guards against connections to addresses that no back end can have.
#[test]
fn entries_with_addresses_that_no_back_end_has_are_left_out() {
    for address in [
        "10.0.1.1:0",
        "10.0.1.1:65536",
        "10.0.1.1:-1",
        "10.0.1.1",
        "0.0.0.0:8080",
        "255.255.255.255:8080",
        "224.0.0.1:8080",
        "[::]:8080",
        "localhost:8080",
        "",
    ] {
        assert_left_out(address, |fleet| {
            let mut value = proper_value(fleet);
            value["address"] = json!(address);
            vec![(String::from("servers/odd"), value.to_string().into())]
        });
    }
}

/// Guards against values that end the process, or that end the following of the store.
#[test]
fn values_that_cannot_be_read_are_left_out() {
    /// Deeper than a thread's stack if each level took a call.
    const DEPTH: usize = 100_000;
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let unclosed = "{\"a\":".repeat(DEPTH);
    let field = |name: &str, value: &str| {
        format!(
            r#"{{"service":"records","address":"10.0.1.1:8080","zone":"a","state":"ready",
                "{name}":{value}}}"#
        )
    };
    let long = format!("\"{}\"", "x".repeat(900_000));
    for (case, value) in [
        ("nested", nested.clone()),
        ("not closed", unclosed),
        ("nested cold time", field("coldRemainingMs", &nested)),
        ("nested slots", field("slots", &nested)),
        ("large slots", field("slots", "4294967296")),
        ("infinite slots", field("slots", "1e999")),
        ("negative slots", field("slots", "-1")),
        ("large start time", field("born", "18446744073709551616")),
        ("text as start time", field("born", "\"now\"")),
        ("unknown state", field("state", "\"resting\"")),
        ("unknown stage", field("stage", "\"resting\"")),
        ("number as version", field("version", "7")),
        ("long version", field("version", &long)),
        ("version with a line break", field("version", r#""a\nb""#)),
        ("two zones", field("zone", "\"b\"")),
        ("empty", String::new()),
        ("null", String::from("null")),
    ] {
        assert_left_out(case, |_fleet| {
            vec![(String::from("servers/odd"), value.into_bytes())]
        });
    }
    assert_left_out("no text", |_fleet| {
        vec![(String::from("servers/odd"), vec![0xff, 0xfe, 0])]
    });
}

/// Guards against daemons that nobody can reach among those that share work.
#[test]
fn entries_of_daemons_that_cannot_be_reached_are_left_out() {
    let mut fleet = fleet();
    // Time for the daemons to update their metrics.
    fleet.wait(READ_TIME);
    let daemons = fleet.metric(0, "ponddrift_daemons");
    for (number, address) in ["10.0.2.9:0", "10.0.2.9:65536", "0.0.0.0:7660", "none"]
        .into_iter()
        .enumerate()
    {
        let value = json!({"zone": "a", "address": address, "linkMbps": 1000});
        let key = format!("ponddrift/daemons/odd-{number}");
        fleet.store.put(&key, value.to_string());
    }
    let value = json!({"zone": "a\nb", "address": "10.0.2.9:7660", "linkMbps": 1000});
    fleet
        .store
        .put("ponddrift/daemons/odd-zone", value.to_string());
    fleet.wait(READ_TIME);
    assert!(fleet.metric(0, "ponddrift_daemons") == daemons);
    restart_all_daemons(&mut fleet);
    assert_served(&mut fleet, "daemons");
    assert!(fleet.metric(0, "ponddrift_daemons") == daemons);
}

/// Guards against a name in the configuration that makes the metrics page unreadable.
#[test]
fn names_of_routes_are_escaped_in_metrics() {
    let mut fleet = fleet();
    let mut configuration: Value =
        serde_json::from_str(&support::configuration(2, &routes())).expect("valid JSON");
    for route in configuration["routes"].as_array_mut().expect("a list") {
        route["name"] = json!("a \"b\" \\ c\nd");
    }
    fleet.store.put("op/config", configuration.to_string());
    fleet.wait(READ_TIME);
    assert_served(&mut fleet, "names of routes");
    let escaped = r#"ponddrift_requests_total{route="a \"b\" \\ c\nd""#;
    assert!(fleet.metric(0, escaped) > 0.0);
}

/// Guards against changes that are larger than an answer of the store may be: they would be asked for
/// again and again.
#[test]
fn many_large_entries_at_once_do_not_end_the_following_of_the_store() {
    let mut fleet = fleet();
    for number in 0..40 {
        let key = format!("servers/large-{number:02}");
        fleet.store.put(&key, vec![b'['; 1 << 20]);
    }
    fleet.configure(2, &routes());
    fleet.wait(READ_TIME);
    assert_served(&mut fleet, "large");
    for daemon in 0..fleet.daemons.len() {
        let version = fleet.metric(daemon, "ponddrift_configuration_version");
        assert!(version == 2.0, "configuration {version} in force");
    }
}
