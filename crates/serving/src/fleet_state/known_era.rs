//! The newest era of the store that this daemon has learned of.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::revision::Era;
use tokio::sync::watch;

/// For this long after the store itself named an older era, no peer is believed that names a newer one: it would make this
/// daemon read everything at each of its messages.
const REFUTED_FOR: Duration = Duration::from_secs(2);

/// Shared by all who have to act when the store has come back from an older copy.
#[derive(Debug, Default)]
pub struct KnownEra {
    newest: watch::Sender<Era>,
    times: Mutex<Times>,
}

#[derive(Debug, Default)]
struct Times {
    raised_at: Option<Instant>,
    refuted: Option<Instant>,
}

impl KnownEra {
    /// The newest era.
    #[must_use]
    pub fn newest(&self) -> Era {
        *self.newest.borrow()
    }

    /// Changes with the newest era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Era> {
        self.newest.subscribe()
    }

    /// When this daemon learned that the store had come back; none where it has not since this daemon knows what it holds.
    #[must_use]
    pub fn raised_at(&self) -> Option<Instant> {
        self.times().raised_at
    }

    /// An answer of the store named an era, before this daemon has read anything: it is the one that it meets first.
    pub(super) fn meet(&self, era: Era) {
        self.newest.send_if_modified(|newest| raise_to(newest, era));
    }

    /// An answer of the store named an era.
    pub(super) fn note_of_store(&self, era: Era, now: Instant) {
        self.raise(era, "store", now);
    }

    /// A peer named an era.
    pub(super) fn note_of_peer(&self, era: Era, now: Instant) {
        let refuted = self.times().refuted;
        let is_refuted = refuted.is_some_and(|at| now.saturating_duration_since(at) < REFUTED_FOR);
        if !is_refuted {
            self.raise(era, "peer", now);
        }
    }

    fn raise(&self, era: Era, source: &'static str, now: Instant) {
        let before = self.newest();
        let has_risen = self.newest.send_if_modified(|newest| raise_to(newest, era));
        if has_risen {
            self.times().raised_at = Some(now);
            tracing::warn!(%before, %era, source, "store_restored");
        }
    }

    /// The store was read just now and is of the era `read`: a peer that named a newer one was wrong.
    pub(super) fn refute_newer_than(&self, read: Era, now: Instant) {
        let claimed = self.newest();
        let is_wrong = self.newest.send_if_modified(|newest| {
            let is_wrong = *newest > read;
            *newest = read.min(*newest);
            is_wrong
        });
        if is_wrong {
            self.times().refuted = Some(now);
            tracing::warn!(%claimed, era = %read, "era_not_confirmed");
        }
    }

    fn times(&self) -> MutexGuard<'_, Times> {
        self.times
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns whether that was higher.
fn raise_to(newest: &mut Era, era: Era) -> bool {
    let rises = era > *newest;
    *newest = era.max(*newest);
    rises
}
