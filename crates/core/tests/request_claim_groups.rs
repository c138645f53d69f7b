//! Claim groups: sealing, beginning without claims, and planning. A group must not lose claims that
//! could still be used for a second dispatch.

use std::collections::BTreeSet;

use ponddrift_core::claims::{
    ClaimCandidate, ClaimGroup, ClaimKey, ClaimMember, ClaimMessage, ClaimPlanningInput,
    ClaimReplica, ClaimReply, ClaimSettings, ClaimantId, EpochChange, EpochChangeAction,
    EpochChangeProgress, GroupEpoch, GroupOrigin, PreviousGroup, ShardMap, ShardNumber,
    TransferredState, Vote, VoteRefusal, plan_shard_map,
};
use ponddrift_core::{
    Incarnation, MachineId, RequestId, ServiceName, TenantName, Timestamp, ZoneName,
};

const NOW: Timestamp = Timestamp::from_millis(10_000);
const SHARD: ShardNumber = ShardNumber(0);
const KEY: ClaimKey = ClaimKey(9);

fn member(machine: u32) -> ClaimMember {
    ClaimMember {
        machine: MachineId(machine),
        incarnation: Incarnation(1),
    }
}

#[test]
fn a_member_sealed_before_installation_never_begins_the_epoch() {
    let mut replica = ClaimReplica::new(ClaimSettings::default(), member(0));
    let (shard, epoch, to) = (SHARD, GroupEpoch(2), member(0));
    let sealed = replica.handle(NOW, ClaimMessage::Seal { shard, epoch, to });
    assert!(matches!(
        sealed,
        Some(ClaimReply::Sealed { state: None, .. })
    ));
    let state = TransferredState::default();
    let late = ClaimMessage::Install {
        shard,
        epoch,
        to,
        state,
    };
    assert_eq!(replica.handle(NOW, late), None);
    let epoch = GroupEpoch(3);
    let next = ClaimMessage::InstallFresh {
        shard,
        epoch,
        to,
        quarantined: true,
    };
    assert!(replica.handle(NOW, next).is_some());
    let key = KEY;
    let daemon = member(7);
    let claimant = ClaimantId {
        daemon,
        request: RequestId(1),
        round: 0,
    };
    let claim = ClaimMessage::Claim {
        shard,
        epoch,
        to,
        key,
        claimant,
        fingerprint: 5,
    };
    let reply = replica.handle(NOW, claim);
    let Some(ClaimReply::Voted {
        vote: Vote::None(VoteRefusal::Quarantined { left_us }),
        ..
    }) = reply
    else {
        panic!("expected the quarantine, got {reply:?}");
    };
    assert_eq!(
        u128::from(left_us),
        ClaimSettings::default().quarantine().as_micros()
    );
}

#[test]
fn a_fresh_group_begins_only_when_all_previous_groups_are_closed() {
    let previous = |epoch, members| PreviousGroup {
        epoch: GroupEpoch(epoch),
        members,
    };
    let group = ClaimGroup {
        epoch: GroupEpoch(3),
        members: [member(5), member(6), member(7)],
        origin: GroupOrigin::Fresh,
        previous: vec![
            previous(1, [member(0), member(1), member(2)]),
            previous(2, [member(2), member(3), member(4)]),
        ],
        settled: false,
    };
    let ended = BTreeSet::from([member(0), member(1)]);
    let mut change = EpochChange::new(SHARD, group, ended);
    assert_eq!(change.progress(), EpochChangeProgress::Sealing);
    for from in [member(3), member(4)] {
        assert_eq!(change.progress(), EpochChangeProgress::Sealing);
        let (shard, epoch, state) = (SHARD, GroupEpoch(2), None);
        change.reply(ClaimReply::Sealed {
            from,
            shard,
            epoch,
            state,
        });
    }
    assert_eq!(change.progress(), EpochChangeProgress::Installing);
    let fresh = |action: &EpochChangeAction| {
        matches!(
            action,
            EpochChangeAction::Send(ClaimMessage::InstallFresh {
                quarantined: true,
                ..
            })
        )
    };
    assert!(change.pending().iter().all(fresh));
    for from in [member(5), member(6), member(7)] {
        assert_ne!(change.progress(), EpochChangeProgress::Settled);
        let (shard, epoch) = (SHARD, GroupEpoch(3));
        change.reply(ClaimReply::Installed { from, shard, epoch });
    }
    assert_eq!(change.pending(), [EpochChangeAction::Settle]);
}

