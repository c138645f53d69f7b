//! Guards against back ends that fail for the daemons of a zone staying in use, and against
//! ejections caused by the faults of a single daemon.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::health::{Health, Outcome, OutcomeCounts, SHORT_SILENCE, SILENT_CHECK_DELAY};

fn id() -> Arc<str> {
    Arc::from("i-1")
}

const fn broken(unanswered: u8) -> OutcomeCounts {
    OutcomeCounts {
        successes: 0,
        errors: 0,
        unanswered,
    }
}

const ONE_SUCCESS: OutcomeCounts = OutcomeCounts {
    successes: 1,
    errors: 0,
    unanswered: 0,
};

#[test]
fn broken_requests_of_several_daemons_of_a_zone_eject_a_back_end() {
    let mut health = Health::default();
    let now = Instant::now();
    let mut pauses = (0..4).map(|_peer| health.receive(&id(), broken(1), now));
    assert!(pauses.by_ref().take(3).all(|pause| pause.is_none()));
    assert!(pauses.next().flatten().is_some());
    drop(pauses);
    assert!(health.is_ejected("i-1"));
}

#[test]
fn broken_requests_of_a_single_daemon_eject_nothing_elsewhere() {
    let mut health = Health::default();
    let now = Instant::now();
    for _ in 0..50 {
        assert!(health.receive(&id(), broken(200), now).is_none());
        assert!(health.receive(&id(), ONE_SUCCESS, now).is_none());
    }
    assert!(!health.is_ejected("i-1"));
}

#[test]
fn the_first_failure_on_trial_ejects_again_with_a_longer_delay() {
    let mut health = Health::default();
    let now = Instant::now();
    let first = health.record(&id(), Outcome::Unreachable, now);
    health.reinstate("i-1");
    assert!(health.is_on_trial("i-1"));
    let second = health.receive(&id(), broken(1), now);
    assert!(second.expect("ejected") > first.expect("ejected"));
}

#[test]
fn a_trial_ends_after_enough_successes() {
    let mut health = Health::default();
    let now = Instant::now();
    health.record(&id(), Outcome::Unreachable, now);
    health.reinstate("i-1");
    health.record(&id(), Outcome::Success, now);
    health.receive(&id(), ONE_SUCCESS, now);
    assert!(!health.is_on_trial("i-1"));
    assert!(health.record(&id(), Outcome::Broken, now).is_none());
}

#[test]
fn an_ejected_back_end_is_not_checked_while_it_fails_for_peers() {
    let mut health = Health::default();
    let mut now = Instant::now();
    let pause = health
        .record(&id(), Outcome::Unreachable, now)
        .expect("ejected");
    now += pause;
    health.receive(&id(), broken(1), now);
    let next = health
        .may_check("i-1", pause, now)
        .expect_err("it failed recently");
    assert!(next > pause);
    now += next;
    assert!(health.may_check("i-1", next, now).is_ok());
}

#[test]
fn errors_reported_by_peers_increase_the_cost_of_a_back_end() {
    let mut health = Health::default();
    let now = Instant::now();
    let half = OutcomeCounts {
        successes: 1,
        errors: 1,
        unanswered: 0,
    };
    for _ in 0..20 {
        health.receive(&id(), half, now);
    }
    assert!(health.cost_factor("i-1") > 2.0);
    assert!(!health.is_ejected("i-1"));
}

#[test]
fn own_results_are_published_once() {
    let mut health = Health::default();
    health.record(&id(), Outcome::Success, Instant::now());
    health.record(&id(), Outcome::Error, Instant::now());
    let published = health.take_unpublished();
    let expected = OutcomeCounts {
        successes: 1,
        errors: 1,
        unanswered: 0,
    };
    assert_eq!(published, [(id(), expected)]);
    assert!(health.take_unpublished().is_empty());
    let received = broken(1);
    health.receive(&id(), received, Instant::now());
    assert!(
        health.take_unpublished().is_empty(),
        "received results are not published again"
    );
}

