//! Estimates what a stream costs at the engine that generates it.

use std::sync::Arc;
use std::time::Instant;

use super::gap_risk::{GapForecast, StreamNeeds};
use super::{Outstanding, Placement};
use crate::directory::BackEnd;
use crate::profiles::WorkKind;

/// Cost of a failed stream as a multiple of that of a late one: it is lost, and its repetition takes
/// the place of another.
const FAILURE_WEIGHT: f64 = 3.0;
/// Streams with fewer gaps than this have next to no risk of their own, so their placement is not
/// explained.
pub(super) const MIN_GAPS_TO_EXPLAIN: f64 = 3.0;

/// Context for estimating the gaps of streams at the decode engines of a service.
#[derive(Clone, Copy)]
pub(super) struct DecodeEstimator<'a> {
    pub(super) placement: &'a Placement,
    /// Needs of the stream to place; `None` if it has no target gap.
    pub(super) stream: Option<StreamNeeds>,
    pub(super) now: Instant,
}

/// Why a stream was placed at an engine; for logs.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamPlacement {
    /// Time that the engine takes for an event compared with an average one.
    pub factor: f64,
    /// Expected gap, in milliseconds.
    pub gap_ms: f64,
    /// Probability that a gap exceeds the target.
    pub late_share: f64,
    /// The candidate with the shortest expected gap, if it is another engine.
    pub fastest: Option<FastestEngine>,
}

/// Candidate with the shortest expected gap, and what spoke against it.
#[derive(Debug, Clone, PartialEq)]
pub struct FastestEngine {
    /// Identifier of the engine.
    pub back_end: Arc<str>,
    /// Expected gap, in milliseconds.
    pub gap_ms: f64,
    /// Requests there.
    pub requests: f64,
    /// Unprocessed prompt tokens there.
    pub prompt_tokens: f64,
    /// Cost of the stream there beyond that at the chosen engine, in milliseconds.
    pub extra_cost_ms: f64,
}

impl DecodeEstimator<'_> {
    /// Gaps of `streams` streams at an engine. Prompts that the engines read meanwhile are part of the
    /// learned gaps, as daemons know few of them in time. `None` while the service's gaps are unknown or
    /// profiles are not used.
    pub(super) fn gaps(&self, back_end: &BackEnd, streams: f64) -> Option<GapForecast> {
        let placement = self.placement;
        if !placement.profiles.is_enabled() {
            return None;
        }
        let average_ms = placement.streams.gap_ms(&back_end.service, streams)?;
        let factor = placement
            .profiles
            .factor(back_end, WorkKind::Decode, self.now);
        Some(GapForecast {
            mean_ms: average_ms * factor,
            busy_factor: placement
                .profiles
                .busy_factor(&back_end.service, WorkKind::Decode),
        })
    }

    /// Gaps that one more stream at the engine will have.
    fn gaps_of_new_stream(&self, back_end: &BackEnd) -> Option<GapForecast> {
        let outstanding = self.placement.load.outstanding(&back_end.id);
        self.gaps(back_end, streams_there(back_end, outstanding) + 1.0)
    }

    /// Cost of the stream at an engine in addition to the time to its first event, in milliseconds:
    /// its mean gap, its own risk, and that which it adds for the streams there, which are assumed to
    /// be of its own length. The mean gap spreads long streams over engines that all keep the target,
    /// because an engine with shorter gaps can process more of the prompts that arrive later. An
    /// engine that fails requests has few streams, so its failures must weigh as much as the gaps
    /// elsewhere.
    pub(super) fn stream_burden_ms(&self, back_end: &BackEnd) -> f64 {
        let Some(stream) = self.stream else {
            return 0.0;
        };
        let outstanding = self.placement.load.outstanding(&back_end.id);
        let before = streams_there(back_end, outstanding);
        let Some((with_it, without_it)) = self
            .gaps(back_end, before + 1.0)
            .zip(self.gaps(back_end, before))
        else {
            return 0.0;
        };
        let added_risk =
            stream.late_share_of_running(with_it) - stream.late_share_of_running(without_it);
        let late_streams = stream.late_share(with_it) + outstanding.generating * added_risk;
        let failures = self.placement.health.failure_rate(&back_end.id) * FAILURE_WEIGHT;
        let mean_gap_ms = with_it.mean_ms * stream.gaps.min(1.0);
        mean_gap_ms + (late_streams + failures) * stream.latency_ms + stream.overrun_ms(with_it)
    }

    /// Number of streams at an engine that would have a gap beyond `target_ms` only because the
    /// engine processed prompts for `reading_ms`; `None` while gaps are unknown or profiles are not
    /// used.
    pub(super) fn streams_broken_by(
        &self,
        back_end: &BackEnd,
        reading_ms: f64,
        target_ms: f64,
    ) -> Option<f64> {
        let outstanding = self.placement.load.outstanding(&back_end.id);
        let gaps = self.gaps(back_end, streams_there(back_end, outstanding))?;
        let with_reading = gaps.with_extra(reading_ms.min(target_ms));
        let added_share = with_reading.exceeds(target_ms) - gaps.exceeds(target_ms);
        Some(added_share * outstanding.generating)
    }

    /// Explains the placement of a stream with several gaps at `chosen` among `candidates`.
    pub(super) fn explain(
        &self,
        chosen: &BackEnd,
        candidates: &[Arc<BackEnd>],
    ) -> Option<StreamPlacement> {
        let stream = self.stream?;
        let gaps = self.gaps_of_new_stream(chosen)?;
        let gap_of = |back_end: &BackEnd| {
            let forecast = self.gaps_of_new_stream(back_end);
            forecast.map_or(f64::INFINITY, |forecast| forecast.mean_ms)
        };
        let fastest = candidates
            .iter()
            .map(|back_end| (gap_of(back_end), back_end))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .filter(|(_gap_ms, back_end)| back_end.id != chosen.id);
        Some(StreamPlacement {
            factor: self
                .placement
                .profiles
                .factor(chosen, WorkKind::Decode, self.now),
            gap_ms: gaps.mean_ms,
            late_share: stream.late_share(gaps),
            fastest: fastest.map(|(gap_ms, back_end)| {
                let outstanding = self.placement.load.outstanding(&back_end.id);
                FastestEngine {
                    back_end: Arc::clone(&back_end.id),
                    gap_ms,
                    requests: outstanding.requests,
                    prompt_tokens: outstanding.prompt_tokens,
                    extra_cost_ms: self.stream_burden_ms(back_end) - self.stream_burden_ms(chosen),
                }
            }),
        })
    }
}

/// Streams that the engine will generate at the same time: all requests there, because those that
/// wait for their first event will soon be among them, up to its slots.
fn streams_there(back_end: &BackEnd, outstanding: Outstanding) -> f64 {
    outstanding
        .requests
        .min(f64::from(back_end.slots.saturating_sub(1)))
}
