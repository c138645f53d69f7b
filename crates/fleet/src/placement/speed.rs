//! Learns processing speeds from the response times of back ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::work::half_life_decay;
use crate::stages::DECODE_READ_SPEED_RATIO;

/// Assumed prefill speed before the first measurement.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 30.0;
/// Assumed messaging overhead of a prefill until the regression provides one, in milliseconds.
const DEFAULT_MESSAGE_OVERHEAD_MS: f64 = 10.0;
/// Minimum total weight of measurements for the regression.
const MIN_READINGS: f64 = 6.0;
/// Factor by which the weight of older measurements decays with each new one.
const DECAY_PER_READING: f64 = 0.99;
/// Minimum standard deviation of the prompt lengths, relative to their mean. Below it the
/// regression cannot separate messaging overhead from prefill time.
const MIN_RELATIVE_SPREAD: f64 = 0.25;
/// Weight of a measurement above the regression line. The engine may have been busy with requests
/// of other daemons, whereas no engine is faster than its actual speed.
const SLOW_READING_WEIGHT: f64 = 0.2;
/// Lower and upper bound of the learned speed, in tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (1.0, 1_000.0);
/// Maximum number of measurements that wait to be published.
const MAX_UNPUBLISHED: usize = 16;
/// Weight of the newest sample in a moving average.
const NEWEST_WEIGHT: f64 = 0.15;
/// Lower and upper bound of a slowness sample.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 10.0);
/// Half-life of learned slowness. A slow engine gets no requests that could show its recovery, so
/// the slowness must decay by itself. Slow phases of engines last about six seconds.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(5);

/// Time that an otherwise idle engine took to process a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptReading {
    /// Prompt tokens processed.
    pub tokens: f64,
    /// Elapsed time including messaging overhead, in milliseconds.
    pub took_ms: f64,
}

/// Weighted least-squares line through the measurements: the slope is the time per token, the
/// intercept the messaging overhead. Newer measurements weigh more.
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
        let is_slower = self.fit().is_some_and(|(intercept_ms, ms_per_token)| {
            took_ms > intercept_ms + ms_per_token * tokens
        });
        let weight = if is_slower { SLOW_READING_WEIGHT } else { 1.0 };
        self.weight = self.weight * DECAY_PER_READING + weight;
        self.tokens = self.tokens * DECAY_PER_READING + weight * tokens;
        self.time = self.time * DECAY_PER_READING + weight * took_ms;
        self.tokens_squared = self.tokens_squared * DECAY_PER_READING + weight * tokens * tokens;
        self.tokens_by_time = self.tokens_by_time * DECAY_PER_READING + weight * tokens * took_ms;
    }

    /// Intercept in milliseconds and slope in milliseconds per token; `None` if there is too little
    /// data.
    fn fit(&self) -> Option<(f64, f64)> {
        if self.weight < MIN_READINGS {
            return None;
        }
        let mean = self.tokens / self.weight;
        let variance = self.tokens_squared / self.weight - mean * mean;
        if variance < (MIN_RELATIVE_SPREAD * mean).powi(2) {
            return None;
        }
        let mean_time = self.time / self.weight;
        let covariance = self.tokens_by_time / self.weight - mean * mean_time;
        let ms_per_token = covariance / variance;
        (ms_per_token > 0.0).then_some((mean_time - ms_per_token * mean, ms_per_token))
    }

    fn tokens_per_ms(&self) -> Option<f64> {
        let (min, max) = RATE_BOUNDS;
        let (_at_nothing, ms_per_token) = self.fit()?;
        Some((1.0 / ms_per_token).clamp(min, max))
    }

    /// Lower bound of the speed, with the messaging overhead counted as prefill time; `None` before
    /// the first measurement.
    fn lower_bound_tokens_per_ms(&self) -> Option<f64> {
        (self.time > 0.0).then(|| self.tokens / self.time)
    }

    /// Messaging overhead of a prefill, in milliseconds.
    fn message_overhead_ms(&self) -> Option<f64> {
        let (intercept_ms, _per_token) = self.fit()?;
        Some(intercept_ms.max(0.0))
    }
}

/// Slowdown factor of an engine, as measured at `at`.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    ratio: f64,
    at: Instant,
}

