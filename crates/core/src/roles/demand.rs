//! Demand history and forecast for one model.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::capacity::TokenDemand;
use super::sample::{DemandSample, LevelDemand};
use super::settings::PlannerSettings;
use super::trend::{Trend, TrendPoint, estimate_trend};
use crate::Timestamp;

/// Number of newest samples whose median is used as the level if no trend is significant.
const RECENT_SAMPLES: usize = 5;
/// Bounds memory and computation independently of the trend window.
const MAXIMUM_SAMPLES: usize = 64;

#[derive(Debug, Clone)]
struct StoredSample {
    at: Timestamp,
    window: Duration,
    levels: Vec<LevelDemand>,
}

/// Recent demand samples and coarser snapshots of earlier demand.
#[derive(Debug, Clone, Default)]
pub struct DemandHistory {
    samples: VecDeque<StoredSample>,
    waiting_prompt_tokens: u64,
    past: VecDeque<Vec<PastLevel>>,
    current_snapshot: SnapshotBuilder,
}

/// Mean demand of one priority level in a past snapshot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PastLevel {
    /// Priority level; 0 is served first.
    pub level: u8,
    /// Mean demand of the level.
    pub demand: TokenDemand,
}

/// Accumulates samples into the next snapshot.
#[derive(Debug, Clone, Default)]
struct SnapshotBuilder {
    seconds: f64,
    sums: BTreeMap<u8, TokenDemand>,
}

impl SnapshotBuilder {
    fn add(&mut self, sample: &DemandSample) {
        self.seconds += sample.window.as_secs_f64();
        for level in &sample.levels {
            let sum = self.sums.entry(level.level).or_default();
            *sum = sum.plus(TokenDemand {
                requests: level.requests as f64,
                uncached_prompt_tokens: level.uncached_prompt_tokens() as f64,
                prompt_tokens: level.prompt_tokens as f64,
                output_tokens: level.output_tokens as f64,
            });
        }
    }

    /// Returns the mean demand of each level and starts a new snapshot.
    fn close(&mut self) -> Vec<PastLevel> {
        let seconds = self.seconds;
        self.seconds = 0.0;
        let sums = std::mem::take(&mut self.sums);
        let level = |(level, sum): (u8, TokenDemand)| PastLevel {
            level,
            demand: sum.over(seconds),
        };
        sums.into_iter().map(level).collect()
    }
}

/// Demand forecast of one priority level.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelForecast {
    /// Priority level; 0 is served first.
    pub level: u8,
    requests: Trend,
    uncached_prompt_tokens: Trend,
    prompt_tokens: Trend,
    output_tokens: Trend,
}

/// Demand forecast of a model, as included in decision reasons. Rates are in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct DemandForecast {
    /// Current rate of prompt tokens that require prefill.
    pub prompt_tokens_now: f64,
    /// Rate of prompt tokens that require prefill at the end of the horizon.
    pub prompt_tokens_ahead: f64,
    /// Current rate of output tokens.
    pub output_tokens_now: f64,
    /// Rate of output tokens at the end of the horizon.
    pub output_tokens_ahead: f64,
    /// Whether any level has a statistically significant trend.
    pub trend_clear: bool,
}

impl DemandHistory {
    /// Adds a sample whose window ends now. Rates of a sample with an empty window are ignored.
    pub fn add(&mut self, now: Timestamp, sample: &DemandSample, settings: &PlannerSettings) {
        self.waiting_prompt_tokens = sample.waiting_prompt_tokens;
        if sample.window.is_zero() {
            return;
        }
        self.samples.push_back(StoredSample {
            at: now,
            window: sample.window,
            levels: sample.levels.clone(),
        });
        let is_old = |stored: &StoredSample| now.since(stored.at) > settings.trend_window;
        while self.samples.len() > MAXIMUM_SAMPLES || self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.current_snapshot.add(sample);
        if self.current_snapshot.seconds >= settings.past_snapshot.as_secs_f64() {
            self.past.push_back(self.current_snapshot.close());
        }
        while self.past.len() > settings.past_snapshots {
            self.past.pop_front();
        }
    }

    /// Past snapshots, oldest first. Each lists its levels from the highest priority down.
    pub fn past(&self) -> impl Iterator<Item = &[PastLevel]> {
        self.past.iter().map(Vec::as_slice)
    }

    /// Number of stored samples.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether no samples are stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Number of prompt tokens that were waiting at the end of the newest sample.
    #[must_use]
    pub const fn waiting_prompt_tokens(&self) -> u64 {
        self.waiting_prompt_tokens
    }

    /// Forecast for each priority level, highest priority first.
    #[must_use]
    pub fn forecast(&self, now: Timestamp, settings: &PlannerSettings) -> Vec<LevelForecast> {
        let levels: BTreeMap<u8, ()> = self
            .samples
            .iter()
            .flat_map(|stored| stored.levels.iter().map(|level| (level.level, ())))
            .collect();
        let estimate = |level: u8, value: fn(&LevelDemand) -> u64| {
            let points: Vec<TrendPoint> = self
                .samples
                .iter()
                .map(|stored| stored.point(now, level, value))
                .collect();
            estimate_trend(&points, settings.trend_significance, RECENT_SAMPLES)
        };
        let forecast = |level: u8| LevelForecast {
            level,
            requests: estimate(level, |demand| demand.requests),
            uncached_prompt_tokens: estimate(level, LevelDemand::uncached_prompt_tokens),
            prompt_tokens: estimate(level, |demand| demand.prompt_tokens),
            output_tokens: estimate(level, |demand| demand.output_tokens),
        };
        levels.into_keys().map(forecast).collect()
    }
}

impl StoredSample {
    /// Rate of one level as a point at the middle of the sample's window.
    fn point(&self, now: Timestamp, level: u8, value: fn(&LevelDemand) -> u64) -> TrendPoint {
        let of_level = self.levels.iter().filter(|demand| demand.level == level);
        let sum: u64 = of_level.map(value).sum();
        let window = self.window.as_secs_f64();
        TrendPoint {
            age_seconds: now.since(self.at).as_secs_f64() + window / 2.0,
            value: sum as f64 / window,
        }
    }
}

impl LevelForecast {
    /// Expected demand after `ahead`.
    #[must_use]
    pub fn after(&self, ahead: Duration, settings: &PlannerSettings) -> TokenDemand {
        let decay = settings.trend_decay_time;
        TokenDemand {
            requests: self.requests.after(ahead, decay),
            uncached_prompt_tokens: self.uncached_prompt_tokens.after(ahead, decay),
            prompt_tokens: self.prompt_tokens.after(ahead, decay),
            output_tokens: self.output_tokens.after(ahead, decay),
        }
    }

    const fn trend_clear(&self) -> bool {
        self.uncached_prompt_tokens.is_significant || self.output_tokens.is_significant
    }
}

/// Sums a forecast over all levels for decision reasons.
pub(super) fn summarize_forecast(
    forecast: &[LevelForecast],
    settings: &PlannerSettings,
) -> DemandForecast {
    let total = |ahead| {
        forecast
            .iter()
            .map(|level| level.after(ahead, settings))
            .fold(TokenDemand::default(), TokenDemand::plus)
    };
    let now = total(Duration::ZERO);
    let ahead = total(settings.horizon);
    DemandForecast {
        prompt_tokens_now: now.uncached_prompt_tokens,
        prompt_tokens_ahead: ahead.uncached_prompt_tokens,
        output_tokens_now: now.output_tokens,
        output_tokens_ahead: ahead.output_tokens,
        trend_clear: forecast.iter().any(LevelForecast::trend_clear),
    }
}
