//! Cost model of an engine. Pure; also used by the discrete-event experiment.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Shortest time of one step.
const SHORTEST_STEP: Duration = Duration::from_millis(1);

/// What work costs on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CostModel {
    /// Prompt tokens read a second.
    pub prefill_tokens_per_second: f64,
    /// Most prompt tokens read in one step.
    pub step_prefill_tokens: u32,
    /// Seconds of a decode step without any sequence.
    pub decode_base_seconds: f64,
    /// Seconds that each sequence adds to a decode step.
    pub decode_sequence_seconds: f64,
    /// Most sequences at once.
    pub maximum_sequences: usize,
    /// Tokens that the KV cache holds.
    pub kv_cache_tokens: u64,
    /// Blocks that the prefix cache holds.
    pub prefix_cache_blocks: usize,
    /// Seconds to import the KV cache of one token.
    pub import_token_seconds: f64,
    /// Seconds of a role change.
    pub role_change_seconds: f64,
    /// Seconds to load a model once its weights are here.
    pub model_load_seconds: f64,
    /// Seconds to change the adapters of a model.
    pub adapter_load_seconds: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000.0,
            step_prefill_tokens: 2_048,
            decode_base_seconds: 0.020,
            decode_sequence_seconds: 0.000_25,
            maximum_sequences: 128,
            kv_cache_tokens: 200_000,
            prefix_cache_blocks: 8_192,
            import_token_seconds: 0.000_02,
            role_change_seconds: 4.0,
            model_load_seconds: 10.0,
            adapter_load_seconds: 0.5,
        }
    }
}

impl CostModel {
    /// Time of one step that reads `prefill_tokens` and decodes `sequences`.
    #[must_use]
    pub fn step_time(&self, prefill_tokens: u32, sequences: usize) -> Duration {
        let prefill = f64::from(prefill_tokens) / self.prefill_tokens_per_second;
        let decode = match sequences {
            0 => 0.0,
            many => self.decode_base_seconds + self.decode_sequence_seconds * many as f64,
        };
        seconds(prefill + decode).max(SHORTEST_STEP)
    }

    /// Time to import the KV cache of `tokens`.
    #[must_use]
    pub fn import_time(&self, tokens: u32) -> Duration {
        seconds(self.import_token_seconds * f64::from(tokens))
    }

    /// Time of a change, without the transfer of weights.
    #[must_use]
    pub fn change_time(&self, role_changes: bool, model: ModelChange) -> Duration {
        let role = if role_changes {
            self.role_change_seconds
        } else {
            0.0
        };
        let load = match model {
            ModelChange::None => 0.0,
            ModelChange::Adapters => self.adapter_load_seconds,
            ModelChange::Model => self.model_load_seconds,
        };
        seconds(role + load)
    }
}

/// How much of the model changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelChange {
    /// Nothing.
    None,
    /// Only adapters.
    Adapters,
    /// The model or its version.
    Model,
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
