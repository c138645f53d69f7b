//! Average load that peers put on each back end.
//!
//! News of requests that end before the next news arrives says little about the next request: all
//! daemons that hold the same news would send theirs to the same back end. Their average over a few
//! reports does not change with each of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time constant of the averages: more than the interval between reports, less than a queue lasts.
const AVERAGING_TIME: Duration = Duration::from_millis(400);
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
    /// Averages the requests at a back end from now on; `requests` are there at present.
    pub(super) fn track(&mut self, id: &Arc<str>, requests: f64, now: Instant) {
        self.by_back_end
            .entry(Arc::clone(id))
            .or_insert_with(|| Average {
                value: requests,
                average: requests,
                at: now,
            });
    }

    /// Records that peers have `requests` at a back end from now on, if it is tracked.
    pub(super) fn record(&mut self, id: &str, requests: f64, now: Instant) {
        if let Some(known) = self.by_back_end.get_mut(id) {
            *known = Average {
                value: requests,
                average: known.at(now),
                at: now,
            };
        }
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

    /// Forgets the back ends for which `keep` returns false.
    pub(super) fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_back_end.retain(|id, _known| keep(id));
    }
}
