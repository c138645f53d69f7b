//! Rate limits that back ends set in their answers for the requests of all daemons together.
//!
//! A back end in need names in its answers how many requests a second it takes. The figure holds for one life, until an answer
//! to a later request no longer names one.

mod record;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, Incarnation, TOMBSTONE_LIFE};

pub use record::{NamedRate, RateRecord};

/// Highest rate that is told apart: no back end takes more requests a second, and a mistaken figure stays a number to count with.
pub const HIGHEST_RATE: f64 = 1e6;

/// Requests a second that a back end takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// So many requests a second, [`HIGHEST_RATE`] at most; none where the figure is no rate.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Self(per_second.min(HIGHEST_RATE)))
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
    pub is_of_run: bool,
}

/// How an answer, or the word of a peer, changed a back end's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// The limit before; none where there was none.
    pub before: Option<RequestRate>,
    /// The limit from now on.
    pub after: Option<RequestRate>,
}

/// The rate limits of all back ends.
#[derive(Debug, Default)]
pub struct RateLimits {
    by_back_end: HashMap<Arc<str>, KnownLimit>,
}

/// Time over which this daemon's own sends are counted.
const SEND_WINDOW: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct KnownLimit {
    incarnation: Incarnation,
    record: RateRecord,
    sends: VecDeque<Instant>,
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
        let known = self.of_life(back_end, now)?;
        let before = known.record.in_force();
        known.record.note(answer, now);
        known.last = now;
        let after = known.record.in_force();
        (before != after).then_some(RateChange { before, after })
    }

    /// The limit of this life of the back end; none where it sets none.
    #[must_use]
    pub fn limit(&self, back_end: &BackEnd) -> Option<RequestRate> {
        self.by_back_end
            .get(&back_end.id)
            .filter(|known| known.incarnation >= back_end.incarnation)
            .and_then(|known| known.record.in_force())
    }

    /// A request leaves for the back end. Returns the requests that left for it within [`SEND_WINDOW`], where it sets a limit.
    pub fn sent(&mut self, back_end: &BackEnd, now: Instant) -> Option<usize> {
        self.limit(back_end)?;
        let known = self.by_back_end.get_mut(&back_end.id)?;
        known
            .sends
            .retain(|sent| now.saturating_duration_since(*sent) < SEND_WINDOW);
        known.sends.push_back(now);
        Some(known.sends.len())
    }

    /// Back ends that set a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let known = self.by_back_end.values();
        known
            .filter(|known| known.record.in_force().is_some())
            .count()
    }

    /// Forgets back ends that the directory does not name, some time after their last word: an entry that lapsed may come back
    /// as it was.
    pub fn forget_gone(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.by_back_end.retain(|id, known| {
            is_present(id) || now.saturating_duration_since(known.last) < TOMBSTONE_LIFE
        });
    }

    /// What is known of this life; none where a later one is known.
    fn of_life(&mut self, back_end: &BackEnd, now: Instant) -> Option<&mut KnownLimit> {
        let incarnation = back_end.incarnation;
        let known = self
            .by_back_end
            .entry(Arc::clone(&back_end.id))
            .or_insert_with(|| KnownLimit::nothing(incarnation, now));
        if known.incarnation < incarnation {
            *known = KnownLimit::nothing(incarnation, now);
        }
        (known.incarnation == incarnation).then_some(known)
    }
}

impl KnownLimit {
    fn nothing(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            record: RateRecord::default(),
            sends: VecDeque::new(),
            last: now,
        }
    }
}
