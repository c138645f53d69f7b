//! Rate limits that back ends set in their answers for the requests of all daemons together, and this daemon's share of each.
//!
//! A back end in need names in its answers how many requests a second it takes. The figure holds for one life, until an answer
//! to a later request no longer names one. It belongs to the back end, so that no daemon can keep it alone: daemons exchange
//! it, and work out alike who may send how much.

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

/// Highest rate; a higher one counts as this. No back end takes more requests a second, and a mistaken figure stays a number to count with.
pub const MAX_REQUESTS_PER_SECOND: f64 = 1e6;

/// Requests a second that a back end takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// So many requests a second, [`MAX_REQUESTS_PER_SECOND`] at most; none where the figure is no rate.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Self(per_second.min(MAX_REQUESTS_PER_SECOND)))
    }

    /// Requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// What one answer says of its back end's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AnnouncedRate {
    /// Nothing: it sets none.
    #[default]
    Unlimited,
    /// It takes so many.
    Limited(RequestRate),
    /// Something that is no rate.
    Unreadable,
}

/// An answer, as far as it matters for its back end's rate limit.
#[derive(Debug, Clone, Copy)]
pub struct RateAnswer {
    /// What it says.
    pub rate: AnnouncedRate,
    /// When the request that it answers was sent.
    pub sent: Instant,
    /// Whether it answers a request that ran. Refusals and small calls may leave the limit out while it holds.
    pub request_ran: bool,
}

/// How an answer, or what a peer knows, changed a back end's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// The limit before; none where there was none.
    pub before: Option<RequestRate>,
    /// The limit from now on.
    pub after: Option<RequestRate>,
}

/// What came of merging what a peer knows.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateMerge {
    /// The change here; none where the limit is the same as before.
    pub change: Option<RateChange>,
    /// Whether the peer lacks something that is known here.
    pub peer_is_behind: bool,
}

/// Whether this daemon may send a request to a back end, as far as the back end's rate limit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// It may: there is no limit, or a token is there.
    Now,
    /// Its next token comes then.
    At(Instant),
    /// It has no share of the limit; other daemons have.
    None,
}

/// The rate limits of all back ends.
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
    /// This daemon's share.
    bucket: TokenBucket,
    last: Instant,
}

impl RateLimits {
    /// Takes what an answer says. Returns the change where the limit is another than before.
    pub fn note(
        &mut self,
        back_end: &BackEnd,
        answer: RateAnswer,
        now: Instant,
    ) -> Option<RateChange> {
        let names_one = matches!(answer.rate, AnnouncedRate::Limited(_));
        if !names_one && !self.by_back_end.contains_key(&back_end.id) {
            return None;
        }
        self.change(back_end, back_end.incarnation, now, |record| {
            record.note(answer, now);
        })
    }

    /// Takes what a peer knows of a life of the back end.
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
        RateMerge { change, peer_is_behind }
    }

    /// What is known of a back end, for telling peers; none where nothing is.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<(Incarnation, RateRecord)> {
        let known = self.by_back_end.get(id)?;
        Some((known.incarnation, known.record))
    }

    /// Back ends that set a limit, in the order of their identities.
    #[must_use]
    pub fn limited(&self) -> Vec<Arc<str>> {
        let known = self.by_back_end.iter();
        let limited = known.filter(|(_id, known)| known.record.in_force().is_some());
        let mut ids: Vec<Arc<str>> = limited.map(|(id, _known)| Arc::clone(id)).collect();
        ids.sort_unstable();
        ids
    }

    /// The limit of this life of the back end; none where it sets none.
    #[must_use]
    pub fn limit(&self, back_end: &BackEnd) -> Option<RequestRate> {
        self.known(back_end)?.record.in_force()
    }

    /// Whether this daemon may send the back end a request now.
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

    /// A request is to leave for the back end. Returns false where it must not.
    pub fn take(&mut self, back_end: &BackEnd, now: Instant) -> bool {
        let known = self
            .by_back_end
            .get_mut(&back_end.id)
            .filter(|known| known.incarnation >= back_end.incarnation)
            .filter(|known| known.record.in_force().is_some());
        known.is_none_or(|limited| limited.bucket.take(now))
    }

    /// Requests a second that this daemon may send to these back ends together, as far as they set limits.
    #[must_use]
    pub fn shares(&self, back_ends: &[Arc<BackEnd>]) -> f64 {
        let known = back_ends.iter().filter_map(|back_end| self.known(back_end));
        let limited = known.filter(|known| known.record.in_force().is_some());
        limited.map(|known| known.bucket.per_second()).sum()
    }

    /// Sets the daemons that there are, and whether that view can be relied on.
    pub fn set_members(&mut self, members: &Arc<Members>, trust: MembersTrust, now: Instant) {
        if Arc::ptr_eq(&self.members, members) && self.trust == trust {
            return;
        }
        self.members = Arc::clone(members);
        self.trust = trust;
        for (id, known) in &mut self.by_back_end {
            known.share_out(id, &self.members, self.trust, now);
        }
    }

    /// Forgets back ends that the directory does not name, some time after the last news of them: an entry that lapsed may come back
    /// as it was.
    pub fn forget_absent(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.by_back_end.retain(|id, known| {
            is_present(id) || now.saturating_duration_since(known.last) < TOMBSTONE_RETENTION
        });
    }

    fn known(&self, back_end: &BackEnd) -> Option<&KnownLimit> {
        let known = self.by_back_end.get(&back_end.id);
        known.filter(|known| known.incarnation >= back_end.incarnation)
    }

    /// Changes what is known of one life, unless a later one is known. Returns how that changed its limit.
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
            .or_insert_with(|| KnownLimit::nothing(back_end, incarnation, now));
        if known.incarnation < incarnation {
            *known = KnownLimit::nothing(back_end, incarnation, now);
        }
        if known.incarnation > incarnation {
            return None;
        }
        let before = known.record.in_force();
        change(&mut known.record);
        known.last = now;
        let after = known.record.in_force();
        if before == after {
            return None;
        }
        known.share_out(&back_end.id, &self.members, self.trust, now);
        Some(RateChange { before, after })
    }
}

impl KnownLimit {
    fn nothing(back_end: &BackEnd, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            zone: Arc::clone(&back_end.zone),
            record: RateRecord::default(),
            bucket: TokenBucket::empty(now),
            last: now,
        }
    }

    /// Works out this daemon's share anew. A share that begins, begins without tokens: whoever held it before may just have used its own.
    fn share_out(&mut self, id: &str, members: &Members, trust: MembersTrust, now: Instant) {
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
