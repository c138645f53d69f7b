//! Adapts how much of a latency target an estimate may use.
//!
//! A request that was admitted as on time but finishes late has taken capacity from one that would
//! have met its target. Each late request reduces the usable share of the target and each request
//! on time increases it slightly, so that about one request per [`IN_TIME_PER_LATE`] is late.

use std::collections::HashMap;
use std::sync::Arc;

/// Requests on time per late request at which the share stays constant.
const IN_TIME_PER_LATE: f64 = 12.0;
/// Reduction of the share per late request.
const REDUCTION_PER_LATE: f64 = 0.02;
/// Initial share.
const INITIAL_SHARE: f64 = 1.0;
/// A request on time increases the share only if its estimate used at least this part of the share;
/// shorter ones say nothing about the limit.
const INFORMATIVE_SHARE: f64 = 0.7;
/// Lower and upper bound of the share.
const SHARE_BOUNDS: (f64, f64) = (0.5, 2.0);

/// Usable share of the latency target by service.
#[derive(Debug, Default)]
pub struct Confidence {
    by_service: HashMap<Arc<str>, f64>,
}

impl Confidence {
    /// Records whether a request met its latency target; `expected_share` is the share of the
    /// target that its estimate used.
    pub fn record_deadline_outcome(
        &mut self,
        service: &Arc<str>,
        expected_share: f64,
        in_time: bool,
    ) {
        let (min, max) = SHARE_BOUNDS;
        let share = self
            .by_service
            .entry(Arc::clone(service))
            .or_insert(INITIAL_SHARE);
        if in_time && expected_share < *share * INFORMATIVE_SHARE {
            return;
        }
        let change = if in_time {
            REDUCTION_PER_LATE / IN_TIME_PER_LATE
        } else {
            -REDUCTION_PER_LATE
        };
        *share = (*share + change).clamp(min, max);
    }

    /// Share of the latency target that an estimate may use.
    #[must_use]
    pub fn share(&self, service: &str) -> f64 {
        self.by_service
            .get(service)
            .copied()
            .unwrap_or(INITIAL_SHARE)
    }
}
