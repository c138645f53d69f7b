//! Assignment of keys to shards, and of shards to the daemons that keep their claims.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use super::identity::{ClaimKey, ClaimMember, GroupEpoch, ShardNumber};

/// Number of members of a group.
pub const GROUP_SIZE: usize = 3;
/// Number of members that form a majority. Any two majorities have a member in common.
pub const MAJORITY: usize = 2;

/// Origin of the claims with which a group begins its epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum GroupOrigin {
    /// The group is the first of its shard and begins without claims.
    First,
    /// The claims are transferred from a majority of the previous group.
    Transferred,
    /// The claims were lost with the majority of a previous group. The group begins without claims
    /// and in quarantine.
    Fresh,
}

/// A previous group, kept in the map until the new group is settled.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize, Serialize, Deserialize,
)]
pub struct PreviousGroup {
    /// Epoch of the group.
    pub epoch: GroupEpoch,
    /// Members of the group.
    pub members: [ClaimMember; GROUP_SIZE],
}

/// Group that keeps the claims of a shard.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// Grows by one with each change of this group.
    pub epoch: GroupEpoch,
    /// Members of the group.
    pub members: [ClaimMember; GROUP_SIZE],
    /// Origin of the claims with which the group begins.
    pub origin: GroupOrigin,
    /// Previous groups that must be closed before this one begins, the latest last. Empty once the
    /// group is settled.
    pub previous: Vec<PreviousGroup>,
    /// Whether a majority of the members has begun the epoch, and each other member has begun it or
    /// its process has ended. Set in the map by the daemon that performed the change.
    pub settled: bool,
}

/// Groups of all shards. The map in the store must be changed only by compare-and-swap.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize, Serialize, Deserialize,
)]
pub struct ShardMap {
    /// Version of the map; grows with each change.
    pub epoch: u64,
    /// Group of each shard, indexed by shard number.
    pub shards: Vec<ClaimGroup>,
}

impl ShardMap {
    /// Shard of a key; `None` if the map is empty.
    #[must_use]
    pub fn shard_of(&self, key: ClaimKey) -> Option<ShardNumber> {
        let count = u128::try_from(self.shards.len())
            .ok()
            .filter(|count| *count > 0)?;
        u32::try_from(key.0 % count).ok().map(ShardNumber)
    }

    /// Group of a shard; `None` if the map does not have the shard.
    #[must_use]
    pub fn group(&self, shard: ShardNumber) -> Option<&ClaimGroup> {
        self.shards.get(usize::try_from(shard.0).ok()?)
    }

    /// Whether `member` belongs to a current group, or to a previous group that is not closed yet.
    #[must_use]
    pub fn involves(&self, member: ClaimMember) -> bool {
        self.shards.iter().any(|group| {
            let was_member = |previous: &PreviousGroup| previous.members.contains(&member);
            group.members.contains(&member) || group.previous.iter().any(was_member)
        })
    }

    /// Returns the map with the group marked as settled; `None` if the group is no longer in
    /// `epoch`.
    #[must_use]
    pub fn with_settled(&self, shard: ShardNumber, epoch: GroupEpoch) -> Option<Self> {
        let mut map = self.clone();
        let group = map.shards.get_mut(usize::try_from(shard.0).ok()?)?;
        if group.epoch != epoch {
            return None;
        }
        group.settled = true;
        group.previous = Vec::new();
        map.epoch += 1;
        Some(map)
    }
}
