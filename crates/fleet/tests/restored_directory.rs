//! What the directory keeps when the store, back from an older copy, shows less than was known.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::directory::{
    BackEnd, UNCONFIRMED_REMOVAL_GRACE, Directory, REMOVAL_HOLD_AFTER_RESTORE, Incarnation, Lifecycle, PutOutcome,
};
use ponddrift_fleet::revision::{Era, Revision};

/// A revision of the era after so many returns.
fn at(restores: u64, number: u64) -> Revision {
    let era = Era::after_restores(restores).expect("few");
    Revision::new(era, number).expect("small")
}

fn back_end(life: u64, lifecycle: Lifecycle) -> BackEnd {
    BackEnd {
        id: Arc::from("a"),
        incarnation: Incarnation(life),
        service: Arc::from("records"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Arc::from("z"),
        slots: 1,
        lifecycle,
        stage: None,
        cold_start: None,
        contract: Contract::OnDemand,
    }
}

/// Whether it would get a request.
fn is_used(directory: &Directory, now: Instant) -> bool {
    !directory.ready("records", now).is_empty()
}

#[test]
fn a_back_end_that_leaves_goes_on_leaving_until_it_says_otherwise() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Draining), at(0, 39), now);
    let taken = directory.put(back_end(1, Lifecycle::Ready), at(1, 30), now);
    assert_eq!(taken, PutOutcome::Superseded);
    assert!(!is_used(&directory, now));
    // Written in the new era, not merely shown by the copy.
    let taken = directory.put(back_end(1, Lifecycle::Ready), at(1, 31), now);
    assert_eq!(taken, PutOutcome::Applied);
    assert!(is_used(&directory, now));
}

#[test]
fn a_later_life_is_known_though_the_copy_shows_the_one_before() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(2, Lifecycle::Ready), at(0, 39), now);
    let taken = directory.put(back_end(1, Lifecycle::Draining), at(1, 30), now);
    assert_eq!(taken, PutOutcome::Superseded);
    assert!(is_used(&directory, now));
}

#[test]
fn a_back_end_that_had_gone_is_used_again_once_its_entry_has_stood_for_long() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Ready), at(0, 38), now);
    directory.remove("a", at(0, 39), now, false);
    let taken = directory.put(back_end(1, Lifecycle::Ready), at(1, 30), now);
    assert_eq!(taken, PutOutcome::Superseded);
    assert!(directory.expire_removals(now).is_empty());
    assert!(!is_used(&directory, now));
    let later = now + REMOVAL_HOLD_AFTER_RESTORE;
    assert_eq!(directory.expire_removals(later).len(), 1);
    assert!(is_used(&directory, later));
}

#[test]
fn one_that_had_gone_and_whose_entry_lapses_stays_gone() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Ready), at(0, 38), now);
    directory.remove("a", at(0, 39), now, false);
    directory.put(back_end(1, Lifecycle::Ready), at(1, 30), now);
    directory.remove("a", at(1, 31), now + Duration::from_secs(3), false);
    let later = now + REMOVAL_HOLD_AFTER_RESTORE;
    assert!(directory.expire_removals(later).is_empty());
    assert!(!is_used(&directory, later));
}

#[test]
fn an_entry_that_the_copy_lacks_is_in_doubt_for_a_while() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Ready), at(0, 39), now);
    directory.remove("a", at(1, 30), now, false);
    assert!(is_used(&directory, now));
    assert!(!is_used(&directory, now + UNCONFIRMED_REMOVAL_GRACE));
}

#[test]
fn one_that_was_leaving_or_had_gone_is_not_in_doubt() {
    let now = Instant::now();
    for had_gone in [false, true] {
        let mut directory = Directory::default();
        directory.put(back_end(1, Lifecycle::Draining), at(0, 38), now);
        if had_gone {
            directory.remove("a", at(0, 39), now, false);
        }
        directory.remove("a", at(1, 30), now, true);
        assert!(!is_used(&directory, now), "had gone: {had_gone}");
    }
}

/// A daemon that only knows the copy takes from a peer what says more, and nothing else.
#[test]
fn what_a_peer_knows_counts_where_it_says_more_than_the_copy() {
    let now = Instant::now();
    let shown = || {
        let mut directory = Directory::default();
        directory.put(back_end(2, Lifecycle::Ready), at(1, 30), now);
        directory
    };
    let mut directory = shown();
    assert!(directory.put_from_peer(back_end(2, Lifecycle::Draining)));
    assert!(!is_used(&directory, now));
    let mut directory = shown();
    assert!(!directory.put_from_peer(back_end(1, Lifecycle::Draining)));
    assert!(is_used(&directory, now));
    let mut directory = shown();
    assert!(directory.remove_from_peer("a", now));
    assert!(!is_used(&directory, now));
    assert!(!directory.remove_from_peer("a", now), "it has gone already");
    assert!(!directory.remove_from_peer("b", now), "it is not known");
}
