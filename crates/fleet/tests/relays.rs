//! Choice of the peer that relays a connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::relays::{PathReport, REPORT_LIFETIME, RelayCandidate, RelayQuery, Relays};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SERVICE: u32 = 7;
const OTHER_SERVICE: u32 = 8;
const CHOICES: usize = 2_000;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 2, 1], number))
}

/// Peers 0 to 8; three in each of the zones a, b and c.
fn candidates() -> Vec<RelayCandidate> {
    (0..9)
        .map(|number| RelayCandidate {
            address: peer(number),
            zone: Arc::from(["a", "b", "c"][usize::from(number / 3)]),
        })
        .collect()
}

const QUERY: RelayQuery<'_> = RelayQuery {
    service: Some(SERVICE),
    near_zones: ["a", "a"],
    tried: &[],
};

fn reaches(share: f64) -> PathReport {
    PathReport {
        reachable: vec![(SERVICE, share)],
        relayed: 0,
        room: 100,
    }
}

/// Chooses many times; returns how often each peer was chosen.
fn choose_often(relays: &Relays, query: &RelayQuery<'_>, now: Instant) -> [usize; 9] {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut counts = [0; 9];
    for _ in 0..CHOICES {
        if let Some(chosen) = relays.choose(&candidates(), query, now, &mut random) {
            counts[usize::from(chosen.port())] += 1;
        }
    }
    counts
}

#[test]
fn only_peers_that_reach_the_service_and_have_room_are_chosen() {
    let (mut relays, now) = (Relays::default(), Instant::now());
    for number in 0..7 {
        relays.receive(peer(number), reaches(0.0), now);
    }
    let full = PathReport {
        room: 0,
        ..PathReport::default()
    };
    relays.receive(peer(7), full, now);
    let counts = choose_often(&relays, &QUERY, now);
    assert_eq!(counts, [0, 0, 0, 0, 0, 0, 0, 0, CHOICES]);
    let other = RelayQuery {
        service: Some(OTHER_SERVICE),
        ..QUERY
    };
    let counts = choose_often(&relays, &other, now);
    assert!(counts[0] > 0, "peers that reach the other service relay it");
}

#[test]
fn no_peer_is_chosen_if_all_are_cut_or_tried() {
    let (mut relays, now) = (Relays::default(), Instant::now());
    let all: Vec<SocketAddr> = (0..9).map(peer).collect();
    let tried = RelayQuery {
        tried: &all,
        ..QUERY
    };
    assert_eq!(choose_often(&relays, &tried, now), [0; 9]);
    for number in 0..9 {
        relays.receive(peer(number), reaches(0.1), now);
    }
    assert_eq!(choose_often(&relays, &QUERY, now), [0; 9]);
    let expired = now + REPORT_LIFETIME;
    assert_ne!(choose_often(&relays, &QUERY, expired), [0; 9]);
}

#[test]
fn connections_spread_over_the_peers_by_their_load() {
    let (mut relays, now) = (Relays::default(), Instant::now());
    let everywhere = RelayQuery {
        near_zones: ["a", "b"],
        ..QUERY
    };
    for _ in 0..600 {
        let mut random = Pcg64Mcg::seed_from_u64(u64::from(relays.open_count()));
        let chosen = relays.choose(&candidates(), &everywhere, now, &mut random);
        relays.record_opened(chosen.expect("a peer"));
    }
    for number in 0..9 {
        let report = PathReport {
            relayed: if number == 0 { 1_000 } else { 0 },
            room: 100,
            ..PathReport::default()
        };
        relays.receive(peer(number), report, now);
    }
    let counts = choose_often(&relays, &everywhere, now);
    assert!(counts[0] < CHOICES / 40, "the busy peer: {counts:?}");
    assert!(
        counts[1..6].iter().all(|count| *count > CHOICES / 20),
        "the others of both zones: {counts:?}"
    );
}

#[test]
fn peers_that_add_a_crossing_of_zones_are_used_less() {
    let (relays, now) = (Relays::default(), Instant::now());
    let counts = choose_often(&relays, &QUERY, now);
    let near: usize = counts[..3].iter().sum();
    assert!(near > CHOICES / 2, "{counts:?}");
}

#[test]
fn a_peer_that_failed_is_avoided_for_longer_each_time() {
    let (mut relays, start) = (Relays::default(), Instant::now());
    let mut now = start;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        relays.record_failure(peer(0), now);
        let failed_at = now;
        while choose_often(&relays, &QUERY, now)[0] == 0 {
            now += Duration::from_millis(100);
        }
        pauses.push(now.saturating_duration_since(failed_at).as_millis());
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 8_000, 8_000]);
    relays.record_opened(peer(0));
    relays.record_failure(peer(0), now);
    let next = now + Duration::from_millis(500);
    assert!(
        choose_often(&relays, &QUERY, next)[0] > 0,
        "a success ends the series"
    );
}

#[test]
fn peers_that_gave_no_proof_of_working_paths_are_asked_after_the_others() {
    let (mut relays, now) = (Relays::default(), Instant::now());
    for number in 0..8 {
        relays.record_no_proof(peer(number), now);
    }
    let counts = choose_often(&relays, &QUERY, now);
    assert_eq!(counts, [0, 0, 0, 0, 0, 0, 0, 0, CHOICES]);
    let tried = [peer(8)];
    let next = RelayQuery {
        tried: &tried,
        ..QUERY
    };
    let counts = choose_often(&relays, &next, now);
    assert!(
        counts[..8].iter().all(|count| *count > 0),
        "they are asked rather than none: {counts:?}"
    );
    relays.record_opened(peer(0));
    let counts = choose_often(&relays, &next, now);
    assert_eq!(counts, [CHOICES, 0, 0, 0, 0, 0, 0, 0, 0], "it relayed");
    let later = now + REPORT_LIFETIME;
    let counts = choose_often(&relays, &next, later);
    assert!(counts[1] > 0, "a peer is not put off for long: {counts:?}");
}

#[test]
fn a_peer_that_failed_is_asked_rather_than_none_and_before_those_without_proof() {
    let (mut relays, now) = (Relays::default(), Instant::now());
    relays.record_failure(peer(0), now);
    for number in 2..9 {
        relays.record_no_proof(peer(number), now);
    }
    let counts = choose_often(&relays, &QUERY, now);
    assert_eq!(counts[1], CHOICES, "nothing speaks against it: {counts:?}");
    relays.record_no_proof(peer(1), now);
    let counts = choose_often(&relays, &QUERY, now);
    assert_eq!(counts[0], CHOICES, "{counts:?}");
}
