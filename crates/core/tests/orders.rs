//! Guards against unsafe orders when engines crash during a change or calls are lost.

use std::collections::BTreeMap;
use std::time::Duration;

use ponddrift_core::orders::{
    DesiredEngine, DesiredState, EndedOrder, EngineCallError, EnginePhase, EngineReport,
    LoadedModel, Order, OrderRefusal, OrdersAction, OrdersEvent, OrdersSettings, ReadNumber,
    Reconciler, RolloutLimit, RunningOrder, SetAsideReason, TargetState, order_id,
};
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_core::{EngineRole, FencingToken, Incarnation, MachineId, OrderId, Timestamp};
use rand::RngExt;

const TICK: Duration = Duration::from_millis(100);
const ORDER_TICKS: u32 = 30;
const DRAIN_TICKS: u32 = 8;
/// A request sent just before routing stopped arrives this many ticks afterwards.
const LATE_REQUEST_TICKS: u32 = 5;

fn model(version: u32) -> LoadedModel {
    LoadedModel {
        model: "ledger".parse().unwrap(),
        version,
        adapters: vec![],
    }
}

fn target(role: EngineRole, version: u32) -> TargetState {
    TargetState {
        role,
        model: model(version),
    }
}

/// A simulated engine that asserts the safety conditions of orders.
struct Engine {
    report: EngineReport,
    accepted_orders: BTreeMap<OrderId, TargetState>,
    remaining_ticks: u32,
    /// Ticks until all daemons have stopped routing; `None` while no drain is in progress.
    routing_stops_in: Option<u32>,
    drained_ticks: u32,
    is_reachable: bool,
    fails: bool,
    last_sent: Option<Order>,
    refused: bool,
}

impl Engine {
    fn new() -> Self {
        Self {
            report: EngineReport {
                incarnation: Incarnation(1),
                token: FencingToken(0),
                role: Some(EngineRole::Mixed),
                model: Some(model(1)),
                running_order: None,
                last_order: None,
                requests: 2,
            },
            accepted_orders: BTreeMap::new(),
            remaining_ticks: 0,
            routing_stops_in: None,
            drained_ticks: 0,
            is_reachable: true,
            fails: false,
            last_sent: None,
            refused: false,
        }
    }

    fn is_drained(&self) -> bool {
        self.routing_stops_in == Some(0)
    }

    fn tick(&mut self) {
        if let Some(left) = &mut self.routing_stops_in {
            *left = left.saturating_sub(1);
        }
        if self.is_drained() {
            self.drained_ticks += 1;
            self.report.requests = self.report.requests.saturating_sub(1);
            if self.drained_ticks == LATE_REQUEST_TICKS {
                assert!(
                    self.report.running_order.is_none(),
                    "an order interrupted a late request"
                );
                self.report.requests += 1;
            }
        } else if self.report.is_serving() {
            self.report.requests = 2;
        }
        self.remaining_ticks = self.remaining_ticks.saturating_sub(1);
        if self.remaining_ticks == 0
            && let Some(running) = self.report.running_order.take()
        {
            self.end(running);
        }
    }

    fn end(&mut self, running: RunningOrder) {
        self.report.last_order = Some(EndedOrder {
            order_id: running.order_id,
            succeeded: !self.fails,
            message: "no memory".to_owned(),
        });
        if !self.fails {
            self.report.role = Some(running.target.role);
            self.report.model = Some(running.target.model);
        }
    }

    fn crash(&mut self) {
        let was_changing = self.report.running_order.take().is_some();
        self.report.incarnation.0 += 1;
        self.report.token = FencingToken(0);
        self.report.last_order = None;
        self.report.requests = 0;
        self.accepted_orders.clear();
        if was_changing {
            self.report.role = None;
            self.report.model = None;
        }
    }

