//! Restarts of lost daemons: they serve before they have read the whole store, and most of them
//! read it from a few distributors.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, StoreMode};
use ponddrift_runtime::Runtime;
use support::{Fleet, FleetOptions, host_spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Response time of a store that is loaded by all daemons.
const SLOW_ANSWER: Duration = Duration::from_millis(400);
/// Number of further entries, which fill several pages.
const FURTHER_ENTRIES: usize = 230;

/// A fleet with one daemon and a store of several pages; the first page lists the engines.
fn fleet_with_many_entries() -> Fleet {
    fleet_with_entries_named("j")
}

/// Like [`fleet_with_many_entries`], with another prefix for the names of the further entries.
/// Those of engines begin with `i`.
fn fleet_with_entries_named(prefix: &str) -> Fleet {
    let fleet = Fleet::new(FleetOptions::default());
    for number in 0..FURTHER_ENTRIES {
        let entry = format!(
            r#"{{"service":"others","address":"10.9.0.{}:80","zone":"a","slots":1,"state":"ready","sequence":1}}"#,
            number % 250
        );
        fleet
            .store
            .put(&format!("servers/{prefix}-{number:03}"), entry);
    }
    fleet
}

fn restart_daemon(fleet: &mut Fleet) {
    let handle = fleet.simulation.handle();
    handle.kill(fleet.daemons[0].host);
    fleet.wait(Duration::from_millis(100));
    handle.restart(fleet.daemons[0].host);
}

fn status_of(fleet: &mut Fleet, request: &str) -> Option<StatusCode> {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let request = ClientRequest::plain(request, "fetch");
    let answer = fleet.run(async move { client.ask(target, &request).await });
    answer.map(|answer| answer.status)
}

#[test]
fn a_daemon_serves_as_soon_as_it_has_read_the_first_page() {
    let mut fleet = fleet_with_many_entries();
    fleet.store.set_mode(StoreMode::Slow(SLOW_ANSWER));
    restart_daemon(&mut fleet);
    // Time for one response of the store, but not for two.
    fleet.wait(SLOW_ANSWER * 3 / 2);
    assert_eq!(status_of(&mut fleet, "1"), Some(StatusCode::OK));
}

#[test]
fn only_the_failed_page_is_read_again() {
    let mut fleet = fleet_with_many_entries();
    fleet.store.set_mode(StoreMode::Slow(SLOW_ANSWER));
    let before = fleet.store.pages_read().len();
    restart_daemon(&mut fleet);
    fleet.wait(SLOW_ANSWER * 5 / 2);
    fleet.store.set_mode(StoreMode::Busy);
    fleet.wait(Duration::from_secs(2));
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait(Duration::from_secs(2));
    let pages = fleet.store.pages_read().split_off(before);
    let mut distinct = pages.clone();
    distinct.dedup();
    assert!(pages.len() > 3, "{pages:?}");
    assert_eq!(pages, distinct, "a page was read twice");
    assert!(pages.is_sorted(), "{pages:?}");
}

/// An entry that is removed while pages are read must not stay known.
#[test]
fn an_entry_removed_while_pages_are_read_is_not_kept() {
    let mut fleet = fleet_with_many_entries();
    fleet.store.set_mode(StoreMode::Slow(SLOW_ANSWER));
    restart_daemon(&mut fleet);
    fleet.wait(SLOW_ANSWER * 3 / 2);
    for engine in &fleet.records {
        engine.remove_entry(&fleet.store);
    }
    fleet.wait(SLOW_ANSWER * 8);
    assert_eq!(
        status_of(&mut fleet, "1"),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
}

/// Pages are no snapshot: a later page may be older than the first one and lack newer entries.
#[test]
fn an_entry_missing_from_an_older_page_is_still_known() {
    let mut fleet = fleet_with_entries_named("a");
    for engine in &fleet.records {
        engine.record(&fleet.store, "ready");
    }
    fleet.store.set_page_lag(10);
    restart_daemon(&mut fleet);
    fleet.wait(Duration::from_secs(2));
    assert_eq!(status_of(&mut fleet, "1"), Some(StatusCode::OK));
}

/// Daemons of one zone: so many that only a few of them read the store.
const MANY_DAEMONS: u8 = 40;

/// A zone of many daemons that has run long enough for its distributors to be listed in the store.
fn large_zone() -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: MANY_DAEMONS,
        ..FleetOptions::default()
    });
    for number in 0..FURTHER_ENTRIES {
        let entry = r#"{"service":"others","address":"10.9.0.1:80","zone":"a","slots":1,"state":"ready","sequence":1}"#;
        fleet.store.put(&format!("servers/j-{number:03}"), entry);
    }
    fleet.wait(Duration::from_secs(15));
    fleet
}

fn restart_all_daemons(fleet: &mut Fleet) {
    let handle = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        handle.kill(daemon.host);
    }
    fleet.wait(Duration::from_millis(500));
    for daemon in &fleet.daemons {
        handle.restart(daemon.host);
    }
}

/// Number of daemons that serve a request.
fn serving_daemons(fleet: &mut Fleet) -> usize {
    fleet.ask_each_daemon("r")
}

/// After a loss of all daemons, the distributors of each zone read the store and the other daemons
/// read from them.
#[test]
fn most_restarted_daemons_of_a_large_zone_do_not_read_the_store() {
    let mut fleet = large_zone();
    let before = fleet.store.pages_read().len();
    restart_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(serving_daemons(&mut fleet), usize::from(MANY_DAEMONS));
    fleet.wait(Duration::from_secs(2));
    let pages = fleet.store.pages_read().split_off(before);
    let whole_reads = pages.iter().filter(|after| after.is_empty()).count();
    assert_eq!(whole_reads, 2, "{pages:?}");
}

