//! Among which back ends a request's are chosen: counted at 1,000 and at 10,000 of them.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::{
    BackEnd, CandidateQuery, Candidates, Directory, Eligibility, Incarnation, Lifecycle,
    MAX_CANDIDATES_PER_STAGE,
};
use ponddrift_fleet::revision::{Era, Revision};

/// A revision of the first era.
fn at(number: u64) -> Revision {
    Revision::new(Era::FIRST, number).expect("small")
}

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const SERVICE: &str = "models";

fn engine(number: usize) -> BackEnd {
    let stage = if number.is_multiple_of(5) {
        Stage::Prefill
    } else {
        Stage::Decode
    };
    BackEnd {
        id: Arc::from(format!("i-{number:06x}")),
        incarnation: Incarnation::default(),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        zone: Arc::from(ZONES[number % ZONES.len()]),
        slots: 12,
        lifecycle: Lifecycle::Ready,
        stage: Some(stage),
        cold_start: None,
        contract: Contract::OnDemand,
    }
}

fn fleet(engines: usize, zone: &str, seed: u64) -> Directory {
    let mut directory = Directory::for_daemon(Arc::from(zone), seed);
    for number in 0..engines {
        directory.put(engine(number), at(1), Instant::now());
    }
    directory
}

fn choose(directory: &Directory, prefix: Option<u64>, holders: &[Arc<str>]) -> Candidates {
    let query = CandidateQuery {
        service: SERVICE,
        zone: None,
        prefix,
        holders,
        eligibility: &|_back_end| Eligibility::Preferred,
    };
    directory.candidates(&query, Instant::now())
}

fn well_if(is_well: bool) -> Eligibility {
    if is_well {
        Eligibility::Preferred
    } else {
        Eligibility::Fallback
    }
}

fn ids(candidates: &Candidates) -> HashSet<Arc<str>> {
    let engines = candidates.back_ends.iter();
    engines.map(|engine| Arc::clone(&engine.id)).collect()
}

#[test]
fn a_choice_looks_at_as_many_of_ten_thousand_engines_as_of_a_thousand() {
    for engines in [1_000, 10_000] {
        let directory = fleet(engines, "a", 7);
        let looked_at = Cell::new(0);
        let query = CandidateQuery {
            service: SERVICE,
            zone: None,
            prefix: Some(3),
            holders: &[],
            eligibility: &|_back_end| {
                looked_at.set(looked_at.get() + 1);
                Eligibility::Preferred
            },
        };
        let candidates = directory.candidates(&query, Instant::now());
        assert_eq!(
            looked_at.get(),
            2 * MAX_CANDIDATES_PER_STAGE,
            "{engines} engines"
        );
        assert!(candidates.back_ends.len() <= 2 * MAX_CANDIDATES_PER_STAGE + 6);
        assert_eq!(candidates.ready.all(), engines);
    }
}

#[test]
fn of_a_small_fleet_every_back_end_is_a_candidate_once() {
    let directory = fleet(100, "a", 7);
    let candidates = choose(&directory, Some(3), &[Arc::from("i-000007")]);
    assert_eq!(candidates.back_ends.len(), 100);
    assert_eq!(ids(&candidates).len(), 100);
}

#[test]
fn back_ends_of_the_own_zone_come_first() {
    let directory = fleet(10_000, "b", 7);
    let candidates = choose(&directory, None, &[]);
    assert!(
        candidates
            .back_ends
            .iter()
            .all(|engine| &*engine.zone == "b")
    );
}

#[test]
fn back_ends_of_the_zone_that_is_asked_for_come_first() {
    let directory = fleet(10_000, "b", 7);
    let query = CandidateQuery {
        service: SERVICE,
        zone: Some("c"),
        prefix: None,
        holders: &[],
        eligibility: &|_back_end| Eligibility::Preferred,
    };
    let candidates = directory.candidates(&query, Instant::now());
    let mut back_ends = candidates.back_ends.iter();
    assert!(back_ends.all(|engine| &*engine.zone == "c"));
}

#[test]
fn where_none_of_the_own_zone_can_be_used_others_are_candidates() {
    let directory = fleet(10_000, "b", 7);
    let query = CandidateQuery {
        service: SERVICE,
        zone: None,
        prefix: None,
        holders: &[],
        eligibility: &|back_end| well_if(&*back_end.zone != "b"),
    };
    let candidates = directory.candidates(&query, Instant::now());
    assert_eq!(candidates.back_ends.len(), 2 * MAX_CANDIDATES_PER_STAGE);
    assert!(
        candidates
            .back_ends
            .iter()
            .all(|engine| &*engine.zone != "b")
    );
}

