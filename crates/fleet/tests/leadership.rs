//! Guards against a leader acting outside its lease or too soon after an earlier leader.

use std::time::{Duration, Instant};

use ponddrift_fleet::leadership::{
    CALL_TIMEOUT, EndReason, Fencing, Grant, KeyState, LeaderTerm, RenewalDecision, RenewalOutcome,
    SAFETY_MARGIN,
};

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

/// A store that is unavailable may keep leases until it is back.
#[test]
fn a_term_whose_lease_may_have_expired_resumes_once_it_is_renewed_and_the_key_is_unchanged() {
    let requested_at = start();
    let term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let during_outage = requested_at + LEASE_DURATION * 2;
    let unknown = term.after_renewal(RenewalOutcome::Unknown, during_outage);
    assert_eq!(unknown, RenewalDecision::Retry);
    assert!(!term.allows_call(during_outage));
    let renewed_at = requested_at + LEASE_DURATION * 3;
    let answered_at = renewed_at + Duration::from_millis(10);
    let renewal = RenewalOutcome::Renewed {
        requested_at: renewed_at,
    };
    let decision = term.after_renewal(renewal, answered_at);
    let read = RenewalDecision::ReadKey {
        requested_at: renewed_at,
    };
    assert_eq!(decision, read, "no call before the key was read");
    let resumed = match term.after_key_read(KeyState::Unchanged, renewed_at, answered_at) {
        RenewalDecision::Continue(resumed) => resumed,
        other => panic!("{other:?}"),
    };
    assert!(resumed.allows_call(answered_at), "no new wait");
    assert_eq!(resumed.fencing_token, term.fencing_token);
    let latest_call = renewed_at + LEASE_DURATION - SAFETY_MARGIN - CALL_TIMEOUT;
    assert!(!resumed.allows_call(latest_call));
}

#[test]
fn a_term_ends_if_the_lease_expired_or_the_key_was_written_again() {
    let requested_at = start();
    let term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let later = requested_at + LEASE_DURATION * 2;
    assert_eq!(
        term.after_renewal(RenewalOutcome::Expired, later),
        RenewalDecision::StepDown(EndReason::LeaseExpired)
    );
    assert_eq!(
        term.after_key_read(KeyState::Changed, later, later),
        RenewalDecision::StepDown(EndReason::KeyChanged)
    );
    assert_eq!(
        term.after_key_read(KeyState::Unknown, later, later),
        RenewalDecision::Retry
    );
}

#[test]
fn a_lease_in_doubt_is_given_up_after_a_bounded_time() {
    let requested_at = start();
    let term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let given_up_after = (1..200).find(|seconds| {
        let now = requested_at + Duration::from_secs(*seconds);
        term.after_renewal(RenewalOutcome::Unknown, now) != RenewalDecision::Retry
    });
    let given_up_after = given_up_after.expect("it is given up");
    assert!((30..=120).contains(&given_up_after), "{given_up_after} s");
}

#[test]
fn a_renewal_in_time_needs_no_read_of_the_key() {
    let requested_at = start();
    let term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let renewed_at = requested_at + Duration::from_secs(1);
    let renewal = RenewalOutcome::Renewed {
        requested_at: renewed_at,
    };
    assert_eq!(
        term.after_renewal(renewal, renewed_at),
        RenewalDecision::Continue(term.renewed(renewed_at))
    );
}
