//! What back ends announce in their answers: that they leave, or that they want no requests for a while.
//!
//! The directory tells the same later, and nothing new while the store is away. A back end whose word is in an answer has said
//! it to this daemon, so this daemon knows it at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, Incarnation, TOMBSTONE_LIFE};

/// Longest rest that is granted. One that asks for more is asked again after this: a single refused request is the price of
/// finding out, and a mistaken figure does not take a back end out of use for good.
pub const LONGEST_REST: Duration = Duration::from_secs(600);

/// What one answer says of the back end that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// It ends what it has and leaves.
    pub leaves: bool,
    /// For how long it wants no requests.
    pub rest: Rest,
}

/// For how long a back end that refused a request wants no others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Rest {
    /// It did not say.
    #[default]
    Unasked,
    /// For so long.
    For(Duration),
    /// It said something that is no time.
    Unreadable,
}

/// Whether a back end takes new requests, by its own answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// As far as its answers tell.
    Open,
    /// Not until then.
    Resting {
        /// The end of its rest.
        until: Instant,
    },
    /// Not in this life.
    Leaving,
}

impl Availability {
    /// Name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Resting { .. } => "resting",
            Self::Leaving => "leaving",
        }
    }
}

/// What the answers of all back ends announced.
#[derive(Debug, Default)]
pub struct Announcements {
    by_back_end: HashMap<Arc<str>, Announced>,
}

#[derive(Debug)]
struct Announced {
    incarnation: Incarnation,
    leaves: bool,
    rests_until: Option<Instant>,
    last: Instant,
}

impl Announced {
    const fn nothing(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            leaves: false,
            rests_until: None,
            last: now,
        }
    }

    fn availability(&self, now: Instant) -> Availability {
        if self.leaves {
            return Availability::Leaving;
        }
        match self.rests_until {
            Some(until) if until > now => Availability::Resting { until },
            Some(_) | None => Availability::Open,
        }
    }
}

impl Announcements {
    /// Takes what an answer announced. Returns the availability that follows where it is news: the back end leaves, or rests
    /// and did not before.
    ///
    /// Within a life leaving is final and of several rests the latest end holds, so the order of answers does not matter.
    pub fn note(
        &mut self,
        back_end: &BackEnd,
        announcement: Announcement,
        now: Instant,
    ) -> Option<Availability> {
        let rest_end = match announcement.rest {
            Rest::For(time) => Some(now + time.min(LONGEST_REST)),
            Rest::Unasked | Rest::Unreadable => None,
        };
        if !announcement.leaves && rest_end.is_none() {
            return None;
        }
        let before = self.availability(back_end, now);
        let known = self
            .by_back_end
            .entry(Arc::clone(&back_end.id))
            .or_insert_with(|| Announced::nothing(back_end.incarnation, now));
        if known.incarnation > back_end.incarnation {
            return None;
        }
        if known.incarnation < back_end.incarnation {
            *known = Announced::nothing(back_end.incarnation, now);
        }
        known.leaves |= announcement.leaves;
        known.rests_until = known.rests_until.max(rest_end);
        known.last = now;
        let after = known.availability(now);
        let is_news = std::mem::discriminant(&before) != std::mem::discriminant(&after);
        is_news.then_some(after)
    }

    /// Whether this life of the back end takes new requests, by its answers.
    #[must_use]
    pub fn availability(&self, back_end: &BackEnd, now: Instant) -> Availability {
        self.by_back_end
            .get(&back_end.id)
            .filter(|known| known.incarnation >= back_end.incarnation)
            .map_or(Availability::Open, |known| known.availability(now))
    }

    /// Whether this life of the back end leaves, by its answers.
    #[must_use]
    pub fn is_leaving(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.availability(back_end, now) == Availability::Leaving
    }

    /// Whether the rest of this life is over and no answer has shown since that it takes requests again.
    #[must_use]
    pub fn is_on_trial(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.by_back_end
            .get(&back_end.id)
            .filter(|known| known.incarnation >= back_end.incarnation)
            .and_then(|known| known.rests_until)
            .is_some_and(|until| until <= now)
    }

    /// The back end took a request: where its rest is over, the trial is too.
    pub fn took_request(&mut self, back_end: &BackEnd, now: Instant) {
        if self.is_on_trial(back_end, now)
            && let Some(known) = self.by_back_end.get_mut(&back_end.id)
        {
            known.rests_until = None;
        }
    }

    /// Back ends that rest, and those that leave.
    #[must_use]
    pub fn counts(&self, now: Instant) -> AnnouncedCounts {
        let mut counts = AnnouncedCounts::default();
        for known in self.by_back_end.values() {
            match known.availability(now) {
                Availability::Open => {}
                Availability::Resting { .. } => counts.resting += 1,
                Availability::Leaving => counts.leaving += 1,
            }
        }
        counts
    }

    /// Forgets back ends that the directory does not name, some time after their last word: an entry that lapsed may come back
    /// as it was.
    pub fn forget_gone(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.by_back_end.retain(|id, known| {
            is_present(id) || now.saturating_duration_since(known.last) < TOMBSTONE_LIFE
        });
    }
}

/// How many back ends announced that they take nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnnouncedCounts {
    /// For a while.
    pub resting: usize,
    /// For good.
    pub leaving: usize,
}
