//! Rates learned from what back ends do.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::work::halved_since;
use crate::stages::DECODE_READ_PACE;

/// Prompt tokens that a prefill engine is taken to read in a millisecond until the first reading has been seen.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 30.0;
/// What messages are taken to need of a reading's time until a line through readings tells, in milliseconds.
const DEFAULT_MESSAGE_MS: f64 = 10.0;
/// Readings from which a rate is worked out.
const LEAST_READINGS: f64 = 6.0;
/// Part that older readings keep of their weight with each new one.
const OLDER_KEEP: f64 = 0.99;
/// Readings that differ less (standard deviation as a part of the mean) tell messages from reading too badly.
const LEAST_SPREAD: f64 = 0.25;
/// Weight of a reading that took longer than the line says: an engine that was thought idle may have been at work for
/// others, but none reads faster than it can.
const SLOWER_WEIGHT: f64 = 0.2;
/// Bounds of the rate.
const RATE_BOUNDS: (f64, f64) = (1.0, 1_000.0);
/// Readings that peers have not been told of, at most.
const MOST_UNTOLD: usize = 16;
/// Weight of the newest sample.
const NEWEST_WEIGHT: f64 = 0.15;
/// Bounds of an engine's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 10.0);
/// Time in which what an engine's answers told of its slowness counts for half. A slow engine is avoided, so no answer
/// tells when it has recovered: it must come back by itself. Slow phases seen on the platform last some six seconds.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(5);

/// How long a prefill engine that had nothing else to do took for a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptReading {
    /// Tokens that it read.
    pub tokens: f64,
    /// Time in milliseconds, messages and all.
    pub took_ms: f64,
}

/// Readings added up, newer ones with more weight, for a line through them (least squares): its slope is the time for
/// a token, whatever a message takes.
#[derive(Debug, Default)]
struct ReadingLine {
    weight: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    tokens_by_time: f64,
}

impl ReadingLine {
    fn add(&mut self, reading: PromptReading) {
        let PromptReading { tokens, took_ms } = reading;
        let is_slower = self
            .fit()
            .is_some_and(|(at_nothing, per_token)| took_ms > at_nothing + per_token * tokens);
        let weight = if is_slower { SLOWER_WEIGHT } else { 1.0 };
        self.weight = self.weight * OLDER_KEEP + weight;
        self.tokens = self.tokens * OLDER_KEEP + weight * tokens;
        self.time = self.time * OLDER_KEEP + weight * took_ms;
        self.tokens_squared = self.tokens_squared * OLDER_KEEP + weight * tokens * tokens;
        self.tokens_by_time = self.tokens_by_time * OLDER_KEEP + weight * tokens * took_ms;
    }

    /// Time for a prompt of no tokens, and for each token, in milliseconds.
    fn fit(&self) -> Option<(f64, f64)> {
        if self.weight < LEAST_READINGS {
            return None;
        }
        let mean = self.tokens / self.weight;
        let variance = self.tokens_squared / self.weight - mean * mean;
        if variance < (LEAST_SPREAD * mean).powi(2) {
            return None;
        }
        let mean_time = self.time / self.weight;
        let covariance = self.tokens_by_time / self.weight - mean * mean_time;
        let per_token = covariance / variance;
        (per_token > 0.0).then_some((mean_time - per_token * mean, per_token))
    }

    fn tokens_per_ms(&self) -> Option<f64> {
        let (least, most) = RATE_BOUNDS;
        let (_at_nothing, per_token) = self.fit()?;
        Some((1.0 / per_token).clamp(least, most))
    }

    /// What the readings show at the least, messages counted as reading; none before the first.
    fn at_least_tokens_per_ms(&self) -> Option<f64> {
        (self.time > 0.0).then(|| self.tokens / self.time)
    }

    /// What messages need of a reading's time, in milliseconds.
    fn message_ms(&self) -> Option<f64> {
        let (at_nothing, _per_token) = self.fit()?;
        Some(at_nothing.max(0.0))
    }
}

/// How many times longer than expected an engine took, by its answers until a time.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    ratio: f64,
    at: Instant,
}

