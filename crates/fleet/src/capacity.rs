//! Plans how many on-demand and spot engines a service has in each zone.
//!
//! On-demand engines run until they are released. Spot engines are cheaper, but all of a zone may
//! be withdrawn at once. Capacity is therefore planned such that the remaining engines still carry
//! the load without the spot engines of any single zone; spot engines are used if the number needed
//! for this costs less than on-demand ones.
//!
//! The plan is a desired state. It follows the highest load within a time window: it is raised
//! immediately and lowered only after the load has been lower for long.

mod forecast;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::configuration::Autoscaling;
use crate::directory::{BackEnd, Lifecycle};
use crate::stages::StageWork;

pub use forecast::{
    Binding, Forecast, ForecastPlanner, GapTarget, WaitTargets, acceptable_utilization,
};

/// Headroom for peaks relative to the current size. Applies to fleets with unknown load and without
/// spot engines, whose operators could not plan for peaks.
const PEAK_HEADROOM_FACTOR: f64 = 1.5;
/// Maximum share of held slots; above it streams wait for each other.
const MAX_SLOT_SHARE: f64 = 0.6;
/// Delay before scaling down, as a multiple of the boot time: an engine that is released and needed
/// again is missing for one boot time and has lost its cache.
const SCALE_DOWN_DELAY_BOOTS: u32 = 15;
/// The desired state is lowered only to less than this share of its value; smaller steps are not
/// worthwhile.
const SCALE_DOWN_THRESHOLD: f64 = 0.85;

/// Settings of the capacity planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacitySettings {
    /// Target utilization of the engines at peak load after the loss of one zone's spot engines.
    pub busy_share: f64,
    /// Minimum share of on-demand engines among the needed engines.
    pub on_demand_share: f64,
}

/// Contract under which an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Contract {
    /// Runs until it is released.
    OnDemand,
    /// Runs until its provider withdraws it, together with all others of its zone.
    Spot,
}

impl Contract {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OnDemand => "on_demand",
            Self::Spot => "spot",
        }
    }

    const fn other(self) -> Self {
        match self {
            Self::OnDemand => Self::Spot,
            Self::Spot => Self::OnDemand,
        }
    }
}

/// Number of engines by zone and contract.
pub type EngineCounts = BTreeMap<(Arc<str>, Contract), u32>;

