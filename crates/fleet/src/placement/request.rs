//! What a placement decision is asked for, and its answer.

use std::sync::Arc;
use std::time::Duration;

use super::{MS_PER_S, StreamNeeds, Urgency, reading};
use crate::configuration::EngineTraits;
use crate::directory::BackEnd;
use crate::prompt::Prompt;

/// Latency targets of a request.
#[derive(Debug, Clone, Copy)]
pub struct LatencyTargets {
    /// Target time to the first event.
    pub latency: Duration,
    /// Longest acceptable gap between two events, if the route sets one.
    pub gap: Option<Duration>,
}

impl LatencyTargets {
    pub(super) fn latency_ms(self) -> f64 {
        self.latency.as_secs_f64() * MS_PER_S
    }
}

/// Input of [`Placement::plan_prompt`].
#[derive(Debug, Clone, Copy)]
pub struct PromptRequest<'a> {
    /// Prompt to place.
    pub prompt: &'a Prompt,
    /// Latency targets of the answer.
    pub latency_targets: LatencyTargets,
    /// Properties of the service's engines.
    pub traits: &'a EngineTraits,
    /// Whether the request can still meet its target; decides which queued work it waits for.
    pub urgency: Urgency,
    /// Size of the request body, which is sent once to each chosen engine.
    pub body_bytes: usize,
    /// Needs of the answer as a stream; `None` without a target gap.
    pub stream: Option<StreamNeeds>,
}

/// Input of [`Placement::choose_decode_after_prefill`].
#[derive(Debug, Clone, Copy, Default)]
pub struct DecodeRequest<'a> {
    /// Prompt to continue.
    pub prompt: Option<&'a Prompt>,
    /// Engine that holds the KV cache, if it is known.
    pub hand_over: Option<HandOver<'a>>,
    /// Needs of the answer as a stream; `None` without a target gap.
    pub stream: Option<StreamNeeds>,
}

/// A prompt that one engine has processed and another is to continue.
#[derive(Debug, Clone, Copy)]
pub struct HandOver<'a> {
    /// Engine that processed the prompt and holds its KV cache.
    pub reader: &'a BackEnd,
    /// Transfer time of the prompt's KV cache to another engine in the reader's zone, in
    /// milliseconds.
    pub transfer_ms: f64,
}

impl<'a> HandOver<'a> {
    /// Describes the handover of `prompt` after `reader` has processed it.
    #[must_use]
    pub fn of(prompt: &Prompt, reader: &'a BackEnd, traits: &EngineTraits) -> Self {
        Self {
            reader,
            transfer_ms: reading::transfer_ms(traits, prompt.input_tokens),
        }
    }

    pub(super) fn engines_in_reader_zone(self, engines: &[Arc<BackEnd>]) -> Vec<Arc<BackEnd>> {
        let in_zone = engines
            .iter()
            .filter(|engine| engine.zone == self.reader.zone);
        in_zone.cloned().collect()
    }

    /// Additional transfer time to `engine` compared with an engine in the reader's zone, in
    /// milliseconds.
    pub(super) fn extra_transfer_ms(self, engine: &BackEnd) -> f64 {
        if engine.zone == self.reader.zone {
            0.0
        } else {
            self.transfer_ms * (reading::OTHER_ZONE_TRANSFER_FACTOR - 1.0)
        }
    }
}

/// Engines chosen for a prompt.
#[derive(Debug, Clone)]
pub struct PromptPlan {
    /// Prefill engine; `None` if the decode engine processes the prompt itself.
    pub prefill: Option<Arc<BackEnd>>,
    /// Decode engine.
    pub decode: Arc<BackEnd>,
    /// Engine from which the reader fetches the cached prefix instead of processing it.
    pub fetch_from: Option<Arc<BackEnd>>,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Expected time to fetch the prefix, in milliseconds.
    pub fetch_ms: f64,
    /// Expected number of prompt tokens to process.
    pub tokens_to_read: f64,
}

impl PromptPlan {
    /// Plan for a request that does not describe its prompt.
    #[must_use]
    pub const fn unknown(decode: Arc<BackEnd>) -> Self {
        Self {
            prefill: None,
            decode,
            fetch_from: None,
            expected_ms: 0.0,
            fetch_ms: 0.0,
            tokens_to_read: 0.0,
        }
    }

    /// Expected time to the first event.
    #[must_use]
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms / MS_PER_S)
    }
}
