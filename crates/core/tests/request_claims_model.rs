//! Randomized model test of the claim protocol: no key may be dispatched twice within the
//! retention.
//!
//! Messages to and from five daemons are lost, duplicated and reordered. Daemons restart without
//! their claims or are suspended, and several daemons change the group concurrently with stale
//! knowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bolero::check;
use ponddrift_core::claims::{
    ClaimAction, ClaimCandidate, ClaimCoordinator, ClaimFailure, ClaimKey, ClaimMember,
    ClaimMessage, ClaimOutcome, ClaimPlanningInput, ClaimReplica, ClaimReply, ClaimSettings,
    EpochChange, EpochChangeAction, GroupOrigin, ShardMap, ShardNumber, plan_shard_map,
};
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_core::{Incarnation, MachineId, RequestId, Timestamp, ZoneName};
use rand::RngExt;

const DAEMONS: u32 = 5;
const KEYS: u128 = 2;
const STEPS: u32 = 600;
const SHARD: ShardNumber = ShardNumber(0);

fn settings() -> ClaimSettings {
    ClaimSettings {
        dispatch_validity: Duration::from_millis(60),
        longest_deadline: Duration::from_millis(100),
        retention: Duration::from_millis(400),
        clock_drift: 0.0,
        answer_timeout: Duration::from_millis(25),
        rounds: 3,
        round_delay: Duration::from_millis(10),
        ..ClaimSettings::default()
    }
}

struct Daemon {
    member: ClaimMember,
    replica: ClaimReplica,
    map: ShardMap,
    frozen: bool,
}

struct Claim {
    daemon: ClaimMember,
    key: ClaimKey,
    coordinator: ClaimCoordinator,
    won: bool,
    dispatched: bool,
}

#[derive(Clone)]
enum Packet {
    Message {
        message: ClaimMessage,
        reply_to: ReplyTo,
    },
    ClaimReply {
        claim: usize,
        reply: ClaimReply,
    },
    ChangeReply {
        change: usize,
        reply: ClaimReply,
    },
}

#[derive(Clone, Copy)]
enum ReplyTo {
    Claim(usize),
    Change(usize),
    Nobody,
}

#[derive(Default, Debug)]
struct Coverage {
    dispatches: u32,
    refused_dispatches: u32,
    already_claimed: u32,
    already_ran: u32,
    later_rounds: u32,
    transfers_settled: u32,
    fresh_settled: u32,
    quarantined: u32,
}

struct Model {
    now: Timestamp,
    random: SeededRandom,
    daemons: Vec<Daemon>,
    ended: BTreeSet<ClaimMember>,
    store: ShardMap,
    network: Vec<Packet>,
    claims: Vec<Claim>,
    changes: Vec<EpochChange>,
    dispatches: BTreeMap<ClaimKey, Vec<Timestamp>>,
    requests: u128,
    coverage: Coverage,
}

impl Model {
    fn new(seed: u64) -> Self {
        let daemons = (0..DAEMONS).map(|machine| {
            let member = ClaimMember {
                machine: MachineId(machine),
                incarnation: Incarnation(1),
            };
            Daemon {
                member,
                replica: ClaimReplica::new(settings(), member),
                map: ShardMap::default(),
                frozen: false,
            }
        });
        Self {
            now: Timestamp::from_millis(1_000),
            random: seeded(seed, "claims model"),
            daemons: daemons.collect(),
            ended: BTreeSet::new(),
            store: ShardMap::default(),
            network: Vec::new(),
            claims: Vec::new(),
            changes: Vec::new(),
            dispatches: BTreeMap::new(),
            requests: 0,
            coverage: Coverage::default(),
        }
    }

    fn run(mut self) -> Coverage {
        self.plan();
        for _ in 0..STEPS {
            self.step();
        }
        self.coverage
    }

