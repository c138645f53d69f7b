//! What the cell shall be: models by the configuration, roles by the planner and the pins.

use std::collections::BTreeMap;
use std::sync::Arc;

use ponddrift_core::configuration::{Configuration, ServiceKind};
use ponddrift_core::machine::MachineState;
use ponddrift_core::model_assignment::{HoldingEngine, assign_models};
use ponddrift_core::orders::{
    EngineReport, EngineWish, OrdersEvent, RolloutLimit, TargetState, WantedState,
};
use ponddrift_core::{EngineRole, MachineId, ModelName, Timestamp};

use super::ControllerActor;

impl ControllerActor {
    /// Tells the reconciler what is wanted, when that changed.
    pub(super) fn update_wanted_state(&mut self, _now: Timestamp) {
        let wanted = self.wanted_state();
        let Some(term) = &mut self.term else {
            return;
        };
        if term.wanted == wanted {
            return;
        }
        term.wanted = wanted.clone();
        self.orders_event(OrdersEvent::Wanted(wanted));
    }

    /// The engines of the cell with the models they hold, or are about to.
    pub(super) fn holding_engines(&self) -> Vec<HoldingEngine> {
        let Some(term) = &self.term else {
            return Vec::new();
        };
        let target = |engine: MachineId| -> Option<ModelName> {
            let wish = term
                .wanted
                .engines
                .iter()
                .find(|wish| wish.engine == engine)?;
            wish.target
                .as_ref()
                .map(|target| target.model.model.clone())
        };
        let holding = |machine: ponddrift_core::machine::Machine| {
            let report = term.reconciler.report(machine.id);
            let held = report.and_then(|report| report.model.as_ref());
            let model = target(machine.id).or_else(|| held.map(|held| held.model.clone()));
            HoldingEngine {
                engine: machine.id,
                model,
            }
        };
        let live = self.cell_engines().into_iter();
        live.filter(|machine| machine.state == MachineState::Live)
            .map(holding)
            .collect()
    }

    fn wanted_state(&self) -> WantedState {
        let Some(term) = &self.term else {
            return WantedState::default();
        };
        let configuration = Arc::clone(&self.links.configuration.borrow());
        let assigned = assign_models(&configuration, &self.holding_engines());
        let wish = |machine: ponddrift_core::machine::Machine| {
            let report = term.reconciler.report(machine.id);
            let planned = term.roles.get(&machine.id).copied();
            let target = assigned.get(&machine.id).and_then(|model| {
                let role = target_role(planned, report)?;
                Some(TargetState {
                    role,
                    model: model.clone(),
                })
            });
            EngineWish {
                engine: machine.id,
                target,
            }
        };
        WantedState {
            engines: self.cell_engines().into_iter().map(wish).collect(),
            rollouts: rollouts(&configuration),
        }
    }
}

/// The planned role; before the first plan the one the engine plays. An engine that is in no role
/// and not planned yet has to wait for the plan.
fn target_role(planned: Option<EngineRole>, report: Option<&EngineReport>) -> Option<EngineRole> {
    planned.or_else(|| report.and_then(|report| report.role))
}

/// The smallest share that the services of each model allow.
fn rollouts(configuration: &Configuration) -> Vec<RolloutLimit> {
    let mut limits: BTreeMap<ModelName, u8> = BTreeMap::new();
    for service in configuration.services.values() {
        if let ServiceKind::Completion { model, .. } = &service.kind {
            let limit = limits
                .entry(model.clone())
                .or_insert(service.rollout_percent);
            *limit = (*limit).min(service.rollout_percent);
        }
    }
    limits
        .into_iter()
        .map(|(model, percent)| RolloutLimit { model, percent })
        .collect()
}
