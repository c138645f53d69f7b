//! Level-triggered reconciliation of the engines of a cell.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine::{Engine, EnginePhase};
use super::event::{EngineCallError, OrdersAction, OrdersEvent, ReadNumber};
use super::reason::{OrderDecision, SetAsideReason};
use super::settings::OrdersSettings;
use super::types::{DesiredState, EngineReport, Order, OrderRefusal, RolloutLimit, order_id};
use crate::decision::{DecisionKind, DecisionRecord};
use crate::drain::DrainReason;
use crate::{FencingToken, MachineId, Timestamp};

/// Time after which an unanswered read is considered lost.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Reconciles one cell under one fencing token. Each new controller creates its own.
#[derive(Debug)]
pub struct Reconciler {
    pub(super) settings: OrdersSettings,
    pub(super) token: FencingToken,
    pub(super) engines: BTreeMap<MachineId, Engine>,
    /// Whether to stop issuing orders: an engine has seen a newer token, or the order ids of this
    /// token are exhausted.
    pub(super) is_superseded: bool,
    pub(super) rollouts: Vec<RolloutLimit>,
    order_count: u64,
    read_count: u64,
    next_load_at: Timestamp,
}

impl Reconciler {
    /// Creates a reconciler for the given token. No engine is claimed yet.
    #[must_use]
    pub const fn new(settings: OrdersSettings, token: FencingToken) -> Self {
        Self {
            settings,
            token,
            engines: BTreeMap::new(),
            is_superseded: false,
            rollouts: Vec::new(),
            order_count: 0,
            read_count: 0,
            next_load_at: Timestamp::ZERO,
        }
    }

    /// Progress of an engine; `None` if it is unknown.
    #[must_use]
    pub fn phase(&self, engine: MachineId) -> Option<&EnginePhase> {
        self.engines.get(&engine).map(|engine| &engine.phase)
    }

    /// Latest report of an engine.
    #[must_use]
    pub fn report(&self, engine: MachineId) -> Option<&EngineReport> {
        self.engines.get(&engine)?.report.as_ref()
    }

    /// Whether an engine serves in its desired state.
    #[must_use]
    pub fn is_in_service(&self, engine: MachineId) -> bool {
        self.engines
            .get(&engine)
            .is_some_and(Engine::matches_target)
    }

    /// Whether every reachable engine was claimed with this controller's token.
    #[must_use]
    pub fn has_claimed_reachable(&self) -> bool {
        self.engines
            .values()
            .all(|engine| engine.is_claimed || engine.was_unreachable)
    }

    /// Processes an event and returns the actions that the caller must carry out.
    pub fn handle(&mut self, now: Timestamp, event: OrdersEvent) -> Vec<OrdersAction> {
        let mut actions = Vec::new();
        match event {
            OrdersEvent::Tick => self.tick(now, &mut actions),
            OrdersEvent::DesiredChanged(desired) => self.apply_desired_state(now, desired),
            OrdersEvent::Claimed { engine, report } => {
                self.handle_claimed(now, engine, report, &mut actions);
            }
            OrdersEvent::ClaimFailed { engine, problem } => {
                self.handle_claim_failed(now, engine, problem, &mut actions);
            }
            OrdersEvent::Read {
                engine,
                number,
                report,
            } => self.handle_read(now, engine, number, report, &mut actions),
            OrdersEvent::OrderAccepted {
                engine,
                order_id,
                report,
            } => self.handle_order_accepted(now, engine, order_id, report, &mut actions),
            OrdersEvent::OrderFailed {
                engine,
                order_id,
                problem,
            } => self.handle_order_failed(now, engine, order_id, problem, &mut actions),
            OrdersEvent::DrainAcknowledged { engine } => self.handle_drain_ack(now, engine),
        }
        actions
    }

