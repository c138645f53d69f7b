//! Usage reports: each window once, the same figure whoever reports it, and what killed daemons had counted among it.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::topology::{Member, Topology, USAGE_REPLICAS};

use ponddrift_platform_stand_ins::{
    ClientRequest, ProviderMode, StoreMode, TenantText, UsageNote, with_tenants,
};
use support::{Fleet, FleetOptions, configuration, routes};
use tokio::time::sleep;

const TENANTS: [TenantText; 2] = [
    TenantText {
        name: "alice",
        api_keys: &["key-of-alice"],
        priority: None,
    },
    TenantText {
        name: "bob",
        api_keys: &["key-of-bob"],
        priority: None,
    },
];
const WINDOW: Duration = Duration::from_secs(5);
const DUE: Duration = Duration::from_secs(10);
/// Start of the first whole window of a simulation, in windows since 1970.
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

/// Asks each daemon for `time`, some ten times a second for alice and half as often for bob; returns what was served.
fn ask_for(fleet: &mut Fleet, daemons: &[usize], time: Duration) -> BTreeMap<String, u64> {
    let client = fleet.client.clone();
    let targets: Vec<_> = daemons
        .iter()
        .map(|daemon| fleet.daemons[*daemon].callers_address)
        .collect();
    fleet.run(async move {
        let end = tokio::time::Instant::now() + time;
        let mut served = BTreeMap::new();
        let mut number = 0_u32;
        while tokio::time::Instant::now() < end {
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
            if answer.is_some_and(|answer| answer.is_whole && answer.status.is_success()) {
                *served.entry(tenant.to_owned()).or_default() += 1;
            }
            sleep(Duration::from_millis(40)).await;
        }
        served
    })
}

/// Reports that were taken; each window has one figure.
fn reported(fleet: &Fleet) -> BTreeMap<u64, BTreeMap<String, u64>> {
    let mut windows: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
    for note in fleet.provider.usage().into_iter().filter(|note| note.taken) {
        if let Some(before) = windows.insert(note.window, note.counts.clone()) {
            assert_eq!(before, note.counts, "two figures of one window");
        }
    }
    windows
}

fn sum(windows: &BTreeMap<u64, BTreeMap<String, u64>>) -> BTreeMap<String, u64> {
    let mut all: BTreeMap<String, u64> = BTreeMap::new();
    for (tenant, count) in windows.values().flatten() {
        *all.entry(tenant.clone()).or_default() += count;
    }
    all
}

/// Within the bound of five in a hundred that reports are held to.
fn assert_close(reported: &BTreeMap<String, u64>, served: &BTreeMap<String, u64>) {
    for (tenant, count) in served {
        let told = reported.get(tenant).copied().unwrap_or_default();
        let off = told.abs_diff(*count);
        assert!(off * 20 <= *count, "{tenant}: {told} of {count}");
    }
}

/// Each holder has a token of its own, and tokens only rise.
fn assert_one_at_a_time(notes: &[UsageNote]) {
    for pair in notes.windows(2) {
        let same_holder = pair[0].holder == pair[1].holder;
        assert_eq!(same_holder, pair[0].fence == pair[1].fence, "{pair:?}");
        assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
    }
}

#[test]
fn what_each_tenant_ran_is_reported_in_time_by_one_daemon() {
    let mut fleet = fleet(4);
    let served = ask_for(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(20));
    fleet.wait(DUE);
    let windows = reported(&fleet);
    assert_eq!(sum(&windows), served);
    let notes = fleet.provider.usage();
    assert_one_at_a_time(&notes);
    assert_eq!(notes.len(), windows.len(), "no report is sent twice");
    let started = fleet.simulation.handle().elapsed();
    for (position, note) in notes.iter().enumerate() {
        assert!(note.window >= FIRST_WINDOW, "{note:?}");
        let expected = notes[0].window + u64::try_from(position).expect("a small number");
        assert_eq!(note.window, expected, "none is left out, in order");
    }
    assert!(started > DUE);
}

