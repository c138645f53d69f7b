//! Whether the removal of an entry may result from an unavailable store: entries of healthy back
//! ends can expire while the store is away, and are written again soon after it returns.
//!
//! A failed call alone does not show that the store was away: its connection may have been reset, or
//! the store may refuse one daemon only. The store was in reach if it answered this daemon or a
//! neighbour before and after the failure, with less than [`MAX_STORE_SILENCE`] between answers.
//! Entries expire only after several missed heartbeats, which take longer.

use std::time::{Duration, Instant};

use crate::followers::MAX_STORE_SILENCE;

/// How long after the store's return a removed entry may still be written again. Healthy back ends
/// rewrite their entries within about two seconds of the return; the rest is time for that change
/// to reach this daemon. A back end that is still missing afterwards is gone.
pub const REWRITE_PERIOD: Duration = Duration::from_millis(2_500);

/// How long doubt lasts after the last failed call of a daemon that the store has not answered
/// since, nor a neighbour as far as it knows: the longest delay before a retry, and the time for
/// rewriting.
const PERIOD_WITHOUT_RETURN: Duration = Duration::from_millis(4_500);

/// An outage that a daemon saw itself, as it tells others of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageReport {
    /// Time since the sender's last failed call.
    pub failed_ago: Duration,
    /// For how much longer entries may be written again.
    pub doubt_left: Duration,
}

/// Time in which the store answered calls without a failure.
#[derive(Debug, Clone, Copy)]
struct Contact {
    since: Instant,
    until: Instant,
}

/// Failed calls of this daemon that may have been in one outage.
#[derive(Debug, Clone, Copy)]
struct FailedCalls {
    /// Start of the first call.
    since: Instant,
    /// End of the last call.
    until: Instant,
}

/// Outages that peers reported, taken as one.
#[derive(Debug, Clone, Copy)]
struct ReportedOutage {
    /// Earliest and latest failed call of the reports.
    first_failure: Instant,
    last_failure: Instant,
    /// Until when entries may be written again.
    doubt_until: Instant,
}

/// What this daemon knows of the store's recent outages.
///
/// A peer's report is never passed on, so that daemons cannot keep each other in doubt.
#[derive(Debug, Default)]
pub struct StoreDoubt {
    failed_calls: Option<FailedCalls>,
    /// When the store was last restored from an older copy, which may lack entries.
    restored_at: Option<Instant>,
    /// First answer after the last failure, to this daemon or a neighbour.
    returned_at: Option<Instant>,
    last_contact: Option<Contact>,
    /// Last time in which neighbours reported answers without a longer silence.
    neighbours_contact: Option<Contact>,
    /// Whether the next answer continues the last contact.
    is_in_contact: bool,
    reported_outage: Option<ReportedOutage>,
}

impl StoreDoubt {
    /// Records a failed call of this daemon that began at `started`.
    ///
    /// A call that the store received while it was away may fail long after its return. If
    /// neighbours regained contact during the call, that was the return.
    pub fn failed(&mut self, started: Instant, now: Instant) {
        let earlier = self
            .failed_calls
            .filter(|_calls| self.own_until(now).is_some());
        self.failed_calls = Some(FailedCalls {
            since: earlier.map_or(started, |calls| calls.since),
            until: now,
        });
        let regained = self.neighbours_contact.filter(|contact| {
            let silence = now.saturating_duration_since(contact.until);
            started < contact.since && silence < MAX_STORE_SILENCE
        });
        self.returned_at = regained.map(|contact| contact.since);
        self.is_in_contact = false;
    }

    /// Records an answer to a call of this daemon.
    pub fn answered(&mut self, now: Instant) {
        self.record_return(now);
        let continued = self.last_contact.filter(|contact| {
            let silence = now.saturating_duration_since(contact.until);
            self.is_in_contact || silence < MAX_STORE_SILENCE
        });
        let since = continued.map_or(now, |contact| contact.since);
        self.last_contact = Some(Contact { since, until: now });
        self.is_in_contact = true;
        self.forget_refuted();
    }

    /// Records that the store answered a neighbour `silence` ago.
    pub fn neighbour_was_answered(&mut self, silence: Duration, now: Instant) {
        let Some(answered_at) = now.checked_sub(silence) else {
            return;
        };
        self.record_return(answered_at);
        let continued = self.neighbours_contact.filter(|contact| {
            answered_at.saturating_duration_since(contact.until) < MAX_STORE_SILENCE
        });
        self.neighbours_contact = Some(Contact {
            since: continued.map_or(answered_at, |contact| contact.since),
            until: continued.map_or(answered_at, |contact| contact.until.max(answered_at)),
        });
        self.forget_refuted();
    }

