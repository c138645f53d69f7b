//! Table of known daemons, and the rules by which updates change it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::Update;
use super::record::{DaemonFacts, Life, MemberRecord, MemberState};
use crate::{Incarnation, MachineId, Timestamp};

/// Most daemons in the table, including dead ones.
const MAXIMUM_MEMBERS: usize = 4_096;

/// Another daemon.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub record: MemberRecord,
    /// Time at which a suspected daemon is declared dead.
    pub suspicion_ends: Option<Timestamp>,
    /// Time of the last change of state.
    pub changed: Timestamp,
}

/// Effect of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Merge {
    /// The update was not newer.
    Nothing,
    /// The state, incarnation or refutation changed and must be gossiped.
    Status,
    /// Only the facts changed, and must be gossiped.
    Facts,
}

/// All other known daemons by machine.
#[derive(Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<MachineId, Member>,
}

impl MemberTable {
    pub fn get(&self, machine: MachineId) -> Option<&Member> {
        self.members.get(&machine)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn after(&self, machine: Option<MachineId>) -> impl Iterator<Item = &Member> {
        use std::ops::Bound;
        let start = machine.map_or(Bound::Unbounded, Bound::Excluded);
        self.members
            .range((start, Bound::Unbounded))
            .map(|(_, member)| member)
    }

    pub fn live_count(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.record.state.is_live())
            .count()
    }

    /// Applies an update about another daemon. `suspicion` is the duration of a new suspicion.
    pub fn merge(&mut self, update: &Update, now: Timestamp, suspicion: Duration) -> Merge {
        match update {
            Update::Record(record) => self.merge_record(record, now, suspicion),
            Update::Claim {
                member,
                life,
                state,
            } => self.merge_claim(*member, *life, *state, now, suspicion),
            Update::Facts {
                member,
                incarnation,
                facts,
            } => self.merge_facts(*member, *incarnation, *facts),
        }
    }

    fn merge_record(
        &mut self,
        record: &MemberRecord,
        now: Timestamp,
        suspicion: Duration,
    ) -> Merge {
        let Some(member) = self.members.get_mut(&record.machine) else {
            return self.insert(record, now, suspicion);
        };
        let known = member.record.life;
        if record.life.incarnation > known.incarnation {
            return self.insert(record, now, suspicion);
        }
        if record.life.incarnation < known.incarnation {
            return Merge::Nothing;
        }
        let facts = self.merge_facts(record.machine, record.life.incarnation, record.facts);
        let status = self.merge_claim(record.machine, record.life, record.state, now, suspicion);
        if status == Merge::Nothing {
            facts
        } else {
            status
        }
    }

    fn insert(&mut self, record: &MemberRecord, now: Timestamp, suspicion: Duration) -> Merge {
        let is_known = self.members.contains_key(&record.machine);
        if !is_known && self.members.len() >= MAXIMUM_MEMBERS {
            return Merge::Nothing;
        }
        let is_suspect = record.state == MemberState::Suspect;
        let member = Member {
            record: record.clone(),
            suspicion_ends: is_suspect.then(|| now + suspicion),
            changed: now,
        };
        self.members.insert(record.machine, member);
        Merge::Status
    }

    fn merge_facts(
        &mut self,
        machine: MachineId,
        incarnation: Incarnation,
        facts: DaemonFacts,
    ) -> Merge {
        let Some(member) = self.members.get_mut(&machine) else {
            return Merge::Nothing;
        };
        let is_same_life = member.record.life.incarnation == incarnation;
        if !is_same_life || facts.version <= member.record.facts.version {
            return Merge::Nothing;
        }
        member.record.facts = facts;
        Merge::Facts
    }

    fn merge_claim(
        &mut self,
        machine: MachineId,
        life: Life,
        state: MemberState,
        now: Timestamp,
        suspicion: Duration,
    ) -> Merge {
        let Some(member) = self.members.get_mut(&machine) else {
            return Merge::Nothing;
        };
        let known = &member.record;
        let is_final = known.state == MemberState::Left;
        if life.incarnation != known.life.incarnation || is_final {
            return Merge::Nothing;
        }
        let is_newer = life.refutation > known.life.refutation;
        let is_same = life.refutation == known.life.refutation;
        let overrides = is_newer || (is_same && state > known.state);
        if !overrides && state != MemberState::Left {
            return Merge::Nothing;
        }
        // After a partition, peers may report daemons as dead that are reachable from here. A
        // daemon that is live here is therefore only suspected, and has the whole suspicion time to
        // refute.
        let is_death_of_live_member = state == MemberState::Dead && known.state.is_live();
        let state = if is_death_of_live_member {
            MemberState::Suspect
        } else {
            state
        };
        if is_death_of_live_member && is_same && known.state == MemberState::Suspect {
            return Merge::Nothing;
        }
        member.set(life, state, now, suspicion);
        Merge::Status
    }

    /// Marks an alive daemon as suspected. Returns whether its state changed.
    pub fn suspect(&mut self, machine: MachineId, now: Timestamp, suspicion: Duration) -> bool {
        let Some(member) = self.members.get_mut(&machine) else {
            return false;
        };
        if member.record.state != MemberState::Alive {
            return false;
        }
        member.set(member.record.life, MemberState::Suspect, now, suspicion);
        true
    }

    /// Marks daemons as dead whose suspicion has expired, and returns them.
    pub fn expire_suspicions(&mut self, now: Timestamp) -> Vec<MemberRecord> {
        let mut expired = Vec::new();
        for member in self.members.values_mut() {
            let is_over = member.suspicion_ends.is_some_and(|end| end <= now);
            if is_over {
                member.set(member.record.life, MemberState::Dead, now, Duration::ZERO);
                expired.push(member.record.clone());
            }
        }
        expired
    }

    /// Restarts all suspicions, since refutations could not be received while this process was
    /// suspended.
    pub fn restart_suspicions(&mut self, now: Timestamp, suspicion: Duration) {
        for member in self.members.values_mut() {
            if member.suspicion_ends.is_some() {
                member.suspicion_ends = Some(now + suspicion);
            }
        }
    }

    /// Removes dead and left daemons that changed at least `after` ago and are not in the machine
    /// list.
    pub fn forget(
        &mut self,
        now: Timestamp,
        after: Duration,
        is_listed: impl Fn(MachineId) -> bool,
    ) {
        self.members.retain(|machine, member| {
            member.record.state.is_live()
                || is_listed(*machine)
                || now.since(member.changed) < after
        });
    }
}

impl Member {
    fn set(&mut self, life: Life, state: MemberState, now: Timestamp, suspicion: Duration) {
        let is_same_life = life == self.record.life;
        let running = self.suspicion_ends.filter(|_| is_same_life);
        self.record.life = life;
        self.record.state = state;
        self.changed = now;
        self.suspicion_ends = match state {
            MemberState::Suspect => running.or(Some(now + suspicion)),
            MemberState::Alive | MemberState::Dead | MemberState::Left => None,
        };
    }
}
