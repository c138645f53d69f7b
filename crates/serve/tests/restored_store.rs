//! A store that is restored from an older copy: writes since the copy are lost, revisions are
//! assigned again, and each restore begins a new era.
//!
//! Guards against daemons that compare revisions across eras: they would ignore new changes under
//! revisions that they know, read the whole store again and again, or have several leaders.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, StoreCopy, StoreMode, UsageRecord};
use support::{Fleet, FleetOptions, routes};

/// Fleet sizes: all daemons watch the store; two watch it for the others; three zones, each of
/// which is a neighbourhood of its own.
const FLEET_SIZES: [u8; 3] = [3, 9, 95];
/// Era of the store before its first restore.
const FIRST_ERA: u64 = 1;
/// Time during which the store is unavailable before it is restored.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Time after a write within which all daemons must have applied it.
const APPLY_TIME: Duration = Duration::from_millis(1_900);
/// Number of requests to each daemon: enough for every known back end to be chosen.
const ROUNDS: u32 = 4;

fn fleet_of(daemons: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        zones: if daemons > 24 { 3 } else { 1 },
        ..FleetOptions::default()
    });
    fleet.store.set_era(FIRST_ERA);
    fleet.wait(Duration::from_secs(6));
    fleet
}

/// Writes configurations that differ only in their version, to advance the revision of the store.
fn write_versions(fleet: &mut Fleet, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        fleet.configure(version, &routes());
    }
    fleet.wait(Duration::from_secs(1));
}

fn restore_after_outage(fleet: &mut Fleet, copy: &StoreCopy) {
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(OUTAGE);
    fleet.store.restore_from(copy);
    fleet.store.set_mode(StoreMode::Up);
}

/// Sends retryable requests to each daemon. Returns the statuses of the responses.
fn send_safe_requests(fleet: &mut Fleet, name: &str) -> Vec<StatusCode> {
    send_requests(fleet, |number| {
        ClientRequest::plain(&format!("{name}-{number}"), "fetch")
    })
}

/// Sends requests that must run once to each daemon. Returns the statuses of the responses.
fn send_unsafe_requests(fleet: &mut Fleet, name: &str) -> Vec<StatusCode> {
    send_requests(fleet, |number| {
        ClientRequest::plain(&format!("{name}-{number}"), "post")
    })
}

fn send_requests(fleet: &mut Fleet, request: impl Fn(u32) -> ClientRequest) -> Vec<StatusCode> {
    let client = fleet.client.clone();
    let daemons = fleet.daemons.clone();
    fleet.run(async move {
        let mut statuses = Vec::new();
        let mut number = 0;
        for _ in 0..ROUNDS {
            let round_requests = daemons.iter().map(|daemon| {
                number += 1;
                let (client, request) = (client.clone(), request(number));
                let target = daemon.callers_address;
                async move { client.ask(target, &request).await }
            });
            let answers = join_all(round_requests).await;
            statuses.extend(
                answers
                    .into_iter()
                    .map(|answer| answer.expect("a response").status),
            );
        }
        statuses
    })
}

fn count(statuses: &[StatusCode], expected_status: StatusCode) -> usize {
    statuses
        .iter()
        .filter(|status| **status == expected_status)
        .count()
}

/// Asserts that each daemon has applied [`write_changes`]: it knows that the route was removed, and
/// sends nothing to the draining server.
fn assert_changes_in_force(fleet: &mut Fleet, context: &str) {
    let before = fleet.records[0].arrivals().len();
    let statuses = send_safe_requests(fleet, context);
    let posted = send_unsafe_requests(fleet, context);
    assert_eq!(
        count(&statuses, StatusCode::NOT_FOUND),
        statuses.len(),
        "{context}: the route is removed"
    );
    assert_eq!(
        count(&posted, StatusCode::OK),
        posted.len(),
        "{context}: the other route is served"
    );
    let new_arrivals = fleet.records[0].arrivals().len() - before;
    assert_eq!(new_arrivals, 0, "{context}: requests to a draining server");
}

/// Marks a server as draining and writes a configuration without the route `fetch`.
fn write_changes(fleet: &Fleet, version: u64) {
    fleet.records[0].record(&fleet.store, "draining");
    fleet.configure(version, &routes()[..1]);
}

#[test]
fn changes_under_reassigned_revisions_are_applied_by_all_daemons_in_the_next_era() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        restore_after_outage(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        write_changes(&fleet, 21);
        fleet.wait(APPLY_TIME);
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
    }
}

