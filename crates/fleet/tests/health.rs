//! What results of a zone's requests find out about a back end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::health::{Health, Outcome, Results};

fn id() -> Arc<str> {
    Arc::from("i-1")
}

const fn broken(breaks: u8) -> Results {
    Results {
        successes: 0,
        errors: 0,
        breaks,
    }
}

const WELL: Results = Results {
    successes: 1,
    errors: 0,
    breaks: 0,
};

#[test]
fn what_breaks_for_several_daemons_of_a_zone_is_ejected_by_all() {
    let mut health = Health::default();
    let now = Instant::now();
    let mut pauses = (0..4).map(|_peer| health.receive(&id(), broken(1), now));
    assert!(pauses.by_ref().take(3).all(|pause| pause.is_none()));
    assert!(pauses.next().flatten().is_some());
    drop(pauses);
    assert!(health.is_ejected("i-1"));
}

#[test]
fn one_daemon_whose_own_link_failed_ejects_nothing_elsewhere() {
    let mut health = Health::default();
    let now = Instant::now();
    for _ in 0..50 {
        assert!(health.receive(&id(), broken(200), now).is_none());
        assert!(health.receive(&id(), WELL, now).is_none());
    }
    assert!(!health.is_ejected("i-1"));
}

#[test]
fn the_first_failure_on_trial_ejects_again_for_longer() {
    let mut health = Health::default();
    let now = Instant::now();
    let first = health.record(&id(), Outcome::Unreachable, now);
    health.reinstate("i-1");
    assert!(health.is_on_trial("i-1"));
    let second = health.receive(&id(), broken(1), now);
    assert!(second.expect("ejected") > first.expect("ejected"));
}

#[test]
fn a_trial_ends_with_successes() {
    let mut health = Health::default();
    let now = Instant::now();
    health.record(&id(), Outcome::Unreachable, now);
    health.reinstate("i-1");
    health.record(&id(), Outcome::Success, now);
    health.receive(&id(), WELL, now);
    assert!(!health.is_on_trial("i-1"));
    assert!(health.record(&id(), Outcome::Broken, now).is_none());
}

#[test]
fn an_ejected_back_end_is_not_checked_while_it_fails_for_others() {
    let mut health = Health::default();
    let mut now = Instant::now();
    let pause = health
        .record(&id(), Outcome::Unreachable, now)
        .expect("ejected");
    now += pause;
    health.receive(&id(), broken(1), now);
    let next = health.may_check("i-1", pause, now).expect_err("it fails");
    assert!(next > pause);
    now += next;
    assert!(health.may_check("i-1", next, now).is_ok());
}

#[test]
fn errors_that_others_had_make_a_back_end_dearer() {
    let mut health = Health::default();
    let now = Instant::now();
    let half = Results {
        successes: 1,
        errors: 1,
        breaks: 0,
    };
    for _ in 0..20 {
        health.receive(&id(), half, now);
    }
    assert!(health.cost_factor("i-1") > 2.0);
    assert!(!health.is_ejected("i-1"));
}

#[test]
fn results_are_told_once() {
    let mut health = Health::default();
    health.record(&id(), Outcome::Success, Instant::now());
    health.record(&id(), Outcome::Error, Instant::now());
    let told = health.take_unpublished();
    let expected = Results {
        successes: 1,
        errors: 1,
        breaks: 0,
    };
    assert_eq!(told, [(id(), expected)]);
    assert!(health.take_unpublished().is_empty());
    let heard = broken(1);
    health.receive(&id(), heard, Instant::now());
    assert!(
        health.take_unpublished().is_empty(),
        "what was heard is not told on"
    );
}

#[test]
fn whatever_a_back_end_sends_is_a_sign_of_life() {
    let (mut health, now) = (Health::default(), Instant::now());
    let id: Arc<str> = Arc::from("i-1");
    assert!(!health.active_since(&id, now), "never seen");
    health.record_activity(&id, now);
    assert!(health.active_since(&id, now));
    let later = now + Duration::from_millis(300);
    assert!(!health.active_since(&id, later), "it is old by then");
    health.record(&id, Outcome::Success, later);
    assert!(health.active_since(&id, later));
    health.record(&id, Outcome::Silent, later + Duration::from_secs(1));
    assert!(!health.active_since(&id, later + Duration::from_millis(1)));
}
