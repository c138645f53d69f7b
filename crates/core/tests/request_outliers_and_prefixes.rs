//! Guards outlier detection and the approximate prefix cache index.

use std::time::Duration;

use bolero::check;
use ponddrift_core::routing::{
    Eligibility, OutlierDetector, OutlierGroup, OutlierSettings, PrefixChange, PrefixIndex,
    PrefixIndexSettings,
};
use ponddrift_core::{Incarnation, MachineId, Timestamp};

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn engines() -> OutlierGroup {
    OutlierGroup::Engines(None)
}

#[test]
fn the_ejected_share_is_bounded_within_each_pool() {
    let mut detector = OutlierDetector::new(OutlierSettings::default());
    (0..20).for_each(|id| detector.add(MachineId(id), engines()));
    let pool = OutlierGroup::Pool("records".parse().unwrap());
    (20..24).for_each(|id| detector.add(MachineId(id), pool.clone()));
    for id in 20..24 {
        for _ in 0..3 {
            detector.record_failure(NOW, MachineId(id));
        }
    }
    assert_eq!(
        detector.ejected_count(),
        1,
        "30% of the four back ends of the pool, rounded down"
    );
}

#[test]
fn ejection_times_grow_and_the_ejected_share_is_bounded() {
    let settings = OutlierSettings::default();
    let mut detector = OutlierDetector::new(settings);
    for id in 0..10 {
        detector.add(MachineId(id), engines());
    }
    let mut now = NOW;
    let mut last = Duration::ZERO;
    for round in 0..4 {
        let tries = if round == 0 { 3 } else { 1 };
        let mut until = None;
        for _ in 0..tries {
            detector.record_send(now, MachineId(0));
            until = detector.record_failure(now, MachineId(0));
        }
        let ejected_for = until.expect("ejected").since(now);
        assert!(ejected_for > last);
        last = ejected_for;
        now = now + ejected_for;
        assert_eq!(detector.eligibility(now, MachineId(0)), Eligibility::Probe);
    }
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut detector = OutlierDetector::new(settings);
        (0..10).for_each(|id| detector.add(MachineId(id), engines()));
        let mut now = NOW;
        for &(back_end, action, pause) in steps {
            let id = MachineId(u32::from(back_end % 10));
            now = now + Duration::from_millis(u64::from(pause) * 20);
            match action % 4 {
                0 => detector.record_send(now, id),
                1 => detector.record_success(id),
                2 => detector.record_neutral(id),
                _ => drop(detector.record_failure(now, id)),
            }
            assert!(detector.ejected_count() <= 3);
            if detector.eligibility(now, id) == Eligibility::Probe {
                detector.record_send(now, id);
                assert!(matches!(
                    detector.eligibility(now, id),
                    Eligibility::Ejected { .. }
                ));
            }
        }
    });
}

#[test]
fn gaps_and_new_incarnations_lower_the_trust_in_the_index() {
    let mut index = PrefixIndex::new(PrefixIndexSettings::default());
    let stored = PrefixChange::Stored(vec![1, 2, 3]);
    let id = MachineId(1);
    index.apply(id, Incarnation(1), 1, &stored);
    let whole = index.trust(id);
    assert_eq!(index.matched_tokens(id, &[1, 2, 9, 3]), 32);
    index.apply(id, Incarnation(1), 5, &stored);
    let after_gap = index.trust(id);
    assert!(after_gap < whole);
    index.apply(id, Incarnation(2), 1, &PrefixChange::Stored(vec![7]));
    assert_eq!(index.matched_tokens(id, &[1, 2, 3]), 0);
    index.apply(id, Incarnation(1), 6, &stored);
    assert_eq!(
        index.matched_tokens(id, &[1, 2, 3]),
        0,
        "a late event of an older incarnation is ignored"
    );
    index.observed_hit(id, 100, 0);
    assert!(index.trust(id) < after_gap);
}

#[test]
fn the_index_stays_bounded_under_any_events() {
    let settings = PrefixIndexSettings {
        max_blocks: 400,
        ..PrefixIndexSettings::default()
    };
    check!()
        .with_type::<Vec<(u8, u8, u16, Vec<u16>)>>()
        .for_each(|events| {
            let mut index = PrefixIndex::new(settings);
            for (engine, kind, sequence, blocks) in events {
                let id = MachineId(u32::from(engine % 4));
                let incarnation = Incarnation(u64::from(kind >> 6));
                let blocks: Vec<u64> = blocks.iter().map(|&block| u64::from(block)).collect();
                let change = match kind % 8 {
                    0 => PrefixChange::Cleared,
                    1 => PrefixChange::Removed(blocks.clone()),
                    _ => PrefixChange::Stored(blocks.clone()),
                };
                index.apply(id, incarnation, u64::from(*sequence), &change);
                index.observed_prompt(id, incarnation, &blocks);
                let trust = index.trust(id);
                assert!((0.0..=1.0).contains(&trust));
            }
            assert!(index.block_count() <= 400);
        });
}
