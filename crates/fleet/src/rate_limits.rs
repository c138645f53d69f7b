//! Rate limits that back ends announce in their answers for the requests of all daemons together,
//! and this daemon's share of each limit.
//!
//! An overloaded back end announces how many requests per second it accepts. The limit applies to
//! one incarnation, until the answer to a later request no longer announces one. Because it covers
//! the requests of all daemons, the daemons exchange the limits and each computes the same division
//! into shares.

mod record;
mod shares;
mod token_bucket;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use crate::directory::{BackEnd, Incarnation, TOMBSTONE_RETENTION};

pub use record::{NamedRate, RateRecord};
pub use shares::{MIN_REQUESTS_PER_SECOND, Members, MembersTrust, Share, SharedBackEnd};
pub use token_bucket::TokenBucket;

/// Upper bound of a rate limit, to which higher ones are clamped. No back end accepts more, and an
/// erroneous value stays in a range that is safe to calculate with.
pub const MAX_REQUESTS_PER_SECOND: f64 = 1e6;

/// Requests per second that a back end accepts from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate, clamped to [`MAX_REQUESTS_PER_SECOND`]; `None` if the value is negative or
    /// not finite.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Self(per_second.min(MAX_REQUESTS_PER_SECOND)))
    }

    /// Requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// Rate limit announced in one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AnnouncedRate {
    /// The answer announces no limit.
    #[default]
    Unlimited,
    /// The announced limit.
    Limited(RequestRate),
    /// The answer contains a limit that is not a valid rate.
    Unreadable,
}

/// The parts of an answer that are relevant to the rate limit of its back end.
#[derive(Debug, Clone, Copy)]
pub struct RateAnswer {
    /// Announced limit.
    pub rate: AnnouncedRate,
    /// Time when the request was sent.
    pub sent: Instant,
    /// Whether the request ran. Refusals and auxiliary calls may omit the limit although it
    /// applies.
    pub request_ran: bool,
}

/// Change of a back end's limit because of an answer or of a peer's record.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// The previous limit; `None` if there was none.
    pub before: Option<RequestRate>,
    /// The new limit; `None` if it was lifted.
    pub after: Option<RequestRate>,
}

/// Result of merging a peer's record.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateMerge {
    /// The resulting change; `None` if the limit stayed the same.
    pub change: Option<RateChange>,
    /// Whether this daemon knows something that the peer's record lacks.
    pub peer_is_behind: bool,
}

/// Whether the rate limit of a back end allows this daemon to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// Allowed: there is no limit, or a token is available.
    Now,
    /// Not before this time, when the next token becomes available.
    At(Instant),
    /// This daemon has no share of the limit; other daemons have.
    None,
}

/// Rate limits of all back ends.
#[derive(Debug, Default)]
pub struct RateLimits {
    members: Arc<Members>,
    trust: MembersTrust,
    by_back_end: HashMap<Arc<str>, KnownLimit>,
}

#[derive(Debug)]
struct KnownLimit {
    incarnation: Incarnation,
    zone: Arc<str>,
    record: RateRecord,
    /// Tokens of this daemon's share.
    bucket: TokenBucket,
    last_update: Instant,
}

impl RateLimits {
    /// Records the limit announced in an answer. Returns the change if the limit changed.
    pub fn note(
        &mut self,
        back_end: &BackEnd,
        answer: RateAnswer,
        now: Instant,
    ) -> Option<RateChange> {
        let announces_rate = matches!(answer.rate, AnnouncedRate::Limited(_));
        if !announces_rate && !self.by_back_end.contains_key(&back_end.id) {
            return None;
        }
        self.change(back_end, back_end.incarnation, now, |record| {
            record.note(answer, now);
        })
    }

    /// Merges a peer's record of the given incarnation.
    pub fn merge(
        &mut self,
        back_end: &BackEnd,
        incarnation: Incarnation,
        theirs: &RateRecord,
        now: Instant,
    ) -> RateMerge {
        let change = self.change(back_end, incarnation, now, |record| record.merge(theirs));
        let known = self.by_back_end.get(&back_end.id);
        let peer_is_behind = known.is_some_and(|known| {
            known.incarnation > incarnation || known.record.in_force() != theirs.in_force()
        });
        RateMerge {
            change,
            peer_is_behind,
        }
    }

