//! What a change of the split is worth over the horizon.

use std::time::Duration;

use super::capacity::{EngineCapacity, TokenDemand};
use super::demand::{LevelForecast, PastLevel};
use super::settings::PlannerSettings;
use super::split::RoleSplit;

/// The past has its full weight once this part of its snapshots, inverted, is there.
const PAST_TRUSTED_AT: f64 = 3.0;

/// Time that a changed engine is of less use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeCost {
    /// Time away: drain and change.
    pub away: Duration,
    /// Time after it with a cold prefix cache.
    pub cold: Duration,
}

/// Demand at one point of the horizon, summed up to each priority level.
#[derive(Debug, Clone)]
struct HorizonPoint {
    ahead: Duration,
    levels: Vec<LevelPoint>,
}

#[derive(Debug, Clone, Copy)]
struct LevelPoint {
    requests: f64,
    /// Demand of this level and all above it.
    cumulative: TokenDemand,
}

/// The expected demand over the horizon.
#[derive(Debug, Clone)]
pub(super) struct Horizon {
    points: Vec<HorizonPoint>,
    past: Vec<LevelPoint>,
    past_weight: f64,
}

/// A way from one split to another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transition {
    /// Engines that serve while the changed ones are away.
    pub meanwhile: RoleSplit,
    /// Engines that serve in the end.
    pub after: RoleSplit,
    /// Engines that are away at its begin.
    pub changes: u32,
    /// Engines that read prompts afterwards, with a cold prefix cache at first.
    pub changed_readers: u32,
}

impl Horizon {
    /// `backlog` are prompt tokens that wait already; they are to be read within the horizon.
    pub fn new<'a>(
        forecast: &[LevelForecast],
        backlog: f64,
        past: impl Iterator<Item = &'a [PastLevel]>,
        settings: &PlannerSettings,
    ) -> Self {
        let count = settings.horizon_points.max(1);
        let step = settings.horizon / count;
        let points = (0..count)
            .map(|index| {
                let ahead = step * index + step / 2;
                HorizonPoint {
                    ahead,
                    levels: levels_at(forecast, ahead, backlog, settings),
                }
            })
            .collect();
        let snapshots: Vec<&[PastLevel]> = past.collect();
        let known = snapshots.len() as f64 / settings.past_snapshots.max(1) as f64;
        Self {
            points,
            past: snapshots.into_iter().flat_map(past_levels).collect(),
            past_weight: settings.past_weight * (known * PAST_TRUSTED_AT).min(1.0),
        }
    }

    /// Whether anything is expected.
    pub fn is_idle(&self) -> bool {
        let mut levels = self.points.iter().flat_map(|point| &point.levels);
        levels.all(|level| level.requests <= 0.0)
    }

    /// Share of the horizon's requests that end in time.
    pub fn goodput(
        &self,
        transition: &Transition,
        cost: ChangeCost,
        capacity: &EngineCapacity,
        settings: &PlannerSettings,
    ) -> f64 {
        let width = settings.horizon.as_secs_f64() / self.points.len().max(1) as f64;
        let (mut good, mut all) = (0.0, 0.0);
        for point in &self.points {
            let mut away = overlap(point.ahead, width, Duration::ZERO, cost.away);
            let mut cold = overlap(point.ahead, width, cost.away, cost.away + cost.cold);
            if transition.changes == 0 {
                away = 0.0;
            }
            if transition.changed_readers == 0 {
                cold = 0.0;
            }
            for level in &point.levels {
                let goodput = |split, demand| capacity.goodput(split, demand, settings.targets);
                let demand = level.cumulative;
                let mut good_share = (1.0 - away - cold) * goodput(transition.after, demand);
                if away > 0.0 {
                    good_share += away * goodput(transition.meanwhile, demand);
                }
                if cold > 0.0 {
                    let demand = without_cache(demand, transition);
                    good_share += cold * goodput(transition.after, demand);
                }
                good += level.requests * good_share;
                all += level.requests;
            }
        }
        let ahead = if all > 0.0 { good / all } else { 1.0 };
        let past = self.past_goodput(transition.after, capacity, settings);
        past.map_or(ahead, |past| {
            (1.0 - self.past_weight) * ahead + self.past_weight * past
        })
    }

    /// Share of the past's requests that a split would have served in time.
    fn past_goodput(
        &self,
        split: RoleSplit,
        capacity: &EngineCapacity,
        settings: &PlannerSettings,
    ) -> Option<f64> {
        let (mut good, mut all) = (0.0, 0.0);
        for level in &self.past {
            good += level.requests * capacity.goodput(split, level.cumulative, settings.targets);
            all += level.requests;
        }
        (all > 0.0).then(|| good / all)
    }
}

/// The demand when the changed readers find nothing in their prefix caches.
fn without_cache(demand: TokenDemand, transition: &Transition) -> TokenDemand {
    let readers = transition.after.prefill + transition.after.mixed;
    let cold_share = f64::from(transition.changed_readers) / f64::from(readers.max(1));
    let cached = (demand.prompt_tokens - demand.uncached_prompt_tokens).max(0.0);
    TokenDemand {
        uncached_prompt_tokens: demand.uncached_prompt_tokens + cold_share.min(1.0) * cached,
        ..demand
    }
}

/// Part of a slice of the horizon that lies between two times.
fn overlap(middle: Duration, width: f64, from: Duration, to: Duration) -> f64 {
    let begin = middle.as_secs_f64() - width / 2.0;
    let covered_from = from.as_secs_f64().max(begin);
    let covered_to = to.as_secs_f64().min(begin + width);
    ((covered_to - covered_from) / width).clamp(0.0, 1.0)
}

fn past_levels(snapshot: &[PastLevel]) -> Vec<LevelPoint> {
    let mut cumulative = TokenDemand::default();
    let mut points = Vec::with_capacity(snapshot.len());
    for level in snapshot {
        cumulative = cumulative.plus(level.demand);
        points.push(LevelPoint {
            requests: level.demand.requests,
            cumulative,
        });
    }
    points
}

fn levels_at(
    forecast: &[LevelForecast],
    ahead: Duration,
    backlog: f64,
    settings: &PlannerSettings,
) -> Vec<LevelPoint> {
    let mut cumulative = TokenDemand {
        uncached_prompt_tokens: backlog / settings.horizon.as_secs_f64().max(1.0),
        ..TokenDemand::default()
    };
    let mut points = Vec::with_capacity(forecast.len());
    for level in forecast {
        let demand = level.after(ahead, settings);
        cumulative = cumulative.plus(demand);
        points.push(LevelPoint {
            requests: demand.requests,
            cumulative,
        });
    }
    points
}
