//! Decides when the leader may act. The leader is the daemon that holds the lease for tasks that
//! exactly one daemon performs for all: orders to engines, usage reports and the number of engines.
//!
//! The module does no I/O and uses the holder's monotonic clock. A holder counts its lease from
//! before the call that granted or renewed it, and stops before the store can let it expire, early
//! enough for a call in flight to arrive. The calls of two holders therefore never overlap, and
//! each call carries the fencing token of its holder.
//!
//! A holder whose lease may have expired sends no calls but tries to recover it for a bounded time,
//! because an unavailable store may keep leases until it is back. It reads its key first: that does
//! not lengthen the lease, so that a holder whose calls are done but not answered does not keep
//! others from leading. If the key was never written since, it renews the lease, a few times at
//! most, and reads the key again. If both succeed, nobody else can have led, and its term resumes.

use std::time::{Duration, Instant};

/// Time after which a call of the leader has arrived or is abandoned.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// A lease is regarded as over this long before the store may let it expire, because the clocks of
/// two machines do not run at exactly the same speed.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(400);
/// Where receivers do not check fencing tokens, a new holder waits this many lease durations before
/// its first call, because a call of the previous holder may be delayed in the network.
const UNFENCED_WAIT_LEASE_DURATIONS: f64 = 1.3;
/// A holder whose lease may have expired steps down after this time. After a longer outage, a new
/// election costs little in comparison.
const MAX_DOUBT: Duration = Duration::from_secs(60);
/// A holder whose lease may have expired steps down after this many renewals without a confirmed
/// result. Each may have lengthened the lease, during which nobody acts.
const MAX_UNCONFIRMED_RENEWALS: u32 = 2;

/// Whether the receivers of a leader's calls reject those of earlier leaders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// Receivers reject a token lower than the highest one they have seen.
    Checked,
    /// Receivers accept any token.
    Ignored,
}

/// A granted lease.
#[derive(Debug, Clone, Copy)]
pub struct Grant {
    /// Fencing token; increases with each holder.
    pub fencing_token: u64,
    /// Duration of the lease after the grant and after each renewal.
    pub life: Duration,
    /// Time when the lease was requested.
    pub requested_at: Instant,
    /// Time when this daemon became the holder.
    pub granted_at: Instant,
    /// Latest time at which this daemon may have sent a call before: its last call, or the start of
    /// its process, because an earlier process on the same machine may have been the leader.
    pub last_call: Instant,
}

/// The store's answer to a renewal of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The lease was renewed.
    Renewed {
        /// Time when the renewal was sent.
        requested_at: Instant,
    },
    /// The lease has expired, or belongs to an earlier era of the store.
    Expired,
    /// There was no answer, or the store rejected the call: the lease may have expired or not, and
    /// may have been renewed or not.
    Unknown,
}

/// The leader's key in the store, according to a linearizable read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// The key was not written since this daemon acquired the leadership, and has its lease.
    Unchanged,
    /// The key is missing, was written again or has another lease.
    Changed,
    /// There was no answer, or the store rejected the call.
    Unknown,
}

/// What the holder does after a renewal or a read of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalDecision {
    /// The term continues in this form.
    Continue(LeaderTerm),
    /// Renew the lease now.
    Renew,
    /// Read the key now, and pass the result and this time to [`LeaderTerm::after_key_read`].
    ConfirmKey {
        /// Time when the successful renewal was sent.
        requested_at: Instant,
    },
    /// Try again later: renew the lease, or, if it may have expired, read the key. The term is
    /// unchanged and may therefore allow no calls.
    Retry,
    /// The leadership is over.
    StepDown(EndReason),
}

/// Why a leadership ends after a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The lease has expired.
    LeaseExpired,
    /// The lease may have expired and could not be recovered.
    NotRecovered,
    /// Another daemon may have led in the meantime.
    KeyChanged,
}

impl EndReason {
    /// Name in log messages.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lapsed",
            Self::NotRecovered => "may_have_lapsed",
            Self::KeyChanged => "key_changed",
        }
    }
}

