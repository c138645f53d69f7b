//! Whether the removal of an entry may result from an unavailable store.

use std::time::{Duration, Instant};

use ponddrift_fleet::store_doubt::{OutageReport, REWRITE_PERIOD, StoreDoubt};

const SECOND: Duration = Duration::from_secs(1);

/// A daemon whose calls failed from 10 to 14 s after `start`, and were answered from 15 s on.
fn after_an_outage(start: Instant) -> StoreDoubt {
    let mut doubt = StoreDoubt::default();
    doubt.answered(start + 9 * SECOND);
    for second in 10..=14 {
        let now = start + second * SECOND;
        doubt.failed(now, now);
    }
    doubt.answered(start + 15 * SECOND);
    doubt
}

#[test]
fn without_a_failure_every_removal_is_certain() {
    let now = Instant::now();
    let mut doubt = StoreDoubt::default();
    assert_eq!(doubt.entry_may_return_until(now), None);
    doubt.answered(now);
    assert_eq!(doubt.entry_may_return_until(now), None);
    assert!(!doubt.was_away_recently(now));
    assert_eq!(doubt.report(now), None);
}

#[test]
fn doubt_ends_at_a_fixed_time_after_the_return_whenever_the_entry_is_removed() {
    let start = Instant::now();
    let mut doubt = after_an_outage(start);
    let end = start + 15 * SECOND + REWRITE_PERIOD;
    for second in 15..=17 {
        let now = start + second * SECOND;
        doubt.answered(now);
        assert_eq!(
            doubt.entry_may_return_until(now),
            Some(end),
            "at {second} s"
        );
    }
    assert_eq!(doubt.entry_may_return_until(end), None);
}

#[test]
fn while_calls_fail_each_removal_is_in_doubt() {
    let now = Instant::now();
    let mut doubt = StoreDoubt::default();
    doubt.failed(now, now);
    let later = now + SECOND;
    assert_eq!(
        doubt.entry_may_return_until(later),
        Some(later + REWRITE_PERIOD)
    );
    let end = now + Duration::from_millis(4_500);
    assert_eq!(doubt.entry_may_return_until(now + 4 * SECOND), Some(end));
    assert_eq!(
        doubt.entry_may_return_until(end),
        None,
        "no failed call for long"
    );
}

#[test]
fn a_new_failure_opens_the_doubt_again() {
    let start = Instant::now();
    let mut doubt = after_an_outage(start);
    let now = start + 60 * SECOND;
    assert_eq!(doubt.entry_may_return_until(now), None);
    doubt.failed(now, now);
    assert!(doubt.entry_may_return_until(now).is_some());
}

#[test]
fn a_daemon_that_makes_no_calls_believes_a_peer_that_saw_an_outage() {
    let start = Instant::now();
    let now = start + 16 * SECOND;
    let report = after_an_outage(start).report(now).expect("in doubt");
    let mut relying = StoreDoubt::default();
    relying.answered(start);
    relying.stopped_following();
    relying.receive(report, now);
    let end = start + 15 * SECOND + REWRITE_PERIOD;
    assert_eq!(relying.entry_may_return_until(now), Some(end));
    assert!(relying.was_away_recently(now));
    relying.answered(now);
    assert_eq!(relying.entry_may_return_until(now), Some(end));
}

#[test]
fn a_daemon_that_the_store_answered_all_the_time_ignores_a_peer_that_it_refused() {
    let start = Instant::now();
    let now = start + 16 * SECOND;
    let report = after_an_outage(start).report(now).expect("in doubt");
    let mut in_contact = StoreDoubt::default();
    in_contact.answered(start + 9 * SECOND);
    in_contact.answered(start + 15 * SECOND);
    in_contact.stopped_following();
    in_contact.receive(report, now);
    assert_eq!(in_contact.entry_may_return_until(now), None);
    assert!(!in_contact.was_away_recently(now));
}

/// Two daemons that tell each other of the same outage forget it in time.
#[test]
fn reports_are_not_passed_on() {
    let start = Instant::now();
    let mut told = StoreDoubt::default();
    let now = start + 16 * SECOND;
    let report = after_an_outage(start).report(now).expect("in doubt");
    told.receive(report, now);
    assert_eq!(told.report(now), None);
}

