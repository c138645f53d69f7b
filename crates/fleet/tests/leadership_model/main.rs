//! Model checker for the leadership rules: explores all interleavings of two candidates and one
//! store up to a bound, with delayed and lost answers, pauses, kills, releases and outages of the
//! store for one candidate or both. Guards against receivers seeing a lower fencing token, a token
//! shared by two leaders, or calls that alternate between leaders.
//!
//! Time passes in ticks; in each tick every candidate performs at most one action. Times in a state
//! are relative to the present, so that the number of states is finite and each is visited once.
//! Faults seeded into the rules must be detected.

mod candidate;
mod state;

use std::collections::HashSet;

use state::{State, Violation};

/// Limit on the number of visited states.
const MAX_STATES: usize = 3_000_000;
/// Ticks until the store processes a request, and from then until its answer; `None` if the answer
/// is lost.
type StoreDelays = &'static [(u8, Option<u8>)];

/// Bounds of an exploration.
#[derive(Debug, Clone, Copy)]
struct Scope {
    /// Number of pauses and kills.
    faults: u8,
    /// Number of voluntary releases of the lease.
    releases: u8,
    /// Number of outages of the store.
    outages: u8,
    /// Whether a candidate tries to recover a lease that may have expired. If not, there are fewer
    /// states.
    resumes: bool,
    store_delays: StoreDelays,
    /// Number of ticks.
    horizon: usize,
}

/// Delayed and lost answers, one fault and one release.
const UNRELIABLE_STORE: Scope = Scope {
    faults: 1,
    releases: 1,
    outages: 0,
    resumes: false,
    store_delays: &[(0, Some(0)), (0, Some(3)), (1, Some(1)), (0, None)],
    horizon: 16,
};
/// An outage of the store, with delayed and lost answers.
const STORE_OUTAGE: Scope = Scope {
    faults: 0,
    releases: 0,
    outages: 1,
    resumes: true,
    store_delays: &[(0, Some(0)), (0, Some(3)), (0, None)],
    horizon: 16,
};
/// An outage of the store, with one fault.
const STORE_OUTAGE_AND_FAULT: Scope = Scope {
    faults: 1,
    releases: 0,
    outages: 1,
    resumes: true,
    store_delays: &[(0, Some(0))],
    horizon: 19,
};
/// Two releases, with a lease long enough for three leaders within it.
const TWO_RELEASES: Scope = Scope {
    faults: 0,
    releases: 2,
    outages: 0,
    resumes: false,
    store_delays: &[(0, Some(0)), (0, None)],
    horizon: 24,
};
/// Lease duration in ticks for each scope.
const SHORT_LEASE_TICKS: u8 = 6;
const LONG_LEASE_TICKS: u8 = 12;

/// The rules as implemented, and variants with a seeded fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rules {
    AsImplemented,
    /// The lease counts from the store's answer.
    LeaseFromAnswer,
    /// A renewal counts from the store's answer.
    RenewalFromAnswer,
    /// A call may be sent until the lease expires in the store.
    CallUntilExpiry,
    /// A former leader does not wait after its own last call.
    NoWaitAfterOwnCalls,
    /// The lease is released while calls are in flight.
    ReleaseAtOnce,
    /// After an outage the term resumes because the key still stands, without a renewal.
    ResumeWithoutRenewal,
    /// After an outage the resumed term counts from the answer to the read of the key.
    ResumeFromKeyRead,
    /// A lease that expired in an outage is regarded as still held.
    ResumeAfterExpiry,
}

/// Visits all states within the horizon. Returns their number and the first violation found.
fn explore<const LEASE_TICKS: u8>(rules: Rules, scope: Scope) -> (usize, Option<Violation>) {
    let first = State::<LEASE_TICKS>::first(scope);
    let mut visited = HashSet::from([first]);
    let mut layer = vec![first];
    for _tick in 0..scope.horizon {
        let mut next = Vec::new();
        for state in layer.into_iter().flat_map(State::with_outages) {
            for first in state.steps(0, rules, scope) {
                let mut intermediate = state;
                intermediate.take_step(0, first, rules);
                for second in intermediate.steps(1, rules, scope) {
                    let mut after = intermediate;
                    after.take_step(1, second, rules);
                    if let Err(violation) = after.advance_tick(rules, scope) {
                        return (visited.len(), Some(violation));
                    }
                    if visited.insert(after) {
                        next.push(after);
                    }
                    assert!(visited.len() <= MAX_STATES, "too many states");
                }
            }
        }
        layer = next;
    }
    (visited.len(), None)
}

#[test]
fn no_interleaving_violates_the_rules_at_receivers() {
    let results = [
        explore::<SHORT_LEASE_TICKS>(Rules::AsImplemented, UNRELIABLE_STORE),
        explore::<LONG_LEASE_TICKS>(Rules::AsImplemented, TWO_RELEASES),
        explore::<SHORT_LEASE_TICKS>(Rules::AsImplemented, STORE_OUTAGE),
        explore::<SHORT_LEASE_TICKS>(Rules::AsImplemented, STORE_OUTAGE_AND_FAULT),
    ];
    for (states, violation) in results {
        assert_eq!(violation, None);
        assert!(states > 1_000, "only {states} states were visited");
    }
}

#[test]
fn each_fault_seeded_into_the_rules_is_detected() {
    let seeded = [
        Rules::LeaseFromAnswer,
        Rules::RenewalFromAnswer,
        Rules::CallUntilExpiry,
        Rules::NoWaitAfterOwnCalls,
        Rules::ReleaseAtOnce,
        Rules::ResumeWithoutRenewal,
        Rules::ResumeFromKeyRead,
        Rules::ResumeAfterExpiry,
    ];
    for rules in seeded {
        let violation = explore::<SHORT_LEASE_TICKS>(rules, UNRELIABLE_STORE)
            .1
            .or_else(|| explore::<LONG_LEASE_TICKS>(rules, TWO_RELEASES).1)
            .or_else(|| explore::<SHORT_LEASE_TICKS>(rules, STORE_OUTAGE).1);
        assert!(violation.is_some(), "{rules:?} is not detected");
    }
}