#[test]
fn changes_are_applied_if_revisions_pass_the_old_position_before_any_daemon_reads() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        fleet.store.set_mode(StoreMode::Silent);
        fleet.wait(OUTAGE);
        fleet.store.restore_from(&copy);
        write_changes(&fleet, 21);
        for number in 0..20 {
            fleet.store.put("op/note", number.to_string());
        }
        fleet.store.set_mode(StoreMode::Up);
        fleet.wait(APPLY_TIME);
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
    }
}

/// The restore is so quick that no call fails, and a watch is pending across it.
#[test]
fn a_watch_that_is_pending_during_a_restore_hides_no_changes_of_the_next_era() {
    for passes_old_position in [false, true] {
        for daemons in FLEET_SIZES {
            let mut fleet = fleet_of(daemons);
            let copy = fleet.store.copy();
            write_versions(&mut fleet, 2..=20);
            fleet.store.restore_from(&copy);
            write_changes(&fleet, 21);
            if passes_old_position {
                for number in 0..20 {
                    fleet.store.put("op/note", number.to_string());
                }
            }
            fleet.wait(APPLY_TIME);
            let context = format!("{daemons} daemons, passes: {passes_old_position}");
            assert_changes_in_force(&mut fleet, &context);
        }
    }
}

#[test]
fn changes_are_applied_after_two_restores_in_a_row() {
    let mut fleet = fleet_of(9);
    let first = fleet.store.copy();
    write_versions(&mut fleet, 2..=20);
    let second = fleet.store.copy();
    write_versions(&mut fleet, 21..=40);
    restore_after_outage(&mut fleet, &second);
    fleet.wait(Duration::from_millis(300));
    restore_after_outage(&mut fleet, &first);
    fleet.wait(Duration::from_millis(300));
    write_changes(&fleet, 41);
    fleet.wait(APPLY_TIME);
    assert_changes_in_force(&mut fleet, "two restores");
}

/// Changes that daemons know stay in force although nothing is written again, even at a daemon that
/// restarts and reads only the copy.
#[test]
fn acknowledged_changes_stay_known_after_a_restore_without_them() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_changes(&fleet, 2);
        fleet.wait(Duration::from_secs(1));
        restore_after_outage(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
        let handle = fleet.simulation.handle();
        handle.restart(fleet.daemons[0].host);
        fleet.wait(APPLY_TIME);
        let context = format!("{daemons} daemons, one of them restarted");
        assert_changes_in_force(&mut fleet, &context);
    }
}

#[test]
fn a_removed_server_gets_no_requests_although_an_older_copy_contains_it() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        fleet.records[0].remove_entry(&fleet.store);
        fleet.wait(Duration::from_secs(1));
        restore_after_outage(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        let statuses = send_safe_requests(&mut fleet, "gone");
        assert_eq!(count(&statuses, StatusCode::OK), statuses.len());
        assert_eq!(fleet.records[0].arrivals().len(), 0, "{daemons} daemons");
        // Its next incarnation gets requests.
        fleet.records[0].start_new_incarnation(2_000);
        fleet.records[0].record(&fleet.store, "ready");
        fleet.wait(APPLY_TIME);
        send_safe_requests(&mut fleet, "again");
        assert!(!fleet.records[0].runs().is_empty(), "{daemons} daemons");
    }
}

/// A daemon restarts during the restore and reads some pages before and some after it.
#[test]
fn a_daemon_that_restarts_during_a_restore_mixes_no_pages_of_two_eras() {
    for moment_ms in [100, 300, 500, 700, 900] {
        let mut fleet = fleet_of(9);
        for number in 0..230 {
            let entry = r#"{"service":"others","address":"10.9.0.1:80","zone":"a","slots":1,"state":"ready","sequence":1}"#;
            fleet.store.put(&format!("servers/j-{number:03}"), entry);
        }
        fleet.wait(Duration::from_secs(1));
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        fleet
            .store
            .set_mode(StoreMode::Slow(Duration::from_millis(150)));
        fleet.simulation.handle().restart(fleet.daemons[0].host);
        fleet.wait(Duration::from_millis(moment_ms));
        fleet.store.restore_from(&copy);
        write_changes(&fleet, 21);
        fleet.store.set_mode(StoreMode::Up);
        fleet.wait(APPLY_TIME);
        assert_changes_in_force(&mut fleet, &format!("{moment_ms} ms"));
    }
}

