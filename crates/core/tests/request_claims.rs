//! Claims of single keys: behaviour of members and claimants. A request must not be dispatched
//! without a majority, after its validity, or when another request holds the key.

use std::time::Duration;

use ponddrift_core::claims::{
    ClaimAction, ClaimAnswer, ClaimCoordinator, ClaimFailure, ClaimGroup, ClaimKey, ClaimMember,
    ClaimMessage, ClaimOutcome, ClaimReplica, ClaimReply, ClaimSettings, GroupEpoch, GroupOrigin,
    ShardMap, ShardNumber, Vote,
};
use ponddrift_core::{Execution, Incarnation, MachineId, RequestId, Timestamp};

const NOW: Timestamp = Timestamp::from_millis(10_000);
const SHARD: ShardNumber = ShardNumber(0);
const KEY: ClaimKey = ClaimKey(9);

fn member(machine: u32) -> ClaimMember {
    ClaimMember {
        machine: MachineId(machine),
        incarnation: Incarnation(1),
    }
}

fn members() -> [ClaimMember; 3] {
    [member(0), member(1), member(2)]
}

fn map() -> ShardMap {
    let group = ClaimGroup {
        epoch: GroupEpoch(1),
        members: members(),
        origin: GroupOrigin::First,
        previous: Vec::new(),
        settled: true,
    };
    ShardMap {
        epoch: 1,
        shards: vec![group],
    }
}

/// The three members of the group, in the first epoch.
fn replicas(settings: ClaimSettings) -> Vec<ClaimReplica> {
    let installed = |to| {
        let mut replica = ClaimReplica::new(settings, to);
        let install = ClaimMessage::InstallFresh {
            shard: SHARD,
            epoch: GroupEpoch(1),
            to,
            quarantined: false,
        };
        replica.handle(NOW, install);
        replica
    };
    members().into_iter().map(installed).collect()
}

fn start(serial: u128, fingerprint: u64) -> (ClaimCoordinator, Vec<ClaimAction>) {
    let settings = ClaimSettings::default();
    let request = RequestId(serial);
    ClaimCoordinator::start(settings, NOW, &map(), member(7), request, KEY, fingerprint).unwrap()
}

/// Delivers messages to the members in `reached` and their replies to the coordinator. Returns the
/// outcome of the claim, if it was decided.
fn exchange(
    replicas: &mut [ClaimReplica],
    reached: &[usize],
    coordinator: &mut ClaimCoordinator,
    actions: Vec<ClaimAction>,
) -> Option<ClaimOutcome> {
    let mut decided = None;
    let mut pending = actions;
    while let Some(action) = pending.pop() {
        let message = match action {
            ClaimAction::Decided(outcome) => {
                decided = Some(outcome);
                continue;
            }
            ClaimAction::Send(message) => message,
        };
        let to = message.to().machine.0 as usize;
        if !reached.contains(&to) {
            continue;
        }
        if let Some(reply) = replicas[to].handle(NOW, message) {
            pending.extend(coordinator.reply(NOW, reply));
        }
    }
    decided
}

fn claim(
    replicas: &mut [ClaimReplica],
    serial: u128,
    fingerprint: u64,
) -> (ClaimCoordinator, Option<ClaimOutcome>) {
    let (mut coordinator, actions) = start(serial, fingerprint);
    let decided = exchange(replicas, &[0, 1, 2], &mut coordinator, actions);
    (coordinator, decided)
}

fn timeout(coordinator: &mut ClaimCoordinator) -> Option<ClaimOutcome> {
    let due = coordinator.next_tick().unwrap();
    coordinator
        .tick(due)
        .into_iter()
        .find_map(|action| match action {
            ClaimAction::Decided(outcome) => Some(outcome),
            ClaimAction::Send(_) => None,
        })
}

