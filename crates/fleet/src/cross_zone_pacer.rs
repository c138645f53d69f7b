//! When daemons of other zones are told.
//!
//! Bytes between zones are paid for. A daemon that has nothing to tell is heard there for its position in the store and its time of
//! day only, and nobody acts on these within a second.

use std::time::{Duration, Instant};

/// Time between two digests to other zones that tell nothing of work. Shorter than what a peer told of its work lives, so that
/// a daemon without work still counts as one.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Paces digests to daemons of other zones.
#[derive(Debug, Default)]
pub struct CrossZonePacer {
    last: Option<Instant>,
    /// Whether the last one told of work, which has to be taken back when it ends.
    told_of_work: bool,
}

impl CrossZonePacer {
    /// Whether the digest that is published now goes to other zones too.
    pub fn is_due(&mut self, tells_of_work: bool, now: Instant) -> bool {
        let is_overdue = self
            .last
            .is_none_or(|last| now.saturating_duration_since(last) >= IDLE_INTERVAL);
        let is_due = tells_of_work || self.told_of_work || is_overdue;
        if is_due {
            self.last = Some(now);
            self.told_of_work = tells_of_work;
        }
        is_due
    }
}