/// Counts the engines that accept requests, by zone and contract.
#[must_use]
pub fn count_ready<'a>(engines: impl Iterator<Item = &'a Arc<BackEnd>>) -> EngineCounts {
    let mut counts = EngineCounts::new();
    for engine in engines.filter(|engine| engine.lifecycle == Lifecycle::Ready) {
        let key = (Arc::clone(&engine.zone), engine.contract);
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Desired state and the reasons for it.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityPlan {
    /// Desired number of engines for each zone and contract.
    pub desired: EngineCounts,
    /// Number of engines needed for the load.
    pub needed: f64,
    /// Number of engines left after the loss of one zone's spot engines.
    pub left_after_loss: f64,
    /// Engines that must be running while others are replaced. Contains no headroom for peaks or
    /// the loss of a zone, since a replacement takes only seconds.
    pub min_running: f64,
}

/// Capacity planner of one service.
#[derive(Debug, Default)]
pub struct CapacityPlanner {
    /// Estimates of the needed engines, newest last.
    recent: VecDeque<(Instant, f64)>,
    /// Needed engines when the desired state was last changed.
    planned_needed: Option<f64>,
}

impl CapacityPlanner {
    /// Records the measured load and the present engines. Daemons that are not the leader also
    /// observe, so that they can take over.
    pub fn observe(
        &mut self,
        work: Option<StageWork>,
        present: &EngineCounts,
        autoscaling: &Autoscaling,
        settings: CapacitySettings,
        now: Instant,
    ) {
        let measured = work.filter(|work| work.total() > 0.0);
        let is_first = self.recent.is_empty();
        let needed = match measured {
            // A daemon that has just started knows only part of the load and must not release the
            // engines that carry the rest.
            Some(work) if is_first => {
                engines_for_load(work, settings).max(engines_after_zone_loss(present, autoscaling))
            }
            Some(work) => engines_for_load(work, settings),
            None => engines_for_unknown_load(present, autoscaling, is_first),
        };
        self.recent.push_back((now, needed));
        let kept = autoscaling.boot * SCALE_DOWN_DELAY_BOOTS;
        while let Some((at, _needed)) = self.recent.front()
            && now.saturating_duration_since(*at) > kept
        {
            self.recent.pop_front();
        }
    }

    /// Computes the desired state; `None` before the first observation.
    pub fn plan(
        &mut self,
        present: &EngineCounts,
        autoscaling: &Autoscaling,
        settings: CapacitySettings,
    ) -> Option<CapacityPlan> {
        let highest = self
            .recent
            .iter()
            .map(|(_at, needed)| *needed)
            .reduce(f64::max)?;
        let needed = match self.planned_needed {
            Some(planned_needed)
                if highest <= planned_needed
                    && highest >= planned_needed * SCALE_DOWN_THRESHOLD =>
            {
                planned_needed
            }
            _ => highest,
        };
        self.planned_needed = Some(needed);
        let zones = zones(present, autoscaling);
        Some(spread_over_zones(
            needed,
            &zones,
            autoscaling,
            settings.on_demand_share,
        ))
    }
}

/// Number of engines needed for this load.
fn engines_for_load(work: StageWork, settings: CapacitySettings) -> f64 {
    let by_time = work.total() / settings.busy_share;
    let by_slots = work.slots / MAX_SLOT_SHARE;
    by_time.max(by_slots)
}

/// Number of engines needed by a fleet of unknown load. A fleet with spot engines was planned
/// before: what remains after the loss of a zone is what was needed then. Only the first estimate
/// uses it, because later ones may see engines that this planner ordered itself.
fn engines_for_unknown_load(
    present: &EngineCounts,
    autoscaling: &Autoscaling,
    is_first: bool,
) -> f64 {
    if total(present, Contract::Spot) < 1.0 {
        return total(present, Contract::OnDemand) * PEAK_HEADROOM_FACTOR;
    }
    if is_first {
        engines_after_zone_loss(present, autoscaling)
    } else {
        0.0
    }
}

/// Number of engines left without the spot engines of one zone.
fn engines_after_zone_loss(present: &EngineCounts, autoscaling: &Autoscaling) -> f64 {
    let zones = count(zones(present, autoscaling).len().max(1));
    let spot = total(present, Contract::Spot);
    total(present, Contract::OnDemand) + spot * (zones - 1.0) / zones
}

fn total(counts: &EngineCounts, contract: Contract) -> f64 {
    let of_contract = counts
        .iter()
        .filter(|((_zone, kind), _count)| *kind == contract);
    of_contract.map(|(_key, count)| f64::from(*count)).sum()
}

/// Zones in which the service may run.
fn zones(present: &EngineCounts, autoscaling: &Autoscaling) -> Vec<Arc<str>> {
    if !autoscaling.zone_prices.is_empty() {
        return autoscaling.zone_prices.keys().cloned().collect();
    }
    let mut zones: Vec<Arc<str>> = present
        .keys()
        .map(|(zone, _kind)| Arc::clone(zone))
        .collect();
    zones.dedup();
    zones
}

fn spread_over_zones(
    needed: f64,
    zones: &[Arc<str>],
    autoscaling: &Autoscaling,
    on_demand_share: f64,
) -> CapacityPlan {
    let zone_count = count(zones.len().max(1));
    let maximum = f64::from(autoscaling.maximum);
    let minimum = f64::from(autoscaling.minimum);
    let in_bounds = |engines: f64| engines.ceil().clamp(minimum.min(maximum), maximum);
    let (on_demand, spot) = if is_spot_cheaper(autoscaling, zone_count) {
        let on_demand = in_bounds(needed * on_demand_share / zone_count);
        let rest = (needed - on_demand * zone_count).max(0.0);
        let spot = (rest / (zone_count - 1.0)).ceil().min(maximum - on_demand);
        (on_demand, spot)
    } else {
        (in_bounds(needed / zone_count), 0.0)
    };
    to_plan(needed, zones, autoscaling, on_demand, spot)
}

/// The plan with these numbers of engines in each zone.
fn to_plan(
    needed: f64,
    zones: &[Arc<str>],
    autoscaling: &Autoscaling,
    on_demand: f64,
    spot: f64,
) -> CapacityPlan {
    let zone_count = count(zones.len().max(1));
    let mut desired = EngineCounts::new();
    for zone in zones {
        desired.insert(
            (Arc::clone(zone), Contract::OnDemand),
            to_engine_count(on_demand),
        );
        if autoscaling.spot_price.is_some() {
            desired.insert((Arc::clone(zone), Contract::Spot), to_engine_count(spot));
        }
    }
    CapacityPlan {
        desired,
        needed,
        min_running: needed / PEAK_HEADROOM_FACTOR,
        left_after_loss: on_demand * zone_count + spot * (zone_count - 1.0),
    }
}

/// Like [`spread_over_zones`], but without on-demand engines beyond `on_demand_share` where spot
/// engines fill the minimum of each zone, and with more engines in the other zones while the
/// provider has no spot engines in some. The number is the same in all zones: with more engines in
/// cheaper zones, their loss would leave fewer, and the spare ones would cost more than is saved.
fn spread_spot_first(
    needed: f64,
    zones: &[Arc<str>],
    present: &EngineCounts,
    autoscaling: &Autoscaling,
    on_demand_share: f64,
    zones_without_spot: usize,
) -> CapacityPlan {
    let zone_count = count(zones.len().max(1));
    if !is_spot_cheaper(autoscaling, zone_count) {
        return spread_over_zones(needed, zones, autoscaling, on_demand_share);
    }
    let maximum = f64::from(autoscaling.maximum);
    let minimum = f64::from(autoscaling.minimum).min(maximum);
    let on_demand = (needed * on_demand_share / zone_count).ceil().min(maximum);
    let rest = (needed - on_demand * zone_count).max(0.0);
    let carrying_zones = zones.len().saturating_sub(zones_without_spot + 1).max(1);
    let spot = (rest / count(carrying_zones))
        .ceil()
        .max(minimum - on_demand)
        .min(maximum - on_demand);
    if zones_without_spot < zones.len() {
        return to_plan(needed, zones, autoscaling, on_demand, spot);
    }
    // No zone can replace another. On-demand engines replace what is missing beyond the loss of one.
    let missing = (spot * (zone_count - 1.0) - total(present, Contract::Spot)).max(0.0);
    let on_demand = (on_demand + (missing / zone_count).ceil()).clamp(minimum, maximum);
    to_plan(needed, zones, autoscaling, on_demand, spot)
}

/// Whether spot engines, with the spare capacity for the loss of one zone, cost less than on-demand
/// engines.
fn is_spot_cheaper(autoscaling: &Autoscaling, zones: f64) -> bool {
    zones > 1.0
        && autoscaling
            .spot_price
            .is_some_and(|price| price * zones / (zones - 1.0) < 1.0)
}

/// Next step from the present engines towards the plan. No zone exceeds its maximum over both
/// contracts, and engines are released only if the remaining ones carry the load.
#[must_use]
pub fn next_step(
    plan: &CapacityPlan,
    present: &EngineCounts,
    autoscaling: &Autoscaling,
) -> EngineCounts {
    let present_count = |key: &(Arc<str>, Contract)| present.get(key).copied().unwrap_or_default();
    let ready: u32 = present.values().sum();
    let mut spare = to_engine_count((f64::from(ready) - plan.min_running).max(0.0));
    let mut step = EngineCounts::new();
    for (key, desired) in &plan.desired {
        let removed = present_count(key).saturating_sub(*desired).min(spare);
        spare -= removed;
        step.insert(key.clone(), present_count(key).max(*desired) - removed);
    }
    for (key, desired) in &plan.desired {
        let (zone, contract) = key;
        let other = (Arc::clone(zone), contract.other());
        let room = autoscaling.maximum.saturating_sub(present_count(&other));
        if present_count(key) < *desired {
            step.insert(key.clone(), (*desired).min(room).max(present_count(key)));
        }
    }
    step
}

#[expect(clippy::cast_precision_loss, reason = "a few zones")]
const fn count(zones: usize) -> f64 {
    zones as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded by the configuration's maximum; a cast saturates"
)]
const fn to_engine_count(engines: f64) -> u32 {
    engines as u32
}