#[test]
fn daemons_that_the_store_refuses_learn_of_its_return_from_their_peers() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        for refused in fleet.daemons.iter().take(usize::from(daemons / 3)) {
            fleet.store.refuse(refused.daemon_ip);
        }
        fleet.wait(Duration::from_secs(2));
        restore_after_outage(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        write_changes(&fleet, 21);
        fleet.wait(APPLY_TIME);
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
    }
}

/// The leases of the refused daemons expire at different moments of the restore: before anything is
/// read, between the read and the change, and after the change.
#[test]
fn refused_daemons_apply_changes_whenever_their_restored_leases_expire() {
    for daemons in FLEET_SIZES {
        for lease_life_ms in (0..=2_000).step_by(200) {
            let lease_life = Duration::from_millis(lease_life_ms);
            let mut fleet = fleet_of(daemons);
            let copy = fleet.store.copy().with_lease_life(lease_life);
            write_versions(&mut fleet, 2..=20);
            for refused in fleet.daemons.iter().take(usize::from(daemons / 3)) {
                fleet.store.refuse(refused.daemon_ip);
            }
            fleet.wait(Duration::from_secs(2));
            restore_after_outage(&mut fleet, &copy);
            fleet.wait(Duration::from_secs(1));
            write_changes(&fleet, 21);
            fleet.wait(APPLY_TIME);
            let context = format!("{daemons} daemons, leases of {lease_life_ms} ms");
            assert_changes_in_force(&mut fleet, &context);
        }
    }
}

/// Servers that are missing from the copy must be used until they have had time to write their
/// entries again.
#[test]
fn servers_missing_from_an_older_copy_are_not_removed_at_once() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy().without_prefix("servers/");
        fleet.wait(Duration::from_secs(1));
        restore_after_outage(&mut fleet, &copy);
        fleet.wait(Duration::from_millis(1_000));
        let statuses = send_safe_requests(&mut fleet, "doubted");
        assert_eq!(
            count(&statuses, StatusCode::OK),
            statuses.len(),
            "{daemons} daemons"
        );
        fleet.wait(Duration::from_secs(6));
        let statuses = send_safe_requests(&mut fleet, "gone");
        assert_eq!(
            count(&statuses, StatusCode::SERVICE_UNAVAILABLE),
            statuses.len(),
            "{daemons} daemons"
        );
    }
}

fn daemon_keys(fleet: &Fleet) -> usize {
    fleet.store.keys("ponddrift/daemons/").len()
}

/// The copy predates the daemons, so the restored store assigns the numbers of their leases again.
#[test]
fn daemons_write_their_keys_again_if_an_older_copy_lacks_them() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy().without_prefix("ponddrift/");
        restore_after_outage(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(5));
        for _ in 0..4 {
            assert_eq!(daemon_keys(&fleet), usize::from(daemons));
            fleet.wait(Duration::from_secs(6));
        }
    }
}

/// The ratio of daemons to writes per second is that of 1,900 daemons with a store that accepts
/// 400.
#[test]
fn daemons_write_their_keys_again_in_time_if_the_store_accepts_few_writes_per_second() {
    let mut fleet = fleet_of(95);
    let copy = fleet.store.copy().without_prefix("ponddrift/daemons/");
    restore_after_outage(&mut fleet, &copy);
    fleet.store.limit_writes(20);
    // Daemons whose keys are missing count as members for 20 s.
    fleet.wait(Duration::from_secs(16));
    assert_eq!(daemon_keys(&fleet), 95);
}

#[test]
fn the_list_of_distributors_is_written_again_if_an_older_copy_lacks_it() {
    let mut fleet = fleet_of(95);
    fleet.wait(Duration::from_secs(8));
    let listed = fleet.store.keys("ponddrift/distributors/");
    assert_eq!(listed.len(), 3);
    let copy = fleet.store.copy().without_prefix("ponddrift/distributors/");
    restore_after_outage(&mut fleet, &copy);
    fleet.wait(Duration::from_secs(14));
    assert_eq!(fleet.store.keys("ponddrift/distributors/"), listed);
}

/// The stand-in's leases follow the virtual time although the test restores the store from outside
/// the simulation: with the real time, they would expire at once.
#[test]
fn restored_leases_live_as_long_as_their_time_to_live_in_virtual_time() {
    let mut fleet = fleet_of(3);
    fleet.wait(Duration::from_secs(60));
    let copy = fleet.store.copy();
    let handle = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        handle.kill(daemon.host);
    }
    fleet.store.restore_from(&copy);
    fleet.wait(Duration::from_secs(9));
    fleet.store.remove_expired_leases();
    assert_eq!(daemon_keys(&fleet), 3, "after 9 s of 10");
    fleet.wait(Duration::from_secs(2));
    fleet.store.remove_expired_leases();
    assert_eq!(daemon_keys(&fleet), 0, "after 11 s of 10");
}

