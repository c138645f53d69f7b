//! Daemons that come back when all were lost: they serve long before they know everything.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, StoreMode};
use ponddrift_runtime::Runtime;
use support::{Fleet, FleetOptions, host_spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Time for each answer of a store that is busy with all daemons.
const SLOW_ANSWER: Duration = Duration::from_millis(400);
/// Entries beside those of the fleet's engines: several pages.
const MORE_ENTRIES: usize = 230;

/// A fleet with one daemon, and a store that holds several pages. The fleet's own engines are on the first one.
fn with_many_entries() -> Fleet {
    with_entries_named("j")
}

/// The same with entries whose names begin so; those of the fleet's engines begin with `i`.
fn with_entries_named(prefix: &str) -> Fleet {
    let fleet = Fleet::new(FleetOptions::default());
    for number in 0..MORE_ENTRIES {
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

fn lose_the_daemon(fleet: &mut Fleet) {
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
fn a_daemon_serves_from_the_first_page_of_what_the_store_holds() {
    let mut fleet = with_many_entries();
    fleet.store.set_mode(StoreMode::Slow(SLOW_ANSWER));
    lose_the_daemon(&mut fleet);
    // One answer of the store, and not two.
    fleet.wait(SLOW_ANSWER * 3 / 2);
    assert_eq!(status_of(&mut fleet, "1"), Some(StatusCode::OK));
}

#[test]
fn a_page_that_fails_is_read_again_and_none_before_it() {
    let mut fleet = with_many_entries();
    fleet.store.set_mode(StoreMode::Slow(SLOW_ANSWER));
    let before = fleet.store.pages_read().len();
    lose_the_daemon(&mut fleet);
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

/// What went while pages were read, and what went before and is missing from them, is gone.
#[test]
fn an_entry_that_goes_while_pages_are_read_is_not_kept() {
    let mut fleet = with_many_entries();
    fleet.store.set_mode(StoreMode::Slow(SLOW_ANSWER));
    lose_the_daemon(&mut fleet);
    fleet.wait(SLOW_ANSWER * 3 / 2);
    for engine in &fleet.records {
        engine.vanish(&fleet.store);
    }
    fleet.wait(SLOW_ANSWER * 8);
    assert_eq!(
        status_of(&mut fleet, "1"),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
}

/// Pages are no snapshot: a later one may be older than the first, and lack what was written between the two.
#[test]
fn an_entry_that_an_older_page_lacks_is_known_all_the_same() {
    let mut fleet = with_entries_named("a");
    for engine in &fleet.records {
        engine.record(&fleet.store, "ready");
    }
    fleet.store.set_page_lag(10);
    lose_the_daemon(&mut fleet);
    fleet.wait(Duration::from_secs(2));
    assert_eq!(status_of(&mut fleet, "1"), Some(StatusCode::OK));
}

/// Daemons of one zone, more than would all read the store.
const MANY_DAEMONS: u8 = 40;

/// A zone of many daemons that has been up for long enough that its distributors are known to the store.
fn large_zone() -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: MANY_DAEMONS,
        ..FleetOptions::default()
    });
    for number in 0..MORE_ENTRIES {
        let entry = r#"{"service":"others","address":"10.9.0.1:80","zone":"a","slots":1,"state":"ready","sequence":1}"#;
        fleet.store.put(&format!("servers/j-{number:03}"), entry);
    }
    fleet.wait(Duration::from_secs(15));
    fleet
}

fn lose_all_daemons(fleet: &mut Fleet) {
    let handle = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        handle.kill(daemon.host);
    }
    fleet.wait(Duration::from_millis(500));
    for daemon in &fleet.daemons {
        handle.restart(daemon.host);
    }
}

/// How many daemons answer a request with success.
fn serving(fleet: &mut Fleet) -> usize {
    fleet.ask_each_daemon("r")
}

/// After a loss of all daemons a few of each zone read the store, and the others read from those.
#[test]
fn most_daemons_of_a_large_zone_that_come_back_read_nothing_from_the_store() {
    let mut fleet = large_zone();
    let before = fleet.store.pages_read().len();
    lose_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(serving(&mut fleet), usize::from(MANY_DAEMONS));
    fleet.wait(Duration::from_secs(2));
    let pages = fleet.store.pages_read().split_off(before);
    let whole_reads = pages.iter().filter(|after| after.is_empty()).count();
    assert_eq!(whole_reads, 2, "{pages:?}");
}

/// Those that hand on everything may be gone for good.
#[test]
fn daemons_whose_distributors_are_gone_read_the_store() {
    let mut fleet = large_zone();
    let listed = fleet.store.keys("ponddrift/distributors/");
    assert_eq!(listed, ["ponddrift/distributors/a"]);
    let nobody: Vec<String> = (1..=4)
        .map(|number| format!("10.9.9.{number}:7660"))
        .collect();
    let list = serde_json::to_string(&nobody).expect("a list");
    fleet.store.put(&listed[0], list);
    lose_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(4));
    assert_eq!(serving(&mut fleet), usize::from(MANY_DAEMONS));
}

#[test]
fn a_list_of_distributors_that_cannot_be_read_is_none() {
    let mut fleet = large_zone();
    fleet.store.put("ponddrift/distributors/a", "[\"nowhere\"");
    lose_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(serving(&mut fleet), usize::from(MANY_DAEMONS));
}

fn keys_of_daemons(fleet: &Fleet) -> Vec<(String, Option<u64>)> {
    let keys = fleet.store.keys("ponddrift/daemons/").into_iter();
    keys.map(|key| {
        let revision = fleet.store.revision_of(&key);
        (key, revision)
    })
    .collect()
}

/// Nobody is told anything of daemons that come back within the life of their leases.
#[test]
fn daemons_that_come_back_soon_do_not_write_their_keys_again() {
    let mut fleet = large_zone();
    let before = keys_of_daemons(&fleet);
    assert_eq!(before.len(), usize::from(MANY_DAEMONS));
    lose_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(30));
    assert_eq!(keys_of_daemons(&fleet), before);
}

