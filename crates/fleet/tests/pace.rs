//! A stream whose back end is too slow for its deadline. The load: streams of 140 events with 15 s
//! each, back ends with gaps of 40, 70 and 110 ms. Guards against streams that are cut off at their
//! deadline although another back end would have completed them, and against needless moves.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::pace::{StreamLengths, StreamProgress};

const EVENTS: f64 = 140.0;
const DEADLINE: Duration = Duration::from_secs(15);

/// Event after which a stream with gaps of `gap_ms` is moved to a back end with gaps of
/// `gap_elsewhere_ms`; `None` if it is not.
fn moved_after(gap_ms: u64, gap_elsewhere_ms: u64) -> Option<u32> {
    (1..140_u32).find(|events| {
        let time_here = Duration::from_millis(gap_ms) * (events - 1);
        let progress = StreamProgress {
            expected_events: EVENTS,
            forwarded_events: u64::from(*events),
            events_here: *events,
            time_here,
            time_left: DEADLINE.saturating_sub(time_here),
        };
        progress.is_better_elsewhere(Duration::from_millis(gap_elsewhere_ms))
    })
}

#[test]
fn a_stream_that_cannot_end_in_time_is_moved_early_enough_to_end_elsewhere() {
    for elsewhere_ms in [40, 70] {
        let after = moved_after(110, elsewhere_ms).expect("moved");
        let time_here = u64::from(after) * 110;
        let time_elsewhere = u64::from(140 - after) * elsewhere_ms;
        assert!(time_here + time_elsewhere < 15_000, "{after} events");
    }
}

#[test]
fn a_stream_that_ends_in_time_stays() {
    assert_eq!(moved_after(70, 40), None);
    assert_eq!(moved_after(100, 40), None);
}

#[test]
fn a_stream_stays_if_the_other_back_end_is_hardly_faster() {
    assert_eq!(moved_after(110, 110), None);
    assert_eq!(moved_after(110, 90), None);
}

#[test]
fn a_pace_is_not_judged_by_a_few_events() {
    let progress = StreamProgress {
        expected_events: EVENTS,
        forwarded_events: 5,
        events_here: 5,
        time_here: Duration::from_secs(2),
        time_left: Duration::from_secs(13),
    };
    assert!(!progress.is_better_elsewhere(Duration::from_millis(40)));
}

#[test]
fn the_length_of_a_stream_is_unknown_until_enough_have_ended() {
    let service = Arc::from("s");
    let mut lengths = StreamLengths::default();
    for _ in 0..9 {
        lengths.record(&service, 100, 50);
    }
    assert_eq!(lengths.expected_events("s", 200), None);
    lengths.record(&service, 100, 50);
    lengths.record(&service, 0, 50);
    let expected = lengths.expected_events("s", 200).expect("known");
    assert!((expected - 100.0).abs() < 1e-9, "{expected}");
    assert_eq!(lengths.expected_events("other", 200), None);
}