/// A lease number of an earlier era may belong to another daemon now: renewing it would keep the
/// key of that daemon alive, and ending it would remove the key.
#[test]
fn no_lease_of_an_earlier_era_is_renewed_or_ended() {
    let mut fleet = fleet_of(9);
    let copy = fleet.store.copy().without_prefix("ponddrift/");
    fleet.store.restore_from(&copy);
    fleet.wait(Duration::from_secs(5));
    let handle = fleet.simulation.handle();
    handle.kill(fleet.daemons[4].host);
    fleet.wait(Duration::from_secs(14));
    assert_eq!(daemon_keys(&fleet), 8, "the key of a killed daemon expires");
}

/// After a restore, daemons must read the store once and not repeatedly.
#[test]
fn the_number_of_calls_after_a_restore_depends_on_the_daemons_and_not_on_time() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        let before = fleet.store.calls();
        fleet.store.restore_from(&copy);
        fleet.wait(Duration::from_secs(4));
        let calls = fleet.store.calls() - before;
        // Each daemon: up to two pages and two watches, a lease and its key, two renewals. The two
        // daemons of each neighbourhood that watch the store: one watch per second. The leader:
        // some renewals.
        let max_calls = 8 * u64::from(daemons) + 6 * 4 + 30;
        assert!(
            calls <= max_calls,
            "{calls} calls of {daemons} daemons, {max_calls} at most"
        );
    }
}

/// Asserts that fencing tokens never decrease and that each belongs to one leader.
fn assert_tokens_never_decrease(notes: &[UsageRecord]) {
    for pair in notes.windows(2) {
        assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
        if pair[0].fence == pair[1].fence {
            assert_eq!(pair[0].holder, pair[1].holder, "{pair:?}");
        }
    }
}

/// Asserts that no window is missing and that none was reported with different figures.
fn assert_complete_and_consistent_windows(notes: &[UsageRecord]) {
    let mut windows: BTreeMap<u64, &BTreeMap<String, u64>> = BTreeMap::new();
    for note in notes.iter().filter(|note| note.accepted) {
        if let Some(before) = windows.insert(note.window, &note.counts) {
            assert_eq!(
                before, &note.counts,
                "different figures for window {}",
                note.window
            );
        }
    }
    let (oldest, newest) = (windows.keys().min(), windows.keys().max());
    let expected_count =
        newest.expect("at least one window") - oldest.expect("at least one window") + 1;
    assert_eq!(windows.len() as u64, expected_count, "{:?}", windows.keys());
}

#[test]
fn one_daemon_leads_in_the_next_era_with_a_higher_token_and_keeps_reported_figures() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 9,
        reports_usage: true,
        ..FleetOptions::default()
    });
    fleet.store.set_era(FIRST_ERA);
    let copy = fleet.store.copy().without_prefix("ponddrift/");
    fleet.wait(Duration::from_secs(16));
    let first_leader = fleet.last_reporter();
    // A second leader, whose token is higher than the revisions after the restore.
    write_versions(&mut fleet, 2..=60);
    let handle = fleet.simulation.handle();
    handle.freeze(fleet.daemons[first_leader].host);
    fleet.wait(Duration::from_secs(8));
    handle.thaw(fleet.daemons[first_leader].host);
    fleet.wait(Duration::from_secs(8));
    let before = fleet.provider.usage().len();
    assert_ne!(fleet.last_reporter(), first_leader);
    restore_after_outage(&mut fleet, &copy);
    send_safe_requests(&mut fleet, "counted");
    fleet.wait(Duration::from_secs(24));
    let notes = fleet.provider.usage();
    let taken_since = notes[before..].iter().filter(|note| note.accepted).count();
    assert!(
        taken_since >= 3,
        "a leader reports again: {:?}",
        &notes[before..]
    );
    assert_tokens_never_decrease(&notes);
    assert_complete_and_consistent_windows(&notes);
    let last_token = notes.last().expect("at least one report").fence;
    let first = notes.first().expect("at least one report").fence;
    assert!(last_token > first, "{last_token} after {first}");
}
