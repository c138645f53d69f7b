//! The state of two candidates, the store and the receiver of calls, and how time changes it.

use std::time::Instant;

use super::candidate::{
    Candidate, HeldGrant, MAX_CALL_TICKS, PendingRequest, RequestKind, TICK_DURATION, Treatment,
    max_age_ticks,
};
use super::{Rules, Scope};

/// What an outage of the store affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum OutageKind {
    /// All requests; leases keep the time that they had left.
    AllKeepingLeases,
    /// All requests; leases expire.
    All,
    /// The requests of one candidate.
    Only(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Outage {
    pub(super) kind: OutageKind,
    pub(super) left: u8,
}

impl Outage {
    fn rejects(self, candidate: usize) -> bool {
        match self.kind {
            OutageKind::AllKeepingLeases | OutageKind::All => true,
            OutageKind::Only(affected) => affected == candidate,
        }
    }
}

/// The lease as the store holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    pub(super) holder: usize,
    pub(super) left: u8,
}

/// Times of a candidate's calls at the receiver, in ticks before now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct SeenCalls {
    pub(super) newest: u8,
    /// The last call before the newest call of the other candidate.
    pub(super) before_other: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct State<const LEASE_TICKS: u8> {
    pub(super) candidates: [Candidate; 2],
    pub(super) lease: Option<Lease>,
    pub(super) seen: [SeenCalls; 2],
    /// Age of the highest token seen, and the candidate that sent it.
    pub(super) highest: Option<(u8, usize)>,
    pub(super) faults_left: u8,
    pub(super) releases_left: u8,
    pub(super) outages_left: u8,
    pub(super) outage: Option<Outage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Violation {
    LowerToken,
    SharedToken,
    AlternatingCalls,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    Nothing,
    SendRequest(RequestKind, u8, Option<u8>),
    SendCall(u8),
    Pause,
    Kill,
    BeginRelease,
}

impl<const LEASE_TICKS: u8> State<LEASE_TICKS> {
    /// Age in ticks beyond which events no longer matter.
    const MAX_AGE_TICKS: u8 = max_age_ticks(LEASE_TICKS);
    /// Age in ticks of a grant or renewal at which the lease is renewed.
    const RENEWAL_AGE_TICKS: u8 = LEASE_TICKS / 3;
    /// Duration of an outage in ticks.
    const OUTAGE_TICKS: u8 = LEASE_TICKS + 1;
    /// Duration of a pause in ticks.
    const PAUSE_TICKS: u8 = LEASE_TICKS + 3;

    fn increment_age(ticks: u8) -> u8 {
        (ticks + 1).min(Self::MAX_AGE_TICKS)
    }

    pub(super) fn first(scope: Scope) -> Self {
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
            outages_left: scope.outages,
            outage: None,
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
        match rules {
            Rules::CallUntilExpiry => held.renewed.unwrap_or(held.requested_at) < LEASE_TICKS,
            _ => held.term::<LEASE_TICKS>(rules, now).allows_call(now),
        }
    }

    pub(super) fn steps(&self, index: usize, rules: Rules, scope: Scope) -> Vec<Step> {
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
                    let now = Instant::now() + TICK_DURATION * 1_000;
                    let in_doubt = held.term::<LEASE_TICKS>(rules, now).may_have_expired(now);
                    if in_doubt && !scope.resumes {
                        // The lease is not recovered in this scope.
                    } else if in_doubt && !candidate.renews_next {
                        ask(RequestKind::ReadKey(None));
                    } else {
                        ask(RequestKind::Renew);
                    }
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

    pub(super) fn take_step(&mut self, index: usize, step: Step, rules: Rules) {
        let candidate = &mut self.candidates[index];
        match step {
            Step::Nothing => {}
            Step::SendRequest(kind, processing, answering) => {
                candidate.renews_next = false;
                candidate.pending = Some(PendingRequest {
                    kind,
                    requested_at: 0,
                    processed_in: Some(processing),
                    answer_in: answering.map(|answering| processing + answering),
                    treatment: Treatment::NotProcessed,
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
    pub(super) fn advance_tick(&mut self, rules: Rules, scope: Scope) -> Result<(), Violation> {
        for index in 0..2 {
            self.begin_release(index);
            self.store_processes_request(index);
            self.answer_arrives(index, rules);
            self.call_arrives(index)?;
        }
        self.age(rules, scope);
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
                    treatment: Treatment::NotProcessed,
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
        pending.treatment = if self.outage.is_some_and(|outage| outage.rejects(index)) {
            Treatment::Rejected
        } else if self.perform(index, pending.kind) {
            Treatment::Done
        } else {
            Treatment::ConditionFailed
        };
        self.candidates[index].pending = Some(pending);
    }

    /// Performs a request. Returns whether its condition held.
    fn perform(&mut self, index: usize, kind: RequestKind) -> bool {
        let is_holder = self.lease.is_some_and(|lease| lease.holder == index);
        let condition_holds = match kind {
            RequestKind::Take => self.lease.is_none(),
            RequestKind::Renew | RequestKind::Release | RequestKind::ReadKey(_) => is_holder,
        };
        if !condition_holds {
            return false;
        }
        match kind {
            RequestKind::Take => {
                self.lease = Some(Lease {
                    holder: index,
                    left: LEASE_TICKS,
                });
                self.age_tokens();
            }
            RequestKind::Renew => {
                self.lease = Some(Lease {
                    holder: index,
                    left: LEASE_TICKS,
                });
            }
            RequestKind::Release => self.lease = None,
            RequestKind::ReadKey(_) => {}
        }
        true
    }

    /// Ages all tokens after a new one was granted.
    fn age_tokens(&mut self) {
        for candidate in &mut self.candidates {
            if let Some(held) = &mut candidate.held {
                held.token_age = (held.token_age + 1).min(9);
            }
            if let Some(pending) = &mut candidate.pending
                && pending.treatment == Treatment::Done
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

    fn answer_arrives(&mut self, index: usize, rules: Rules) {
        let candidate = &mut self.candidates[index];
        let Some(pending) = candidate.pending else {
            return;
        };
        let is_due = pending.answer_in == Some(0) && candidate.paused == 0;
        if !is_due {
            return;
        }
        candidate.pending = None;
        match (pending.kind, candidate.held) {
            (RequestKind::Take, _) if pending.treatment == Treatment::Done => {
                candidate.held = Some(HeldGrant {
                    token_age: pending.token_age,
                    requested_at: pending.requested_at,
                    granted_at: 0,
                    last_call: candidate.last_call,
                    renewed: None,
                    unconfirmed_renewals: 0,
                });
            }
            (RequestKind::Renew, Some(held)) => {
                candidate.renewal_answered::<LEASE_TICKS>(held, pending, rules);
            }
            (RequestKind::ReadKey(renewal_sent), Some(held)) => {
                let counted_from = match rules {
                    Rules::ResumeFromKeyRead => renewal_sent.map(|_sent| 0),
                    _ => renewal_sent,
                };
                candidate.key_read::<LEASE_TICKS>(held, pending, counted_from, rules);
            }
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

    fn age(&mut self, rules: Rules, scope: Scope) {
        for candidate in &mut self.candidates {
            candidate.paused = candidate.paused.saturating_sub(1);
            candidate.last_call = Self::increment_age(candidate.last_call);
            if let Some(held) = &mut candidate.held {
                held.requested_at = Self::increment_age(held.requested_at);
                held.granted_at = Self::increment_age(held.granted_at);
                held.last_call = Self::increment_age(held.last_call);
                held.renewed = held.renewed.map(Self::increment_age);
                let age = held.renewed.unwrap_or(held.requested_at);
                if !scope.resumes && age >= Self::MAX_AGE_TICKS {
                    candidate.held = None;
                }
            }
            if let Some(pending) = &mut candidate.pending {
                if let RequestKind::ReadKey(Some(renewal_sent)) = &mut pending.kind {
                    *renewal_sent = Self::increment_age(*renewal_sent);
                }
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
        let keeps_leases = self
            .outage
            .is_some_and(|outage| outage.kind == OutageKind::AllKeepingLeases);
        if !keeps_leases && let Some(lease) = &mut self.lease {
            lease.left -= 1;
            if lease.left == 0 {
                self.lease = None;
            }
        }
        if let Some(outage) = &mut self.outage {
            outage.left -= 1;
            if outage.left == 0 {
                self.outage = None;
            }
        }
    }

    /// This state, and the states in which an outage begins now.
    pub(super) fn with_outages(self) -> Vec<Self> {
        let mut states = vec![self];
        // An outage matters only to a leader.
        if self.outages_left > 0 && self.lease.is_some() {
            let kinds = [
                OutageKind::AllKeepingLeases,
                OutageKind::All,
                OutageKind::Only(0),
                OutageKind::Only(1),
            ];
            states.extend(kinds.map(|kind| Self {
                outages_left: self.outages_left - 1,
                outage: Some(Outage {
                    kind,
                    left: Self::OUTAGE_TICKS,
                }),
                ..self
            }));
        }
        states
    }
}
