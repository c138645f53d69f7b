//! Restores the store from older copies, in addition to the faults.

use std::collections::VecDeque;
use std::time::Duration;

use ponddrift_platform_stand_ins::{StoreCopy, StoreMode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::platform::Platform;

/// Time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of copies kept.
const MAX_COPIES: usize = 8;
/// Time after a restore within which the operator and the engines write their entries again.
const REWRITE_LIMIT: Duration = Duration::from_millis(800);
/// Time for the rewritten entries to reach all daemons.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Schedules outages of the store that end with a restore from an older copy.
pub struct StoreRestorer {
    random: Pcg64Mcg,
    copies: VecDeque<StoreCopy>,
    next_copy: Instant,
    next_outage: Instant,
    outage: Option<StoreOutage>,
    rewrite_at: Option<Instant>,
    restores: usize,
}

/// A period in which the store does not answer.
struct StoreOutage {
    started_at: Instant,
    ends_at: Instant,
}

impl StoreRestorer {
    /// Creates a restorer whose random sequence depends only on `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        /// Separates this random sequence from that of the faults, so that both can use the same
        /// seed.
        const SEED_SALT: u64 = 0x7265_7374;
        let now = Instant::now();
        let mut restorer = Self {
            random: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            copies: VecDeque::new(),
            next_copy: now,
            next_outage: now,
            outage: None,
            rewrite_at: None,
            restores: 0,
        };
        restorer.next_outage = now + restorer.random_duration(2_000..5_000);
        restorer
    }

    fn random_duration(&mut self, milliseconds: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(milliseconds))
    }

    /// Advances the schedule. When an outage ends, returns its period, extended by the time for the
    /// rewritten entries to reach all daemons.
    pub fn tick(&mut self, platform: &Platform) -> Option<(Instant, Instant)> {
        let now = Instant::now();
        if self.rewrite_at.is_some_and(|at| at <= now) {
            self.rewrite_at = None;
            platform.rewrite_entries();
        }
        if let Some(outage) = self.outage.take_if(|outage| outage.ends_at <= now) {
            self.restore(platform);
            return Some((outage.started_at, now + REWRITE_LIMIT + PROPAGATION_LIMIT));
        }
        if self.outage.is_some() {
            return None;
        }
        if self.next_copy <= now {
            self.next_copy = now + COPY_INTERVAL;
            self.copies.truncate(MAX_COPIES - 1);
            self.copies.push_front(platform.store.copy());
        }
        if self.next_outage <= now && self.rewrite_at.is_none() {
            platform.store.set_mode(StoreMode::Silent);
            let ends_at = now + self.random_duration(50..1_500);
            self.outage = Some(StoreOutage {
                started_at: now,
                ends_at,
            });
        }
        None
    }

    fn restore(&mut self, platform: &Platform) {
        let index = self.random.random_range(0..self.copies.len());
        platform.store.restore_from(&self.copies[index]);
        platform.store.set_mode(StoreMode::Up);
        // The store's history after this copy is lost, so newer copies must not be used any more.
        self.copies.drain(..index);
        self.restores += 1;
        let now = Instant::now();
        self.rewrite_at = Some(now + self.random_duration(0..800).min(REWRITE_LIMIT));
        self.next_outage = now + self.random_duration(3_000..9_000);
    }

    /// Ends a current outage without a restore, and performs a pending rewrite of the entries.
    pub fn finish(&mut self, platform: &Platform) {
        if self.outage.take().is_some() {
            platform.store.set_mode(StoreMode::Up);
        }
        if self.rewrite_at.take().is_some() {
            platform.rewrite_entries();
        }
    }

    /// Number of restores so far.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.restores
    }
}
