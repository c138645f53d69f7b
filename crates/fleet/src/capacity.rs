//! How many engines a service has in each zone, and under which contract.
//!
//! An on-demand engine stays until it is given back. A spot engine costs a fraction of that, and all of one zone may be
//! taken away together. So capacity is planned such that what is left without the spot engines of any one zone still carries
//! the load; where that many spot engines cost less than on-demand ones, they are taken.
//!
//! The plan is a desired state: it follows the highest load of some time, is raised at once and lowered only when the load has
//! been lower for long.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::configuration::Autoscaling;
use crate::directory::{BackEnd, Lifecycle};
use crate::stages::StageWork;

/// A fleet whose load is not known yet, and that holds no spot engine, is as its operators set it up; so many times as many
/// engines have room for peaks that they could not plan for.
const PEAK_ROOM: f64 = 1.5;
/// Share of the slots that streams may hold: beyond it they wait for each other.
const SLOTS_HELD: f64 = 0.6;
/// A lower load counts only after so many times the boot time: an engine that is given back and wanted again is missed for
/// that time, and what it had cached is gone.
const LOWER_AFTER_BOOTS: u32 = 15;
/// Desired state is lowered only to less than this share of what it is: smaller steps bring nothing.
const LEAST_LOWERING: f64 = 0.85;

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacitySettings {
    /// Share of their time that engines are to be busy at the peak, once the spot engines of a zone are gone.
    pub busy_share: f64,
    /// Share of the needed engines that are on-demand in any case.
    pub on_demand_share: f64,
}

/// How long an engine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Contract {
    /// Until it is given back.
    OnDemand,
    /// Until its provider takes it away, together with all others of its zone.
    Spot,
}

impl Contract {
    /// Name for logs.
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

/// Engines by zone and contract.
pub type EngineCounts = BTreeMap<(Arc<str>, Contract), u32>;

/// Engines that take requests, by zone and contract.
#[must_use]
pub fn count_ready<'a>(engines: impl Iterator<Item = &'a Arc<BackEnd>>) -> EngineCounts {
    let mut counts = EngineCounts::new();
    for engine in engines.filter(|engine| engine.lifecycle == Lifecycle::Ready) {
        let key = (Arc::clone(&engine.zone), engine.contract);
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// What is wanted, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityPlan {
    /// Desired engines of every zone and contract.
    pub desired: EngineCounts,
    /// Engines that the load needs.
    pub needed: f64,
    /// Engines left without the spot engines of a zone.
    pub left_after_loss: f64,
}

impl CapacityPlan {
    /// Engines that are left at any time while others are replaced: without room for peaks or the loss of a zone, since
    /// that takes seconds.
    fn carrying(&self) -> f64 {
        self.needed / PEAK_ROOM
    }
}

/// Plans the engines of one service.
#[derive(Debug, Default)]
pub struct CapacityPlanner {
    /// Needed engines as they were found, newest last.
    recent: VecDeque<(Instant, f64)>,
    /// What was needed when the desired state was last changed.
    settled: Option<f64>,
}

impl CapacityPlanner {
    /// Takes the load measured last, and the engines as they are. Daemons that do not lead observe too.
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
            // A daemon that has just started knows a part of the load, and would give back what carries the rest.
            Some(work) if is_first => {
                needed_by(work, settings).max(left_without_a_zone(present, autoscaling))
            }
            Some(work) => needed_by(work, settings),
            None => needed_unknown(present, autoscaling, is_first),
        };
        self.recent.push_back((now, needed));
        let kept = autoscaling.boot * LOWER_AFTER_BOOTS;
        while let Some((at, _needed)) = self.recent.front()
            && now.saturating_duration_since(*at) > kept
        {
            self.recent.pop_front();
        }
    }

    /// The desired state; none before anything was observed.
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
        let needed = match self.settled {
            Some(settled) if highest <= settled && highest >= settled * LEAST_LOWERING => settled,
            _ => highest,
        };
        self.settled = Some(needed);
        let zones = zones(present, autoscaling);
        Some(spread(needed, &zones, autoscaling, settings))
    }
}

