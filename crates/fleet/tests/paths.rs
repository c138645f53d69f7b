//! Decisions on cut paths: when a path counts as cut, when it is checked, when it is restored.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ponddrift_fleet::paths::{
    CHECK_INTERVAL, CheckResult, ConnectFailure, MAX_CONCURRENT_CHECKS, Paths,
};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 1], number))
}

fn cut(paths: &mut Paths, number: u16, now: Instant) {
    assert!(paths.record_cut(address(number), ConnectFailure::NoAnswer, now));
}

/// Checks the path successfully until it is restored. Returns the number of checks.
fn restore(paths: &mut Paths, number: u16, now: Instant) -> usize {
    for check in 1..100 {
        if let CheckResult::Restored(_) = paths.record_check(address(number), true, now) {
            return check;
        }
    }
    panic!("the path is not restored");
}

#[test]
fn a_cut_is_reported_once_and_ends_after_two_checks_in_a_row() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    cut(&mut paths, 1, now);
    assert!(!paths.record_cut(address(1), ConnectFailure::Refused, now));
    assert_eq!(paths.cut_count(), 1);
    let later = now + Duration::from_secs(1);
    assert_eq!(
        paths.record_check(address(1), true, later),
        CheckResult::StillCut
    );
    assert_eq!(
        paths.record_check(address(1), false, later),
        CheckResult::StillCut
    );
    assert_eq!(
        paths.record_check(address(1), true, later),
        CheckResult::StillCut,
        "the failure in between counts"
    );
    assert_eq!(
        paths.record_check(address(1), true, later),
        CheckResult::Restored(Duration::from_secs(1))
    );
    assert!(!paths.is_cut(address(1)));
}

#[test]
fn a_path_that_is_cut_again_and_again_needs_more_checks_each_time() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    let checks: Vec<usize> = (0..6)
        .map(|_| {
            cut(&mut paths, 1, now);
            restore(&mut paths, 1, now)
        })
        .collect();
    assert_eq!(checks, [2, 4, 8, 16, 16, 16]);
    let much_later = now + Duration::from_secs(60);
    cut(&mut paths, 1, much_later);
    assert_eq!(restore(&mut paths, 1, much_later), 2);
}

#[test]
fn checks_are_bounded_and_cover_all_cut_paths_in_turn() {
    let (mut paths, start) = (Paths::default(), Instant::now());
    for number in 0..100 {
        cut(&mut paths, number, start);
    }
    assert!(paths.due_checks(start).is_empty(), "not due yet");
    let now = start + CHECK_INTERVAL;
    let mut checked = Vec::new();
    loop {
        let due = paths.due_checks(now);
        if due.is_empty() {
            break;
        }
        assert!(due.len() <= MAX_CONCURRENT_CHECKS);
        for address in due {
            paths.record_check(address, false, now);
            checked.push(address);
        }
    }
    checked.sort_unstable();
    let all: Vec<SocketAddr> = (0..100).map(address).collect();
    assert_eq!(checked, all);
}

#[test]
fn one_restored_path_makes_the_checks_of_the_others_due() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    cut(&mut paths, 1, now);
    cut(&mut paths, 2, now);
    restore(&mut paths, 1, now);
    assert_eq!(paths.due_checks(now), [address(2)]);
}

#[test]
fn back_ends_without_recent_contact_are_suspects_after_a_cut() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    cut(&mut paths, 1, now);
    paths.record_contact(address(2), now);
    paths.record_contact(address(3), now);
    let later = now + Duration::from_millis(300);
    paths.record_contact(address(3), later);
    let known: Vec<SocketAddr> = (1..=4).map(address).collect();
    assert_eq!(paths.suspects(&known, later), [address(2), address(4)]);
}

#[test]
fn a_failed_attempt_shows_a_cut_only_if_it_began_right_after_a_peer_reached_the_back_end() {
    let (mut paths, start) = (Paths::default(), Instant::now());
    let after = |milliseconds| start + Duration::from_millis(milliseconds);
    assert!(
        !paths.shows_cut(address(1), start),
        "no peer reached the back end"
    );
    paths.record_peer_contact(address(1), after(200));
    assert!(
        !paths.shows_cut(address(1), after(199)),
        "the back end may have been silent when the attempt began"
    );
    assert!(paths.shows_cut(address(1), after(200)));
    assert!(paths.shows_cut(address(1), after(300)));
    assert!(
        !paths.shows_cut(address(1), after(301)),
        "the back end may have fallen silent since"
    );
    assert!(!paths.shows_cut(address(2), after(200)), "another back end");
}

#[test]
fn paths_without_a_back_end_and_unused_ones_are_forgotten() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    cut(&mut paths, 1, now);
    cut(&mut paths, 2, now);
    paths.record_contact(address(3), now);
    let later = now + Duration::from_secs(61);
    paths.keep_only(|known| known != address(2), later);
    assert!(paths.is_cut(address(1)), "a cut path is not forgotten");
    assert!(!paths.is_cut(address(2)));
    assert!(!paths.has_contact_since(address(3), now));
}
