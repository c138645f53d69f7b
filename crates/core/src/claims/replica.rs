//! One member: it keeps the claims of the shards whose groups it belongs to.

use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;

use super::identity::{ClaimKey, ClaimMember, ClaimantId, GroupEpoch, ShardNumber};
use super::message::{
    CarriedClaim, CarriedState, ClaimAnswer, ClaimMessage, ClaimReply, ClaimState, HeldClaim,
    Obstacle, Vote,
};
use super::settings::ClaimSettings;
use crate::Timestamp;

/// Withdrawals remembered of one key, against claims that arrive after them.
const WITHDRAWALS_OF_A_KEY: usize = 4;

#[derive(Debug, Clone)]
struct Record {
    /// `None` after the holder gave the key back.
    held: Option<HeldClaim>,
    withdrawn: VecDeque<ClaimantId>,
    expires_at: Timestamp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Status {
    /// Began no epoch yet.
    #[default]
    NotBegun,
    /// Votes, once it is out of quarantine.
    Open,
    /// Votes no more in this epoch.
    Sealed,
}

#[derive(Debug, Clone, Default)]
struct Shard {
    /// The last epoch that was begun here.
    epoch: GroupEpoch,
    status: Status,
    /// End of the quarantine.
    opens_at: Timestamp,
    /// Epochs up to this one were sealed: they are not begun any more.
    sealed_through: GroupEpoch,
    records: IndexMap<ClaimKey, Record>,
}

/// The claims that one life of a daemon keeps. Nothing of it outlives the process.
#[derive(Debug, Clone)]
pub struct ClaimReplica {
    settings: ClaimSettings,
    own: ClaimMember,
    shards: BTreeMap<ShardNumber, Shard>,
    records: usize,
}

impl ClaimReplica {
    /// A member that keeps nothing and votes nowhere yet.
    #[must_use]
    pub const fn new(settings: ClaimSettings, own: ClaimMember) -> Self {
        Self {
            settings,
            own,
            shards: BTreeMap::new(),
            records: 0,
        }
    }

    /// Claims kept.
    #[must_use]
    pub const fn record_count(&self) -> usize {
        self.records
    }

    /// Takes a message. One that is meant for another daemon or life is dropped: its sender must not
    /// take this life for a member.
    pub fn handle(&mut self, now: Timestamp, message: ClaimMessage) -> Option<ClaimReply> {
        if message.to() != self.own {
            return None;
        }
        match message {
            ClaimMessage::Claim {
                shard,
                epoch,
                key,
                claimant,
                fingerprint,
                ..
            } => {
                let vote = self.vote(now, shard, epoch, key, claimant, fingerprint);
                Some(ClaimReply::Voted {
                    from: self.own,
                    epoch,
                    key,
                    claimant,
                    vote,
                })
            }
            ClaimMessage::Withdraw {
                shard,
                key,
                claimant,
                ..
            } => {
                self.withdraw(now, shard, key, claimant);
                None
            }
            ClaimMessage::Complete {
                shard,
                key,
                claimant,
                fingerprint,
                answer,
                ..
            } => {
                self.complete(now, shard, key, claimant, fingerprint, answer);
                None
            }
            ClaimMessage::Seal { shard, epoch, .. } => {
                let state = self.seal(now, shard, epoch);
                Some(ClaimReply::Sealed {
                    from: self.own,
                    shard,
                    epoch,
                    state,
                })
            }
            ClaimMessage::Install {
                shard,
                epoch,
                state,
                ..
            } => self.install(now, shard, epoch, state),
            ClaimMessage::InstallFresh {
                shard,
                epoch,
                quarantined,
                ..
            } => {
                let quarantine = self.settings.quarantine().as_micros();
                let quarantine = u64::try_from(quarantine).unwrap_or(u64::MAX);
                let state = CarriedState {
                    claims: Vec::new(),
                    quarantine_left_us: if quarantined { quarantine } else { 0 },
                };
                self.install(now, shard, epoch, state)
            }
        }
    }

    /// Forgets what is older than the retention. To be called now and then.
    pub fn remove_expired(&mut self, now: Timestamp) {
        for shard in self.shards.values_mut() {
            shard.records.retain(|_, record| record.expires_at > now);
        }
        self.recount();
    }

    fn vote(
        &mut self,
        now: Timestamp,
        shard: ShardNumber,
        epoch: GroupEpoch,
        key: ClaimKey,
        claimant: ClaimantId,
        fingerprint: u64,
    ) -> Vote {
        let is_full = self.is_full(now);
        let expires_at = now + self.settings.retention;
        let Some(state) = self
            .shards
            .get_mut(&shard)
            .filter(|state| state.epoch == epoch)
        else {
            return Vote::None(Obstacle::OtherEpoch);
        };
        if state.status != Status::Open {
            return Vote::None(Obstacle::Sealed);
        }
        if now < state.opens_at {
            let left_us = state.opens_at.0 - now.0;
            return Vote::None(Obstacle::Quarantined { left_us });
        }
        let record = state
            .records
            .get_mut(&key)
            .filter(|record| record.expires_at > now);
        let claimed = HeldClaim {
            claimant,
            fingerprint,
            state: ClaimState::Claimed,
        };
        let Some(record) = record else {
            if is_full {
                return Vote::None(Obstacle::Full);
            }
            let record = Record {
                held: Some(claimed),
                withdrawn: VecDeque::new(),
                expires_at,
            };
            if state.records.insert(key, record).is_none() {
                self.records += 1;
            }
            return Vote::Granted;
        };
        if record.withdrawn.iter().any(|gone| *gone == claimant) {
            return Vote::None(Obstacle::Withdrawn);
        }
        match &record.held {
            Some(held) if !may_replace(held, &claimant) => Vote::Held(held.clone()),
            _ => {
                record.held = Some(claimed);
                record.expires_at = expires_at;
                Vote::Granted
            }
        }
    }

