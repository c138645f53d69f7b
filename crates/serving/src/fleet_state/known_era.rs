//! The newest era of the store that this daemon has learned of.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::revision::Era;
use tokio::sync::watch;

/// For this long after the store itself named an older era, newer eras named by peers are ignored.
/// Each message of such a peer would otherwise trigger a full read.
const REFUTATION_PERIOD: Duration = Duration::from_secs(2);

/// The newest known era, shared by all tasks that must react when the store is restored from a
/// backup.
#[derive(Debug, Default)]
pub struct KnownEra {
    newest: watch::Sender<Era>,
    times: Mutex<EraTimes>,
}

#[derive(Debug, Default)]
struct EraTimes {
    raised_at: Option<Instant>,
    refuted_at: Option<Instant>,
}

impl KnownEra {
    /// The newest known era.
    #[must_use]
    pub fn newest(&self) -> Era {
        *self.newest.borrow()
    }

    /// Subscribes to changes of the newest known era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Era> {
        self.newest.subscribe()
    }

    /// When this daemon learned that the store was restored; `None` if that has not happened since
    /// its first full read.
    #[must_use]
    pub fn raised_at(&self) -> Option<Instant> {
        self.times().raised_at
    }

    /// Records an era named by the store before the first full read, which does not count as a
    /// restore.
    pub(super) fn observe_before_first_read(&self, era: Era) {
        self.newest.send_if_modified(|newest| raise_to(newest, era));
    }

    /// Records an era named by an answer of the store.
    pub(super) fn observe_from_store(&self, era: Era, now: Instant) {
        self.raise(era, "store", now);
    }

    /// Records an era named by a peer, unless the store refuted such a claim recently.
    pub(super) fn observe_from_peer(&self, era: Era, now: Instant) {
        let refuted_at = self.times().refuted_at;
        let is_refuted =
            refuted_at.is_some_and(|at| now.saturating_duration_since(at) < REFUTATION_PERIOD);
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

    /// Lowers the newest era after a read from the store itself, which was in the era `read`. A
    /// peer that named a newer era was wrong.
    pub(super) fn lower_to(&self, read: Era, now: Instant) {
        let claimed = self.newest();
        let is_wrong = self.newest.send_if_modified(|newest| {
            let is_wrong = *newest > read;
            *newest = read.min(*newest);
            is_wrong
        });
        if is_wrong {
            self.times().refuted_at = Some(now);
            tracing::warn!(%claimed, era = %read, "era_not_confirmed");
        }
    }

    fn times(&self) -> MutexGuard<'_, EraTimes> {
        self.times
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Raises `newest` to `era` if that is higher. Returns whether it was.
fn raise_to(newest: &mut Era, era: Era) -> bool {
    let is_raised = era > *newest;
    *newest = era.max(*newest);
    is_raised
}
