//! Rates that are learned from readings.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::{PromptReading, SpeedTable};

/// What an engine takes that reads 60 tokens in a millisecond, after 20 ms of messages.
fn reading(tokens: f64, waited_ms: f64) -> PromptReading {
    PromptReading {
        tokens,
        took_ms: 20.0 + tokens / 60.0 + waited_ms,
    }
}

#[test]
fn the_pace_is_learned_apart_from_what_messages_take() {
    let mut speed = SpeedTable::default();
    for number in 1..=20 {
        speed.prompt_read(reading(f64::from(number) * 700.0, 0.0));
    }
    let rate = speed.prefill_tokens_per_ms();
    assert!((55.0..65.0).contains(&rate), "{rate}");
}

#[test]
fn readings_that_waited_behind_others_change_the_pace_little() {
    let mut speed = SpeedTable::default();
    for number in 1..=200_u32 {
        let waited = if number % 4 == 0 { 400.0 } else { 0.0 };
        speed.prompt_read(reading(f64::from(number % 23) * 700.0, waited));
    }
    let rate = speed.prefill_tokens_per_ms();
    assert!((40.0..80.0).contains(&rate), "{rate}");
}

#[test]
fn readings_of_peers_count_and_are_not_told_again() {
    let mut speed = SpeedTable::default();
    for number in 1..=20 {
        speed.receive(reading(f64::from(number) * 700.0, 0.0));
    }
    assert!(speed.prefill_tokens_per_ms() > 50.0);
    assert!(speed.take_unpublished().is_empty());
    speed.prompt_read(reading(5_000.0, 0.0));
    assert_eq!(speed.take_unpublished().len(), 1);
    assert!(speed.take_unpublished().is_empty());
}

#[test]
fn readings_of_like_prompts_tell_the_least_pace_and_never_more_than_the_true_one() {
    let mut speed = SpeedTable::default();
    let guess = speed.prefill_tokens_per_ms();
    for _ in 0..20 {
        speed.prompt_read(reading(4_000.0, 0.0));
        let rate = speed.prefill_tokens_per_ms();
        let shown = 4_000.0 / reading(4_000.0, 0.0).took_ms;
        assert!((rate - shown).abs() < 1e-9, "{rate} for {shown}");
        assert!(guess < rate && rate < 60.0, "{guess} to {rate}");
    }
    let mut slow = SpeedTable::default();
    slow.prompt_read(reading(4_000.0, 900.0));
    let rate = slow.prefill_tokens_per_ms();
    assert!(
        (rate - guess).abs() < 1e-9,
        "one that waited tells nothing: {rate}"
    );
}

/// Nothing is sent to an engine that is known to be slow, so no answer tells when it is well again.
#[test]
fn an_engine_that_was_slow_is_tried_again_after_a_while() {
    let mut speed = SpeedTable::default();
    let engine: Arc<str> = Arc::from("i-1");
    let mut now = Instant::now();
    for _ in 0..20 {
        speed.record_engine_answer(&engine, 100.0, 500.0, now);
        now += Duration::from_millis(50);
    }
    assert!(speed.slowness(&engine, now) > 3.0);
    now += Duration::from_secs(20);
    assert!(speed.slowness(&engine, now) < 1.3);
    speed.record_engine_answer(&engine, 100.0, 500.0, now);
    assert!(
        speed.slowness(&engine, now) > 1.3,
        "still slow: it loses its share again"
    );
}