    fn apply_desired_state(&mut self, now: Timestamp, desired: DesiredState) {
        self.rollouts = desired.rollouts;
        let listed: Vec<_> = desired
            .engines
            .iter()
            .map(|engine_target| engine_target.engine)
            .collect();
        // Keep engines with an outstanding order until it ends, even after they leave the cell.
        self.engines.retain(|machine, engine| {
            let is_ordered = matches!(engine.phase, EnginePhase::Ordered { .. });
            listed.contains(machine) || is_ordered
        });
        for (machine, engine) in &mut self.engines {
            if !listed.contains(machine) {
                engine.target = None;
            }
        }
        for engine_target in desired.engines {
            let engine = self
                .engines
                .entry(engine_target.engine)
                .or_insert_with(|| Engine::new(None));
            if engine.target == engine_target.target {
                continue;
            }
            engine.target = engine_target.target;
            engine.attempts = 0;
            engine.not_before = now;
            if engine.phase == EnginePhase::SetAside {
                engine.phase = EnginePhase::draining(now);
            }
        }
    }

    fn handle_drain_ack(&mut self, now: Timestamp, machine: MachineId) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        if let EnginePhase::Draining { acknowledged, .. } = &mut engine.phase {
            acknowledged.get_or_insert(now);
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<OrdersAction>) {
        if self.is_superseded {
            return;
        }
        let machines: Vec<_> = self.engines.keys().copied().collect();
        let may_order = self.has_claimed_reachable();
        for machine in machines {
            self.claim_if_due(now, machine, actions);
            self.read_if_due(now, machine, actions);
            if may_order && self.engines[&machine].is_claimed {
                self.reconcile(now, machine, actions);
            }
        }
    }

    fn claim_if_due(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        actions: &mut Vec<OrdersAction>,
    ) {
        let token = self.token;
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        let is_due = !engine.is_claimed && !engine.claim_in_flight && now >= engine.not_before;
        if is_due {
            engine.claim_in_flight = true;
            actions.push(OrdersAction::Claim {
                engine: machine,
                token,
            });
        }
    }

    fn read_if_due(&mut self, now: Timestamp, machine: MachineId, actions: &mut Vec<OrdersAction>) {
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        let is_in_flight = engine
            .read_in_flight
            .is_some_and(|(_, since)| now.since(since) < READ_TIMEOUT);
        if !engine.is_claimed || is_in_flight || now < engine.next_read_at {
            return;
        }
        self.read_count += 1;
        let number = ReadNumber(self.read_count);
        let period = if engine.is_unavailable() {
            self.settings.read_period
        } else {
            self.settings.idle_read_period
        };
        engine.next_read_at = now + period;
        engine.read_in_flight = Some((number, now));
        if let EnginePhase::Draining {
            acknowledged: Some(acknowledged),
            idle_read,
            ..
        } = &mut engine.phase
            && now >= *acknowledged + self.settings.settle_time
        {
            idle_read.get_or_insert(number);
        }
        actions.push(OrdersAction::ReadState {
            engine: machine,
            number,
        });
    }

    fn reconcile(&mut self, now: Timestamp, machine: MachineId, actions: &mut Vec<OrdersAction>) {
        let engine = &self.engines[&machine];
        match engine.phase.clone() {
            EnginePhase::Steady if engine.matches_target() => {}
            EnginePhase::Steady => self.begin_drain(now, machine, actions),
            EnginePhase::Draining { since, is_idle, .. } => {
                self.reconcile_draining(now, machine, since, is_idle, actions);
            }
            EnginePhase::Ordered { order, sent_at } => {
                let is_overdue = now.since(sent_at) >= self.settings.resend_after;
                if is_overdue && !engine.is_executing(&order) {
                    self.send(now, machine, order, actions);
                }
            }
            EnginePhase::SetAside => {}
        }
    }

    pub(super) fn order(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        actions: &mut Vec<OrdersAction>,
    ) {
        let engine = &self.engines[&machine];
        let (Some(target), Some(report)) = (engine.target.clone(), &engine.report) else {
            return;
        };
        let needs_weights = engine.needs_weights(&target);
        let active_loads = self.engines.values().filter(|other| other.is_loading());
        let must_wait =
            now < self.next_load_at || active_loads.count() >= self.settings.maximum_loads;
        if needs_weights && must_wait {
            return;
        }
        let incarnation = report.incarnation;
        let Some(order_id) = order_id(self.token, self.order_count) else {
            self.is_superseded = true;
            record(now, machine, &OrderDecision::OrderIdsExhausted, actions);
            return;
        };
        self.order_count += 1;
        if needs_weights {
            self.next_load_at = now + self.settings.load_spacing;
        }
        let order = Order {
            token: self.token,
            incarnation,
            order_id,
            target,
        };
        record(now, machine, &OrderDecision::Order { order_id }, actions);
        self.send(now, machine, order, actions);
    }

