//! Tests the selection of candidates from fleets of up to 10,000 back ends.

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
use ponddrift_fleet::store_doubt::REWRITE_PERIOD;
use ponddrift_fleet::versions::RequiredVersion;

/// Revision `number` of the first era.
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
        version: ponddrift_fleet::versions::SoftwareVersion::default(),
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
        version: &RequiredVersion::Any,
        service: SERVICE,
        zone: None,
        prefix,
        holders,
        eligibility: &|_back_end| Eligibility::Preferred,
    };
    directory.candidates(&query, Instant::now())
}

fn usability_if(is_well: bool) -> Eligibility {
    if is_well {
        Eligibility::Preferred
    } else {
        Eligibility::Fallback
    }
}

fn candidate_ids(candidates: &Candidates) -> HashSet<Arc<str>> {
    let engines = candidates.back_ends.iter();
    engines.map(|engine| Arc::clone(&engine.id)).collect()
}

#[test]
fn the_number_of_examined_engines_does_not_grow_with_the_fleet() {
    for engines in [1_000, 10_000] {
        let directory = fleet(engines, "a", 7);
        let looked_at = Cell::new(0);
        let query = CandidateQuery {
            version: &RequiredVersion::Any,
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
fn every_back_end_of_a_small_fleet_is_a_candidate_once() {
    let directory = fleet(100, "a", 7);
    let candidates = choose(&directory, Some(3), &[Arc::from("i-000007")]);
    assert_eq!(candidates.back_ends.len(), 100);
    assert_eq!(candidate_ids(&candidates).len(), 100);
}

#[test]
fn back_ends_of_the_own_zone_are_preferred() {
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
fn back_ends_of_the_requested_zone_are_preferred() {
    let directory = fleet(10_000, "b", 7);
    let query = CandidateQuery {
        version: &RequiredVersion::Any,
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
fn other_zones_are_used_if_none_of_the_own_zone_is_usable() {
    let directory = fleet(10_000, "b", 7);
    let query = CandidateQuery {
        version: &RequiredVersion::Any,
        service: SERVICE,
        zone: None,
        prefix: None,
        holders: &[],
        eligibility: &|back_end| usability_if(&*back_end.zone != "b"),
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
fn back_ends_usable_only_at_need_are_candidates_if_there_are_no_others() {
    let directory = fleet(1_000, "b", 7);
    let query = CandidateQuery {
        version: &RequiredVersion::Any,
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
fn engines_are_spread_evenly_over_the_candidates_of_daemons() {
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
    let max_daemons = f64::from(chosen_by.values().copied().max().unwrap_or_default());
    assert_eq!(chosen_by.len(), 800, "every decode engine of the zone");
    assert!(
        max_daemons < 1.7 * mean,
        "{max_daemons} daemons, {mean} on average"
    );
}

#[test]
fn all_daemons_find_the_same_owners_of_a_prefix() {
    let daemon_in_a = fleet(3_000, "a", 1);
    let daemon_in_c = fleet(3_000, "c", 2);
    for prefix in 0..50 {
        let (daemon_in_a, daemon_in_c) = (
            choose(&daemon_in_a, Some(prefix), &[]),
            choose(&daemon_in_c, Some(prefix), &[]),
        );
        // Candidates of both daemons are owners of the prefix, because their other candidates are
        // in different zones.
        let common = candidate_ids(&daemon_in_a)
            .intersection(&candidate_ids(&daemon_in_c))
            .count();
        assert!(common >= 6, "prefix {prefix}: {common}");
    }
}

#[test]
fn prefix_holders_are_candidates_while_ready() {
    let mut directory = fleet(10_000, "a", 7);
    let known_holder: Arc<str> = Arc::from("i-000003");
    let holders = [Arc::clone(&known_holder), Arc::from("i-unknown")];
    assert!(candidate_ids(&choose(&directory, Some(3), &holders)).contains(&known_holder));
    directory.remove(&known_holder, at(2), Instant::now(), None);
    assert!(!candidate_ids(&choose(&directory, Some(3), &holders)).contains(&known_holder));
}

#[test]
fn candidates_are_stable_while_other_back_ends_leave() {
    let mut directory = fleet(10_000, "a", 7);
    let before = candidate_ids(&choose(&directory, None, &[]));
    let now = Instant::now();
    for number in (1..10_000).step_by(7) {
        let left = engine(number);
        if !before.contains(&left.id) {
            directory.remove(&left.id, at(2), now, None);
        }
    }
    assert_eq!(candidate_ids(&choose(&directory, None, &[])), before);
}

#[test]
fn an_engine_that_drains_or_changes_its_service_is_not_a_candidate() {
    let mut directory = fleet(300, "a", 7);
    let mut draining = engine(4);
    draining.lifecycle = Lifecycle::Draining;
    directory.put(draining, at(2), Instant::now());
    let mut of_another = engine(8);
    of_another.service = Arc::from("others");
    directory.put(of_another, at(2), Instant::now());
    let candidates = choose(&directory, None, &[]);
    assert_eq!(candidates.ready.all(), 298);
    assert!(!candidate_ids(&candidates).contains("i-000004"));
    assert!(!candidate_ids(&candidates).contains("i-000008"));
}

#[test]
fn an_engine_that_changes_its_stage_is_counted_once() {
    let mut directory = fleet(300, "a", 7);
    let mut changed = engine(4);
    changed.stage = Some(Stage::Prefill);
    directory.put(changed, at(2), Instant::now());
    let ready = choose(&directory, None, &[]).ready;
    assert_eq!((ready.prefill, ready.others), (61, 239));
}

#[test]
fn back_ends_whose_entries_vanished_in_doubt_remain_candidates() {
    let mut directory = fleet(1_000, "a", 7);
    let now = Instant::now();
    for number in 0..900 {
        directory.remove(&engine(number).id, at(2), now, Some(now + REWRITE_PERIOD));
    }
    let query = CandidateQuery {
        version: &RequiredVersion::Any,
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
