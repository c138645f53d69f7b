//! Role planner that turns demand and engine samples into plans.

use std::collections::BTreeMap;

use super::candidates::{EngineCounts, ROLES, unavailable_limit};
use super::capacity::EngineCapacity;
use super::demand::{DemandHistory, summarize_forecast};
use super::measured::MeasuredCapacity;
use super::plan::{
    KeepReason, ModelAssessment, Plan, RoleDecision, RoleReason, RoleTarget, SplitComparison,
};
use super::sample::{DemandSample, EngineAvailability, EngineSample, EngineState};
use super::selection::select_engines;
use super::settings::PlannerSettings;
use super::split::RoleSplit;
use super::value::{ChangeCost, Horizon, Transition};
use crate::{EngineRole, MachineId, ModelName, Timestamp};

/// Direction in which a plan proposes to change the number of engines in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Direction {
    prefill: std::cmp::Ordering,
    decode: std::cmp::Ordering,
    mixed: std::cmp::Ordering,
}

/// State of a model that is kept between plans.
#[derive(Debug, Clone)]
struct ModelState {
    history: DemandHistory,
    measured: MeasuredCapacity,
    proposed_direction: Option<Direction>,
    agreed: u32,
}

/// Plans the roles of a cell's engines, independently for each model.
#[derive(Debug, Clone)]
pub struct RolePlanner {
    settings: PlannerSettings,
    models: BTreeMap<ModelName, ModelState>,
}

/// Role changes decided so far for one model.
#[derive(Debug, Default)]
struct Changes {
    decisions: Vec<RoleDecision>,
}

impl RolePlanner {
    /// Creates a planner without demand history.
    #[must_use]
    pub const fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            models: BTreeMap::new(),
        }
    }

    /// Settings of this planner.
    #[must_use]
    pub const fn settings(&self) -> &PlannerSettings {
        &self.settings
    }

    /// Adds a demand sample whose window ends now.
    pub fn observe(&mut self, now: Timestamp, sample: &DemandSample) {
        let settings = self.settings.clone();
        let model_state = self.model_state(&sample.model);
        model_state.history.add(now, sample, &settings);
    }

    /// Updates the measured capacity from an engine sample whose window ends now.
    pub fn observe_engine(&mut self, _now: Timestamp, sample: &EngineSample) {
        self.model_state(&sample.model).measured.observe(sample);
    }

    /// Estimated capacity of one engine of a model; the configured assumption without measurements.
    #[must_use]
    pub fn capacity(&self, model: &ModelName) -> EngineCapacity {
        let model_state = self.models.get(model);
        model_state.map_or(self.settings.engine, |model_state| {
            model_state.measured.capacity()
        })
    }

    /// Plans the roles of all engines, and forgets models without engines.
    pub fn plan(&mut self, now: Timestamp, engines: &[EngineState]) -> Plan {
        let mut by_model: BTreeMap<&ModelName, Vec<&EngineState>> = BTreeMap::new();
        for engine in engines {
            by_model.entry(&engine.model).or_default().push(engine);
        }
        self.models.retain(|model, _| by_model.contains_key(model));
        let mut plan = Plan::default();
        for (model, mut engines) in by_model {
            engines.sort_by_key(|engine| engine.id);
            self.plan_model(now, model, &engines, &mut plan);
        }
        plan.targets.sort_by_key(|target| target.engine);
        plan
    }

    fn model_state(&mut self, model: &ModelName) -> &mut ModelState {
        let engine = self.settings.engine;
        self.models
            .entry(model.clone())
            .or_insert_with(|| ModelState {
                history: DemandHistory::default(),
                measured: MeasuredCapacity::new(engine),
                proposed_direction: None,
                agreed: 0,
            })
    }

    fn plan_model(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        engines: &[&EngineState],
        plan: &mut Plan,
    ) {
        let settings = self.settings.clone();
        let model_state = self.model_state(model);
        let counts = EngineCounts::new(now, engines, &settings);
        let mut changes = Changes::default();
        changes.apply_pins(engines, &settings, counts);
        let pins_changed = !changes.decisions.is_empty();
        changes.assign_roles(engines, &settings, model_state, now, counts.settled);
        let kept = if pins_changed {
            None
        } else {
            model_state.rebalance(now, engines, &settings, counts, &mut changes)
        };
        plan.targets.extend(changes.targets(engines));
        plan.models.push(ModelAssessment {
            model: model.clone(),
            split: counts.settled,
            away: counts.unavailable,
            kept,
        });
        plan.decisions.extend(changes.decisions);
    }
}

impl Changes {
    /// Changes serving engines to their pinned roles, within the limit on unavailable engines.
    fn apply_pins(
        &mut self,
        engines: &[&EngineState],
        settings: &PlannerSettings,
        counts: EngineCounts,
    ) {
        let mut serving = counts.serving;
        let mut budget =
            unavailable_limit(counts.settled.total(), settings).saturating_sub(counts.unavailable);
        for engine in engines {
            let (Some(pinned), Some(role)) = (engine.pinned, engine.role) else {
                continue;
            };
            let is_serving = engine.availability == EngineAvailability::Serving;
            let without = serving.without(role);
            if pinned == role || !is_serving || budget == 0 || !without.can_serve() {
                continue;
            }
            serving = without;
            budget -= 1;
            self.push(engine.id, Some(role), pinned, RoleReason::Pinned);
        }
    }

