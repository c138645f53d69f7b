//! Configuration tests: validation, key layout, concurrent changes and the order of revisions. A
//! daemon must never return to an older revision or apply a change to the wrong revision.

use ponddrift_core::configuration::{
    ChangeOutcome, ChangeStep, Configuration, ConfigurationChange, ConfigurationItem,
    ConfigurationState, Delta, FleetFacts, ItemKey, ItemWrite, KeyError, KeyWrite,
    LATEST_CHANGE_KEY, ModelSettings, PrioritySettings, ServiceKind, ServiceSettings, StoredEntry,
    StoredLatestChange, ValidationError, accept, delta_from_writes, determine_outcome, key_writes,
    snapshot_from_entries,
};
use ponddrift_core::{ChangeId, MachineId, Revision};

fn priority(name: &str, level: u8) -> ConfigurationItem {
    ConfigurationItem::Priority {
        name: name.parse().unwrap(),
        settings: PrioritySettings { level },
    }
}

fn model(name: &str, weights_mib: u32, engine_share_percent: u8) -> ConfigurationItem {
    ConfigurationItem::Model {
        name: name.parse().unwrap(),
        settings: ModelSettings {
            weights_mib,
            engine_share_percent,
        },
    }
}

fn service(model: &str) -> ServiceSettings {
    ServiceSettings {
        kind: ServiceKind::Completion {
            model: model.parse().unwrap(),
            adapter: None,
            version: 1,
        },
        priority: "high".parse().unwrap(),
        repeatable: true,
        deadline_ms: 1_000,
        rollout_percent: 20,
    }
}

fn service_item(name: &str, settings: ServiceSettings) -> ConfigurationItem {
    ConfigurationItem::Service {
        name: name.parse().unwrap(),
        settings,
    }
}

fn change(id: u128, steps: Vec<ChangeStep>) -> ConfigurationChange {
    ConfigurationChange {
        id: ChangeId(id),
        author: format!("operator-{id}"),
        expected: None,
        steps,
    }
}

fn base() -> Configuration {
    let steps = vec![
        ChangeStep::Insert(priority("high", 0)),
        ChangeStep::Insert(model("ledger", 1_000, 60)),
        ChangeStep::Insert(service_item("reconcile", service("ledger"))),
    ];
    accept(
        &Configuration::default(),
        &change(1, steps),
        Revision(5),
        &facts(),
    )
    .unwrap()
}

fn facts() -> FleetFacts {
    FleetFacts {
        engine_memory_mib: [(MachineId(9), 2_000)].into(),
        pools: ["records".parse().unwrap()].into(),
    }
}

fn refused(steps: Vec<ChangeStep>) -> Vec<ValidationError> {
    accept(&base(), &change(2, steps), Revision(6), &facts()).unwrap_err()
}

#[test]
fn invalid_settings_are_refused_with_a_remedy() {
    let mut invalid = service("unknown");
    invalid.priority = "none".parse().unwrap();
    invalid.rollout_percent = 0;
    invalid.deadline_ms = 1;
    let errors = refused(vec![
        ChangeStep::Insert(service_item("x", invalid)),
        ChangeStep::Insert(model("big", 3_000, 50)),
    ]);
    let text: Vec<_> = errors.iter().map(ToString::to_string).collect();
    let expected = [
        "service x names model unknown, which does not exist: add the model first",
        "service x names priority none, which does not exist: add the priority first",
        "rollout_percent of service x is 0: use 1 to 100",
        "deadline_ms of service x is 1: use 10 to 3600000",
        "the engine shares of all models add up to 110%: lower them to 100% at most",
        "model big needs 3000 MiB, and the largest engine has 2000 MiB: use a smaller model, or correct weights_mib",
    ];
    assert_eq!(text, expected);
}

