//! How often prompts come to the engines of a stage.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::MS_PER_S;
use super::work::{AVERAGED_S, kept_since};
use crate::configuration::Stage;

#[derive(Debug)]
struct Rates {
    /// Prompts a second that prefill engines read.
    prefill: f64,
    /// Prompts a second that decode engines read.
    decode: f64,
    at: Instant,
}

impl Rates {
    fn decay(&mut self, now: Instant) {
        let kept = kept_since(self.at, now);
        self.prefill *= kept;
        self.decode *= kept;
        self.at = now;
    }
}

/// Prompts that this daemon sends, by service, averaged with exponential weights.
#[derive(Debug, Default)]
pub struct Arrivals {
    by_service: HashMap<Arc<str>, Rates>,
}

impl Arrivals {
    /// A prompt goes to an engine of this stage.
    pub fn add(&mut self, service: &Arc<str>, reader: Stage, now: Instant) {
        let rates = self
            .by_service
            .entry(Arc::clone(service))
            .or_insert_with(|| Rates {
                prefill: 0.0,
                decode: 0.0,
                at: now,
            });
        rates.decay(now);
        match reader {
            Stage::Prefill => rates.prefill += 1.0 / AVERAGED_S,
            Stage::Decode => rates.decode += 1.0 / AVERAGED_S,
        }
    }

    /// Prompts of this daemon that the engines of a stage read, in a millisecond; as of the last arrival.
    #[must_use]
    pub fn per_ms(&self, service: &str, reader: Stage) -> f64 {
        let rates = self.by_service.get(service);
        let per_s = rates.map_or(0.0, |rates| match reader {
            Stage::Prefill => rates.prefill,
            Stage::Decode => rates.decode,
        });
        per_s / MS_PER_S
    }
}
