//! Handles the results of claims, reads and orders.

use super::engine::EnginePhase;
use super::event::{EngineCallError, OrdersAction, ReadNumber};
use super::reason::{OrderDecision, SetAsideReason};
use super::reconciler::{Reconciler, record};
use super::types::{EngineReport, Order, OrderRefusal};
use crate::{MachineId, OrderId, Timestamp};

impl Reconciler {
    pub(super) fn handle_claimed(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        report: EngineReport,
        actions: &mut Vec<OrdersAction>,
    ) {
        if report.token > self.token {
            self.handle_newer_token(report.token, actions);
            return;
        }
        let claimed_incarnation = report.incarnation;
        self.apply_report(now, machine, report, actions);
        if let Some(engine) = self.engines.get_mut(&machine) {
            let known = engine.report.as_ref().map(|known| known.incarnation);
            engine.claim_in_flight = false;
            engine.is_claimed = known == Some(claimed_incarnation);
            engine.next_read_at = now;
        }
    }

    pub(super) fn handle_read(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        number: ReadNumber,
        report: Option<EngineReport>,
        actions: &mut Vec<OrdersAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        let is_last = engine
            .read_in_flight
            .is_some_and(|(last, _)| last == number);
        if !is_last {
            // A late answer to an earlier read does not show the current state.
            return;
        }
        engine.read_in_flight = None;
        let Some(report) = report else {
            return;
        };
        if report.token > self.token {
            self.handle_newer_token(report.token, actions);
            return;
        }
        let has_no_requests = report.requests == 0;
        self.apply_report(now, machine, report, actions);
        self.record_idle(machine, number, has_no_requests);
    }

    fn record_idle(&mut self, machine: MachineId, number: ReadNumber, has_no_requests: bool) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        if let EnginePhase::Draining {
            idle_read: Some(needed),
            is_idle,
            ..
        } = &mut engine.phase
        {
            *is_idle = has_no_requests && number >= *needed;
        }
    }

    /// Stores an engine's report. Ignores reports of an earlier incarnation.
    fn apply_report(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        report: EngineReport,
        actions: &mut Vec<OrdersAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        let known = engine.report.as_ref().map(|known| known.incarnation);
        if known.is_some_and(|known| report.incarnation < known) {
            return;
        }
        let has_restarted = known.is_some_and(|known| report.incarnation > known);
        engine.report = Some(report);
        if has_restarted {
            self.handle_restart(now, machine, actions);
        } else {
            self.complete_order(now, machine, actions);
        }
    }

    /// Handles a restart, which loses the claim and invalidates orders for the old incarnation.
    fn handle_restart(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        actions: &mut Vec<OrdersAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        engine.is_claimed = false;
        engine.was_unreachable = true;
        record(now, machine, &OrderDecision::Restarted, actions);
        match engine.phase {
            EnginePhase::Ordered { .. } => {
                let message = "the engine crashed in the middle of the change".to_owned();
                self.handle_failed_attempt(now, machine, message, actions);
            }
            EnginePhase::SetAside => {
                engine.attempts = 0;
                engine.phase = EnginePhase::draining(now);
            }
            EnginePhase::Steady | EnginePhase::Draining { .. } => {}
        }
    }

    /// Completes the outstanding order if the engine's report shows that it has ended.
    fn complete_order(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        actions: &mut Vec<OrdersAction>,
    ) {
        let engine = &self.engines[&machine];
        let EnginePhase::Ordered { order, .. } = &engine.phase else {
            return;
        };
        let Some(report) = &engine.report else {
            return;
        };
        let ended = report
            .last_order
            .as_ref()
            .filter(|ended| ended.order_id == order.order_id);
        let Some(ended) = ended.cloned() else {
            return;
        };
        if report.running_order.is_some() {
            return;
        }
        if !ended.succeeded {
            self.handle_failed_attempt(now, machine, ended.message, actions);
        } else if engine.matches_target() {
            self.end_drain(now, machine, &OrderDecision::TargetReached, actions);
        } else if report.is_at(&order.target) {
            self.drain_for_new_target(now, machine);
        } else {
            let message = "the engine says that it succeeded but reports another state".to_owned();
            self.handle_failed_attempt(now, machine, message, actions);
        }
    }

    /// Keeps the engine drained after a successful order because its target has changed.
    fn drain_for_new_target(&mut self, now: Timestamp, machine: MachineId) {
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.phase = EnginePhase::Draining {
                since: now,
                acknowledged: None,
                idle_read: None,
                is_idle: false,
            };
        }
    }

    pub(super) fn handle_order_accepted(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        order_id: OrderId,
        report: EngineReport,
        actions: &mut Vec<OrdersAction>,
    ) {
        if self.outstanding_order(machine, order_id).is_some() {
            self.apply_report(now, machine, report, actions);
        }
    }

    fn outstanding_order(&self, machine: MachineId, order_id: OrderId) -> Option<&Order> {
        match &self.engines.get(&machine)?.phase {
            EnginePhase::Ordered { order, .. } if order.order_id == order_id => Some(order),
            _ => None,
        }
    }

    pub(super) fn handle_order_failed(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        order_id: OrderId,
        problem: EngineCallError,
        actions: &mut Vec<OrdersAction>,
    ) {
        if self.outstanding_order(machine, order_id).is_none() {
            return;
        }
        let refusal = match problem {
            // An earlier send may have been accepted, so the order is resent with the same id until
            // a report shows its result.
            EngineCallError::NotSent | EngineCallError::AnswerLost => return,
            EngineCallError::Refused(refusal) => refusal,
        };
        match refusal {
            OrderRefusal::StaleToken { newest } => self.handle_newer_token(newest, actions),
            OrderRefusal::WrongIncarnation { .. } => self.require_new_claim(now, machine, actions),
            OrderRefusal::Impossible { message } => {
                let reason = SetAsideReason::Impossible { message };
                self.set_aside(now, machine, reason, actions);
            }
            // An earlier send may still arrive, so the order is resent with the same id and no
            // other order is issued to the engine until this one has ended.
            OrderRefusal::Busy { .. } => {}
            OrderRefusal::OrderIdReused => {
                let message = "the engine knows the order's id with another target".to_owned();
                self.handle_failed_attempt(now, machine, message, actions);
            }
        }
    }

    /// Handles an order refused because the engine restarted: the engine must be claimed again.
    fn require_new_claim(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        actions: &mut Vec<OrdersAction>,
    ) {
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.is_claimed = false;
            engine.was_unreachable = true;
        }
        let message = "the engine started again before the order reached it".to_owned();
        self.handle_failed_attempt(now, machine, message, actions);
    }
}
