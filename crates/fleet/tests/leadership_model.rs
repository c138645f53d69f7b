//! Model checker for the leadership rules: explores all interleavings of two candidates and one
//! store up to a bound, with delayed and lost answers, pauses, kills and releases. Guards against
//! receivers seeing a lower fencing token, a token shared by two leaders, or calls that alternate
//! between leaders.
//!
//! Time passes in ticks; in each tick every candidate performs at most one action. Times in a state
//! are relative to the present, so that the number of states is finite and each is visited once.
//! Faults seeded into the rules must be detected.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use ponddrift_fleet::leadership::{Fencing, Grant, LeaderTerm};

/// Duration of a tick.
const TICK_DURATION: Duration = Duration::from_millis(300);
/// Maximum number of ticks until a call arrives; it is abandoned before the next tick.
const MAX_CALL_TICKS: u8 = 2;
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
    store_delays: StoreDelays,
    /// Number of ticks.
    horizon: usize,
}

/// Delayed and lost answers, one fault and one release.
const UNRELIABLE_STORE: Scope = Scope {
    faults: 1,
    releases: 1,
    store_delays: &[(0, Some(0)), (0, Some(3)), (1, Some(1)), (0, None)],
    horizon: 16,
};
/// Two releases, with a lease long enough for three leaders within it.
const TWO_RELEASES: Scope = Scope {
    faults: 0,
    releases: 2,
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
}

/// A grant held by a candidate; times in ticks before now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldGrant {
    /// Number of later grants.
    token_age: u8,
    requested_at: u8,
    granted_at: u8,
    last_call: u8,
    renewed: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RequestKind {
    Take,
    Renew,
    Release,
}

/// A request to the store in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingRequest {
    kind: RequestKind,
    requested_at: u8,
    processed_in: Option<u8>,
    answer_in: Option<u8>,
    /// Whether the store performed the request, once processed.
    done: bool,
    token_age: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Candidate {
    held: Option<HeldGrant>,
    pending: Option<PendingRequest>,
    last_call: u8,
    paused: u8,
    /// Call in flight: ticks until it arrives, and the age of its token.
    call: Option<(u8, u8)>,
    /// Ticks until the candidate releases the lease.
    releases_in: Option<u8>,
}

/// The lease as the store holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lease {
    holder: usize,
    left: u8,
}

