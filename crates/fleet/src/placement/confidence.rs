//! How far expected times can be relied on.
//!
//! Whoever was taken to be in time and is late has displaced another that would have been. The share of the target that an
//! expected time may fill shrinks with each of those, and grows a little with each that was in time, so that about one in
//! [`IN_TIME_PER_LATE`] is late. Only those that were expected near the end of that share tell something of it.

use std::collections::HashMap;
use std::sync::Arc;

/// Requests in time for each late one, where the share stays as it is.
const IN_TIME_PER_LATE: f64 = 12.0;
/// Change of the share for one late request.
const STEP: f64 = 0.02;
/// The share to begin with.
const FIRST: f64 = 1.0;
/// Part of the share from which on a request in time tells that the share may grow.
const NEAR_THE_END: f64 = 0.7;
/// Bounds of the share.
const BOUNDS: (f64, f64) = (0.5, 2.0);

/// Shares by service.
#[derive(Debug, Default)]
pub struct Confidence {
    by_service: HashMap<Arc<str>, f64>,
}

impl Confidence {
    /// A request that was expected to need this share of its target was in time, or was not.
    pub fn record_deadline_outcome(&mut self, service: &Arc<str>, expected_share: f64, in_time: bool) {
        let (least, most) = BOUNDS;
        let share = self.by_service.entry(Arc::clone(service)).or_insert(FIRST);
        if in_time && expected_share < *share * NEAR_THE_END {
            return;
        }
        let change = if in_time {
            STEP / IN_TIME_PER_LATE
        } else {
            -STEP
        };
        *share = (*share + change).clamp(least, most);
    }

    /// Share of the target that an expected time may fill.
    #[must_use]
    pub fn share(&self, service: &str) -> f64 {
        self.by_service.get(service).copied().unwrap_or(FIRST)
    }
}
