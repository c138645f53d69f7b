//! Passes load and demand to the role planner and applies its plans.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures::future::join_all;
use ponddrift_core::decision::DecisionKind;
use ponddrift_core::machine::MachineState;
use ponddrift_core::model_assignment::assign_models;
use ponddrift_core::orders::EnginePhase;
use ponddrift_core::roles::{
    DemandSample, EngineAvailability, EngineSample, EngineState, PlannerProfile,
    PlannerSettings as CorePlannerSettings, RoleDecision, RoleReason,
};
use ponddrift_core::{MachineId, Timestamp};
use ponddrift_engine::load::LoadSample;

use super::term::ControllerTerm;
use super::{ControllerActor, LoadRead};
use crate::actors::tell;
use crate::settings::{PlannerSettings, Profile};

/// Builds the planner settings from the daemon's settings.
pub(super) fn planner_settings(settings: &PlannerSettings) -> CorePlannerSettings {
    let profile = match settings.profile {
        Profile::Hanbit => PlannerProfile::Hanbit,
        Profile::HeadOffice => PlannerProfile::HeadOffice,
    };
    CorePlannerSettings {
        interval: settings.interval,
        minimum_dwell: settings.minimum_dwell,
        horizon: settings.horizon,
        ..CorePlannerSettings::of(profile)
    }
}

impl ControllerTerm {
    /// Takes the counters of the engines. The difference from the previous readings is the work
    /// done in the window between them.
    pub(super) fn apply_load_readings(
        &mut self,
        now: Timestamp,
        readings: BTreeMap<MachineId, LoadSample>,
    ) {
        let window = now.since(self.last_reading);
        self.last_reading = now;
        for (engine, reading) in &readings {
            let Some(earlier) = self.readings.get(engine) else {
                continue;
            };
            let is_same_incarnation = earlier.incarnation == reading.incarnation;
            let (Some(role), true) = (
                reading.role,
                is_same_incarnation && earlier.role == reading.role,
            ) else {
                continue;
            };
            let target = self
                .wanted
                .engines
                .iter()
                .find(|wish| wish.engine == *engine);
            let Some(target) = target.and_then(|wish| wish.target.as_ref()) else {
                continue;
            };
            let waiting = earlier.waiting.min(reading.waiting);
            let sample = EngineSample {
                engine: *engine,
                model: target.model.model.clone(),
                role,
                window,
                prompt_tokens: reading.prompt_tokens.saturating_sub(earlier.prompt_tokens),
                output_tokens: reading
                    .generated_tokens
                    .saturating_sub(earlier.generated_tokens),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
                running: u32::try_from(reading.running).unwrap_or(u32::MAX),
            };
            self.planner.observe_engine(now, &sample);
        }
        for (engine, reading) in &readings {
            let Some(role) = reading.role else { continue };
            let seen = self.observed_roles.entry(*engine).or_insert((role, now));
            if seen.0 != role {
                *seen = (role, now);
            }
        }
        self.readings = readings;
    }

    fn report_demand_to_planner(&mut self, now: Timestamp) {
        let window = now.since(self.last_plan);
        self.last_plan = now;
        let waiting = |reading: &LoadSample| reading.waiting_prompt_tokens;
        let waiting_prompt_tokens = self.readings.values().map(waiting).sum();
        let counted = self.demand.take();
        for model in self.wanted_models() {
            let sample = DemandSample {
                levels: counted.get(&model).cloned().unwrap_or_default(),
                model,
                window,
                waiting_requests: 0,
                waiting_prompt_tokens,
            };
            self.planner.observe(now, &sample);
        }
    }

    fn wanted_models(&self) -> Vec<ponddrift_core::ModelName> {
        let mut models: Vec<ponddrift_core::ModelName> = Vec::new();
        for wish in &self.wanted.engines {
            if let Some(target) = &wish.target
                && !models.contains(&target.model.model)
            {
                models.push(target.model.model.clone());
            }
        }
        models
    }
}

impl ControllerActor {
    pub(super) fn plan_if_due(&mut self, now: Timestamp) {
        let interval = self.deps.settings.planner.interval;
        let states = self.engine_states(now);
        let Some(term) = &mut self.term else {
            return;
        };
        if now < term.next_plan || !term.reconciler.has_claimed_reachable() {
            return;
        }
        term.next_plan = now + interval;
        term.report_demand_to_planner(now);
        let plan = term.planner.plan(now, &states);
        term.roles = plan
            .targets
            .iter()
            .map(|target| (target.engine, target.role))
            .collect();
        for decision in &plan.decisions {
            self.record_role_decision(decision);
        }
        self.read_load();
        if let Some(own) = self.own.as_ref().and_then(xtra::WeakAddress::try_upgrade) {
            tell(&own, ReleaseStaleMarks);
        }
    }

