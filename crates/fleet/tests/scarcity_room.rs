//! Tests who goes first when a plain service has too little room.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::scarcity::room::{Claim, KnownLoad, NoRoom, Rooms};

const RUN_MS: f64 = 60.0;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn service() -> Arc<str> {
    Arc::from("s")
}

/// A service whose runs take 60 ms and at which requests of these priorities compete.
fn rooms(priorities: &[u8], now: Instant) -> Rooms {
    let mut rooms = Rooms::default();
    for _answer in 0..10 {
        rooms.record_answer(&service(), RUN_MS, 0.0, 6);
    }
    for priority in priorities {
        rooms.note_arrival(&service(), *priority, now);
    }
    rooms
}

const fn load(requests: f64) -> KnownLoad {
    KnownLoad {
        slots: 36.0,
        requests,
        returning: 0.0,
        all_full_for: None,
    }
}

const fn claim(priority: u8) -> Claim {
    Claim {
        priority,
        yields: false,
        returned: false,
        is_early: false,
        target_left: Duration::from_millis(300),
        time_left: Duration::from_millis(2_000),
    }
}

/// Most requests at the back ends with which a request of this claim still has room.
fn most_ahead(rooms: &Rooms, claim: &Claim) -> u32 {
    let has_room = |ahead: &u32| {
        let verdict = rooms.decide("s", load(f64::from(*ahead)), claim);
        verdict.refusal.is_none()
    };
    (0..1_000).take_while(has_room).last().expect("room at all")
}

#[test]
fn room_goes_by_priority_then_by_tenant_then_to_new_callers() {
    // Load: a backlog that grows by one request at a time, at which two priorities compete.
    let now = Instant::now();
    let rooms = rooms(&[0, 2], now);
    let beyond_share = |priority| Claim {
        yields: true,
        ..claim(priority)
    };
    let ranks = [claim(0), beyond_share(0), claim(2), beyond_share(2)];
    let limits: Vec<u32> = ranks
        .iter()
        .map(|claim| most_ahead(&rooms, claim))
        .collect();
    assert!(
        limits.is_sorted_by(|left, right| left > right),
        "{limits:?}"
    );
    // 240 ms of waiting are 4 runs of 36 requests: whoever is sent is in time.
    assert!(limits[0] <= 36 * 5, "{limits:?}");
    let early = Claim {
        is_early: true,
        ..claim(0)
    };
    assert!(most_ahead(&rooms, &early) < limits[0]);
    let returned = Claim {
        returned: true,
        ..claim(2)
    };
    assert!(most_ahead(&rooms, &returned) > limits[2]);
}

#[test]
fn a_priority_that_does_not_compete_takes_nothing() {
    // Load: requests of one priority alone, and of another that stopped six seconds ago.
    let now = Instant::now();
    let alone = rooms(&[2], now);
    let mut after = rooms(&[0], now);
    after.note_arrival(&service(), 2, now + ms(6_000));
    assert_eq!(most_ahead(&alone, &claim(2)), most_ahead(&after, &claim(2)));
    assert_eq!(
        most_ahead(&alone, &claim(2)),
        most_ahead(&rooms(&[0, 2], now), &claim(0))
    );
}

#[test]
fn the_refusal_says_when_there_is_room_and_whether_that_is_too_late() {
    // Load: a backlog of 10 runs, for callers with two seconds, 700 ms and 500 ms left.
    let now = Instant::now();
    let rooms = rooms(&[2], now);
    let backlog = load(36.0 * 11.0);
    let verdict = rooms.decide("s", backlog, &claim(2));
    assert_eq!(verdict.refusal, Some(NoRoom::Late));
    // 601.7 ms of waiting, of which 240 leave the run in its target.
    assert_eq!(verdict.room_in.as_millis(), 361);
    assert!(!verdict.can_be_in_time(&claim(2)));
    let no_time_to_return = Claim {
        time_left: ms(400),
        ..claim(2)
    };
    let verdict = rooms.decide("s", backlog, &no_time_to_return);
    assert_eq!(verdict.refusal, Some(NoRoom::Hopeless), "it would not end");
    let returned = Claim {
        returned: true,
        time_left: ms(700),
        ..claim(2)
    };
    let verdict = rooms.decide("s", backlog, &returned);
    assert_eq!(verdict.refusal, None, "late is better than never");
}

#[test]
fn a_request_with_little_time_left_is_sent_while_slots_are_free() {
    // Load: few requests; a caller with 40 ms left, before runs of 60 ms on average.
    let rooms = rooms(&[2], Instant::now());
    let short = Claim {
        target_left: ms(40),
        time_left: ms(40),
        ..claim(2)
    };
    assert_eq!(rooms.decide("s", load(3.0), &short).refusal, None);
}

#[test]
fn nothing_is_refused_on_what_is_not_known() {
    // Load: a long backlog at a service of which few answers have come yet.
    let mut rooms = Rooms::default();
    // A few answers may all be slow ones.
    for _answer in 0..9 {
        let verdict = rooms.decide("s", load(1_000.0), &claim(2));
        assert_eq!((verdict.refusal, verdict.wait_ms), (None, None));
        rooms.record_answer(&service(), RUN_MS * 3.0, 0.0, 6);
    }
}

#[test]
fn full_back_ends_are_not_asked_again_at_once() {
    // Load: back ends that have all just refused requests, although few are known there.
    let rooms = rooms(&[2], Instant::now());
    let full = KnownLoad {
        all_full_for: Some(ms(150)),
        ..load(3.0)
    };
    let verdict = rooms.decide("s", full, &claim(2));
    assert_eq!(verdict.refusal, Some(NoRoom::AllFull));
    assert_eq!(verdict.room_in, ms(150));
}

#[test]
fn room_is_kept_for_callers_that_have_their_turn() {
    // Load: a backlog that leaves room for 30 more requests, and 60 callers about to come back.
    let now = Instant::now();
    let rooms = rooms(&[2], now);
    let limit = f64::from(most_ahead(&rooms, &claim(2)));
    let reserved = KnownLoad {
        returning: 60.0,
        ..load(limit - 30.0)
    };
    let new = rooms.decide("s", reserved, &claim(2));
    assert_eq!(new.refusal, Some(NoRoom::Late));
    let returned = Claim {
        returned: true,
        ..claim(2)
    };
    assert_eq!(rooms.decide("s", reserved, &returned).refusal, None);
}
