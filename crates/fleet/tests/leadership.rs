//! Guards against a leader acting outside its lease or too soon after an earlier leader.

use std::time::{Duration, Instant};

use ponddrift_fleet::leadership::{CALL_TIMEOUT, Fencing, Grant, LeaderTerm, SAFETY_MARGIN};

const LEASE_DURATION: Duration = Duration::from_secs(3);
const LONG_AGO: Duration = Duration::from_secs(60);

fn grant(requested_at: Instant, granted_at: Instant) -> Grant {
    Grant {
        fencing_token: 7,
        life: LEASE_DURATION,
        requested_at,
        granted_at,
        last_call: requested_at - LONG_AGO,
    }
}

fn start() -> Instant {
    Instant::now() + LONG_AGO
}

#[test]
fn a_lease_counts_from_the_time_of_its_request() {
    let requested_at = start();
    let granted_at = requested_at + Duration::from_millis(700);
    let term = LeaderTerm::new(&grant(requested_at, granted_at), Fencing::Checked);
    let latest_call = requested_at + LEASE_DURATION - SAFETY_MARGIN - CALL_TIMEOUT;
    assert!(term.allows_call(latest_call - Duration::from_millis(1)));
    assert!(!term.allows_call(latest_call), "it would arrive too late");
    assert!(term.may_have_expired(requested_at + LEASE_DURATION - SAFETY_MARGIN));
}

#[test]
fn a_renewal_counts_from_the_time_of_its_request() {
    let requested_at = start();
    let term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Checked);
    let renewed = term.renewed(requested_at + Duration::from_secs(1));
    assert!(!renewed.may_have_expired(requested_at + LEASE_DURATION));
    assert!(
        renewed.may_have_expired(
            requested_at + LEASE_DURATION + Duration::from_secs(1) - SAFETY_MARGIN
        )
    );
    assert_eq!(renewed.fencing_token, 7);
}

#[test]
fn a_new_holder_waits_unless_fencing_tokens_are_checked() {
    let requested_at = start();
    let checked = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Checked);
    assert!(checked.allows_call(requested_at));
    let mut ignored = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    ignored = ignored.renewed(requested_at + Duration::from_secs(3));
    assert!(!ignored.allows_call(requested_at + LEASE_DURATION));
    assert!(ignored.allows_call(requested_at + LEASE_DURATION + Duration::from_secs(1)));
}

/// Another daemon may have been the leader in between, so that calls would alternate between the
/// two.
#[test]
fn a_daemon_waits_a_lease_duration_after_its_own_last_call() {
    let requested_at = start();
    let recent_caller = Grant {
        last_call: requested_at - Duration::from_secs(1),
        ..grant(requested_at, requested_at)
    };
    let term = LeaderTerm::new(&recent_caller, Fencing::Checked)
        .renewed(requested_at + Duration::from_secs(2));
    let earliest_call = recent_caller.last_call + LEASE_DURATION + CALL_TIMEOUT;
    assert!(!term.allows_call(earliest_call - Duration::from_millis(1)));
    assert!(term.allows_call(earliest_call));
}
