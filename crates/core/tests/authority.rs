//! Controller elections against a simulated key-value service with faults. Two daemons must never
//! be permitted to send orders at the same time, and a controller must always be elected again.

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

struct PendingMessage {
    machine: usize,
    number: CallNumber,
    call: StoreCall,
    arrives: Timestamp,
    answer: Option<StoreAnswer>,
}

struct Simulation {
    now: Timestamp,
    store: Store,
    elections: Vec<ControllerElection>,
    frozen: Vec<bool>,
    in_transit: Vec<PendingMessage>,
    maximum_delay_ms: u64,
    is_rate_limited: bool,
    calls: u32,
    random: SeededRandom,
}

impl Simulation {
    fn new(seed: u64, size: usize) -> Self {
        let cell: CellName = "cell".parse().unwrap();
        let holder = |number: usize| {
            let machine = MachineId(number as u32);
            let settings = AuthoritySettings::default();
            ControllerElection::new(settings, cell.clone(), machine, Incarnation(1), seed)
        };
        let mut simulation = Self {
            now: Timestamp::from_millis(1),
            store: Store::default(),
            elections: (0..size).map(holder).collect(),
            frozen: vec![false; size],
            in_transit: Vec::new(),
            maximum_delay_ms: 50,
            is_rate_limited: false,
            calls: 0,
            random: seeded(seed, "authority-world"),
        };
        for machine in 0..size {
            let rank = AuthorityEvent::RankChanged(Some(machine as u32));
            simulation.handle(machine, rank);
        }
        simulation
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(0..=self.maximum_delay_ms))
    }

    fn handle(&mut self, machine: usize, event: AuthorityEvent) {
        for action in self.elections[machine].handle(self.now, event) {
            if let AuthorityAction::Call { number, call } = action {
                self.calls += 1;
                let arrives = self.now + self.delay();
                self.in_transit.push(PendingMessage {
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
        for mut message in std::mem::take(&mut self.in_transit) {
            let is_held = message.answer.is_some() && self.frozen[message.machine];
            if message.arrives > self.now || is_held {
                self.in_transit.push(message);
                continue;
            }
            match message.answer {
                None => {
                    let machine = MachineId(message.machine as u32);
                    let answer = if self.is_rate_limited {
                        StoreAnswer::Failed(CallFailure::RateLimited)
                    } else {
                        self.store.serve(self.now, machine, message.call)
                    };
                    message.answer = Some(answer);
                    message.arrives = self.now + self.delay();
                    self.in_transit.push(message);
                }
                Some(answer) => {
                    let number = message.number;
                    let event = AuthorityEvent::Answered { number, answer };
                    self.handle(message.machine, event);
                }
            }
        }
        for machine in 0..self.elections.len() {
            if !self.frozen[machine] {
                self.handle(machine, AuthorityEvent::Tick);
            }
        }
        self.check();
    }

    /// A daemon that may send orders must hold the key in the store.
    fn check(&mut self) {
        self.store.expire(self.now);
        let key = self.store.key.map(|holder| holder.token);
        for (machine, holder) in self.elections.iter().enumerate() {
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
            let holder = &self.elections[*machine];
            holder.may_order(self.now, Duration::from_secs(2)).is_some()
        };
        (0..self.elections.len()).filter(may_order).collect()
    }
}

#[test]
fn the_first_candidate_is_elected_and_stays_controller() {
    let mut simulation = Simulation::new(1, 5);
    simulation.run(5);
    assert_eq!(simulation.controllers(), vec![0]);
    simulation.run(60);
    assert_eq!(simulation.controllers(), vec![0]);
}

#[test]
fn a_suspended_controller_is_replaced_and_may_not_send_orders_when_it_resumes() {
    let mut simulation = Simulation::new(2, 3);
    simulation.run(5);
    simulation.frozen[0] = true;
    simulation.run(60);
    assert_eq!(simulation.controllers().len(), 1);
    assert_ne!(simulation.controllers(), vec![0]);
    simulation.frozen[0] = false;
    assert_eq!(
        simulation.elections[0].may_order(simulation.now, Duration::ZERO),
        None
    );
    simulation.run(30);
    assert_eq!(simulation.controllers().len(), 1);
}

#[test]
fn a_shutdown_removes_the_key_immediately() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run(5);
    simulation.handle(0, AuthorityEvent::StepDown);
    simulation.run(1);
    assert_eq!(simulation.store.key, None);
    assert_eq!(simulation.elections[0].state(), AuthorityState::Follower);
}

#[test]
fn many_candidates_make_few_calls_to_a_service_that_limits_the_rate() {
    let mut simulation = Simulation::new(4, 370);
    simulation.is_rate_limited = true;
    simulation.run(60);
    assert!(simulation.calls < 100, "{} calls", simulation.calls);
    simulation.is_rate_limited = false;
    simulation.run(60);
    assert_eq!(simulation.controllers().len(), 1);
}

#[test]
fn a_newer_token_at_an_engine_revokes_authority() {
    let mut simulation = Simulation::new(5, 1);
    simulation.run(5);
    let newest = FencingToken(u64::MAX);
    simulation.handle(0, AuthorityEvent::TokenRefused { newest });
    assert_eq!(
        simulation.elections[0].may_order(simulation.now, Duration::ZERO),
        None
    );
}

#[test]
fn only_the_key_holder_may_send_orders_under_random_faults() {
    bolero::check!()
        .with_type::<(u64, Vec<(u8, u8)>)>()
        .with_iterations(300)
        .for_each(|(seed, faults)| {
            let mut simulation = Simulation::new(*seed, 3);
            for (kind, value) in faults.iter().take(40) {
                let machine = usize::from(value % 3);
                match kind % 4 {
                    0 => simulation.frozen[machine] = !simulation.frozen[machine],
                    1 => simulation.is_rate_limited = !simulation.is_rate_limited,
                    2 => simulation.maximum_delay_ms = u64::from(*value) * 60,
                    _ => {}
                }
                simulation.run(u64::from(value % 7));
            }
            simulation.frozen = vec![false; 3];
            simulation.is_rate_limited = false;
            simulation.maximum_delay_ms = 50;
            simulation.run(120);
            assert_eq!(simulation.controllers().len(), 1);
        });
}
