//! Event counts over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Number of slices per window.
const SLICES: u64 = 10;

#[derive(Debug, Clone, Copy)]
struct Slice {
    number: u64,
    count: u32,
}

/// Counts the events of the last window with a resolution of one slice and bounded memory.
#[derive(Debug, Clone)]
pub(crate) struct SlidingCount {
    slice_microseconds: u64,
    slices: VecDeque<Slice>,
}

impl SlidingCount {
    pub fn new(window: Duration) -> Self {
        let window = u64::try_from(window.as_micros()).unwrap_or(u64::MAX);
        Self {
            slice_microseconds: (window / SLICES).max(1),
            slices: VecDeque::new(),
        }
    }

    pub fn add(&mut self, now: Timestamp) {
        let number = self.number(now);
        self.forget_before(number);
        match self.slices.back_mut() {
            Some(newest) if newest.number == number => newest.count += 1,
            _ => self.slices.push_back(Slice { number, count: 1 }),
        }
    }

    pub fn count(&mut self, now: Timestamp) -> u32 {
        let number = self.number(now);
        self.forget_before(number);
        self.slices.iter().map(|slice| slice.count).sum()
    }

    /// Slice number of `now`, never before the newest slice: a clock that goes backwards counts as
    /// stopped.
    fn number(&self, now: Timestamp) -> u64 {
        let newest = self.slices.back().map_or(0, |slice| slice.number);
        (now.0 / self.slice_microseconds).max(newest)
    }

    fn forget_before(&mut self, number: u64) {
        let is_old = |slice: &Slice| slice.number + SLICES <= number;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
    }
}
