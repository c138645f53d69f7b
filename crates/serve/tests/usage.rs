//! Usage reports: each window is reported once and always with the same figures, including the
//! counts of daemons that were killed.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::topology::{Member, Topology, USAGE_REPLICAS_PER_NEIGHBOURHOOD};

use ponddrift_platform_stand_ins::{
    ClientRequest, ProviderMode, StoreMode, TenantConfig, UsageRecord, with_tenants,
};
use support::{Fleet, FleetOptions, configuration, routes};
use tokio::time::sleep;

const TENANTS: [TenantConfig; 2] = [
    TenantConfig {
        name: "alice",
        api_keys: &["key-of-alice"],
        priority: None,
    },
    TenantConfig {
        name: "bob",
        api_keys: &["key-of-bob"],
        priority: None,
    },
];
const WINDOW: Duration = Duration::from_secs(5);
const DUE: Duration = Duration::from_secs(10);
/// Number of the first whole window of a simulation, counted from 1970.
const FIRST_WINDOW: u64 = 353_445_120;

fn fleet(daemons: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        reports_usage: true,
        ..FleetOptions::default()
    });
    let text = configuration(2, &routes());
    fleet.store.put("op/config", with_tenants(&text, &TENANTS));
    fleet.wait(Duration::from_secs(4));
    fleet
}

/// Sends requests to these daemons in turn for `time`, two thirds of them for alice and one third
/// for bob. Returns the number of served requests by tenant.
fn send_requests(fleet: &mut Fleet, daemons: &[usize], time: Duration) -> BTreeMap<String, u64> {
    let client = fleet.client.clone();
    let targets: Vec<_> = daemons
        .iter()
        .map(|daemon| fleet.daemons[*daemon].callers_address)
        .collect();
    fleet.run(async move {
        let end_time = tokio::time::Instant::now() + time;
        let mut served = BTreeMap::new();
        let mut number = 0_u32;
        while tokio::time::Instant::now() < end_time {
            number += 1;
            let (tenant, key) = if number.is_multiple_of(3) {
                ("bob", "key-of-bob")
            } else {
                ("alice", "key-of-alice")
            };
            let target = targets[number as usize % targets.len()];
            let id = format!("r{number}");
            let request = if number.is_multiple_of(2) {
                ClientRequest::plain(&id, "fetch").with_key(key)
            } else {
                ClientRequest::prompt(&id, "tag", 0, 30).with_key(key)
            };
            let answer = client.ask(target, &request).await;
            if answer.is_some_and(|answer| answer.is_complete && answer.status.is_success()) {
                *served.entry(tenant.to_owned()).or_default() += 1;
            }
            sleep(Duration::from_millis(40)).await;
        }
        served
    })
}

/// Figures of the accepted reports by window. Panics if a window was reported with different
/// figures.
fn reported(fleet: &Fleet) -> BTreeMap<u64, BTreeMap<String, u64>> {
    let mut windows: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
    for note in fleet
        .provider
        .usage()
        .into_iter()
        .filter(|note| note.accepted)
    {
        if let Some(before) = windows.insert(note.window, note.counts.clone()) {
            assert_eq!(before, note.counts, "different figures for one window");
        }
    }
    windows
}

fn total_by_tenant(windows: &BTreeMap<u64, BTreeMap<String, u64>>) -> BTreeMap<String, u64> {
    let mut all: BTreeMap<String, u64> = BTreeMap::new();
    for (tenant, count) in windows.values().flatten() {
        *all.entry(tenant.clone()).or_default() += count;
    }
    all
}

/// Asserts that the reported counts are within 5 % of the served ones, the tolerance for reports.
fn assert_close(reported: &BTreeMap<String, u64>, served: &BTreeMap<String, u64>) {
    for (tenant, count) in served {
        let reported_count = reported.get(tenant).copied().unwrap_or_default();
        let difference = reported_count.abs_diff(*count);
        assert!(
            difference * 20 <= *count,
            "{tenant}: {reported_count} of {count}"
        );
    }
}

/// Asserts that each leader has a fencing token of its own and that tokens never decrease.
fn assert_one_leader_at_a_time(notes: &[UsageRecord]) {
    for pair in notes.windows(2) {
        let same_holder = pair[0].holder == pair[1].holder;
        assert_eq!(same_holder, pair[0].fence == pair[1].fence, "{pair:?}");
        assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
    }
}

