//! Arrival rates of prompts by service and stage.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::MS_PER_S;
use super::work::{AVERAGING_TIME_S, average_decay};
use crate::configuration::Stage;

#[derive(Debug)]
struct Rates {
    /// Prompts per second processed by prefill engines.
    prefill: f64,
    /// Prompts per second processed by decode engines.
    decode: f64,
    at: Instant,
}

impl Rates {
    fn decay(&mut self, now: Instant) {
        let kept = average_decay(self.at, now);
        self.prefill *= kept;
        self.decode *= kept;
        self.at = now;
    }
}

/// Exponentially weighted arrival rates of the prompts that this daemon sends, by service.
#[derive(Debug, Default)]
pub struct Arrivals {
    by_service: HashMap<Arc<str>, Rates>,
}

impl Arrivals {
    /// Records a prompt that is processed at stage `reader`.
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
            Stage::Prefill => rates.prefill += 1.0 / AVERAGING_TIME_S,
            Stage::Decode => rates.decode += 1.0 / AVERAGING_TIME_S,
        }
    }

    /// Rate of this daemon's prompts processed at stage `reader`, per millisecond, as of the last
    /// arrival.
    #[must_use]
    pub fn per_ms(&self, service: &str, reader: Stage) -> f64 {
        let rates = self.by_service.get(service);
        let per_s = rates.map_or(0.0, |rates| match reader {
            Stage::Prefill => rates.prefill,
            Stage::Decode => rates.decode,
        });
        per_s / MS_PER_S
    }

    /// Rates of this daemon's prompts per second by service: processed by prefill engines, and by
    /// decode engines.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> Vec<(Arc<str>, f64, f64)> {
        let rates = self.by_service.iter().map(|(service, rates)| {
            let kept = average_decay(rates.at, now);
            (
                Arc::clone(service),
                rates.prefill * kept,
                rates.decode * kept,
            )
        });
        rates.collect()
    }
}
