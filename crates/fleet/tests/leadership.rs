//! Guards against a leader acting outside its lease or too soon after an earlier leader.

use std::time::{Duration, Instant};

use ponddrift_fleet::leadership::{CALL_TIMEOUT, Fencing, Grant, LeaderTerm, SAFETY_MARGIN};

const LEASE_DURATION: Duration = Duration::from_secs(3);
const LONG_AGO: Duration = Duration::from_secs(60);

fn grant(asked: Instant, answered: Instant) -> Grant {
    Grant {
        fencing_token: 7,
        life: LEASE_DURATION,
        asked,
        answered,
        last_call: asked - LONG_AGO,
    }
}

fn start() -> Instant {
    Instant::now() + LONG_AGO
}

#[test]
fn a_lease_counts_from_the_time_of_its_request() {
    let asked = start();
    let answered = asked + Duration::from_millis(700);
    let term = LeaderTerm::new(&grant(asked, answered), Fencing::Checked);
    let latest_call = asked + LEASE_DURATION - SAFETY_MARGIN - CALL_TIMEOUT;
    assert!(term.allows_call(latest_call - Duration::from_millis(1)));
    assert!(!term.allows_call(latest_call), "it would arrive too late");
    assert!(term.may_have_expired(asked + LEASE_DURATION - SAFETY_MARGIN));
}

#[test]
fn a_renewal_counts_from_the_time_of_its_request() {
    let asked = start();
    let term = LeaderTerm::new(&grant(asked, asked), Fencing::Checked);
    let renewed = term.renewed(asked + Duration::from_secs(1));
    assert!(!renewed.may_have_expired(asked + LEASE_DURATION));
    assert!(
        renewed.may_have_expired(asked + LEASE_DURATION + Duration::from_secs(1) - SAFETY_MARGIN)
    );
    assert_eq!(renewed.fencing_token, 7);
}

#[test]
fn a_new_holder_waits_unless_fencing_tokens_are_checked() {
    let asked = start();
    let checked = LeaderTerm::new(&grant(asked, asked), Fencing::Checked);
    assert!(checked.allows_call(asked));
    let mut ignored = LeaderTerm::new(&grant(asked, asked), Fencing::Ignored);
    ignored = ignored.renewed(asked + Duration::from_secs(3));
    assert!(!ignored.allows_call(asked + LEASE_DURATION));
    assert!(ignored.allows_call(asked + LEASE_DURATION + Duration::from_secs(1)));
}

/// Another daemon may have been the leader in between, so that calls would alternate between the
/// two.
#[test]
fn a_daemon_waits_a_lease_duration_after_its_own_last_call() {
    let asked = start();
    let recent_caller = Grant {
        last_call: asked - Duration::from_secs(1),
        ..grant(asked, asked)
    };
    let term =
        LeaderTerm::new(&recent_caller, Fencing::Checked).renewed(asked + Duration::from_secs(2));
    let earliest_call = recent_caller.last_call + LEASE_DURATION + CALL_TIMEOUT;
    assert!(!term.allows_call(earliest_call - Duration::from_millis(1)));
    assert!(term.allows_call(earliest_call));
}
