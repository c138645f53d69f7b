//! Tests the averages of stream times, confidence and arrival rates.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::placement::{Arrivals, Confidence, StreamTimes};

fn service() -> Arc<str> {
    Arc::from("models")
}

#[test]
fn the_longest_stream_duration_decays() {
    let (mut streams, now) = (StreamTimes::default(), Instant::now());
    assert_eq!(streams.longest("models", now), Duration::ZERO);
    streams.record_stream(&service(), Duration::from_secs(10), now);
    streams.record_stream(&service(), Duration::from_secs(1), now);
    let longest = streams.longest("models", now).as_secs_f64();
    assert!((longest - 10.0).abs() < 1e-6, "{longest}");
    let later = now + Duration::from_secs(20);
    let longest = streams.longest("models", later).as_secs_f64();
    assert!(
        (longest - 5.0).abs() < 1e-6,
        "halved after one half-life: {longest}"
    );
    streams.record_stream(&service(), Duration::from_secs(6), later);
    let longest = streams.longest("models", later).as_secs_f64();
    assert!((longest - 6.0).abs() < 1e-6, "{longest}");
}

#[test]
fn stream_times_are_averaged() {
    let (mut streams, now) = (StreamTimes::default(), Instant::now());
    assert!(streams.baseline_gap_ms("models") < 1e-9, "no samples yet");
    for _ in 0..200 {
        streams.record_stream(&service(), Duration::from_millis(80), now);
        streams.record_baseline_gap(&service(), Duration::from_millis(40));
    }
    assert!((streams.average_ms("models") - 80.0).abs() < 1.0);
    assert!((streams.baseline_gap_ms("models") - 40.0).abs() < 1.0);
}

#[test]
fn confidence_is_stable_at_one_late_request_per_twelve() {
    let mut confidence = Confidence::default();
    assert!((confidence.share("models") - 1.0).abs() < 1e-9);
    for _ in 0..100 {
        confidence.record_deadline_outcome(&service(), 1.0, false);
    }
    let lowest = confidence.share("models");
    assert!((0.4..0.6).contains(&lowest), "lower bound: {lowest}");
    for number in 0..1_300 {
        confidence.record_deadline_outcome(&service(), 2.0, number % 13 != 0);
    }
    let settled = confidence.share("models");
    assert!((settled - lowest).abs() < 0.05, "{lowest} to {settled}");
}

#[test]
fn only_estimates_near_the_limit_raise_confidence() {
    let mut confidence = Confidence::default();
    for _ in 0..1_000 {
        confidence.record_deadline_outcome(&service(), 0.1, true);
    }
    assert!((confidence.share("models") - 1.0).abs() < 1e-9);
    for _ in 0..10_000 {
        confidence.record_deadline_outcome(&service(), 5.0, true);
    }
    let highest = confidence.share("models");
    assert!((highest - 2.0).abs() < 1e-9, "upper bound: {highest}");
}

#[test]
fn arrival_rates_are_separate_by_stage() {
    let (mut arrivals, mut now) = (Arrivals::default(), Instant::now());
    for number in 0..2_000 {
        let stage = if number % 4 == 0 {
            Stage::Decode
        } else {
            Stage::Prefill
        };
        arrivals.add(&service(), stage, now);
        now += Duration::from_millis(10);
    }
    let prefill_rate = arrivals.per_ms("models", Stage::Prefill);
    let decode_rate = arrivals.per_ms("models", Stage::Decode);
    assert!((0.07..0.08).contains(&prefill_rate), "{prefill_rate}");
    assert!((0.02..0.03).contains(&decode_rate), "{decode_rate}");
    assert!(arrivals.per_ms("another", Stage::Decode) < 1e-9);
}