/// The lease of a former life may hold the key no longer: what was read of it may have been old.
#[test]
fn a_daemon_whose_key_went_after_it_came_back_writes_it_again() {
    let mut fleet = large_zone();
    lose_all_daemons(&mut fleet);
    fleet.wait(Duration::from_millis(500));
    fleet.store.remove("ponddrift/daemons/daemon-7");
    fleet.wait(Duration::from_secs(8));
    assert_eq!(keys_of_daemons(&fleet).len(), usize::from(MANY_DAEMONS));
}

/// A peer that answers each question with the next of some answers that are no pages.
async fn answer_nonsense(runtime: Runtime, ip: [u8; 4]) {
    let answers: [&[u8]; 5] = [
        // Longer than any answer.
        &[0xff, 0xff, 0xff, 0xff],
        // Breaks off.
        &[0, 0, 1, 0, 1, 2, 3],
        // No value of any kind.
        &[0, 0, 0, 2, 9, 9],
        // A page that would unpack to four gigabytes.
        &[0, 0, 0, 9, 1, 4, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        // A page that cannot be unpacked.
        &[0, 0, 0, 11, 1, 6, 0, 0, 0, 8, 0, 0, 0, 0xff, 0xff],
    ];
    let listener = runtime
        .network
        .listen(SocketAddr::from((ip, 7660)))
        .await
        .expect("the address is free");
    for answer in answers.iter().cycle() {
        let (mut stream, _peer) = listener.accept().await.expect("accepts");
        let mut question = [0; 64];
        if stream.read(&mut question).await.is_ok() {
            // A daemon that has gone away needs no answer.
            drop(stream.write_all(answer).await);
        }
    }
}

#[test]
fn daemons_whose_distributors_answer_nonsense_read_the_store() {
    let mut fleet = large_zone();
    let ips = [[10, 0, 1, 201], [10, 0, 1, 202], [10, 0, 1, 203]];
    for ip in ips {
        let name = format!("nonsense-{}", ip[3]);
        fleet
            .simulation
            .add_host(host_spec(&name, ip), move |runtime| answer_nonsense(runtime, ip));
    }
    let list = ips.map(|ip| SocketAddr::from((ip, 7660)).to_string());
    let list = serde_json::to_string(&list).expect("a list");
    fleet.store.put("ponddrift/distributors/a", list);
    lose_all_daemons(&mut fleet);
    fleet.wait(Duration::from_secs(4));
    assert_eq!(serving(&mut fleet), usize::from(MANY_DAEMONS));
}

/// The store forgets its history while no daemon hears another, so that all of them ask it and learn that at the same time.
#[test]
fn most_daemons_of_a_large_zone_read_nothing_when_the_store_forgets_its_history() {
    let mut fleet = large_zone();
    let before = fleet.store.pages_read().len();
    let handle = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        handle.freeze(daemon.host);
    }
    fleet.configure(2, &support::routes()[..1]);
    fleet.store.drop_history();
    fleet.wait(Duration::from_secs(2));
    for daemon in &fleet.daemons {
        handle.thaw(daemon.host);
    }
    fleet.wait(Duration::from_secs(4));
    assert_eq!(
        serving(&mut fleet),
        0,
        "the route that is gone is known to be gone everywhere"
    );
    let pages = fleet.store.pages_read().split_off(before);
    let whole_reads = pages.iter().filter(|after| after.is_empty()).count();
    assert!(whole_reads <= 4, "{whole_reads} whole reads");
}
