//! Handling of messages from peers.

use std::net::SocketAddr;

use super::event::MembershipAction;
use super::gossip::Membership;
use super::message::{MembershipMessage, Update};
use super::record::{Life, MemberRecord, MemberState};
use super::table::Merge;
use crate::{Incarnation, MachineId, Timestamp};

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        (sender, incarnation): (MachineId, Incarnation),
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        if sender == self.own.machine || self.is_outdated_sender(sender, incarnation) {
            return;
        }
        match message {
            MembershipMessage::Ping { sequence, updates } => {
                self.handle_ping(now, from, sequence, (sender, updates), actions);
            }
            MembershipMessage::Ack { sequence, updates } => {
                self.apply_updates(now, updates, actions);
                self.handle_ack(sequence, sender, actions);
            }
            MembershipMessage::PingRequest { sequence, target } => {
                self.relay_probe(now, from, sequence, target, actions);
            }
            MembershipMessage::RelayedAck { sequence, target } => {
                if let Some(probe) = self.prober.answered(sequence, target) {
                    self.contact.record(probe.sent, true);
                }
            }
            MembershipMessage::Gossip { updates } => self.apply_updates(now, updates, actions),
            MembershipMessage::Pull { after } => self.send_page(from, after, actions),
            MembershipMessage::Page { records, next } => {
                self.handle_page(now, records, actions);
                self.finish_page(next);
            }
        }
    }

    /// Whether a newer incarnation of the sender is known. Messages of older incarnations must be
    /// ignored.
    fn is_outdated_sender(&self, sender: MachineId, incarnation: Incarnation) -> bool {
        self.table
            .get(sender)
            .is_some_and(|member| incarnation < member.record.life.incarnation)
    }

    fn handle_ping(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sequence: u32,
        (sender, updates): (MachineId, Vec<Update>),
        actions: &mut Vec<MembershipAction>,
    ) {
        // A sender that includes its own record does not regard this daemon as alive, so it needs
        // this daemon's record.
        let introduces_itself = updates
            .iter()
            .any(|update| matches!(update, Update::Record(record) if record.machine == sender));
        self.apply_updates(now, updates, actions);
        let mut updates = self.updates_for(sender);
        let own = Update::Record(self.own.clone());
        if introduces_itself && !updates.contains(&own) {
            updates.insert(0, own);
        }
        let answer = MembershipMessage::Ack { sequence, updates };
        self.send(from, answer, actions);
    }

    fn handle_ack(
        &mut self,
        sequence: u32,
        sender: MachineId,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(probe) = self.prober.answered(sequence, sender) {
            self.contact.record(probe.sent, true);
        } else if let Some((requester, sequence)) = self.prober.finish_relay(sequence) {
            let message = MembershipMessage::RelayedAck {
                sequence,
                target: sender,
            };
            self.send(requester, message, actions);
        }
    }

    fn relay_probe(
        &mut self,
        now: Timestamp,
        requester: SocketAddr,
        requester_sequence: u32,
        target: MachineId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(target) else {
            return;
        };
        let address = member.record.peer_address;
        let relay = self.prober.begin_relay(requester, requester_sequence, now);
        if let Some(sequence) = relay {
            self.ping(target, address, sequence, actions);
        }
    }

    fn send_page(
        &mut self,
        to: SocketAddr,
        after: Option<MachineId>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut room = self.settings.page_limit;
        let mut records: Vec<MemberRecord> = Vec::new();
        let mut next = None;
        for record in self.records_after(after) {
            let bytes = borsh::object_length(&record).unwrap_or(usize::MAX);
            if bytes > room {
                next = records.last().map(|last| last.machine);
                break;
            }
            room -= bytes;
            records.push(record);
        }
        self.send(to, MembershipMessage::Page { records, next }, actions);
    }

    /// Records of this daemon and of all others, ordered by machine.
    fn records_after(&self, after: Option<MachineId>) -> impl Iterator<Item = MemberRecord> {
        let own = Some(&self.own).filter(|own| after.is_none_or(|after| own.machine > after));
        let mut own = own.cloned();
        let mut others = self
            .table
            .after(after)
            .map(|member| member.record.clone())
            .peekable();
        std::iter::from_fn(move || {
            let own_machine = own.as_ref().map(|record| record.machine);
            let is_own_turn = match (own_machine, others.peek()) {
                (Some(own_machine), Some(other)) => own_machine < other.machine,
                (Some(_), None) => true,
                (None, _) => false,
            };
            if is_own_turn {
                own.take()
            } else {
                others.next()
            }
        })
    }

    /// Applies the records of a page. Records of unknown daemons are not gossiped further, since
    /// other daemons pull them too.
    fn handle_page(
        &mut self,
        now: Timestamp,
        records: Vec<MemberRecord>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in records {
            let is_unknown = self.member(record.machine).is_none();
            self.pass_found_new_members |= is_unknown;
            if is_unknown {
                self.table
                    .merge(&Update::Record(record.clone()), now, self.suspicion());
                actions.push(MembershipAction::MemberChanged(record));
            } else {
                self.apply_updates(now, vec![Update::Record(record)], actions);
            }
        }
    }

    /// Joining is complete once a whole pass over peers' tables found no new member.
    fn finish_page(&mut self, next: Option<MachineId>) {
        self.pull_after = next;
        if next.is_none() {
            self.joining = std::mem::take(&mut self.pass_found_new_members);
        }
    }

    fn apply_updates(
        &mut self,
        now: Timestamp,
        updates: Vec<Update>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for update in updates {
            if update.member() == self.own.machine {
                self.refute_claims_about_self(&update, actions);
            } else {
                self.apply_update(now, &update, actions);
            }
        }
    }

    fn apply_update(
        &mut self,
        now: Timestamp,
        update: &Update,
        actions: &mut Vec<MembershipAction>,
    ) {
        let suspicion = self.suspicion();
        let merge = self.table.merge(update, now, suspicion);
        let Some(member) = self.table.get(update.member()) else {
            return;
        };
        let record = member.record.clone();
        match merge {
            Merge::Nothing => {}
            Merge::Status => {
                self.queue.push(status_update(&record));
                actions.push(MembershipAction::MemberChanged(record));
            }
            Merge::Facts => {
                self.queue.push(Update::Facts {
                    member: record.machine,
                    incarnation: record.life.incarnation,
                    facts: record.facts,
                });
                actions.push(MembershipAction::FactsChanged {
                    member: record.machine,
                    facts: record.facts,
                });
            }
        }
    }

    fn refute_claims_about_self(&mut self, update: &Update, actions: &mut Vec<MembershipAction>) {
        let (life, state) = match update {
            Update::Record(record) => (record.life, record.state),
            Update::Claim { life, state, .. } => (*life, *state),
            Update::Facts { .. } => return,
        };
        let own = self.own.life;
        if life.incarnation > own.incarnation {
            actions.push(MembershipAction::Superseded(life.incarnation));
            return;
        }
        let is_about_this_life = life.incarnation == own.incarnation;
        let is_false = state != MemberState::Alive || life.refutation > own.refutation;
        let is_current = life.refutation >= own.refutation;
        if !is_about_this_life || !is_false || !is_current || self.own.state == MemberState::Left {
            return;
        }
        self.own.life = Life {
            incarnation: own.incarnation,
            refutation: life.refutation.saturating_add(1),
        };
        self.queue.push(Update::Record(self.own.clone()));
        actions.push(MembershipAction::Refuted(self.own.life));
    }
}

/// Update that is gossiped for a record: the whole record if it is alive, else a short claim.
fn status_update(record: &MemberRecord) -> Update {
    if record.state == MemberState::Alive {
        return Update::Record(record.clone());
    }
    Update::Claim {
        member: record.machine,
        life: record.life,
        state: record.state,
    }
}