#[test]
fn a_leader_killed_at_any_time_of_a_window_leaves_no_window_out_and_none_with_two_figures() {
    for moment_ms in [100, 700, 1_200, 1_400, 1_700, 2_500, 4_000] {
        let mut fleet = fleet(4);
        ask_for(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(9));
        let first = fleet.last_reporter();
        let into_window = fleet.simulation.handle().elapsed().as_millis() % WINDOW.as_millis();
        let until = (WINDOW.as_millis() - into_window + moment_ms) % WINDOW.as_millis();
        let others: Vec<usize> = (0..4).filter(|daemon| *daemon != first).collect();
        let wait = Duration::from_millis(u64::try_from(until).expect("short"));
        ask_for(&mut fleet, &others, wait);
        fleet.simulation.handle().kill(fleet.daemons[first].host);
        ask_for(&mut fleet, &others, Duration::from_secs(12));
        fleet.wait(DUE);
        let windows = reported(&fleet);
        let (oldest, newest) = (
            *windows.keys().min().expect("some"),
            *windows.keys().max().expect("some"),
        );
        assert_eq!(
            windows.len() as u64,
            newest - oldest + 1,
            "killed {moment_ms} ms into a window: {:?}",
            windows.keys()
        );
        assert_one_at_a_time(&fleet.provider.usage());
    }
}

#[test]
fn counts_of_daemons_that_are_killed_are_reported_from_their_copies() {
    let mut fleet = fleet(6);
    // Whoever leads is not killed.
    ask_for(&mut fleet, &[0], Duration::from_secs(8));
    let leading = fleet.last_reporter();
    let killed: Vec<usize> = (0..6).filter(|daemon| *daemon != leading).take(3).collect();
    fleet.wait(DUE);
    let earlier = sum(&reported(&fleet));
    let served = ask_for(&mut fleet, &killed, Duration::from_secs(3));
    fleet.wait(Duration::from_millis(400));
    for daemon in &killed {
        fleet.simulation.handle().kill(fleet.daemons[*daemon].host);
    }
    fleet.wait(DUE + WINDOW);
    let all = sum(&reported(&fleet));
    for (tenant, count) in &served {
        let told = all[tenant] - earlier.get(tenant).copied().unwrap_or_default();
        assert_eq!(told, *count, "{tenant}");
    }
}

#[test]
fn clocks_that_are_seconds_off_shift_no_requests_between_windows() {
    let mut fleet = fleet(5);
    let handle = fleet.simulation.handle();
    handle.step_clock(fleet.daemons[0].host, 2_000);
    handle.step_clock(fleet.daemons[1].host, -2_000);
    let served = ask_for(&mut fleet, &[0, 1, 2, 3, 4], Duration::from_secs(20));
    handle.step_clock(fleet.daemons[0].host, 0);
    handle.step_clock(fleet.daemons[1].host, 0);
    fleet.wait(DUE + WINDOW);
    let windows = reported(&fleet);
    assert_close(&sum(&windows), &served);
    // A whole window holds some 80 requests; one shifted by two seconds would lose or gain two in five of a daemon's.
    let whole: Vec<u64> = windows
        .values()
        .map(|counts| counts.values().sum())
        .filter(|requests| *requests > 0)
        .collect();
    let inner = &whole[1..whole.len() - 1];
    let (least, most) = (
        inner.iter().min().expect("some"),
        inner.iter().max().expect("some"),
    );
    assert!(most - least <= most / 10, "{whole:?}");
}

#[test]
fn answers_lost_by_the_provider_bring_the_same_report_again() {
    let mut fleet = fleet(3);
    fleet.provider.set_mode(ProviderMode::LosesAnswers);
    let served = ask_for(&mut fleet, &[0, 1, 2], Duration::from_secs(8));
    fleet.wait(Duration::from_secs(4));
    fleet.provider.set_mode(ProviderMode::Up);
    fleet.wait(DUE);
    assert!(fleet.provider.usage().len() > reported(&fleet).len());
    assert_eq!(sum(&reported(&fleet)), served);
}

