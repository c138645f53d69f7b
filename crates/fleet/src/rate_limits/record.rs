//! Mergeable record of the rate limit of one incarnation of a back end.

use std::time::Instant;

use super::{AnnouncedRate, RateAnswer, RequestRate};

/// A rate limit that an answer announced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedRate {
    /// The announced rate.
    pub rate: RequestRate,
    /// Send time of the newest request whose answer announced this rate.
    pub sent: Instant,
    /// Time when the last answer that announced any rate was received.
    pub received: Instant,
}

/// Rate limit of one incarnation. Of several answers, the one to the most recently sent request
/// applies.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateRecord {
    /// The newest announced rate.
    pub named: Option<NamedRate>,
    /// Send time of the newest request whose answer announced no rate although one was known.
    pub lifted: Option<Instant>,
}

impl RateRecord {
    /// The limit that applies; `None` if there is none.
    #[must_use]
    pub fn in_force(&self) -> Option<RequestRate> {
        let is_newer = |named: &NamedRate| self.lifted.is_none_or(|lifted| named.sent > lifted);
        self.named.filter(is_newer).map(|named| named.rate)
    }

    /// Records the limit announced in one answer.
    ///
    /// An answer without a rate lifts the limit only if its request was sent after the last answer
    /// with a rate was received: the answer to an earlier request may predate the limit.
    pub(super) fn note(&mut self, answer: RateAnswer, now: Instant) {
        match answer.rate {
            AnnouncedRate::Limited(rate) => self.merge_announced(NamedRate {
                rate,
                sent: answer.sent,
                received: now,
            }),
            AnnouncedRate::Unlimited if answer.request_ran => {
                let is_later = self.named.is_some_and(|named| answer.sent > named.received);
                if is_later && self.in_force().is_some() {
                    self.lifted = self.lifted.max(Some(answer.sent));
                }
            }
            AnnouncedRate::Unlimited | AnnouncedRate::Unreadable => {}
        }
    }

    /// Merges another daemon's record. The operation is commutative, associative and idempotent.
    pub(super) fn merge(&mut self, other: &Self) {
        if let Some(named) = other.named {
            self.merge_announced(named);
        }
        self.lifted = self.lifted.max(other.lifted);
    }

    fn merge_announced(&mut self, other: NamedRate) {
        let Some(known) = &mut self.named else {
            self.named = Some(other);
            return;
        };
        let received = known.received.max(other.received);
        let is_newer = other.sent > known.sent;
        let is_lower = other.sent == known.sent && other.rate < known.rate;
        if is_newer || is_lower {
            *known = other;
        }
        known.received = received;
    }
}
