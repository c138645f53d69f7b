//! What back ends announce in their answers: that they drain, or that callers are to back off for a while.
//!
//! The directory tells the same later, and nothing new while the store is away. A back end whose word is in an answer has said
//! it to this daemon, so this daemon knows it at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, Incarnation, TOMBSTONE_RETENTION};

/// Longest time for which requests are held back from a back end. One that asks for more is asked again after this: a single refused request is the price of
/// finding out, and a mistaken figure does not take a back end out of use for good.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// What one answer says of the back end that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// It ends what it has and leaves.
    pub drains: bool,
    /// For how long callers are to back off.
    pub backoff: RequestedBackoff,
}

/// For how long a back end that refused a request asks its caller to back off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// It did not say.
    #[default]
    NotRequested,
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
    BackingOff {
        /// The end of the time that it asked for.
        until: Instant,
    },
    /// Not in this life.
    Draining,
}

impl Availability {
    /// Name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::BackingOff { .. } => "backing_off",
            Self::Draining => "draining",
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
    drains: bool,
    backs_off_until: Option<Instant>,
    last: Instant,
}

impl Announced {
    const fn nothing(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            drains: false,
            backs_off_until: None,
            last: now,
        }
    }

    fn availability(&self, now: Instant) -> Availability {
        if self.drains {
            return Availability::Draining;
        }
        match self.backs_off_until {
            Some(until) if until > now => Availability::BackingOff { until },
            Some(_) | None => Availability::Open,
        }
    }
}

impl Announcements {
    /// Takes what an answer announced. Returns the availability that follows where it is news: the back end drains, or
    /// asks for a time to back off and did not before.
    ///
    /// Within a life draining is final and of several times the latest end holds, so the order of answers does not matter.
    pub fn note(
        &mut self,
        back_end: &BackEnd,
        announcement: Announcement,
        now: Instant,
    ) -> Option<Availability> {
        let backoff_end = match announcement.backoff {
            RequestedBackoff::For(time) => Some(now + time.min(MAX_BACKOFF)),
            RequestedBackoff::NotRequested | RequestedBackoff::Unreadable => None,
        };
        if !announcement.drains && backoff_end.is_none() {
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
        known.drains |= announcement.drains;
        known.backs_off_until = known.backs_off_until.max(backoff_end);
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

    /// Whether this life of the back end drains, by its answers.
    #[must_use]
    pub fn is_draining(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.availability(back_end, now) == Availability::Draining
    }

    /// Whether the time that this life asked for is over and no answer has shown since that it takes requests again.
    #[must_use]
    pub fn is_on_trial(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.by_back_end
            .get(&back_end.id)
            .filter(|known| known.incarnation >= back_end.incarnation)
            .and_then(|known| known.backs_off_until)
            .is_some_and(|until| until <= now)
    }

    /// The back end took a request: where the time that it asked for is over, the trial is too.
    pub fn record_accepted_request(&mut self, back_end: &BackEnd, now: Instant) {
        if self.is_on_trial(back_end, now)
            && let Some(known) = self.by_back_end.get_mut(&back_end.id)
        {
            known.backs_off_until = None;
        }
    }

    /// Back ends that asked their callers to back off, and those that drain.
    #[must_use]
    pub fn counts(&self, now: Instant) -> AnnouncedCounts {
        let mut counts = AnnouncedCounts::default();
        for known in self.by_back_end.values() {
            match known.availability(now) {
                Availability::Open => {}
                Availability::BackingOff { .. } => counts.backing_off += 1,
                Availability::Draining => counts.draining += 1,
            }
        }
        counts
    }

    /// Forgets back ends that the directory does not name, some time after their last word: an entry that lapsed may come back
    /// as it was.
    pub fn forget_absent(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.by_back_end.retain(|id, known| {
            is_present(id) || now.saturating_duration_since(known.last) < TOMBSTONE_RETENTION
        });
    }
}

/// How many back ends announced that they take nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnnouncedCounts {
    /// For a while.
    pub backing_off: usize,
    /// For good.
    pub draining: usize,
}
