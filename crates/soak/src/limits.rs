//! Rate limits that engines set temporarily in addition to the faults, and the check that they are
//! kept.

use std::time::Duration;

use ponddrift_platform_stand_ins::EngineStandIn;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::checks::Violation;

/// Time for a rate limit to reach all daemons after an engine first announced it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Length of the sliding window in which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the requests in a window may exceed the rate limit.
const ALLOWED_RATE_FACTOR: f64 = 1.5;
/// Number of requests allowed in a window in addition to the rate limit times the factor.
const ALLOWED_EXTRA_REQUESTS: f64 = 5.0;
/// Rate limits that engines announce, in requests per second.
const RATES_PER_SECOND: [&str; 5] = ["0", "0.5", "1", "3.3", "8"];
/// Separates this random sequence from that of the faults, so that both can use the same seed.
const SEED_SALT: u64 = 0x6c69_6d69;

/// A period in which an engine announced a rate limit.
struct LimitPeriod {
    engine: EngineStandIn,
    rate: &'static str,
    from: Instant,
    to: Option<Instant>,
}

/// Makes one engine at a time announce a rate limit.
pub struct RateLimitInjector {
    random: Pcg64Mcg,
    periods: Vec<LimitPeriod>,
    next_change: Instant,
}

impl RateLimitInjector {
    /// Creates an injector whose random sequence depends only on `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            periods: Vec::new(),
            next_change: Instant::now(),
        }
    }

    /// Advances the schedule: clears the current limit when it is due, and after a pause makes one
    /// of `engines` set another.
    pub fn tick(&mut self, engines: &[EngineStandIn]) {
        if Instant::now() < self.next_change {
            return;
        }
        if self.clear_limit() {
            self.next_change = Instant::now() + self.random_duration(500, 2_000);
            return;
        }
        let engine = engines.choose(&mut self.random);
        let rate = RATES_PER_SECOND.choose(&mut self.random);
        if let (Some(engine), Some(rate)) = (engine, rate) {
            engine.set_rate_limit(&[rate]);
            self.periods.push(LimitPeriod {
                engine: engine.clone(),
                rate,
                from: Instant::now(),
                to: None,
            });
        }
        self.next_change = Instant::now() + self.random_duration(4_000, 9_000);
    }

    /// Clears the current limit. Returns whether there was one.
    pub fn clear_limit(&mut self) -> bool {
        let in_force = self.periods.last_mut().filter(|last| last.to.is_none());
        let Some(last) = in_force else {
            return false;
        };
        last.engine.set_rate_limit(&[]);
        last.to = Some(Instant::now());
        true
    }

    /// Number of limits set so far.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.periods.len()
    }

    fn random_duration(&mut self, min_ms: u64, max_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min_ms..max_ms))
    }

    /// Checks that no engine received more requests than its rate limit allows.
    ///
    /// Requests count from `PROPAGATION_LIMIT` after the engine first announced the limit, or
    /// announced it again after a crash, until the limit was cleared.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        let excesses = self.periods.iter().filter_map(LimitPeriod::excess);
        excesses.collect()
    }
}

impl LimitPeriod {
    fn excess(&self) -> Option<Violation> {
        let to = self.to.unwrap_or_else(Instant::now);
        let crashes = self.engine.crashes();
        let in_period = |at: &Instant| *at >= self.from && *at < to;
        let last_crash = crashes.into_iter().filter(in_period).max();
        let since = last_crash.unwrap_or(self.from);
        let first_named = self
            .engine
            .rate_announced_at()
            .into_iter()
            .find(|at| *at >= since)?;
        let counted_from = first_named + PROPAGATION_LIMIT;
        let mut times: Vec<Instant> = Vec::new();
        for arrival in self.engine.arrivals() {
            if arrival.at >= counted_from && arrival.at < to {
                times.push(arrival.at);
            }
        }
        let max_count = max_in_window(&times);
        let rate: f64 = self.rate.parse().unwrap_or_default();
        let allowed =
            ALLOWED_RATE_FACTOR * rate * COUNT_WINDOW.as_secs_f64() + ALLOWED_EXTRA_REQUESTS;
        let count = f64::from(u32::try_from(max_count).unwrap_or(u32::MAX));
        (count > allowed).then(|| Violation {
            rule: "back ends get no more requests than their rate limit allows",
            observed: format!(
                "{} announced {} requests per second but got {max_count} requests in 4 s; {allowed} are allowed",
                self.engine.id(),
                self.rate
            ),
        })
    }
}

fn max_in_window(times: &[Instant]) -> usize {
    let in_window = |from: &Instant| {
        let later = times.iter().filter(|at| **at >= *from);
        later.filter(|at| **at - *from < COUNT_WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}
