//! Cost estimates of candidates. All times in this module are in seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use super::placement::{CandidateEstimate, RouteRequest};
use super::prefix_index::PrefixIndex;
use super::rates::ClassRates;
use super::settings::RouterSettings;
use super::view::{BackEndState, to_float};
use crate::{CellName, EngineRole, MachineId, Timestamp};

/// Sum of the reported loads of the engines of one cell and role.
#[derive(Debug, Clone, Copy, Default)]
struct LoadSum {
    prompt_tokens: f64,
    running: f64,
    engines: f64,
}

impl LoadSum {
    fn add(&mut self, prompt_tokens: f64, running: f64) {
        self.prompt_tokens += prompt_tokens;
        self.running += running;
        self.engines += 1.0;
    }
}

/// Mean loads by cell and role, which the load in an aging digest decays towards.
#[derive(Debug, Default)]
pub(super) struct CellMeans<'a> {
    sums: BTreeMap<(&'a CellName, Option<EngineRole>), LoadSum>,
    /// Over all cells; used for cells without digests, which would otherwise look idle.
    by_role: BTreeMap<Option<EngineRole>, LoadSum>,
}

impl<'a> CellMeans<'a> {
    pub fn add(&mut self, state: &'a BackEndState) {
        let Some(engine) = state.engine() else {
            return;
        };
        let (Some(prompt_tokens), Some(running)) =
            (state.reported_prompt_tokens(), state.reported_running())
        else {
            return;
        };
        let by_cell = self.sums.entry((&engine.cell, engine.role)).or_default();
        by_cell.add(prompt_tokens, running);
        let by_role = self.by_role.entry(engine.role).or_default();
        by_role.add(prompt_tokens, running);
    }

    fn mean_load(&self, state: &BackEndState) -> (f64, f64) {
        let Some(engine) = state.engine() else {
            return (0.0, 0.0);
        };
        let by_cell = self.sums.get(&(&engine.cell, engine.role));
        let sum = by_cell.or_else(|| self.by_role.get(&engine.role));
        sum.map_or((0.0, 0.0), |sum| {
            (sum.prompt_tokens / sum.engines, sum.running / sum.engines)
        })
    }
}

/// Inputs of an estimate other than the candidate.
pub(super) struct Scorer<'a> {
    pub settings: &'a RouterSettings,
    pub now: Timestamp,
    pub request: &'a RouteRequest,
    pub means: CellMeans<'a>,
    pub index: &'a PrefixIndex,
    pub class_rates: &'a ClassRates,
}

/// Expected load of an engine when the request arrives.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedLoad {
    pub prompt_tokens: f64,
    pub running: f64,
}

/// Estimate of one candidate, in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    pub back_end: MachineId,
    pub first_token: f64,
    pub token_interval: f64,
    pub cached_tokens: f64,
    pub digest_age: Option<Duration>,
    /// Penalty for delaying sequences that the same engine decodes.
    pub interference: f64,
    /// Penalty for a nearly full KV cache.
    pub pressure: f64,
    pub output_tokens: f64,
    pub probe: bool,
}

impl Estimate {
    pub fn total(&self) -> f64 {
        self.first_token + self.output_tokens * self.token_interval
    }

    pub fn cost(&self) -> f64 {
        self.total() + self.interference + self.pressure
    }

    pub fn candidate_estimate(&self) -> CandidateEstimate {
        CandidateEstimate {
            back_end: self.back_end,
            first_token: seconds(self.first_token),
            token_interval: seconds(self.token_interval),
            cached_tokens: rounded(self.cached_tokens),
            digest_age: self.digest_age,
            cost: seconds(self.cost()),
            probe: self.probe,
        }
    }
}

