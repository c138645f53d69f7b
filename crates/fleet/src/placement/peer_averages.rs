//! Average load that peers put on each back end.
//!
//! News of requests that end before the next news arrives says little about the next request: all
//! daemons that hold the same news would send theirs to the same back end. Their average over a few
//! reports does not change with each of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time constant of the averages: a few intervals between reports.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Time for which a report of a peer stands until its next one replaces it, in milliseconds.
const REPORT_INTERVAL_MS: f64 = 250.0;

#[derive(Debug, Clone, Copy)]
struct Average {
    value: f64,
    average: f64,
    at: Instant,
}

impl Average {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-age / AVERAGING_TIME.as_secs_f64()).exp();
        self.value + (self.average - self.value) * kept
    }
}

/// Average requests of peers by back end.
#[derive(Debug, Default)]
pub(super) struct PeerAverages {
    by_back_end: HashMap<Arc<str>, Average>,
}

impl PeerAverages {
    /// Records that peers have `requests` at a back end from now on.
    pub(super) fn record(&mut self, id: &Arc<str>, requests: f64, now: Instant) {
        let known = self.by_back_end.get(id);
        let average = known.map_or(requests, |known| known.at(now));
        let average = Average {
            value: requests,
            average,
            at: now,
        };
        self.by_back_end.insert(Arc::clone(id), average);
    }

    /// Requests of peers that one that lasts `run_ms` is likely to find. The longer requests last,
    /// the more of those in the newest report are still there.
    pub(super) fn expected(&self, id: &str, run_ms: f64, now: Instant) -> f64 {
        self.by_back_end.get(id).map_or(0.0, |known| {
            let newest_share = run_ms / (run_ms + REPORT_INTERVAL_MS);
            let average = known.at(now);
            average + (known.value - average) * newest_share
        })
    }

    /// Forgets back ends at which peers have had no requests for a while.
    pub(super) fn expire(&mut self, now: Instant) {
        const NEGLIGIBLE: f64 = 0.01;
        self.by_back_end
            .retain(|_id, known| known.value > 0.0 || known.at(now) > NEGLIGIBLE);
    }
}