#[test]
fn the_usage_of_each_tenant_is_reported_in_time_by_one_daemon() {
    let mut fleet = fleet(4);
    let served = send_requests(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(20));
    fleet.wait(DUE);
    let windows = reported(&fleet);
    assert_eq!(total_by_tenant(&windows), served);
    let notes = fleet.provider.usage();
    assert_one_leader_at_a_time(&notes);
    assert_eq!(notes.len(), windows.len(), "no report is sent twice");
    let elapsed = fleet.simulation.handle().elapsed();
    for (position, note) in notes.iter().enumerate() {
        assert!(note.window >= FIRST_WINDOW, "{note:?}");
        let expected = notes[0].window + u64::try_from(position).expect("a small number");
        assert_eq!(note.window, expected, "all windows are reported in order");
    }
    assert!(elapsed > DUE);
}

#[test]
fn requests_whose_connections_a_peer_relays_are_counted_once() {
    let mut fleet = fleet(3);
    let back_ends = fleet.back_end_hosts();
    let simulation = fleet.simulation.handle();
    let before = send_requests(&mut fleet, &[0], Duration::from_secs(2));
    simulation.partition(&[fleet.daemons[0].host], &back_ends);
    // The requests that find out about the cut may run although they are not answered.
    let while_noticing = send_requests(&mut fleet, &[0], Duration::from_secs(2));
    let during = send_requests(&mut fleet, &[0], Duration::from_secs(16));
    fleet.wait(DUE);
    let mut served = before;
    for (tenant, count) in while_noticing.into_iter().chain(during) {
        *served.entry(tenant).or_default() += count;
    }
    assert!(
        served["alice"] > 100,
        "most requests are served: {served:?}"
    );
    assert_close(&total_by_tenant(&reported(&fleet)), &served);
}

#[test]
fn killing_the_leader_at_any_time_leaves_no_window_missing_or_with_two_figures() {
    for moment_ms in [100, 700, 1_200, 1_400, 1_700, 2_500, 4_000] {
        let mut fleet = fleet(4);
        send_requests(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(9));
        let first_leader = fleet.last_reporter();
        let into_window = fleet.simulation.handle().elapsed().as_millis() % WINDOW.as_millis();
        let time_until_kill_ms =
            (WINDOW.as_millis() - into_window + moment_ms) % WINDOW.as_millis();
        let others: Vec<usize> = (0..4).filter(|daemon| *daemon != first_leader).collect();
        let wait =
            Duration::from_millis(u64::try_from(time_until_kill_ms).expect("a short duration"));
        send_requests(&mut fleet, &others, wait);
        fleet
            .simulation
            .handle()
            .kill(fleet.daemons[first_leader].host);
        send_requests(&mut fleet, &others, Duration::from_secs(12));
        fleet.wait(DUE);
        let windows = reported(&fleet);
        let (oldest, newest) = (
            *windows.keys().min().expect("at least one window"),
            *windows.keys().max().expect("at least one window"),
        );
        assert_eq!(
            windows.len() as u64,
            newest - oldest + 1,
            "killed {moment_ms} ms into a window: {:?}",
            windows.keys()
        );
        assert_one_leader_at_a_time(&fleet.provider.usage());
    }
}

#[test]
fn counts_of_killed_daemons_are_reported_from_their_copies() {
    let mut fleet = fleet(6);
    // The leader is not killed.
    send_requests(&mut fleet, &[0], Duration::from_secs(8));
    let leader = fleet.last_reporter();
    let killed: Vec<usize> = (0..6).filter(|daemon| *daemon != leader).take(3).collect();
    fleet.wait(DUE);
    let earlier = total_by_tenant(&reported(&fleet));
    let served = send_requests(&mut fleet, &killed, Duration::from_secs(3));
    fleet.wait(Duration::from_millis(400));
    for daemon in &killed {
        fleet.simulation.handle().kill(fleet.daemons[*daemon].host);
    }
    fleet.wait(DUE + WINDOW);
    let all = total_by_tenant(&reported(&fleet));
    for (tenant, count) in &served {
        let reported_count = all[tenant] - earlier.get(tenant).copied().unwrap_or_default();
        assert_eq!(reported_count, *count, "{tenant}");
    }
}

