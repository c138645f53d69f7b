//! Computes the desired state of the cell: models from the configuration, roles from the planner
//! and operator pins.

use std::collections::BTreeMap;
use std::sync::Arc;

use ponddrift_core::configuration::{Configuration, ServiceKind};
use ponddrift_core::machine::MachineState;
use ponddrift_core::model_assignment::{EngineModel, assign_models};
use ponddrift_core::orders::{
    DesiredEngine, DesiredState, EngineReport, OrdersEvent, RolloutLimit, TargetState,
};
use ponddrift_core::{EngineRole, MachineId, ModelName, Timestamp};

use super::ControllerActor;

impl ControllerActor {
    /// Sends the desired state to the reconciler if it has changed.
    pub(super) fn update_wanted_state(&mut self, _now: Timestamp) {
        let wanted = self.wanted_state();
        let Some(term) = &mut self.term else {
            return;
        };
        if term.wanted == wanted {
            return;
        }
        term.wanted = wanted.clone();
        self.orders_event(OrdersEvent::DesiredChanged(wanted));
    }

    /// Returns the live engines of the cell with the model that each holds or is about to load.
    pub(super) fn holding_engines(&self) -> Vec<EngineModel> {
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
            EngineModel {
                engine: machine.id,
                model,
            }
        };
        let live = self.cell_engines().into_iter();
        live.filter(|machine| machine.state == MachineState::Live)
            .map(holding)
            .collect()
    }

    fn wanted_state(&self) -> DesiredState {
        let Some(term) = &self.term else {
            return DesiredState::default();
        };
        let configuration = Arc::clone(&self.deps.configuration.borrow());
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
            DesiredEngine {
                engine: machine.id,
                target,
            }
        };
        DesiredState {
            engines: self.cell_engines().into_iter().map(wish).collect(),
            rollouts: rollouts(&configuration),
        }
    }
}

/// Returns the planned role, or the current role of the engine before the first plan. An engine
/// without either has no target until the next plan.
fn target_role(planned: Option<EngineRole>, report: Option<&EngineReport>) -> Option<EngineRole> {
    planned.or_else(|| report.and_then(|report| report.role))
}

/// Returns the rollout limit of each model: the smallest percentage that any of its services
/// allows.
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