    fn claim(&mut self, token: FencingToken) -> Result<EngineReport, OrderRefusal> {
        if token < self.report.token {
            let newest = self.report.token;
            return Err(OrderRefusal::StaleToken { newest });
        }
        self.report.token = token;
        Ok(self.report.clone())
    }

    fn take(&mut self, order: &Order) -> Result<EngineReport, OrderRefusal> {
        if order.token < self.report.token {
            let newest = self.report.token;
            return Err(OrderRefusal::StaleToken { newest });
        }
        if order.incarnation != self.report.incarnation {
            let current = self.report.incarnation;
            return Err(OrderRefusal::WrongIncarnation { current });
        }
        assert_eq!(
            order.token, self.report.token,
            "ordered before it was claimed"
        );
        if self.accepted_orders.contains_key(&order.order_id) {
            return Ok(self.report.clone());
        }
        assert!(self.report.running_order.is_none(), "two orders at once");
        assert!(self.is_drained(), "ordered while daemons route to it");
        assert_eq!(
            self.report.requests, 0,
            "an order interrupted running requests"
        );
        self.accepted_orders
            .insert(order.order_id, order.target.clone());
        self.report.role = None;
        self.report.model = None;
        self.report.running_order = Some(RunningOrder {
            order_id: order.order_id,
            target: order.target.clone(),
        });
        self.remaining_ticks = ORDER_TICKS;
        Ok(self.report.clone())
    }

    /// A new order may only follow one that ended, was refused or was for an earlier incarnation.
    fn check_sent(&mut self, order: &Order) {
        let Some(last) = self.last_sent.replace(order.clone()) else {
            return;
        };
        let ended = self.report.last_order.as_ref().map(|ended| ended.order_id);
        let may_send = last.order_id == order.order_id
            || ended == Some(last.order_id)
            || last.incarnation < self.report.incarnation
            || self.refused;
        assert!(may_send, "two orders outstanding: {last:?} {order:?}");
        self.refused = false;
    }
}

struct Cell {
    now: Timestamp,
    reconciler: Reconciler,
    engines: BTreeMap<MachineId, Engine>,
    actions: Vec<OrdersAction>,
    delayed_events: Vec<(Timestamp, OrdersEvent)>,
    loss_permille: u32,
    peak_unavailable: usize,
    peak_loading: usize,
    random: SeededRandom,
}

impl Cell {
    fn new(seed: u64, size: u32, settings: OrdersSettings) -> Self {
        let engines = (0..size).map(|number| (MachineId(number), Engine::new()));
        Self {
            now: Timestamp::from_millis(1),
            reconciler: Reconciler::new(settings, FencingToken(7)),
            engines: engines.collect(),
            actions: Vec::new(),
            delayed_events: Vec::new(),
            loss_permille: 0,
            peak_unavailable: 0,
            peak_loading: 0,
            random: seeded(seed, "cell"),
        }
    }

    fn set_target(&mut self, target: &TargetState, percent: u8) {
        let desired_engine = |engine: &MachineId| DesiredEngine {
            engine: *engine,
            target: Some(target.clone()),
        };
        let desired = DesiredState {
            engines: self.engines.keys().map(desired_engine).collect(),
            rollouts: vec![RolloutLimit {
                model: "ledger".parse().unwrap(),
                percent,
            }],
        };
        self.handle(OrdersEvent::DesiredChanged(desired));
    }

    fn handle(&mut self, event: OrdersEvent) {
        for action in self.reconciler.handle(self.now, event) {
            self.execute(&action);
            self.actions.push(action);
        }
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_range(0..1_000) < self.loss_permille
    }

    fn answer(&mut self, event: OrdersEvent) {
        let delay = Duration::from_millis(self.random.random_range(0..400));
        self.delayed_events.push((self.now + delay, event));
    }

