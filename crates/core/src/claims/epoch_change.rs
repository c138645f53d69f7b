//! Change of a group's members: seals the previous groups, collects their claims and installs the
//! new epoch.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::identity::{ClaimKey, ClaimMember, GroupEpoch, ShardNumber};
use super::message::{ClaimMessage, ClaimReply, ClaimState, TransferredClaim, TransferredState};
use super::shard_map::{ClaimGroup, GROUP_SIZE, GroupOrigin, MAJORITY, PreviousGroup};

/// Action that the caller of an [`EpochChange`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EpochChangeAction {
    /// Send the message to the member that it is addressed to.
    Send(ClaimMessage),
    /// Mark the group as settled in the store (`ShardMap::with_settled`).
    Settle,
}

/// Phase of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochChangeProgress {
    /// The previous groups are being sealed.
    Sealing,
    /// The members of the new group are beginning the epoch.
    Installing,
    /// A majority has begun the epoch, and the others have begun it or their processes have ended.
    Settled,
}

/// Performs the change to a group that is recorded in the store.
///
/// Any number of daemons may perform the same change concurrently, and each may stop at any point:
/// the result of a step does not depend on which daemon takes it. [`Self::pending`] repeats the
/// messages that were not answered.
#[derive(Debug, Clone)]
pub struct EpochChange {
    shard: ShardNumber,
    group: ClaimGroup,
    sealed: BTreeMap<(GroupEpoch, ClaimMember), Option<TransferredState>>,
    ended: BTreeSet<ClaimMember>,
    installed: BTreeSet<ClaimMember>,
}

impl EpochChange {
    /// Starts the change to `group`, which must have been read from the map in the store. `ended`
    /// lists members whose processes have certainly ended.
    #[must_use]
    pub const fn new(shard: ShardNumber, group: ClaimGroup, ended: BTreeSet<ClaimMember>) -> Self {
        Self {
            shard,
            group,
            sealed: BTreeMap::new(),
            ended,
            installed: BTreeSet::new(),
        }
    }

    /// Epoch that the change installs.
    #[must_use]
    pub const fn epoch(&self) -> GroupEpoch {
        self.group.epoch
    }

    /// Current phase of the change.
    #[must_use]
    pub fn progress(&self) -> EpochChangeProgress {
        let members = &self.group.members;
        let done =
            |member: &ClaimMember| self.installed.contains(member) || self.ended.contains(member);
        if self.installed.len() >= MAJORITY && members.iter().all(done) {
            EpochChangeProgress::Settled
        } else if self.previous_groups_closed() {
            EpochChangeProgress::Installing
        } else {
            EpochChangeProgress::Sealing
        }
    }

    /// Records that the process of `member` has certainly ended.
    pub fn ended(&mut self, member: ClaimMember) -> Vec<EpochChangeAction> {
        self.ended.insert(member);
        self.pending()
    }

    /// Handles a reply. Returns the next actions if the change has entered another phase.
    pub fn reply(&mut self, reply: ClaimReply) -> Vec<EpochChangeAction> {
        let before = self.progress();
        match reply {
            ClaimReply::Sealed {
                from,
                shard,
                epoch,
                state,
            } if shard == self.shard => {
                self.sealed.insert((epoch, from), state);
            }
            ClaimReply::Installed { from, shard, epoch }
                if shard == self.shard
                    && epoch == self.group.epoch
                    && self.group.members.contains(&from) =>
            {
                self.installed.insert(from);
            }
            _ => return Vec::new(),
        }
        if self.progress() == before {
            return Vec::new();
        }
        self.pending()
    }

    /// Returns the actions that are still required. Must be called at the start and periodically,
    /// to repeat unanswered messages.
    #[must_use]
    pub fn pending(&self) -> Vec<EpochChangeAction> {
        match self.progress() {
            EpochChangeProgress::Sealing => self.seal_messages(),
            EpochChangeProgress::Installing => self.install_messages(),
            EpochChangeProgress::Settled => vec![EpochChangeAction::Settle],
        }
    }