#[test]
fn reports_merge_to_the_same_in_any_order_and_number() {
    let now = Instant::now() + 100 * SECOND;
    let millis = Duration::from_millis;
    let reports =
        [(900, 700), (100, 2_400), (4_000, 10), (300, 1_500)].map(|(failed, left)| OutageReport {
            failed_ago: millis(failed),
            doubt_left: millis(left),
        });
    let merged = |order: &[usize]| {
        let mut doubt = StoreDoubt::default();
        for &index in order {
            doubt.receive(reports[index], now);
        }
        (
            doubt.entry_may_return_until(now),
            doubt.was_away_recently(now + millis(4_390)),
            doubt.was_away_recently(now + millis(4_410)),
        )
    };
    let expected = (Some(now + millis(2_400)), true, false);
    for order in [&[0, 1, 2, 3][..], &[3, 2, 1, 0], &[1, 1, 0, 3, 2, 1]] {
        assert_eq!(merged(order), expected, "{order:?}");
    }
}

#[test]
fn a_report_of_an_endless_doubt_is_bounded() {
    let now = Instant::now() + 100 * SECOND;
    let mut doubt = StoreDoubt::default();
    doubt.receive(
        OutageReport {
            failed_ago: Duration::ZERO,
            doubt_left: Duration::MAX,
        },
        now,
    );
    assert_eq!(
        doubt.entry_may_return_until(now),
        Some(now + REWRITE_PERIOD)
    );
}

#[test]
fn what_a_restored_store_lacks_may_be_written_again_for_a_while() {
    let now = Instant::now();
    let mut doubt = StoreDoubt::default();
    doubt.answered(now);
    doubt.restored(now);
    assert_eq!(
        doubt.entry_may_return_until(now + SECOND),
        Some(now + REWRITE_PERIOD)
    );
    assert_eq!(doubt.entry_may_return_until(now + REWRITE_PERIOD), None);
}

/// A call may fail long after the store returned, and the daemon may then rely on its neighbours.
#[test]
fn an_answer_to_a_neighbour_shows_that_the_store_has_returned() {
    let now = Instant::now() + 100 * SECOND;
    let mut doubt = StoreDoubt::default();
    doubt.failed(now, now);
    doubt.neighbour_was_answered(2 * SECOND, now + SECOND);
    let open_end = now + Duration::from_millis(4_500);
    assert_eq!(
        doubt.entry_may_return_until(now + 3 * SECOND),
        Some(open_end),
        "the answer was given before the failure"
    );
    doubt.neighbour_was_answered(SECOND / 2, now + SECOND);
    doubt.neighbour_was_answered(Duration::ZERO, now + SECOND);
    let end = now + SECOND / 2 + REWRITE_PERIOD;
    assert_eq!(doubt.entry_may_return_until(now + SECOND), Some(end));
    doubt.failed(now + 2 * SECOND, now + 2 * SECOND);
    assert!(doubt.entry_may_return_until(end).is_some(), "away again");
}

/// The store accepts a call while it is away and never answers it, and the call fails only after the
/// store has returned.
#[test]
fn a_call_that_began_before_the_return_does_not_prolong_the_doubt() {
    let start = Instant::now() + 100 * SECOND;
    let failed_at = start + 3 * SECOND;
    let fail = |answers: &[Duration]| {
        let mut doubt = StoreDoubt::default();
        doubt.neighbour_was_answered(Duration::ZERO, start - 4 * SECOND);
        for answered in answers {
            doubt.neighbour_was_answered(Duration::ZERO, start + *answered);
        }
        doubt.failed(start, failed_at);
        doubt.entry_may_return_until(failed_at)
    };
    let in_doubt_at_the_failure = Some(failed_at + REWRITE_PERIOD);
    let millis = Duration::from_millis;
    assert_eq!(
        fail(&[millis(1_500), millis(2_500)]),
        Some(start + millis(1_500) + REWRITE_PERIOD),
        "neighbours regained contact during the call"
    );
    assert_eq!(
        fail(&[]),
        in_doubt_at_the_failure,
        "neighbours have no contact"
    );
    assert_eq!(
        fail(&[millis(1_500)]),
        in_doubt_at_the_failure,
        "neighbours have lost contact again"
    );
}

#[test]
fn a_failure_is_believed_although_neighbours_were_in_contact_before_it() {
    let start = Instant::now() + 100 * SECOND;
    let mut doubt = StoreDoubt::default();
    for number in 0..6 {
        doubt.neighbour_was_answered(Duration::ZERO, start + number * SECOND / 2);
    }
    let failed_at = start + 3 * SECOND;
    doubt.failed(start + SECOND, failed_at);
    assert_eq!(
        doubt.entry_may_return_until(failed_at),
        Some(failed_at + REWRITE_PERIOD)
    );
}

