//! The time of day that most daemons agree on.
//!
//! A machine's time of day may be seconds off, and may jump. Each daemon tells its own with its gossip; the median of what
//! was lately heard, counted on by the steady clock, is right as long as most of the machines heard from are.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What a daemon said longer ago does not count: it gossips several times in this time.
const SAMPLE_LIFE: Duration = Duration::from_secs(5);

/// What one daemon's clock showed.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Time of day, since the start of 1970.
    shown: Duration,
    heard: Instant,
}

impl Sample {
    /// What that clock shows now.
    fn now(&self, now: Instant) -> Duration {
        self.shown + now.saturating_duration_since(self.heard)
    }
}

/// Agrees on the time of day.
#[derive(Debug, Default)]
pub struct TrueTime {
    samples: HashMap<u64, Sample>,
}

impl TrueTime {
    /// The daemon `source` showed the time of day `shown`, since the start of 1970.
    pub fn hear(&mut self, source: u64, shown: Duration, now: Instant) {
        self.samples.insert(source, Sample { shown, heard: now });
    }

    /// The time of day since the start of 1970, by most of those lately heard; `own` where nobody was.
    #[must_use]
    pub fn now(&self, own: Duration, now: Instant) -> Duration {
        let mut shown: Vec<Duration> = self
            .samples
            .values()
            .filter(|sample| now.saturating_duration_since(sample.heard) < SAMPLE_LIFE)
            .map(|sample| sample.now(now))
            .collect();
        shown.push(own);
        shown.sort_unstable();
        shown[shown.len() / 2]
    }

    /// Forgets what no longer counts.
    pub fn forget_old(&mut self, now: Instant) {
        self.samples
            .retain(|_source, sample| now.saturating_duration_since(sample.heard) < SAMPLE_LIFE);
    }
}
