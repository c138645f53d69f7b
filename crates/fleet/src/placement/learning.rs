//! Learns the speed of each back end from the times of its answers.
//!
//! A time is compared with the one that an average back end of the service would take with the same
//! work: the work of the request and that which was known to be there before it.

use std::time::{Duration, Instant};

use super::{MS_PER_S, Placement, PromptReading};
use crate::configuration::Stage;
use crate::directory::BackEnd;
use crate::profiles::{Sample, WorkKind};

/// Prompts that an average engine processes in less time than this show nothing of an engine's
/// speed, in milliseconds.
const MIN_PREFILL_MS: f64 = 2.0;

/// Share of the prompt tokens ahead that may have been processed before the request arrived: on
/// average half of a prompt that an engine has started.
const UNCERTAIN_SHARE_AHEAD: f64 = 0.5;

/// How long a prompt took at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptTime {
    /// Prompt tokens processed.
    pub tokens: f64,
    /// Prompt tokens of other requests that were known to be processed before.
    pub tokens_ahead: f64,
    /// Measured time without the transfer of a cached prefix, in milliseconds.
    pub took_ms: f64,
}

impl Placement {
    /// Learns from the gap between two events of a stream at an engine that was not known to process
    /// prompts and generated `streams` streams.
    pub fn learn_gap(&mut self, engine: &BackEnd, streams: f64, gap: Duration, now: Instant) {
        if !self.profiles.is_enabled() {
            return;
        }
        let streams = streams.max(1.0);
        let service = &engine.service;
        let factor = self.profiles.factor(engine, WorkKind::Decode, now);
        if let Some(expected_ms) = self.streams.gap_ms(service, streams) {
            let sample = Sample {
                kind: WorkKind::Decode,
                expected_ms,
                took_ms: gap.as_secs_f64() * MS_PER_S,
            };
            self.profiles.record(engine, sample, now);
        }
        self.streams.record_gap(service, streams, gap, factor);
    }

    /// Learns from the time of a prompt at an engine.
    pub fn learn_prompt(&mut self, engine: &BackEnd, time: PromptTime, now: Instant) {
        let tokens = time.tokens + time.tokens_ahead;
        let reading_ms = tokens / self.reading_tokens_per_ms(engine);
        if !self.profiles.is_enabled() || reading_ms < MIN_PREFILL_MS {
            return;
        }
        let sample = Sample {
            kind: WorkKind::Prefill,
            expected_ms: self.speed.message_overhead_ms() + reading_ms,
            took_ms: time.took_ms.max(0.0),
        };
        let certain_tokens = time.tokens + (1.0 - UNCERTAIN_SHARE_AHEAD) * time.tokens_ahead;
        let certainty = certain_tokens / tokens;
        self.profiles
            .record_uncertain(engine, sample, certainty, now);
    }

    /// Learns from the time of a plain answer. `requests_ahead` is the number of other requests that
    /// were known to be at the back end.
    pub fn learn_plain_answer(
        &mut self,
        back_end: &BackEnd,
        requests_ahead: f64,
        took_ms: f64,
        now: Instant,
    ) {
        let rounds = (requests_ahead + 1.0) / f64::from(back_end.slots.max(1));
        self.profiles.record_plain(back_end, took_ms, rounds, now);
    }

    /// The measurement that an average engine of the service would have shown in place of this one.
    #[must_use]
    pub fn at_average_engine(
        &self,
        engine: &BackEnd,
        reading: PromptReading,
        now: Instant,
    ) -> PromptReading {
        let factor = self.profiles.factor(engine, WorkKind::Prefill, now);
        PromptReading {
            took_ms: reading.took_ms / factor,
            ..reading
        }
    }

    fn reading_tokens_per_ms(&self, engine: &BackEnd) -> f64 {
        if engine.stage == Some(Stage::Prefill) {
            self.speed.prefill_tokens_per_ms()
        } else {
            self.speed.decode_tokens_per_ms()
        }
    }
}
