//! Planning of claim groups: rendezvous hashing over the live daemons, in three zones, with as few
//! changes of members as possible.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::Xxh3;

use super::identity::{ClaimMember, GroupEpoch, ShardNumber};
use super::shard_map::{ClaimGroup, GROUP_SIZE, GroupOrigin, MAJORITY, PreviousGroup, ShardMap};
use crate::ZoneName;

/// A live daemon that may be a member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimCandidate {
    /// The daemon's current process.
    pub member: ClaimMember,
    /// Zone of the daemon.
    pub zone: ZoneName,
}

/// Input of [`plan_shard_map`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClaimPlanningInput {
    /// Live daemons that are not leaving.
    pub live: Vec<ClaimCandidate>,
    /// Members whose processes have certainly ended: the machine has a later incarnation, or was
    /// removed from the platform's machine list. A member must not be listed just because it does
    /// not answer: it may be partitioned and still voting.
    pub ended: BTreeSet<ClaimMember>,
}

/// Plans the next map. Returns `None` if nothing changes or fewer than three daemons are live.
///
/// A group changes when one of its members is not live, and keeps its live members. While a change
/// is in progress, no other is planned unless the first can never complete. In that case the group
/// starts without claims.
#[must_use]
pub fn plan_shard_map(
    current: &ShardMap,
    shard_count: u32,
    fleet: &ClaimPlanningInput,
) -> Option<ShardMap> {
    let zones: BTreeMap<ClaimMember, &ZoneName> = fleet
        .live
        .iter()
        .map(|candidate| (candidate.member, &candidate.zone))
        .collect();
    if zones.len() < GROUP_SIZE {
        return None;
    }
    // The first map fixes the number of shards, so that a key never moves to another shard.
    let count = match u32::try_from(current.shards.len()) {
        Ok(held) if held > 0 => held,
        _ => shard_count,
    };
    let mut next = current.clone();
    for number in 0..count {
        let shard = ShardNumber(number);
        let Some(group) = current.group(shard) else {
            next.shards.push(first_group(shard, &zones)?);
            continue;
        };
        if let Some(changed) = changed_group(shard, group, &zones, &fleet.ended)
            && let Some(slot) = next.shards.get_mut(usize::try_from(number).ok()?)
        {
            *slot = changed;
        }
    }
    if next == *current {
        return None;
    }
    next.epoch += 1;
    Some(next)
}

fn first_group(shard: ShardNumber, zones: &BTreeMap<ClaimMember, &ZoneName>) -> Option<ClaimGroup> {
    Some(ClaimGroup {
        epoch: GroupEpoch(1),
        members: fill_group(shard, Vec::new(), zones)?,
        origin: GroupOrigin::First,
        previous: Vec::new(),
        settled: false,
    })
}

fn changed_group(
    shard: ShardNumber,
    group: &ClaimGroup,
    zones: &BTreeMap<ClaimMember, &ZoneName>,
    ended: &BTreeSet<ClaimMember>,
) -> Option<ClaimGroup> {
    let kept: Vec<ClaimMember> = group
        .members
        .iter()
        .copied()
        .filter(|member| zones.contains_key(member))
        .collect();
    let is_complete = kept.len() == GROUP_SIZE;
    let origin = if group.settled && is_complete {
        return None;
    } else if group.settled {
        origin_after_settled(group, ended)
    } else {
        origin_after_unsettled(group, ended)?
    };
    let mut previous = group.previous.clone();
    previous.push(PreviousGroup {
        epoch: group.epoch,
        members: group.members,
    });
    Some(ClaimGroup {
        epoch: group.epoch.next(),
        members: fill_group(shard, kept, zones)?,
        origin,
        previous,
        settled: false,
    })
}

fn origin_after_settled(group: &ClaimGroup, ended: &BTreeSet<ClaimMember>) -> GroupOrigin {
    if majority_ended(&group.members, ended) {
        GroupOrigin::Fresh
    } else {
        GroupOrigin::Transferred
    }
}

/// A change in progress is replaced only if the claims to transfer are lost, or if a majority of
/// the new members has ended, which may have granted claims in the meantime.
fn origin_after_unsettled(
    group: &ClaimGroup,
    ended: &BTreeSet<ClaimMember>,
) -> Option<GroupOrigin> {
    let source = group.previous.last();
    let source_lost = group.origin == GroupOrigin::Transferred
        && source.is_some_and(|source| majority_ended(&source.members, ended));
    let lost = source_lost || majority_ended(&group.members, ended);
    lost.then_some(GroupOrigin::Fresh)
}

fn majority_ended(members: &[ClaimMember; GROUP_SIZE], ended: &BTreeSet<ClaimMember>) -> bool {
    members
        .iter()
        .filter(|member| ended.contains(member))
        .count()
        >= MAJORITY
}

/// Adds members up to [`GROUP_SIZE`], from zones that the group does not have yet where possible.
fn fill_group(
    shard: ShardNumber,
    mut members: Vec<ClaimMember>,
    zones: &BTreeMap<ClaimMember, &ZoneName>,
) -> Option<[ClaimMember; GROUP_SIZE]> {
    let mut ranked: Vec<ClaimMember> = zones.keys().copied().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(rendezvous_weight(shard, *member)));
    while members.len() < GROUP_SIZE {
        let taken: BTreeSet<&ZoneName> = members
            .iter()
            .filter_map(|member| zones.get(member).copied())
            .collect();
        let mut free = ranked.iter().filter(|member| !members.contains(member));
        let in_new_zone = free.clone().find(|member| !taken.contains(zones[*member]));
        let chosen = *in_new_zone.or_else(|| free.next())?;
        members.push(chosen);
    }
    members.try_into().ok()
}

/// Weight for rendezvous hashing. It depends on the machine and not on the incarnation, so that a
/// restart changes as few groups as possible.
fn rendezvous_weight(shard: ShardNumber, member: ClaimMember) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&shard.0.to_le_bytes());
    hash.update(&member.machine.0.to_le_bytes());
    hash.digest()
}