    /// Forgets failures during which the store was in reach. Contact may be lost later, and would not
    /// refute them any more.
    fn forget_refuted(&mut self) {
        let own = self.failed_calls;
        if own.is_some_and(|calls| self.was_in_reach(calls.since, calls.until)) {
            self.failed_calls = None;
            self.returned_at = None;
        }
        let reported = self.reported_outage;
        if reported
            .is_some_and(|outage| self.was_in_reach(outage.first_failure, outage.last_failure))
        {
            self.reported_outage = None;
        }
    }

    fn record_return(&mut self, answered_at: Instant) {
        let is_later = self
            .failed_calls
            .is_some_and(|calls| calls.until < answered_at);
        if is_later && self.returned_at.is_none_or(|known| answered_at < known) {
            self.returned_at = Some(answered_at);
        }
    }

    /// Records that this daemon makes no calls for now, so that it cannot see an outage.
    pub const fn stopped_following(&mut self) {
        self.is_in_contact = false;
    }

    /// Records that the store was restored from an older copy, which may lack entries.
    pub fn restored(&mut self, now: Instant) {
        self.restored_at = Some(now);
    }

    /// Records a peer's report. It is ignored if the store was in reach at the peer's last failure.
    pub fn receive(&mut self, report: OutageReport, now: Instant) {
        let Some(failed_at) = now.checked_sub(report.failed_ago) else {
            return;
        };
        if self.was_in_reach(failed_at, failed_at) {
            return;
        }
        let doubt_until = now + report.doubt_left.min(REWRITE_PERIOD);
        let known = self.reported_outage.filter(|known| {
            let is_recent = is_within(PERIOD_WITHOUT_RETURN, known.last_failure, now);
            is_recent || now < known.doubt_until
        });
        self.reported_outage = Some(ReportedOutage {
            first_failure: known.map_or(failed_at, |known| known.first_failure.min(failed_at)),
            last_failure: known.map_or(failed_at, |known| known.last_failure.max(failed_at)),
            doubt_until: known.map_or(doubt_until, |known| known.doubt_until.max(doubt_until)),
        });
    }

    /// The outage that this daemon saw itself, if removals are still in doubt because of it.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<OutageReport> {
        let until = self.own_until(now)?;
        Some(OutageReport {
            failed_ago: now.saturating_duration_since(self.last_failure()?),
            doubt_left: until.saturating_duration_since(now),
        })
    }

    /// Until when a back end whose entry is removed now may be alive; `None` if the removal is
    /// certain.
    #[must_use]
    pub fn entry_may_return_until(&self, now: Instant) -> Option<Instant> {
        let reported = self.reported_outage.map(|outage| outage.doubt_until);
        self.own_until(now)
            .max(reported.filter(|until| now < *until))
    }

    /// Whether a key that disappears now may have expired because its writer could not renew it.
    #[must_use]
    pub fn was_away_recently(&self, now: Instant) -> bool {
        let last = self.last_failure().max(self.peers_last_failure());
        last.is_some_and(|last| is_within(PERIOD_WITHOUT_RETURN, last, now))
    }

    /// This daemon's last failed call that may have been in an outage, or the last restore of the store.
    #[must_use]
    pub fn last_failure(&self) -> Option<Instant> {
        let failed_at = self.failed_calls.map(|calls| calls.until);
        failed_at.max(self.restored_at)
    }

    /// The latest failed call that a peer reported and that may have been in an outage.
    #[must_use]
    pub fn peers_last_failure(&self) -> Option<Instant> {
        self.reported_outage.map(|outage| outage.last_failure)
    }

    /// Whether the store answered this daemon or neighbours throughout this time.
    fn was_in_reach(&self, from: Instant, to: Instant) -> bool {
        let contacts = [self.last_contact, self.neighbours_contact];
        let mut known = contacts.into_iter().flatten();
        known.any(|contact| contact.since <= from && to <= contact.until)
    }

    fn own_until(&self, now: Instant) -> Option<Instant> {
        let rewritten_after_outage = self.failed_calls.map(|calls| match self.returned_at {
            Some(returned_at) => returned_at + REWRITE_PERIOD,
            None => (calls.until + PERIOD_WITHOUT_RETURN).min(now + REWRITE_PERIOD),
        });
        let rewritten_after_restore = self
            .restored_at
            .map(|restored_at| restored_at + REWRITE_PERIOD);
        let until = rewritten_after_outage.max(rewritten_after_restore)?;
        (now < until).then_some(until)
    }
}

/// Whether less than `period` has passed since `from`.
fn is_within(period: Duration, from: Instant, now: Instant) -> bool {
    now.saturating_duration_since(from) < period
}
