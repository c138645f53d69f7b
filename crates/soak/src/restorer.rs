//! Has the store come back from older copies, beside the faults that the seed draws.

use std::collections::VecDeque;
use std::time::Duration;

use ponddrift_platform_stand_ins::{StoreCopy, StoreMode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::platform::Platform;

/// Time between two copies,
const COPY_INTERVAL: Duration = Duration::from_millis(500);
/// and how many are kept: the oldest is some seconds old.
const COPIES: usize = 8;
/// The operator and the engines write again within this time after the return.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_millis(800);
/// After the return, and what is written again, daemons have so long to know it all.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);

/// When the next return comes, and from which copy.
pub struct Restorer {
    random: Pcg64Mcg,
    copies: VecDeque<StoreCopy>,
    next_copy: Instant,
    next_absence: Instant,
    absence: Option<Absence>,
    write_again_at: Option<Instant>,
    returns: usize,
}

/// The store is away.
struct Absence {
    begun: Instant,
    ends: Instant,
}

impl Restorer {
    /// The first return comes after some seconds.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        /// Makes this seed differ from that of the faults.
        const SEED_PART: u64 = 0x7265_7374;
        let now = Instant::now();
        let mut restorer = Self {
            random: Pcg64Mcg::seed_from_u64(seed ^ SEED_PART),
            copies: VecDeque::new(),
            next_copy: now,
            next_absence: now,
            absence: None,
            write_again_at: None,
            returns: 0,
        };
        restorer.next_absence = now + restorer.time(2_000..5_000);
        restorer
    }

    fn time(&mut self, milliseconds: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(milliseconds))
    }

    /// Does what is due. Returns a time in which the store was away, and daemons had not yet to know what was written again.
    pub fn tend(&mut self, platform: &Platform) -> Option<(Instant, Instant)> {
        let now = Instant::now();
        if self.write_again_at.is_some_and(|at| at <= now) {
            self.write_again_at = None;
            platform.write_again();
        }
        if let Some(absence) = self.absence.take_if(|absence| absence.ends <= now) {
            self.come_back(platform);
            return Some((absence.begun, now + WRITTEN_AGAIN_WITHIN + KNOWN_WITHIN));
        }
        if self.absence.is_some() {
            return None;
        }
        if self.next_copy <= now {
            self.next_copy = now + COPY_INTERVAL;
            self.copies.truncate(COPIES - 1);
            self.copies.push_front(platform.store.copy());
        }
        if self.next_absence <= now && self.write_again_at.is_none() {
            platform.store.set_mode(StoreMode::Silent);
            let ends = now + self.time(50..1_500);
            self.absence = Some(Absence { begun: now, ends });
        }
        None
    }

    fn come_back(&mut self, platform: &Platform) {
        let index = self.random.random_range(0..self.copies.len());
        platform.store.restore_from(&self.copies[index]);
        platform.store.set_mode(StoreMode::Up);
        // What is newer than that is gone for later copies too.
        self.copies.drain(..index);
        self.returns += 1;
        let now = Instant::now();
        self.write_again_at = Some(now + self.time(0..800).min(WRITTEN_AGAIN_WITHIN));
        self.next_absence = now + self.time(3_000..9_000);
    }

    /// No more returns; whatever is still to be written again is.
    pub fn end(&mut self, platform: &Platform) {
        if self.absence.take().is_some() {
            platform.store.set_mode(StoreMode::Up);
        }
        if self.write_again_at.take().is_some() {
            platform.write_again();
        }
    }

    /// Returns so far.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.returns
    }
}