#[test]
fn where_none_can_be_used_there_are_candidates_all_the_same() {
    let directory = fleet(1_000, "b", 7);
    let query = CandidateQuery {
        service: SERVICE,
        zone: None,
        prefix: None,
        holders: &[],
        eligibility: &|_back_end| Eligibility::Fallback,
    };
    let candidates = directory.candidates(&query, Instant::now());
    assert_eq!(candidates.back_ends.len(), 2 * MAX_CANDIDATES_PER_STAGE);
}

#[test]
fn every_engine_is_a_candidate_of_about_as_many_daemons() {
    const DAEMONS: u64 = 160;
    let mut chosen_by: HashMap<Arc<str>, u32> = HashMap::new();
    for seed in 0..DAEMONS {
        let directory = fleet(4_000, "a", seed);
        for engine in choose(&directory, None, &[]).back_ends {
            if engine.stage == Some(Stage::Decode) {
                *chosen_by.entry(Arc::clone(&engine.id)).or_default() += 1;
            }
        }
    }
    let mean = f64::from(chosen_by.values().sum::<u32>()) / 800.0;
    let most = f64::from(chosen_by.values().copied().max().unwrap_or_default());
    assert_eq!(chosen_by.len(), 800, "every decode engine of the zone");
    assert!(most < 1.7 * mean, "{most} daemons, {mean} on average");
}

#[test]
fn all_daemons_find_the_same_owners_of_a_prefix() {
    let here = fleet(3_000, "a", 1);
    let there = fleet(3_000, "c", 2);
    for prefix in 0..50 {
        let (here, there) = (
            choose(&here, Some(prefix), &[]),
            choose(&there, Some(prefix), &[]),
        );
        // Those that both find and neither prefers are owners; of two zones nothing else is common.
        let common = ids(&here).intersection(&ids(&there)).count();
        assert!(common >= 6, "prefix {prefix}: {common}");
    }
}

#[test]
fn holders_are_candidates_as_long_as_they_are_ready() {
    let mut directory = fleet(10_000, "a", 7);
    let far: Arc<str> = Arc::from("i-000003");
    let holders = [Arc::clone(&far), Arc::from("i-unknown")];
    assert!(ids(&choose(&directory, Some(3), &holders)).contains(&far));
    directory.remove(&far, at(2), Instant::now(), false);
    assert!(!ids(&choose(&directory, Some(3), &holders)).contains(&far));
}

#[test]
fn candidates_stay_as_other_back_ends_come_and_go() {
    let mut directory = fleet(10_000, "a", 7);
    let before = ids(&choose(&directory, None, &[]));
    let now = Instant::now();
    for number in (1..10_000).step_by(7) {
        let left = engine(number);
        if !before.contains(&left.id) {
            directory.remove(&left.id, at(2), now, false);
        }
    }
    assert_eq!(ids(&choose(&directory, None, &[])), before);
}

#[test]
fn an_engine_that_drains_or_changes_its_service_is_no_candidate() {
    let mut directory = fleet(300, "a", 7);
    let mut draining = engine(4);
    draining.lifecycle = Lifecycle::Draining;
    directory.put(draining, at(2), Instant::now());
    let mut of_another = engine(8);
    of_another.service = Arc::from("others");
    directory.put(of_another, at(2), Instant::now());
    let candidates = choose(&directory, None, &[]);
    assert_eq!(candidates.ready.all(), 298);
    assert!(!ids(&candidates).contains("i-000004"));
    assert!(!ids(&candidates).contains("i-000008"));
}

#[test]
fn an_engine_that_changes_its_stage_counts_once() {
    let mut directory = fleet(300, "a", 7);
    let mut changed = engine(4);
    changed.stage = Some(Stage::Prefill);
    directory.put(changed, at(2), Instant::now());
    let ready = choose(&directory, None, &[]).ready;
    assert_eq!((ready.prefill, ready.others), (61, 239));
}

#[test]
fn while_entries_vanish_in_doubt_those_that_vanished_are_candidates() {
    let mut directory = fleet(1_000, "a", 7);
    let now = Instant::now();
    for number in 0..900 {
        directory.remove(&engine(number).id, at(2), now, true);
    }
    let query = CandidateQuery {
        service: SERVICE,
        zone: None,
        prefix: None,
        holders: &[],
        eligibility: &|_back_end| Eligibility::Preferred,
    };
    assert_eq!(directory.candidates(&query, now).back_ends.len(), 1_000);
    let later = now + Duration::from_secs(10);
    assert_eq!(directory.candidates(&query, later).ready.all(), 100);
}
