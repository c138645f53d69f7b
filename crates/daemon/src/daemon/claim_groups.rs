//! Plans the claim groups and carries their changes out: the work of one daemon at a time, though nothing
//! depends on its being only one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ponddrift_core::claims::{
    ClaimCandidate, ClaimMember, ClaimMessage, ClaimPlanningInput, EpochChange, EpochChangeAction,
    GroupEpoch, ShardMap, ShardNumber, plan_shard_map,
};
use ponddrift_core::membership::MemberRecord;
use ponddrift_core::membership::assignment::{ZoneSpread, rank_of, rendezvous, workers};
use ponddrift_core::{MachineId, Revision};
use ponddrift_platform::store::{Compare, Write};
use ponddrift_platform::{KeyValueStore, StoreError};
use ponddrift_protocol::{Request, Response};
use ponddrift_runtime::watch;
use xtra::Address;

use crate::actors::claims::{ApplyShardMap, ClaimsActor};
use crate::actors::tell;
use crate::fleet::FleetReceiver;
use crate::peer::client::PeerClient;
use crate::peer::view::MembersView;

/// Key of the shard map.
const SHARD_MAP_KEY: &str = "ponddrift/claims/shard_map";
/// Shards of a new map. A key stays in its shard for good.
const SHARD_COUNT: u32 = 32;
/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_secs(2);
/// Time between two rounds while there is no map, or a group is being changed.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);
/// Rendezvous key of the daemon that does this work.
const PLANNER: &str = "claim-groups";

/// What the work needs.
pub(super) struct ClaimGroups {
    pub(super) store: Arc<dyn KeyValueStore>,
    pub(super) client: PeerClient,
    pub(super) claims: Address<ClaimsActor>,
    pub(super) shard_map: watch::Receiver<Arc<ShardMap>>,
    pub(super) members: watch::Receiver<Arc<MembersView>>,
    pub(super) fleet: FleetReceiver,
}

/// The map as it was read, with the revision that the next one is compared with.
struct StoredMap {
    map: ShardMap,
    revision: Option<Revision>,
}

impl ClaimGroups {
    /// Runs until the daemon ends.
    pub(super) async fn run(self) {
        let mut changes: BTreeMap<(ShardNumber, GroupEpoch), EpochChange> = BTreeMap::new();
        let mut listed: BTreeSet<MachineId> = BTreeSet::new();
        loop {
            let is_settled = self.is_settled();
            let period = if is_settled {
                ROUND_PERIOD
            } else {
                CHANGE_PERIOD
            };
            tokio::time::sleep(period).await;
            let list = Arc::clone(&self.fleet.borrow());
            listed.extend(list.machines.iter().map(|machine| machine.id));
            if !self.is_planner() {
                changes.clear();
                continue;
            }
            if let Err(error) = self.round(&mut changes, &listed).await {
                tracing::debug!(%error, "claim groups not looked at");
            }
        }
    }

    /// Whether the map that this daemon knows names groups, and none that is being changed.
    fn is_settled(&self) -> bool {
        let map = self.shard_map.borrow();
        !map.shards.is_empty() && map.shards.iter().all(|group| group.settled)
    }

    fn is_planner(&self) -> bool {
        let view = Arc::clone(&self.members.borrow());
        let live = view.live_records();
        let workers = workers(&live);
        let ranked = rendezvous(PLANNER, &workers, 1, ZoneSpread::Ignore);
        rank_of(view.own, &ranked) == Some(0)
    }

    async fn round(
        &self,
        changes: &mut BTreeMap<(ShardNumber, GroupEpoch), EpochChange>,
        listed: &BTreeSet<MachineId>,
    ) -> Result<(), StoreError> {
        let stored = self.read().await?;
        tell(&self.claims, ApplyShardMap(stored.map.clone()));
        let fleet = self.fleet_for(&stored.map, listed);
        if let Some(next) = plan_shard_map(&stored.map, SHARD_COUNT, &fleet) {
            return self.write(&stored, next).await;
        }
        self.carry_out(&stored, changes, &fleet.ended).await
    }

    async fn read(&self) -> Result<StoredMap, StoreError> {
        let Some(stored) = self.store.get(SHARD_MAP_KEY).await? else {
            return Ok(StoredMap {
                map: ShardMap::default(),
                revision: None,
            });
        };
        let map = serde_json::from_slice(&stored.value)
            .map_err(|error| StoreError::Protocol(format!("{SHARD_MAP_KEY}: {error}")))?;
        Ok(StoredMap {
            map,
            revision: Some(stored.mod_revision),
        })
    }

