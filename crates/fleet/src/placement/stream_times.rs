//! How long streams of a service run.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time in which the longest stream seen counts for half, in seconds: the mix shifts.
const HALF_LIFE_S: f64 = 20.0;

#[derive(Debug, Clone, Copy)]
struct Longest {
    seconds: f64,
    at: Instant,
}

impl Longest {
    fn now(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.seconds * (-age / HALF_LIFE_S).exp2()
    }
}

/// The longest streams lately, by service.
#[derive(Debug, Default)]
pub struct StreamTimes {
    longest: HashMap<Arc<str>, Longest>,
}

impl StreamTimes {
    /// A stream has ended, or has run for so long already.
    pub fn ran(&mut self, service: &Arc<str>, time: Duration, now: Instant) {
        let seconds = time.as_secs_f64();
        let is_longest = self
            .longest
            .get(service)
            .is_none_or(|longest| longest.now(now) < seconds);
        if is_longest {
            let longest = Longest { seconds, at: now };
            self.longest.insert(Arc::clone(service), longest);
        }
    }

    /// How long the streams that an engine runs may take to end: as long as the longest took lately.
    #[must_use]
    pub fn longest(&self, service: &str, now: Instant) -> Duration {
        let seconds = self
            .longest
            .get(service)
            .map_or(0.0, |longest| longest.now(now));
        Duration::from_secs_f64(seconds)
    }
}