    fn send(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        order: Order,
        actions: &mut Vec<OrdersAction>,
    ) {
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.phase = EnginePhase::Ordered {
                order: order.clone(),
                sent_at: now,
            };
            actions.push(OrdersAction::SendOrder {
                engine: machine,
                order,
            });
        }
    }

    /// Handles a failed attempt: the engine stays drained and is retried later or set aside.
    pub(super) fn handle_failed_attempt(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        message: String,
        actions: &mut Vec<OrdersAction>,
    ) {
        let settings = self.settings;
        let Some(engine) = self.engines.get_mut(&machine) else {
            return;
        };
        engine.attempts += 1;
        let attempts = engine.attempts;
        if attempts >= settings.maximum_attempts {
            let reason = SetAsideReason::AttemptsFailed { attempts, message };
            self.set_aside(now, machine, reason, actions);
            return;
        }
        engine.not_before = now + settings.backoff(attempts);
        engine.phase.drain_again(now);
        let decision = OrderDecision::AttemptFailed { attempts, message };
        record(now, machine, &decision, actions);
    }

    pub(super) fn set_aside(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        reason: SetAsideReason,
        actions: &mut Vec<OrdersAction>,
    ) {
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.phase = EnginePhase::SetAside;
        }
        let decision = OrderDecision::SetAside(reason.clone());
        record(now, machine, &decision, actions);
        actions.push(OrdersAction::SetAside {
            engine: machine,
            reason,
        });
    }

    /// Stops issuing orders because an engine has seen a newer controller's token.
    pub(super) fn handle_newer_token(
        &mut self,
        newest: FencingToken,
        actions: &mut Vec<OrdersAction>,
    ) {
        self.is_superseded = true;
        actions.push(OrdersAction::TokenRefused { newest });
    }

    fn handle_claim_failed(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        problem: EngineCallError,
        actions: &mut Vec<OrdersAction>,
    ) {
        if let EngineCallError::Refused(OrderRefusal::StaleToken { newest }) = problem {
            self.handle_newer_token(newest, actions);
            return;
        }
        let wait = self.settings.backoff_minimum;
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.claim_in_flight = false;
            engine.was_unreachable = true;
            engine.not_before = now + wait;
        }
    }
}

pub(super) fn record(
    now: Timestamp,
    engine: MachineId,
    decision: &OrderDecision,
    actions: &mut Vec<OrdersAction>,
) {
    let kind = match decision {
        OrderDecision::Order { .. } | OrderDecision::TargetReached => DecisionKind::Version,
        _ => DecisionKind::Drain,
    };
    actions.push(OrdersAction::Record(DecisionRecord {
        at: now,
        kind,
        subject: format!("engine {engine}"),
        outcome: decision.outcome().to_owned(),
        reason: decision.to_string(),
    }));
}

impl EnginePhase {
    /// The phase of a drain that starts now.
    pub(super) const fn draining(now: Timestamp) -> Self {
        Self::Draining {
            since: now,
            acknowledged: None,
            idle_read: None,
            is_idle: false,
        }
    }

    /// Returns to draining after an order. The drain mark is still in force, but daemons may have
    /// started since, so acknowledgements and idleness must be established again.
    fn drain_again(&mut self, now: Timestamp) {
        *self = Self::Draining {
            since: now,
            acknowledged: None,
            idle_read: None,
            is_idle: false,
        };
    }
}

impl Engine {
    fn is_executing(&self, order: &Order) -> bool {
        let running = self
            .report
            .as_ref()
            .and_then(|report| report.running_order.as_ref());
        running.is_some_and(|running| running.order_id == order.order_id)
    }

    pub(super) fn drain_reason(&self) -> DrainReason {
        let (Some(target), Some(report)) = (&self.target, &self.report) else {
            return DrainReason::UnclearState;
        };
        if !report.is_serving() {
            DrainReason::UnclearState
        } else if report.model.as_ref() == Some(&target.model) {
            DrainReason::RoleChange
        } else {
            DrainReason::ModelChange
        }
    }
}
