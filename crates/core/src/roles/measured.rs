//! Measures the capacity of a model's engines.

use super::capacity::EngineCapacity;
use super::sample::EngineSample;
use crate::EngineRole;
use crate::routing::MovingAverage;

/// Minimum number of running sequences for a measurement of the decode step duration.
const MINIMUM_SEQUENCES: u32 = 4;
/// Minimum number of requests that must wait throughout a window for the prefill rate to count as
/// the engine's limit.
const MINIMUM_WAITING: u32 = 2;
/// Weight of the assumed capacity, as a number of observations.
const PRIOR_OBSERVATIONS: f64 = 5.0;
/// Bounds the ratio of measured to assumed capacity, in either direction.
const MAXIMUM_FACTOR: f64 = 10.0;

/// Assumed capacity, corrected by factors measured on dedicated engines.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeasuredCapacity {
    assumed: EngineCapacity,
    prefill: MovingAverage,
    step: MovingAverage,
}

impl MeasuredCapacity {
    pub const fn new(assumed: EngineCapacity) -> Self {
        Self {
            assumed,
            prefill: MovingAverage::assumed(1.0),
            step: MovingAverage::assumed(1.0),
        }
    }

    /// Updates the factors from dedicated engines only. How a mixed engine divides its time between
    /// prefill and decode is unknown.
    pub fn observe(&mut self, sample: &EngineSample) {
        let window = sample.window.as_secs_f64();
        match sample.role {
            EngineRole::Prefill if sample.waiting >= MINIMUM_WAITING => {
                let rate = sample.prompt_tokens as f64 / window;
                observe(
                    &mut self.prefill,
                    rate / self.assumed.prefill_tokens_per_second,
                );
            }
            EngineRole::Decode
                if sample.running >= MINIMUM_SEQUENCES && sample.output_tokens > 0 =>
            {
                let running = f64::from(sample.running);
                let step = window * running / sample.output_tokens as f64;
                let expected = self.assumed.decode_base_seconds
                    + self.assumed.decode_sequence_seconds * running;
                observe(&mut self.step, step / expected);
            }
            _ => {}
        }
    }

    pub fn capacity(&self) -> EngineCapacity {
        let prefill = shrink_to_prior(self.prefill);
        let step = shrink_to_prior(self.step);
        EngineCapacity {
            prefill_tokens_per_second: self.assumed.prefill_tokens_per_second * prefill,
            decode_base_seconds: self.assumed.decode_base_seconds * step,
            decode_sequence_seconds: self.assumed.decode_sequence_seconds * step,
            ..self.assumed
        }
    }
}

fn observe(average: &mut MovingAverage, factor: f64) {
    if factor.is_finite() {
        average.observe(factor.clamp(1.0 / MAXIMUM_FACTOR, MAXIMUM_FACTOR));
    }
}

/// The measured factor, weighted against the assumed factor of 1 by the number of observations.
fn shrink_to_prior(average: MovingAverage) -> f64 {
    let observed = average.observations() as f64;
    (average.value() * observed + PRIOR_OBSERVATIONS) / (observed + PRIOR_OBSERVATIONS)
}