#[test]
fn clock_errors_of_seconds_move_no_requests_between_windows() {
    let mut fleet = fleet(5);
    let handle = fleet.simulation.handle();
    handle.set_clock_offset(fleet.daemons[0].host, 2_000);
    handle.set_clock_offset(fleet.daemons[1].host, -2_000);
    let served = send_requests(&mut fleet, &[0, 1, 2, 3, 4], Duration::from_secs(20));
    handle.set_clock_offset(fleet.daemons[0].host, 0);
    handle.set_clock_offset(fleet.daemons[1].host, 0);
    fleet.wait(DUE + WINDOW);
    let windows = reported(&fleet);
    assert_close(&total_by_tenant(&windows), &served);
    // A clock that is off by two seconds would move two fifths of the requests of its daemon.
    let window_totals: Vec<u64> = windows
        .values()
        .map(|counts| counts.values().sum())
        .filter(|requests| *requests > 0)
        .collect();
    let complete_windows = &window_totals[1..window_totals.len() - 1];
    let (least, most) = (
        complete_windows.iter().min().expect("at least one window"),
        complete_windows.iter().max().expect("at least one window"),
    );
    assert!(most - least <= most / 10, "{window_totals:?}");
}

#[test]
fn a_report_without_a_response_is_repeated_with_the_same_figures() {
    let mut fleet = fleet(3);
    fleet.provider.set_mode(ProviderMode::DropAnswers);
    let served = send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    fleet.wait(Duration::from_secs(4));
    fleet.provider.set_mode(ProviderMode::Up);
    fleet.wait(DUE);
    assert!(fleet.provider.usage().len() > reported(&fleet).len());
    assert_eq!(total_by_tenant(&reported(&fleet)), served);
}

#[test]
fn an_unavailable_provider_gets_few_calls_and_all_windows_once_it_is_back() {
    let mut fleet = fleet(3);
    for mode in [ProviderMode::Silent, ProviderMode::Busy] {
        fleet.provider.set_mode(mode);
        let before = fleet.provider.calls();
        send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(6));
        fleet.wait(Duration::from_secs(6));
        let calls = fleet.provider.calls() - before;
        assert!(calls <= 40, "{calls} calls in 12 s of {mode:?}");
        fleet.provider.set_mode(ProviderMode::Up);
        fleet.wait(DUE);
    }
    let windows = reported(&fleet);
    let (oldest, newest) = (
        *windows.keys().min().expect("at least one window"),
        *windows.keys().max().expect("at least one window"),
    );
    assert_eq!(windows.len() as u64, newest - oldest + 1);
}

#[test]
fn nothing_is_reported_while_the_store_is_unavailable() {
    let mut fleet = fleet(3);
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(6));
    fleet.wait(Duration::from_secs(2));
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(Duration::from_secs(1));
    let before = fleet.provider.usage().len();
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(9));
    assert_eq!(fleet.provider.usage().len(), before);
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait(DUE + WINDOW);
    let windows = reported(&fleet);
    let (oldest, newest) = (
        *windows.keys().min().expect("at least one window"),
        *windows.keys().max().expect("at least one window"),
    );
    assert_eq!(windows.len() as u64, newest - oldest + 1);
}

/// Begins or ends an outage during which leases keep the time that they had left.
fn set_store_down(fleet: &mut Fleet, is_down: bool) {
    let store = fleet.store.clone();
    // Inside the simulation, whose time the leases follow.
    fleet.run(async move {
        let since = tokio::time::Instant::now();
        let down = StoreMode::Down(since);
        store.set_mode(if is_down { down } else { StoreMode::Up });
    });
}

/// While the store is down, leases run out or keep the time that they had left. In the second case
/// nobody else can have led, so the leader goes on at once when the store is back.
#[test]
fn a_leader_whose_lease_outlives_an_outage_of_the_store_reports_with_the_same_token_at_once() {
    let mut fleet = fleet(3);
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    let leader = fleet.last_reporter();
    let fence = fleet.provider.usage().last().expect("a report").fence;
    set_store_down(&mut fleet, true);
    // One window ends in the outage.
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    let during = fleet.provider.usage().len();
    set_store_down(&mut fleet, false);
    fleet.wait(Duration::from_secs(2));
    let notes = fleet.provider.usage();
    assert!(notes.len() > during, "no report within 2 s");
    assert_eq!(notes.last().map(|note| note.fence), Some(fence));
    assert_eq!(fleet.last_reporter(), leader);
    fleet.wait(DUE + WINDOW);
    assert_one_leader_at_a_time(&fleet.provider.usage());
    let windows = reported(&fleet);
    let notes = fleet.provider.usage();
    assert_eq!(notes.len(), windows.len(), "no report is sent twice");
}

/// Its renewals would lengthen a lease under which nobody acts.
#[test]
fn a_leader_whose_calls_to_the_store_are_done_but_not_answered_is_replaced() {
    let mut fleet = fleet(3);
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    let leader = fleet.last_reporter();
    let leader_ip = fleet.daemons[leader].daemon_ip;
    fleet.store.drop_answers_to(leader_ip);
    let others: Vec<usize> = (0..3).filter(|daemon| *daemon != leader).collect();
    // The lease, its last renewals, the candidacy, and the next report.
    send_requests(&mut fleet, &others, Duration::from_secs(16));
    assert_ne!(fleet.last_reporter(), leader);
    assert_one_leader_at_a_time(&fleet.provider.usage());
}