    fn random_below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }

    fn step(&mut self) {
        match self.random_below(1_000) {
            0..600 => self.deliver_some(),
            600..670 => self.start_claim(),
            670..690 => self.claim_concurrently(),
            690..760 => self.dispatch(),
            760..820 => self.complete(),
            820..880 => self.drive_change(),
            880..905 => self.deliver_map(),
            905..930 => self.freeze_or_wake(),
            930..937 => self.restart(),
            937..970 => self.plan(),
            970..975 => self.advance_time(Duration::from_millis(200)),
            975..977 => self.advance_time(Duration::from_millis(450)),
            _ => self.advance_time(Duration::from_millis(7)),
        }
    }

    fn advance_time(&mut self, time: Duration) {
        self.now = self.now + time;
        for claim in 0..self.claims.len() {
            if self.is_awake(self.claims[claim].daemon) {
                let actions = self.claims[claim].coordinator.tick(self.now);
                self.perform(claim, actions);
            }
        }
    }

    fn is_awake(&self, member: ClaimMember) -> bool {
        let daemon = &self.daemons[member.machine.0 as usize];
        daemon.member == member && !daemon.frozen
    }

    /// Delivers a share of all packets, so that the number of packets in the network stays bounded.
    fn deliver_some(&mut self) {
        for _ in 0..=self.network.len() / 6 {
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let chosen = self.random_below(self.network.len());
        let packet = self.network[chosen].clone();
        let fate = self.random_below(20);
        if fate > 0 {
            self.network.swap_remove(chosen);
        }
        if fate == 1 {
            return;
        }
        match packet {
            Packet::Message { message, reply_to } => self.receive(message, reply_to),
            Packet::ClaimReply { claim, reply } => {
                if self.is_awake(self.claims[claim].daemon) {
                    let actions = self.claims[claim].coordinator.reply(self.now, reply);
                    self.perform(claim, actions);
                } else if fate > 0 {
                    self.network.push(Packet::ClaimReply { claim, reply });
                }
            }
            Packet::ChangeReply { change, reply } => {
                let actions = self.changes[change].reply(reply);
                self.perform_change(change, actions);
            }
        }
    }

    fn receive(&mut self, message: ClaimMessage, reply_to: ReplyTo) {
        let daemon = &mut self.daemons[message.to().machine.0 as usize];
        if daemon.frozen {
            self.network.push(Packet::Message { message, reply_to });
            return;
        }
        let Some(reply) = daemon.replica.handle(self.now, message) else {
            return;
        };
        match reply_to {
            ReplyTo::Claim(claim) => self.network.push(Packet::ClaimReply { claim, reply }),
            ReplyTo::Change(change) => self.network.push(Packet::ChangeReply { change, reply }),
            ReplyTo::Nobody => {}
        }
    }

    fn start_claim(&mut self) {
        let machine = self.random_below(DAEMONS as usize);
        let key = ClaimKey(self.random.random_range(0..KEYS));
        self.start_claim_at(machine, key);
    }

    fn start_claim_at(&mut self, machine: usize, key: ClaimKey) {
        let daemon = &self.daemons[machine];
        if daemon.frozen {
            return;
        }
        let member = daemon.member;
        self.requests += 1;
        let request = RequestId(self.requests);
        let started =
            ClaimCoordinator::start(settings(), self.now, &daemon.map, member, request, key, 7);
        let Some((coordinator, actions)) = started else {
            return;
        };
        self.claims.push(Claim {
            daemon: member,
            key,
            coordinator,
            won: false,
            dispatched: false,
        });
        self.perform(self.claims.len() - 1, actions);
    }

    /// Three daemons with the current map claim the same key concurrently.
    fn claim_concurrently(&mut self) {
        let key = ClaimKey(self.random.random_range(0..KEYS));
        for machine in 0..3 {
            self.daemons[machine].map = self.store.clone();
            self.start_claim_at(machine, key);
        }
    }

    fn perform(&mut self, claim: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Send(message) => {
                    self.coverage.later_rounds += u32::from(is_of_later_round(&message));
                    let reply_to = ReplyTo::Claim(claim);
                    self.network.push(Packet::Message { message, reply_to });
                }
                ClaimAction::Decided(outcome) => self.decided(claim, &outcome),
            }
        }
    }

    fn decided(&mut self, claim: usize, outcome: &ClaimOutcome) {
        match outcome {
            ClaimOutcome::Won => self.claims[claim].won = true,
            ClaimOutcome::AlreadyRan { .. } => self.coverage.already_ran += 1,
            ClaimOutcome::AlreadyClaimed { .. } => self.coverage.already_claimed += 1,
            ClaimOutcome::Failed(ClaimFailure::Quarantined { .. }) => {
                self.coverage.quarantined += 1
            }
            ClaimOutcome::Failed(_) => {}
            ClaimOutcome::KeyReused => panic!("all requests have one fingerprint"),
        }
    }

    fn pick_claim(&mut self, fits: impl Fn(&Claim) -> bool) -> Option<usize> {
        let usable = |claim: &usize| {
            let claim = &self.claims[*claim];
            self.is_awake(claim.daemon) && fits(claim)
        };
        let fitting: Vec<usize> = (0..self.claims.len()).filter(usable).collect();
        if fitting.is_empty() {
            return None;
        }
        let chosen = self.random_below(fitting.len());
        Some(fitting[chosen])
    }

    fn dispatch(&mut self) {
        let Some(claim) = self.pick_claim(|claim| claim.won && !claim.dispatched) else {
            return;
        };
        match self.claims[claim].coordinator.begin_dispatch(self.now) {
            Ok(()) => self.record_dispatch(claim),
            Err(expired) => {
                self.claims[claim].won = false;
                self.coverage.refused_dispatches += 1;
                for message in expired.withdrawals {
                    let reply_to = ReplyTo::Nobody;
                    self.network.push(Packet::Message { message, reply_to });
                }
            }
        }
    }

    fn record_dispatch(&mut self, claim: usize) {
        self.claims[claim].dispatched = true;
        self.coverage.dispatches += 1;
        let key = self.claims[claim].key;
        let now = self.now;
        let earlier = self.dispatches.entry(key).or_default();
        let apart = settings().retention - settings().dispatch_validity;
        for &before in earlier.iter() {
            let gap = now.since(before);
            assert!(gap >= apart, "{key:?} was dispatched twice, {gap:?} apart");
        }
        earlier.push(now);
    }

    fn complete(&mut self) {
        let Some(claim) = self.pick_claim(|claim| claim.dispatched) else {
            return;
        };
        let machine = self.claims[claim].daemon.machine.0 as usize;
        let Some(group) = self.daemons[machine].map.group(SHARD) else {
            return;
        };
        for message in self.claims[claim].coordinator.completed(group, None) {
            let reply_to = ReplyTo::Nobody;
            self.network.push(Packet::Message { message, reply_to });
        }
    }

    fn deliver_map(&mut self) {
        let machine = self.random_below(DAEMONS as usize);
        self.daemons[machine].map = self.store.clone();
    }

    fn freeze_or_wake(&mut self) {
        let machine = self.random_below(DAEMONS as usize);
        self.daemons[machine].frozen ^= true;
    }

    fn restart(&mut self) {
        let machine = self.random_below(DAEMONS as usize);
        let daemon = &mut self.daemons[machine];
        self.ended.insert(daemon.member);
        daemon.member.incarnation.0 += 1;
        daemon.replica = ClaimReplica::new(settings(), daemon.member);
        daemon.map = ShardMap::default();
        daemon.frozen = false;
    }

    /// Plans with stale knowledge: running daemons may be regarded as dead, and ended processes may
    /// be unknown.
    fn plan(&mut self) {
        let zones = ["a", "b", "c"];
        let mut fleet = ClaimPlanningInput::default();
        for machine in 0..DAEMONS as usize {
            let daemon = &self.daemons[machine];
            let member = daemon.member;
            if daemon.frozen || self.random.random_range(0..20) == 0 {
                continue;
            }
            fleet.live.push(ClaimCandidate {
                member,
                zone: ZoneName::new(zones[machine % 3]).unwrap(),
            });
        }
        fleet.ended = self.known_ended();
        if let Some(next) = plan_shard_map(&self.store, 1, &fleet) {
            self.store = next;
        }
        self.start_change();
    }

    fn known_ended(&mut self) -> BTreeSet<ClaimMember> {
        let all: Vec<ClaimMember> = self.ended.iter().copied().collect();
        all.into_iter()
            .filter(|_| self.random.random_range(0..10) > 0)
            .collect()
    }

    fn start_change(&mut self) {
        let Some(group) = self.store.group(SHARD).filter(|group| !group.settled) else {
            return;
        };
        let group = group.clone();
        let ended = self.known_ended();
        self.changes.push(EpochChange::new(SHARD, group, ended));
        let change = self.changes.len() - 1;
        let actions = self.changes[change].pending();
        self.perform_change(change, actions);
    }

    fn drive_change(&mut self) {
        if self.changes.is_empty() {
            return;
        }
        let from = self.changes.len().saturating_sub(4);
        let change = self.random.random_range(from..self.changes.len());
        let actions = self.changes[change].pending();
        self.perform_change(change, actions);
    }

    fn perform_change(&mut self, change: usize, actions: Vec<EpochChangeAction>) {
        for action in actions {
            match action {
                EpochChangeAction::Send(message) => {
                    let reply_to = ReplyTo::Change(change);
                    self.network.push(Packet::Message { message, reply_to });
                }
                EpochChangeAction::Settle => self.settle(change),
            }
        }
    }

    fn settle(&mut self, change: usize) {
        let epoch = self.changes[change].epoch();
        let Some(group) = self.store.group(SHARD).filter(|group| !group.settled) else {
            return;
        };
        let origin = group.origin;
        let Some(next) = self.store.with_settled(SHARD, epoch) else {
            return;
        };
        self.store = next;
        match origin {
            GroupOrigin::First => {}
            GroupOrigin::Transferred => self.coverage.transfers_settled += 1,
            GroupOrigin::Fresh => self.coverage.fresh_settled += 1,
        }
    }
}

