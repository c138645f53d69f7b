//! When the leader may act: the daemon that holds the lease for everything that one daemon does for all (orders to
//! engines, usage reports, the number of engines).
//!
//! Pure and driven by the holder's own steady clock. A holder counts its lease from before the call that granted or renewed
//! it, and stops before the store can let it lapse, with time left for a call on its way to arrive. So the calls of two
//! holders never overlap, and each carries the fencing token of its holder.

use std::time::{Duration, Instant};

/// Time within which a call of the leader arrives or is abandoned.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// A lease counts as over this long before the store can end it: clocks of two machines do not run at quite the same speed.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(400);
/// Where receivers do not check fencing tokens, a new holder waits this many lease times before its first call: a call of
/// the holder before it may have been held up on its way.
const UNFENCED_WAIT_LEASES: f64 = 1.3;

/// How the receivers of a leader's calls treat those of former leaders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// They refuse a token lower than one that they have seen.
    Checked,
    /// They take any.
    Ignored,
}

/// A lease as it was granted.
#[derive(Debug, Clone, Copy)]
pub struct Grant {
    /// Rises with each holder.
    pub fencing_token: u64,
    /// Time the lease lives after each renewal.
    pub life: Duration,
    /// When it was asked for.
    pub asked: Instant,
    /// When this daemon became the holder.
    pub answered: Instant,
    /// When a call of this daemon may last have left before: its last call, or the start of its process, before which
    /// another process of the same machine may have led.
    pub last_call: Instant,
}

/// One daemon's time as the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Fencing token of its calls.
    pub fencing_token: u64,
    life: Duration,
    begins: Instant,
    ends: Instant,
}

impl LeaderTerm {
    /// The time that a grant brings.
    ///
    /// A daemon that led before lets a whole lease time pass since its last call: had another led in between, the two would
    /// seem to take turns.
    #[must_use]
    pub fn new(grant: &Grant, fencing: Fencing) -> Self {
        let wait = match fencing {
            Fencing::Checked => Duration::ZERO,
            Fencing::Ignored => grant.life.mul_f64(UNFENCED_WAIT_LEASES),
        };
        let not_in_turn = grant.last_call + CALL_TIMEOUT + grant.life;
        Self {
            fencing_token: grant.fencing_token,
            life: grant.life,
            begins: (grant.answered + wait).max(not_in_turn),
            ends: end_of(grant.asked, grant.life),
        }
    }

    /// The lease was renewed by a call that left at `asked`.
    #[must_use]
    pub fn renewed(self, asked: Instant) -> Self {
        Self {
            ends: end_of(asked, self.life),
            ..self
        }
    }

    /// Whether a call that leaves now arrives while the lease surely holds.
    #[must_use]
    pub fn allows_call(&self, now: Instant) -> bool {
        now >= self.begins && now + CALL_TIMEOUT < self.ends
    }

    /// Whether the lease may be over.
    #[must_use]
    pub fn may_have_expired(&self, now: Instant) -> bool {
        now >= self.ends
    }
}

fn end_of(asked: Instant, life: Duration) -> Instant {
    asked + life.saturating_sub(SAFETY_MARGIN)
}