/// Times of a candidate's calls at the receiver, in ticks before now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct SeenCalls {
    newest: u8,
    /// The last call before the newest call of the other candidate.
    before_other: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct State<const LEASE_TICKS: u8> {
    candidates: [Candidate; 2],
    lease: Option<Lease>,
    seen: [SeenCalls; 2],
    /// Age of the highest token seen, and the candidate that sent it.
    highest: Option<(u8, usize)>,
    faults_left: u8,
    releases_left: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Violation {
    LowerToken,
    SharedToken,
    AlternatingCalls,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Nothing,
    SendRequest(RequestKind, u8, Option<u8>),
    SendCall(u8),
    Pause,
    Kill,
    BeginRelease,
}

impl<const LEASE_TICKS: u8> State<LEASE_TICKS> {
    /// Age in ticks beyond which events no longer matter.
    const MAX_AGE_TICKS: u8 = LEASE_TICKS + 3;
    /// Age in ticks of a grant or renewal at which the lease is renewed.
    const RENEWAL_AGE_TICKS: u8 = LEASE_TICKS / 3;
    /// Duration of a pause in ticks.
    const PAUSE_TICKS: u8 = LEASE_TICKS + 3;

    fn increment_age(ticks: u8) -> u8 {
        (ticks + 1).min(Self::MAX_AGE_TICKS)
    }

    fn first(scope: Scope) -> Self {
        let long_ago = SeenCalls {
            newest: Self::MAX_AGE_TICKS,
            before_other: Self::MAX_AGE_TICKS,
        };
        let candidate = Candidate {
            last_call: Self::MAX_AGE_TICKS,
            ..Candidate::default()
        };
        Self {
            candidates: [candidate; 2],
            lease: None,
            seen: [long_ago; 2],
            highest: None,
            faults_left: scope.faults,
            releases_left: scope.releases,
        }
    }

    fn may_call(&self, index: usize, rules: Rules) -> bool {
        let candidate = &self.candidates[index];
        let Some(held) = candidate.held else {
            return false;
        };
        if candidate.releases_in.is_some() {
            return false;
        }
        let now = Instant::now() + TICK_DURATION * 1_000;
        let ago = |ticks: u8| now - TICK_DURATION * u32::from(ticks);
        let requested_at = match rules {
            Rules::LeaseFromAnswer => ago(held.granted_at),
            _ => ago(held.requested_at),
        };
        let last_call = match rules {
            Rules::NoWaitAfterOwnCalls => ago(100),
            // Nothing depends on older calls.
            _ if held.last_call >= Self::MAX_AGE_TICKS => ago(100),
            _ => ago(held.last_call),
        };
        let grant = Grant {
            fencing_token: 1,
            life: TICK_DURATION * u32::from(LEASE_TICKS),
            requested_at,
            granted_at: ago(held.granted_at),
            last_call,
        };
        let term = LeaderTerm::new(&grant, Fencing::Checked);
        let term = match held.renewed {
            Some(renewed) => term.renewed(ago(renewed)),
            None => term,
        };
        match rules {
            Rules::CallUntilExpiry => held.renewed.unwrap_or(held.requested_at) < LEASE_TICKS,
            _ => term.allows_call(now),
        }
    }

    fn steps(&self, index: usize, rules: Rules, scope: Scope) -> Vec<Step> {
        let candidate = &self.candidates[index];
        let mut steps = vec![Step::Nothing];
        if candidate.paused > 0 {
            return steps;
        }
        let mut ask =
            |kind| {
                let times = scope.store_delays.iter();
                steps.extend(times.map(|(processing, answering)| {
                    Step::SendRequest(kind, *processing, *answering)
                }));
            };
        if candidate.pending.is_none() && candidate.releases_in.is_none() {
            match candidate.held {
                // Both candidates watch the store.
                None if self.lease.is_none() => ask(RequestKind::Take),
                Some(held)
                    if held.renewed.unwrap_or(held.requested_at) >= Self::RENEWAL_AGE_TICKS =>
                {
                    ask(RequestKind::Renew);
                }
                _ => {}
            }
        }
        if candidate.call.is_none() && self.may_call(index, rules) {
            steps.push(Step::SendCall(0));
            steps.push(Step::SendCall(MAX_CALL_TICKS));
        }
        if self.faults_left > 0 && (candidate.held.is_some() || candidate.pending.is_some()) {
            steps.push(Step::Pause);
            steps.push(Step::Kill);
        }
        let may_release = self.releases_left > 0 && candidate.releases_in.is_none();
        if may_release && candidate.held.is_some() && candidate.pending.is_none() {
            steps.push(Step::BeginRelease);
        }
        steps
    }

    fn take_step(&mut self, index: usize, step: Step, rules: Rules) {
        let candidate = &mut self.candidates[index];
        match step {
            Step::Nothing => {}
            Step::SendRequest(kind, processing, answering) => {
                candidate.pending = Some(PendingRequest {
                    kind,
                    requested_at: 0,
                    processed_in: Some(processing),
                    answer_in: answering.map(|answering| processing + answering),
                    done: false,
                    token_age: 0,
                });
            }
            Step::SendCall(takes) => {
                let held = candidate.held.expect("it leads");
                candidate.call = Some((takes, held.token_age));
                candidate.last_call = 0;
                if rules == Rules::ReleaseAtOnce && self.releases_left > 0 {
                    candidate.held = None;
                    self.lease = self.lease.filter(|lease| lease.holder != index);
                    self.releases_left -= 1;
                }
            }
            Step::Pause => {
                candidate.paused = Self::PAUSE_TICKS;
                self.faults_left -= 1;
            }
            Step::Kill => {
                // The process restarts immediately; a call in flight still arrives.
                *candidate = Candidate {
                    last_call: 0,
                    call: candidate.call,
                    ..Candidate::default()
                };
                self.faults_left -= 1;
            }
            Step::BeginRelease => {
                candidate.releases_in = Some(MAX_CALL_TICKS + 1);
                self.releases_left -= 1;
            }
        }
    }

    /// Advances time by one tick and delivers what is due.
    fn advance_tick(&mut self, rules: Rules) -> Result<(), Violation> {
        for index in 0..2 {
            self.begin_release(index);
            self.store_processes_request(index);
            self.answer_arrives(index);
            self.call_arrives(index)?;
        }
        self.age(rules);
        Ok(())
    }

    fn begin_release(&mut self, index: usize) {
        let candidate = &mut self.candidates[index];
        match candidate.releases_in {
            Some(0) => {
                candidate.releases_in = None;
                candidate.held = None;
                candidate.pending = Some(PendingRequest {
                    kind: RequestKind::Release,
                    requested_at: 0,
                    processed_in: Some(0),
                    answer_in: Some(0),
                    done: false,
                    token_age: 0,
                });
            }
            Some(left) if candidate.paused == 0 => candidate.releases_in = Some(left - 1),
            _ => {}
        }
    }

    fn store_processes_request(&mut self, index: usize) {
        let Some(mut pending) = self.candidates[index].pending else {
            return;
        };
        if pending.processed_in != Some(0) {
            return;
        }
        pending.processed_in = None;
        let holds = self.lease.is_some_and(|lease| lease.holder == index);
        match pending.kind {
            RequestKind::Take if self.lease.is_none() => {
                self.lease = Some(Lease {
                    holder: index,
                    left: LEASE_TICKS,
                });
                pending.done = true;
                self.age_tokens();
            }
            RequestKind::Take => {}
            RequestKind::Renew if holds => {
                self.lease = Some(Lease {
                    holder: index,
                    left: LEASE_TICKS,
                });
                pending.done = true;
            }
            RequestKind::Renew => {}
            RequestKind::Release if holds => self.lease = None,
            RequestKind::Release => {}
        }
        self.candidates[index].pending = Some(pending);
    }

    /// Ages all tokens after a new one was granted.
    fn age_tokens(&mut self) {
        for candidate in &mut self.candidates {
            if let Some(held) = &mut candidate.held {
                held.token_age = (held.token_age + 1).min(9);
            }
            if let Some(pending) = &mut candidate.pending
                && pending.done
            {
                pending.token_age = (pending.token_age + 1).min(9);
            }
            if let Some((_left, token_age)) = &mut candidate.call {
                *token_age = (*token_age + 1).min(9);
            }
        }
        if let Some((token_age, _whose)) = &mut self.highest {
            *token_age = (*token_age + 1).min(9);
        }
    }

    fn answer_arrives(&mut self, index: usize) {
        let candidate = &mut self.candidates[index];
        let Some(pending) = candidate.pending else {
            return;
        };
        let is_due = pending.answer_in == Some(0) && candidate.paused == 0;
        if !is_due {
            return;
        }
        candidate.pending = None;
        match (pending.kind, pending.done) {
            (RequestKind::Take, true) => {
                candidate.held = Some(HeldGrant {
                    token_age: pending.token_age,
                    requested_at: pending.requested_at,
                    granted_at: 0,
                    last_call: candidate.last_call,
                    renewed: None,
                });
            }
            (RequestKind::Renew, true) => {
                if let Some(held) = &mut candidate.held {
                    held.renewed = Some(pending.requested_at);
                }
            }
            (RequestKind::Renew, false) => candidate.held = None,
            _ => {}
        }
    }

    fn call_arrives(&mut self, index: usize) -> Result<(), Violation> {
        let Some((left, token_age)) = self.candidates[index].call else {
            return Ok(());
        };
        if left > 0 {
            self.candidates[index].call = Some((left - 1, token_age));
            return Ok(());
        }
        self.candidates[index].call = None;
        if let Some((highest_age, sender)) = self.highest {
            if token_age > highest_age {
                return Err(Violation::LowerToken);
            }
            if token_age == highest_age && sender != index {
                return Err(Violation::SharedToken);
            }
        }
        let other = 1 - index;
        if self.seen[index].before_other < LEASE_TICKS
            && self.seen[other].newest < Self::MAX_AGE_TICKS
        {
            return Err(Violation::AlternatingCalls);
        }
        self.highest = Some((token_age, index));
        self.seen[index].newest = 0;
        let others_newest = self.seen[other].newest;
        self.seen[other].before_other = others_newest;
        self.seen[index].before_other = Self::MAX_AGE_TICKS;
        Ok(())
    }

    fn age(&mut self, rules: Rules) {
        for candidate in &mut self.candidates {
            candidate.paused = candidate.paused.saturating_sub(1);
            candidate.last_call = Self::increment_age(candidate.last_call);
            if let Some(held) = &mut candidate.held {
                held.requested_at = Self::increment_age(held.requested_at);
                held.granted_at = Self::increment_age(held.granted_at);
                held.last_call = Self::increment_age(held.last_call);
                held.renewed = held.renewed.map(Self::increment_age);
                if held.renewed.unwrap_or(held.requested_at) >= Self::MAX_AGE_TICKS {
                    candidate.held = None;
                }
            }
            if let Some(pending) = &mut candidate.pending {
                // A renewal that counts from its answer does not age while in flight.
                if !(rules == Rules::RenewalFromAnswer && pending.kind == RequestKind::Renew) {
                    pending.requested_at = Self::increment_age(pending.requested_at);
                }
                pending.processed_in = pending.processed_in.map(|left| left.saturating_sub(1));
                pending.answer_in = pending.answer_in.map(|left| left.saturating_sub(1));
                let is_abandoned = pending.answer_in.is_none() && pending.processed_in.is_none();
                if is_abandoned {
                    candidate.pending = None;
                }
            }
        }
        for seen in &mut self.seen {
            seen.newest = Self::increment_age(seen.newest);
            seen.before_other = Self::increment_age(seen.before_other);
        }
        if let Some(lease) = &mut self.lease {
            lease.left -= 1;
            if lease.left == 0 {
                self.lease = None;
            }
        }
    }
}

/// Visits all states within the horizon. Returns their number and the first violation found.
fn explore<const LEASE_TICKS: u8>(rules: Rules, scope: Scope) -> (usize, Option<Violation>) {
    let first = State::<LEASE_TICKS>::first(scope);
    let mut visited = HashSet::from([first]);
    let mut layer = vec![first];
    for _tick in 0..scope.horizon {
        let mut next = Vec::new();
        for state in layer {
            for first in state.steps(0, rules, scope) {
                let mut intermediate = state;
                intermediate.take_step(0, first, rules);
                for second in intermediate.steps(1, rules, scope) {
                    let mut after = intermediate;
                    after.take_step(1, second, rules);
                    if let Err(violation) = after.advance_tick(rules) {
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
    ];
    for rules in seeded {
        let in_first_scope = explore::<SHORT_LEASE_TICKS>(rules, UNRELIABLE_STORE).1;
        let violation =
            in_first_scope.or_else(|| explore::<LONG_LEASE_TICKS>(rules, TWO_RELEASES).1);
        assert!(violation.is_some(), "{rules:?} is not detected");
    }
}