#[test]
fn a_provider_that_is_away_gets_all_windows_when_it_is_back_and_few_calls_until_then() {
    let mut fleet = fleet(3);
    for mode in [ProviderMode::Silent, ProviderMode::Busy] {
        fleet.provider.set_mode(mode);
        let before = fleet.provider.calls();
        ask_for(&mut fleet, &[0, 1, 2], Duration::from_secs(6));
        fleet.wait(Duration::from_secs(6));
        let calls = fleet.provider.calls() - before;
        assert!(calls <= 40, "{calls} calls in 12 s of {mode:?}");
        fleet.provider.set_mode(ProviderMode::Up);
        fleet.wait(DUE);
    }
    let windows = reported(&fleet);
    let (oldest, newest) = (
        *windows.keys().min().expect("some"),
        *windows.keys().max().expect("some"),
    );
    assert_eq!(windows.len() as u64, newest - oldest + 1);
}

#[test]
fn without_the_store_no_figure_is_reported_that_another_could_contradict() {
    let mut fleet = fleet(3);
    ask_for(&mut fleet, &[0, 1, 2], Duration::from_secs(6));
    fleet.wait(Duration::from_secs(2));
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(Duration::from_secs(1));
    let before = fleet.provider.usage().len();
    ask_for(&mut fleet, &[0, 1, 2], Duration::from_secs(9));
    assert_eq!(fleet.provider.usage().len(), before);
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait(DUE + WINDOW);
    let windows = reported(&fleet);
    let (oldest, newest) = (
        *windows.keys().min().expect("some"),
        *windows.keys().max().expect("some"),
    );
    assert_eq!(windows.len() as u64, newest - oldest + 1);
}

#[test]
fn a_leader_cut_from_the_store_and_one_frozen_past_its_lease_report_nothing_of_their_own() {
    let mut fleet = fleet(4);
    ask_for(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(8));
    let first = fleet.last_reporter();
    let handle = fleet.simulation.handle();
    handle.cut(fleet.daemons[first].host, fleet.store_host);
    let others: Vec<usize> = (0..4).filter(|daemon| *daemon != first).collect();
    ask_for(&mut fleet, &others, Duration::from_secs(12));
    handle.heal_all();
    let second = fleet.last_reporter();
    assert_ne!(first, second);
    handle.freeze(fleet.daemons[second].host);
    let others: Vec<usize> = (0..4).filter(|daemon| *daemon != second).collect();
    ask_for(&mut fleet, &others, Duration::from_secs(12));
    handle.thaw(fleet.daemons[second].host);
    fleet.wait(DUE);
    let notes = fleet.provider.usage();
    assert_one_at_a_time(&notes);
    let _each_window_has_one_figure = reported(&fleet);
}

/// A window was reported without what a daemon had counted that nobody could reach. Its counts came later, and then the store came
/// back from a copy that knows nothing of the report: another leader settled the window again, with other figures.
#[test]
fn a_window_reported_before_the_store_comes_back_from_an_older_copy_keeps_its_figures() {
    let mut fleet = fleet(4);
    fleet.store.name_era(1);
    let copy = fleet.store.copy().from_before("ponddrift/");
    ask_for(&mut fleet, &[0, 1, 2, 3], Duration::from_secs(9));
    let leading = fleet.last_reporter();
    let counting = (leading + 1) % 4;
    wait_into_next_window(&mut fleet, Duration::from_millis(200));
    let handle = fleet.simulation.handle();
    for other in (0..4).filter(|other| *other != counting) {
        handle.cut(fleet.daemons[counting].host, fleet.daemons[other].host);
    }
    ask_for(&mut fleet, &[counting], Duration::from_secs(2));
    let before = reported(&fleet).len();
    // The one before, and this one without what that daemon counted.
    while reported(&fleet).len() < before + 2 {
        fleet.wait(Duration::from_millis(100));
    }
    handle.heal_all();
    fleet.wait(Duration::from_millis(400));
    fleet.store.come_back_from(&copy);
    fleet.wait(DUE + WINDOW);
    let notes = fleet.provider.usage();
    let fences: std::collections::BTreeSet<u64> = notes.iter().map(|note| note.fence).collect();
    assert!(fences.len() > 1, "somebody led in each era");
    let _each_window_has_one_figure = reported(&fleet);
}