    fn record_role_decision(&self, decision: &RoleDecision) {
        let from = decision.from.map_or("none", |role| role.as_str());
        let outcome = format!("{from} to {}", decision.to);
        let subject = format!("engine {}", decision.engine);
        self.deps.decisions.record(
            DecisionKind::Role,
            subject,
            outcome,
            role_reason_text(&decision.reason),
        );
    }

    /// Builds the engine states that the planner takes as input.
    fn engine_states(&self, now: Timestamp) -> Vec<EngineState> {
        let Some(term) = &self.term else {
            return Vec::new();
        };
        let configuration = Arc::clone(&self.deps.configuration.borrow());
        let assigned = assign_models(&configuration, &self.holding_engines());
        let mut states = Vec::new();
        for machine in self.cell_engines() {
            let Some(model) = assigned.get(&machine.id) else {
                continue;
            };
            let seen = term.observed_roles.get(&machine.id);
            let reading = term.readings.get(&machine.id);
            let role = reading.and_then(|reading| reading.role);
            let sequences = reading.map_or(0, |reading| reading.waiting + reading.running);
            let is_leaving = machine.state == MachineState::Leaving;
            states.push(EngineState {
                id: machine.id,
                model: model.model.clone(),
                role,
                since: seen.map_or(now, |(_, since)| *since),
                pinned: configuration.pins.get(&machine.id).map(|pin| pin.role),
                availability: availability(term, machine.id, is_leaving),
                sequences: u32::try_from(sequences).unwrap_or(u32::MAX),
            });
        }
        states
    }

    /// Reads the counters of all engines of the cell; the result arrives as [`LoadRead`].
    fn read_load(&self) {
        let (Some(term), Some(own)) = (&self.term, self.own.clone()) else {
            return;
        };
        let token = term.token;
        let load = self.deps.load.clone();
        let engines = self.cell_engines();
        self.deps.runtime.spawner.spawn(Box::pin(async move {
            let readings = engines.iter().map(|engine| load.read(engine.address));
            let answers = join_all(readings).await;
            let readings = engines
                .iter()
                .zip(answers)
                .filter_map(|(engine, answer)| Some((engine.id, answer.ok()?)))
                .collect();
            if let Some(own) = own.try_upgrade() {
                tell(&own, LoadRead { token, readings });
            }
        }));
    }
}

fn availability(term: &ControllerTerm, engine: MachineId, is_leaving: bool) -> EngineAvailability {
    let Some(reading) = term.readings.get(&engine) else {
        return EngineAvailability::Lost;
    };
    if is_leaving {
        return EngineAvailability::Lost;
    }
    let planned = term.roles.get(&engine).copied();
    match (term.reconciler.phase(engine), planned, reading.role) {
        (Some(EnginePhase::SetAside) | None, _, _) => EngineAvailability::Lost,
        (Some(EnginePhase::Steady), _, Some(_)) => EngineAvailability::Serving,
        (Some(_), Some(to), _) => EngineAvailability::Changing { to },
        (Some(_), None, Some(role)) => EngineAvailability::Changing { to: role },
        (Some(_), None, None) => EngineAvailability::Unassigned,
    }
}

fn role_reason_text(reason: &RoleReason) -> String {
    match reason {
        RoleReason::Gain(comparison) => format!(
            "expected share in time {:.3} instead of {:.3}; demand {:.0} prompt and {:.0} output \
             tokens a second, {:.0} and {:.0} ahead",
            comparison.goodput_changed,
            comparison.goodput_kept,
            comparison.demand.prompt_tokens_now,
            comparison.demand.output_tokens_now,
            comparison.demand.prompt_tokens_ahead,
            comparison.demand.output_tokens_ahead,
        ),
        RoleReason::Pinned => String::from("an operator pinned it"),
        RoleReason::Unassigned { .. } => String::from("it had no role"),
        RoleReason::Unserved { .. } => {
            String::from("without the change no engine would serve one part of the requests")
        }
    }
}

/// Releases drain marks that an earlier controller left behind.
pub(crate) struct ReleaseStaleMarks;

impl xtra::Handler<ReleaseStaleMarks> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _message: ReleaseStaleMarks, _context: &mut xtra::Context<Self>) {
        self.release_stale_marks().await;
    }
}
