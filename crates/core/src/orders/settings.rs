//! Settings of the reconciler.

use std::time::Duration;

/// Limits and timing of changes in one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrdersSettings {
    /// Maximum number of engines in the cell that planned changes make unavailable at once.
    pub maximum_unavailable: usize,
    /// Maximum number of concurrent weight loads.
    pub maximum_loads: usize,
    /// Minimum time between the starts of two weight loads.
    pub load_spacing: Duration,
    /// Interval between reads of an engine's state while it is unavailable.
    pub read_period: Duration,
    /// Interval between reads of an engine's state while no change is in progress.
    pub idle_read_period: Duration,
    /// Time after which an order that the engine does not report as running is resent with the
    /// same id.
    pub resend_after: Duration,
    /// Time allowed for requests in transit to arrive after all daemons stopped routing.
    pub settle_time: Duration,
    /// Time after which a drain of a serving engine is cancelled and retried later.
    pub drain_timeout: Duration,
    /// Number of failed attempts after which an engine is set aside.
    pub maximum_attempts: u32,
    /// Delay after the first failed attempt; doubles with each further one.
    pub backoff_minimum: Duration,
    /// Maximum delay after a failed attempt.
    pub backoff_maximum: Duration,
}

impl Default for OrdersSettings {
    fn default() -> Self {
        Self {
            maximum_unavailable: 4,
            maximum_loads: 2,
            load_spacing: Duration::from_secs(1),
            read_period: Duration::from_millis(500),
            idle_read_period: Duration::from_secs(5),
            resend_after: Duration::from_secs(2),
            settle_time: Duration::from_secs(1),
            drain_timeout: Duration::from_secs(300),
            maximum_attempts: 5,
            backoff_minimum: Duration::from_secs(1),
            backoff_maximum: Duration::from_secs(60),
        }
    }
}

impl OrdersSettings {
    /// Delay after the given number of failed attempts.
    #[must_use]
    pub fn backoff(&self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let wait = self.backoff_minimum * 2_u32.pow(doublings);
        wait.min(self.backoff_maximum)
    }
}