impl Slowness {
    fn now(self, now: Instant) -> f64 {
        1.0 + (self.ratio - 1.0) * halved_since(self.at, now, SLOWNESS_HALF_LIFE)
    }
}

/// Learned rates.
#[derive(Debug, Default)]
pub struct SpeedTable {
    readings: ReadingLine,
    decode_readings: ReadingLine,
    unpublished: Vec<PromptReading>,
    plain_ms: HashMap<Arc<str>, f64>,
    slowness: HashMap<Arc<str>, Slowness>,
}

impl SpeedTable {
    /// A plain back end answered after this long.
    pub fn record_plain_answer(&mut self, id: &Arc<str>, elapsed_ms: f64) {
        let entry = self.plain_ms.entry(Arc::clone(id)).or_insert(elapsed_ms);
        *entry += NEWEST_WEIGHT * (elapsed_ms - *entry);
    }

    /// An engine was expected to need `expected_ms` and needed `elapsed_ms`.
    pub fn record_engine_answer(
        &mut self,
        id: &Arc<str>,
        expected_ms: f64,
        elapsed_ms: f64,
        now: Instant,
    ) {
        /// Part of each time that does not depend on the engine's speed.
        const FLOOR_MS: f64 = 20.0;
        let ratio = (elapsed_ms + FLOOR_MS) / (expected_ms + FLOOR_MS);
        let (least, most) = SLOWNESS_BOUNDS;
        let sample = ratio.clamp(least, most);
        let before = self.slowness(id, now);
        let ratio = before + NEWEST_WEIGHT * (sample - before);
        let learned = Slowness { ratio, at: now };
        self.slowness.insert(Arc::clone(id), learned);
    }

    /// A prefill engine that had nothing else to do read a prompt that this daemon sent.
    pub fn prompt_read(&mut self, reading: PromptReading) {
        self.readings.add(reading);
        if self.unpublished.len() < MOST_UNTOLD {
            self.unpublished.push(reading);
        }
    }

    /// The same for a prompt that a peer sent.
    pub fn receive(&mut self, reading: PromptReading) {
        self.readings.add(reading);
    }

    /// A decode engine that read nothing else read a prompt that this daemon sent.
    pub fn record_decode_reading(&mut self, reading: PromptReading) {
        self.decode_readings.add(reading);
    }

    /// Own readings since the last call, for telling peers.
    pub fn take_unpublished(&mut self) -> Vec<PromptReading> {
        std::mem::take(&mut self.unpublished)
    }

    /// Prompt tokens that a prefill engine reads in a millisecond.
    #[must_use]
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        self.readings.tokens_per_ms().unwrap_or_else(|| {
            let shown = self.readings.at_least_tokens_per_ms();
            shown.unwrap_or_default().max(DEFAULT_PREFILL_TOKENS_PER_MS)
        })
    }

    /// Prompt tokens that a decode engine reads in a millisecond.
    #[must_use]
    pub fn decode_tokens_per_ms(&self) -> f64 {
        let at_most = self.prefill_tokens_per_ms();
        self.decode_readings
            .tokens_per_ms()
            .map_or(at_most * DECODE_READ_PACE, |rate| rate.min(at_most))
    }

    /// What messages need of the time that a reading takes, in milliseconds.
    #[must_use]
    pub fn message_ms(&self) -> f64 {
        self.readings.message_ms().unwrap_or(DEFAULT_MESSAGE_MS)
    }

    /// Usual time of a plain answer in milliseconds.
    #[must_use]
    pub fn plain_ms(&self, id: &str) -> Option<f64> {
        self.plain_ms.get(id).copied()
    }

    /// How many times longer than expected an engine takes.
    #[must_use]
    pub fn slowness(&self, id: &str, now: Instant) -> f64 {
        self.slowness
            .get(id)
            .map_or(1.0, |learned| learned.now(now))
    }

    /// Forgets back ends for which `keep` is false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.plain_ms.retain(|id, _sample| keep(id));
        self.slowness.retain(|id, _sample| keep(id));
    }
}
