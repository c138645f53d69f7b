//! A token bucket that begins empty.

use std::time::{Duration, Instant};

/// Tokens come at a steady rate and are kept up to a bound; each send takes one.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    per_second: f64,
    most: f64,
    tokens: f64,
    as_of: Instant,
}

/// Sums of small parts of a token may miss a whole one by so much.
const ROUNDING: f64 = 1e-6;

impl TokenBucket {
    /// Without tokens, and without any to come.
    #[must_use]
    pub const fn empty(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            most: 0.0,
            tokens: 0.0,
            as_of: now,
        }
    }

    /// From now on tokens come at this rate, and `most` at most are kept. Those that are there stay, as far as they fit.
    pub fn set(&mut self, per_second: f64, most: f64, now: Instant) {
        self.tokens = self.tokens_at(now).min(most);
        self.as_of = now;
        self.per_second = per_second;
        self.most = most;
    }

    /// Tokens a second.
    #[must_use]
    pub const fn per_second(&self) -> f64 {
        self.per_second
    }

    /// When a token is there; none where none comes.
    #[must_use]
    pub fn next(&self, now: Instant) -> Option<Instant> {
        let missing = 1.0 - ROUNDING - self.tokens_at(now);
        if missing <= 0.0 {
            return Some(now);
        }
        let wait = Duration::try_from_secs_f64(missing / self.per_second).ok()?;
        now.checked_add(wait)
    }

    /// Takes a token. Returns false where none is there.
    pub fn take(&mut self, now: Instant) -> bool {
        let tokens = self.tokens_at(now);
        if tokens < 1.0 - ROUNDING {
            return false;
        }
        self.tokens = (tokens - 1.0).max(0.0);
        self.as_of = self.as_of.max(now);
        true
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.as_of).as_secs_f64();
        (self.tokens + time * self.per_second).min(self.most)
    }
}