/// Engines that this load needs.
fn needed_by(work: StageWork, settings: CapacitySettings) -> f64 {
    let by_time = work.total() / settings.busy_share;
    let by_slots = work.slots / SLOTS_HELD;
    by_time.max(by_slots)
}

/// Engines that a fleet of unknown load is taken to need. Once it holds spot engines it was planned before: what it keeps
/// after the loss of a zone is what was needed then. A planner that has estimated it before may have ordered them itself.
fn needed_unknown(present: &EngineCounts, autoscaling: &Autoscaling, is_first: bool) -> f64 {
    if total(present, Contract::Spot) < 1.0 {
        return total(present, Contract::OnDemand) * PEAK_ROOM;
    }
    if is_first {
        left_without_a_zone(present, autoscaling)
    } else {
        0.0
    }
}

/// Engines that are left without the spot engines of one zone.
fn left_without_a_zone(present: &EngineCounts, autoscaling: &Autoscaling) -> f64 {
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

fn spread(
    needed: f64,
    zones: &[Arc<str>],
    autoscaling: &Autoscaling,
    settings: CapacitySettings,
) -> CapacityPlan {
    let number = count(zones.len().max(1));
    let maximum = f64::from(autoscaling.maximum);
    let minimum = f64::from(autoscaling.minimum);
    let in_bounds = |engines: f64| engines.ceil().clamp(minimum.min(maximum), maximum);
    let (on_demand, spot) = if is_spot_cheaper(autoscaling, number) {
        let on_demand = in_bounds(needed * settings.on_demand_share / number);
        let rest = (needed - on_demand * number).max(0.0);
        let spot = (rest / (number - 1.0)).ceil().min(maximum - on_demand);
        (on_demand, spot)
    } else {
        (in_bounds(needed / number), 0.0)
    };
    let mut desired = EngineCounts::new();
    for zone in zones {
        desired.insert((Arc::clone(zone), Contract::OnDemand), whole(on_demand));
        if autoscaling.spot_price.is_some() {
            desired.insert((Arc::clone(zone), Contract::Spot), whole(spot));
        }
    }
    CapacityPlan {
        desired,
        needed,
        left_after_loss: on_demand * number + spot * (number - 1.0),
    }
}

/// Whether spot engines with one zone's worth to spare cost less than on-demand ones.
fn is_spot_cheaper(autoscaling: &Autoscaling, zones: f64) -> bool {
    zones > 1.0
        && autoscaling
            .spot_price
            .is_some_and(|price| price * zones / (zones - 1.0) < 1.0)
}

/// The desired state that can be ordered now, on the way to the plan: no zone holds more than it may, of both contracts
/// together, and engines are given back only as far as those that are left carry the load.
#[must_use]
pub fn next_step(
    plan: &CapacityPlan,
    present: &EngineCounts,
    autoscaling: &Autoscaling,
) -> EngineCounts {
    let there = |key: &(Arc<str>, Contract)| present.get(key).copied().unwrap_or_default();
    let ready: u32 = present.values().sum();
    let mut spare = whole((f64::from(ready) - plan.carrying()).max(0.0));
    let mut step = EngineCounts::new();
    for (key, desired) in &plan.desired {
        let given_back = there(key).saturating_sub(*desired).min(spare);
        spare -= given_back;
        step.insert(key.clone(), there(key).max(*desired) - given_back);
    }
    for (key, desired) in &plan.desired {
        let (zone, contract) = key;
        let other = (Arc::clone(zone), contract.other());
        let room = autoscaling.maximum.saturating_sub(there(&other));
        if there(key) < *desired {
            step.insert(key.clone(), (*desired).min(room).max(there(key)));
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
const fn whole(engines: f64) -> u32 {
    engines as u32
}
