//! Rate limits that engines set for a while, beside all faults, and what must hold of them.

use std::time::Duration;

use ponddrift_platform_stand_ins::EngineStandIn;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::checks::Violation;

/// Time in which all daemons learn of a limit after it was first named.
const CONTACT: Duration = Duration::from_secs(3);
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What back ends bear within it: so many times what their rate allows,
const BORNE_PARTS: f64 = 1.5;
/// and so many requests more.
const BORNE_MORE: f64 = 5.0;
/// Rates that engines set, in requests a second, as they say them.
const RATES: [&str; 5] = ["0", "0.5", "1", "3.3", "8"];
/// Makes these draws differ from those of the faults, which stay what their seed makes them.
const SEED_PART: u64 = 0x6c69_6d69;

/// A limit that an engine set.
struct LimitPeriod {
    engine: EngineStandIn,
    rate: &'static str,
    from: Instant,
    to: Option<Instant>,
}

/// Has one engine after the other set a limit.
pub struct Limiter {
    random: Pcg64Mcg,
    periods: Vec<LimitPeriod>,
    next: Instant,
}

impl Limiter {
    /// One whose draws the seed makes.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed ^ SEED_PART),
            periods: Vec::new(),
            next: Instant::now(),
        }
    }

    /// Ends the limit in force where its time is over, and has one of these engines set another a moment later.
    pub fn tend(&mut self, engines: &[EngineStandIn]) {
        if Instant::now() < self.next {
            return;
        }
        if self.lift() {
            self.next = Instant::now() + self.time(500, 2_000);
            return;
        }
        let engine = engines.choose(&mut self.random);
        let rate = RATES.choose(&mut self.random);
        if let (Some(engine), Some(rate)) = (engine, rate) {
            engine.set_rate_limit(&[rate]);
            self.periods.push(LimitPeriod {
                engine: engine.clone(),
                rate,
                from: Instant::now(),
                to: None,
            });
        }
        self.next = Instant::now() + self.time(4_000, 9_000);
    }

    /// Ends the limit in force. Returns whether there was one.
    pub fn lift(&mut self) -> bool {
        let in_force = self.periods.last_mut().filter(|last| last.to.is_none());
        let Some(last) = in_force else {
            return false;
        };
        last.engine.set_rate_limit(&[]);
        last.to = Some(Instant::now());
        true
    }

    /// Limits that were set so far.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.periods.len()
    }

    fn time(&mut self, least_ms: u64, most_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least_ms..most_ms))
    }

    /// No engine got more than it bears, from [`CONTACT`] after it first named its limit until that ended. A life after a crash counts by itself.
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
        let counted_from = first_named + CONTACT;
        let mut times: Vec<Instant> = Vec::new();
        for arrival in self.engine.arrivals() {
            if arrival.at >= counted_from && arrival.at < to {
                times.push(arrival.at);
            }
        }
        let most = most_in_window(&times);
        let rate: f64 = self.rate.parse().unwrap_or_default();
        let borne = BORNE_PARTS * rate * WINDOW.as_secs_f64() + BORNE_MORE;
        let count = f64::from(u32::try_from(most).unwrap_or(u32::MAX));
        (count > borne).then(|| Violation {
            rule: "a back end gets no more than its rate limit bears",
            seen: format!(
                "{} named {} a second: {most} requests in 4 s, {borne} are borne",
                self.engine.id(),
                self.rate
            ),
        })
    }
}

fn most_in_window(times: &[Instant]) -> usize {
    let in_window = |from: &Instant| {
        let later = times.iter().filter(|at| **at >= *from);
        later.filter(|at| **at - *from < WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}
