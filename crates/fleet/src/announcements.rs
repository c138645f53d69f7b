//! Announcements in the answers of back ends: that a back end is draining, or that callers should
//! back off for some time.
//!
//! The directory reports the same later, and not at all while the store is unavailable. An
//! announcement in an answer takes effect in the receiving daemon immediately.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, Incarnation, TOMBSTONE_RETENTION};

/// Maximum backoff that is honored. A back end that asks for more gets a request again after this
/// time: the cost is one refused request, and an erroneous value cannot disable a back end
/// permanently.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Announcement in one answer of a back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// The back end is draining: it finishes its running requests and then stops.
    pub drains: bool,
    /// Requested backoff.
    pub backoff: RequestedBackoff,
}

/// Backoff that a back end requests when it refuses a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// The answer does not request a backoff.
    #[default]
    NotRequested,
    /// Back off for this duration.
    For(Duration),
    /// The answer contains a backoff that is not a valid duration.
    Unreadable,
}

/// Whether a back end accepts new requests according to its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// No answer says otherwise.
    Open,
    /// Not before the requested backoff has ended.
    BackingOff {
        /// End of the backoff.
        until: Instant,
    },
    /// No longer in this incarnation.
    Draining,
}

impl Availability {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::BackingOff { .. } => "backing_off",
            Self::Draining => "draining",
        }
    }
}

/// Announcements of all back ends.
#[derive(Debug, Default)]
pub struct Announcements {
    by_back_end: HashMap<Arc<str>, BackEndAnnouncements>,
}

#[derive(Debug)]
struct BackEndAnnouncements {
    incarnation: Incarnation,
    drains: bool,
    backoff_until: Option<Instant>,
    last: Instant,
}

impl BackEndAnnouncements {
    const fn empty(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            drains: false,
            backoff_until: None,
            last: now,
        }
    }

    fn availability(&self, now: Instant) -> Availability {
        if self.drains {
            return Availability::Draining;
        }
        match self.backoff_until {
            Some(until) if until > now => Availability::BackingOff { until },
            Some(_) | None => Availability::Open,
        }
    }
}

impl Announcements {
    /// Records the announcement in an answer. Returns the new availability if it changed in kind:
    /// the back end starts to drain or to back off.
    ///
    /// Within one incarnation draining is final, and the latest end of all requested backoffs
    /// applies, so the order of answers does not matter.
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
        let announced = self
            .by_back_end
            .entry(Arc::clone(&back_end.id))
            .or_insert_with(|| BackEndAnnouncements::empty(back_end.incarnation, now));
        if announced.incarnation > back_end.incarnation {
            return None;
        }
        if announced.incarnation < back_end.incarnation {
            *announced = BackEndAnnouncements::empty(back_end.incarnation, now);
        }
        announced.drains |= announcement.drains;
        announced.backoff_until = announced.backoff_until.max(backoff_end);
        announced.last = now;
        let after = announced.availability(now);
        let is_changed = std::mem::discriminant(&before) != std::mem::discriminant(&after);
        is_changed.then_some(after)
    }

    /// Whether this incarnation of the back end accepts new requests according to its answers.
    #[must_use]
    pub fn availability(&self, back_end: &BackEnd, now: Instant) -> Availability {
        self.by_back_end
            .get(&back_end.id)
            .filter(|announced| announced.incarnation >= back_end.incarnation)
            .map_or(Availability::Open, |announced| announced.availability(now))
    }

    /// Whether this incarnation of the back end is draining according to its answers.
    #[must_use]
    pub fn is_draining(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.availability(back_end, now) == Availability::Draining
    }

    /// Whether the requested backoff is over and the back end has not accepted a request since.
    #[must_use]
    pub fn is_on_trial(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.by_back_end
            .get(&back_end.id)
            .filter(|announced| announced.incarnation >= back_end.incarnation)
            .and_then(|announced| announced.backoff_until)
            .is_some_and(|until| until <= now)
    }

    /// Records that the back end accepted a request, which ends its trial after a backoff.
    pub fn record_accepted_request(&mut self, back_end: &BackEnd, now: Instant) {
        if self.is_on_trial(back_end, now)
            && let Some(announced) = self.by_back_end.get_mut(&back_end.id)
        {
            announced.backoff_until = None;
        }
    }

    /// Number of back ends that are backing off and that are draining.
    #[must_use]
    pub fn counts(&self, now: Instant) -> AnnouncedCounts {
        let mut counts = AnnouncedCounts::default();
        for announced in self.by_back_end.values() {
            match announced.availability(now) {
                Availability::Open => {}
                Availability::BackingOff { .. } => counts.backing_off += 1,
                Availability::Draining => counts.draining += 1,
            }
        }
        counts
    }

    /// Removes back ends that are not in the directory once [`TOMBSTONE_RETENTION`] has passed
    /// since their last announcement: an expired entry may be written again unchanged.
    pub fn forget_absent(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.by_back_end.retain(|id, announced| {
            is_present(id) || now.saturating_duration_since(announced.last) < TOMBSTONE_RETENTION
        });
    }
}

/// Number of back ends that announced that they accept no requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnnouncedCounts {
    /// Back ends that asked callers to back off.
    pub backing_off: usize,
    /// Back ends that are draining.
    pub draining: usize,
}