    /// Assigns each engine without a role the role that increases goodput most.
    fn assign_roles(
        &mut self,
        engines: &[&EngineState],
        settings: &PlannerSettings,
        model_state: &ModelState,
        now: Timestamp,
        settled: RoleSplit,
    ) {
        let mut split = settled;
        let horizon = model_state.horizon(now, settings);
        for engine in engines {
            if engine.availability != EngineAvailability::Unassigned {
                continue;
            }
            let role = engine
                .pinned
                .unwrap_or_else(|| model_state.best_role(&horizon, split, settings));
            split = split.with(role);
            let reason = match engine.pinned {
                Some(_) => RoleReason::Pinned,
                None => RoleReason::Unassigned { split },
            };
            self.push(engine.id, engine.role, role, reason);
        }
    }

    fn push(
        &mut self,
        engine: MachineId,
        from: Option<EngineRole>,
        to: EngineRole,
        reason: RoleReason,
    ) {
        self.decisions.push(RoleDecision {
            engine,
            from,
            to,
            reason,
        });
    }

    fn targets(&self, engines: &[&EngineState]) -> Vec<RoleTarget> {
        let target = |engine: &&EngineState| {
            let decided = self
                .decisions
                .iter()
                .find(|decision| decision.engine == engine.id)
                .map(|decision| decision.to);
            let role = match engine.availability {
                EngineAvailability::Lost => None,
                EngineAvailability::Changing { to } => Some(to),
                EngineAvailability::Serving | EngineAvailability::Unassigned => {
                    decided.or(engine.role)
                }
            };
            role.map(|role| RoleTarget {
                engine: engine.id,
                role,
            })
        };
        engines.iter().filter_map(target).collect()
    }
}

impl ModelState {
    fn horizon(&self, now: Timestamp, settings: &PlannerSettings) -> Horizon {
        let forecast = self.history.forecast(now, settings);
        let backlog = self.history.waiting_prompt_tokens() as f64;
        Horizon::new(&forecast, backlog, self.history.past(), settings)
    }

    fn best_role(
        &self,
        horizon: &Horizon,
        split: RoleSplit,
        settings: &PlannerSettings,
    ) -> EngineRole {
        if horizon.is_idle() {
            return EngineRole::Mixed;
        }
        let value = |role: EngineRole| self.value(horizon, &settled(split.with(role)), settings);
        ROLES
            .into_iter()
            .max_by(|left, right| value(*left).total_cmp(&value(*right)))
            .unwrap_or(EngineRole::Mixed)
    }

    fn value(&self, horizon: &Horizon, transition: &Transition, settings: &PlannerSettings) -> f64 {
        let cost = ChangeCost {
            unavailable: settings.drain + settings.role_change,
            cold_cache: settings.cold_cache,
        };
        horizon.goodput(transition, cost, &self.measured.capacity(), settings)
    }

    /// Searches for a split with sufficient gain. Returns the reason if the roles are kept.
    fn rebalance(
        &mut self,
        now: Timestamp,
        engines: &[&EngineState],
        settings: &PlannerSettings,
        counts: EngineCounts,
        changes: &mut Changes,
    ) -> Option<KeepReason> {
        let reachable = counts.reachable();
        if reachable.is_empty() {
            return Some(KeepReason::NoneReachable);
        }
        let samples = self.history.len();
        let is_served = counts.settled.can_serve();
        if is_served && samples < settings.minimum_samples {
            return Some(KeepReason::TooFewSamples { samples });
        }
        let best = self.best(now, settings, counts, &reachable)?;
        let reason = if is_served {
            if best.gain() <= best.gain_needed {
                self.proposed_direction = None;
                return Some(KeepReason::NoGain { best });
            }
            let agreed = self.record_agreement(direction(best.from, best.to));
            if agreed < settings.confirmations {
                return Some(KeepReason::Unconfirmed { best, agreed });
            }
            RoleReason::Gain(best)
        } else {
            RoleReason::Unserved {
                split: counts.settled,
            }
        };
        for selected in select_engines(now, engines, best.from, best.to, settings) {
            changes.push(selected.engine, Some(selected.from), selected.to, reason);
        }
        None
    }

    /// The split whose gain exceeds its required gain by the most.
    fn best(
        &self,
        now: Timestamp,
        settings: &PlannerSettings,
        counts: EngineCounts,
        reachable: &[Transition],
    ) -> Option<SplitComparison> {
        let forecast = self.history.forecast(now, settings);
        let horizon = self.horizon(now, settings);
        let demand = summarize_forecast(&forecast, settings);
        let goodput_kept = self.value(&horizon, &counts.without_changes(), settings);
        let compare = |transition: &Transition| SplitComparison {
            from: counts.settled,
            to: transition.after,
            goodput_kept,
            goodput_changed: self.value(&horizon, transition, settings),
            gain_needed: settings.gain_needed(transition.changes),
            demand,
        };
        let surplus = |comparison: &SplitComparison| comparison.gain() - comparison.gain_needed;
        reachable
            .iter()
            .map(compare)
            .max_by(|left, right| surplus(left).total_cmp(&surplus(right)))
    }

    fn record_agreement(&mut self, direction: Direction) -> u32 {
        if self.proposed_direction == Some(direction) {
            self.agreed += 1;
        } else {
            self.proposed_direction = Some(direction);
            self.agreed = 1;
        }
        self.agreed
    }
}

fn direction(from: RoleSplit, to: RoleSplit) -> Direction {
    Direction {
        prefill: to.prefill.cmp(&from.prefill),
        decode: to.decode.cmp(&from.decode),
        mixed: to.mixed.cmp(&from.mixed),
    }
}

/// A transition that changes nothing.
const fn settled(split: RoleSplit) -> Transition {
    Transition {
        during: split,
        after: split,
        changes: 0,
        cold_cache_engines: 0,
    }
}
