//! Monotonic time and wall-clock time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ponddrift_core::Timestamp;
use tokio::time::Instant;

/// Source of monotonic time and wall-clock time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time since the clock was started.
    fn now(&self) -> Timestamp;
    /// Wall-clock time since the Unix epoch. May be wrong by seconds, and may jump forwards or
    /// backwards.
    fn time_of_day(&self) -> Duration;
}

/// Tokio's clock: real time in the binaries, virtual time on a paused Tokio runtime.
#[derive(Debug, Clone, Copy)]
pub struct TokioClock {
    start: Instant,
}

impl TokioClock {
    /// Creates a clock whose monotonic time starts now.
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
        // A system clock before 1970 is treated as unset.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
    }
}
