//! Evaluates the expected goodput of a role split over the planning horizon.

use std::time::Duration;

use super::capacity::{EngineCapacity, TokenDemand};
use super::demand::{LevelForecast, PastLevel};
use super::settings::PlannerSettings;
use super::split::RoleSplit;

/// Past demand has its full weight once 1 / `PAST_WEIGHT_RAMP` of its snapshots are available.
const PAST_WEIGHT_RAMP: f64 = 3.0;

/// Time during which a changed engine has reduced capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeCost {
    /// Time without service: drain and role change.
    pub unavailable: Duration,
    /// Subsequent time with a cold prefix cache.
    pub cold_cache: Duration,
}

/// Expected demand at one point of the horizon, by priority level.
#[derive(Debug, Clone)]
struct HorizonPoint {
    ahead: Duration,
    levels: Vec<LevelPoint>,
}

#[derive(Debug, Clone, Copy)]
struct LevelPoint {
    requests: f64,
    /// Demand of this level and all higher priorities.
    cumulative: TokenDemand,
}

/// Expected demand over the horizon, and past demand.
#[derive(Debug, Clone)]
pub(super) struct Horizon {
    points: Vec<HorizonPoint>,
    past: Vec<LevelPoint>,
    past_weight: f64,
}

/// Transition from one split to another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transition {
    /// Engines that serve while the changed ones are unavailable.
    pub during: RoleSplit,
    /// Engines that serve after the transition.
    pub after: RoleSplit,
    /// Number of engines that are unavailable at the start.
    pub changes: u32,
    /// Changed engines that run prefill afterwards, at first with a cold prefix cache.
    pub cold_cache_engines: u32,
}

impl Horizon {
    /// `backlog` is the number of prompt tokens already waiting, spread evenly over the horizon.
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
                    levels: forecast_levels(forecast, ahead, backlog, settings),
                }
            })
            .collect();
        let snapshots: Vec<&[PastLevel]> = past.collect();
        let filled = snapshots.len() as f64 / settings.past_snapshots.max(1) as f64;
        Self {
            points,
            past: snapshots.into_iter().flat_map(past_levels).collect(),
            past_weight: settings.past_weight * (filled * PAST_WEIGHT_RAMP).min(1.0),
        }
    }

    /// Whether no requests are expected.
    pub fn is_idle(&self) -> bool {
        let mut levels = self.points.iter().flat_map(|point| &point.levels);
        levels.all(|level| level.requests <= 0.0)
    }

    /// Expected share of requests that meet the latency targets, weighted with past demand.
    pub fn goodput(
        &self,
        transition: &Transition,
        cost: ChangeCost,
        capacity: &EngineCapacity,
        settings: &PlannerSettings,
    ) -> f64 {
        let width = settings.horizon.as_secs_f64() / self.points.len().max(1) as f64;
        let (mut served_requests, mut total_requests) = (0.0, 0.0);
        for point in &self.points {
            let mut unavailable =
                overlap_share(point.ahead, width, Duration::ZERO, cost.unavailable);
            let mut cold_cache = overlap_share(
                point.ahead,
                width,
                cost.unavailable,
                cost.unavailable + cost.cold_cache,
            );
            if transition.changes == 0 {
                unavailable = 0.0;
            }
            if transition.cold_cache_engines == 0 {
                cold_cache = 0.0;
            }
            for level in &point.levels {
                let goodput = |split, demand| capacity.goodput(split, demand, settings.targets);
                let demand = level.cumulative;
                let mut good_share =
                    (1.0 - unavailable - cold_cache) * goodput(transition.after, demand);
                if unavailable > 0.0 {
                    good_share += unavailable * goodput(transition.during, demand);
                }
                if cold_cache > 0.0 {
                    let demand = without_cache(demand, transition);
                    good_share += cold_cache * goodput(transition.after, demand);
                }
                served_requests += level.requests * good_share;
                total_requests += level.requests;
            }
        }
        let ahead = if total_requests > 0.0 {
            served_requests / total_requests
        } else {
            1.0
        };
        let past = self.past_goodput(transition.after, capacity, settings);
        past.map_or(ahead, |past| {
            (1.0 - self.past_weight) * ahead + self.past_weight * past
        })
    }

    /// Share of past requests that a split would have served within the latency targets.
    fn past_goodput(
        &self,
        split: RoleSplit,
        capacity: &EngineCapacity,
        settings: &PlannerSettings,
    ) -> Option<f64> {
        let (mut served_requests, mut total_requests) = (0.0, 0.0);
        for level in &self.past {
            served_requests +=
                level.requests * capacity.goodput(split, level.cumulative, settings.targets);
            total_requests += level.requests;
        }
        (total_requests > 0.0).then(|| served_requests / total_requests)
    }
}

/// Demand while the changed engines have cold prefix caches.
fn without_cache(demand: TokenDemand, transition: &Transition) -> TokenDemand {
    let prefill_capable = transition.after.prefill + transition.after.mixed;
    let cold_share = f64::from(transition.cold_cache_engines) / f64::from(prefill_capable.max(1));
    let cached = (demand.prompt_tokens - demand.uncached_prompt_tokens).max(0.0);
    TokenDemand {
        uncached_prompt_tokens: demand.uncached_prompt_tokens + cold_share.min(1.0) * cached,
        ..demand
    }
}

/// Fraction of an interval of the horizon that lies between two times.
fn overlap_share(middle: Duration, width: f64, from: Duration, to: Duration) -> f64 {
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

fn forecast_levels(
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
