//! Whether the removal of an entry may result from an unavailable store: entries of healthy back
//! ends can expire while the store is away, and are written again soon after it returns.

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

/// What this daemon knows of the store's recent outages.
///
/// A peer's report is never passed on, so that daemons cannot keep each other in doubt.
#[derive(Debug, Default)]
pub struct StoreDoubt {
    last_failure: Option<Instant>,
    /// First answer after the last failure, to this daemon or a neighbour.
    returned_at: Option<Instant>,
    last_contact: Option<Contact>,
    /// Last time in which neighbours reported answers without a longer silence.
    neighbours_contact: Option<Contact>,
    /// Whether the next answer continues the last contact.
    is_in_contact: bool,
    /// The latest failure, and end of doubt, of all peers' reports.
    peers_last_failure: Option<Instant>,
    peers_until: Option<Instant>,
}

impl StoreDoubt {
    /// Records a failed call of this daemon that began at `started`.
    ///
    /// A call that the store received while it was away may fail long after its return. If
    /// neighbours regained contact during the call, that was the return.
    pub fn failed(&mut self, started: Instant, now: Instant) {
        self.last_failure = Some(now);
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
        let continued = self.last_contact.filter(|_last| self.is_in_contact);
        let since = continued.map_or(now, |contact| contact.since);
        self.last_contact = Some(Contact { since, until: now });
        self.is_in_contact = true;
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
    }

    fn record_return(&mut self, answered_at: Instant) {
        let is_later = self.last_failure.is_some_and(|last| last < answered_at);
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
        self.last_failure = Some(now);
        self.returned_at = Some(now);
    }

    /// Records a peer's report. It is ignored if the store answered this daemon without a failure
    /// around the peer's last failure: then the store was not away.
    pub fn receive(&mut self, report: OutageReport, now: Instant) {
        let Some(failed_at) = now.checked_sub(report.failed_ago) else {
            return;
        };
        let was_in_contact = self
            .last_contact
            .is_some_and(|contact| contact.since <= failed_at && failed_at <= contact.until);
        if was_in_contact {
            return;
        }
        let until = now + report.doubt_left.min(REWRITE_PERIOD);
        self.peers_last_failure = self.peers_last_failure.max(Some(failed_at));
        self.peers_until = self.peers_until.max(Some(until));
    }

    /// The outage that this daemon saw itself, if removals are still in doubt because of it.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<OutageReport> {
        let until = self.own_until(now)?;
        Some(OutageReport {
            failed_ago: now.saturating_duration_since(self.last_failure?),
            doubt_left: until.saturating_duration_since(now),
        })
    }

    /// Until when a back end whose entry is removed now may be alive; `None` if the removal is
    /// certain.
    #[must_use]
    pub fn entry_may_return_until(&self, now: Instant) -> Option<Instant> {
        let peers = self.peers_until.filter(|until| now < *until);
        self.own_until(now).max(peers)
    }

    /// Whether a key that disappears now may have expired because its writer could not renew it.
    #[must_use]
    pub fn was_away_recently(&self, now: Instant) -> bool {
        let last = self.last_failure.max(self.peers_last_failure);
        last.is_some_and(|last| now.saturating_duration_since(last) < PERIOD_WITHOUT_RETURN)
    }

    /// This daemon's last failed call.
    #[must_use]
    pub const fn last_failure(&self) -> Option<Instant> {
        self.last_failure
    }

    /// The latest failed call that a peer reported.
    #[must_use]
    pub const fn peers_last_failure(&self) -> Option<Instant> {
        self.peers_last_failure
    }

    fn own_until(&self, now: Instant) -> Option<Instant> {
        let last_failure = self.last_failure?;
        let until = match self.returned_at {
            Some(returned_at) => returned_at + REWRITE_PERIOD,
            None => (last_failure + PERIOD_WITHOUT_RETURN).min(now + REWRITE_PERIOD),
        };
        (now < until).then_some(until)
    }
}