#[test]
fn anything_that_a_back_end_sends_counts_as_activity() {
    let (mut health, now) = (Health::default(), Instant::now());
    let id: Arc<str> = Arc::from("i-1");
    assert!(!health.active_since(&id, now), "never seen");
    health.record_activity(&id, now);
    assert!(health.active_since(&id, now));
    let later = now + Duration::from_millis(300);
    assert!(!health.active_since(&id, later), "the activity was earlier");
    health.record(&id, Outcome::Success, later);
    assert!(health.active_since(&id, later));
    health.record(&id, Outcome::Silent, later + Duration::from_secs(1));
    assert!(!health.active_since(&id, later + Duration::from_millis(1)));
}

#[test]
fn requests_without_an_answer_are_published_once_the_path_is_known_to_work() {
    let (mut health, now) = (Health::default(), Instant::now());
    health.record(&id(), Outcome::Broken, now);
    health.record(&id(), Outcome::Silent, now);
    assert!(
        health.take_unpublished().is_empty(),
        "it may be the own path"
    );
    health.confirm_unanswered("i-1", now);
    assert_eq!(health.take_unpublished(), [(id(), broken(2))]);
    health.record(&id(), Outcome::Broken, now);
    health.record(&id(), Outcome::Success, now);
    let both = OutcomeCounts {
        successes: 1,
        ..broken(1)
    };
    assert_eq!(health.take_unpublished(), [(id(), both)]);
}

#[test]
fn requests_without_an_answer_over_a_cut_path_are_forgotten() {
    let (mut health, now) = (Health::default(), Instant::now());
    health.record(&id(), Outcome::Unreachable, now);
    assert!(health.is_ejected("i-1"));
    health.discard_unanswered("i-1");
    assert!(!health.is_ejected("i-1"));
    assert!(!health.is_on_trial("i-1"));
    health.confirm_unanswered("i-1", now);
    assert!(health.take_unpublished().is_empty());
}

#[test]
fn requests_without_an_answer_are_not_published_long_after_they_failed() {
    let (mut health, now) = (Health::default(), Instant::now());
    health.record(&id(), Outcome::Broken, now);
    health.confirm_unanswered("i-1", now + Duration::from_secs(6));
    assert!(health.take_unpublished().is_empty());
}

fn silent(now: Instant) -> Health {
    let mut health = Health::default();
    let pause = health.record(&id(), Outcome::Unresponsive, now);
    assert_eq!(pause, Some(SILENT_CHECK_DELAY));
    assert!(health.is_ejected("i-1"));
    assert_eq!(health.silent_since("i-1"), Some(now));
    health
}

#[test]
fn a_sign_of_life_ends_the_ejection_for_a_short_silence_without_a_trial() {
    let now = Instant::now();
    let mut health = silent(now);
    health.record_activity(&id(), now + Duration::from_millis(1_500));
    assert!(!health.is_ejected("i-1"));
    assert!(!health.is_on_trial("i-1"));
    assert_eq!(health.silent_since("i-1"), None);
    assert_eq!(health.ended_silences(), 1);
}

#[test]
fn a_back_end_is_on_trial_after_a_long_silence() {
    let now = Instant::now();
    let mut health = silent(now);
    health.record_life(&id(), now + SHORT_SILENCE);
    assert!(!health.is_ejected("i-1"));
    assert!(health.is_on_trial("i-1"));
}

#[test]
fn a_short_silence_does_not_end_an_earlier_trial() {
    let mut now = Instant::now();
    let mut health = Health::default();
    health.record(&id(), Outcome::Unreachable, now);
    health.reinstate("i-1");
    health.record(&id(), Outcome::Unresponsive, now);
    now += Duration::from_secs(1);
    health.record_life(&id(), now);
    assert!(!health.is_ejected("i-1"));
    assert!(health.is_on_trial("i-1"));
}

