//! Times that prefill engines need for the prompts of a service.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of the newest prompt in the averages; the first ones weigh equally.
const NEWEST_WEIGHT: f64 = 0.02;
/// Prompts from which on the averages are used; fewer may all be short ones.
const MIN_PROMPTS: u32 = 20;

/// Average times of prompts at a prefill engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptDuration {
    mean_s: f64,
    mean_square_s2: f64,
    prompts: u32,
}

impl PromptDuration {
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
    by_service: HashMap<Arc<str>, PromptDuration>,
}

impl PromptTimes {
    /// Records a prompt that takes a prefill engine `seconds`. Prompts that are cached completely
    /// take no time and delay nobody.
    pub fn record(&mut self, service: &Arc<str>, seconds: f64) {
        if !(seconds.is_finite() && seconds > 0.0) {
            return;
        }
        let known = self
            .by_service
            .entry(Arc::clone(service))
            .or_insert(PromptDuration {
                mean_s: seconds,
                mean_square_s2: seconds * seconds,
                prompts: 0,
            });
        known.prompts = known.prompts.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(known.prompts));
        known.mean_s += weight * (seconds - known.mean_s);
        known.mean_square_s2 += weight * (seconds * seconds - known.mean_square_s2);
    }

    /// Average times of the service's prompts; `None` while too few are known.
    #[must_use]
    pub fn of(&self, service: &str) -> Option<PromptDuration> {
        let known = self.by_service.get(service).copied();
        known.filter(|known| known.prompts >= MIN_PROMPTS)
    }
}
