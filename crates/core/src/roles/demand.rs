//! History and forecast of the demand for one model.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::capacity::TokenDemand;
use super::sample::{DemandSample, LevelDemand};
use super::settings::PlannerSettings;
use super::trend::{Trend, TrendPoint, estimate_trend};
use crate::Timestamp;

/// Newest samples whose median is the level where no trend is clear.
const RECENT_SAMPLES: usize = 5;
/// Samples kept at most, whatever the window.
const MOST_SAMPLES: usize = 64;

#[derive(Debug, Clone)]
struct Entry {
    at: Timestamp,
    window: Duration,
    levels: Vec<LevelDemand>,
}

/// Samples of the last window of time.
#[derive(Debug, Clone, Default)]
pub struct DemandHistory {
    entries: VecDeque<Entry>,
    waiting_prompt_tokens: u64,
    past: VecDeque<Vec<PastLevel>>,
    open_snapshot: Snapshot,
}

/// Mean demand of one priority level in a snapshot of the past.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PastLevel {
    /// Level of the priority.
    pub level: u8,
    /// Its demand.
    pub demand: TokenDemand,
}

/// A snapshot that is being added up.
#[derive(Debug, Clone, Default)]
struct Snapshot {
    seconds: f64,
    sums: BTreeMap<u8, TokenDemand>,
}

impl Snapshot {
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

/// Expected demand of one priority level.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelForecast {
    /// Level of the priority.
    pub level: u8,
    requests: Trend,
    uncached_prompt_tokens: Trend,
    prompt_tokens: Trend,
    output_tokens: Trend,
}

/// Expected demand of a model, for decisions' reasons. Tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct DemandForecast {
    /// Prompt tokens to be read now.
    pub prompt_tokens_now: f64,
    /// Prompt tokens to be read at the end of the horizon.
    pub prompt_tokens_ahead: f64,
    /// Tokens to be generated now.
    pub output_tokens_now: f64,
    /// Tokens to be generated at the end of the horizon.
    pub output_tokens_ahead: f64,
    /// Whether a clear trend was found.
    pub trend_clear: bool,
}

impl DemandHistory {
    /// Takes a sample that ends now. One without length is ignored.
    pub fn add(&mut self, now: Timestamp, sample: &DemandSample, settings: &PlannerSettings) {
        self.waiting_prompt_tokens = sample.waiting_prompt_tokens;
        if sample.window.is_zero() {
            return;
        }
        self.entries.push_back(Entry {
            at: now,
            window: sample.window,
            levels: sample.levels.clone(),
        });
        let is_old = |entry: &Entry| now.since(entry.at) > settings.trend_window;
        while self.entries.len() > MOST_SAMPLES || self.entries.front().is_some_and(is_old) {
            self.entries.pop_front();
        }
        self.open_snapshot.add(sample);
        if self.open_snapshot.seconds >= settings.past_snapshot.as_secs_f64() {
            self.past.push_back(self.open_snapshot.close());
        }
        while self.past.len() > settings.past_snapshots {
            self.past.pop_front();
        }
    }

    /// Snapshots of the past, the oldest first; the priorities of each from the highest on.
    pub fn past(&self) -> impl Iterator<Item = &[PastLevel]> {
        self.past.iter().map(Vec::as_slice)
    }

    /// Samples held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Prompt tokens that waited at the end of the newest sample.
    #[must_use]
    pub const fn waiting_prompt_tokens(&self) -> u64 {
        self.waiting_prompt_tokens
    }

    /// Forecast of each priority level, the highest priority first.
    #[must_use]
    pub fn forecast(&self, now: Timestamp, settings: &PlannerSettings) -> Vec<LevelForecast> {
        let levels: BTreeMap<u8, ()> = self
            .entries
            .iter()
            .flat_map(|entry| entry.levels.iter().map(|level| (level.level, ())))
            .collect();
        let series = |level: u8, value: fn(&LevelDemand) -> u64| {
            let points: Vec<TrendPoint> = self
                .entries
                .iter()
                .map(|entry| entry.point(now, level, value))
                .collect();
            estimate_trend(&points, settings.trend_significance, RECENT_SAMPLES)
        };
        let forecast = |level: u8| LevelForecast {
            level,
            requests: series(level, |demand| demand.requests),
            uncached_prompt_tokens: series(level, LevelDemand::uncached_prompt_tokens),
            prompt_tokens: series(level, |demand| demand.prompt_tokens),
            output_tokens: series(level, |demand| demand.output_tokens),
        };
        levels.into_keys().map(forecast).collect()
    }
}

impl Entry {
    /// Rate of one level; the sample stands for the middle of its window.
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
    /// Demand expected after `ahead`.
    #[must_use]
    pub fn after(&self, ahead: Duration, settings: &PlannerSettings) -> TokenDemand {
        let fades = settings.trend_fades_after;
        TokenDemand {
            requests: self.requests.after(ahead, fades),
            uncached_prompt_tokens: self.uncached_prompt_tokens.after(ahead, fades),
            prompt_tokens: self.prompt_tokens.after(ahead, fades),
            output_tokens: self.output_tokens.after(ahead, fades),
        }
    }

    const fn trend_clear(&self) -> bool {
        self.uncached_prompt_tokens.clear || self.output_tokens.clear
    }
}

/// What decisions tell of a forecast.
pub(super) fn summary(forecast: &[LevelForecast], settings: &PlannerSettings) -> DemandForecast {
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
