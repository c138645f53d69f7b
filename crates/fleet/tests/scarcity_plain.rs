//! Tests the sharing of a plain service's room by replaying the load of whole fleets.

#[path = "support/plain_service.rs"]
mod plain_service;

use plain_service::{Ends, Load, Outcome, World};

/// Six back ends with six slots of 60 ms end 600 requests a second at most.
const CAPACITY: f64 = 600.0;
const MEAN_RATE: f64 = 170.0;
/// Three bursts that meet.
const PEAK: f64 = 1.7 * 1.8 * 2.4;
const PEAK_S: f64 = 3.0;
const IN_PEAK: std::ops::Range<u64> = 3_000..6_000;
const SEEDS: std::ops::Range<u64> = 1..4;

/// One tenant wants half of the demand, ten others share the rest.
fn peak(hasty_share: f64) -> Load {
    Load {
        daemons: 24,
        rates: vec![
            (0, MEAN_RATE),
            (3_000, MEAN_RATE * PEAK),
            (6_000, MEAN_RATE),
        ],
        length_ms: 9_000,
        large_share: 0.5,
        hasty_share,
        shares_room: true,
    }
}

fn sum<'a>(ends: impl Iterator<Item = &'a Ends>) -> Ends {
    ends.fold(Ends::default(), |sum, ends| Ends {
        offered: sum.offered + ends.offered,
        in_target: sum.in_target + ends.in_target,
        late: sum.late + ends.late,
        refused: sum.refused + ends.refused,
    })
}

fn outcomes(load: impl Fn() -> Load, counted: std::ops::Range<u64>) -> Vec<Outcome> {
    SEEDS
        .map(|seed| World::new(load(), counted.clone(), seed).run())
        .collect()
}

#[test]
fn a_peak_beyond_the_room_leaves_the_room_to_requests_in_time() {
    // Load: 170 requests a second, for three seconds 1.7 x 1.8 x 2.4 times as many.
    for outcome in outcomes(|| peak(0.0), IN_PEAK) {
        let all = sum(outcome.tenants.values());
        // Callers need answers in time; late ones use up the room of others.
        assert!(
            f64::from(all.in_target) >= 0.9 * CAPACITY * PEAK_S,
            "nine tenths of what the back ends can end: {all:?}"
        );
        assert!(all.late * 10 <= all.in_target, "{all:?}");
        assert!(
            outcome.shed_beside_room * 100 <= outcome.sends,
            "sent to a full back end beside one with room: {outcome:?}"
        );
    }
}

#[test]
fn no_tenant_and_no_zone_starves_in_a_peak() {
    // Load: the same peak; one tenant wants half of it, and the zones want unequal parts.
    for outcome in outcomes(|| peak(0.0), IN_PEAK) {
        let average = sum(outcome.tenants.values()).in_target_share();
        for (tenant, ends) in &outcome.tenants {
            // A tenant that wants less than its share must not pay for the one that wants more.
            let bound = if *tenant == 0 { 0.5 } else { 0.95 };
            assert!(
                ends.in_target_share() >= bound * average,
                "tenant {tenant}, average {average}: {ends:?}"
            );
        }
        for (zone, ends) in &outcome.zones {
            assert!(
                ends.in_target_share() >= 0.8 * average,
                "zone {zone}, average {average}: {ends:?}"
            );
        }
    }
}

#[test]
fn refused_callers_that_come_back_at_their_time_find_room() {
    // Load: the same peak; every refused caller comes back once, when it was told to.
    for outcome in outcomes(|| peak(0.0), IN_PEAK) {
        assert!(outcome.returned >= 200, "callers come back: {outcome:?}");
        assert!(
            outcome.returned_with_room * 5 >= outcome.returned * 4,
            "four of five find room: {outcome:?}"
        );
        assert_eq!(outcome.broken_promises, 0, "beyond the deadline");
    }
}

#[test]
fn callers_that_repeat_at_once_gain_nothing() {
    // Load: the same peak; three of ten callers repeat after 20 ms, up to three times.
    for outcome in outcomes(|| peak(0.3), IN_PEAK) {
        let (hasty, patient) = (
            outcome.hasty.in_target_share(),
            outcome.patient.in_target_share(),
        );
        assert!(hasty <= patient, "hasty {hasty}, patient {patient}");
        let all = sum(outcome.tenants.values());
        assert!(
            f64::from(all.in_target) >= 0.9 * CAPACITY * PEAK_S,
            "and cost the others no room: {all:?}"
        );
    }
}

#[test]
fn daemons_with_the_same_news_do_not_choose_the_same_back_end() {
    // Load: 77 daemons that send 510 requests a second, 85% of what the back ends can end.
    let steady = || Load {
        daemons: 77,
        rates: vec![(0, 510.0)],
        length_ms: 8_000,
        large_share: 0.5,
        hasty_share: 0.0,
        shares_room: true,
    };
    for outcome in outcomes(steady, 2_000..7_000) {
        let all = sum(outcome.tenants.values());
        assert_eq!(outcome.shed_beside_room, 0, "{outcome:?}");
        assert!(
            f64::from(all.in_target) >= 0.99 * f64::from(all.offered),
            "there is room for all in time: {all:?}"
        );
    }
}

#[test]
fn no_request_is_refused_while_there_is_room() {
    // Load: 170 requests a second before room for 600, of tenants of unequal size.
    let quiet = || Load {
        daemons: 24,
        rates: vec![(0, MEAN_RATE)],
        length_ms: 8_000,
        large_share: 0.5,
        hasty_share: 0.0,
        shares_room: true,
    };
    for outcome in outcomes(quiet, 0..7_000) {
        let all = sum(outcome.tenants.values());
        assert_eq!((all.refused, all.late, outcome.shed), (0, 0, 0));
    }
}
