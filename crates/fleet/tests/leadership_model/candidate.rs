//! A candidate for the leadership and its requests to the store.

use std::time::{Duration, Instant};

use ponddrift_fleet::leadership::{
    Fencing, Grant, KeyState, LeaderTerm, RenewalDecision, RenewalOutcome,
};

use super::Rules;

/// Duration of a tick.
pub(super) const TICK_DURATION: Duration = Duration::from_millis(300);
/// Maximum number of ticks until a call arrives; it is abandoned before the next tick.
pub(super) const MAX_CALL_TICKS: u8 = 2;

/// A grant held by a candidate; times in ticks before now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct HeldGrant {
    /// Number of later grants.
    pub(super) token_age: u8,
    pub(super) requested_at: u8,
    pub(super) granted_at: u8,
    pub(super) last_call: u8,
    pub(super) renewed: Option<u8>,
    /// Renewals without a confirmed result since the lease may have expired.
    pub(super) unconfirmed_renewals: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum RequestKind {
    Take,
    Renew,
    Release,
    /// Reads the key: before a renewal, or after one that was sent this many ticks ago.
    ReadKey(Option<u8>),
}

/// The store's treatment of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Treatment {
    NotProcessed,
    Done,
    /// The condition of the request did not hold.
    ConditionFailed,
    /// Rejected in an outage.
    Rejected,
}

/// A request to the store in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) kind: RequestKind,
    pub(super) requested_at: u8,
    pub(super) processed_in: Option<u8>,
    pub(super) answer_in: Option<u8>,
    pub(super) treatment: Treatment,
    pub(super) token_age: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Candidate {
    pub(super) held: Option<HeldGrant>,
    pub(super) pending: Option<PendingRequest>,
    pub(super) last_call: u8,
    pub(super) paused: u8,
    /// Call in flight: ticks until it arrives, and the age of its token.
    pub(super) call: Option<(u8, u8)>,
    /// Ticks until the candidate releases the lease.
    pub(super) releases_in: Option<u8>,
    /// Whether the key was read as unchanged, so that the next request renews the lease.
    pub(super) renews_next: bool,
}

/// Age in ticks beyond which events no longer matter.
pub(super) const fn max_age_ticks(lease_ticks: u8) -> u8 {
    lease_ticks + 3
}

impl HeldGrant {
    /// The term that the candidate computes, as of `now`.
    pub(super) fn term<const LEASE_TICKS: u8>(self, rules: Rules, now: Instant) -> LeaderTerm {
        let ago = |ticks: u8| now - TICK_DURATION * u32::from(ticks);
        let requested_at = match rules {
            Rules::LeaseFromAnswer => ago(self.granted_at),
            _ => ago(self.requested_at),
        };
        let last_call = match rules {
            Rules::NoWaitAfterOwnCalls => ago(100),
            // Nothing depends on older calls.
            _ if self.last_call >= max_age_ticks(LEASE_TICKS) => ago(100),
            _ => ago(self.last_call),
        };
        let grant = Grant {
            fencing_token: 1,
            life: TICK_DURATION * u32::from(LEASE_TICKS),
            requested_at,
            granted_at: ago(self.granted_at),
            last_call,
        };
        let mut term = LeaderTerm::new(&grant, Fencing::Checked);
        if let Some(renewed) = self.renewed {
            term = term.renewed(ago(renewed));
        }
        for _ in 0..self.unconfirmed_renewals {
            // Counts only if the lease may have expired.
            let _decision = term.after_renewal(RenewalOutcome::Unknown, now);
        }
        term
    }

    fn renewed(self, ticks_ago: u8) -> Self {
        Self {
            renewed: Some(ticks_ago),
            unconfirmed_renewals: 0,
            ..self
        }
    }
}

impl Candidate {
    /// Applies the answer to a renewal.
    pub(super) fn renewal_answered<const LEASE_TICKS: u8>(
        &mut self,
        held: HeldGrant,
        pending: PendingRequest,
        rules: Rules,
    ) {
        let now = Instant::now() + TICK_DURATION * 1_000;
        let requested_at = now - TICK_DURATION * u32::from(pending.requested_at);
        let outcome = match pending.treatment {
            Treatment::Done => RenewalOutcome::Renewed { requested_at },
            Treatment::ConditionFailed if rules == Rules::ResumeAfterExpiry => {
                RenewalOutcome::Renewed { requested_at }
            }
            Treatment::ConditionFailed => RenewalOutcome::Expired,
            Treatment::NotProcessed | Treatment::Rejected => RenewalOutcome::Unknown,
        };
        let mut term = held.term::<LEASE_TICKS>(rules, now);
        // The term does not reveal the number, so that the model counts it as well.
        let held = HeldGrant {
            unconfirmed_renewals: held.unconfirmed_renewals + u8::from(term.may_have_expired(now)),
            ..held
        };
        self.held = Some(held);
        match term.after_renewal(outcome, now) {
            RenewalDecision::Continue(renewed) => {
                self.resume::<LEASE_TICKS>(held, pending.requested_at, rules, renewed, now);
            }
            RenewalDecision::ConfirmKey { .. } => self.pending = Some(confirm_key(pending)),
            RenewalDecision::Retry => {}
            RenewalDecision::StepDown(_reason) => self.held = None,
            RenewalDecision::Renew => panic!("a renewal follows a read of the key"),
        }
    }

    /// Applies the answer to a read of the key.
    pub(super) fn key_read<const LEASE_TICKS: u8>(
        &mut self,
        held: HeldGrant,
        pending: PendingRequest,
        renewed: Option<u8>,
        rules: Rules,
    ) {
        let now = Instant::now() + TICK_DURATION * 1_000;
        let ago = |ticks: u8| now - TICK_DURATION * u32::from(ticks);
        let key = match pending.treatment {
            Treatment::Done => KeyState::Unchanged,
            Treatment::ConditionFailed if rules == Rules::ResumeAfterExpiry => KeyState::Unchanged,
            Treatment::ConditionFailed => KeyState::Changed,
            Treatment::NotProcessed | Treatment::Rejected => KeyState::Unknown,
        };
        let term = held.term::<LEASE_TICKS>(rules, now);
        match (term.after_key_read(key, renewed.map(ago), now), renewed) {
            (RenewalDecision::Continue(term), Some(renewed)) => {
                self.resume::<LEASE_TICKS>(held, renewed, rules, term, now);
            }
            (RenewalDecision::Renew, _) if rules == Rules::ResumeWithoutRenewal => {
                self.held = Some(held.renewed(0));
            }
            (RenewalDecision::Renew, _) => self.renews_next = true,
            (RenewalDecision::StepDown(_reason), _) => self.held = None,
            (RenewalDecision::Retry, _) => {}
            (decision, _) => panic!("{decision:?}"),
        }
    }

    /// Applies a term that continues after a renewal sent `renewed` ticks ago.
    fn resume<const LEASE_TICKS: u8>(
        &mut self,
        held: HeldGrant,
        renewed: u8,
        rules: Rules,
        term: LeaderTerm,
        now: Instant,
    ) {
        let held = held.renewed(renewed);
        assert_eq!(term, held.term::<LEASE_TICKS>(rules, now));
        self.held = Some(held);
    }
}

/// The read of the key that follows a renewal; it takes as long as the renewal took.
fn confirm_key(renewal: PendingRequest) -> PendingRequest {
    PendingRequest {
        kind: RequestKind::ReadKey(Some(renewal.requested_at)),
        requested_at: 0,
        processed_in: Some(0),
        answer_in: Some(renewal.requested_at),
        treatment: Treatment::NotProcessed,
        token_age: 0,
    }
}
