//! Guards the assignment of duties to daemons by rendezvous hashing.

#[path = "support/gossip_network.rs"]
#[allow(dead_code)]
mod gossip_network;

use std::collections::BTreeSet;

use gossip_network::record;
use ponddrift_core::MachineId;
use ponddrift_core::membership::assignment::{
    PollerAssignment, ZoneSpread, cell_subscribers, controller_candidates, pollers, rendezvous,
    store_watchers,
};
use ponddrift_core::membership::{MemberRecord, MemberState, Readiness};

fn members(count: u32) -> Vec<MemberRecord> {
    (0..count).map(|machine| record(machine, 1, 7)).collect()
}

#[test]
fn removing_a_daemon_moves_only_its_own_keys() {
    let all = members(70);
    let all: Vec<_> = all.iter().collect();
    let rest: Vec<_> = all.iter().copied().skip(1).collect();
    for key in 0..200 {
        let key = format!("key-{key}");
        let before = rendezvous(&key, &all, 1, ZoneSpread::Ignore)[0].machine;
        let after = rendezvous(&key, &rest, 1, ZoneSpread::Ignore)[0].machine;
        assert!(before == after || before == MachineId(0));
    }
}

#[test]
fn a_spread_choice_uses_every_zone_before_any_zone_twice() {
    let all = members(70);
    let all: Vec<_> = all.iter().collect();
    let chosen = rendezvous("key", &all, 7, ZoneSpread::Spread);
    let zones: BTreeSet<_> = chosen.iter().map(|member| &member.zone).collect();
    assert_eq!(zones.len(), 7);
}

#[test]
fn duties_go_to_live_daemons_that_are_not_leaving_and_nearby_ones_first() {
    let mut all = members(70);
    for member in all.iter_mut().take(14) {
        member.state = MemberState::Dead;
    }
    for member in all.iter_mut().skip(14).take(14) {
        member.facts.readiness = Readiness::Leaving;
    }
    let zone = all[0].zone.clone();
    let cell = "cell".parse().unwrap();
    let all: Vec<_> = all.iter().collect();
    let chosen = [
        pollers(MachineId(900), &zone, &all, 2),
        store_watchers(&zone, &all, 2),
        controller_candidates(&cell, std::slice::from_ref(&zone), &all, 2),
    ];
    for chosen in chosen {
        assert_eq!(chosen.len(), 2);
        for member in chosen {
            assert!(member.zone == zone && member.machine.0 >= 28);
        }
    }
    let subscribers = cell_subscribers(&cell, std::slice::from_ref(&zone), &all, 5);
    assert_eq!(subscribers.len(), 8 + 5);
}

#[test]
fn a_poller_assignment_ranks_like_the_sorted_pollers() {
    let mut all = members(70);
    all[3].state = MemberState::Dead;
    all[4].facts.readiness = Readiness::Leaving;
    let zones: Vec<_> = all
        .iter()
        .take(7)
        .map(|member| member.zone.clone())
        .collect();
    let unknown = "nowhere".parse().unwrap();
    let all: Vec<_> = all.iter().collect();
    for own in &all {
        let assignment = PollerAssignment::new(own.machine, &all);
        for engine in (900..940).map(MachineId) {
            for zone in zones.iter().chain([&unknown]) {
                let ranked = pollers(engine, zone, &all, all.len());
                let place = ranked
                    .iter()
                    .position(|poller| poller.machine == own.machine);
                assert_eq!(assignment.rank(engine, zone), place);
            }
        }
    }
}

#[test]
fn a_daemon_without_known_peers_leaves_engines_to_expected_daemons() {
    let all = members(70);
    let own = &all[0];
    let zones = all.iter().take(7);
    let share = |assignment: &PollerAssignment| {
        let engines = (900..1_500).map(MachineId).zip(zones.clone().cycle());
        engines
            .filter(|(engine, place)| {
                let rank = assignment.rank(*engine, &place.zone);
                rank.is_some_and(|rank| rank < 2)
            })
            .count()
    };
    let mut assignment = PollerAssignment::new(own.machine, &[own]);
    assert_eq!(share(&assignment), 600);
    for other in &all {
        assignment.expect(other.machine, &other.zone);
    }
    assert!(share(&assignment) < 40);
}