/// The lease outlives the outage, but not the key.
#[test]
fn a_leader_whose_key_was_written_again_in_an_outage_does_not_resume() {
    let mut fleet = fleet(3);
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    let fence = fleet.provider.usage().last().expect("a report").fence;
    set_store_down(&mut fleet, true);
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    let key = "ponddrift/orders";
    assert_eq!(fleet.store.keys(key), [key]);
    fleet.store.put(key, "daemon-9");
    set_store_down(&mut fleet, false);
    let before = fleet.provider.usage().len();
    fleet.wait(Duration::from_secs(4));
    assert_eq!(fleet.provider.usage().len(), before, "another may lead");
    fleet.store.remove(key);
    fleet.wait(DUE);
    let later = fleet.provider.usage().split_off(before);
    assert!(!later.is_empty());
    assert!(later.iter().all(|note| note.fence > fence), "{later:?}");
}

/// Another daemon takes over while the leader cannot reach the store.
#[test]
fn a_leader_that_was_replaced_meanwhile_does_not_resume() {
    let mut fleet = fleet(3);
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    let leader = fleet.last_reporter();
    let handle = fleet.simulation.handle();
    handle.cut(fleet.daemons[leader].host, fleet.store_host);
    let others: Vec<usize> = (0..3).filter(|daemon| *daemon != leader).collect();
    send_requests(&mut fleet, &others, Duration::from_secs(15));
    let next_leader = fleet.last_reporter();
    assert_ne!(next_leader, leader);
    handle.heal_all();
    send_requests(&mut fleet, &[0, 1, 2], Duration::from_secs(10));
    assert_eq!(fleet.last_reporter(), next_leader);
    assert_one_leader_at_a_time(&fleet.provider.usage());
}

#[test]
fn a_leader_that_is_partitioned_or_frozen_beyond_its_lease_reports_no_other_figures() {
    let mut fleet = fleet(4);
    send_requests(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(8));
    let first_leader = fleet.last_reporter();
    let handle = fleet.simulation.handle();
    handle.cut(fleet.daemons[first_leader].host, fleet.store_host);
    let others: Vec<usize> = (0..4).filter(|daemon| *daemon != first_leader).collect();
    send_requests(&mut fleet, &others, Duration::from_secs(12));
    handle.heal_all();
    let second_leader = fleet.last_reporter();
    assert_ne!(first_leader, second_leader);
    handle.freeze(fleet.daemons[second_leader].host);
    let others: Vec<usize> = (0..4).filter(|daemon| *daemon != second_leader).collect();
    send_requests(&mut fleet, &others, Duration::from_secs(12));
    handle.thaw(fleet.daemons[second_leader].host);
    fleet.wait(DUE);
    let notes = fleet.provider.usage();
    assert_one_leader_at_a_time(&notes);
    let _each_window_has_one_figure = reported(&fleet);
}

/// A window is reported without the counts of an unreachable daemon, which arrive later. Then the
/// store is restored from a copy without the report: the next leader must not report the window
/// again with other figures.
#[test]
fn a_reported_window_keeps_its_figures_after_the_store_is_restored_from_an_older_copy() {
    let mut fleet = fleet(4);
    fleet.store.set_era(1);
    let copy = fleet.store.copy().without_prefix("ponddrift/");
    send_requests(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(9));
    let leader = fleet.last_reporter();
    let counting_daemon = (leader + 1) % 4;
    advance_into_next_window(&mut fleet, Duration::from_millis(200));
    let handle = fleet.simulation.handle();
    for other in (0..4).filter(|other| *other != counting_daemon) {
        handle.cut(
            fleet.daemons[counting_daemon].host,
            fleet.daemons[other].host,
        );
    }
    send_requests(&mut fleet, &[counting_daemon], Duration::from_secs(2));
    let before = reported(&fleet).len();
    // The previous window, and the current one without the counts of the unreachable daemon.
    while reported(&fleet).len() < before + 2 {
        fleet.wait(Duration::from_millis(100));
    }
    handle.heal_all();
    fleet.wait(Duration::from_millis(400));
    fleet.store.restore_from(&copy);
    fleet.wait(DUE + WINDOW);
    let notes = fleet.provider.usage();
    let fences: std::collections::BTreeSet<u64> = notes.iter().map(|note| note.fence).collect();
    assert!(fences.len() > 1, "there was a leader in each era");
    let _each_window_has_one_figure = reported(&fleet);
}