#[test]
fn a_silent_back_end_is_checked_at_a_steady_pace_and_later_ever_more_rarely() {
    let now = Instant::now();
    let mut health = silent(now);
    let soon = now + SHORT_SILENCE - Duration::from_millis(1);
    for _ in 0..5 {
        assert!(health.may_check("i-1", SILENT_CHECK_DELAY, now).is_ok());
        let next = health.record_failed_check("i-1", soon);
        assert_eq!(next, Some(SILENT_CHECK_DELAY));
    }
    let later = now + SHORT_SILENCE;
    let first = health.record_failed_check("i-1", later);
    let second = health.record_failed_check("i-1", later);
    assert!(first > Some(SILENT_CHECK_DELAY));
    assert!(second > first);
}

#[test]
fn a_sign_of_life_does_not_end_an_ejection_for_another_reason() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record(&id(), Outcome::Unreachable, now);
    health.record_activity(&id(), now);
    assert!(health.is_ejected("i-1"), "refused before it was silent");
    let mut health = silent(now);
    health.record(&id(), Outcome::Unreachable, now);
    assert_eq!(health.silent_since("i-1"), None);
    health.record_activity(&id(), now);
    assert!(health.is_ejected("i-1"), "refused after it was silent");
    let mut health = silent(now);
    health.record_unhealthy("i-1");
    health.record_activity(&id(), now);
    assert!(health.is_ejected("i-1"), "unhealthy");
}

/// An attempt that began during a silence may end without an answer after the silence.
#[test]
fn an_attempt_that_began_before_the_last_sign_of_life_shows_no_silence() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_activity(&id(), now);
    let after = |ms| now + Duration::from_millis(ms);
    let pause = health.record(&id(), Outcome::Unresponsive, after(250));
    assert_eq!(pause, None);
    assert!(!health.is_ejected("i-1"));
    let pause = health.record(&id(), Outcome::Unresponsive, after(300));
    assert!(pause.is_some(), "nothing came since it began");
}

#[test]
fn a_silence_begins_with_the_first_request_without_an_answer() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record(&id(), Outcome::Silent, now);
    let later = now + Duration::from_secs(1);
    health.record(&id(), Outcome::Unresponsive, later);
    assert_eq!(health.silent_since("i-1"), Some(now));
    health.record_life(&id(), later);
    let again = later + Duration::from_secs(1);
    health.record(&id(), Outcome::Unresponsive, again);
    assert_eq!(health.silent_since("i-1"), Some(again));
}

/// Peers learn of the ejection and check the back end themselves.
#[test]
fn silence_is_not_counted_against_a_back_end_at_peers() {
    let now = Instant::now();
    let mut health = silent(now);
    health.confirm_unanswered("i-1", now);
    health.record_life(&id(), now + Duration::from_secs(1));
    health.record(&id(), Outcome::Success, now + Duration::from_secs(1));
    assert_eq!(health.take_unpublished(), [(id(), ONE_SUCCESS)]);
}

#[test]
fn a_back_end_that_falls_silent_while_ejected_gets_checks_of_its_own() {
    let now = Instant::now();
    let mut health = Health::default();
    for _ in 0..2 {
        health.record(&id(), Outcome::Silent, now);
    }
    let before = health.ejection("i-1");
    assert!(before.is_some());
    let pause = health.record(&id(), Outcome::Unresponsive, now);
    assert_eq!(pause, Some(SILENT_CHECK_DELAY));
    assert_ne!(health.ejection("i-1"), before);
    health.record_life(&id(), now + Duration::from_secs(1));
    assert!(health.is_ejected("i-1"), "its requests hung before");
}

/// Guards against peers that eject a back end for its silence after it has gone on.
#[test]
fn requests_without_an_answer_during_a_silence_are_not_published_after_it() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record(&id(), Outcome::Silent, now);
    health.record(&id(), Outcome::Unresponsive, now);
    let later = now + Duration::from_secs(1);
    health.record_life(&id(), later);
    health.confirm_unanswered("i-1", later);
    assert!(health.take_unpublished().is_empty());
}
