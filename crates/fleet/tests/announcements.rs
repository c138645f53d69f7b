//! Guards against sending requests to back ends whose answers announced that they drain or back
//! off, and against holding requests back from a later incarnation.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::announcements::{
    Announcement, Announcements, Availability, MAX_BACKOFF, RequestedBackoff,
};
use ponddrift_fleet::directory::{BackEnd, Incarnation, TOMBSTONE_RETENTION};
use support::engines;

const DRAINING: Announcement = Announcement {
    drains: true,
    backoff: RequestedBackoff::NotRequested,
};

fn backoff(seconds: u64) -> Announcement {
    Announcement {
        drains: false,
        backoff: RequestedBackoff::For(Duration::from_secs(seconds)),
    }
}

fn back_end(started_ms: u64) -> BackEnd {
    BackEnd {
        incarnation: Incarnation(started_ms),
        ..BackEnd::clone(&engines(0, 1)[0])
    }
}

fn after(seconds: u64, start: Instant) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn draining_is_final_within_an_incarnation_and_ends_with_it() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let change = announcements.note(&back_end(5), DRAINING, start);
    assert_eq!(change, Some(Availability::Draining));
    assert_eq!(
        announcements.note(&back_end(5), DRAINING, start),
        None,
        "already announced"
    );
    announcements.note(&back_end(5), backoff(1), start);
    let later = after(3_600, start);
    assert_eq!(
        announcements.availability(&back_end(5), later),
        Availability::Draining
    );
    assert_eq!(
        announcements.availability(&back_end(6), later),
        Availability::Open
    );
    announcements.note(&back_end(6), backoff(1), later);
    assert_eq!(
        announcements.note(&back_end(5), DRAINING, later),
        None,
        "an earlier incarnation"
    );
    let availability = announcements.availability(&back_end(6), later);
    assert_eq!(
        availability,
        Availability::BackingOff {
            until: after(1, later)
        }
    );
}

#[test]
fn the_latest_end_of_several_backoffs_applies() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let change = announcements.note(&back_end(0), backoff(5), start);
    let until = after(5, start);
    assert_eq!(change, Some(Availability::BackingOff { until }));
    assert_eq!(announcements.note(&back_end(0), backoff(1), start), None);
    let availability = announcements.availability(&back_end(0), after(4, start));
    assert_eq!(availability, Availability::BackingOff { until });
    assert_eq!(
        announcements.availability(&back_end(0), until),
        Availability::Open
    );
}

#[test]
fn the_order_of_answers_does_not_matter() {
    let start = Instant::now();
    let answers = [
        (5, DRAINING),
        (6, backoff(2)),
        (6, backoff(9)),
        (4, DRAINING),
    ];
    for first in 0..answers.len() {
        for second in 0..answers.len() {
            let mut announcements = Announcements::default();
            let mut order: Vec<usize> = (0..answers.len()).collect();
            order.swap(first, second);
            for index in order {
                let (started_ms, announcement) = answers[index];
                announcements.note(&back_end(started_ms), announcement, start);
            }
            let availability = announcements.availability(&back_end(6), start);
            assert_eq!(
                availability,
                Availability::BackingOff {
                    until: after(9, start)
                }
            );
        }
    }
}

#[test]
fn an_excessive_backoff_is_bounded() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let excessive = Announcement {
        drains: false,
        backoff: RequestedBackoff::For(Duration::MAX),
    };
    announcements.note(&back_end(0), excessive, start);
    let backoff_end = start + MAX_BACKOFF;
    assert_eq!(
        announcements.availability(&back_end(0), backoff_end),
        Availability::Open
    );
}

#[test]
fn an_unreadable_backoff_is_ignored() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let unreadable = Announcement {
        drains: false,
        backoff: RequestedBackoff::Unreadable,
    };
    assert_eq!(announcements.note(&back_end(0), unreadable, start), None);
    assert_eq!(
        announcements.availability(&back_end(0), start),
        Availability::Open
    );
}

/// While the store is unavailable, entries of healthy back ends expire and are later written again
/// unchanged.
#[test]
fn announcements_outlive_an_expired_entry() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    announcements.note(&back_end(0), DRAINING, start);
    announcements.forget_absent(|_id| false, after(1, start));
    assert_eq!(
        announcements.availability(&back_end(0), start),
        Availability::Draining
    );
    announcements.forget_absent(|_id| true, start + TOMBSTONE_RETENTION);
    assert_eq!(announcements.counts(start).draining, 1);
    announcements.forget_absent(|_id| false, start + TOMBSTONE_RETENTION);
    assert_eq!(announcements.counts(start).draining, 0);
}

#[test]
fn backing_off_and_draining_back_ends_are_counted_separately() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    announcements.note(&back_end(0), backoff(2), start);
    let other = BackEnd {
        id: Arc::from("other"),
        ..back_end(0)
    };
    announcements.note(&other, DRAINING, start);
    let counts = announcements.counts(start);
    assert_eq!((counts.backing_off, counts.draining), (1, 1));
    assert_eq!(announcements.counts(after(2, start)).backing_off, 0);
}

/// The state of the latest incarnation depends neither on the order nor on the repetition of
/// answers.
#[test]
fn availability_does_not_depend_on_the_order_or_repetition_of_answers() {
    let start = Instant::now();
    bolero::check!()
        .with_type::<Vec<(u8, bool, Option<u8>)>>()
        .for_each(|answers| {
            let final_availability = |answers: &mut dyn Iterator<
                Item = &(u8, bool, Option<u8>),
            >| {
                let mut announcements = Announcements::default();
                for (started_ms, drains, seconds) in answers {
                    let backoff = seconds.map_or(RequestedBackoff::NotRequested, |seconds| {
                        RequestedBackoff::For(Duration::from_secs(u64::from(seconds)))
                    });
                    let announcement = Announcement {
                        drains: *drains,
                        backoff,
                    };
                    announcements.note(&back_end(u64::from(started_ms % 4)), announcement, start);
                }
                announcements.availability(&back_end(3), start)
            };
            let in_order = final_availability(&mut answers.iter());
            assert_eq!(in_order, final_availability(&mut answers.iter().rev()));
            assert_eq!(
                in_order,
                final_availability(&mut answers.iter().chain(answers))
            );
        });
}
