//! Tests how daemons merge what their samples show of the speed of back ends.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::{BackEnd, Incarnation};
use ponddrift_fleet::profiles::{
    MAX_BACK_ENDS, MAX_OBSERVERS, MAX_ROW_LOG_RATIO, MAX_ROW_WEIGHT, MAX_ROWS, OwnRow, ProfileRow,
    Profiles, RowMerge, Sample, WorkKind,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::engines;

fn enabled() -> Profiles {
    let mut profiles = Profiles::default();
    profiles.set_enabled(true);
    profiles
}

fn row(origin: u64, sequence: u32, log_ratio: f64) -> ProfileRow {
    ProfileRow {
        origin,
        sequence,
        kind: WorkKind::Decode,
        weight: 4.0,
        log_ratio,
        age: Duration::ZERO,
    }
}

fn published(own: &OwnRow, origin: u64, sequence: u32) -> ProfileRow {
    ProfileRow {
        origin,
        sequence,
        kind: own.kind,
        weight: own.weight,
        log_ratio: own.log_ratio,
        age: own.age,
    }
}

/// Factors of all engines for decoding and prefill.
fn factors(profiles: &Profiles, engines: &[Arc<BackEnd>], now: Instant) -> Vec<f64> {
    let kinds = [WorkKind::Decode, WorkKind::Prefill];
    let all = engines
        .iter()
        .flat_map(|engine| kinds.map(|kind| profiles.factor(engine, kind, now)));
    all.collect()
}

fn assert_equal(left: &[f64], right: &[f64], context: &str) {
    for (left, right) in left.iter().zip(right) {
        assert!((left - right).abs() < 1e-9, "{context}: {left}, {right}");
    }
}

/// Computes the averages from the final state, as a running daemon does each second.
fn settle(profiles: &mut Profiles, engine: &BackEnd, now: Instant) -> Instant {
    let later = now + Duration::from_secs(1);
    profiles.merge(engine, &row(0, u32::MAX, 0.0), later);
    later
}

/// Replays any reports of up to 40 daemons about 4 engines in order, in reverse and twice.
#[test]
fn the_order_and_repetition_of_rows_does_not_matter() {
    let engines = engines(0, 4);
    let now = Instant::now();
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, u8, i8)>>()
        .for_each(|reports| {
            let rows: Vec<(usize, ProfileRow)> = reports
                .iter()
                .map(|(origin, sequence, engine, weight, log_ratio)| {
                    // One daemon publishes one value under one number.
                    let kind = if weight % 2 == 0 {
                        WorkKind::Decode
                    } else {
                        WorkKind::Prefill
                    };
                    let value = row(u64::from(origin % 40) + 1, u32::from(*sequence), 0.0);
                    let engine = usize::from(engine % 4);
                    let row = ProfileRow {
                        kind,
                        weight: f64::from(weight % 64) + 1.0,
                        log_ratio: f64::from(*log_ratio) / 64.0,
                        ..value
                    };
                    (engine, row)
                })
                .collect();
            let mut seen = BTreeSet::new();
            let mut rows = rows;
            rows.retain(|(engine, row)| seen.insert((*engine, row.kind, row.origin, row.sequence)));
            let state = |order: &mut dyn Iterator<Item = &(usize, ProfileRow)>| {
                let mut profiles = enabled();
                for (engine, row) in order {
                    profiles.merge(&engines[*engine], row, now);
                }
                let later = settle(&mut profiles, &engines[0], now);
                factors(&profiles, &engines, later)
            };
            let in_order = state(&mut rows.iter());
            assert_equal(&in_order, &state(&mut rows.iter().rev()), "reversed");
            assert_equal(&in_order, &state(&mut rows.iter().chain(&rows)), "twice");
        });
}

