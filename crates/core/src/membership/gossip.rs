//! State machine of the membership protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::contact::{Contact, ProbeHistory};
use super::dissemination::UpdateQueue;
use super::event::{MembershipAction, MembershipEvent};
use super::message::{MembershipMessage, Update};
use super::prober::{Probe, ProbeStep, Prober, RegionScope};
use super::record::{MemberRecord, MemberState, Readiness};
use super::settings::MembershipSettings;
use super::table::MemberTable;
use crate::random::{SeededRandom, seeded};
use crate::{MachineId, Revision, Timestamp};

/// Largest byte budget, in seconds of [`MembershipSettings::bytes_per_second`].
const BYTE_BUDGET_BURST_SECONDS: i64 = 6;
/// Number of peers that are told immediately when this daemon leaves.
const LEAVE_FANOUT: usize = 6;

/// Membership as seen by one daemon.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: MemberRecord,
    pub(super) table: MemberTable,
    pub(super) queue: UpdateQueue,
    pub(super) prober: Prober,
    pub(super) contact: ProbeHistory,
    pub(super) seeds: BTreeMap<MachineId, SocketAddr>,
    pub(super) joining: bool,
    pub(super) pass_found_new_members: bool,
    pub(super) pull_after: Option<MachineId>,
    pub(super) random: SeededRandom,
    last_event: Option<Timestamp>,
    next_gossip: Timestamp,
    next_probe: Timestamp,
    next_pull: Timestamp,
    pub(super) next_reconnect: Timestamp,
    next_facts: Timestamp,
    has_unsent_facts: bool,
    byte_budget: i64,
    byte_budget_updated_at: Timestamp,
}