#[test]
fn a_model_or_priority_in_use_cannot_be_deleted_but_both_go_with_their_service() {
    let in_use = [
        ItemKey::Model("ledger".parse().unwrap()),
        ItemKey::Priority("high".parse().unwrap()),
    ];
    for key in &in_use {
        assert_eq!(refused(vec![ChangeStep::Delete(key.clone())]).len(), 1);
    }
    let service = ItemKey::Service("reconcile".parse().unwrap());
    let steps = [service].into_iter().chain(in_use).map(ChangeStep::Delete);
    let changed = accept(&base(), &change(2, steps.collect()), Revision(6), &facts());
    assert_eq!(changed.unwrap().services.len(), 0);
}

#[test]
fn insert_update_and_expected_revision_are_checked() {
    let existing = ItemKey::Priority("high".parse().unwrap());
    let absent = ItemKey::Priority("low".parse().unwrap());
    assert_eq!(
        refused(vec![
            ChangeStep::Insert(priority("high", 1)),
            ChangeStep::Update(priority("low", 1)),
            ChangeStep::Delete(absent.clone()),
        ]),
        vec![
            ValidationError::AlreadyExists { key: existing },
            ValidationError::DoesNotExist {
                key: absent.clone()
            },
            ValidationError::DoesNotExist { key: absent },
        ]
    );
    let mut moved = change(2, vec![]);
    moved.expected = Some(Revision(4));
    assert_eq!(
        accept(&base(), &moved, Revision(6), &facts()).unwrap_err(),
        vec![ValidationError::RevisionMismatch {
            expected: Revision(4),
            current: Revision(5)
        }]
    );
}

#[test]
fn an_existing_error_does_not_refuse_another_change() {
    let without_pools = FleetFacts::default();
    let mut plain = service("ledger");
    plain.kind = ServiceKind::Plain {
        pool: "records".parse().unwrap(),
    };
    let add = change(
        2,
        vec![ChangeStep::Insert(service_item("lookup", plain.clone()))],
    );
    let with_pool = accept(&base(), &add, Revision(6), &facts()).unwrap();
    let other = change(3, vec![ChangeStep::Insert(priority("low", 3))]);
    assert!(accept(&with_pool, &other, Revision(7), &without_pools).is_ok());
    assert!(accept(&base(), &add, Revision(6), &without_pools).is_err());
}

fn stored(writes: &[KeyWrite], revision: u64) -> Vec<StoredEntry> {
    let entry = |write: &KeyWrite| match write {
        KeyWrite::Put { key, value_json } => Some(StoredEntry {
            key: key.clone(),
            value_json: value_json.clone(),
            mod_revision: Revision(revision),
        }),
        KeyWrite::Delete { .. } => None,
    };
    writes.iter().filter_map(entry).collect()
}

fn latest_change_after(
    change: &ConfigurationChange,
    base: Option<&StoredLatestChange>,
    at: u64,
) -> StoredLatestChange {
    let entries = stored(&key_writes(change, base), at);
    snapshot_from_entries(&entries).unwrap().1.unwrap()
}

#[test]
fn stored_records_are_read_back_as_snapshot_and_as_delta() {
    let steps = vec![
        ChangeStep::Insert(priority("high", 0)),
        ChangeStep::Insert(model("ledger", 1_000, 60)),
        ChangeStep::Insert(service_item("reconcile", service("ledger"))),
    ];
    let writes = key_writes(&change(1, steps), None);
    assert_eq!(writes.last().unwrap().key(), LATEST_CHANGE_KEY);
    let (snapshot, _) = snapshot_from_entries(&stored(&writes, 5)).unwrap();
    assert_eq!(snapshot, base());
    let mut state = ConfigurationState::default();
    state.apply_delta(delta_from_writes(Revision(5), &writes).unwrap());
    assert_eq!(*state.in_force(), base());
    let without_latest_change = &writes[..writes.len() - 1];
    let error = delta_from_writes(Revision(5), without_latest_change).unwrap_err();
    assert_eq!(error, KeyError::LatestChangeMissing);
}