/// The listed distributors may be gone for good.
#[test]
fn daemons_whose_distributors_are_gone_read_the_store() {
    let mut fleet = large_zone();
    let listed = fleet.store.keys("ponddrift/distributors/");
    assert_eq!(listed, ["ponddrift/distributors/a"]);
    let unreachable: Vec<String> = (1..=4)
        .map(|number| format!("10.9.9.{number}:7660"))
        .collect();
    let list = serde_json::to_string(&unreachable).expect("a list");
    fleet.store.put(&listed[0], list);
    restart_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(4));
    assert_eq!(serving_daemons(&mut fleet), usize::from(MANY_DAEMONS));
}

#[test]
fn an_invalid_list_of_distributors_is_ignored() {
    let mut fleet = large_zone();
    fleet.store.put("ponddrift/distributors/a", "[\"nowhere\"");
    restart_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(serving_daemons(&mut fleet), usize::from(MANY_DAEMONS));
}

fn daemon_keys_with_revisions(fleet: &Fleet) -> Vec<(String, Option<u64>)> {
    let keys = fleet.store.keys("ponddrift/daemons/").into_iter();
    keys.map(|key| {
        let revision = fleet.store.revision_of(&key);
        (key, revision)
    })
    .collect()
}

/// Daemons that restart within the duration of their leases must not cause changes in the store.
#[test]
fn daemons_that_restart_soon_do_not_write_their_keys_again() {
    let mut fleet = large_zone();
    let before = daemon_keys_with_revisions(&fleet);
    assert_eq!(before.len(), usize::from(MANY_DAEMONS));
    restart_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(30));
    assert_eq!(daemon_keys_with_revisions(&fleet), before);
}

/// The key may be removed after the restarted daemon has read it, when the former lease ends.
#[test]
fn a_daemon_whose_key_is_removed_after_its_restart_writes_it_again() {
    let mut fleet = large_zone();
    restart_all_daemons(&mut fleet);
    fleet.wait(Duration::from_millis(500));
    fleet.store.remove("ponddrift/daemons/daemon-7");
    fleet.wait(Duration::from_secs(8));
    assert_eq!(
        daemon_keys_with_revisions(&fleet).len(),
        usize::from(MANY_DAEMONS)
    );
}

/// Runs a peer that answers each request with the next of several invalid pages.
async fn run_invalid_distributor(runtime: Runtime, ip: [u8; 4]) {
    let invalid_answers: [&[u8]; 5] = [
        // A length above the limit.
        &[0xff, 0xff, 0xff, 0xff],
        // Truncated.
        &[0, 0, 1, 0, 1, 2, 3],
        // An unknown kind of message.
        &[0, 0, 0, 2, 9, 9],
        // A page that claims to decompress to four gigabytes.
        &[0, 0, 0, 9, 1, 4, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        // A page that cannot be decompressed.
        &[0, 0, 0, 11, 1, 6, 0, 0, 0, 8, 0, 0, 0, 0xff, 0xff],
    ];
    let listener = runtime
        .network
        .listen(SocketAddr::from((ip, 7660)))
        .await
        .expect("the address is free");
    for answer in invalid_answers.iter().cycle() {
        let (mut stream, _peer) = listener.accept().await.expect("the listener is open");
        let mut request = [0; 64];
        if stream.read(&mut request).await.is_ok() {
            // The daemon may have closed the connection.
            drop(stream.write_all(answer).await);
        }
    }
}

#[test]
fn daemons_whose_distributors_send_invalid_pages_read_the_store() {
    let mut fleet = large_zone();
    let ips = [[10, 0, 1, 201], [10, 0, 1, 202], [10, 0, 1, 203]];
    for ip in ips {
        let name = format!("nonsense-{}", ip[3]);
        fleet
            .simulation
            .add_host(host_spec(&name, ip), move |runtime| {
                run_invalid_distributor(runtime, ip)
            });
    }
    let list = ips.map(|ip| SocketAddr::from((ip, 7660)).to_string());
    let list = serde_json::to_string(&list).expect("a list");
    fleet.store.put("ponddrift/distributors/a", list);
    restart_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(4));
    assert_eq!(serving_daemons(&mut fleet), usize::from(MANY_DAEMONS));
}

/// All daemons find out at the same time that the watch history is gone: they are frozen when it is
/// dropped, so none can warn the others.
#[test]
fn most_daemons_of_a_large_zone_do_not_read_the_store_when_its_history_is_dropped() {
    let mut fleet = large_zone();
    let before = fleet.store.pages_read().len();
    let handle = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        handle.freeze(daemon.host);
    }
    fleet.configure(2, &support::routes()[..1]);
    fleet.store.compact_history();
    fleet.wait(Duration::from_secs(2));
    for daemon in &fleet.daemons {
        handle.thaw(daemon.host);
    }
    fleet.wait(Duration::from_secs(4));
    assert_eq!(
        serving_daemons(&mut fleet),
        0,
        "every daemon knows that the route was removed"
    );
    let pages = fleet.store.pages_read().split_off(before);
    let whole_reads = pages.iter().filter(|after| after.is_empty()).count();
    assert!(whole_reads <= 4, "{whole_reads} whole reads");
}
