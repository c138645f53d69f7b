//! Time of day that the majority of daemons agree on.
//!
//! The time of day of a machine may be off by seconds and may jump. Each daemon gossips its own;
//! the median of recent samples, advanced by the monotonic clock, is correct as long as the clocks
//! of most sampled machines are.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age beyond which samples are ignored; each daemon gossips several times within it.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(5);

/// Time of day reported by one daemon.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Reported time of day, since the Unix epoch.
    reported: Duration,
    received: Instant,
}

impl Sample {
    /// The reported time of day, advanced to `now`.
    fn now(&self, now: Instant) -> Duration {
        self.reported + now.saturating_duration_since(self.received)
    }
}

/// Collects the reported times of day and computes their median.
#[derive(Debug, Default)]
pub struct FleetTime {
    samples: HashMap<u64, Sample>,
}

impl FleetTime {
    /// Records that the daemon `source` reported the time of day `reported`, since the Unix epoch.
    pub fn observe(&mut self, source: u64, reported: Duration, now: Instant) {
        self.samples.insert(
            source,
            Sample {
                reported,
                received: now,
            },
        );
    }

    /// The median time of day since the Unix epoch. The daemon's own time of day `own` is one of
    /// the samples.
    #[must_use]
    pub fn now(&self, own: Duration, now: Instant) -> Duration {
        let mut reported: Vec<Duration> = self
            .samples
            .values()
            .filter(|sample| now.saturating_duration_since(sample.received) < MAX_SAMPLE_AGE)
            .map(|sample| sample.now(now))
            .collect();
        reported.push(own);
        reported.sort_unstable();
        reported[reported.len() / 2]
    }

    /// Removes samples that are too old to count.
    pub fn forget_old(&mut self, now: Instant) {
        self.samples.retain(|_source, sample| {
            now.saturating_duration_since(sample.received) < MAX_SAMPLE_AGE
        });
    }
}
