//! The planner: samples in, plans out.

use std::collections::BTreeMap;

use super::candidates::{Census, ROLES, allowed_away};
use super::capacity::EngineCapacity;
use super::demand::{DemandHistory, summary};
use super::measured::MeasuredCapacity;
use super::plan::{
    KeepReason, ModelAssessment, Plan, RoleDecision, RoleReason, RoleTarget, SplitComparison,
};
use super::sample::{DemandSample, EngineAvailability, EngineSample, EngineState};
use super::selection::select;
use super::settings::PlannerSettings;
use super::split::RoleSplit;
use super::value::{ChangeCost, Horizon, Transition};
use crate::{EngineRole, MachineId, ModelName, Timestamp};

/// Which roles a plan wanted to grow and which to shrink.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Direction {
    prefill: std::cmp::Ordering,
    decode: std::cmp::Ordering,
    mixed: std::cmp::Ordering,
}

/// What is kept of a model between plans.
#[derive(Debug, Clone)]
struct ModelMemory {
    history: DemandHistory,
    measured: MeasuredCapacity,
    wanted: Option<Direction>,
    agreed: u32,
}

/// Plans the roles of a cell's engines, each model by itself.
#[derive(Debug, Clone)]
pub struct RolePlanner {
    settings: PlannerSettings,
    models: BTreeMap<ModelName, ModelMemory>,
}

/// Changes decided so far for one model.
#[derive(Debug, Default)]
struct Changes {
    decisions: Vec<RoleDecision>,
}

impl RolePlanner {
    /// A planner that knows no demand yet.
    #[must_use]
    pub const fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            models: BTreeMap::new(),
        }
    }

    /// The settings.
    #[must_use]
    pub const fn settings(&self) -> &PlannerSettings {
        &self.settings
    }

    /// Takes the demand of a window that ends now.
    pub fn observe(&mut self, now: Timestamp, sample: &DemandSample) {
        let settings = self.settings.clone();
        let memory = self.memory(&sample.model);
        memory.history.add(now, sample, &settings);
    }

    /// Takes the work of an engine in a window that ends now.
    pub fn observe_engine(&mut self, _now: Timestamp, sample: &EngineSample) {
        self.memory(&sample.model).measured.observe(sample);
    }

    /// The capacity of one engine of a model, as far as it was measured.
    #[must_use]
    pub fn capacity(&self, model: &ModelName) -> EngineCapacity {
        let memory = self.models.get(model);
        memory.map_or(self.settings.engine, |memory| memory.measured.capacity())
    }

    /// Plans the roles of all engines. Engines of different models are planned apart.
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

    fn memory(&mut self, model: &ModelName) -> &mut ModelMemory {
        let engine = self.settings.engine;
        self.models
            .entry(model.clone())
            .or_insert_with(|| ModelMemory {
                history: DemandHistory::default(),
                measured: MeasuredCapacity::new(engine),
                wanted: None,
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
        let memory = self.memory(model);
        let census = Census::new(now, engines, &settings);
        let mut changes = Changes::default();
        changes.obey_pins(engines, &settings, census);
        let pins_changed = !changes.decisions.is_empty();
        changes.assign(engines, &settings, memory, now, census.settled);
        let kept = if pins_changed {
            None
        } else {
            memory.rebalance(now, engines, &settings, census, &mut changes)
        };
        plan.targets.extend(changes.targets(engines));
        plan.models.push(ModelAssessment {
            model: model.clone(),
            split: census.settled,
            away: census.away,
            kept,
        });
        plan.decisions.extend(changes.decisions);
    }
}

impl Changes {
    /// Changes serving engines to the roles they are pinned to, as far as the share away allows.
    fn obey_pins(&mut self, engines: &[&EngineState], settings: &PlannerSettings, census: Census) {
        let mut serving = census.serving;
        let mut budget = allowed_away(census.settled.total(), settings).saturating_sub(census.away);
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

    /// Gives engines without a role the one that serves most.
    fn assign(
        &mut self,
        engines: &[&EngineState],
        settings: &PlannerSettings,
        memory: &ModelMemory,
        now: Timestamp,
        settled: RoleSplit,
    ) {
        let mut split = settled;
        let horizon = memory.horizon(now, settings);
        for engine in engines {
            if engine.availability != EngineAvailability::Unassigned {
                continue;
            }
            let role = engine
                .pinned
                .unwrap_or_else(|| memory.best_role(&horizon, split, settings));
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

impl ModelMemory {
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
            away: settings.drain + settings.role_change,
            cold: settings.cold_cache,
        };
        horizon.goodput(transition, cost, &self.measured.capacity(), settings)
    }

    /// Looks for a split that pays. Returns why the roles were kept, if they were.
    fn rebalance(
        &mut self,
        now: Timestamp,
        engines: &[&EngineState],
        settings: &PlannerSettings,
        census: Census,
        changes: &mut Changes,
    ) -> Option<KeepReason> {
        let reachable = census.reachable();
        if reachable.is_empty() {
            return Some(KeepReason::NoneReachable);
        }
        let samples = self.history.len();
        let is_served = census.settled.can_serve();
        if is_served && samples < settings.minimum_samples {
            return Some(KeepReason::TooFewSamples { samples });
        }
        let best = self.best(now, settings, census, &reachable)?;
        let reason = if is_served {
            if best.gain() <= best.gain_needed {
                self.wanted = None;
                return Some(KeepReason::NoGain { best });
            }
            let agreed = self.agree(direction(best.from, best.to));
            if agreed < settings.confirmations {
                return Some(KeepReason::Unconfirmed { best, agreed });
            }
            RoleReason::Gain(best)
        } else {
            RoleReason::Unserved {
                split: census.settled,
            }
        };
        for selected in select(now, engines, best.from, best.to, settings) {
            changes.push(selected.engine, Some(selected.from), selected.to, reason);
        }
        None
    }

    /// The split with the largest gain beyond what its changes must gain.
    fn best(
        &self,
        now: Timestamp,
        settings: &PlannerSettings,
        census: Census,
        reachable: &[Transition],
    ) -> Option<SplitComparison> {
        let forecast = self.history.forecast(now, settings);
        let horizon = self.horizon(now, settings);
        let demand = summary(&forecast, settings);
        let goodput_kept = self.value(&horizon, &census.stay(), settings);
        let compare = |transition: &Transition| SplitComparison {
            from: census.settled,
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

    fn agree(&mut self, direction: Direction) -> u32 {
        if self.wanted == Some(direction) {
            self.agreed += 1;
        } else {
            self.wanted = Some(direction);
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
        meanwhile: split,
        after: split,
        changes: 0,
        changed_readers: 0,
    }
}
