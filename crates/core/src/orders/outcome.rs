//! What claims, reads and orders lead to.

use super::engine::EnginePhase;
use super::event::{EngineCallError, OrdersAction, ReadNumber};
use super::reason::{OrderDecision, SetAsideReason};
use super::reconciler::{Reconciler, record};
use super::types::{EngineReport, Order, OrderRefusal};
use crate::{MachineId, OrderId, Timestamp};

impl Reconciler {
    pub(super) fn claimed(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        report: EngineReport,
        actions: &mut Vec<OrdersAction>,
    ) {
        if report.token > self.token {
            self.superseded(report.token, actions);
            return;
        }
        let claimed = report.incarnation;
        self.take_report(now, machine, report, actions);
        if let Some(engine) = self.engines.get_mut(&machine) {
            let known = engine.report.as_ref().map(|known| known.incarnation);
            engine.claim_under_way = false;
            engine.is_claimed = known == Some(claimed);
            engine.next_read = now;
        }
    }

    pub(super) fn was_read(
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
            .read_under_way
            .is_some_and(|(last, _)| last == number);
        if !is_last {
            // A late answer to an earlier read says nothing of now.
            return;
        }
        engine.read_under_way = None;
        let Some(report) = report else {
            return;
        };
        if report.token > self.token {
            self.superseded(report.token, actions);
            return;
        }
        let is_empty = report.requests == 0;
        self.take_report(now, machine, report, actions);
        self.note_idle(machine, number, is_empty);
    }

    fn note_idle(&mut self, machine: MachineId, number: ReadNumber, is_empty: bool) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        if let EnginePhase::Draining {
            idle_read: Some(needed),
            is_idle,
            ..
        } = &mut engine.phase
        {
            *is_idle = is_empty && number >= *needed;
        }
    }

    /// Takes what an engine reports. One of an earlier incarnation is ignored.
    fn take_report(
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
            self.restarted(now, machine, actions);
        } else {
            self.settle_order(now, machine, actions);
        }
    }

    /// A new life has forgotten the claim, and an order of the old life is void.
    fn restarted(&mut self, now: Timestamp, machine: MachineId, actions: &mut Vec<OrdersAction>) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        engine.is_claimed = false;
        engine.was_unreachable = true;
        record(now, machine, &OrderDecision::Restarted, actions);
        match engine.phase {
            EnginePhase::Ordered { .. } => {
                let message = "the engine crashed in the middle of the change".to_owned();
                self.try_failed(now, machine, message, actions);
            }
            EnginePhase::SetAside => {
                engine.tries = 0;
                engine.phase = EnginePhase::draining(now);
            }
            EnginePhase::Steady | EnginePhase::Draining { .. } => {}
        }
    }

    /// Ends the order under way if the report shows that it has ended.
    fn settle_order(
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
            self.try_failed(now, machine, ended.message, actions);
        } else if engine.is_as_wanted() {
            self.end_drain(now, machine, &OrderDecision::Reached, actions);
        } else if report.is_at(&order.target) {
            self.wanted_meanwhile(now, machine);
        } else {
            let message = "the engine says that it succeeded but reports another state".to_owned();
            self.try_failed(now, machine, message, actions);
        }
    }

    /// The order succeeded, but by now something else is wanted: the engine stays drained for it.
    fn wanted_meanwhile(&mut self, now: Timestamp, machine: MachineId) {
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.phase = EnginePhase::Draining {
                since: now,
                acknowledged: None,
                idle_read: None,
                is_idle: false,
            };
        }
    }

    pub(super) fn order_taken(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        order_id: OrderId,
        report: EngineReport,
        actions: &mut Vec<OrdersAction>,
    ) {
        if self.outstanding(machine, order_id).is_some() {
            self.take_report(now, machine, report, actions);
        }
    }

    fn outstanding(&self, machine: MachineId, order_id: OrderId) -> Option<&Order> {
        match &self.engines.get(&machine)?.phase {
            EnginePhase::Ordered { order, .. } if order.order_id == order_id => Some(order),
            _ => None,
        }
    }

    pub(super) fn order_failed(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        order_id: OrderId,
        problem: EngineCallError,
        actions: &mut Vec<OrdersAction>,
    ) {
        if self.outstanding(machine, order_id).is_none() {
            return;
        }
        let refusal = match problem {
            // It is sent again with the same id after a while, until a report shows what became of
            // it: an earlier sending of it may have been taken.
            EngineCallError::NotSent | EngineCallError::AnswerLost => return,
            EngineCallError::Refused(refusal) => refusal,
        };
        match refusal {
            OrderRefusal::StaleToken { newest } => self.superseded(newest, actions),
            OrderRefusal::WrongIncarnation { .. } => self.claim_again(now, machine, actions),
            OrderRefusal::Impossible { message } => {
                let reason = SetAsideReason::Impossible { message };
                self.set_aside(now, machine, reason, actions);
            }
            // It is sent again with the same id: an earlier sending may still arrive, so no other
            // order is made for the engine until this one has ended.
            OrderRefusal::Busy { .. } => {}
            OrderRefusal::OrderIdReused => {
                let message = "the engine knows the order's id with another target".to_owned();
                self.try_failed(now, machine, message, actions);
            }
        }
    }

    fn claim_again(&mut self, now: Timestamp, machine: MachineId, actions: &mut Vec<OrdersAction>) {
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.is_claimed = false;
            engine.was_unreachable = true;
        }
        let message = "the engine started again before the order reached it".to_owned();
        self.try_failed(now, machine, message, actions);
    }
}
