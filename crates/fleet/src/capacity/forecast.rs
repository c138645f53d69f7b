//! Plans the engines of a service for the load that is expected by the time at which an order takes
//! effect, and releases those that are not expected to be needed.
//!
//! The load is expressed as the number of engines that carry it with waits within the target
//! latency. The forecast consists of the present level, its trend over the horizon, and the spread
//! of earlier forecasts. What was needed within the last few boot times is kept, since callers'
//! bursts recur, and a released engine is missing for one boot time and has lost its cache.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{
    CapacityPlan, Contract, EngineCounts, MAX_SLOT_SHARE, PEAK_HEADROOM_FACTOR, count,
    engines_after_zone_loss, spread_spot_first, total, zones,
};
use crate::configuration::Autoscaling;
use crate::placement::PromptDuration;
use crate::stages::{DECODE_READ_SPEED_RATIO, STREAM_SLOT_WEIGHT, StageWork};

/// Share of requests that may wait longer than their targets allow.
const LATE_SHARE: f64 = 0.02;
/// Utilization beyond which small errors of the measured work would make waits very long.
const MAX_UTILIZATION: f64 = 0.8;
/// Utilization at which the average wait is a third of the time of the prompt that is met, so that
/// more engines hardly shorten it.
const MIN_UTILIZATION: f64 = 0.25;
/// Prompts shorter than this delay nobody, in seconds.
const MIN_RESIDUAL_S: f64 = 1e-6;
/// Halvings of the range of utilizations until its width is below one in ten thousand.
const UTILIZATION_STEPS: u32 = 13;
/// Time for which engines are kept beyond the forecast, as a multiple of the boot time.
const KEPT_BOOTS: u32 = 4;
/// Boot times over which the level is averaged, so that single bursts are not taken for a trend.
const LEVEL_BOOTS: u32 = 2;
/// Share of earlier loads, and of earlier forecast errors, that the plan covers; the rest are
/// single outliers.
const COVERED_SHARE: f64 = 0.95;
/// The desired state is lowered only to less than this share of its value; smaller steps are not
/// worthwhile.
const RELEASE_THRESHOLD: f64 = 0.85;

/// Targets of the routes of a service, as far as waits at engines determine whether they are met.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitTargets {
    /// Shortest time within which an answer has to begin.
    pub latency: Duration,
    /// Gaps of streams; `None` if no route has a target for them.
    pub gaps: Option<GapTarget>,
}

/// How long the streams of a service may be delayed by prompts at their engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapTarget {
    /// Time that the target leaves beyond the usual gap.
    pub headroom: Duration,
    /// Number of gaps in an average stream, each of which has to meet the target.
    pub gaps_per_stream: f64,
}

/// Utilization at which at most [`LATE_SHARE`] of the requests wait longer than their targets allow,
/// for prompts that arrive independently of each other; the lowest one while too little is known of
/// them.
#[must_use]
pub fn acceptable_utilization(targets: WaitTargets, prompts: Option<PromptDuration>) -> f64 {
    let Some(residual_s) = prompts.map(PromptDuration::residual_s) else {
        return MIN_UTILIZATION;
    };
    let first = utilization_for(targets.latency.as_secs_f64() - residual_s, residual_s, 1.0);
    let gaps = targets.gaps.map(|gaps| {
        utilization_for(
            gaps.headroom.as_secs_f64(),
            residual_s / DECODE_READ_SPEED_RATIO,
            gaps.gaps_per_stream,
        )
    });
    gaps.map_or(first, |gaps| first.min(gaps))
}

/// Highest utilization at which the wait exceeds `limit_s` at most [`LATE_SHARE`] times in `chances`
/// requests.
fn utilization_for(limit_s: f64, residual_s: f64, chances: f64) -> f64 {
    let waits = limit_s.max(0.0) / residual_s.max(MIN_RESIDUAL_S);
    let is_acceptable = |utilization: f64| {
        utilization * (-(1.0 - utilization) * waits).exp() * chances.max(1.0) <= LATE_SHARE
    };
    let (mut low, mut high) = (MIN_UTILIZATION, MAX_UTILIZATION);
    if is_acceptable(high) {
        return high;
    }
    for _ in 0..UTILIZATION_STEPS {
        let middle = f64::midpoint(low, high);
        if is_acceptable(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// What determines the number of needed engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Binding {
    /// The fleet that was there before the load was known.
    InitialFleet,
    /// The expected load and the spread of the forecast.
    Forecast,
    /// The load of the last few boot times.
    RecentLoad,
    /// The previous plan, because the need has hardly become lower.
    PreviousPlan,
}

impl Binding {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InitialFleet => "initial_fleet",
            Self::Forecast => "forecast",
            Self::RecentLoad => "recent_load",
            Self::PreviousPlan => "previous_plan",
        }
    }
}