    /// Writes a map if the one it was made from still stands. A lost answer is settled by the next round,
    /// which reads.
    async fn write(&self, base: &StoredMap, map: ShardMap) -> Result<(), StoreError> {
        let key = SHARD_MAP_KEY.to_owned();
        let compare = match base.revision {
            Some(revision) => Compare::ModRevision {
                key: key.clone(),
                revision,
            },
            None => Compare::Absent { key: key.clone() },
        };
        let value =
            serde_json::to_vec(&map).map_err(|error| StoreError::Protocol(error.to_string()))?;
        let put = Write::Put {
            key,
            value: Bytes::from(value),
            lease: None,
        };
        let result = self.store.transaction(vec![compare], vec![put]).await?;
        if result.succeeded {
            tell(&self.claims, ApplyShardMap(map));
        }
        Ok(())
    }

    fn fleet_for(&self, map: &ShardMap, listed: &BTreeSet<MachineId>) -> ClaimPlanningInput {
        let view = Arc::clone(&self.members.borrow());
        let live = view.serving().map(|record| ClaimCandidate {
            member: member_of(record),
            zone: record.zone.clone(),
        });
        let current: BTreeSet<MachineId> = self
            .fleet
            .borrow()
            .machines
            .iter()
            .map(|machine| machine.id)
            .collect();
        let newest: BTreeMap<MachineId, ClaimMember> = view
            .live
            .iter()
            .chain(&view.gone)
            .map(|record| (record.machine, member_of(record)))
            .collect();
        let is_over = |member: &ClaimMember| {
            let has_newer_life = newest
                .get(&member.machine)
                .is_some_and(|newest| newest.incarnation > member.incarnation);
            let was_removed =
                listed.contains(&member.machine) && !current.contains(&member.machine);
            has_newer_life || was_removed
        };
        let ended = members_of(map).into_iter().filter(is_over).collect();
        ClaimPlanningInput {
            live: live.collect(),
            ended,
        }
    }

    /// Carries out the changes that the map names and that are not settled.
    async fn carry_out(
        &self,
        stored: &StoredMap,
        changes: &mut BTreeMap<(ShardNumber, GroupEpoch), EpochChange>,
        ended: &BTreeSet<ClaimMember>,
    ) -> Result<(), StoreError> {
        let mut map = stored.map.clone();
        let open: Vec<(ShardNumber, GroupEpoch)> = (0_u32..)
            .zip(&map.shards)
            .filter(|(_, group)| !group.settled)
            .map(|(number, group)| (ShardNumber(number), group.epoch))
            .collect();
        changes.retain(|key, _| open.contains(key));
        for (shard, epoch) in open {
            let Some(group) = map.group(shard).cloned() else {
                continue;
            };
            let change = changes
                .entry((shard, epoch))
                .or_insert_with(|| EpochChange::new(shard, group, ended.clone()));
            if self.advance(change, ended).await
                && let Some(settled) = map.with_settled(shard, epoch)
            {
                map = settled;
            }
        }
        if map != stored.map {
            self.write(stored, map).await?;
        }
        Ok(())
    }

    /// Sends what a change waits for. Returns whether it is done.
    async fn advance(&self, change: &mut EpochChange, ended: &BTreeSet<ClaimMember>) -> bool {
        for member in ended {
            change.ended(*member);
        }
        let mut actions = change.pending();
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    EpochChangeAction::Settle => return true,
                    EpochChangeAction::Send(message) => {
                        if let Some(reply) = self.send(message).await {
                            next = change.reply(reply);
                        }
                    }
                }
            }
            actions = next;
        }
        false
    }

    async fn send(&self, message: ClaimMessage) -> Option<ponddrift_core::claims::ClaimReply> {
        let target = peer_address(&self.members.borrow(), message.to())?;
        match self.client.ask(target, Request::Claim(message)).await {
            Ok(Response::Claim(reply)) => reply,
            Ok(_other) => None,
            Err(error) => {
                tracing::debug!(%error, "member of a claim group not reached");
                None
            }
        }
    }
}

/// Where a member of a claim group is reached.
pub(crate) fn peer_address(
    view: &MembersView,
    member: ClaimMember,
) -> Option<std::net::SocketAddr> {
    let record = view
        .live
        .iter()
        .find(|record| record.machine == member.machine)?;
    Some(record.peer_address)
}

fn member_of(record: &MemberRecord) -> ClaimMember {
    ClaimMember {
        machine: record.machine,
        incarnation: record.life.incarnation,
    }
}

fn members_of(map: &ShardMap) -> BTreeSet<ClaimMember> {
    let groups = map.shards.iter();
    groups
        .flat_map(|group| {
            let earlier = group.previous.iter().flat_map(|previous| previous.members);
            group.members.into_iter().chain(earlier)
        })
        .collect()
}
