//! Estimates whether a stream keeps its target gap at a back end.
//!
//! A back end that shares its machine with other work is slow for moments at a time, so one mean
//! gap says little about the longest of many. The share of gaps beyond a target falls off
//! exponentially with the target, through the quantile that the busy factor describes. A stream is
//! late by its pauses if any of its gaps exceeds the target, so the risk grows with their number.

use std::time::Duration;

use super::{LatencyTargets, MS_PER_S};
use crate::profiles::BUSY_QUANTILE;
use crate::prompt::Prompt;

/// Lowest busy factor assumed, also before the variation of the service's gaps is known. The mean gap
/// is itself an estimate, and prompts that arrive later lengthen single gaps.
pub(super) const MIN_BUSY_FACTOR: f64 = 1.5;
/// Share of a running stream's gaps that are still to come, on average.
const REMAINING_SHARE_OF_GAPS: f64 = 0.5;
/// Share of the time left that a stream should be expected to need at most. Keeps the rest for
/// moments in which the back end is slow.
const MAX_EXPECTED_SHARE_OF_TIME_LEFT: f64 = 0.8;

/// Gaps between the events of a stream at one back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapForecast {
    /// Mean gap, in milliseconds.
    pub mean_ms: f64,
    /// Ratio to the mean that [`BUSY_QUANTILE`] of the gaps do not exceed.
    pub busy_factor: f64,
}

impl GapForecast {
    /// The same gaps with one in which the back end also works for `extra_ms`.
    #[must_use]
    pub fn with_extra(self, extra_ms: f64) -> Self {
        Self {
            mean_ms: self.mean_ms + extra_ms,
            ..self
        }
    }

    /// Probability that one gap exceeds the target.
    #[must_use]
    pub fn exceeds(self, target_ms: f64) -> f64 {
        if self.mean_ms >= target_ms {
            return 1.0;
        }
        if self.mean_ms <= 0.0 {
            return 0.0;
        }
        let busy_excess = self.busy_factor.max(MIN_BUSY_FACTOR) - 1.0;
        let target_excess = target_ms / self.mean_ms - 1.0;
        (1.0 - BUSY_QUANTILE).powf(target_excess / busy_excess)
    }

    /// Probability that at least one of `gaps` gaps exceeds the target.
    #[must_use]
    pub fn any_exceeds(self, gaps: f64, target_ms: f64) -> f64 {
        1.0 - (1.0 - self.exceeds(target_ms)).powf(gaps)
    }
}

/// What a stream needs of the back end that generates it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamNeeds {
    /// Longest gap that is in time, in milliseconds.
    pub target_gap_ms: f64,
    /// Target time to the first event, in milliseconds: what a late request costs.
    pub latency_ms: f64,
    /// Expected number of gaps still to come.
    pub gaps: f64,
    /// Time until the stream's deadline, in milliseconds.
    pub time_left_ms: f64,
}

impl StreamNeeds {
    /// Needs of the answer to `prompt` after its first `events_sent` events; `None` without a
    /// target gap. An event may contain several tokens: `events_per_token` is `None` while their
    /// ratio is unknown, and the stream then counts as one that keeps its target gap until its
    /// deadline.
    #[must_use]
    pub fn of(
        prompt: &Prompt,
        targets: LatencyTargets,
        events_sent: u64,
        time_left: Duration,
        events_per_token: Option<f64>,
    ) -> Option<Self> {
        let target_gap_ms = targets.gap?.as_secs_f64() * MS_PER_S;
        let time_left_ms = time_left.as_secs_f64() * MS_PER_S;
        let tokens = f64::from(prompt.output_tokens);
        let events = events_per_token.map_or_else(
            || tokens.min(time_left_ms / target_gap_ms),
            |events_per_token| tokens * events_per_token,
        );
        let events_sent = u32::try_from(events_sent).unwrap_or(u32::MAX);
        Some(Self {
            target_gap_ms,
            latency_ms: targets.latency_ms(),
            gaps: (events - f64::from(events_sent.max(1))).max(0.0),
            time_left_ms,
        })
    }

    /// Probability that the stream misses its target gap.
    #[must_use]
    pub fn late_share(self, forecast: GapForecast) -> f64 {
        forecast.any_exceeds(self.gaps, self.target_gap_ms)
    }

    /// Probability that a stream of this kind that is already running misses its target gap in the
    /// rest of it.
    #[must_use]
    pub fn late_share_of_running(self, forecast: GapForecast) -> f64 {
        forecast.any_exceeds(self.gaps * REMAINING_SHARE_OF_GAPS, self.target_gap_ms)
    }

    /// Time by which the stream is expected to overrun the time that it should need, in
    /// milliseconds.
    #[must_use]
    pub fn overrun_ms(self, forecast: GapForecast) -> f64 {
        let expected_ms = self.gaps * forecast.mean_ms;
        (expected_ms - self.time_left_ms * MAX_EXPECTED_SHARE_OF_TIME_LEFT).max(0.0)
    }
}