    /// The record of a back end, to be sent to peers; `None` if nothing is known.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<(Incarnation, RateRecord)> {
        let known = self.by_back_end.get(id)?;
        Some((known.incarnation, known.record))
    }

    /// Ids of the back ends with a limit, sorted.
    #[must_use]
    pub fn limited(&self) -> Vec<Arc<str>> {
        let known = self.by_back_end.iter();
        let limited = known.filter(|(_id, known)| known.record.in_force().is_some());
        let mut ids: Vec<Arc<str>> = limited.map(|(id, _known)| Arc::clone(id)).collect();
        ids.sort_unstable();
        ids
    }

    /// Limit of this incarnation of the back end; `None` if there is none.
    #[must_use]
    pub fn limit(&self, back_end: &BackEnd) -> Option<RequestRate> {
        self.known(back_end)?.record.in_force()
    }

    /// Whether this daemon may send a request to the back end now.
    #[must_use]
    pub fn allowance(&self, back_end: &BackEnd, now: Instant) -> Allowance {
        let known = self.known(back_end);
        let Some(limited) = known.filter(|known| known.record.in_force().is_some()) else {
            return Allowance::Now;
        };
        match limited.bucket.next(now) {
            Some(next) if next <= now => Allowance::Now,
            Some(next) => Allowance::At(next),
            None => Allowance::None,
        }
    }

    /// Takes a token for a request that is about to be sent. Returns false if the request must not
    /// be sent.
    pub fn take(&mut self, back_end: &BackEnd, now: Instant) -> bool {
        let known = self
            .by_back_end
            .get_mut(&back_end.id)
            .filter(|known| known.incarnation >= back_end.incarnation)
            .filter(|known| known.record.in_force().is_some());
        known.is_none_or(|limited| limited.bucket.take(now))
    }

    /// Sum of this daemon's shares, in requests per second, over those of the back ends that have a
    /// limit.
    #[must_use]
    pub fn shares(&self, back_ends: &[Arc<BackEnd>]) -> f64 {
        let known = back_ends.iter().filter_map(|back_end| self.known(back_end));
        let limited = known.filter(|known| known.record.in_force().is_some());
        limited.map(|known| known.bucket.per_second()).sum()
    }

    /// Sets the known members of the fleet and whether that view is reliable.
    pub fn set_members(&mut self, members: &Arc<Members>, trust: MembersTrust, now: Instant) {
        if Arc::ptr_eq(&self.members, members) && self.trust == trust {
            return;
        }
        self.members = Arc::clone(members);
        self.trust = trust;
        for (id, known) in &mut self.by_back_end {
            known.update_share(id, &self.members, self.trust, now);
        }
    }

    /// Removes back ends that are not in the directory once [`TOMBSTONE_RETENTION`] has passed
    /// since the last information about them: an expired entry may be written again unchanged.
    pub fn forget_absent(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.by_back_end.retain(|id, known| {
            is_present(id) || now.saturating_duration_since(known.last_update) < TOMBSTONE_RETENTION
        });
    }

    fn known(&self, back_end: &BackEnd) -> Option<&KnownLimit> {
        let known = self.by_back_end.get(&back_end.id);
        known.filter(|known| known.incarnation >= back_end.incarnation)
    }

    /// Changes the record of one incarnation unless a later one is known. Returns the change of the
    /// limit, if any.
    fn change(
        &mut self,
        back_end: &BackEnd,
        incarnation: Incarnation,
        now: Instant,
        change: impl FnOnce(&mut RateRecord),
    ) -> Option<RateChange> {
        let known = self
            .by_back_end
            .entry(Arc::clone(&back_end.id))
            .or_insert_with(|| KnownLimit::empty_for(back_end, incarnation, now));
        if known.incarnation < incarnation {
            *known = KnownLimit::empty_for(back_end, incarnation, now);
        }
        if known.incarnation > incarnation {
            return None;
        }
        let before = known.record.in_force();
        change(&mut known.record);
        known.last_update = now;
        let after = known.record.in_force();
        if before == after {
            return None;
        }
        known.update_share(&back_end.id, &self.members, self.trust, now);
        Some(RateChange { before, after })
    }
}

impl KnownLimit {
    fn empty_for(back_end: &BackEnd, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            zone: Arc::clone(&back_end.zone),
            record: RateRecord::default(),
            bucket: TokenBucket::empty(now),
            last_update: now,
        }
    }

    /// Recomputes this daemon's share. A new share starts without tokens, because its previous
    /// holder may just have used its own.
    fn update_share(&mut self, id: &str, members: &Members, trust: MembersTrust, now: Instant) {
        let share = self.record.in_force().map_or(Share::NONE, |rate| {
            let back_end = SharedBackEnd {
                id,
                zone: &self.zone,
                rate,
            };
            members.own_share(back_end, trust)
        });
        self.bucket.set(share.per_second, share.burst, now);
    }
}
