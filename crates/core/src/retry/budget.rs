//! Retry budget: a fraction of the recent successes.

use std::time::Duration;

use crate::Timestamp;
use crate::sliding_count::SlidingCount;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per success in the window.
    pub share_of_successes: f64,
    /// Retries allowed in a window without successes.
    pub floor: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            share_of_successes: 0.15,
            floor: 5.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Counts successes and retries over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    successes: SlidingCount,
    retries: SlidingCount,
}

impl RetryBudget {
    /// Creates a budget that contains only the floor.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            successes: SlidingCount::new(settings.window),
            retries: SlidingCount::new(settings.window),
        }
    }

    /// Records a successful request.
    pub fn succeeded(&mut self, now: Timestamp) {
        self.successes.add(now);
    }

    /// Consumes one retry of the budget; returns `false` if none is left.
    pub fn try_consume(&mut self, now: Timestamp) -> bool {
        if self.available(now) < 1.0 {
            return false;
        }
        self.retries.add(now);
        true
    }

    /// Number of retries left.
    #[must_use]
    pub fn available(&mut self, now: Timestamp) -> f64 {
        let successes = f64::from(self.successes.count(now));
        let retries = f64::from(self.retries.count(now));
        let allowed = self.settings.floor + self.settings.share_of_successes * successes;
        allowed - retries
    }
}