    fn previous_groups_closed(&self) -> bool {
        match self.group.origin {
            GroupOrigin::Transferred => {
                let source = self.group.previous.last();
                source.is_some_and(|source| self.transferable_states(source).len() >= MAJORITY)
            }
            GroupOrigin::First => true,
            GroupOrigin::Fresh => self
                .group
                .previous
                .iter()
                .all(|group| self.is_closed(group)),
        }
    }

    /// Whether no claimant can win in a group any more: a majority of its members was sealed or has
    /// ended.
    fn is_closed(&self, group: &PreviousGroup) -> bool {
        let cannot_vote = |member: &&ClaimMember| {
            self.ended.contains(member) || self.sealed.contains_key(&(group.epoch, **member))
        };
        group.members.iter().filter(cannot_vote).count() >= MAJORITY
    }

    /// States of the sealed members that had begun the group's epoch.
    fn transferable_states(&self, group: &PreviousGroup) -> Vec<&TransferredState> {
        let of_member = |member: &ClaimMember| self.sealed.get(&(group.epoch, *member));
        let transferable_states = group.members.iter().filter_map(of_member);
        transferable_states.filter_map(Option::as_ref).collect()
    }

    fn seal_messages(&self) -> Vec<EpochChangeAction> {
        let mut actions = Vec::new();
        for group in &self.group.previous {
            for &to in &group.members {
                if !self.sealed.contains_key(&(group.epoch, to)) {
                    actions.push(EpochChangeAction::Send(ClaimMessage::Seal {
                        shard: self.shard,
                        epoch: group.epoch,
                        to,
                    }));
                }
            }
        }
        actions
    }

    fn install_messages(&self) -> Vec<EpochChangeAction> {
        let state = self.transferred();
        let missing = self
            .group
            .members
            .iter()
            .filter(|to| !self.installed.contains(to));
        missing
            .map(|&to| EpochChangeAction::Send(self.install_message(to, state.clone())))
            .collect()
    }

    fn install_message(&self, to: ClaimMember, state: TransferredState) -> ClaimMessage {
        let shard = self.shard;
        let epoch = self.group.epoch;
        match self.group.origin {
            GroupOrigin::First | GroupOrigin::Fresh => ClaimMessage::InstallFresh {
                shard,
                epoch,
                to,
                quarantined: self.group.origin == GroupOrigin::Fresh,
            },
            GroupOrigin::Transferred => ClaimMessage::Install {
                shard,
                epoch,
                to,
                state,
            },
        }
    }

    /// Union of the states of the sealed members. A winner holds its key at two of three members,
    /// hence at one of any two sealed members. The union therefore contains every winner's claim,
    /// and no other claimant can win its key.
    fn transferred(&self) -> TransferredState {
        let Some(source) = self.group.previous.last() else {
            return TransferredState::default();
        };
        let mut merged: IndexMap<ClaimKey, TransferredClaim> = IndexMap::new();
        let mut quarantine_left_us = 0;
        for state in self.transferable_states(source) {
            quarantine_left_us = quarantine_left_us.max(state.quarantine_left_us);
            for claim in &state.claims {
                match merged.get_mut(&claim.key) {
                    Some(held) => merge(held, claim),
                    None => {
                        merged.insert(claim.key, claim.clone());
                    }
                }
            }
        }
        TransferredState {
            claims: merged.into_values().collect(),
            quarantine_left_us,
        }
    }
}

/// Merges the claims of two members for the same key.
fn merge(into: &mut TransferredClaim, other: &TransferredClaim) {
    into.remaining_us = into.remaining_us.max(other.remaining_us);
    let is_completed =
        |claim: &TransferredClaim| matches!(claim.held.state, ClaimState::Completed { .. });
    if is_completed(into) {
        return;
    }
    if is_completed(other) {
        into.held = other.held.clone();
        return;
    }
    let contested =
        into.held.state == ClaimState::Contested || other.held.state == ClaimState::Contested;
    let same = into.held.claimant == other.held.claimant;
    if contested {
        into.held.state = ClaimState::Contested;
    } else if other.held.claimant.supersedes(&into.held.claimant) {
        into.held = other.held.clone();
    } else if !same && !into.held.claimant.supersedes(&other.held.claimant) {
        into.held.state = ClaimState::Contested;
    }
}

const _: () = assert!(MAJORITY * 2 > GROUP_SIZE);