#[test]
fn the_first_request_wins_and_a_repeated_one_gets_its_answer() {
    let mut replicas = replicas(ClaimSettings::default());
    let (mut first, decided) = claim(&mut replicas, 1, 5);
    assert_eq!(decided, Some(ClaimOutcome::Won));
    assert!(first.begin_dispatch(NOW).is_ok());
    assert!(first.begin_dispatch(NOW).is_err(), "one dispatch");

    let (_, repeat) = claim(&mut replicas, 2, 5);
    let by = MachineId(7);
    let repeat = repeat.expect("decided");
    assert_eq!(repeat, ClaimOutcome::AlreadyClaimed { by: Some(by) });
    assert_eq!(repeat.execution(), Execution::Unknown);

    let answer = ClaimAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
    };
    for message in first.completed(map().group(SHARD).unwrap(), Some(&answer)) {
        replicas[message.to().machine.0 as usize].handle(NOW, message);
    }
    let (_, repeat) = claim(&mut replicas, 3, 5);
    let answer = Some(answer);
    assert_eq!(repeat, Some(ClaimOutcome::AlreadyRan { by, answer }));
    let (_, other_body) = claim(&mut replicas, 4, 6);
    assert_eq!(other_body, Some(ClaimOutcome::KeyReused));
}

#[test]
fn a_large_answer_is_not_kept_but_the_execution_is() {
    let mut replicas = replicas(ClaimSettings::default());
    let (mut first, _) = claim(&mut replicas, 1, 5);
    first.begin_dispatch(NOW).unwrap();
    let answer = ClaimAnswer {
        status: 200,
        content_type: String::new(),
        body: vec![0; ClaimSettings::default().maximum_answer_bytes + 1],
    };
    for message in first.completed(map().group(SHARD).unwrap(), Some(&answer)) {
        replicas[message.to().machine.0 as usize].handle(NOW, message);
    }
    let (_, repeat) = claim(&mut replicas, 2, 5);
    let by = MachineId(7);
    assert_eq!(repeat, Some(ClaimOutcome::AlreadyRan { by, answer: None }));
}

#[test]
fn no_request_wins_without_a_majority() {
    let mut replicas = replicas(ClaimSettings::default());
    let (mut alone, actions) = start(1, 5);
    assert_eq!(exchange(&mut replicas, &[1], &mut alone, actions), None);
    let failure = ClaimFailure::NoMajority { other_seen: false };
    assert_eq!(timeout(&mut alone), Some(ClaimOutcome::Failed(failure)));
    assert_eq!(failure.execution(), Execution::NotStarted);
    assert!(alone.begin_dispatch(NOW).is_err());

    let (mut second, actions) = start(2, 5);
    exchange(&mut replicas, &[1], &mut second, actions);
    let failure = ClaimFailure::NoMajority { other_seen: true };
    assert_eq!(timeout(&mut second), Some(ClaimOutcome::Failed(failure)));
    assert_eq!(failure.execution(), Execution::Unknown);
}

#[test]
fn a_suspended_claimant_does_not_dispatch_and_withdraws_its_claim() {
    let mut replicas = replicas(ClaimSettings::default());
    let (mut frozen, decided) = claim(&mut replicas, 1, 5);
    assert_eq!(decided, Some(ClaimOutcome::Won));
    let resumed_at = NOW + ClaimSettings::default().dispatch_validity;
    let expired = frozen.begin_dispatch(resumed_at).unwrap_err();
    assert_eq!(expired.withdrawals.len(), 3);
    for message in expired.withdrawals {
        replicas[message.to().machine.0 as usize].handle(NOW, message);
    }
    let (_, next) = claim(&mut replicas, 2, 5);
    assert_eq!(next, Some(ClaimOutcome::Won));
}

#[test]
fn a_dispatch_that_did_not_run_may_be_repeated_or_released() {
    let mut replicas = replicas(ClaimSettings::default());
    let (mut first, _) = claim(&mut replicas, 1, 5);
    first.begin_dispatch(NOW).unwrap();
    assert!(first.release().is_empty(), "it may have run");
    first.dispatch_not_started();
    assert!(first.begin_dispatch(NOW).is_ok());
    first.dispatch_not_started();
    for message in first.release() {
        replicas[message.to().machine.0 as usize].handle(NOW, message);
    }
    assert!(first.begin_dispatch(NOW).is_err());
    let (_, next) = claim(&mut replicas, 2, 5);
    assert_eq!(next, Some(ClaimOutcome::Won));
}

