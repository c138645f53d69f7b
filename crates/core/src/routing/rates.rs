//! Service rates of back ends, learned from this daemon's observations.

use std::collections::BTreeMap;
use std::time::Duration;

use super::settings::RouterSettings;
use super::view::{BackEndKind, BackEndState};
use crate::{EngineRole, ModelName, PoolName};

/// Weight of a new observation in a [`MovingAverage`].
const NEW_OBSERVATION_WEIGHT: f64 = 0.2;
/// Observations are clamped to this factor above or below the current average.
const MAX_STEP_FACTOR: f64 = 4.0;
/// Weight of the class average in a blended average, in observations.
const CLASS_WEIGHT: f64 = 3.0;
/// Upper bound of the weight of a back end's own average in a blended average, in observations.
const MAX_OWN_OBSERVATIONS: u64 = 100;
/// Lower bound of elapsed times, which keeps the computed rates finite.
const MIN_MEASURED_SECONDS: f64 = 0.000_1;

/// Exponentially weighted moving average of a positive quantity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MovingAverage {
    value: f64,
    observations: u64,
}

impl MovingAverage {
    /// Creates an average with an assumed value and no observations.
    #[must_use]
    pub const fn assumed(value: f64) -> Self {
        Self {
            value,
            observations: 0,
        }
    }

    /// The current estimate.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// Number of observations.
    #[must_use]
    pub const fn observations(&self) -> u64 {
        self.observations
    }

    /// This average blended with that of its class, which dominates while observations are few.
    #[must_use]
    pub fn blended(&self, class_average: Self) -> Self {
        let own = self.observations.min(MAX_OWN_OBSERVATIONS);
        let own_weight = f64::from(u32::try_from(own).unwrap_or(u32::MAX));
        let sum = own_weight * self.value + CLASS_WEIGHT * class_average.value;
        Self {
            value: sum / (own_weight + CLASS_WEIGHT),
            observations: self.observations,
        }
    }

    /// Adds an observation. Values that are not finite and positive are ignored.
    pub fn observe(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        self.observations += 1;
        if self.observations == 1 {
            self.value = sample;
            return;
        }
        let bounded = sample.clamp(self.value / MAX_STEP_FACTOR, self.value * MAX_STEP_FACTOR);
        self.value += NEW_OBSERVATION_WEIGHT * (bounded - self.value);
    }
}

/// Learned rates of a back end or of a class of back ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRates {
    /// Prompt tokens prefilled per second.
    pub prefill: MovingAverage,
    /// Seconds between tokens, normalized to an otherwise idle engine.
    pub token_interval: MovingAverage,
    /// Seconds from the request to the end of the answer of a plain back end.
    pub response: MovingAverage,
}

impl EngineRates {
    /// Initial rates from the settings, without observations.
    #[must_use]
    pub fn assumed(settings: &RouterSettings) -> Self {
        let interval = settings.initial_token_interval.as_secs_f64();
        let response = settings.initial_response_time.as_secs_f64();
        Self {
            prefill: MovingAverage::assumed(settings.initial_prefill_rate),
            token_interval: MovingAverage::assumed(interval),
            response: MovingAverage::assumed(response),
        }
    }

    /// Adds an observation of the time to the first token.
    ///
    /// `tokens` is the number of prompt tokens to prefill until then, as estimated when the request
    /// was sent: the queued tokens and the request's own.
    pub fn observe_first_token(&mut self, tokens: f64, elapsed: Duration) {
        self.prefill.observe(tokens / measured_seconds(elapsed));
    }

    /// Adds an observation of the time between the first and the last token of a sequence.
    pub fn observe_decode(&mut self, tokens: u32, batch_factor: f64, elapsed: Duration) {
        if tokens < 2 {
            return;
        }
        let interval = elapsed.as_secs_f64() / f64::from(tokens - 1);
        self.token_interval.observe(interval / batch_factor);
    }

    /// Adds an observation of the response time of a plain back end.
    pub fn observe_response(&mut self, elapsed: Duration) {
        self.response.observe(measured_seconds(elapsed));
    }

    /// These rates blended with those of their class, which dominate while observations are few.
    #[must_use]
    pub fn blended(&self, class_rates: &Self) -> Self {
        Self {
            prefill: self.prefill.blended(class_rates.prefill),
            token_interval: self.token_interval.blended(class_rates.token_interval),
            response: self.response.blended(class_rates.response),
        }
    }
}

fn measured_seconds(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64().max(MIN_MEASURED_SECONDS)
}

/// Class of back ends that are expected to have similar rates.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum RateClass {
    Engine(Option<ModelName>, Option<EngineRole>),
    Plain(PoolName),
}

impl RateClass {
    fn of(state: &BackEndState) -> Self {
        match &state.view.kind {
            BackEndKind::Engine(engine) => Self::Engine(engine.model.clone(), engine.role),
            BackEndKind::Plain { pool } => Self::Plain(pool.clone()),
        }
    }
}

/// Average rates per model and role, and per pool.
///
/// In a large fleet a daemon rarely sends to the same engine, so observations of similar engines
/// also contribute to the estimate of each one.
#[derive(Debug, Clone)]
pub(super) struct ClassRates {
    assumed: EngineRates,
    classes: BTreeMap<RateClass, EngineRates>,
}

impl ClassRates {
    pub const fn new(assumed: EngineRates) -> Self {
        Self {
            assumed,
            classes: BTreeMap::new(),
        }
    }

    pub fn entry(&mut self, state: &BackEndState) -> &mut EngineRates {
        let assumed = self.assumed;
        self.classes.entry(RateClass::of(state)).or_insert(assumed)
    }

    pub fn blended(&self, state: &BackEndState) -> EngineRates {
        let class_rates = self
            .classes
            .get(&RateClass::of(state))
            .unwrap_or(&self.assumed);
        state.rates.blended(class_rates)
    }
}