impl Slowness {
    fn now(self, now: Instant) -> f64 {
        1.0 + (self.ratio - 1.0) * half_life_decay(self.at, now, SLOWNESS_HALF_LIFE)
    }
}

/// Learned speeds of back ends.
#[derive(Debug, Default)]
pub struct SpeedTable {
    readings: ReadingLine,
    decode_readings: ReadingLine,
    unpublished: Vec<PromptReading>,
    plain_ms: HashMap<Arc<str>, f64>,
    slowness: HashMap<Arc<str>, Slowness>,
}

impl SpeedTable {
    /// Records the response time of a plain back end.
    pub fn record_plain_answer(&mut self, id: &Arc<str>, elapsed_ms: f64) {
        let entry = self.plain_ms.entry(Arc::clone(id)).or_insert(elapsed_ms);
        *entry += NEWEST_WEIGHT * (elapsed_ms - *entry);
    }

    /// Records the expected and the actual response time of an engine.
    pub fn record_engine_answer(
        &mut self,
        id: &Arc<str>,
        expected_ms: f64,
        elapsed_ms: f64,
        now: Instant,
    ) {
        /// Part of each response time that does not depend on the engine's speed.
        const FLOOR_MS: f64 = 20.0;
        let ratio = (elapsed_ms + FLOOR_MS) / (expected_ms + FLOOR_MS);
        let (min, max) = SLOWNESS_BOUNDS;
        let sample = ratio.clamp(min, max);
        let before = self.slowness(id, now);
        let ratio = before + NEWEST_WEIGHT * (sample - before);
        let learned = Slowness { ratio, at: now };
        self.slowness.insert(Arc::clone(id), learned);
    }

    /// Records a prefill of a prompt sent by this daemon at an otherwise idle prefill engine.
    pub fn prompt_read(&mut self, reading: PromptReading) {
        self.readings.add(reading);
        if self.unpublished.len() < MAX_UNPUBLISHED {
            self.unpublished.push(reading);
        }
    }

    /// Records a prefill measurement published by a peer.
    pub fn receive(&mut self, reading: PromptReading) {
        self.readings.add(reading);
    }

    /// Records a prefill of a prompt sent by this daemon at a decode engine without other prompts.
    pub fn record_decode_reading(&mut self, reading: PromptReading) {
        self.decode_readings.add(reading);
    }

    /// Measurements recorded by [`Self::prompt_read`] since the last call, to be published to
    /// peers.
    pub fn take_unpublished(&mut self) -> Vec<PromptReading> {
        std::mem::take(&mut self.unpublished)
    }

    /// Prefill speed of a prefill engine, in tokens per millisecond.
    #[must_use]
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        self.readings.tokens_per_ms().unwrap_or_else(|| {
            let lower_bound = self.readings.lower_bound_tokens_per_ms();
            lower_bound
                .unwrap_or_default()
                .max(DEFAULT_PREFILL_TOKENS_PER_MS)
        })
    }

    /// Prefill speed of a decode engine, in tokens per millisecond.
    #[must_use]
    pub fn decode_tokens_per_ms(&self) -> f64 {
        let at_most = self.prefill_tokens_per_ms();
        self.decode_readings
            .tokens_per_ms()
            .map_or(at_most * DECODE_READ_SPEED_RATIO, |rate| rate.min(at_most))
    }

    /// Messaging overhead of a prefill, in milliseconds.
    #[must_use]
    pub fn message_overhead_ms(&self) -> f64 {
        self.readings
            .message_overhead_ms()
            .unwrap_or(DEFAULT_MESSAGE_OVERHEAD_MS)
    }

    /// Average response time of a plain back end, in milliseconds; `None` before its first answer.
    #[must_use]
    pub fn plain_ms(&self, id: &str) -> Option<f64> {
        self.plain_ms.get(id).copied()
    }

    /// Slowdown factor of an engine; 1 if nothing is known.
    #[must_use]
    pub fn slowness(&self, id: &str, now: Instant) -> f64 {
        self.slowness
            .get(id)
            .map_or(1.0, |learned| learned.now(now))
    }

    /// Removes back ends for which `keep` returns false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.plain_ms.retain(|id, _sample| keep(id));
        self.slowness.retain(|id, _sample| keep(id));
    }
}
