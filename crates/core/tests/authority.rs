//! Election and lease of a cell's controller against a small key-value service with faults.

use std::time::Duration;

use ponddrift_core::authority::{
    AuthorityAction, AuthorityEvent, AuthoritySettings, AuthorityState, CallFailure, CallNumber,
    ControllerElection, KeyHolder, LeaseNumber, StoreAnswer, StoreCall,
};
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_core::{CellName, FencingToken, Incarnation, MachineId, Timestamp};
use rand::RngExt;

const TICK: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Store {
    leases: Vec<(LeaseNumber, Timestamp)>,
    key: Option<KeyHolder>,
    revision: u64,
}

impl Store {
    fn expire(&mut self, now: Timestamp) {
        self.leases.retain(|(_, end)| *end > now);
        let is_alive = |lease| self.leases.iter().any(|(known, _)| *known == lease);
        self.key = self.key.filter(|holder| is_alive(holder.lease));
    }

    fn serve(&mut self, now: Timestamp, machine: MachineId, call: StoreCall) -> StoreAnswer {
        self.expire(now);
        self.revision += 1;
        let end = now + AuthoritySettings::default().time_to_live;
        match call {
            StoreCall::Read => StoreAnswer::KeyRead(self.key),
            StoreCall::Grant { .. } => {
                let lease = LeaseNumber(self.revision as i64);
                self.leases.push((lease, end));
                StoreAnswer::Granted(lease)
            }
            StoreCall::Create { lease } => {
                let is_granted = self.leases.iter().any(|(known, _)| *known == lease);
                if !is_granted {
                    return StoreAnswer::Failed(CallFailure::LeaseNotFound);
                }
                let succeeded = self.key.is_none();
                if succeeded {
                    self.key = Some(KeyHolder {
                        machine,
                        incarnation: Incarnation(1),
                        lease,
                        token: FencingToken(self.revision),
                    });
                }
                StoreAnswer::Created { succeeded }
            }
            StoreCall::KeepAlive { lease } => {
                match self.leases.iter_mut().find(|(known, _)| *known == lease) {
                    Some(found) => {
                        found.1 = end;
                        StoreAnswer::KeptAlive
                    }
                    None => StoreAnswer::Failed(CallFailure::LeaseNotFound),
                }
            }
            StoreCall::Revoke { lease } => {
                self.leases.retain(|(known, _)| *known != lease);
                self.expire(now);
                StoreAnswer::Revoked
            }
        }
    }
}

struct Travelling {
    machine: usize,
    number: CallNumber,
    call: StoreCall,
    arrives: Timestamp,
    answer: Option<StoreAnswer>,
}

struct World {
    now: Timestamp,
    store: Store,
    holders: Vec<ControllerElection>,
    frozen: Vec<bool>,
    travelling: Vec<Travelling>,
    slowest_ms: u64,
    is_limited: bool,
    calls: u32,
    random: SeededRandom,
}