/// Forecast of the engines that a service needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// How far it looks ahead.
    pub horizon: Duration,
    /// Engines needed now.
    pub observed: f64,
    /// Engines expected to be needed at the horizon.
    pub expected: f64,
    /// By how much earlier forecasts were too low.
    pub spread: f64,
    /// Forecast for now, made one horizon ago; `None` if there was none.
    pub forecast_before: Option<f64>,
    /// Engines needed, with the spread.
    pub needed: f64,
    /// What determines `needed`.
    pub binding: Binding,
}

impl Forecast {
    fn raise(&mut self, engines: f64, binding: Binding) {
        if engines > self.needed {
            self.needed = engines;
            self.binding = binding;
        }
    }
}

/// The fleet that was there before the load was known.
#[derive(Debug, Clone, Copy)]
struct InitialFleet {
    /// Engines that operators, or an earlier plan, held necessary.
    engines: f64,
    /// Headroom for peaks, for which operators could not plan.
    headroom_factor: f64,
}

impl Default for InitialFleet {
    fn default() -> Self {
        Self {
            engines: 0.0,
            headroom_factor: 1.0,
        }
    }
}

impl InitialFleet {
    /// Takes the present engines into account, as far as they are not replacements that this planner
    /// has seen ordered: what remains after the loss of a zone is what was needed.
    fn see(&mut self, present: &EngineCounts, autoscaling: &Autoscaling) {
        let is_operators_fleet = total(present, Contract::Spot) < 1.0;
        if is_operators_fleet && total(present, Contract::OnDemand) > 0.0 {
            self.headroom_factor = PEAK_HEADROOM_FACTOR;
        }
        if is_operators_fleet || self.headroom_factor <= 1.0 {
            let engines = engines_after_zone_loss(present, autoscaling);
            self.engines = self.engines.max(engines);
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Instant,
    /// Engines needed at that time.
    engines: f64,
    /// Engines that were then expected for one horizon later.
    expected: f64,
}

/// Capacity planner of one service that follows a forecast.
#[derive(Debug, Default)]
pub struct ForecastPlanner {
    /// Observations of the last few boot times, oldest first.
    observations: VecDeque<Observation>,
    initial: InitialFleet,
    load_known_since: Option<Instant>,
    /// Engines needed according to the last plan.
    planned_needed: Option<f64>,
}

impl ForecastPlanner {
    /// Records the measured load and the present engines. Daemons that are not the leader also
    /// observe, so that they can take over.
    pub fn observe(
        &mut self,
        work: Option<StageWork>,
        utilization: f64,
        present: &EngineCounts,
        autoscaling: &Autoscaling,
        now: Instant,
    ) {
        let measured = work.filter(|work| work.total() > 0.0 || work.slots > 0.0);
        if measured.is_some() {
            self.load_known_since.get_or_insert(now);
        }
        // Right after the start, neither all engines nor the whole load are known.
        if self
            .load_known_for(now)
            .is_none_or(|time| time < autoscaling.boot)
        {
            self.initial.see(present, autoscaling);
        }
        let engines = measured.map_or(0.0, |work| engines_for_load(work, utilization));
        let kept = kept_time(autoscaling);
        while let Some(oldest) = self.observations.front()
            && now.saturating_duration_since(oldest.at) > kept
        {
            self.observations.pop_front();
        }
        let expected = self.expected(engines, autoscaling.boot, now);
        self.observations.push_back(Observation {
            at: now,
            engines,
            expected,
        });
    }

    /// Forecast as of the last observation; `None` before the first one.
    #[must_use]
    pub fn forecast(&self, autoscaling: &Autoscaling) -> Option<Forecast> {
        let newest = self.observations.back()?;
        let horizon = autoscaling.boot;
        let errors = self.observations.iter().filter_map(|observation| {
            // A forecast made before the load was known says nothing about its changes.
            let known_for = self.load_known_for(observation.at)?;
            let before = self.expected_for(observation.at, horizon)?;
            (known_for >= horizon * 2).then(|| (observation.engines - before).max(0.0))
        });
        let spread = covering(errors.collect());
        let recent = covering(self.observations.iter().map(|past| past.engines).collect());
        let mut forecast = Forecast {
            horizon,
            observed: newest.engines,
            expected: newest.expected,
            spread,
            forecast_before: self.expected_for(newest.at, horizon),
            needed: newest.expected + spread,
            binding: Binding::Forecast,
        };
        forecast.raise(recent, Binding::RecentLoad);
        let is_load_new = self
            .load_known_for(newest.at)
            .is_none_or(|time| time <= kept_time(autoscaling));
        if is_load_new {
            forecast.raise(
                self.initial.engines * self.initial.headroom_factor,
                Binding::InitialFleet,
            );
        }
        if let Some(planned) = self.planned_needed
            && forecast.needed >= planned * RELEASE_THRESHOLD
        {
            forecast.raise(planned, Binding::PreviousPlan);
        }
        Some(forecast)
    }

    /// Computes the desired state; `None` before the first observation. In `zones_without_spot`
    /// zones the provider has no spot engines at present; the others replace them.
    pub fn plan(
        &mut self,
        present: &EngineCounts,
        autoscaling: &Autoscaling,
        on_demand_share: f64,
        zones_without_spot: usize,
    ) -> Option<(CapacityPlan, Forecast)> {
        let forecast = self.forecast(autoscaling)?;
        self.planned_needed = Some(forecast.needed);
        // While engines are replaced, headroom for peaks of an unknown load is not needed.
        let min_running = match forecast.binding {
            Binding::InitialFleet => self.initial.engines.max(forecast.observed),
            _ => forecast.needed,
        };
        let zones = zones(present, autoscaling);
        let plan = spread_spot_first(
            forecast.needed,
            &zones,
            present,
            autoscaling,
            on_demand_share,
            zones_without_spot,
        );
        let plan = CapacityPlan {
            min_running,
            ..plan
        };
        Some((plan, forecast))
    }

    /// Engines expected one boot time after `now`, from the average of the last [`LEVEL_BOOTS`] boot
    /// times and its change since the average of as long before.
    fn expected(&self, newest: f64, boot: Duration, now: Instant) -> f64 {
        let newest = std::iter::once((Duration::ZERO, newest));
        let past = self.observations.iter().map(|observation| {
            let age = now.saturating_duration_since(observation.at);
            (age, observation.engines)
        });
        let observed: Vec<_> = newest.chain(past).collect();
        let span = boot * LEVEL_BOOTS;
        let level = mean(observed.iter().filter(|(age, _engines)| *age < span));
        let before = mean(
            observed
                .iter()
                .filter(|(age, _engines)| (span..span * 2).contains(age)),
        );
        let level = level.unwrap_or_default();
        let change = before.map_or(0.0, |before| level - before);
        (level + change / f64::from(LEVEL_BOOTS)).max(0.0)
    }

    fn load_known_for(&self, now: Instant) -> Option<Duration> {
        let since = self.load_known_since?;
        Some(now.saturating_duration_since(since))
    }

    /// What was expected for `at` one horizon before.
    fn expected_for(&self, at: Instant, horizon: Duration) -> Option<f64> {
        let made_at = at.checked_sub(horizon)?;
        let made = self
            .observations
            .iter()
            .rev()
            .find(|past| past.at <= made_at)?;
        Some(made.expected)
    }
}

fn kept_time(autoscaling: &Autoscaling) -> Duration {
    autoscaling.boot * KEPT_BOOTS
}

/// Engines that carry this load. The stages have engines of their own: those that decode need slots
/// for their streams, those that prefill need time.
fn engines_for_load(work: StageWork, utilization: f64) -> f64 {
    let slots = (work.decode / STREAM_SLOT_WEIGHT).max(work.slots);
    let decoders = (slots / MAX_SLOT_SHARE).max(work.decode / utilization);
    decoders + (work.prefill + work.short_reading) / utilization
}

fn mean<'a>(observed: impl Iterator<Item = &'a (Duration, f64)>) -> Option<f64> {
    let (sum, observations) = observed.fold((0.0, 0.0), |(sum, observations), (_age, engines)| {
        (sum + engines, observations + 1.0)
    });
    (observations > 0.0).then(|| sum / observations)
}

/// The smallest value that covers [`COVERED_SHARE`] of `values`.
fn covering(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index into a short list"
    )]
    let index = (count(values.len()) * COVERED_SHARE).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}
