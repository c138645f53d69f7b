//! Enforcement of this daemon's share of the limits of one tenant or service.

use std::time::Duration;

use super::event::LimitKind;
use super::token_bucket::TokenBucket;
use crate::Timestamp;

/// System-wide limits; 0 means unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: u32,
    /// Prompt and output tokens per second.
    pub tokens_per_second: u32,
    /// Concurrent requests, including queued ones.
    pub concurrency: u32,
}

/// A limit that a request would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Exceeded {
    pub kind: LimitKind,
    /// Time until the limit allows the request; `None` if that depends on another request ending.
    pub wait: Option<Duration>,
}

/// Usage of the limits of one tenant or service.
#[derive(Debug, Clone)]
pub(super) struct LimitState {
    limits: Limits,
    burst: Duration,
    requests: TokenBucket,
    tokens: TokenBucket,
    share: f64,
    concurrent: u32,
}

impl LimitState {
    /// `concurrent` is the number of requests already admitted.
    pub fn new(now: Timestamp, limits: Limits, concurrent: u32, burst: Duration) -> Self {
        let mut state = Self {
            limits,
            burst,
            requests: TokenBucket::new(now, 0.0, f64::MAX),
            tokens: TokenBucket::new(now, 0.0, f64::MAX),
            share: 1.0,
            concurrent,
        };
        state.apply(now);
        state
    }

    pub fn set_limits(&mut self, now: Timestamp, limits: Limits) {
        self.limits = limits;
        self.apply(now);
    }

    pub fn set_share(&mut self, now: Timestamp, share: f64) {
        self.share = share;
        self.apply(now);
    }

    pub fn exceeded(&mut self, now: Timestamp, tokens: f64) -> Option<Exceeded> {
        if self.limits.concurrency > 0 && f64::from(self.concurrent) >= self.concurrency() {
            return Some(Exceeded {
                kind: LimitKind::Concurrency,
                wait: None,
            });
        }
        if self.limits.requests_per_second > 0 && !self.requests.allows(now, 1.0) {
            return Some(Exceeded {
                kind: LimitKind::Requests,
                wait: Some(self.requests.wait(now, 1.0)),
            });
        }
        if self.limits.tokens_per_second > 0 && !self.tokens.allows(now, tokens) {
            return Some(Exceeded {
                kind: LimitKind::Tokens,
                wait: Some(self.tokens.wait(now, tokens)),
            });
        }
        None
    }

    pub fn debit(&mut self, now: Timestamp, tokens: f64) {
        self.concurrent += 1;
        self.requests.debit(now, 1.0);
        self.tokens.debit(now, tokens);
    }

    /// Returns everything charged for a request that did not run.
    pub fn refund(&mut self, tokens: f64) {
        self.concurrent = self.concurrent.saturating_sub(1);
        self.requests.credit(1.0);
        self.tokens.credit(tokens);
    }

    /// Ends a request and settles the difference between expected and used tokens.
    pub fn finished(&mut self, expected_tokens: f64, used_tokens: f64) {
        self.concurrent = self.concurrent.saturating_sub(1);
        self.tokens.credit(expected_tokens - used_tokens);
    }

    /// This daemon's concurrency limit. It is at least one, so that a small share does not block a
    /// tenant.
    fn concurrency(&self) -> f64 {
        (f64::from(self.limits.concurrency) * self.share)
            .ceil()
            .max(1.0)
    }

    fn apply(&mut self, now: Timestamp) {
        let burst = self.burst.as_secs_f64();
        let set = |bucket: &mut TokenBucket, limit: u32| {
            if limit == 0 {
                bucket.set_rate(now, 0.0, f64::MAX);
                return;
            }
            let rate = f64::from(limit) * self.share;
            bucket.set_rate(now, rate, (rate * burst).max(1.0));
        };
        set(&mut self.requests, self.limits.requests_per_second);
        set(&mut self.tokens, self.limits.tokens_per_second);
    }
}
