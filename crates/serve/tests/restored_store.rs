//! A store that is away for a moment and comes back as a copy some seconds old.
//!
//! What was written since the copy is gone, and revisions are given out again. Daemons kept to the highest revision that they had
//! seen: what was written anew under a number that they knew was passed over. A server that said that it was leaving went on
//! getting requests until its entry went; a configuration with a new route was not in force until a later one bore a higher number.
//! Daemons that follow the store read all of it some 75 times a second, since what they had read never moved their position back, and two daemons
//! went on trying to lead because they never saw the leader's new key.
//!
//! What settled it, from the first and from two daemons that take changes from it:
//!
//! ```text
//! {"message":"store_history_gone","position":39}
//! {"message":"store_read","pages":1,"pages_of_peers":0,"keys":31,"at":37,"took_ms":7.3}
//! {"message":"store_history_gone","position":39}
//! {"message":"back_end_changed","back_end":"i-24e001ffe5","ready":false,"revision":39,"source":"store"}
//! {"message":"configuration_in_force","version":19,"before":17,"revision":40,"source":"peer"}
//! {"message":"caught_up_from_peer","known":39,"position":40}
//! ```
//!
//! The last two lines are of a daemon that never logs the third before them: it knew a revision 39, of before.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, StoreCopy, StoreMode, UsageNote};
use support::{Fleet, FleetOptions, routes};

/// Sizes of fleets: all daemons read the store, two follow it for all, three zones that are neighbourhoods of their own.
const SIZES: [u8; 3] = [3, 9, 95];
/// The era that the store names first.
const FIRST_ERA: u64 = 1;
/// The store is away for so long.
const AWAY: Duration = Duration::from_millis(2_500);
/// A change is in force this long after the store has taken it.
const IN_FORCE: Duration = Duration::from_millis(1_900);
/// Times that each daemon is asked, so that all back ends would be chosen.
const ROUNDS: u32 = 4;

fn fleet_of(daemons: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        zones: if daemons > 24 { 3 } else { 1 },
        ..FleetOptions::default()
    });
    fleet.store.name_era(FIRST_ERA);
    fleet.wait(Duration::from_secs(6));
    fleet
}

/// Configurations that change nothing but the number, until the store is so many revisions ahead.
fn write_versions(fleet: &mut Fleet, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        fleet.configure(version, &routes());
    }
    fleet.wait(Duration::from_secs(1));
}

fn come_back(fleet: &mut Fleet, copy: &StoreCopy) {
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(AWAY);
    fleet.store.come_back_from(copy);
    fleet.store.set_mode(StoreMode::Up);
}

/// Asks each daemon some times for a safe request. Returns the answers' statuses.
fn fetch(fleet: &mut Fleet, name: &str) -> Vec<StatusCode> {
    ask(fleet, |number| {
        ClientRequest::plain(&format!("{name}-{number}"), "fetch")
    })
}

/// The same for a request that runs once.
fn post(fleet: &mut Fleet, name: &str) -> Vec<StatusCode> {
    ask(fleet, |number| {
        ClientRequest::plain(&format!("{name}-{number}"), "post")
    })
}

fn ask(fleet: &mut Fleet, request: impl Fn(u32) -> ClientRequest) -> Vec<StatusCode> {
    let client = fleet.client.clone();
    let daemons = fleet.daemons.clone();
    fleet.run(async move {
        let mut statuses = Vec::new();
        let mut number = 0;
        for _ in 0..ROUNDS {
            let asked = daemons.iter().map(|daemon| {
                number += 1;
                let (client, request) = (client.clone(), request(number));
                let target = daemon.callers_address;
                async move { client.ask(target, &request).await }
            });
            let answers = join_all(asked).await;
            statuses.extend(
                answers
                    .into_iter()
                    .map(|answer| answer.expect("a response").status),
            );
        }
        statuses
    })
}

