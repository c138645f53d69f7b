//! A token bucket that starts empty.

use std::time::{Duration, Instant};

/// Token bucket: tokens are added at a constant rate up to a maximum, and each request takes one.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    per_second: f64,
    max_tokens: f64,
    tokens: f64,
    updated: Instant,
}

/// Tolerance for rounding errors when a token is accumulated in small fractions.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl TokenBucket {
    /// A bucket without tokens and with rate zero.
    #[must_use]
    pub const fn empty(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            max_tokens: 0.0,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Changes the rate and the maximum number of tokens. Existing tokens are kept up to the new
    /// maximum.
    pub fn set(&mut self, per_second: f64, max_tokens: f64, now: Instant) {
        self.tokens = self.tokens_at(now).min(max_tokens);
        self.updated = now;
        self.per_second = per_second;
        self.max_tokens = max_tokens;
    }

    /// Rate in tokens per second.
    #[must_use]
    pub const fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Time when the next token is available; `None` if the rate is zero and no token is left.
    #[must_use]
    pub fn next(&self, now: Instant) -> Option<Instant> {
        let missing = 1.0 - ROUNDING_TOLERANCE - self.tokens_at(now);
        if missing <= 0.0 {
            return Some(now);
        }
        let wait = Duration::try_from_secs_f64(missing / self.per_second).ok()?;
        now.checked_add(wait)
    }

    /// Takes a token. Returns false if none is available.
    pub fn take(&mut self, now: Instant) -> bool {
        let tokens = self.tokens_at(now);
        if tokens < 1.0 - ROUNDING_TOLERANCE {
            return false;
        }
        self.tokens = (tokens - 1.0).max(0.0);
        self.updated = self.updated.max(now);
        true
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + time * self.per_second).min(self.max_tokens)
    }
}
