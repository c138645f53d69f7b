//! How long streams of a service run, and how long they pause between events.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::MS_PER_S;
use super::work::halved_since;

/// Time in which the longest stream seen counts for half: the mix shifts.
const HALF_LIFE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy)]
struct Longest {
    seconds: f64,
    at: Instant,
}

impl Longest {
    fn now(self, now: Instant) -> f64 {
        self.seconds * halved_since(self.at, now, HALF_LIFE)
    }
}

/// How long a stream is taken to hold its slot until the first has ended, in milliseconds.
const DEFAULT_STREAM_MS: f64 = 300.0;
/// Weight of the newest sample in an average.
const NEWEST_WEIGHT: f64 = 0.05;

/// An average with exponential weights; none before the first sample.
#[derive(Debug, Default, Clone, Copy)]
struct Average(Option<f64>);

impl Average {
    fn add(&mut self, sample: f64) {
        let before = self.0.unwrap_or(sample);
        self.0 = Some(before + NEWEST_WEIGHT * (sample - before));
    }
}

#[derive(Debug, Default)]
struct Times {
    longest: Option<Longest>,
    usual_ms: Average,
    quiet_gap_ms: Average,
}

/// Times of streams, by service.
#[derive(Debug, Default)]
pub struct StreamTimes {
    by_service: HashMap<Arc<str>, Times>,
}

impl StreamTimes {
    /// A stream has ended after this time.
    pub fn ran(&mut self, service: &Arc<str>, time: Duration, now: Instant) {
        let seconds = time.as_secs_f64();
        let times = self.of(service);
        times.usual_ms.add(seconds * MS_PER_S);
        let is_longest = times
            .longest
            .is_none_or(|longest| longest.now(now) < seconds);
        if is_longest {
            times.longest = Some(Longest { seconds, at: now });
        }
    }

    /// A stream paused this long between two events, while its engine was not known to read prompts.
    pub fn record_baseline_gap(&mut self, service: &Arc<str>, gap: Duration) {
        let gap_ms = gap.as_secs_f64() * MS_PER_S;
        self.of(service).quiet_gap_ms.add(gap_ms);
    }

    /// How long the streams that an engine runs may take to end: as long as the longest took lately.
    #[must_use]
    pub fn longest(&self, service: &str, now: Instant) -> Duration {
        let times = self.by_service.get(service);
        let longest = times.and_then(|times| times.longest);
        Duration::from_secs_f64(longest.map_or(0.0, |longest| longest.now(now)))
    }

    /// How long a stream usually holds its slot, in milliseconds.
    #[must_use]
    pub fn usual_ms(&self, service: &str) -> f64 {
        let times = self.by_service.get(service);
        times
            .and_then(|times| times.usual_ms.0)
            .unwrap_or(DEFAULT_STREAM_MS)
    }

    /// The usual pause between two events where the engine reads nothing, in milliseconds.
    #[must_use]
    pub fn quiet_gap_ms(&self, service: &str) -> f64 {
        let times = self.by_service.get(service);
        times
            .and_then(|times| times.quiet_gap_ms.0)
            .unwrap_or_default()
    }

    fn of(&mut self, service: &Arc<str>) -> &mut Times {
        self.by_service.entry(Arc::clone(service)).or_default()
    }
}
