//! Tests the speeds learned from prefill measurements.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::{PromptReading, SpeedTable};

/// Measurement of an engine that processes 60 tokens per millisecond, with 20 ms of messaging
/// overhead.
fn reading(tokens: f64, waited_ms: f64) -> PromptReading {
    PromptReading {
        tokens,
        took_ms: 20.0 + tokens / 60.0 + waited_ms,
    }
}

#[test]
fn speed_is_learned_separately_from_messaging_overhead() {
    let mut speed = SpeedTable::default();
    for number in 1..=20 {
        speed.prompt_read(reading(f64::from(number) * 700.0, 0.0));
    }
    let rate = speed.prefill_tokens_per_ms();
    assert!((55.0..65.0).contains(&rate), "{rate}");
}

#[test]
fn queueing_delays_barely_affect_the_learned_speed() {
    let mut speed = SpeedTable::default();
    for number in 1..=200_u32 {
        let queueing_ms = if number % 4 == 0 { 400.0 } else { 0.0 };
        speed.prompt_read(reading(f64::from(number % 23) * 700.0, queueing_ms));
    }
    let rate = speed.prefill_tokens_per_ms();
    assert!((40.0..80.0).contains(&rate), "{rate}");
}

#[test]
fn measurements_of_peers_are_used_but_not_republished() {
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
fn equal_prompt_lengths_yield_a_lower_bound_of_the_speed() {
    let mut speed = SpeedTable::default();
    let default_rate = speed.prefill_tokens_per_ms();
    for _ in 0..20 {
        speed.prompt_read(reading(4_000.0, 0.0));
        let rate = speed.prefill_tokens_per_ms();
        let lower_bound = 4_000.0 / reading(4_000.0, 0.0).took_ms;
        assert!(
            (rate - lower_bound).abs() < 1e-9,
            "{rate}, expected {lower_bound}"
        );
        assert!(default_rate < rate && rate < 60.0, "{default_rate}, {rate}");
    }
    let mut slow = SpeedTable::default();
    slow.prompt_read(reading(4_000.0, 900.0));
    let rate = slow.prefill_tokens_per_ms();
    assert!(
        (rate - default_rate).abs() < 1e-9,
        "a queued prompt does not lower the default: {rate}"
    );
}

/// An engine known to be slow gets no requests that could show its recovery, so it must be tried
/// again without them.
#[test]
fn learned_slowness_decays() {
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
        "a slow answer is learned again"
    );
}