    fn execute(&mut self, action: &OrdersAction) {
        match action {
            OrdersAction::Claim { engine, token } => self.claim(*engine, *token),
            OrdersAction::ReadState { engine, number } => self.read(*engine, *number),
            OrdersAction::BeginDrain { engine, .. } => {
                let fake_engine = self.engine(*engine);
                if !fake_engine.is_drained() {
                    fake_engine.drained_ticks = 0;
                }
                fake_engine.routing_stops_in = Some(DRAIN_TICKS);
            }
            OrdersAction::EndDrain { engine } => {
                let fake_engine = self.engine(*engine);
                assert!(
                    fake_engine.report.running_order.is_none(),
                    "released too early"
                );
                fake_engine.routing_stops_in = None;
            }
            OrdersAction::SendOrder { engine, order } => self.send(*engine, order),
            _ => {}
        }
    }

    fn engine(&mut self, engine: MachineId) -> &mut Engine {
        self.engines.get_mut(&engine).unwrap()
    }

    fn claim(&mut self, engine: MachineId, token: FencingToken) {
        let answer_lost = self.is_lost();
        let fake_engine = self.engine(engine);
        let problem = if !fake_engine.is_reachable {
            EngineCallError::NotSent
        } else {
            match fake_engine.claim(token) {
                Ok(report) if !answer_lost => {
                    self.answer(OrdersEvent::Claimed { engine, report });
                    return;
                }
                Ok(_) => EngineCallError::AnswerLost,
                Err(refusal) => EngineCallError::Refused(refusal),
            }
        };
        self.answer(OrdersEvent::ClaimFailed { engine, problem });
    }

    fn read(&mut self, engine: MachineId, number: ReadNumber) {
        let is_lost = self.is_lost();
        let fake_engine = self.engine(engine);
        let is_answered = fake_engine.is_reachable && !is_lost;
        let report = is_answered.then(|| fake_engine.report.clone());
        self.answer(OrdersEvent::Read {
            engine,
            number,
            report,
        });
    }

    fn send(&mut self, engine: MachineId, order: &Order) {
        let is_lost = self.is_lost();
        let answer_lost = self.is_lost();
        let order_id = order.order_id;
        let all_claimed = self.reconciler.has_claimed_reachable();
        assert!(all_claimed, "ordered before all were claimed");
        let fake_engine = self.engine(engine);
        fake_engine.check_sent(order);
        let problem = if !fake_engine.is_reachable || is_lost {
            EngineCallError::NotSent
        } else {
            match fake_engine.take(order) {
                Ok(report) if !answer_lost => {
                    self.answer(OrdersEvent::OrderAccepted {
                        engine,
                        order_id,
                        report,
                    });
                    return;
                }
                Ok(_) => EngineCallError::AnswerLost,
                Err(refusal) => {
                    fake_engine.refused = !matches!(refusal, OrderRefusal::Busy { .. });
                    EngineCallError::Refused(refusal)
                }
            }
        };
        self.answer(OrdersEvent::OrderFailed {
            engine,
            order_id,
            problem,
        });
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        let (due, not_due) = std::mem::take(&mut self.delayed_events)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed_events = not_due;
        for (_, event) in due {
            self.handle(event);
        }
        for engine in self.engines.values_mut() {
            engine.tick();
        }
        let drained =
            |(machine, engine): (&MachineId, &Engine)| engine.is_drained().then_some(*machine);
        let drained: Vec<_> = self.engines.iter().filter_map(drained).collect();
        for engine in drained {
            self.handle(OrdersEvent::DrainAcknowledged { engine });
        }
        self.handle(OrdersEvent::Tick);
        self.record_peaks();
    }

