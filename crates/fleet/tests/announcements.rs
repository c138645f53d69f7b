//! What back ends announce in their answers: leaving, rest, lives.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::announcements::{
    Announcement, Announcements, Availability, MAX_BACKOFF, RequestedBackoff,
};
use ponddrift_fleet::directory::{BackEnd, Incarnation, TOMBSTONE_RETENTION};
use support::engines;

const DRAINS: Announcement = Announcement {
    drains: true,
    backoff: RequestedBackoff::NotRequested,
};

fn backoff(seconds: u64) -> Announcement {
    Announcement {
        drains: false,
        backoff: RequestedBackoff::For(Duration::from_secs(seconds)),
    }
}

fn life(born: u64) -> BackEnd {
    BackEnd {
        incarnation: Incarnation(born),
        ..BackEnd::clone(&engines(0, 1)[0])
    }
}

fn after(seconds: u64, start: Instant) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn leaving_is_final_for_a_life_and_ends_with_it() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let news = announcements.note(&life(5), DRAINS, start);
    assert_eq!(news, Some(Availability::Draining));
    assert_eq!(
        announcements.note(&life(5), DRAINS, start),
        None,
        "said before"
    );
    announcements.note(&life(5), backoff(1), start);
    let later = after(3_600, start);
    assert_eq!(
        announcements.availability(&life(5), later),
        Availability::Draining
    );
    assert_eq!(
        announcements.availability(&life(6), later),
        Availability::Open
    );
    announcements.note(&life(6), backoff(1), later);
    assert_eq!(
        announcements.note(&life(5), DRAINS, later),
        None,
        "an older life"
    );
    let resting = announcements.availability(&life(6), later);
    assert_eq!(
        resting,
        Availability::BackingOff {
            until: after(1, later)
        }
    );
}

#[test]
fn of_several_rests_the_latest_end_holds() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let news = announcements.note(&life(0), backoff(5), start);
    let until = after(5, start);
    assert_eq!(news, Some(Availability::BackingOff { until }));
    assert_eq!(announcements.note(&life(0), backoff(1), start), None);
    let resting = announcements.availability(&life(0), after(4, start));
    assert_eq!(resting, Availability::BackingOff { until });
    assert_eq!(
        announcements.availability(&life(0), until),
        Availability::Open
    );
}

#[test]
fn the_order_of_answers_does_not_matter() {
    let start = Instant::now();
    let words = [(5, DRAINS), (6, backoff(2)), (6, backoff(9)), (4, DRAINS)];
    for first in 0..words.len() {
        for second in 0..words.len() {
            let mut announcements = Announcements::default();
            let mut order: Vec<usize> = (0..words.len()).collect();
            order.swap(first, second);
            for index in order {
                let (born, announcement) = words[index];
                announcements.note(&life(born), announcement, start);
            }
            let resting = announcements.availability(&life(6), start);
            assert_eq!(
                resting,
                Availability::BackingOff {
                    until: after(9, start)
                }
            );
        }
    }
}

#[test]
fn a_rest_beyond_all_measure_is_bounded() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let forever = Announcement {
        drains: false,
        backoff: RequestedBackoff::For(Duration::MAX),
    };
    announcements.note(&life(0), forever, start);
    let over = start + MAX_BACKOFF;
    assert_eq!(
        announcements.availability(&life(0), over),
        Availability::Open
    );
}

#[test]
fn what_is_no_time_says_nothing() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let unreadable = Announcement {
        drains: false,
        backoff: RequestedBackoff::Unreadable,
    };
    assert_eq!(announcements.note(&life(0), unreadable, start), None);
    assert_eq!(
        announcements.availability(&life(0), start),
        Availability::Open
    );
}

/// While the store is away entries lapse though their back ends are well, and come back as they were before.
#[test]
fn what_was_said_outlives_an_entry_that_lapsed() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    announcements.note(&life(0), DRAINS, start);
    announcements.forget_absent(|_id| false, after(1, start));
    assert_eq!(
        announcements.availability(&life(0), start),
        Availability::Draining
    );
    announcements.forget_absent(|_id| true, start + TOMBSTONE_RETENTION);
    assert_eq!(announcements.counts(start).draining, 1);
    announcements.forget_absent(|_id| false, start + TOMBSTONE_RETENTION);
    assert_eq!(announcements.counts(start).draining, 0);
}

#[test]
fn those_that_rest_and_leave_are_counted_apart() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    announcements.note(&life(0), backoff(2), start);
    let other = BackEnd {
        id: Arc::from("other"),
        ..life(0)
    };
    announcements.note(&other, DRAINS, start);
    let counts = announcements.counts(start);
    assert_eq!((counts.backing_off, counts.draining), (1, 1));
    assert_eq!(announcements.counts(after(2, start)).backing_off, 0);
}

/// Whatever answers come in whatever order, of however many lives: what holds for the latest life is the same, and said twice it
/// changes nothing.
#[test]
fn any_order_of_any_answers_leads_to_the_same() {
    let start = Instant::now();
    bolero::check!()
        .with_type::<Vec<(u8, bool, Option<u8>)>>()
        .for_each(|words| {
            let told = |words: &mut dyn Iterator<Item = &(u8, bool, Option<u8>)>| {
                let mut announcements = Announcements::default();
                for (born, drains, seconds) in words {
                    let backoff = seconds.map_or(RequestedBackoff::NotRequested, |seconds| {
                        RequestedBackoff::For(Duration::from_secs(u64::from(seconds)))
                    });
                    let announcement = Announcement {
                        drains: *drains,
                        backoff,
                    };
                    announcements.note(&life(u64::from(born % 4)), announcement, start);
                }
                announcements.availability(&life(3), start)
            };
            let in_order = told(&mut words.iter());
            assert_eq!(in_order, told(&mut words.iter().rev()));
            assert_eq!(in_order, told(&mut words.iter().chain(words)));
        });
}