fn count(statuses: &[StatusCode], wanted: StatusCode) -> usize {
    statuses.iter().filter(|status| **status == wanted).count()
}

/// Each daemon refuses the route that only older configurations have, and sends the leaving server nothing.
fn assert_changes_in_force(fleet: &mut Fleet, context: &str) {
    let before = fleet.records[0].arrivals().len();
    let statuses = fetch(fleet, context);
    let posted = post(fleet, context);
    assert_eq!(
        count(&statuses, StatusCode::NOT_FOUND),
        statuses.len(),
        "{context}: the route is gone"
    );
    assert_eq!(
        count(&posted, StatusCode::OK),
        posted.len(),
        "{context}: the other one is served"
    );
    let arrived = fleet.records[0].arrivals().len() - before;
    assert_eq!(arrived, 0, "{context}: requests to a server that leaves");
}

/// The operator drops the route `fetch`, and a server says that it leaves.
fn change(fleet: &Fleet, version: u64) {
    fleet.records[0].record(&fleet.store, "draining");
    fleet.configure(version, &routes()[..1]);
}

#[test]
fn what_is_written_under_numbers_given_out_again_is_in_force_everywhere_in_the_next_era() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        come_back(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        change(&fleet, 21);
        fleet.wait(IN_FORCE);
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
    }
}

#[test]
fn numbers_that_pass_the_old_position_before_anybody_asks_hide_nothing_in_the_next_era() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        fleet.store.set_mode(StoreMode::Silent);
        fleet.wait(AWAY);
        fleet.store.come_back_from(&copy);
        change(&fleet, 21);
        for number in 0..20 {
            fleet.store.put("op/note", number.to_string());
        }
        fleet.store.set_mode(StoreMode::Up);
        fleet.wait(IN_FORCE);
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
    }
}

/// The store is away for so short a time that no call fails; a watch waits meanwhile.
#[test]
fn a_watch_that_waits_through_a_return_is_not_taken_for_news_of_the_next_era() {
    for passes_old_position in [false, true] {
        for daemons in SIZES {
            let mut fleet = fleet_of(daemons);
            let copy = fleet.store.copy();
            write_versions(&mut fleet, 2..=20);
            fleet.store.come_back_from(&copy);
            change(&fleet, 21);
            if passes_old_position {
                for number in 0..20 {
                    fleet.store.put("op/note", number.to_string());
                }
            }
            fleet.wait(IN_FORCE);
            let context = format!("{daemons} daemons, passes: {passes_old_position}");
            assert_changes_in_force(&mut fleet, &context);
        }
    }
}

#[test]
fn two_returns_in_a_row_hide_nothing_in_the_third_era() {
    let mut fleet = fleet_of(9);
    let first = fleet.store.copy();
    write_versions(&mut fleet, 2..=20);
    let second = fleet.store.copy();
    write_versions(&mut fleet, 21..=40);
    come_back(&mut fleet, &second);
    fleet.wait(Duration::from_millis(300));
    come_back(&mut fleet, &first);
    fleet.wait(Duration::from_millis(300));
    change(&fleet, 41);
    fleet.wait(IN_FORCE);
    assert_changes_in_force(&mut fleet, "twice");
}

/// Nobody writes anything again: what daemons know stays in force, also at a daemon that starts and reads only the copy.
#[test]
fn what_was_acknowledged_stays_known_though_an_older_copy_lacks_it() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        change(&fleet, 2);
        fleet.wait(Duration::from_secs(1));
        come_back(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
        let handle = fleet.simulation.handle();
        handle.restart(fleet.daemons[0].host);
        fleet.wait(IN_FORCE);
        let context = format!("{daemons} daemons, one of them started");
        assert_changes_in_force(&mut fleet, &context);
    }
}