#[test]
fn outcome_of_concurrent_and_unanswered_changes_follows_from_the_latest_change() {
    let first = latest_change_after(&change(1, vec![]), None, 5);
    let second = latest_change_after(&change(2, vec![]), Some(&first), 7);
    let third = latest_change_after(&change(3, vec![]), Some(&second), 9);
    let accepted = |revision| ChangeOutcome::Accepted {
        revision: Revision(revision),
    };
    let conflicted = ChangeOutcome::ConflictedWith {
        author: "operator-2".to_owned(),
        change: ChangeId(2),
        revision: Revision(7),
    };
    let base = Revision(5);
    assert_eq!(
        determine_outcome(ChangeId(2), base, Some(&second)),
        accepted(7)
    );
    assert_eq!(
        determine_outcome(ChangeId(2), base, Some(&third)),
        accepted(7)
    );
    assert_eq!(
        determine_outcome(ChangeId(8), base, Some(&second)),
        conflicted
    );
    assert_eq!(
        determine_outcome(ChangeId(8), base, Some(&third)),
        conflicted
    );
    assert_eq!(determine_outcome(ChangeId(8), Revision(0), Some(&first)), {
        ChangeOutcome::ConflictedWith {
            author: "operator-1".to_owned(),
            change: ChangeId(1),
            revision: Revision(5),
        }
    });
    let unwritten = ChangeOutcome::NotWritten;
    assert_eq!(
        determine_outcome(ChangeId(8), base, Some(&first)),
        unwritten
    );
    assert_eq!(determine_outcome(ChangeId(8), Revision(0), None), unwritten);
}

#[test]
fn outcome_is_undetermined_once_the_change_is_no_longer_listed() {
    let mut latest = latest_change_after(&change(1, vec![]), None, 5);
    for number in 2..60u128 {
        let revision = latest.revision.0 + 1;
        latest = latest_change_after(&change(number, vec![]), Some(&latest), revision);
    }
    let outcome = determine_outcome(ChangeId(2), Revision(5), Some(&latest));
    assert_eq!(outcome, ChangeOutcome::Undetermined);
}

fn numbered_delta(from: u64) -> Delta {
    let name = format!("p{}", from % 3);
    let write = if from % 4 == 3 {
        ItemWrite::Delete(ItemKey::Priority(name.parse().unwrap()))
    } else {
        ItemWrite::Put(priority(&name, from as u8))
    };
    Delta {
        from_revision: Revision(from),
        to_revision: Revision(from + 1),
        change: ChangeId(u128::from(from)),
        author: "a".to_owned(),
        writes: vec![write],
    }
}

/// The configuration at each revision, with which the state of a daemon is compared.
fn history() -> Vec<Configuration> {
    let mut state = ConfigurationState::default();
    let mut all = vec![state.in_force().clone()];
    for from in 0..20 {
        state.apply_delta(numbered_delta(from));
        all.push(state.in_force().clone());
    }
    all
}

#[test]
fn any_order_of_deltas_and_snapshots_gives_a_valid_and_never_older_configuration() {
    let history = history();
    bolero::check!()
        .with_type::<Vec<(bool, u8)>>()
        .for_each(|arrivals| {
            let mut state = ConfigurationState::default();
            for (is_snapshot, number) in arrivals {
                let number = usize::from(*number) % 20;
                let before = state.revision();
                if *is_snapshot {
                    state.apply_snapshot(history[number].clone());
                } else {
                    state.apply_delta(numbered_delta(number as u64));
                }
                assert!(state.revision() >= before);
                assert_eq!(*state.in_force(), history[state.revision().0 as usize]);
                let mut peer = ConfigurationState::default();
                peer.apply_snapshot(history[number].clone());
                peer.apply_pull_answer(state.since(peer.revision()));
                assert!(peer.revision() >= state.revision());
            }
        });
}

#[test]
fn peers_without_the_revision_are_listed() {
    let mut state = ConfigurationState::default();
    state.record_peer_revision(MachineId(1), Revision(4));
    state.record_peer_revision(MachineId(1), Revision(3));
    state.record_peer_revision(MachineId(2), Revision(3));
    let live = [1, 2, 3].map(MachineId);
    let behind = state.not_yet_in_force(Revision(4), live);
    assert_eq!(behind, [2, 3].map(MachineId));
}
