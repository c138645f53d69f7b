//! What requests found out about back ends.
//!
//! The directory may name a crashed engine as ready for seconds. A back end that cannot be reached, keeps
//! silent or breaks off again and again is ejected; a health check brings it back, later each time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before the first health check of an ejected back end.
pub const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest pause between two health checks.
pub const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// A back end that did well for this long begins anew.
const FORGIVEN_AFTER: Duration = Duration::from_secs(15);
/// A back end is checked for hints of peers no more often than this.
const HINT_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest result in the failure rate.
const NEWEST_WEIGHT: f64 = 0.1;
/// Cost of a back end that fails always, as a multiple of one that never does.
const FAILURE_COST: f64 = 12.0;

/// How a request at a back end ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Success,
    /// No connection.
    Unreachable,
    /// No answer in the time it should take.
    Silent,
    /// The connection broke, or the answer was none.
    Broken,
    /// An answer that tells of a failure.
    Error,
}

impl Outcome {
    /// Failures in a row that eject a back end; none for failures that never do.
    const fn ejects_after(self) -> Option<u32> {
        match self {
            Self::Success | Self::Error => None,
            Self::Unreachable => Some(1),
            Self::Silent => Some(2),
            Self::Broken => Some(3),
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    failures_in_a_row: u32,
    ejected: bool,
    ejections: u32,
    last_failure: Option<Instant>,
    last_hint: Option<Instant>,
    failure_rate: f64,
}

/// Health of all back ends, by identity.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<Arc<str>, Record>,
}

impl Health {
    /// Takes a result. Returns the pause before a health check where it ejects the back end.
    pub fn record(&mut self, id: &Arc<str>, outcome: Outcome, now: Instant) -> Option<Duration> {
        let record = self.records.entry(Arc::clone(id)).or_default();
        let failed = outcome != Outcome::Success;
        let result = if failed { 1.0 } else { 0.0 };
        record.failure_rate += NEWEST_WEIGHT * (result - record.failure_rate);
        if !failed {
            record.failures_in_a_row = 0;
            return None;
        }
        record.forgive(now);
        record.last_failure = Some(now);
        let limit = outcome.ejects_after()?;
        record.failures_in_a_row += 1;
        if record.ejected || record.failures_in_a_row < limit {
            return None;
        }
        record.ejected = true;
        Some(record.next_pause())
    }

    /// A health check of an ejected back end failed. Returns the pause before the next.
    pub fn check_failed(&mut self, id: &str) -> Option<Duration> {
        let record = self.records.get_mut(id)?;
        Some(record.next_pause())
    }

    /// An ejected back end is well again.
    pub fn reinstate(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.ejected = false;
            record.failures_in_a_row = 0;
        }
    }

    /// A peer has ejected this back end. Returns whether it should be checked here too: not if it is ejected
    /// already, or was checked for such a hint a moment ago.
    pub fn take_hint(&mut self, id: &Arc<str>, now: Instant) -> bool {
        let record = self.records.entry(Arc::clone(id)).or_default();
        let is_fresh = record
            .last_hint
            .is_some_and(|last| now.saturating_duration_since(last) < HINT_PAUSE);
        if record.ejected || is_fresh {
            return false;
        }
        record.last_hint = Some(now);
        true
    }

    /// Back ends that are ejected, for telling peers.
    #[must_use]
    pub fn ejected(&self) -> Vec<Arc<str>> {
        let ejected = self.records.iter().filter(|(_id, record)| record.ejected);
        ejected.map(|(id, _record)| Arc::clone(id)).collect()
    }

    /// Whether the back end gets no requests.
    #[must_use]
    pub fn is_ejected(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| record.ejected)
    }

    /// What failures multiply the cost of a back end by; 1 for one that never fails.
    #[must_use]
    pub fn cost_factor(&self, id: &str) -> f64 {
        let rate = self
            .records
            .get(id)
            .map_or(0.0, |record| record.failure_rate);
        1.0 + FAILURE_COST * rate * rate
    }

    /// Forgets back ends for which `keep` is false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|id, _record| keep(id));
    }
}

impl Record {
    fn forgive(&mut self, now: Instant) {
        let long_ago = self
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) > FORGIVEN_AFTER);
        if long_ago {
            self.ejections = 0;
        }
    }

    fn next_pause(&mut self) -> Duration {
        let doublings = self.ejections.min(8);
        self.ejections += 1;
        FIRST_EJECTION
            .saturating_mul(1 << doublings)
            .min(LONGEST_EJECTION)
    }
}
