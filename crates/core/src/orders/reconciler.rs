//! The level-triggered loop over the engines of a cell.

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

/// A read without an answer for this long counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Reconciles one cell under one token. A new controller starts a new one.
#[derive(Debug)]
pub struct Reconciler {
    pub(super) settings: OrdersSettings,
    pub(super) token: FencingToken,
    pub(super) engines: BTreeMap<MachineId, Engine>,
    /// An engine has seen a newer token: nothing more is ordered.
    pub(super) is_superseded: bool,
    pub(super) rollouts: Vec<RolloutLimit>,
    orders: u64,
    reads: u64,
    next_load: Timestamp,
}

impl Reconciler {
    /// Starts under a token, with nothing claimed.
    #[must_use]
    pub const fn new(settings: OrdersSettings, token: FencingToken) -> Self {
        Self {
            settings,
            token,
            engines: BTreeMap::new(),
            is_superseded: false,
            rollouts: Vec::new(),
            orders: 0,
            reads: 0,
            next_load: Timestamp::ZERO,
        }
    }

    /// Where an engine is.
    #[must_use]
    pub fn phase(&self, engine: MachineId) -> Option<&EnginePhase> {
        self.engines.get(&engine).map(|engine| &engine.phase)
    }

    /// What an engine said of itself last.
    #[must_use]
    pub fn report(&self, engine: MachineId) -> Option<&EngineReport> {
        self.engines.get(&engine)?.report.as_ref()
    }

    /// Whether an engine serves in the wanted state.
    #[must_use]
    pub fn is_in_service(&self, engine: MachineId) -> bool {
        self.engines.get(&engine).is_some_and(Engine::is_as_wanted)
    }

    /// Whether every engine that can be reached was claimed with the own token.
    #[must_use]
    pub fn has_claimed_reachable(&self) -> bool {
        self.engines
            .values()
            .all(|engine| engine.is_claimed || engine.was_unreachable)
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Timestamp, event: OrdersEvent) -> Vec<OrdersAction> {
        let mut actions = Vec::new();
        match event {
            OrdersEvent::Tick => self.tick(now, &mut actions),
            OrdersEvent::DesiredChanged(wanted) => self.take_wanted(now, wanted),
            OrdersEvent::Claimed { engine, report } => {
                self.claimed(now, engine, report, &mut actions);
            }
            OrdersEvent::ClaimFailed { engine, problem } => {
                self.claim_failed(now, engine, problem, &mut actions);
            }
            OrdersEvent::Read {
                engine,
                number,
                report,
            } => self.was_read(now, engine, number, report, &mut actions),
            OrdersEvent::OrderAccepted {
                engine,
                order_id,
                report,
            } => self.order_taken(now, engine, order_id, report, &mut actions),
            OrdersEvent::OrderFailed {
                engine,
                order_id,
                problem,
            } => self.order_failed(now, engine, order_id, problem, &mut actions),
            OrdersEvent::DrainAcknowledged { engine } => self.drain_acknowledged(now, engine),
        }
        actions
    }

    fn take_wanted(&mut self, now: Timestamp, wanted: DesiredState) {
        self.rollouts = wanted.rollouts;
        let named: Vec<_> = wanted.engines.iter().map(|wish| wish.engine).collect();
        // An order under way is seen to its end, also at an engine that is no longer in the cell.
        self.engines.retain(|machine, engine| {
            let is_ordered = matches!(engine.phase, EnginePhase::Ordered { .. });
            named.contains(machine) || is_ordered
        });
        for (machine, engine) in &mut self.engines {
            if !named.contains(machine) {
                engine.target = None;
            }
        }
        for wish in wanted.engines {
            let engine = self
                .engines
                .entry(wish.engine)
                .or_insert_with(|| Engine::new(None));
            if engine.target == wish.target {
                continue;
            }
            engine.target = wish.target;
            engine.tries = 0;
            engine.not_before = now;
            if engine.phase == EnginePhase::SetAside {
                engine.phase = EnginePhase::draining(now);
            }
        }
    }

    fn drain_acknowledged(&mut self, now: Timestamp, machine: MachineId) {
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
        let is_due = !engine.is_claimed && !engine.claim_under_way && now >= engine.not_before;
        if is_due {
            engine.claim_under_way = true;
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
        let is_under_way = engine
            .read_under_way
            .is_some_and(|(_, since)| now.since(since) < READ_TIMEOUT);
        if !engine.is_claimed || is_under_way || now < engine.next_read {
            return;
        }
        self.reads += 1;
        let number = ReadNumber(self.reads);
        let period = if engine.is_away() {
            self.settings.read_period
        } else {
            self.settings.idle_read_period
        };
        engine.next_read = now + period;
        engine.read_under_way = Some((number, now));
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
            EnginePhase::Steady if engine.is_as_wanted() => {}
            EnginePhase::Steady => self.begin_drain(now, machine, actions),
            EnginePhase::Draining { since, is_idle, .. } => {
                self.reconcile_draining(now, machine, since, is_idle, actions);
            }
            EnginePhase::Ordered { order, sent } => {
                let is_silent = now.since(sent) >= self.settings.resend_after;
                if is_silent && !engine.carries_out(&order) {
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
        let loads = self.engines.values().filter(|other| other.is_loading());
        let must_wait = now < self.next_load || loads.count() >= self.settings.maximum_loads;
        if needs_weights && must_wait {
            return;
        }
        let incarnation = report.incarnation;
        let Some(order_id) = order_id(self.token, self.orders) else {
            self.is_superseded = true;
            record(now, machine, &OrderDecision::OrderIdsUsedUp, actions);
            return;
        };
        self.orders += 1;
        if needs_weights {
            self.next_load = now + self.settings.load_spacing;
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
                sent: now,
            };
            actions.push(OrdersAction::SendOrder {
                engine: machine,
                order,
            });
        }
    }

    /// A try failed: the engine stays drained, and is tried again later or set aside.
    pub(super) fn try_failed(
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
        engine.tries += 1;
        let tries = engine.tries;
        if tries >= settings.maximum_tries {
            let reason = SetAsideReason::TriesFailed { tries, message };
            self.set_aside(now, machine, reason, actions);
            return;
        }
        engine.not_before = now + settings.backoff(tries);
        engine.phase.drain_again(now);
        let decision = OrderDecision::TryFailed { tries, message };
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

    /// A refusal that ends this controller's authority.
    pub(super) fn superseded(&mut self, newest: FencingToken, actions: &mut Vec<OrdersAction>) {
        self.is_superseded = true;
        actions.push(OrdersAction::TokenRefused { newest });
    }

    fn claim_failed(
        &mut self,
        now: Timestamp,
        machine: MachineId,
        problem: EngineCallError,
        actions: &mut Vec<OrdersAction>,
    ) {
        if let EngineCallError::Refused(OrderRefusal::StaleToken { newest }) = problem {
            self.superseded(newest, actions);
            return;
        }
        let wait = self.settings.backoff_minimum;
        if let Some(engine) = self.engines.get_mut(&machine) {
            engine.claim_under_way = false;
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
        OrderDecision::Order { .. } | OrderDecision::Reached => DecisionKind::Version,
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
    /// A drain that begins now.
    pub(super) const fn draining(now: Timestamp) -> Self {
        Self::Draining {
            since: now,
            acknowledged: None,
            idle_read: None,
            is_idle: false,
        }
    }

    /// Back from an order: the mark still stands, but daemons may have started since. The acknowledgements are
    /// looked at afresh, and the engine is read again.
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
    fn carries_out(&self, order: &Order) -> bool {
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