/// Time span during which one daemon is the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Fencing token of the leader's calls.
    pub fencing_token: u64,
    life: Duration,
    begins: Instant,
    ends: Instant,
    /// Renewals without a confirmed result since the lease may have expired.
    unconfirmed_renewals: u32,
}

impl LeaderTerm {
    /// The term that results from a grant.
    ///
    /// A daemon that was the leader before waits until a lease duration has passed since its last
    /// call. Otherwise, if another daemon was the leader in between, receivers could see calls
    /// that alternate between the two.
    #[must_use]
    pub fn new(grant: &Grant, fencing: Fencing) -> Self {
        let wait = match fencing {
            Fencing::Checked => Duration::ZERO,
            Fencing::Ignored => grant.life.mul_f64(UNFENCED_WAIT_LEASE_DURATIONS),
        };
        let after_own_last_call = grant.last_call + CALL_TIMEOUT + grant.life;
        Self {
            fencing_token: grant.fencing_token,
            life: grant.life,
            begins: (grant.granted_at + wait).max(after_own_last_call),
            ends: end_of(grant.requested_at, grant.life),
            unconfirmed_renewals: 0,
        }
    }

    /// Extends the term after a renewal whose call was sent at `requested_at`.
    #[must_use]
    pub fn renewed(self, requested_at: Instant) -> Self {
        Self {
            ends: end_of(requested_at, self.life),
            unconfirmed_renewals: 0,
            ..self
        }
    }

    /// Decides how to go on after a renewal whose answer arrived, or failed to arrive, at `now`.
    #[must_use]
    pub fn after_renewal(&mut self, outcome: RenewalOutcome, now: Instant) -> RenewalDecision {
        let in_doubt = self.may_have_expired(now);
        match outcome {
            RenewalOutcome::Renewed { requested_at } if in_doubt => {
                self.unconfirmed_renewals += 1;
                RenewalDecision::ConfirmKey { requested_at }
            }
            RenewalOutcome::Renewed { requested_at } => {
                RenewalDecision::Continue(self.renewed(requested_at))
            }
            RenewalOutcome::Expired => RenewalDecision::StepDown(EndReason::LeaseExpired),
            RenewalOutcome::Unknown => {
                self.unconfirmed_renewals += u32::from(in_doubt);
                self.retry_or_step_down(now)
            }
        }
    }

    /// Decides how to go on after the key was read because the lease may have expired: before a
    /// renewal, or after one that was sent at `renewed_at`.
    #[must_use]
    pub fn after_key_read(
        &self,
        key: KeyState,
        renewed_at: Option<Instant>,
        now: Instant,
    ) -> RenewalDecision {
        match (key, renewed_at) {
            (KeyState::Unchanged, Some(requested_at)) => {
                RenewalDecision::Continue(self.renewed(requested_at))
            }
            (KeyState::Unchanged, None) => RenewalDecision::Renew,
            (KeyState::Changed, _) => RenewalDecision::StepDown(EndReason::KeyChanged),
            (KeyState::Unknown, _) => self.retry_or_step_down(now),
        }
    }

    fn retry_or_step_down(&self, now: Instant) -> RenewalDecision {
        let is_over =
            now >= self.ends + MAX_DOUBT || self.unconfirmed_renewals >= MAX_UNCONFIRMED_RENEWALS;
        if is_over {
            RenewalDecision::StepDown(EndReason::NotRecovered)
        } else {
            RenewalDecision::Retry
        }
    }

    /// Whether a call sent now arrives while the lease certainly holds.
    #[must_use]
    pub fn allows_call(&self, now: Instant) -> bool {
        now >= self.begins && now + CALL_TIMEOUT < self.ends
    }

    /// Whether the lease may have expired.
    #[must_use]
    pub fn may_have_expired(&self, now: Instant) -> bool {
        now >= self.ends
    }
}

fn end_of(requested_at: Instant, life: Duration) -> Instant {
    requested_at + life.saturating_sub(SAFETY_MARGIN)
}