    fn record_peaks(&mut self) {
        let unavailable = self
            .engines
            .values()
            .filter(|engine| engine.routing_stops_in.is_some());
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.report.running_order.is_some());
        self.peak_unavailable = self.peak_unavailable.max(unavailable.count());
        self.peak_loading = self.peak_loading.max(loading.count());
    }

    fn run(&mut self, seconds: u32) {
        for _ in 0..seconds * 10 {
            self.step();
        }
    }

    fn all_at(&self, target: &TargetState) -> bool {
        self.engines
            .values()
            .all(|engine| engine.report.is_at(target) && engine.routing_stops_in.is_none())
    }

    fn orders_sent(&self) -> usize {
        let is_order = |action: &&OrdersAction| matches!(action, OrdersAction::SendOrder { .. });
        self.actions.iter().filter(is_order).count()
    }
}

#[test]
fn a_rollout_reaches_every_engine_within_its_limits() {
    let settings = OrdersSettings {
        maximum_unavailable: 3,
        ..OrdersSettings::default()
    };
    let mut cell = Cell::new(1, 12, settings);
    let desired = target(EngineRole::Mixed, 2);
    cell.set_target(&desired, 25);
    cell.run(120);
    assert!(cell.all_at(&desired));
    assert_eq!(cell.orders_sent(), 12);
    assert_eq!((cell.peak_unavailable, cell.peak_loading), (3, 2));
}

#[test]
fn the_rollout_limit_of_a_service_applies_before_the_cell_limit() {
    let mut cell = Cell::new(2, 12, OrdersSettings::default());
    let desired = target(EngineRole::Prefill, 1);
    cell.set_target(&desired, 10);
    cell.run(120);
    assert!(cell.all_at(&desired));
    assert_eq!(cell.peak_unavailable, 1);
}

#[test]
fn an_unreachable_engine_blocks_only_itself() {
    let mut cell = Cell::new(3, 4, OrdersSettings::default());
    cell.engine(MachineId(2)).is_reachable = false;
    let desired = target(EngineRole::Decode, 1);
    cell.set_target(&desired, 100);
    cell.run(60);
    let reached = |cell: &Cell| {
        let at = cell
            .engines
            .values()
            .filter(|engine| engine.report.is_at(&desired));
        at.count()
    };
    assert_eq!(reached(&cell), 3);
    cell.engine(MachineId(2)).is_reachable = true;
    cell.run(30);
    assert_eq!(reached(&cell), 4);
}

#[test]
fn an_engine_that_fails_is_set_aside_with_a_reason_and_stays_drained() {
    let mut cell = Cell::new(4, 2, OrdersSettings::default());
    cell.engine(MachineId(1)).fails = true;
    cell.set_target(&target(EngineRole::Decode, 1), 100);
    cell.run(120);
    let reason = SetAsideReason::AttemptsFailed {
        attempts: 5,
        message: "no memory".to_owned(),
    };
    let engine = MachineId(1);
    let set_aside = OrdersAction::SetAside { engine, reason };
    assert!(cell.actions.contains(&set_aside));
    assert_eq!(
        cell.reconciler.phase(MachineId(1)),
        Some(&EnginePhase::SetAside)
    );
    assert!(cell.engine(MachineId(1)).is_drained());
}

#[test]
fn a_controller_whose_token_is_stale_orders_nothing() {
    let mut cell = Cell::new(5, 2, OrdersSettings::default());
    cell.engine(MachineId(1)).report.token = FencingToken(8);
    cell.set_target(&target(EngineRole::Decode, 1), 100);
    cell.run(60);
    let newest = FencingToken(8);
    assert!(
        cell.actions
            .contains(&OrdersAction::TokenRefused { newest })
    );
    assert_eq!(cell.orders_sent(), 0);
}

#[test]
fn an_order_of_an_earlier_controller_ends_first() {
    let mut cell = Cell::new(6, 1, OrdersSettings::default());
    let engine = cell.engine(MachineId(0));
    engine.routing_stops_in = Some(0);
    engine.drained_ticks = LATE_REQUEST_TICKS;
    engine.report.requests = 0;
    engine.report.role = None;
    engine.report.running_order = Some(RunningOrder {
        order_id: OrderId(3),
        target: target(EngineRole::Prefill, 1),
    });
    engine.remaining_ticks = 100;
    let desired = target(EngineRole::Decode, 1);
    cell.set_target(&desired, 100);
    cell.run(60);
    assert!(cell.all_at(&desired));
}

