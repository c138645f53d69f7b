//! State of a controller during one term, that is, under one fencing token. It is discarded when
//! the authority ends.

use std::collections::BTreeMap;

use ponddrift_core::demand::DemandCounter;
use ponddrift_core::drain::{
    DrainMark, DrainProgress, DrainReason, DrainSource, DrainState, DrainTracker,
    DrainTrackerSettings, KnownDaemon,
};
use ponddrift_core::membership::MemberState;
use ponddrift_core::orders::{EnginePhase, OrdersEvent, OrdersSettings, Reconciler};
use ponddrift_core::roles::RolePlanner;
use ponddrift_core::{EngineRole, FencingToken, MachineId, Timestamp};
use ponddrift_engine::load::LoadSample;
use ponddrift_protocol::Part;

use super::ControllerActor;
use super::planning::planner_settings;
use crate::actors::peer::{AllMarks, ControllerAnswer, ControllerInput, ControllerMarks};
use crate::actors::{ask, tell};

/// Controller state of one term.
pub(crate) struct ControllerTerm {
    pub(super) token: FencingToken,
    pub(super) reconciler: Reconciler,
    pub(super) tracker: DrainTracker,
    pub(super) planner: RolePlanner,
    pub(super) demand: DemandCounter,
    pub(super) last_plan: Timestamp,
    pub(super) next_plan: Timestamp,
    /// Role of each engine in the last plan.
    pub(super) roles: BTreeMap<MachineId, EngineRole>,
    /// Role last observed at each engine, and since when.
    pub(super) observed_roles: BTreeMap<MachineId, (EngineRole, Timestamp)>,
    pub(super) readings: BTreeMap<MachineId, LoadSample>,
    pub(super) last_reading: Timestamp,
    pub(super) wanted: ponddrift_core::orders::DesiredState,
}

impl ControllerTerm {
    pub(super) fn new(
        now: Timestamp,
        token: FencingToken,
        orders: OrdersSettings,
        planner: &crate::settings::PlannerSettings,
    ) -> Self {
        Self {
            token,
            reconciler: Reconciler::new(orders, token),
            tracker: DrainTracker::new(DrainTrackerSettings::default(), token, now),
            planner: RolePlanner::new(planner_settings(planner)),
            demand: DemandCounter::default(),
            last_plan: now,
            next_plan: now,
            roles: BTreeMap::new(),
            observed_roles: BTreeMap::new(),
            readings: BTreeMap::new(),
            last_reading: now,
            wanted: ponddrift_core::orders::DesiredState::default(),
        }
    }
}

impl ControllerActor {
    pub(super) fn tick_term(&mut self) {
        if self.term.is_none() {
            return;
        }
        let now = self.now();
        self.update_known_daemons(now);
        self.plan_if_due(now);
        self.update_wanted_state(now);
        self.report_acknowledged_drains(now);
        self.orders_event(OrdersEvent::Tick);
    }

    pub(super) fn orders_event(&mut self, event: OrdersEvent) {
        let now = self.now();
        let Some(term) = &mut self.term else {
            return;
        };
        for action in term.reconciler.handle(now, event) {
            self.execute_orders_action(action);
        }
    }

    fn update_known_daemons(&mut self, now: Timestamp) {
        let view = std::sync::Arc::clone(&self.deps.members.borrow());
        let Some(term) = &mut self.term else {
            return;
        };
        for record in view.live.iter().chain(&view.gone) {
            let daemon = KnownDaemon {
                machine: record.machine,
                incarnation: record.life.incarnation,
                state: record.state,
            };
            term.tracker.update_daemon(now, daemon);
        }
    }

    fn report_acknowledged_drains(&mut self, now: Timestamp) {
        let contact = self.deps.members.borrow().contact;
        let Some(term) = &self.term else { return };
        let engines = term.wanted.engines.iter().map(|wish| wish.engine);
        let is_acknowledged =
            |engine: &MachineId| match term.tracker.progress(now, *engine, contact) {
                DrainProgress::Acknowledged => true,
                DrainProgress::WaitingFor(daemons) => {
                    tracing::debug!(%engine, ?daemons, ?contact, "drain not acknowledged yet");
                    false
                }
                DrainProgress::NotDraining => false,
            };
        let acknowledged: Vec<MachineId> = engines.filter(is_acknowledged).collect();
        for engine in acknowledged {
            self.orders_event(OrdersEvent::DrainAcknowledged { engine });
        }
    }

    pub(super) fn begin_drain(&mut self, engine: MachineId, reason: DrainReason) {
        let now = self.now();
        if let Some(term) = &mut self.term {
            let mark = term.tracker.begin(now, engine, reason);
            tell(&self.deps.peers, ControllerMarks(vec![mark]));
        }
    }

    pub(super) fn end_drain(&mut self, engine: MachineId) {
        let now = self.now();
        if let Some(term) = &mut self.term {
            let mark = term.tracker.release(now, engine);
            tell(&self.deps.peers, ControllerMarks(vec![mark]));
        }
    }

    pub(super) fn peer_input(&mut self, input: ControllerInput) {
        let now = self.now();
        let Some(term) = &mut self.term else {
            return;
        };
        match input {
            ControllerInput::Acknowledged {
                daemon,
                incarnation,
                ack,
            } => {
                term.tracker.acknowledge(daemon, incarnation, ack);
            }
            ControllerInput::Demand(models) => {
                for report in &models {
                    term.demand.add(report);
                }
            }
            ControllerInput::ViewRequested {
                daemon,
                incarnation,
                from,
                number,
            } => {
                let is_held = self.authority.borrow().is_some_and(|held| now < held.until);
                if !is_held {
                    return;
                }
                let known = KnownDaemon {
                    machine: daemon,
                    incarnation,
                    state: MemberState::Alive,
                };
                let marks = term.tracker.answer_view_request(now, known);
                let token = term.token;
                let part = Part::View {
                    cell: self.cell.clone(),
                    number,
                    token,
                    marks,
                };
                tell(&self.deps.peers, ControllerAnswer { target: from, part });
            }
        }
    }

    /// Releases drain marks of earlier controllers on engines that are in service and need no
    /// change.
    pub(super) async fn release_stale_marks(&mut self) {
        let Ok(marks) = ask(&self.deps.peers, AllMarks).await else {
            return;
        };
        let now = self.now();
        let Some(term) = &mut self.term else {
            return;
        };
        if !term.reconciler.has_claimed_reachable() {
            return;
        }
        let token = term.token;
        let is_stale = |mark: &&DrainMark| {
            mark.source == DrainSource::Controller
                && mark.state == DrainState::Draining
                && mark.version.token < token
        };
        let mut released = Vec::new();
        for mark in marks.iter().filter(is_stale) {
            let phase = term.reconciler.phase(mark.back_end);
            if term.reconciler.is_in_service(mark.back_end) && phase == Some(&EnginePhase::Steady) {
                released.push(term.tracker.release(now, mark.back_end));
            }
        }
        if !released.is_empty() {
            tell(&self.deps.peers, ControllerMarks(released));
        }
    }
}
