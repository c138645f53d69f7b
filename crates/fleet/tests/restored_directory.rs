//! Guards against a store restored from an older copy bringing back removed or draining back ends,
//! or removing healthy ones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::directory::{
    BackEnd, Directory, Incarnation, Lifecycle, PutOutcome, REMOVAL_HOLD_AFTER_RESTORE,
};
use ponddrift_fleet::revision::{Era, Revision};
use ponddrift_fleet::store_doubt::REWRITE_PERIOD;

/// Revision `number` of the era after `restores` restores.
fn revision(restores: u64, number: u64) -> Revision {
    let era = Era::after_restores(restores).expect("few");
    Revision::new(era, number).expect("small")
}

fn back_end(started_ms: u64, lifecycle: Lifecycle) -> BackEnd {
    BackEnd {
        id: Arc::from("a"),
        incarnation: Incarnation(started_ms),
        service: Arc::from("records"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Arc::from("z"),
        version: ponddrift_fleet::versions::SoftwareVersion::default(),
        slots: 1,
        lifecycle,
        stage: None,
        cold_start: None,
        contract: Contract::OnDemand,
    }
}

/// Whether the back end would receive requests.
fn receives_requests(directory: &Directory, now: Instant) -> bool {
    !directory.ready("records", now).is_empty()
}

#[test]
fn a_draining_back_end_stays_draining_until_a_new_entry_is_written() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Draining), revision(0, 39), now);
    let outcome = directory.put(back_end(1, Lifecycle::Ready), revision(1, 30), now);
    assert_eq!(outcome, PutOutcome::Superseded);
    assert!(!receives_requests(&directory, now));
    // Written in the new era, not restored from the older copy.
    let outcome = directory.put(back_end(1, Lifecycle::Ready), revision(1, 31), now);
    assert_eq!(outcome, PutOutcome::Applied);
    assert!(receives_requests(&directory, now));
}

#[test]
fn a_later_incarnation_is_kept_over_a_restored_earlier_one() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(2, Lifecycle::Ready), revision(0, 39), now);
    let outcome = directory.put(back_end(1, Lifecycle::Draining), revision(1, 30), now);
    assert_eq!(outcome, PutOutcome::Superseded);
    assert!(receives_requests(&directory, now));
}

#[test]
fn a_removed_back_end_is_used_again_once_its_restored_entry_has_persisted() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Ready), revision(0, 38), now);
    directory.remove("a", revision(0, 39), now, None);
    let outcome = directory.put(back_end(1, Lifecycle::Ready), revision(1, 30), now);
    assert_eq!(outcome, PutOutcome::Superseded);
    assert!(directory.expire_removals(now).is_empty());
    assert!(!receives_requests(&directory, now));
    let later = now + REMOVAL_HOLD_AFTER_RESTORE;
    assert_eq!(directory.expire_removals(later).len(), 1);
    assert!(receives_requests(&directory, later));
}

#[test]
fn a_removed_back_end_whose_restored_entry_expires_stays_removed() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Ready), revision(0, 38), now);
    directory.remove("a", revision(0, 39), now, None);
    directory.put(back_end(1, Lifecycle::Ready), revision(1, 30), now);
    directory.remove("a", revision(1, 31), now + Duration::from_secs(3), None);
    let later = now + REMOVAL_HOLD_AFTER_RESTORE;
    assert!(directory.expire_removals(later).is_empty());
    assert!(!receives_requests(&directory, later));
}

#[test]
fn the_removal_of_an_entry_missing_after_a_restore_is_unconfirmed_for_a_while() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end(1, Lifecycle::Ready), revision(0, 39), now);
    directory.remove("a", revision(1, 30), now, None);
    assert!(receives_requests(&directory, now));
    assert!(!receives_requests(&directory, now + REWRITE_PERIOD));
}

#[test]
fn the_removal_of_a_draining_or_removed_back_end_is_confirmed() {
    let now = Instant::now();
    for was_removed in [false, true] {
        let mut directory = Directory::default();
        directory.put(back_end(1, Lifecycle::Draining), revision(0, 38), now);
        if was_removed {
            directory.remove("a", revision(0, 39), now, None);
        }
        directory.remove("a", revision(1, 30), now, Some(now + REWRITE_PERIOD));
        assert!(
            !receives_requests(&directory, now),
            "removed before: {was_removed}"
        );
    }
}

/// A daemon that only knows restored entries accepts later information from a peer, and nothing
/// else.
#[test]
fn later_information_of_a_peer_replaces_a_restored_entry() {
    let now = Instant::now();
    let restored = || {
        let mut directory = Directory::default();
        directory.put(back_end(2, Lifecycle::Ready), revision(1, 30), now);
        directory
    };
    let mut directory = restored();
    assert!(directory.put_from_peer(back_end(2, Lifecycle::Draining), now));
    assert!(!receives_requests(&directory, now));
    let mut directory = restored();
    assert!(!directory.put_from_peer(back_end(1, Lifecycle::Draining), now));
    assert!(receives_requests(&directory, now));
    let mut directory = restored();
    assert!(directory.remove_from_peer("a", now));
    assert!(!receives_requests(&directory, now));
    assert!(!directory.remove_from_peer("a", now), "already removed");
    assert!(!directory.remove_from_peer("b", now), "unknown back end");
}

/// Once the store turns out to have been in reach, what it removed is gone; what a copy lacks may still be written.
#[test]
fn removals_are_confirmed_but_for_entries_missing_after_a_restore() {
    let now = Instant::now();
    let mut removed = Directory::default();
    removed.put(back_end(1, Lifecycle::Ready), revision(0, 1), now);
    removed.remove("a", revision(0, 2), now, Some(now + REWRITE_PERIOD));
    assert!(receives_requests(&removed, now));
    assert_eq!(removed.confirm_removals(), 1);
    assert!(!receives_requests(&removed, now));
    let mut missing = Directory::default();
    missing.put(back_end(1, Lifecycle::Ready), revision(0, 1), now);
    missing.remove("a", revision(1, 0), now, None);
    assert_eq!(missing.confirm_removals(), 0);
    assert!(receives_requests(&missing, now));
}