#[test]
fn order_ids_differ_by_token_and_counter_and_are_limited() {
    let token = FencingToken(7);
    assert_ne!(order_id(token, 1), order_id(token, 2));
    assert_ne!(order_id(token, 1), order_id(FencingToken(8), 1));
    assert_eq!(order_id(token, 1 << 24), None);
    assert_eq!(order_id(FencingToken(1 << 40), 0), None);
}

#[test]
fn crashes_never_cause_two_orders_or_an_order_to_an_engine_in_use() {
    bolero::check!()
        .with_type::<(u64, Vec<(u8, u8)>)>()
        .with_iterations(60)
        .for_each(|(seed, faults)| {
            let mut cell = Cell::new(*seed, 4, OrdersSettings::default());
            cell.loss_permille = 200;
            let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];
            let mut desired = target(EngineRole::Decode, 2);
            cell.set_target(&desired, 50);
            for (kind, value) in faults.iter().take(40) {
                let engine = MachineId(u32::from(value % 4));
                match kind % 5 {
                    0 => cell.engine(engine).crash(),
                    1 => {
                        let fake_engine = cell.engine(engine);
                        fake_engine.is_reachable = !fake_engine.is_reachable;
                    }
                    2 => {
                        let fake_engine = cell.engine(engine);
                        fake_engine.fails = !fake_engine.fails;
                    }
                    3 => {
                        desired = target(roles[usize::from(value % 3)], u32::from(value % 2) + 1);
                        cell.set_target(&desired, 50);
                    }
                    _ => {}
                }
                for _ in 0..value % 50 {
                    cell.step();
                }
            }
            cell.loss_permille = 0;
            for engine in cell.engines.values_mut() {
                engine.is_reachable = true;
                engine.fails = false;
                engine.crash();
            }
            // A new target resets the attempts of engines that were set aside.
            cell.run(10);
            desired = target(EngineRole::Mixed, 3);
            cell.set_target(&desired, 50);
            cell.run(200);
            assert!(cell.all_at(&desired));
        });
}

#[test]
fn no_drain_begins_before_each_engine_was_claimed_or_found_unreachable() {
    let desired = target(EngineRole::Decode, 1);
    let desired_engine = |number| DesiredEngine {
        engine: MachineId(number),
        target: Some(desired.clone()),
    };
    let mut reconciler = Reconciler::new(OrdersSettings::default(), FencingToken(7));
    let now = Timestamp::from_millis(1);
    let desired = DesiredState {
        engines: vec![desired_engine(0), desired_engine(1)],
        rollouts: vec![],
    };
    reconciler.handle(now, OrdersEvent::DesiredChanged(desired));
    reconciler.handle(now, OrdersEvent::Tick);
    let mut report = Engine::new().report;
    report.token = FencingToken(7);
    let claimed = OrdersEvent::Claimed {
        engine: MachineId(0),
        report,
    };
    reconciler.handle(now, claimed);
    let begins = |reconciler: &mut Reconciler, second: u64| {
        let now = Timestamp::from_millis(second * 1_000);
        let actions = reconciler.handle(now, OrdersEvent::Tick);
        actions
            .iter()
            .any(|action| matches!(action, OrdersAction::BeginDrain { .. }))
    };
    for second in 1..20 {
        assert!(
            !begins(&mut reconciler, second),
            "a drain began after {second} s"
        );
    }
    let unreachable = OrdersEvent::ClaimFailed {
        engine: MachineId(1),
        problem: EngineCallError::NotSent,
    };
    reconciler.handle(Timestamp::from_millis(20_000), unreachable);
    assert!(begins(&mut reconciler, 21));
}