impl World {
    fn new(seed: u64, size: usize) -> Self {
        let cell: CellName = "cell".parse().unwrap();
        let holder = |number: usize| {
            let machine = MachineId(number as u32);
            let settings = AuthoritySettings::default();
            ControllerElection::new(settings, cell.clone(), machine, Incarnation(1), seed)
        };
        let mut world = Self {
            now: Timestamp::from_millis(1),
            store: Store::default(),
            holders: (0..size).map(holder).collect(),
            frozen: vec![false; size],
            travelling: Vec::new(),
            slowest_ms: 50,
            is_limited: false,
            calls: 0,
            random: seeded(seed, "authority-world"),
        };
        for machine in 0..size {
            let rank = AuthorityEvent::RankChanged(Some(machine as u32));
            world.handle(machine, rank);
        }
        world
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(0..=self.slowest_ms))
    }

    fn handle(&mut self, machine: usize, event: AuthorityEvent) {
        for action in self.holders[machine].handle(self.now, event) {
            if let AuthorityAction::Call { number, call } = action {
                self.calls += 1;
                let arrives = self.now + self.delay();
                self.travelling.push(Travelling {
                    machine,
                    number,
                    call,
                    arrives,
                    answer: None,
                });
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        self.store.expire(self.now);
        for mut message in std::mem::take(&mut self.travelling) {
            let is_held = message.answer.is_some() && self.frozen[message.machine];
            if message.arrives > self.now || is_held {
                self.travelling.push(message);
                continue;
            }
            match message.answer {
                None => {
                    let machine = MachineId(message.machine as u32);
                    let answer = if self.is_limited {
                        StoreAnswer::Failed(CallFailure::RateLimited)
                    } else {
                        self.store.serve(self.now, machine, message.call)
                    };
                    message.answer = Some(answer);
                    message.arrives = self.now + self.delay();
                    self.travelling.push(message);
                }
                Some(answer) => {
                    let number = message.number;
                    let event = AuthorityEvent::Answered { number, answer };
                    self.handle(message.machine, event);
                }
            }
        }
        for machine in 0..self.holders.len() {
            if !self.frozen[machine] {
                self.handle(machine, AuthorityEvent::Tick);
            }
        }
        self.check();
    }

    /// Whoever may order holds the key in the store at this moment.
    fn check(&mut self) {
        self.store.expire(self.now);
        let key = self.store.key.map(|holder| holder.token);
        for (machine, holder) in self.holders.iter().enumerate() {
            if let Some(token) = holder.may_order(self.now, Duration::ZERO) {
                assert_eq!(Some(token), key, "daemon {machine} at {:?}", self.now);
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.step();
        }
    }

    fn controllers(&self) -> Vec<usize> {
        let may_order = |machine: &usize| {
            let holder = &self.holders[*machine];
            holder.may_order(self.now, Duration::from_secs(2)).is_some()
        };
        (0..self.holders.len()).filter(may_order).collect()
    }
}

#[test]
fn the_first_candidate_is_elected_and_keeps_the_place() {
    let mut world = World::new(1, 5);
    world.run(5);
    assert_eq!(world.controllers(), vec![0]);
    world.run(60);
    assert_eq!(world.controllers(), vec![0]);
}

#[test]
fn a_frozen_controller_may_not_order_when_it_wakes_and_is_replaced() {
    let mut world = World::new(2, 3);
    world.run(5);
    world.frozen[0] = true;
    world.run(60);
    assert_eq!(world.controllers().len(), 1);
    assert_ne!(world.controllers(), vec![0]);
    world.frozen[0] = false;
    assert_eq!(world.holders[0].may_order(world.now, Duration::ZERO), None);
    world.run(30);
    assert_eq!(world.controllers().len(), 1);
}

#[test]
fn a_planned_stop_frees_the_place_at_once() {
    let mut world = World::new(3, 1);
    world.run(5);
    world.handle(0, AuthorityEvent::StepDown);
    world.run(1);
    assert_eq!(world.store.key, None);
    assert_eq!(world.holders[0].state(), AuthorityState::Follower);
}

#[test]
fn many_candidates_do_not_stampede_a_service_that_limits_the_rate() {
    let mut world = World::new(4, 370);
    world.is_limited = true;
    world.run(60);
    assert!(world.calls < 100, "{} calls", world.calls);
    world.is_limited = false;
    world.run(60);
    assert_eq!(world.controllers().len(), 1);
}

#[test]
fn a_newer_token_at_an_engine_ends_authority() {
    let mut world = World::new(5, 1);
    world.run(5);
    let newest = FencingToken(u64::MAX);
    world.handle(0, AuthorityEvent::TokenRefused { newest });
    assert_eq!(world.holders[0].may_order(world.now, Duration::ZERO), None);
}

#[test]
fn whoever_may_order_holds_the_key_whatever_fails() {
    bolero::check!()
        .with_type::<(u64, Vec<(u8, u8)>)>()
        .with_iterations(300)
        .for_each(|(seed, faults)| {
            let mut world = World::new(*seed, 3);
            for (kind, value) in faults.iter().take(40) {
                let machine = usize::from(value % 3);
                match kind % 4 {
                    0 => world.frozen[machine] = !world.frozen[machine],
                    1 => world.is_limited = !world.is_limited,
                    2 => world.slowest_ms = u64::from(*value) * 60,
                    _ => {}
                }
                world.run(u64::from(value % 7));
            }
            world.frozen = vec![false; 3];
            world.is_limited = false;
            world.slowest_ms = 50;
            world.run(120);
            assert_eq!(world.controllers().len(), 1);
        });
}