fn is_of_later_round(message: &ClaimMessage) -> bool {
    matches!(message, ClaimMessage::Claim { claimant, .. } if claimant.round > 0)
}

#[test]
fn no_key_is_dispatched_twice_under_random_schedules() {
    check!().with_type::<u64>().for_each(|seed| {
        Model::new(*seed).run();
    });
}

#[test]
fn random_schedules_reach_all_relevant_outcomes() {
    let mut sum = Coverage::default();
    for seed in 0..400 {
        let run = Model::new(seed).run();
        sum.dispatches += run.dispatches;
        sum.refused_dispatches += run.refused_dispatches;
        sum.already_claimed += run.already_claimed;
        sum.already_ran += run.already_ran;
        sum.later_rounds += run.later_rounds;
        sum.transfers_settled += run.transfers_settled;
        sum.fresh_settled += run.fresh_settled;
        sum.quarantined += run.quarantined;
    }
    println!("{sum:?}");
    let reached = [
        sum.dispatches,
        sum.refused_dispatches,
        sum.already_claimed,
        sum.already_ran,
        sum.later_rounds,
        sum.transfers_settled,
        sum.fresh_settled,
        sum.quarantined,
    ];
    assert!(reached.iter().all(|&count| count >= 20), "{sum:?}");
}