#[test]
fn a_server_that_went_gets_nothing_though_an_older_copy_shows_it() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        fleet.records[0].vanish(&fleet.store);
        fleet.wait(Duration::from_secs(1));
        come_back(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        let statuses = fetch(&mut fleet, "gone");
        assert_eq!(count(&statuses, StatusCode::OK), statuses.len());
        assert_eq!(fleet.records[0].arrivals().len(), 0, "{daemons} daemons");
        // Its next life is used.
        fleet.records[0].start_again(2_000);
        fleet.records[0].record(&fleet.store, "ready");
        fleet.wait(IN_FORCE);
        fetch(&mut fleet, "again");
        assert!(!fleet.records[0].runs().is_empty(), "{daemons} daemons");
    }
}

/// A daemon starts just when the store comes back, and reads some pages before and some after it.
#[test]
fn a_daemon_that_starts_while_the_store_comes_back_mixes_no_pages_of_two_eras() {
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
        fleet.store.come_back_from(&copy);
        change(&fleet, 21);
        fleet.store.set_mode(StoreMode::Up);
        fleet.wait(IN_FORCE);
        assert_changes_in_force(&mut fleet, &format!("{moment_ms} ms"));
    }
}

#[test]
fn daemons_that_the_store_refuses_learn_of_its_return_from_their_peers() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        for refused in fleet.daemons.iter().take(usize::from(daemons / 3)) {
            fleet.store.refuse(refused.daemon_ip);
        }
        fleet.wait(Duration::from_secs(2));
        come_back(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(1));
        change(&fleet, 21);
        fleet.wait(IN_FORCE);
        assert_changes_in_force(&mut fleet, &format!("{daemons} daemons"));
    }
}

/// Servers that the copy lacks are used until it is sure that they do not write themselves again.
#[test]
fn servers_that_an_older_copy_lacks_are_in_doubt_and_not_gone() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy().from_before("servers/");
        fleet.wait(Duration::from_secs(1));
        come_back(&mut fleet, &copy);
        fleet.wait(Duration::from_millis(1_000));
        let statuses = fetch(&mut fleet, "doubted");
        assert_eq!(
            count(&statuses, StatusCode::OK),
            statuses.len(),
            "{daemons} daemons"
        );
        fleet.wait(Duration::from_secs(6));
        let statuses = fetch(&mut fleet, "gone");
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

/// The copy is from before the daemons were there, and gives out the numbers of their leases again.
#[test]
fn daemons_write_their_keys_again_when_an_older_copy_lacks_them() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy().from_before("ponddrift/");
        come_back(&mut fleet, &copy);
        fleet.wait(Duration::from_secs(5));
        for _ in 0..4 {
            assert_eq!(daemon_keys(&fleet), usize::from(daemons));
            fleet.wait(Duration::from_secs(6));
        }
    }
}

/// As many daemons for each writing call that the store takes in a second as 1,900 have where it takes 400.
#[test]
fn daemons_write_their_keys_again_in_time_where_the_store_takes_few_writes_a_second() {
    let mut fleet = fleet_of(95);
    let copy = fleet.store.copy().from_before("ponddrift/daemons/");
    come_back(&mut fleet, &copy);
    fleet.store.limit_writes(20);
    // A member whose key is missing is one for 20 s.
    fleet.wait(Duration::from_secs(16));
    assert_eq!(daemon_keys(&fleet), 95);
}

#[test]
fn the_list_of_distributors_is_written_again_when_an_older_copy_lacks_it() {
    let mut fleet = fleet_of(95);
    fleet.wait(Duration::from_secs(8));
    let listed = fleet.store.keys("ponddrift/distributors/");
    assert_eq!(listed.len(), 3);
    let copy = fleet.store.copy().from_before("ponddrift/distributors/");
    come_back(&mut fleet, &copy);
    fleet.wait(Duration::from_secs(14));
    assert_eq!(fleet.store.keys("ponddrift/distributors/"), listed);
}