impl Scorer<'_> {
    /// Load of an engine: its digest decayed towards the mean of its cell, plus own sends that the
    /// digest does not include yet.
    pub fn expected_load(&self, state: &BackEndState, priority: u8) -> ExpectedLoad {
        let (mean_tokens, mean_running) = self.means.mean_load(state);
        let weight = self.digest_weight(state);
        let tokens = state.reported_prompt_tokens().unwrap_or(mean_tokens);
        let running = state.reported_running().unwrap_or(mean_running);
        let unseen_tokens = state.unseen_prompt_tokens(self.settings, priority);
        let unseen_sequences = state.unseen_sequences(self.settings);
        ExpectedLoad {
            prompt_tokens: weight * tokens + (1.0 - weight) * mean_tokens + unseen_tokens,
            running: weight * running
                + (1.0 - weight) * mean_running
                + to_float(unseen_sequences as u64),
        }
    }

    /// Estimate of an engine that would prefill (`reads_prompt`), decode (`generates`) or both.
    pub fn engine(&self, state: &BackEndState, reads_prompt: bool, generates: bool) -> Estimate {
        let load = self.expected_load(state, self.request.priority);
        let rates = self.class_rates.blended(state);
        let prefill_rate = rates.prefill.value();
        let prompt = f64::from(self.request.prompt_tokens);
        let cached = self.trusted_cached_tokens(state.view.id);
        let own_tokens = if reads_prompt { prompt - cached } else { 0.0 };
        let tokens_before_first = own_tokens
            + if reads_prompt {
                load.prompt_tokens
            } else {
                0.0
            };
        let factor = batch_factor(self.settings, load.running + 1.0);
        let interval = rates.token_interval.value() * factor;
        let stalled = if reads_prompt && generates {
            load.running
        } else {
            0.0
        };
        let output = f64::from(self.request.expected_output_tokens);
        Estimate {
            back_end: state.view.id,
            first_token: self.distance(state) * 2.0 + tokens_before_first / prefill_rate,
            token_interval: interval,
            cached_tokens: if reads_prompt { cached } else { 0.0 },
            digest_age: state
                .digest
                .map(|received| self.now.since(received.received_at)),
            interference: self.settings.interference_weight * stalled * own_tokens / prefill_rate,
            pressure: self.cache_pressure(state),
            output_tokens: if generates { output } else { 0.0 },
            probe: false,
        }
    }

    /// Estimate of a plain back end: its response time multiplied by the number of own requests in
    /// flight.
    pub fn plain(&self, state: &BackEndState) -> Estimate {
        let in_flight = to_float(state.sends.len() as u64) + 1.0;
        let response = self.class_rates.blended(state).response.value();
        Estimate {
            back_end: state.view.id,
            first_token: self.distance(state) * 2.0 + in_flight * response,
            token_interval: 0.0,
            cached_tokens: 0.0,
            digest_age: None,
            interference: 0.0,
            pressure: 0.0,
            output_tokens: 0.0,
            probe: false,
        }
    }

    /// Time to transfer the prompt's KV cache between two engines.
    pub fn transfer(&self, prefill: &BackEndState, decode: &BackEndState) -> f64 {
        let tokens = f64::from(self.request.prompt_tokens);
        let distance = if prefill.view.zone == decode.view.zone {
            0.0
        } else if prefill.view.region == decode.view.region {
            self.settings.zone_distance.as_secs_f64()
        } else {
            self.settings.region_distance.as_secs_f64()
        };
        let per_token = self.settings.transfer_per_token.as_secs_f64();
        self.settings.transfer_fixed.as_secs_f64() + 2.0 * distance + tokens * per_token
    }

    /// Estimated cached tokens, weighted by the trust. At least one prompt token is never cached.
    pub fn trusted_cached_tokens(&self, engine: MachineId) -> f64 {
        let matched = self
            .index
            .matched_tokens(engine, &self.request.prefix_blocks);
        let bounded = matched.min(self.request.prompt_tokens.saturating_sub(1));
        f64::from(bounded) * self.index.trust(engine)
    }

    fn digest_weight(&self, state: &BackEndState) -> f64 {
        let Some(received) = state.digest else {
            return 0.0;
        };
        let age = self.now.since(received.received_at).as_secs_f64();
        let half_life = self.settings.digest_half_life.as_secs_f64();
        (-age / half_life).exp2()
    }

    fn distance(&self, state: &BackEndState) -> f64 {
        if state.view.zone == self.request.caller_zone {
            0.0
        } else if state.view.region == self.request.caller_region {
            self.settings.zone_distance.as_secs_f64()
        } else {
            self.settings.region_distance.as_secs_f64()
        }
    }

    fn cache_pressure(&self, state: &BackEndState) -> f64 {
        let threshold = f64::from(self.settings.cache_pressure_permille);
        let Some(received) = state.digest else {
            return 0.0;
        };
        let over = f64::from(received.digest.cache_used_permille) - threshold;
        let span = (1_000.0 - threshold).max(1.0);
        (over / span).clamp(0.0, 1.0) * self.settings.cache_pressure_penalty.as_secs_f64()
    }
}

/// Ratio of the time between tokens to that of an idle engine.
pub(super) fn batch_factor(settings: &RouterSettings, running: f64) -> f64 {
    1.0 + running / settings.batch_of_double_interval
}

/// Converts seconds to a duration; negative, non-finite or too large values become zero.
pub(super) fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::ZERO)
}

fn rounded(value: f64) -> u32 {
    value.max(0.0).round() as u32
}
