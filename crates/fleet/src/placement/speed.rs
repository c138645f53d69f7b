//! Rates learned from what back ends do.

use std::collections::HashMap;
use std::sync::Arc;

/// Prompt tokens that a prefill engine is taken to read in a millisecond until one has been seen.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 30.0;
/// A decode engine reads prompts at this share of a prefill engine's pace.
const DECODE_READ_SHARE: f64 = 0.5;
/// Weight of the newest sample.
const NEWEST_WEIGHT: f64 = 0.15;
/// Bounds of an engine's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 10.0);
/// Fewest tokens from which a rate is learned; below, messages take most of the time.
const LEAST_TOKENS: f64 = 1500.0;

/// Learned rates.
#[derive(Debug, Default)]
pub struct SpeedTable {
    prefill_tokens_per_ms: Option<f64>,
    plain_ms: HashMap<Arc<str>, f64>,
    slowness: HashMap<Arc<str>, f64>,
}

impl SpeedTable {
    /// A plain back end answered after this long.
    pub fn plain_answered(&mut self, id: &Arc<str>, elapsed_ms: f64) {
        let entry = self.plain_ms.entry(Arc::clone(id)).or_insert(elapsed_ms);
        *entry += NEWEST_WEIGHT * (elapsed_ms - *entry);
    }

    /// An engine was expected to need `expected_ms` and needed `elapsed_ms`.
    pub fn engine_answered(&mut self, id: &Arc<str>, expected_ms: f64, elapsed_ms: f64) {
        /// Part of each time that does not depend on the engine's speed.
        const FLOOR_MS: f64 = 20.0;
        let ratio = (elapsed_ms + FLOOR_MS) / (expected_ms + FLOOR_MS);
        let (least, most) = SLOWNESS_BOUNDS;
        let sample = ratio.clamp(least, most);
        let entry = self.slowness.entry(Arc::clone(id)).or_insert(1.0);
        *entry += NEWEST_WEIGHT * (sample - *entry);
    }

    /// A prefill engine that had nothing else to do read `tokens` in `elapsed_ms`.
    pub fn prompt_read(&mut self, tokens: f64, elapsed_ms: f64) {
        if tokens < LEAST_TOKENS || elapsed_ms <= 0.0 {
            return;
        }
        let sample = tokens / elapsed_ms;
        let entry = self.prefill_tokens_per_ms.get_or_insert(sample);
        *entry += NEWEST_WEIGHT * (sample - *entry);
    }

    /// Prompt tokens that a prefill engine reads in a millisecond.
    #[must_use]
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        self.prefill_tokens_per_ms
            .unwrap_or(DEFAULT_PREFILL_TOKENS_PER_MS)
    }

    /// Prompt tokens that a decode engine reads in a millisecond.
    #[must_use]
    pub fn decode_tokens_per_ms(&self) -> f64 {
        self.prefill_tokens_per_ms() * DECODE_READ_SHARE
    }

    /// Usual time of a plain answer in milliseconds.
    #[must_use]
    pub fn plain_ms(&self, id: &str) -> Option<f64> {
        self.plain_ms.get(id).copied()
    }

    /// How many times longer than expected an engine takes.
    #[must_use]
    pub fn slowness(&self, id: &str) -> f64 {
        self.slowness.get(id).copied().unwrap_or(1.0)
    }

    /// Forgets back ends for which `keep` is false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.plain_ms.retain(|id, _sample| keep(id));
        self.slowness.retain(|id, _sample| keep(id));
    }
}
