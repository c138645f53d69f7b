//! Learned service times per service, used by admission control.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{ServiceName, Timestamp};

/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prompt tokens prefilled in roughly the time needed to generate one token of a sequence.
const PROMPT_TOKENS_PER_UNIT: f64 = 256.0;

/// Work of a request, in units of one generated token. Prompt tokens count for a fraction of a
/// unit.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct WorkUnits(f64);

impl WorkUnits {
    /// Work of a request of unknown size.
    pub const ONE: Self = Self(1.0);

    /// The work of a completion.
    #[must_use]
    pub fn of_completion(prompt_tokens: u32, output_tokens: u32) -> Self {
        let prefill_units = f64::from(prompt_tokens) / PROMPT_TOKENS_PER_UNIT;
        Self((prefill_units + f64::from(output_tokens)).max(1.0))
    }
}

/// Age at which an average is ignored. Without this limit, an estimate so large that all requests
/// of the service are refused would never be corrected by a new sample.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct Average {
    seconds_per_unit: f64,
    observed_at: Timestamp,
}

/// Moving averages of the time per unit of work, by service.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    averages: IndexMap<ServiceName, Average>,
}

impl ServiceTimes {
    /// Expected service time of a request; zero without a recent sample.
    #[must_use]
    pub fn expected(&self, now: Timestamp, service: &ServiceName, work: WorkUnits) -> Duration {
        let is_recent = |average: &&Average| now.since(average.observed_at) <= MAX_SAMPLE_AGE;
        let average = self.averages.get(service).filter(is_recent);
        let seconds = average.map_or(0.0, |average| average.seconds_per_unit);
        Duration::from_secs_f64(seconds * work.0)
    }

    /// Adds a sample from a successful request.
    pub fn observe(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        work: WorkUnits,
        elapsed: Duration,
    ) {
        let sample = elapsed.as_secs_f64() / work.0;
        let first = Average {
            seconds_per_unit: sample,
            observed_at: now,
        };
        let average = self.averages.entry(service.clone()).or_insert(first);
        if now.since(average.observed_at) > MAX_SAMPLE_AGE {
            *average = first;
        }
        average.seconds_per_unit += SAMPLE_WEIGHT * (sample - average.seconds_per_unit);
        average.observed_at = now;
    }

    /// Removes services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.averages.retain(|service, _| keep(service));
    }
}