impl Membership {
    /// Starts without known peers. `own` must have a new incarnation and be alive.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: MemberRecord, seed: u64) -> Self {
        let stream = format!("membership-{}", own.machine);
        let mut queue = UpdateQueue::default();
        queue.push(Update::Record(own.clone()));
        Self {
            settings,
            own,
            table: MemberTable::default(),
            queue,
            prober: Prober::default(),
            contact: ProbeHistory::default(),
            seeds: BTreeMap::new(),
            joining: true,
            pass_found_new_members: false,
            pull_after: None,
            random: seeded(seed, &stream),
            last_event: None,
            next_gossip: Timestamp::ZERO,
            next_probe: Timestamp::ZERO,
            next_pull: Timestamp::ZERO,
            next_reconnect: Timestamp::ZERO,
            next_facts: Timestamp::ZERO,
            has_unsent_facts: false,
            byte_budget: 0,
            byte_budget_updated_at: Timestamp::ZERO,
        }
    }

    /// Handles an event. Suspension of the process is detected from the time since the last event.
    pub fn handle(&mut self, now: Timestamp, event: MembershipEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.detect_freeze(now, &mut actions);
        match event {
            MembershipEvent::Tick => self.tick(now, &mut actions),
            MembershipEvent::Received {
                from,
                sender,
                incarnation,
                message,
            } => self.receive(now, from, (sender, incarnation), message, &mut actions),
            MembershipEvent::SeedsRead(seeds) => self.set_seeds(now, &seeds),
            MembershipEvent::ConfigurationInForce(revision) => self.set_configuration(revision),
            MembershipEvent::ReadinessChanged(readiness) => self.set_readiness(readiness),
            MembershipEvent::Leave => self.leave(now, &mut actions),
        }
        actions
    }

    /// Record of this daemon.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Record of a daemon, which may be this one.
    #[must_use]
    pub fn member(&self, machine: MachineId) -> Option<&MemberRecord> {
        if machine == self.own.machine {
            return Some(&self.own);
        }
        self.table.get(machine).map(|member| &member.record)
    }

    /// All other known daemons, ordered by machine.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.iter().map(|member| &member.record)
    }

    /// All live daemons, ordered by machine, including this one unless it has left.
    #[must_use]
    pub fn live(&self) -> Vec<&MemberRecord> {
        let mut live: Vec<_> = self
            .others()
            .chain([&self.own])
            .filter(|record| record.state.is_live())
            .collect();
        live.sort_by_key(|record| record.machine);
        live
    }

    /// Number of live daemons, including this one.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// Whether the member table was read completely from a peer since the start or since the
    /// process was suspended, or there are no other daemons in the machine list.
    #[must_use]
    pub const fn has_joined(&self) -> bool {
        !self.joining
    }

    /// Whether this daemon reaches its peers.
    #[must_use]
    pub fn contact(&self, now: Timestamp) -> Contact {
        let knows_nobody = self.table.iter().next().is_none() && self.seeds.is_empty();
        if knows_nobody {
            Contact::Alone
        } else {
            self.contact.evaluate(now)
        }
    }

    /// Returns up to `count` random live peers. Also used for gossip of other parts of datagrams.
    pub fn random_peers(&mut self, count: usize) -> Vec<MemberRecord> {
        let mut live: Vec<_> = self
            .table
            .iter()
            .filter(|member| member.record.state.is_live())
            .map(|member| &member.record)
            .collect();
        let (drawn, _) = live.partial_shuffle(&mut self.random, count);
        drawn.iter().map(|record| (*record).clone()).collect()
    }

    fn detect_freeze(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let Some(last) = self.last_event.replace(now) else {
            return;
        };
        let gap = now.since(last);
        if gap <= self.settings.freeze_threshold {
            return;
        }
        self.prober.abandon();
        self.contact.clear();
        let suspicion = self.suspicion();
        self.table.restart_suspicions(now, suspicion);
        self.joining = true;
        self.pull_after = None;
        actions.push(MembershipAction::WokeAfterFreeze(gap));
    }

    pub(super) fn suspicion(&self) -> Duration {
        self.settings.suspicion_timeout(self.live_count())
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.refill_byte_budget(now);
        self.expire_suspicions(now, actions);
        self.step_probe(now, actions);
        self.queue_pending_facts(now);
        self.gossip(now, actions);
        self.pull(now, actions);
        self.probe_unreachable(now, actions);
    }

    fn refill_byte_budget(&mut self, now: Timestamp) {
        let elapsed = now.since(self.byte_budget_updated_at).as_millis();
        let elapsed = i64::try_from(elapsed).unwrap_or(i64::MAX);
        let rate = i64::from(self.settings.bytes_per_second);
        let earned = elapsed.saturating_mul(rate) / 1_000;
        self.byte_budget = self
            .byte_budget
            .saturating_add(earned)
            .min(rate * BYTE_BUDGET_BURST_SECONDS);
        self.byte_budget_updated_at = now;
    }

    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        let length = i64::try_from(message.encoded_length()).unwrap_or(i64::MAX);
        self.byte_budget = self.byte_budget.saturating_sub(length);
        actions.push(MembershipAction::Send { address, message });
    }

    fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        for record in self.table.expire_suspicions(now) {
            self.queue.push(Update::Claim {
                member: record.machine,
                life: record.life,
                state: MemberState::Dead,
            });
            actions.push(MembershipAction::MemberChanged(record));
        }
    }

    fn step_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        match self.prober.step(now, &self.settings) {
            ProbeStep::Wait => {}
            ProbeStep::RequestIndirect(probe) => self.request_indirect_probes(probe, actions),
            ProbeStep::Failed(probe) => self.probe_failed(now, probe, actions),
        }
        let is_due = now >= self.next_probe && !self.prober.is_busy();
        if is_due && self.own.state.is_live() {
            self.next_probe = now + self.settings.probe_period;
            self.begin_probe(now, actions);
        }
    }

    fn begin_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let table = &self.table;
        let region = &self.own.region;
        let live = |scope| {
            table
                .iter()
                .filter(|member| member.record.state.is_live())
                .filter(|member| (member.record.region == *region) == (scope == RegionScope::Local))
                .map(|member| member.record.machine)
                .collect()
        };
        let target = self
            .prober
            .next_target(&self.settings, &mut self.random, live);
        let Some(address) = target.and_then(|target| self.live_address(target)) else {
            return;
        };
        let Some(target) = target else { return };
        let sequence = self.prober.next_sequence();
        self.prober.begin(target, sequence, now);
        self.ping(target, address, sequence, actions);
    }

    pub(super) fn live_address(&self, machine: MachineId) -> Option<SocketAddr> {
        let member = self.table.get(machine)?;
        let is_live = member.record.state.is_live();
        is_live.then_some(member.record.peer_address)
    }

    pub(super) fn ping(
        &mut self,
        target: MachineId,
        address: SocketAddr,
        sequence: u32,
        actions: &mut Vec<MembershipAction>,
    ) {
        let updates = self.updates_for(target);
        let message = MembershipMessage::Ping { sequence, updates };
        self.send(address, message, actions);
    }

    /// Updates to piggyback on a message to `peer`. A peer that is not alive here first gets its
    /// own state, which it can refute, and the record of this daemon.
    pub(super) fn updates_for(&mut self, peer: MachineId) -> Vec<Update> {
        let mut updates = Vec::new();
        match self.table.get(peer).map(|member| &member.record) {
            Some(record) if record.state == MemberState::Alive => {}
            Some(record) => {
                updates.push(Update::Claim {
                    member: peer,
                    life: record.life,
                    state: record.state,
                });
                updates.push(Update::Record(self.own.clone()));
            }
            None => updates.push(Update::Record(self.own.clone())),
        }
        let used = borsh::object_length(&updates).unwrap_or(usize::MAX);
        let room = self.settings.message_limit.saturating_sub(used);
        let members = self.live_count();
        updates.extend(self.queue.take(room, members, &self.settings));
        updates
    }

    fn request_indirect_probes(&mut self, probe: Probe, actions: &mut Vec<MembershipAction>) {
        let count = self.settings.indirect_probes;
        let relays = self.random_peers(count + 1);
        let relays = relays
            .into_iter()
            .filter(|relay| relay.machine != probe.target);
        for relay in relays.take(count) {
            let message = MembershipMessage::PingRequest {
                sequence: probe.sequence,
                target: probe.target,
            };
            self.send(relay.peer_address, message, actions);
        }
    }

    fn probe_failed(&mut self, now: Timestamp, probe: Probe, actions: &mut Vec<MembershipAction>) {
        self.contact.record(probe.sent, false);
        let suspicion = self.suspicion();
        if !self.table.suspect(probe.target, now, suspicion) {
            return;
        }
        let Some(member) = self.table.get(probe.target) else {
            return;
        };
        let record = member.record.clone();
        self.queue.push(Update::Claim {
            member: record.machine,
            life: record.life,
            state: MemberState::Suspect,
        });
        // The suspected daemon is told immediately, so that it can refute the suspicion.
        let address = record.peer_address;
        actions.push(MembershipAction::MemberChanged(record));
        let sequence = self.prober.next_sequence();
        self.ping(probe.target, address, sequence, actions);
    }

    fn gossip(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let has_updates = !self.queue.is_empty() && self.byte_budget > 0;
        if now < self.next_gossip || !has_updates {
            return;
        }
        self.next_gossip = now + self.settings.gossip_period;
        for peer in self.random_peers(self.settings.gossip_fanout) {
            self.gossip_to(&peer, actions);
        }
    }

    fn gossip_to(&mut self, peer: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        let members = self.live_count();
        let limit = self.settings.message_limit;
        let updates = self.queue.take(limit, members, &self.settings);
        if !updates.is_empty() {
            let message = MembershipMessage::Gossip { updates };
            self.send(peer.peer_address, message, actions);
        }
    }

    fn pull(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if now < self.next_pull {
            return;
        }
        let period = if self.joining {
            self.settings.join_pull_period
        } else {
            self.settings.pull_period
        };
        self.next_pull = now + period;
        let after = self.pull_after;
        for peer in self.random_peers(1) {
            let message = MembershipMessage::Pull { after };
            self.send(peer.peer_address, message, actions);
        }
    }

    fn set_configuration(&mut self, revision: Revision) {
        if revision > self.own.facts.configuration {
            self.own.facts.configuration = revision;
            self.has_unsent_facts = true;
        }
    }

    /// New configuration revisions are announced at a limited rate, since every daemon announces
    /// them to every other.
    fn queue_pending_facts(&mut self, now: Timestamp) {
        if self.has_unsent_facts && now >= self.next_facts {
            self.next_facts = now + self.settings.facts_period;
            self.queue_facts();
        }
    }

    fn set_readiness(&mut self, readiness: Readiness) {
        if readiness != self.own.facts.readiness {
            self.own.facts.readiness = readiness;
            self.queue_facts();
        }
    }

    fn queue_facts(&mut self) {
        self.has_unsent_facts = false;
        self.own.facts.version += 1;
        self.queue.push(Update::Facts {
            member: self.own.machine,
            incarnation: self.own.life.incarnation,
            facts: self.own.facts,
        });
    }

    fn leave(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.own.state = MemberState::Left;
        self.queue.push(Update::Claim {
            member: self.own.machine,
            life: self.own.life,
            state: MemberState::Left,
        });
        self.next_gossip = now;
        for peer in self.random_peers(LEAVE_FANOUT) {
            self.gossip_to(&peer, actions);
        }
    }
}
