//! How far expected times can be relied on.
//!
//! Whoever was taken to be in time and is late has displaced another that would have been. The share of the target that an
//! expected time may fill shrinks with each of those, and grows a little with each that was in time, so that about one in
//! [`IN_TIME_PER_LATE`] is late.

use std::collections::HashMap;
use std::sync::Arc;

/// Requests in time for each late one, where the share stays as it is.
const IN_TIME_PER_LATE: f64 = 12.0;
/// Change of the share for one late request.
const STEP: f64 = 0.02;
/// Bounds of the share.
const BOUNDS: (f64, f64) = (0.5, 1.0);

/// Shares by service.
#[derive(Debug, Default)]
pub struct Confidence {
    by_service: HashMap<Arc<str>, f64>,
}

impl Confidence {
    /// A request that was expected to be in time was, or was not.
    pub fn was_in_time(&mut self, service: &Arc<str>, in_time: bool) {
        let (least, most) = BOUNDS;
        let share = self.by_service.entry(Arc::clone(service)).or_insert(most);
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
        self.by_service.get(service).copied().unwrap_or(BOUNDS.1)
    }
}