/// Size of a fleet in which each of the two zones is a neighbourhood of its own.
const LARGE_FLEET: u8 = 26;

fn fleet_of_two_zones() -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: LARGE_FLEET,
        zones: 2,
        reports_usage: true,
        ..FleetOptions::default()
    });
    let text = configuration(2, &routes());
    fleet.store.put("op/config", with_tenants(&text, &TENANTS));
    fleet.wait(Duration::from_secs(4));
    fleet
}

/// Indexes of the daemons in the zone without the leader: those that keep copies, and the others.
fn daemons_of_other_zone(fleet: &Fleet, leader: usize) -> (Vec<usize>, Vec<usize>) {
    let members: Vec<Member> = fleet
        .daemons
        .iter()
        .enumerate()
        .map(|(number, daemon)| Member {
            name: Arc::from(format!("daemon-{}", number + 1)),
            zone: Arc::from((number % 2).to_string()),
            peer_address: SocketAddr::new(daemon.daemon_ip, 7660),
            link_megabits: 0,
        })
        .collect();
    let topology = Topology::of(&members[leader], &members);
    let in_zone = (0..fleet.daemons.len()).filter(|number| number % 2 != leader % 2);
    in_zone.partition(|number| {
        let address = members[*number].peer_address;
        topology.usage_replica_holders.contains(&address)
    })
}

fn advance_into_next_window(fleet: &mut Fleet, time: Duration) {
    let into_window = fleet.simulation.handle().elapsed().as_millis() % WINDOW.as_millis();
    let remaining_ms = WINDOW.as_millis() - into_window;
    fleet
        .wait(Duration::from_millis(u64::try_from(remaining_ms).expect("a short duration")) + time);
}

/// Asserts that the reported counts minus `earlier` equal the served ones.
fn assert_all_reported(
    fleet: &Fleet,
    earlier: &BTreeMap<String, u64>,
    served: &BTreeMap<String, u64>,
) {
    let all = total_by_tenant(&reported(fleet));
    for (tenant, count) in served {
        let reported_count = all[tenant] - earlier.get(tenant).copied().unwrap_or_default();
        assert_eq!(reported_count, *count, "{tenant}");
    }
}

/// All daemons that keep copies for a zone restart just before the leader reads the copies; the
/// daemons that counted still run.
#[test]
fn copies_lost_in_restarts_are_replaced_by_the_daemons_that_counted() {
    let mut fleet = fleet_of_two_zones();
    send_requests(&mut fleet, &[0], Duration::from_secs(8));
    let (replica_holders, others) = daemons_of_other_zone(&fleet, fleet.last_reporter());
    assert_eq!(replica_holders.len(), USAGE_REPLICAS_PER_NEIGHBOURHOOD);
    fleet.wait(DUE);
    let earlier = total_by_tenant(&reported(&fleet));
    advance_into_next_window(&mut fleet, Duration::from_millis(500));
    let served = send_requests(&mut fleet, &others, Duration::from_secs(3));
    // The window ends 1.5 s after the requests; the leader reads the copies 1.1 s after that.
    fleet.wait(Duration::from_millis(2_450));
    for replica_holder in replica_holders {
        fleet
            .simulation
            .handle()
            .restart(fleet.daemons[replica_holder].host);
    }
    fleet.wait(DUE + WINDOW);
    assert_all_reported(&fleet, &earlier, &served);
}

/// All daemons that hold the counts stop one after the other within one window, those that keep
/// copies last.
#[test]
fn counts_survive_a_rolling_restart_of_a_zone() {
    let mut fleet = fleet_of_two_zones();
    send_requests(&mut fleet, &[0], Duration::from_secs(8));
    let (replica_holders, others) = daemons_of_other_zone(&fleet, fleet.last_reporter());
    fleet.wait(DUE);
    let earlier = total_by_tenant(&reported(&fleet));
    advance_into_next_window(&mut fleet, Duration::from_millis(200));
    let counting_daemons = &others[..3];
    let served = send_requests(&mut fleet, counting_daemons, Duration::from_millis(1_500));
    fleet.wait(Duration::from_millis(300));
    for daemon in counting_daemons.iter().chain(&replica_holders) {
        fleet.daemons[*daemon].terminate();
        fleet.wait(Duration::from_millis(350));
        fleet
            .simulation
            .handle()
            .restart(fleet.daemons[*daemon].host);
        fleet.wait(Duration::from_millis(100));
    }
    fleet.wait(DUE + WINDOW);
    assert_all_reported(&fleet, &earlier, &served);
}
