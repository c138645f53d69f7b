//! Records of where streams began, and the daemons that keep them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::stream_origins::{
    KnownOrigin, RENEWAL_INTERVAL, RecorderCandidate, StreamId, StreamOrigin, StreamOrigins,
    StreamRecord, recorders_in_order,
};
use ponddrift_fleet::versions::{RequiredVersion, SoftwareVersion};

const RETENTION: Duration = Duration::from_secs(6);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: Arc::from("models"),
        version: Arc::from(version),
    }
}

fn daemons(count: u64, zones: u64) -> Vec<RecorderCandidate<u64>> {
    (0..count)
        .map(|number| RecorderCandidate {
            daemon: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            zone: Arc::from((number % zones).to_string()),
            address: number,
        })
        .collect()
}

#[test]
fn a_record_is_kept_as_long_as_the_caller_may_come_back() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    let stream = StreamId::of(Some("a"), "1");
    origins.record(stream, origin("v1"), RETENTION, now);
    let known = KnownOrigin::Known(origin("v1"));
    assert_eq!(origins.find(stream, now + RETENTION / 2), known);
    assert_eq!(
        origins.find(stream, now + RETENTION),
        KnownOrigin::Unrecorded
    );
    origins.record(stream, origin("v1"), RETENTION, now + RETENTION / 2);
    assert_eq!(origins.find(stream, now + RETENTION), known);
}

#[test]
fn streams_that_are_served_are_renewed_until_they_end() {
    let start = Instant::now();
    let mut origins = StreamOrigins::default();
    let (long, short) = (StreamId::of(None, "1"), StreamId::of(None, "2"));
    let of_other_daemon = StreamId::of(None, "3");
    origins.record_served(long, origin("v1"), RETENTION, start);
    origins.record_served(short, origin("v1"), RETENTION, start);
    origins.record(of_other_daemon, origin("v1"), RETENTION, start);
    origins.finish(short);
    let before = start + RENEWAL_INTERVAL / 2;
    assert!(origins.take_due_renewals(before).is_empty());
    let due = origins.take_due_renewals(start + RENEWAL_INTERVAL);
    let expected = StreamRecord {
        stream: long,
        origin: origin("v1"),
        retention: RETENTION - RENEWAL_INTERVAL,
    };
    assert_eq!(due, [expected]);
    assert_eq!(origins.all(start + RENEWAL_INTERVAL).len(), 3);
    let next = origins.next_renewal();
    assert_eq!(next, Some(start + RENEWAL_INTERVAL * 2));
    assert!(origins.take_due_renewals(start + RETENTION).is_empty());
    assert_eq!(origins.next_renewal(), None);
    assert!(origins.is_empty());
}

#[test]
fn contradictory_records_name_no_version() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    let stream = StreamId::of(None, "1");
    origins.record(stream, origin("v1"), RETENTION, now);
    origins.record(stream, origin("v2"), RETENTION, now);
    origins.record(stream, origin("v2"), RETENTION, now);
    assert_eq!(origins.find(stream, now), KnownOrigin::Contradictory);
}

#[test]
fn streams_of_other_tenants_are_others() {
    assert_ne!(StreamId::of(Some("a"), "1"), StreamId::of(Some("b"), "1"));
    assert_ne!(StreamId::of(None, "a1"), StreamId::of(Some("a"), "1"));
}

#[test]
fn the_number_of_records_is_bounded() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for number in 0..40_000 {
        let stream = StreamId::of(None, &number.to_string());
        origins.record(stream, origin("v1"), RETENTION, now);
    }
    assert!(origins.len() <= 16_384, "{}", origins.len());
}

/// The daemon of the first event leaves itself out, and the one that asks leaves itself out; both
/// may know other daemons.
#[test]
fn the_first_recorders_are_among_those_that_are_asked() {
    for (count, zones) in [(3, 3), (9, 3), (95, 5), (986, 7)] {
        let mut missed = 0;
        for number in 0..200_u64 {
            let stream = StreamId::of(None, &number.to_string());
            let origin_daemon = number % count;
            let asker = (number + 1) % count;
            let without = |daemon: u64| {
                let mut others = daemons(count, zones);
                others.retain(|other| other.address != daemon);
                recorders_in_order(stream, others)
            };
            let recorders: HashSet<u64> = without(origin_daemon)
                .into_iter()
                .take(3)
                .map(|recorder| recorder.address)
                .collect();
            let asked = without(asker);
            let mut asked = asked.into_iter().take(6).map(|daemon| daemon.address);
            let is_found =
                recorders.contains(&asker) || asked.any(|daemon| recorders.contains(&daemon));
            missed += u32::from(!is_found);
        }
        assert_eq!(missed, 0, "{count} daemons");
    }
}

#[test]
fn recorders_are_of_different_zones() {
    for number in 0..100 {
        let stream = StreamId::of(None, &number.to_string());
        let recorders = recorders_in_order(stream, daemons(95, 5));
        let zones: HashSet<Arc<str>> = recorders
            .into_iter()
            .take(3)
            .map(|recorder| recorder.zone)
            .collect();
        assert_eq!(zones.len(), 3);
    }
}

#[test]
fn a_version_that_is_not_stated_fits_no_stream_that_has_begun() {
    let stated = SoftwareVersion::Stated(Arc::from("v1"));
    let unstated = SoftwareVersion::Unstated;
    assert!(RequiredVersion::Any.admits(&unstated));
    assert!(RequiredVersion::of_stream_begun_at(&stated).admits(&stated));
    assert!(!RequiredVersion::of_stream_begun_at(&stated).admits(&unstated));
    assert!(!RequiredVersion::of_stream_begun_at(&unstated).admits(&unstated));
    assert!(!RequiredVersion::Unknown.admits(&stated));
}