/// Daemons of a fleet of two zones, each a neighbourhood of its own.
const MANY: u8 = 26;

fn fleet_of_two_zones() -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: MANY,
        zones: 2,
        reports_usage: true,
        ..FleetOptions::default()
    });
    let text = configuration(2, &routes());
    fleet.store.put("op/config", with_tenants(&text, &TENANTS));
    fleet.wait(Duration::from_secs(4));
    fleet
}

/// Numbers of the daemons in the zone where the leader is not: those that keep copies, and the others.
fn of_the_other_zone(fleet: &Fleet, leading: usize) -> (Vec<usize>, Vec<usize>) {
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
    let topology = Topology::of(&members[leading], &members);
    let in_zone = (0..fleet.daemons.len()).filter(|number| number % 2 != leading % 2);
    in_zone.partition(|number| {
        let address = members[*number].peer_address;
        topology.usage_keepers.contains(&address)
    })
}

fn wait_into_next_window(fleet: &mut Fleet, time: Duration) {
    let into_window = fleet.simulation.handle().elapsed().as_millis() % WINDOW.as_millis();
    let rest = WINDOW.as_millis() - into_window;
    fleet.wait(Duration::from_millis(u64::try_from(rest).expect("short")) + time);
}

/// What was reported beyond `earlier` is what was served.
fn assert_all_reported(
    fleet: &Fleet,
    earlier: &BTreeMap<String, u64>,
    served: &BTreeMap<String, u64>,
) {
    let all = sum(&reported(fleet));
    for (tenant, count) in served {
        let told = all[tenant] - earlier.get(tenant).copied().unwrap_or_default();
        assert_eq!(told, *count, "{tenant}");
    }
}

/// All that keep copies of a zone lose them just before the leader asks; those that counted are still there.
#[test]
fn copies_lost_with_their_keepers_are_replaced_by_the_daemons_that_counted() {
    let mut fleet = fleet_of_two_zones();
    ask_for(&mut fleet, &[0], Duration::from_secs(8));
    let (keepers, others) = of_the_other_zone(&fleet, fleet.last_reporter());
    assert_eq!(keepers.len(), USAGE_REPLICAS);
    fleet.wait(DUE);
    let earlier = sum(&reported(&fleet));
    wait_into_next_window(&mut fleet, Duration::from_millis(500));
    let served = ask_for(&mut fleet, &others, Duration::from_secs(3));
    // A whole window ends 1.5 s later; copies are asked for 1.1 s after that.
    fleet.wait(Duration::from_millis(2_450));
    for keeper in keepers {
        fleet
            .simulation
            .handle()
            .restart(fleet.daemons[keeper].host);
    }
    fleet.wait(DUE + WINDOW);
    assert_all_reported(&fleet, &earlier, &served);
}

/// Stopped one after the other, those that keep copies last, within one window.
#[test]
fn counts_outlive_a_rolling_restart_of_a_zone() {
    let mut fleet = fleet_of_two_zones();
    ask_for(&mut fleet, &[0], Duration::from_secs(8));
    let (keepers, others) = of_the_other_zone(&fleet, fleet.last_reporter());
    fleet.wait(DUE);
    let earlier = sum(&reported(&fleet));
    wait_into_next_window(&mut fleet, Duration::from_millis(200));
    let counting = &others[..3];
    let served = ask_for(&mut fleet, counting, Duration::from_millis(1_500));
    fleet.wait(Duration::from_millis(300));
    for daemon in counting.iter().chain(&keepers) {
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