/// Renewing a lease of the era before would keep another's key alive, and ending it would take that key away.
#[test]
fn no_lease_of_an_era_before_is_renewed_or_ended() {
    let mut fleet = fleet_of(9);
    let copy = fleet.store.copy().from_before("ponddrift/");
    fleet.store.come_back_from(&copy);
    fleet.wait(Duration::from_secs(5));
    let handle = fleet.simulation.handle();
    handle.kill(fleet.daemons[4].host);
    fleet.wait(Duration::from_secs(14));
    assert_eq!(daemon_keys(&fleet), 8, "the key of a killed daemon lapses");
}

/// Reads of the store after a return: a few daemons read it, and go on from there.
#[test]
fn calls_after_a_return_from_an_older_copy_grow_with_the_daemons_and_not_with_time() {
    for daemons in SIZES {
        let mut fleet = fleet_of(daemons);
        let copy = fleet.store.copy();
        write_versions(&mut fleet, 2..=20);
        let before = fleet.store.calls();
        fleet.store.come_back_from(&copy);
        fleet.wait(Duration::from_secs(4));
        let calls = fleet.store.calls() - before;
        // Each daemon: up to two pages and two watches, a lease and its key, two renewals. Followers, two of each neighbourhood: a watch
        // a second. The leader: some renewals.
        let most = 8 * u64::from(daemons) + 6 * 4 + 30;
        assert!(
            calls <= most,
            "{calls} calls of {daemons} daemons, {most} at most"
        );
    }
}

/// Tokens only rise, and each belongs to one holder.
fn assert_tokens_rise(notes: &[UsageNote]) {
    for pair in notes.windows(2) {
        assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
        if pair[0].fence == pair[1].fence {
            assert_eq!(pair[0].holder, pair[1].holder, "{pair:?}");
        }
    }
}

/// Each window is reported with one figure, and none is left out.
fn assert_windows_reported_once(notes: &[UsageNote]) {
    let mut windows: BTreeMap<u64, &BTreeMap<String, u64>> = BTreeMap::new();
    for note in notes.iter().filter(|note| note.taken) {
        if let Some(before) = windows.insert(note.window, &note.counts) {
            assert_eq!(
                before, &note.counts,
                "two figures of window {}",
                note.window
            );
        }
    }
    let (oldest, newest) = (windows.keys().min(), windows.keys().max());
    let span = newest.expect("some") - oldest.expect("some") + 1;
    assert_eq!(windows.len() as u64, span, "{:?}", windows.keys());
}

#[test]
fn one_daemon_leads_in_the_next_era_with_a_higher_token_and_reports_no_window_with_other_figures() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 9,
        reports_usage: true,
        ..FleetOptions::default()
    });
    fleet.store.name_era(FIRST_ERA);
    let copy = fleet.store.copy().from_before("ponddrift/");
    fleet.wait(Duration::from_secs(16));
    let first_leader = fleet.last_reporter();
    // A second leader, whose token is higher than those given out next.
    write_versions(&mut fleet, 2..=60);
    let handle = fleet.simulation.handle();
    handle.freeze(fleet.daemons[first_leader].host);
    fleet.wait(Duration::from_secs(8));
    handle.thaw(fleet.daemons[first_leader].host);
    fleet.wait(Duration::from_secs(8));
    let before = fleet.provider.usage().len();
    assert_ne!(fleet.last_reporter(), first_leader);
    come_back(&mut fleet, &copy);
    fetch(&mut fleet, "counted");
    fleet.wait(Duration::from_secs(24));
    let notes = fleet.provider.usage();
    let taken_since = notes[before..].iter().filter(|note| note.taken).count();
    assert!(
        taken_since >= 3,
        "somebody leads again: {:?}",
        &notes[before..]
    );
    assert_tokens_rise(&notes);
    assert_windows_reported_once(&notes);
    let last = notes.last().expect("a report").fence;
    let first = notes.first().expect("a report").fence;
    assert!(last > first, "{last} after {first}");
}
