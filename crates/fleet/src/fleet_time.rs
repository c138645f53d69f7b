//! The time of day that most daemons agree on.
//!
//! A machine's time of day may be seconds off, and may jump. Each daemon gossips its own; the median of the
//! samples of the last seconds, advanced by the steady clock, is right as long as most of the sampled machines are.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Older samples do not count: a daemon gossips several times in this time.
const SAMPLE_LIFE: Duration = Duration::from_secs(5);

/// What one daemon's clock showed.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Time of day, since the start of 1970.
    shown: Duration,
    received: Instant,
}

impl Sample {
    /// What that clock shows now.
    fn now(&self, now: Instant) -> Duration {
        self.shown + now.saturating_duration_since(self.received)
    }
}

/// Agrees on the time of day.
#[derive(Debug, Default)]
pub struct FleetTime {
    samples: HashMap<u64, Sample>,
}

impl FleetTime {
    /// The daemon `source` showed the time of day `shown`, since the start of 1970.
    pub fn observe(&mut self, source: u64, shown: Duration, now: Instant) {
        self.samples.insert(
            source,
            Sample {
                shown,
                received: now,
            },
        );
    }

    /// The time of day since the start of 1970, by the median of recent samples; `own` where there are none.
    #[must_use]
    pub fn now(&self, own: Duration, now: Instant) -> Duration {
        let mut shown: Vec<Duration> = self
            .samples
            .values()
            .filter(|sample| now.saturating_duration_since(sample.received) < SAMPLE_LIFE)
            .map(|sample| sample.now(now))
            .collect();
        shown.push(own);
        shown.sort_unstable();
        shown[shown.len() / 2]
    }

    /// Forgets what no longer counts.
    pub fn forget_old(&mut self, now: Instant) {
        self.samples
            .retain(|_source, sample| now.saturating_duration_since(sample.received) < SAMPLE_LIFE);
    }
}