/// Replays 20 reports of each of 6 daemons, of which two in three are lost, but not the last ones.
#[test]
fn lost_reports_are_made_up_for_by_later_ones() {
    let engines = engines(0, 3);
    let now = Instant::now();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let (mut complete, mut partial) = (enabled(), enabled());
    for sequence in 1..=20 {
        for origin in 1..=6 {
            for engine in &engines {
                let row = row(origin, sequence, random.random_range(-1.0..1.0));
                complete.merge(engine, &row, now);
                if sequence == 20 || random.random_bool(0.33) {
                    partial.merge(engine, &row, now);
                }
            }
        }
    }
    let later = settle(&mut complete, &engines[0], now);
    settle(&mut partial, &engines[0], now);
    assert_equal(
        &factors(&complete, &engines, later),
        &factors(&partial, &engines, later),
        "after losses",
    );
}

/// Replays 16 daemons, each with 3 gaps at each of 24 engines, a quarter of which takes 2.2 times as
/// long; 15 in 100 gaps take 2.5 times as long. Each daemon hears two others a second.
#[test]
fn a_daemon_that_starts_learns_from_two_reports_a_second() {
    let engines = engines(0, 24);
    let mut now = Instant::now();
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut daemons: Vec<Profiles> = (0..16).map(|_| enabled()).collect();
    for _ in 0..3 {
        for profiles in &mut daemons {
            for (number, engine) in engines.iter().enumerate() {
                let usual = if number.is_multiple_of(4) { 1.8 } else { 0.82 };
                let noise = if random.random_bool(0.15) { 2.5 } else { 1.0 };
                let sample = Sample {
                    kind: WorkKind::Decode,
                    expected_ms: 40.0,
                    took_ms: 40.0 * usual * noise * random.random_range(0.9..1.1),
                };
                profiles.record(engine, sample, now);
            }
        }
        now += Duration::from_millis(300);
    }
    let mut started = enabled();
    for (origin, daemon) in (1..).zip(daemons.iter_mut().take(4)) {
        for own in daemon.take_own_rows(48, now) {
            let engine = engines
                .iter()
                .find(|engine| engine.id == own.id)
                .expect("an engine of the fleet");
            let merged = started.merge(engine, &published(&own, origin, 1), now);
            assert_eq!(merged, RowMerge::Merged);
        }
        now += Duration::from_millis(500);
    }
    for (number, engine) in engines.iter().enumerate() {
        let factor = started.factor(engine, WorkKind::Decode, now);
        assert_eq!(
            factor > 1.25,
            number.is_multiple_of(4),
            "{number}: {factor}"
        );
    }
}

/// Replays own samples of two engines at a daemon whose times are all half as long again as those of
/// five others.
#[test]
fn the_bias_of_a_daemon_is_learned_from_the_others() {
    let engines = engines(0, 10);
    let now = Instant::now();
    let mut biased = enabled();
    for origin in 1..=5 {
        for engine in &engines {
            biased.merge(engine, &row(origin, 1, 0.0), now);
        }
    }
    for _ in 0..400 {
        for engine in &engines[..2] {
            let sample = Sample {
                kind: WorkKind::Decode,
                expected_ms: 40.0,
                took_ms: 60.0,
            };
            biased.record(engine, sample, now);
        }
    }
    let factor = biased.factor(&engines[0], WorkKind::Decode, now);
    assert!((0.85..1.15).contains(&factor), "{factor}");
}

#[test]
fn values_that_cannot_be_are_refused() {
    let engine = &engines(0, 1)[0];
    let now = Instant::now();
    let mut profiles = enabled();
    let valid = row(1, 1, 0.1);
    let hour = Duration::from_secs(3_600);
    for invalid in [
        ProfileRow {
            weight: 0.0,
            ..valid
        },
        ProfileRow {
            weight: -1.0,
            ..valid
        },
        ProfileRow {
            weight: f64::NAN,
            ..valid
        },
        ProfileRow {
            weight: MAX_ROW_WEIGHT * 1.01,
            ..valid
        },
        ProfileRow {
            log_ratio: f64::NAN,
            ..valid
        },
        ProfileRow {
            log_ratio: f64::INFINITY,
            ..valid
        },
        ProfileRow {
            log_ratio: -1.01 * MAX_ROW_LOG_RATIO,
            ..valid
        },
        ProfileRow { age: hour, ..valid },
    ] {
        let merged = profiles.merge(engine, &invalid, now);
        assert_eq!(merged, RowMerge::OutOfRange, "{invalid:?}");
    }
    assert_eq!(profiles.known(engine, WorkKind::Decode, now), None);
    assert_eq!(profiles.merge(engine, &valid, now), RowMerge::Merged);
    assert_eq!(profiles.merge(engine, &valid, now), RowMerge::NotNeeded);
    let mut off = Profiles::default();
    assert_eq!(off.merge(engine, &valid, now), RowMerge::NotNeeded);
    assert_eq!(off.known(engine, WorkKind::Decode, now), None);
}