    fn withdraw(
        &mut self,
        now: Timestamp,
        shard: ShardNumber,
        key: ClaimKey,
        claimant: ClaimantId,
    ) {
        let is_full = self.is_full(now);
        let expires_at = now + self.settings.retention;
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if !state.records.contains_key(&key) {
            if is_full {
                return;
            }
            let empty = Record {
                held: None,
                withdrawn: VecDeque::new(),
                expires_at,
            };
            state.records.insert(key, empty);
            self.records += 1;
        }
        let record = &mut state.records[&key];
        let gives_back = record
            .held
            .as_ref()
            .is_some_and(|held| held.claimant == claimant && held.state == ClaimState::Claimed);
        if gives_back {
            record.held = None;
        }
        record.withdrawn.push_back(claimant);
        if record.withdrawn.len() > WITHDRAWALS_OF_A_KEY {
            record.withdrawn.pop_front();
        }
    }

    /// Only a winner completes, so whatever else is held here cannot have won.
    fn complete(
        &mut self,
        now: Timestamp,
        shard: ShardNumber,
        key: ClaimKey,
        claimant: ClaimantId,
        fingerprint: u64,
        answer: Option<ClaimAnswer>,
    ) {
        let is_full = self.is_full(now);
        let limit = self.settings.maximum_answer_bytes;
        let answer = answer.filter(|answer| answer.body.len() <= limit);
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let known = state.records.get(&key);
        if is_full && known.is_none() {
            return;
        }
        let held = known.and_then(|record| record.held.as_ref());
        let completed_before = held.is_some_and(|held| {
            matches!(held.state, ClaimState::Completed { .. }) && held.claimant != claimant
        });
        if completed_before {
            return;
        }
        let completed = HeldClaim {
            claimant,
            fingerprint,
            state: ClaimState::Completed { answer },
        };
        let record = Record {
            held: Some(completed),
            withdrawn: VecDeque::new(),
            expires_at: now + self.settings.retention,
        };
        if state.records.insert(key, record).is_none() {
            self.records += 1;
        }
    }

    /// Ends an epoch here. A member that is in a later one has left this one already; what it keeps now
    /// includes what had to be carried over. One that has not begun it never will.
    fn seal(
        &mut self,
        now: Timestamp,
        shard: ShardNumber,
        epoch: GroupEpoch,
    ) -> Option<CarriedState> {
        let state = self.shards.entry(shard).or_default();
        state.sealed_through = state.sealed_through.max(epoch);
        if state.epoch < epoch {
            return None;
        }
        if state.epoch == epoch && state.status == Status::Open {
            state.status = Status::Sealed;
        }
        Some(CarriedState {
            claims: carried(now, &state.records),
            quarantine_left_us: state.opens_at.0.saturating_sub(now.0),
        })
    }

    fn install(
        &mut self,
        now: Timestamp,
        shard: ShardNumber,
        epoch: GroupEpoch,
        carried: CarriedState,
    ) -> Option<ClaimReply> {
        let installed = ClaimReply::Installed {
            from: self.own,
            shard,
            epoch,
        };
        let state = self.shards.entry(shard).or_default();
        if state.epoch == epoch && state.status != Status::NotBegun {
            return Some(installed);
        }
        if epoch <= state.epoch || epoch <= state.sealed_through {
            return None;
        }
        let records = carried.claims.into_iter().map(|claim| {
            let record = Record {
                held: Some(claim.held),
                withdrawn: VecDeque::new(),
                expires_at: Timestamp(now.0.saturating_add(claim.remaining_us)),
            };
            (claim.key, record)
        });
        state.epoch = epoch;
        state.status = Status::Open;
        state.opens_at = Timestamp(now.0.saturating_add(carried.quarantine_left_us));
        state.records = records.collect();
        self.recount();
        Some(installed)
    }

    /// Whether no further claim may be kept. What is in force is never dropped to make room.
    fn is_full(&mut self, now: Timestamp) -> bool {
        if self.records >= self.settings.maximum_claims {
            self.remove_expired(now);
        }
        self.records >= self.settings.maximum_claims
    }

    fn recount(&mut self) {
        self.records = self.shards.values().map(|shard| shard.records.len()).sum();
    }
}

/// A key changes hands only to the same claimant, or to a later round of the same request.
fn may_replace(held: &HeldClaim, claimant: &ClaimantId) -> bool {
    held.state == ClaimState::Claimed
        && (held.claimant == *claimant || claimant.supersedes(&held.claimant))
}

fn carried(now: Timestamp, records: &IndexMap<ClaimKey, Record>) -> Vec<CarriedClaim> {
    let in_force = records.iter().filter(|(_, record)| record.expires_at > now);
    in_force
        .filter_map(|(key, record)| {
            let remaining = record.expires_at.since(now).as_micros();
            Some(CarriedClaim {
                key: *key,
                held: record.held.clone()?,
                remaining_us: u64::try_from(remaining).unwrap_or(u64::MAX),
            })
        })
        .collect()
}
