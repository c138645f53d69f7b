//! Token bucket whose balance may become negative.

use std::time::Duration;

use crate::Timestamp;

/// Upper bound on computed waits, for rates near zero.
const MAX_WAIT_SECONDS: f64 = 3_600.0;

/// A rate limiter. A debit is allowed if the balance covers it or the bucket is full, so that an
/// amount larger than the burst can pass; the balance may then become negative and later debits
/// wait until it has recovered. Over any time `t`, at most `burst + rate * t` plus one debit is
/// allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    balance: f64,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket. `rate` is in units per second, `burst` in units.
    #[must_use]
    pub const fn new(now: Timestamp, rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            balance: burst,
            updated_at: now,
        }
    }

    /// Changes the rate and burst from `now`. The balance is kept, up to the new burst.
    pub fn set_rate(&mut self, now: Timestamp, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Whether a debit of `amount` is allowed now.
    #[must_use]
    pub fn allows(&mut self, now: Timestamp, amount: f64) -> bool {
        self.refill(now);
        self.balance >= amount.min(self.burst)
    }

    /// Debits without checking; the balance may become negative.
    pub fn debit(&mut self, now: Timestamp, amount: f64) {
        self.refill(now);
        self.balance -= amount;
    }

    /// Credits `amount`; a negative amount is debited.
    pub fn credit(&mut self, amount: f64) {
        self.balance = (self.balance + amount).min(self.burst);
    }

    /// Time until a debit of `amount` is allowed.
    #[must_use]
    pub fn wait(&mut self, now: Timestamp, amount: f64) -> Duration {
        self.refill(now);
        let missing = (amount.min(self.burst) - self.balance).max(0.0);
        let seconds = (missing / self.rate).min(MAX_WAIT_SECONDS);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.balance = (self.balance + elapsed * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