#[test]
fn rows_of_an_earlier_incarnation_are_dropped() {
    let newer = BackEnd {
        incarnation: Incarnation(9),
        ..BackEnd::clone(&engines(0, 1)[0])
    };
    let older = BackEnd {
        incarnation: Incarnation(8),
        ..newer.clone()
    };
    let now = Instant::now();
    let mut profiles = enabled();
    assert_eq!(
        profiles.merge(&older, &row(1, 1, 1.0), now),
        RowMerge::Merged
    );
    assert_eq!(
        profiles.merge(&newer, &row(2, 1, 0.2), now),
        RowMerge::Merged
    );
    let merged = profiles.merge(&older, &row(3, 1, 1.0), now);
    assert_eq!(merged, RowMerge::OtherIncarnation);
    let factor = profiles.factor(&newer, WorkKind::Decode, now);
    assert!((1.0..1.3).contains(&factor), "{factor}");
}

/// Replays reports of 200 daemons about one engine and reports about 17,000 back ends.
#[test]
fn observers_and_back_ends_are_bounded() {
    let engine = &engines(0, 1)[0];
    let now = Instant::now();
    let mut profiles = enabled();
    let merged = (1..=200)
        .filter(|origin| profiles.merge(engine, &row(*origin, 1, 0.5), now) == RowMerge::Merged)
        .count();
    assert_eq!(merged, MAX_OBSERVERS);
    let known = profiles
        .known(engine, WorkKind::Decode, now)
        .expect("a profile");
    let most = 4.0 * f64::from(u32::try_from(MAX_OBSERVERS).expect("a small number"));
    assert!(known.weight <= most + 1e-9, "{known:?}");
    for number in 0..MAX_BACK_ENDS + 500 {
        let other = BackEnd {
            id: Arc::from(format!("other-{number}")),
            ..BackEnd::clone(engine)
        };
        profiles.merge(&other, &row(1, 1, 0.0), now);
    }
    assert_eq!(profiles.summary(now).back_ends, MAX_BACK_ENDS);
    let one_more = BackEnd {
        id: Arc::from("one-more"),
        ..BackEnd::clone(engine)
    };
    let merged = profiles.merge(&one_more, &row(1, 1, 0.0), now);
    assert_eq!(merged, RowMerge::UnknownBackEnd);
    profiles.keep_only(|id| id == "i-1");
    assert_eq!(profiles.summary(now).back_ends, 1);
}

/// Replays a faulty peer that sends rows of 24 origins about 2,000 back ends.
#[test]
fn rows_are_bounded_in_total() {
    let engine = &engines(0, 1)[0];
    let now = Instant::now();
    let mut profiles = enabled();
    let mut merged = 0;
    for number in 0..2_000 {
        let other = BackEnd {
            id: Arc::from(format!("other-{number}")),
            ..BackEnd::clone(engine)
        };
        for origin in 1..=24 {
            let result = profiles.merge(&other, &row(origin, 1, 0.0), now);
            merged += usize::from(result == RowMerge::Merged);
        }
    }
    assert_eq!(merged, MAX_ROWS);
    let later = now + Duration::from_secs(60);
    profiles.expire(later);
    let result = profiles.merge(engine, &row(1, 2, 0.0), later);
    assert_eq!(result, RowMerge::Merged, "there is room again");
}

