//! Tests what is learned of the speed of each back end.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::{BackEnd, Incarnation};
use ponddrift_fleet::placement::{Placement, PromptReading, PromptTime};
use ponddrift_fleet::profiles::{
    Busyness, PRESENT_LOAD_TTL, PresentLoad, Profiles, Sample, WorkKind,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::engines;

/// Gap of an engine of speed 1 without streams, in milliseconds.
const BASE_GAP_MS: f64 = 20.0;
/// Growth of the gap with each stream, in milliseconds.
const GAP_PER_STREAM_MS: f64 = 8.0;
/// Prompt tokens that an engine of speed 1 processes in a millisecond.
const TOKENS_PER_MS: f64 = 100.0;
/// Messaging overhead of each prompt, in milliseconds.
const OVERHEAD_MS: f64 = 3.0;
const SLOW_SPEED: f64 = 0.55;
const FAST_SPEED: f64 = 1.2;

/// One engine in four is slow.
fn speed_of(number: usize) -> f64 {
    if number.is_multiple_of(4) {
        SLOW_SPEED
    } else {
        FAST_SPEED
    }
}

/// Time of an engine relative to the geometric mean of all.
fn true_factor(number: usize) -> f64 {
    let mean_log = 0.25 * SLOW_SPEED.ln() + 0.75 * FAST_SPEED.ln();
    mean_log.exp() / speed_of(number)
}

/// Slows 15 in 100 times by a factor of 2.5, and varies all by up to a tenth.
fn noise(random: &mut Pcg64Mcg) -> f64 {
    let other_work = if random.random_bool(0.15) { 2.5 } else { 1.0 };
    other_work * random.random_range(0.9..1.1)
}

fn gap(number: usize, streams: f64, random: &mut Pcg64Mcg) -> Duration {
    let usual_ms = (BASE_GAP_MS + GAP_PER_STREAM_MS * streams) / speed_of(number);
    Duration::from_secs_f64(usual_ms * noise(random) / 1000.0)
}

fn with_profiles() -> Placement {
    let mut placement = Placement::new(Arc::from("a"));
    placement.profiles.set_enabled(true);
    placement
}

fn decode_sample(ratio: f64) -> Sample {
    Sample {
        kind: WorkKind::Decode,
        expected_ms: 40.0,
        took_ms: 40.0 * ratio,
    }
}

fn of_incarnation(back_end: &BackEnd, incarnation: u64) -> BackEnd {
    BackEnd {
        incarnation: Incarnation(incarnation),
        ..back_end.clone()
    }
}

/// Sends `per_engine` gaps of streams to each engine in turn, 40 a second, with 1 to 8 streams.
fn play_gaps(
    placement: &mut Placement,
    engines: &[Arc<BackEnd>],
    per_engine: usize,
    start: Instant,
    random: &mut Pcg64Mcg,
) -> Instant {
    let mut now = start;
    for _ in 0..per_engine {
        for (number, engine) in engines.iter().enumerate() {
            let streams = f64::from(random.random_range(1..=8_u8));
            let gap = gap(number, streams, random);
            placement.learn_gap(engine, streams, gap, now);
            now += Duration::from_millis(25);
        }
    }
    now
}

/// Replays 12 gaps at each of 40 engines, 40 gaps a second, a quarter of the engines at speed 0.55
/// and the others at 1.2, 15% of the gaps 2.5 times as long.
#[test]
fn slow_engines_are_told_from_fast_ones_by_a_few_gaps() {
    let engines = engines(0, 40);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut placement = with_profiles();
    let now = play_gaps(&mut placement, &engines, 12, Instant::now(), &mut random);
    for (number, engine) in engines.iter().enumerate() {
        let factor = placement.profiles.factor(engine, WorkKind::Decode, now);
        let error = factor / true_factor(number);
        assert!((0.7..1.4).contains(&error), "{number}: {factor}, {error}");
        assert_eq!(factor > 1.25, number % 4 == 0, "{number}: {factor}");
    }
    let known = placement
        .profiles
        .known(&engines[0], WorkKind::Decode, now)
        .expect("a profile");
    assert!(known.weight > 4.0 && known.weight <= 12.0, "{known:?}");
    assert!(known.age < Duration::from_secs(2), "{known:?}");
}

/// Replays 40 gaps at each of 20 engines of two speeds with 1 to 8 streams, 15% of the gaps 2.5 times
/// as long.
#[test]
fn the_gap_grows_with_the_streams_at_an_average_engine() {
    let engines = engines(0, 20);
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut placement = with_profiles();
    assert_eq!(placement.streams.gap_ms("models", 2.0), None);
    let now = play_gaps(&mut placement, &engines, 40, Instant::now(), &mut random);
    for number in [0, 1] {
        let factor = placement
            .profiles
            .factor(&engines[number], WorkKind::Decode, now);
        for streams in [1.0, 4.0, 8.0] {
            let line = placement.streams.gap_ms("models", streams).expect("gaps");
            // The mean gap contains the other work of the machines.
            let mean_noise = 0.85 + 0.15 * 2.5;
            let usual_ms = BASE_GAP_MS + GAP_PER_STREAM_MS * streams;
            let actual_ms = usual_ms * mean_noise / speed_of(number);
            let error = line * factor / actual_ms;
            assert!(
                (0.8..1.25).contains(&error),
                "{number}, {streams} streams: {line} ms, factor {factor}, {error}"
            );
        }
    }
}

/// Replays 15 prompts of 300 to 3,000 tokens at each of 20 engines of two speeds, a third of them
/// behind a prompt of 2,000 tokens that is there.
#[test]
fn slow_engines_are_told_by_their_prompts() {
    let engines = engines(0, 20);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut placement = with_profiles();
    let mut now = Instant::now();
    for _ in 0..15 {
        for (number, engine) in engines.iter().enumerate() {
            let tokens = random.random_range(300.0..3_000.0);
            let tokens_ahead = if random.random_bool(0.33) {
                2_000.0
            } else {
                0.0
            };
            let reading_ms = (tokens + tokens_ahead) / TOKENS_PER_MS / speed_of(number);
            let took_ms = OVERHEAD_MS + reading_ms * noise(&mut random);
            if tokens_ahead < 1.0 {
                let reading = PromptReading { tokens, took_ms };
                let at_average = placement.at_average_engine(engine, reading, now);
                placement.speed.prompt_read(at_average);
                placement.speed.record_decode_reading(at_average);
            }
            let time = PromptTime {
                tokens,
                tokens_ahead,
                took_ms,
            };
            placement.learn_prompt(engine, time, now);
            now += Duration::from_millis(20);
        }
    }
    for (number, engine) in engines.iter().enumerate() {
        let factor = placement.profiles.factor(engine, WorkKind::Prefill, now);
        assert_eq!(factor > 1.3, number % 4 == 0, "{number}: {factor}");
    }
}

/// Replays 30 answers of 20 ms at each of four back ends of 8 slots, one of which takes twice as
/// long, half of them with 12 requests there that fill the slots before.
#[test]
fn waiting_for_slots_is_not_taken_for_slowness() {
    let back_ends = engines(0, 4);
    let mut placement = with_profiles();
    let mut now = Instant::now();
    for round in 0..30_u32 {
        for (number, back_end) in back_ends.iter().enumerate() {
            let own_ms = if number == 3 { 40.0 } else { 20.0 };
            let slots = f64::from(back_end.slots);
            let (ahead, waits) = if round % 2 == 0 {
                (2.0 * slots, 2.0 + 1.0 / slots)
            } else {
                (1.0, 1.0)
            };
            placement.learn_plain_answer(back_end, ahead, own_ms * waits, now);
            now += Duration::from_millis(50);
        }
    }
    let factors: Vec<f64> = back_ends
        .iter()
        .map(|back_end| placement.profiles.factor(back_end, WorkKind::Plain, now))
        .collect();
    assert!(factors[3] > 1.4, "{factors:?}");
    assert!(
        factors[..3].iter().all(|factor| *factor < 1.0),
        "{factors:?}"
    );
    let average_ms = placement.profiles.plain_ms("models").expect("answers");
    assert!((18.0..30.0).contains(&average_ms), "{average_ms}");
    placement.profiles.keep_only(|id| id == "i-1");
    assert!(placement.profiles.plain_ms("models").is_some());
    placement.profiles.keep_only(|_id| false);
    assert_eq!(placement.profiles.plain_ms("models"), None);
}

/// Replays 20 samples at each of 8 engines that all take half of the expected time.
#[test]
fn an_unknown_back_end_has_the_average_of_its_service() {
    let engines = engines(0, 9);
    let mut profiles = Profiles::default();
    profiles.set_enabled(true);
    let now = Instant::now();
    for _ in 0..20 {
        for engine in &engines[..8] {
            profiles.record(engine, decode_sample(0.5), now);
        }
    }
    let unknown = &engines[8];
    assert_eq!(profiles.known(unknown, WorkKind::Decode, now), None);
    assert!((profiles.factor(unknown, WorkKind::Decode, now) - 1.0).abs() < 1e-9);
    let ratio = profiles.average_ratio("models", WorkKind::Decode);
    assert!((0.5..0.8).contains(&ratio), "the average is fast: {ratio}");
    // One sample moves an engine only in part from the average.
    profiles.record(unknown, decode_sample(2.0), now);
    let factor = profiles.factor(unknown, WorkKind::Decode, now);
    assert!((1.0..2.0).contains(&factor), "{factor}");
}

/// Replays 40 samples at twice the expected time before a restart, and none after it.
#[test]
fn a_new_incarnation_starts_without_a_profile() {
    let engines = engines(0, 6);
    let (old, new) = (
        of_incarnation(&engines[0], 5),
        of_incarnation(&engines[0], 6),
    );
    let mut profiles = Profiles::default();
    profiles.set_enabled(true);
    let now = Instant::now();
    for _ in 0..40 {
        profiles.record(&old, decode_sample(2.0), now);
    }
    assert!(profiles.factor(&old, WorkKind::Decode, now) > 1.6);
    assert_eq!(profiles.known(&new, WorkKind::Decode, now), None);
    profiles.record(&new, decode_sample(1.0), now);
    let factor = profiles.factor(&new, WorkKind::Decode, now);
    assert!((0.9..1.1).contains(&factor), "{factor}");
    for _ in 0..40 {
        profiles.record(&old, decode_sample(2.0), now);
    }
    let unchanged = profiles.factor(&new, WorkKind::Decode, now);
    assert!(
        (unchanged - factor).abs() < 1e-9,
        "a late answer of the old one"
    );
    assert_eq!(profiles.known(&old, WorkKind::Decode, now), None);
}

/// Replays 30 samples of decoding at a slow engine among five, and one prompt there.
#[test]
fn a_kind_of_work_with_few_samples_borrows_from_the_others() {
    let engines = engines(0, 5);
    let mut profiles = Profiles::default();
    profiles.set_enabled(true);
    let now = Instant::now();
    for _ in 0..30 {
        for (number, engine) in engines.iter().enumerate() {
            let ratio = if number == 0 { 2.0 } else { 0.9 };
            profiles.record(engine, decode_sample(ratio), now);
        }
    }
    let decode = profiles.factor(&engines[0], WorkKind::Decode, now);
    let prefill = profiles.factor(&engines[0], WorkKind::Prefill, now);
    assert!(1.2 < prefill && prefill < decode, "{prefill}, {decode}");
    let known = profiles
        .known(&engines[0], WorkKind::Prefill, now)
        .expect("borrowed");
    assert!(known.weight.abs() < 1e-9, "{known:?}");
    for _ in 0..60 {
        let sample = Sample {
            kind: WorkKind::Prefill,
            ..decode_sample(1.0)
        };
        profiles.record(&engines[0], sample, now);
    }
    let own = profiles.factor(&engines[0], WorkKind::Prefill, now);
    assert!((0.85..1.15).contains(&own), "own samples count more: {own}");
}

/// Replays 40 samples at a slow engine among six and then no request for a minute.
#[test]
fn what_is_known_fades_towards_the_average_with_age() {
    let engines = engines(0, 6);
    let mut profiles = Profiles::default();
    profiles.set_enabled(true);
    let now = Instant::now();
    for _ in 0..40 {
        for (number, engine) in engines.iter().enumerate() {
            let ratio = if number == 0 { 2.2 } else { 0.9 };
            profiles.record(engine, decode_sample(ratio), now);
        }
    }
    let factor_after = |seconds: u64| {
        let later = now + Duration::from_secs(seconds);
        profiles.factor(&engines[0], WorkKind::Decode, later)
    };
    let factors = [0, 4, 20, 60, 150].map(factor_after);
    assert!(
        factors[1] / factors[0] > 0.97,
        "outlasts a burst: {factors:?}"
    );
    assert!(
        factors.is_sorted_by(|left, right| left >= right),
        "{factors:?}"
    );
    assert!(factors[2] > 1.5, "{factors:?}");
    assert!((factors[4] - 1.0).abs() < 0.01, "forgotten: {factors:?}");
}

/// Replays 60 gaps at each of 16 engines, 15% of them 2.5 times as long, and as many without noise.
#[test]
fn the_busy_factor_covers_the_other_work_of_the_machines() {
    let engines = engines(0, 16);
    let service: Arc<str> = Arc::from("models");
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let mut shared = with_profiles();
    play_gaps(&mut shared, &engines, 60, Instant::now(), &mut random);
    let busy = shared.profiles.busy_factor(&service, WorkKind::Decode);
    assert!((1.8..3.0).contains(&busy), "{busy}");
    let mut undisturbed = with_profiles();
    for number in 0..60 {
        for (engine, index) in engines.iter().zip(0..) {
            let time = Instant::now() + Duration::from_millis(number * 100);
            let ms = BASE_GAP_MS / speed_of(index);
            undisturbed.learn_gap(engine, 1.0, Duration::from_secs_f64(ms / 1000.0), time);
        }
    }
    let steady = undisturbed.profiles.busy_factor(&service, WorkKind::Decode);
    assert!((1.0..1.3).contains(&steady), "{steady}");
}

#[test]
fn samples_without_meaning_are_ignored() {
    let engine = &engines(0, 1)[0];
    let mut profiles = Profiles::default();
    profiles.set_enabled(true);
    let now = Instant::now();
    for (expected_ms, took_ms) in [
        (0.0, 10.0),
        (-1.0, 10.0),
        (f64::NAN, 10.0),
        (10.0, f64::NAN),
        (10.0, -1.0),
        (10.0, f64::INFINITY),
    ] {
        let sample = Sample {
            kind: WorkKind::Decode,
            expected_ms,
            took_ms,
        };
        profiles.record(engine, sample, now);
        assert_eq!(profiles.known(engine, WorkKind::Decode, now), None);
    }
}

#[test]
fn nothing_is_learned_while_profiles_are_switched_off() {
    let engines = engines(0, 3);
    let mut placement = Placement::new(Arc::from("a"));
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let now = play_gaps(&mut placement, &engines, 20, Instant::now(), &mut random);
    placement.learn_plain_answer(&engines[0], 0.0, 20.0, now);
    assert_eq!(placement.streams.gap_ms("models", 1.0), None);
    assert_eq!(placement.profiles.plain_ms("models"), None);
    assert_eq!(
        placement.profiles.known(&engines[0], WorkKind::Decode, now),
        None
    );
    placement.profiles.set_enabled(true);
    let now = play_gaps(&mut placement, &engines, 20, now, &mut random);
    assert!(
        placement
            .profiles
            .factor(&engines[0], WorkKind::Decode, now)
            > 1.2
    );
    placement.profiles.set_enabled(false);
    let factor = placement
        .profiles
        .factor(&engines[0], WorkKind::Decode, now);
    assert!((factor - 1.0).abs() < 1e-9, "{factor}");
}

/// Replays a report that work takes 2.5 times as long at present, and a restart.
#[test]
fn the_reported_busyness_expires_within_a_second() {
    let engines = engines(0, 2);
    let busy = PresentLoad {
        running: 3,
        waiting: 0,
        slots: 16,
        busyness: Busyness::new(2.5),
    };
    let now = Instant::now();
    let mut profiles = Profiles::default();
    profiles.note_present_load(&engines[0], busy, now);
    assert_eq!(profiles.present_busyness(&engines[0], now), None, "off");
    profiles.set_enabled(true);
    profiles.note_present_load(&engines[0], busy, now);
    let present = profiles.present_busyness(&engines[0], now);
    assert_eq!(present.map(Busyness::ratio), Some(2.5));
    assert_eq!(profiles.present_busyness(&engines[1], now), None);
    let restarted = of_incarnation(&engines[0], 7);
    assert_eq!(profiles.present_busyness(&restarted, now), None);
    assert!(PRESENT_LOAD_TTL < Duration::from_secs(1));
    let later = now + PRESENT_LOAD_TTL;
    assert_eq!(profiles.present_busyness(&engines[0], later), None);
    for impossible in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e6] {
        assert_eq!(Busyness::new(impossible), None, "{impossible}");
    }
}
