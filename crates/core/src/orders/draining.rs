//! Starts and ends engine drains, and issues the order once a drained engine is idle.

use super::engine::EnginePhase;
use super::event::OrdersAction;
use super::limits::blocking_limit;
use super::reason::OrderDecision;
use super::reconciler::{Reconciler, record};
use crate::{MachineId, Timestamp};

impl Reconciler {
    /// Starts a drain, or records why it has to wait.
    pub(super) fn begin_drain(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        actions: &mut Vec<OrdersAction>,
    ) {
        let engine = &self.engines[&machine];
        let Some(report) = &engine.report else {
            return;
        };
        let is_serving = report.is_serving();
        if is_serving && now < engine.not_before {
            return;
        }
        if is_serving
            && let Some(wait) =
                blocking_limit(&self.engines, engine, &self.rollouts, &self.settings)
        {
            self.record_wait(now, machine, &wait, actions);
            return;
        }
        let reason = engine.drain_reason();
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.wait_recorded = false;
            engine.phase = EnginePhase::draining(now);
            engine.next_read_at = now;
        }
        actions.push(OrdersAction::BeginDrain {
            engine: machine,
            reason,
        });
        record(now, machine, &OrderDecision::Drain(reason), actions);
    }

    fn record_wait(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        wait: &OrderDecision,
        actions: &mut Vec<OrdersAction>,
    ) {
        if let Some(engine) = self.engines.get_mut(&machine)
            && !engine.wait_recorded
        {
            engine.wait_recorded = true;
            record(now, machine, wait, actions);
        }
    }

    pub(super) fn reconcile_draining(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        since: Timestamp,
        is_idle: bool,
        actions: &mut Vec<OrdersAction>,
    ) {
        let engine = &self.engines[&machine];
        let Some(report) = &engine.report else {
            return;
        };
        if report.running_order.is_some() {
            // An order of an earlier controller must end first.
            return;
        }
        if engine.matches_target() {
            let decision = if engine.attempts == 0 && !is_idle {
                OrderDecision::Released
            } else {
                OrderDecision::TargetReached
            };
            self.end_drain(now, machine, &decision, actions);
            return;
        }
        let is_serving = report.is_serving();
        if is_idle && now >= engine.not_before {
            self.order(now, machine, actions);
        } else if is_serving && now.since(since) >= self.settings.drain_timeout {
            self.end_drain(now, machine, &OrderDecision::DrainTimedOut, actions);
            self.postpone(now, machine);
        }
    }

    /// Delays the next drain by the maximum backoff.
    fn postpone(&mut self, now: Timestamp, machine: MachineId) {
        let wait = self.settings.backoff_maximum;
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.not_before = now + wait;
        }
    }

    /// Releases the engine and resets its failure count.
    pub(super) fn end_drain(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        decision: &OrderDecision,
        actions: &mut Vec<OrdersAction>,
    ) {
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.phase = EnginePhase::Steady;
            engine.attempts = 0;
        }
        actions.push(OrdersAction::EndDrain { engine: machine });
        record(now, machine, decision, actions);
    }
}