/// Replays a daemon that was replaced: its rows end, those of others go on.
#[test]
fn rows_of_daemons_that_are_gone_expire() {
    let engine = &engines(0, 1)[0];
    let now = Instant::now();
    let mut profiles = enabled();
    for origin in 1..=30 {
        profiles.merge(engine, &row(origin, 1, 0.5), now);
    }
    let later = now + Duration::from_secs(120);
    profiles.expire(later);
    assert_eq!(profiles.known(engine, WorkKind::Decode, later), None);
    let merged = profiles.merge(engine, &row(30, 2, 0.5), later);
    assert_eq!(merged, RowMerge::Merged, "there is room again");
}

/// Replays a daemon with samples of 100 back ends, most of them of the first ten, that publishes 20
/// rows a round.
#[test]
fn the_most_informative_rows_are_published_first_and_all_in_turn() {
    let engines = engines(0, 100);
    let now = Instant::now();
    let mut profiles = enabled();
    for (number, engine) in engines.iter().enumerate() {
        let samples = if number < 10 { 30 } else { 2 };
        for _ in 0..samples {
            let sample = Sample {
                kind: WorkKind::Decode,
                expected_ms: 40.0,
                took_ms: 40.0,
            };
            profiles.record(engine, sample, now);
        }
    }
    let first = profiles.take_own_rows(20, now);
    assert_eq!(first.len(), 20);
    let informative = first.iter().filter(|row| row.weight > 10.0).count();
    assert_eq!(informative, 10);
    let mut told: BTreeSet<Arc<str>> = first.into_iter().map(|row| row.id).collect();
    for _ in 0..19 {
        let rows = profiles.take_own_rows(20, now);
        assert_eq!(rows.len(), 20);
        told.extend(rows.into_iter().map(|row| row.id));
    }
    assert_eq!(told.len(), 100, "all within 20 rounds");
}

/// Replays samples at twenty times the expected time at one engine, and a pause of up to 200 s: each
/// row that is published must be valid where it arrives.
#[test]
fn every_published_row_is_valid_at_any_age() {
    let engines = engines(0, 2);
    let now = Instant::now();
    let mut profiles = enabled();
    // Others that find the engine fast give this daemon a bias, which adds to its ratios.
    for origin in 1..=5 {
        let fast = ProfileRow {
            weight: MAX_ROW_WEIGHT,
            ..row(origin, 1, MAX_ROW_LOG_RATIO)
        };
        profiles.merge(&engines[1], &fast, now);
    }
    for _ in 0..300 {
        for (engine, took_ms) in engines.iter().zip([800.0, 4.0]) {
            let sample = Sample {
                kind: WorkKind::Decode,
                expected_ms: 40.0,
                took_ms,
            };
            profiles.record(engine, sample, now);
        }
    }
    assert!(!profiles.take_own_rows(48, now).is_empty());
    for seconds in 0..200 {
        let later = now + Duration::from_secs(seconds);
        for own in profiles.take_own_rows(48, later) {
            let received = published(&own, 9, 1);
            assert!(received.is_valid(), "after {seconds} s: {received:?}");
        }
    }
}

/// Replays 20 samples at six engines, one of which takes three times as long.
#[test]
fn a_changed_factor_is_reported_once() {
    let engines = engines(0, 6);
    let now = Instant::now();
    let mut profiles = enabled();
    let play = |profiles: &mut Profiles, slow_ratio: f64| {
        for _ in 0..40 {
            for (number, engine) in engines.iter().enumerate() {
                let ratio = if number == 2 { slow_ratio } else { 0.9 };
                let sample = Sample {
                    kind: WorkKind::Decode,
                    expected_ms: 40.0,
                    took_ms: 40.0 * ratio,
                };
                profiles.record(engine, sample, now);
            }
        }
    };
    play(&mut profiles, 3.0);
    let changes = profiles.take_belief_changes(8, now);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].id, engines[2].id);
    assert!(changes[0].factor > 1.5 && (changes[0].before - 1.0).abs() < 1e-9);
    assert_eq!(profiles.take_belief_changes(8, now), []);
    play(&mut profiles, 0.9);
    play(&mut profiles, 0.9);
    let back = profiles.take_belief_changes(8, now);
    assert_eq!(back.len(), 1, "{back:?}");
    assert!(back[0].factor < back[0].before);
}
