//! Guards the load table: newest digest wins, bounded gossip, aging and subscriptions.

use std::time::Duration;

use ponddrift_core::load::{AgedDigest, LoadDigest, LoadTable, LoadTableSettings};
use ponddrift_core::{EngineRole, Incarnation, MachineId, Timestamp};

fn digest(engine: u32, incarnation: u64, sequence: u32, age_ms: u16) -> AgedDigest {
    let digest = LoadDigest {
        engine: MachineId(engine),
        incarnation: Incarnation(incarnation),
        sequence,
        role: Some(EngineRole::Decode),
        waiting: 1,
        running: 2,
        waiting_prompt_blocks: 3,
        cache_used_permille: 4,
    };
    AgedDigest { digest, age_ms }
}

fn table(engines: u32) -> LoadTable {
    let mut table = LoadTable::new(LoadTableSettings::default());
    table.subscribe((0..engines).map(MachineId));
    table
}

#[test]
fn the_newest_digest_wins_by_incarnation_then_sequence_in_any_order() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|arrivals| {
            let mut table = table(1);
            let mut newest = None;
            for (incarnation, sequence) in arrivals {
                let order = (u64::from(*incarnation), u32::from(*sequence));
                let is_newer = table.take(Timestamp(5), digest(0, order.0, order.1, 0));
                assert_eq!(is_newer, newest.is_none_or(|newest| order > newest));
                newest = newest.max(Some(order));
                let known = table.get(Timestamp(5), MachineId(0)).unwrap().digest;
                assert_eq!(Some((known.incarnation.0, known.sequence)), newest);
            }
        });
}

#[test]
fn gossip_sends_the_newest_first_a_bounded_number_of_times_in_bounded_messages() {
    let mut table = table(100);
    let now = Timestamp::from_millis(10_000);
    for engine in 0..100 {
        table.take(now, digest(engine, 1, 1, engine as u16));
    }
    let first = table.take_for_gossip(now);
    let engines: Vec<_> = first.iter().map(|aged| aged.digest.engine.0).collect();
    assert_eq!(engines, (0..40).collect::<Vec<_>>());
    assert!(borsh::object_length(&first).unwrap() <= 40 * 28 + 4);
    let rest: usize = (0..100).map(|_| table.take_for_gossip(now).len()).sum();
    assert_eq!(first.len() + rest, 300);
}

#[test]
fn ages_add_up_over_hops_and_old_digests_are_neither_sent_nor_kept() {
    let mut first = table(1);
    let mut second = table(1);
    first.take(Timestamp::from_millis(1_000), digest(0, 1, 1, 200));
    let passed = first.take_for_gossip(Timestamp::from_millis(1_500));
    assert_eq!(passed[0].age_ms, 700);
    second.take(Timestamp::from_millis(90_000), passed[0]);
    let known = second.get(Timestamp::from_millis(90_300), MachineId(0));
    assert_eq!(known.unwrap().age, Duration::from_millis(1_000));
    assert_eq!(second.take_for_gossip(Timestamp::from_millis(95_000)), []);
    second.forget_old(Timestamp::from_millis(200_000));
    assert_eq!(
        second.get(Timestamp::from_millis(200_000), MachineId(0)),
        None
    );
}

#[test]
fn engines_of_other_cells_are_ignored() {
    let mut table = table(1);
    assert!(!table.take(Timestamp(1), digest(7, 1, 1, 0)));
}