#[test]
fn split_votes_are_withdrawn_and_a_later_round_decides() {
    let mut replicas = replicas(ClaimSettings::default());
    let mut claims: Vec<_> = (0..3).map(|serial| start(serial, 5)).collect();
    for (reached, (coordinator, actions)) in claims.iter_mut().enumerate() {
        let actions = std::mem::take(actions);
        assert_eq!(
            exchange(&mut replicas, &[reached], coordinator, actions),
            None
        );
    }
    for (coordinator, _) in &mut claims {
        let due = coordinator.next_tick().unwrap();
        let actions = coordinator.tick(due);
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, ClaimAction::Decided(ClaimOutcome::Won)))
        );
        exchange(&mut replicas, &[0, 1, 2], coordinator, actions);
    }
    let (_, later) = claim(&mut replicas, 9, 5);
    assert_eq!(
        later,
        Some(ClaimOutcome::Won),
        "no vote of the split round is left"
    );
}

#[test]
fn votes_of_an_earlier_round_are_ignored() {
    let (mut coordinator, first_round) = start(1, 5);
    let granted = |message: &ClaimMessage| {
        let ClaimMessage::Claim {
            epoch,
            to,
            key,
            claimant,
            ..
        } = message
        else {
            panic!("a claim")
        };
        ClaimReply::Voted {
            from: *to,
            epoch: *epoch,
            key: *key,
            claimant: *claimant,
            vote: Vote::Granted,
        }
    };
    let late: Vec<ClaimReply> = first_round
        .iter()
        .filter_map(|action| match action {
            ClaimAction::Send(message) => Some(granted(message)),
            ClaimAction::Decided(_) => None,
        })
        .collect();
    let mut members = replicas(ClaimSettings::default());
    let (mut other, actions) = start(2, 5);
    exchange(&mut members, &[0], &mut other, actions);
    exchange(&mut members, &[0, 1], &mut coordinator, first_round);
    let due = coordinator.next_tick().unwrap();
    coordinator.tick(due);
    let second_round = coordinator.next_tick().unwrap();
    assert!(!coordinator.tick(second_round).is_empty());
    for reply in late {
        assert_eq!(coordinator.reply(second_round, reply), []);
    }
}

#[test]
fn restarted_and_full_members_do_not_vote() {
    let mut restarted = ClaimReplica::new(
        ClaimSettings::default(),
        ClaimMember {
            machine: MachineId(0),
            incarnation: Incarnation(2),
        },
    );
    let (_, actions) = start(1, 5);
    for action in actions {
        let ClaimAction::Send(message) = action else {
            continue;
        };
        assert_eq!(restarted.handle(NOW, message), None);
    }
    let settings = ClaimSettings {
        maximum_claims: 0,
        ..ClaimSettings::default()
    };
    let (_, decided) = claim(&mut replicas(settings), 1, 5);
    assert_eq!(decided, Some(ClaimOutcome::Failed(ClaimFailure::Full)));
}

#[test]
fn claims_are_removed_only_after_the_retention() {
    let settings = ClaimSettings::default();
    let mut replicas = replicas(settings);
    claim(&mut replicas, 1, 5);
    let almost = Timestamp(NOW.0 + settings.retention.as_micros() as u64 - 1);
    replicas[0].remove_expired(almost);
    assert_eq!(replicas[0].record_count(), 1);
    replicas[0].remove_expired(NOW + settings.retention);
    assert_eq!(replicas[0].record_count(), 0);
    assert!(settings.check().is_ok());
    let short = ClaimSettings {
        retention: Duration::from_secs(300),
        ..settings
    };
    assert!(short.check().is_err());
    assert!(settings.quarantine() > settings.retention);
}
