//! Simulated network of `Membership` instances with packet loss, partitions, freezes and restarts.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ponddrift_core::membership::{
    DaemonFacts, Life, MemberRecord, MemberState, Membership, MembershipAction, MembershipEvent,
    MembershipMessage, MembershipSettings, Seed,
};
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_core::{Incarnation, MachineId, RegionName, Timestamp, ZoneName};
use rand::RngExt;

pub const TICK: Duration = Duration::from_millis(100);
/// Bytes of the IP, UDP and datagram headers of each message.
pub const HEADER_BYTES: usize = 28 + 26;

pub struct Node {
    pub membership: Membership,
    pub frozen: bool,
    pub actions: Vec<MembershipAction>,
}

struct InFlight {
    to: MachineId,
    sender: MachineId,
    incarnation: Incarnation,
    message: MembershipMessage,
}

pub struct Network {
    pub now: Timestamp,
    pub nodes: BTreeMap<MachineId, Node>,
    pub loss_permille: u32,
    /// Partition of each daemon; daemons in different partitions cannot reach each other.
    pub group: BTreeMap<MachineId, u8>,
    pub sent_bytes: u64,
    in_flight: Vec<InFlight>,
    random: SeededRandom,
    size: u32,
    seed: u64,
}

pub fn address(machine: MachineId) -> SocketAddr {
    let [.., high, low] = machine.0.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

pub fn record(machine: u32, incarnation: u64, zones: u32) -> MemberRecord {
    let zone = machine % zones;
    let region = if zone < zones.div_ceil(2) { "r1" } else { "r2" };
    MemberRecord {
        machine: MachineId(machine),
        life: Life {
            incarnation: Incarnation(incarnation),
            refutation: 0,
        },
        state: MemberState::Alive,
        peer_address: address(MachineId(machine)),
        gateway_address: address(MachineId(machine)),
        operator_address: address(MachineId(machine)),
        zone: ZoneName::new(&format!("zone-{zone}")).unwrap(),
        region: RegionName::new(region).unwrap(),
        facts: DaemonFacts::default(),
    }
}

impl Network {
    pub fn new(size: u32, seed: u64) -> Self {
        let mut network = Self {
            now: Timestamp::from_millis(1),
            nodes: BTreeMap::new(),
            loss_permille: 0,
            group: BTreeMap::new(),
            sent_bytes: 0,
            in_flight: Vec::new(),
            random: seeded(seed, "network"),
            size,
            seed,
        };
        for machine in 0..size {
            network.start(machine, 1);
        }
        network
    }

    pub fn start(&mut self, machine: u32, incarnation: u64) {
        let own = record(machine, incarnation, 7);
        let seed = self.seed ^ incarnation;
        let mut membership = Membership::new(MembershipSettings::default(), own, seed);
        let seeds = (0..self.size).map(|number| Seed {
            machine: MachineId(number),
            address: address(MachineId(number)),
        });
        membership.handle(self.now, MembershipEvent::SeedsRead(seeds.collect()));
        let node = Node {
            membership,
            frozen: false,
            actions: Vec::new(),
        };
        self.nodes.insert(MachineId(machine), node);
    }

    pub fn kill(&mut self, machine: u32) {
        self.nodes.remove(&MachineId(machine));
    }

    pub fn handle(&mut self, machine: MachineId, event: MembershipEvent) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&machine) else {
            return;
        };
        let actions = node.membership.handle(now, event);
        let incarnation = node.membership.own().life.incarnation;
        for action in actions {
            match action {
                MembershipAction::Send { address, message } => {
                    self.enqueue(machine, incarnation, address, message);
                }
                other => self.nodes.get_mut(&machine).unwrap().actions.push(other),
            }
        }
    }

    fn enqueue(
        &mut self,
        sender: MachineId,
        incarnation: Incarnation,
        to: SocketAddr,
        message: MembershipMessage,
    ) {
        let length = message.encoded_length();
        assert!(length <= 1_150, "a message of {length} bytes");
        self.sent_bytes += (length + HEADER_BYTES) as u64;
        let SocketAddr::V4(to) = to else { panic!() };
        let [_, _, high, low] = to.ip().octets();
        self.in_flight.push(InFlight {
            to: MachineId(u32::from_be_bytes([0, 0, high, low])),
            sender,
            incarnation,
            message,
        });
    }

    fn is_delivered(&mut self, message: &InFlight) -> bool {
        let is_cut = self.group.get(&message.to) != self.group.get(&message.sender);
        let is_lost = self.random.random_range(0..1_000) < self.loss_permille;
        !is_cut && !is_lost
    }

    /// Runs one tick: delivers all messages in flight, then ticks each running daemon.
    pub fn step(&mut self) {
        self.now = self.now + TICK;
        // Two rounds per tick, so that answers arrive well before the direct probe times out.
        for _ in 0..2 {
            for message in std::mem::take(&mut self.in_flight) {
                let is_frozen = self.nodes.get(&message.to).is_none_or(|node| node.frozen);
                if is_frozen || !self.is_delivered(&message) {
                    continue;
                }
                let event = MembershipEvent::Received {
                    from: address(message.sender),
                    sender: message.sender,
                    incarnation: message.incarnation,
                    message: message.message,
                };
                self.handle(message.to, event);
            }
        }
        let running: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, node)| !node.frozen)
            .map(|(machine, _)| *machine)
            .collect();
        for machine in running {
            self.handle(machine, MembershipEvent::Tick);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds. Returns the elapsed time, or `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }

    /// Whether each running daemon sees exactly the running daemons as alive, with their current
    /// incarnations.
    pub fn is_converged(&self) -> bool {
        self.nodes.values().all(|node| {
            let view: Vec<_> = node
                .membership
                .live()
                .iter()
                .map(|record| (record.machine, record.life.incarnation, record.state))
                .collect();
            let expected = self.nodes.iter().map(|(machine, node)| {
                let incarnation = node.membership.own().life.incarnation;
                (*machine, incarnation, MemberState::Alive)
            });
            view.into_iter().eq(expected)
        })
    }
}