/// A broken connection does not show that the store was away.
#[test]
fn a_failed_call_between_two_answers_puts_no_removal_in_doubt() {
    let start = Instant::now() + 100 * SECOND;
    let millis = Duration::from_millis;
    let mut doubt = StoreDoubt::default();
    doubt.answered(start);
    doubt.failed(start, start + millis(700));
    assert!(doubt.entry_may_return_until(start + millis(750)).is_some());
    let now = start + millis(800);
    doubt.answered(now);
    assert_eq!(doubt.entry_may_return_until(now), None);
    assert_eq!(doubt.report(now), None);
    assert!(!doubt.was_away_recently(now));
    doubt.restored(now);
    assert!(doubt.entry_may_return_until(now).is_some());
}

/// The store refuses this daemon, and answers its neighbours all the time.
#[test]
fn failed_calls_put_no_removal_in_doubt_while_neighbours_are_answered() {
    let start = Instant::now() + 100 * SECOND;
    let mut doubt = StoreDoubt::default();
    doubt.answered(start);
    for second in 0..6 {
        let now = start + second * SECOND;
        doubt.neighbour_was_answered(Duration::ZERO, now);
        doubt.failed(now + SECOND / 2, now + SECOND / 2);
    }
    let now = start + 6 * SECOND;
    assert!(
        doubt.entry_may_return_until(now).is_some(),
        "neighbours may have lost contact as well"
    );
    doubt.neighbour_was_answered(Duration::ZERO, now);
    assert_eq!(doubt.entry_may_return_until(now), None);
    assert_eq!(doubt.report(now), None);
}

#[test]
fn a_daemon_that_makes_no_calls_ignores_a_peer_that_was_refused_while_others_were_answered() {
    let start = Instant::now() + 100 * SECOND;
    let now = start + 16 * SECOND;
    let report = after_an_outage(start).report(now).expect("in doubt");
    let mut relying = StoreDoubt::default();
    for second in 9..=13 {
        relying.neighbour_was_answered(Duration::ZERO, start + second * SECOND);
    }
    relying.receive(report, now);
    assert!(relying.entry_may_return_until(now).is_some());
    relying.neighbour_was_answered(now - (start + 14 * SECOND), now);
    assert_eq!(relying.entry_may_return_until(now), None);
    assert!(!relying.was_away_recently(now));
    relying.receive(report, now);
    assert_eq!(relying.entry_may_return_until(now), None);
}

/// One peer saw an outage, another was refused later, when the store answered others.
#[test]
fn answers_to_neighbours_after_an_outage_do_not_refute_its_report() {
    let start = Instant::now() + 100 * SECOND;
    let returned = start + 15 * SECOND;
    let report = after_an_outage(start).report(returned).expect("in doubt");
    let mut relying = StoreDoubt::default();
    relying.receive(report, returned);
    for tenth in 0..20 {
        relying.neighbour_was_answered(Duration::ZERO, returned + tenth * SECOND / 10);
    }
    let now = returned + 2 * SECOND;
    let of_refused_peer = OutageReport {
        failed_ago: SECOND,
        doubt_left: REWRITE_PERIOD,
    };
    relying.receive(of_refused_peer, now);
    assert_eq!(
        relying.entry_may_return_until(now),
        Some(returned + REWRITE_PERIOD)
    );
}

/// What is known of a failure does not change when contact is lost later.
#[test]
fn a_refuted_failure_stays_refuted_when_contact_is_lost() {
    let start = Instant::now() + 100 * SECOND;
    let millis = Duration::from_millis;
    let mut doubt = StoreDoubt::default();
    doubt.answered(start);
    doubt.failed(start, start + millis(500));
    doubt.answered(start + millis(600));
    doubt.receive(
        OutageReport {
            failed_ago: Duration::ZERO,
            doubt_left: REWRITE_PERIOD,
        },
        start + millis(700),
    );
    doubt.answered(start + millis(800));
    doubt.stopped_following();
    let now = start + millis(2_300);
    doubt.answered(now);
    assert_eq!(doubt.entry_may_return_until(now), None);
    assert!(!doubt.was_away_recently(now));
}