fn fleet(machines: impl IntoIterator<Item = u32>) -> ClaimPlanningInput {
    let zones = ["a", "b", "c", "d"];
    let live = machines.into_iter().map(|machine| ClaimCandidate {
        member: member(machine),
        zone: ZoneName::new(zones[machine as usize % 4]).unwrap(),
    });
    ClaimPlanningInput {
        live: live.collect(),
        ended: BTreeSet::new(),
    }
}

fn settled(mut map: ShardMap) -> ShardMap {
    for shard in 0..map.shards.len() as u32 {
        let epoch = map.shards[shard as usize].epoch;
        map = map.with_settled(ShardNumber(shard), epoch).unwrap();
    }
    map
}

#[test]
fn groups_span_three_zones_and_change_as_few_members_as_possible() {
    let map = plan_shard_map(&ShardMap::default(), 64, &fleet(0..20)).unwrap();
    for group in &map.shards {
        let zones: BTreeSet<u32> = group
            .members
            .iter()
            .map(|held| held.machine.0 % 4)
            .collect();
        assert_eq!(zones.len(), 3);
        assert_eq!(group.origin, GroupOrigin::First);
    }
    let map = settled(map);
    assert_eq!(plan_shard_map(&map, 64, &fleet(0..20)), None);
    assert_eq!(
        plan_shard_map(&map, 64, &fleet(0..30)),
        None,
        "a new daemon changes no group"
    );
    let next = plan_shard_map(&map, 64, &fleet((0..20).filter(|&machine| machine != 3))).unwrap();
    for (old, new) in map.shards.iter().zip(&next.shards) {
        let held_it = old.members.contains(&member(3));
        let kept = old
            .members
            .iter()
            .filter(|held| new.members.contains(held))
            .count();
        assert_eq!(kept, if held_it { 2 } else { 3 });
        assert_eq!(new.epoch > old.epoch, held_it);
        assert!(!held_it || new.origin == GroupOrigin::Transferred);
    }
    assert_eq!(plan_shard_map(&ShardMap::default(), 64, &fleet(0..2)), None);
}

#[test]
fn an_unreachable_member_is_not_regarded_as_ended() {
    let map = settled(plan_shard_map(&ShardMap::default(), 1, &fleet(0..3)).unwrap());
    let unreachable = plan_shard_map(&map, 1, &fleet(2..8)).unwrap();
    assert_eq!(unreachable.shards[0].origin, GroupOrigin::Transferred);
    let mut certainly_ended = fleet(2..8);
    certainly_ended.ended = BTreeSet::from([member(0), member(1)]);
    let lost = plan_shard_map(&map, 1, &certainly_ended).unwrap();
    assert_eq!(lost.shards[0].origin, GroupOrigin::Fresh);
    assert_eq!(
        plan_shard_map(&unreachable, 1, &fleet(3..8)),
        None,
        "no change is planned while another is in progress"
    );
    let replaced = plan_shard_map(&unreachable, 1, &certainly_ended).unwrap();
    assert_eq!(replaced.shards[0].origin, GroupOrigin::Fresh);
    assert_eq!(replaced.shards[0].previous.len(), 2);
}

#[test]
fn keys_of_different_tenants_and_services_differ() {
    let tenant = |name| TenantName::new(name).unwrap();
    let service = |name| ServiceName::new(name).unwrap();
    let key = ClaimKey::new(&tenant("a"), &service("bc"), b"k");
    assert_ne!(key, ClaimKey::new(&tenant("ab"), &service("c"), b"k"));
    assert_ne!(key, ClaimKey::new(&tenant("a"), &service("bc"), b"l"));
    assert_eq!(key, ClaimKey::new(&tenant("a"), &service("bc"), b"k"));
}
