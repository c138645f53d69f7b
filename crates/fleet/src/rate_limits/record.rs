//! What is known of one life's rate limit, in a form that daemons can merge in any order.

use std::time::Instant;

use super::{AnnouncedRate, RateAnswer, RequestRate};

/// A rate that an answer named.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedRate {
    /// The rate.
    pub rate: RequestRate,
    /// When the newest request was sent whose answer named it.
    pub sent: Instant,
    /// When the last answer came that named one.
    pub received: Instant,
}

/// What answers said of one life's limit. The newest statement counts, by when its request was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateRecord {
    /// The newest rate.
    pub named: Option<NamedRate>,
    /// When the newest request was sent whose answer named none though one was known.
    pub lifted: Option<Instant>,
}

impl RateRecord {
    /// The limit that holds; none where there is none.
    #[must_use]
    pub fn in_force(&self) -> Option<RequestRate> {
        let is_newer = |named: &NamedRate| self.lifted.is_none_or(|lifted| named.sent > lifted);
        self.named.filter(is_newer).map(|named| named.rate)
    }

    /// Takes what one answer says.
    ///
    /// An answer that names no rate lifts the limit only if its request was sent after the last answer came that named one:
    /// an earlier one may have been answered before the back end set its limit.
    pub(super) fn note(&mut self, answer: RateAnswer, now: Instant) {
        match answer.rate {
            AnnouncedRate::Limited(rate) => self.merge_named(NamedRate {
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

    /// Takes what another daemon knows. Any order of any records leads to the same.
    pub(super) fn merge(&mut self, other: &Self) {
        if let Some(named) = other.named {
            self.merge_named(named);
        }
        self.lifted = self.lifted.max(other.lifted);
    }

    fn merge_named(&mut self, other: NamedRate) {
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
