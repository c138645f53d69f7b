//! Limits how often digests are sent to other zones.
//!
//! Traffic between zones is billed. A digest without any work reports only the daemon's position in
//! the store and its time of day, and no receiver needs these within a second.

use std::time::{Duration, Instant};

/// Interval between digests to other zones that report no work. Shorter than the time for which a
/// report of work is valid, so that a daemon without work still counts as idle.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Decides which digests are sent to daemons of other zones.
#[derive(Debug, Default)]
pub struct CrossZonePacer {
    last: Option<Instant>,
    /// Whether the last digest reported work; it must be retracted when the work ends.
    last_reported_work: bool,
}

impl CrossZonePacer {
    /// Whether the digest that is being published must also be sent to other zones.
    pub fn is_due(&mut self, reports_work: bool, now: Instant) -> bool {
        let is_overdue = self
            .last
            .is_none_or(|last| now.saturating_duration_since(last) >= IDLE_INTERVAL);
        let is_due = reports_work || self.last_reported_work || is_overdue;
        if is_due {
            self.last = Some(now);
            self.last_reported_work = reports_work;
        }
        is_due
    }
}
