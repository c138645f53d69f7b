//! Settings of the reconciler.

use std::time::Duration;

/// Limits and times of changes in one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrdersSettings {
    /// Most engines of the cell that planned changes take away at once.
    pub maximum_unavailable: usize,
    /// Most loads of weights at once.
    pub maximum_loads: usize,
    /// Least time between the starts of two loads of weights.
    pub load_spacing: Duration,
    /// Time between two reads of an engine's state while something is awaited there.
    pub read_period: Duration,
    /// Time between two reads of an engine's state while nothing is awaited.
    pub idle_read_period: Duration,
    /// An order without a sign of life for this long is sent again with the same id.
    pub resend_after: Duration,
    /// Time for requests in the network to arrive after all daemons stopped routing.
    pub settle_time: Duration,
    /// A drain that is not over by then is given up, and begun again later.
    pub drain_timeout: Duration,
    /// Failed tries after which an engine is set aside.
    pub maximum_tries: u32,
    /// First wait after a failed try; it doubles with each.
    pub backoff_minimum: Duration,
    /// Longest wait after a failed try.
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
            maximum_tries: 5,
            backoff_minimum: Duration::from_secs(1),
            backoff_maximum: Duration::from_secs(60),
        }
    }
}

impl OrdersSettings {
    /// Wait after the `tries`-th failed try.
    #[must_use]
    pub fn backoff(&self, tries: u32) -> Duration {
        let doublings = tries.saturating_sub(1).min(16);
        let wait = self.backoff_minimum * 2_u32.pow(doublings);
        wait.min(self.backoff_maximum)
    }
}
