//! Monotonic time, and the time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ponddrift_core::Timestamp;
use tokio::time::Instant;

/// The time since the process started, and the time of day.
pub trait Clock: Send + Sync + 'static {
    /// Time since the start. Never goes back.
    fn now(&self) -> Timestamp;
    /// Time of day, since the start of 1970. May be seconds off, and may jump either way.
    fn time_of_day(&self) -> Duration;
}

/// tokio's clock: real time in the binaries, virtual time on a paused runtime.
#[derive(Debug, Clone, Copy)]
pub struct TokioClock {
    start: Instant,
}

impl TokioClock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for TokioClock {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    fn time_of_day(&self) -> Duration {
        // A clock before 1970 is badly wrong; it counts as one that was never set.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
    }
}
