//! Times that prefill engines need for the prompts of a service.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of the newest prompt in the averages.
const NEWEST_WEIGHT: f64 = 0.02;

/// Average times of prompts at a prefill engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptTime {
    mean_s: f64,
    mean_square_s2: f64,
}

impl PromptTime {
    /// Time until a prompt that arrives during the prefill of another one can be processed, on
    /// average, in seconds. Long prompts count more, because more arrivals meet them.
    #[must_use]
    pub fn residual_s(self) -> f64 {
        self.mean_square_s2 / (2.0 * self.mean_s)
    }
}

/// Average times of prompts by service.
#[derive(Debug, Default)]
pub struct PromptTimes {
    by_service: HashMap<Arc<str>, PromptTime>,
}

impl PromptTimes {
    /// Records a prompt that takes a prefill engine `seconds`. Prompts that are cached completely
    /// take no time and delay nobody.
    pub fn record(&mut self, service: &Arc<str>, seconds: f64) {
        if !(seconds.is_finite() && seconds > 0.0) {
            return;
        }
        let sample = PromptTime {
            mean_s: seconds,
            mean_square_s2: seconds * seconds,
        };
        let known = self.by_service.entry(Arc::clone(service)).or_insert(sample);
        known.mean_s += NEWEST_WEIGHT * (sample.mean_s - known.mean_s);
        known.mean_square_s2 += NEWEST_WEIGHT * (sample.mean_square_s2 - known.mean_square_s2);
    }

    /// Average times of the service's prompts; `None` before the first prompt.
    #[must_use]
    pub fn of(&self, service: &str) -> Option<PromptTime> {
        self.by_service.get(service).copied()
    }
}
