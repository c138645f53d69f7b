//! Member of claim groups, which keeps the claims of its shards.

use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;

use super::identity::{ClaimKey, ClaimMember, ClaimantId, GroupEpoch, ShardNumber};
use super::message::{
    ClaimAnswer, ClaimMessage, ClaimReply, ClaimState, HeldClaim, TransferredClaim,
    TransferredState, Vote, VoteRefusal,
};
use super::settings::ClaimSettings;
use crate::Timestamp;

/// Latest withdrawals kept for a key. A claim that arrives after its withdrawal must not be
/// granted.
const MAXIMUM_WITHDRAWALS_PER_KEY: usize = 4;

#[derive(Debug, Clone)]
struct Record {
    /// `None` after the holder withdrew its claim.
    held: Option<HeldClaim>,
    withdrawn: VecDeque<ClaimantId>,
    expires_at: Timestamp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Status {
    /// No epoch has begun at this member.
    #[default]
    NotInstalled,
    /// The member votes, once the quarantine has ended.
    Open,
    /// The member does not vote in this epoch any more.
    Sealed,
}

#[derive(Debug, Clone, Default)]
struct Shard {
    /// Latest epoch that has begun at this member.
    epoch: GroupEpoch,
    status: Status,
    quarantine_ends_at: Timestamp,
    /// Epochs up to this one were sealed and must not begin any more.
    sealed_up_to: GroupEpoch,
    records: IndexMap<ClaimKey, Record>,
}

/// Claims kept by a daemon process, in memory only.
#[derive(Debug, Clone)]
pub struct ClaimReplica {
    settings: ClaimSettings,
    own: ClaimMember,
    shards: BTreeMap<ShardNumber, Shard>,
    records: usize,
}

impl ClaimReplica {
    /// Creates a member without claims, which does not vote until an epoch is installed.
    #[must_use]
    pub const fn new(settings: ClaimSettings, own: ClaimMember) -> Self {
        Self {
            settings,
            own,
            shards: BTreeMap::new(),
            records: 0,
        }
    }

    /// Number of claims kept, including withdrawn ones.
    #[must_use]
    pub const fn record_count(&self) -> usize {
        self.records
    }

    /// Handles a message. A message to another daemon or incarnation is ignored, since its sender
    /// must not count this process as that member.
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
                let state = TransferredState {
                    claims: Vec::new(),
                    quarantine_left_us: if quarantined { quarantine } else { 0 },
                };
                self.install(now, shard, epoch, state)
            }
        }
    }

    /// Removes claims whose retention has ended. Must be called periodically.
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
            return Vote::None(VoteRefusal::OtherEpoch);
        };
        if state.status != Status::Open {
            return Vote::None(VoteRefusal::Sealed);
        }
        if now < state.quarantine_ends_at {
            let left_us = state.quarantine_ends_at.0 - now.0;
            return Vote::None(VoteRefusal::Quarantined { left_us });
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
                return Vote::None(VoteRefusal::Full);
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
        if record
            .withdrawn
            .iter()
            .any(|withdrawn_claimant| *withdrawn_claimant == claimant)
        {
            return Vote::None(VoteRefusal::Withdrawn);
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
        let withdraws_held = record
            .held
            .as_ref()
            .is_some_and(|held| held.claimant == claimant && held.state == ClaimState::Claimed);
        if withdraws_held {
            record.held = None;
        }
        record.withdrawn.push_back(claimant);
        if record.withdrawn.len() > MAXIMUM_WITHDRAWALS_PER_KEY {
            record.withdrawn.pop_front();
        }
    }

    /// Only a winner sends a completion, so any other claimant that holds the key here cannot have
    /// won.
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

    /// Seals an epoch. A member in a later epoch has already left this one, and its claims include
    /// those transferred from it. A member that has not begun the epoch never will.
    fn seal(
        &mut self,
        now: Timestamp,
        shard: ShardNumber,
        epoch: GroupEpoch,
    ) -> Option<TransferredState> {
        let state = self.shards.entry(shard).or_default();
        state.sealed_up_to = state.sealed_up_to.max(epoch);
        if state.epoch < epoch {
            return None;
        }
        if state.epoch == epoch && state.status == Status::Open {
            state.status = Status::Sealed;
        }
        Some(TransferredState {
            claims: transferred(now, &state.records),
            quarantine_left_us: state.quarantine_ends_at.0.saturating_sub(now.0),
        })
    }

    fn install(
        &mut self,
        now: Timestamp,
        shard: ShardNumber,
        epoch: GroupEpoch,
        transferred: TransferredState,
    ) -> Option<ClaimReply> {
        let installed = ClaimReply::Installed {
            from: self.own,
            shard,
            epoch,
        };
        let state = self.shards.entry(shard).or_default();
        if state.epoch == epoch && state.status != Status::NotInstalled {
            return Some(installed);
        }
        if epoch <= state.epoch || epoch <= state.sealed_up_to {
            return None;
        }
        let records = transferred.claims.into_iter().map(|claim| {
            let record = Record {
                held: Some(claim.held),
                withdrawn: VecDeque::new(),
                expires_at: Timestamp(now.0.saturating_add(claim.remaining_us)),
            };
            (claim.key, record)
        });
        state.epoch = epoch;
        state.status = Status::Open;
        state.quarantine_ends_at = Timestamp(now.0.saturating_add(transferred.quarantine_left_us));
        state.records = records.collect();
        self.recount();
        Some(installed)
    }

    /// Whether no further claim can be kept. Claims that have not expired must never be dropped to
    /// make room.
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

/// A claim may be replaced only by the same claimant, or by a later round of the same request.
fn may_replace(held: &HeldClaim, claimant: &ClaimantId) -> bool {
    held.state == ClaimState::Claimed
        && (held.claimant == *claimant || claimant.supersedes(&held.claimant))
}

fn transferred(now: Timestamp, records: &IndexMap<ClaimKey, Record>) -> Vec<TransferredClaim> {
    let in_force = records.iter().filter(|(_, record)| record.expires_at > now);
    in_force
        .filter_map(|(key, record)| {
            let remaining = record.expires_at.since(now).as_micros();
            Some(TransferredClaim {
                key: *key,
                held: record.held.clone()?,
                remaining_us: u64::try_from(remaining).unwrap_or(u64::MAX),
            })
        })
        .collect()
}
