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

fn renewed_at(requested_at: Instant) -> RenewalOutcome {
    RenewalOutcome::Renewed { requested_at }
}

/// A store that is unavailable may keep leases until it is back.
#[test]
fn a_term_whose_lease_may_have_expired_resumes_once_it_is_renewed_and_the_key_is_unchanged() {
    let requested_at = start();
    let mut term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let during_outage = requested_at + LEASE_DURATION * 2;
    let unknown = term.after_key_read(KeyState::Unknown, None, during_outage);
    assert_eq!(unknown, RenewalDecision::Retry);
    assert!(!term.allows_call(during_outage));
    let renewal_sent = requested_at + LEASE_DURATION * 3;
    let answered = renewal_sent + Duration::from_millis(10);
    let before_renewal = term.after_key_read(KeyState::Unchanged, None, renewal_sent);
    assert_eq!(before_renewal, RenewalDecision::Renew);
    let confirm = RenewalDecision::ConfirmKey {
        requested_at: renewal_sent,
    };
    let after_renewal = term.after_renewal(renewed_at(renewal_sent), answered);
    assert_eq!(after_renewal, confirm, "no call before the key was read");
    let resumed = match term.after_key_read(KeyState::Unchanged, Some(renewal_sent), answered) {
        RenewalDecision::Continue(resumed) => resumed,
        other => panic!("{other:?}"),
    };
    assert!(resumed.allows_call(answered), "no new wait");
    assert_eq!(resumed.fencing_token, term.fencing_token);
    let latest_call = renewal_sent + LEASE_DURATION - SAFETY_MARGIN - CALL_TIMEOUT;
    assert!(!resumed.allows_call(latest_call));
}

#[test]
fn a_term_ends_if_the_lease_expired_or_the_key_was_written_again() {
    let requested_at = start();
    let mut term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let later = requested_at + LEASE_DURATION * 2;
    assert_eq!(
        term.after_renewal(RenewalOutcome::Expired, later),
        RenewalDecision::StepDown(EndReason::LeaseExpired)
    );
    for renewal_sent in [None, Some(later)] {
        assert_eq!(
            term.after_key_read(KeyState::Changed, renewal_sent, later),
            RenewalDecision::StepDown(EndReason::KeyChanged)
        );
    }
}

#[test]
fn a_lease_in_doubt_is_given_up_after_a_bounded_time_however_long_it_is() {
    for life in [LEASE_DURATION, Duration::from_secs(3_600)] {
        let requested_at = start();
        let long_lease = Grant {
            life,
            ..grant(requested_at, requested_at)
        };
        let term = LeaderTerm::new(&long_lease, Fencing::Ignored);
        let given_up_after = (0..200).find(|seconds| {
            let now = requested_at + life + Duration::from_secs(*seconds);
            term.after_key_read(KeyState::Unknown, None, now) != RenewalDecision::Retry
        });
        let given_up_after = given_up_after.expect("it is given up");
        assert!((30..=90).contains(&given_up_after), "{given_up_after} s");
    }
}

/// Each may have been done and lengthen a lease under which nobody acts.
#[test]
fn a_lease_in_doubt_is_given_up_after_two_renewals_without_a_confirmed_result() {
    let requested_at = start();
    let later = requested_at + LEASE_DURATION;
    let mut term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let in_time = term.after_renewal(RenewalOutcome::Unknown, requested_at);
    assert_eq!(in_time, RenewalDecision::Retry);
    let mut unanswered = term;
    let first = unanswered.after_renewal(RenewalOutcome::Unknown, later);
    assert_eq!(first, RenewalDecision::Retry);
    let second = unanswered.after_renewal(RenewalOutcome::Unknown, later);
    assert_eq!(second, RenewalDecision::StepDown(EndReason::NotRecovered));
    for _ in 0..2 {
        let _decision = term.after_renewal(renewed_at(later), later);
    }
    assert_eq!(
        term.after_key_read(KeyState::Unknown, Some(later), later),
        RenewalDecision::StepDown(EndReason::NotRecovered)
    );
}

#[test]
fn a_renewal_in_time_needs_no_read_of_the_key() {
    let requested_at = start();
    let mut term = LeaderTerm::new(&grant(requested_at, requested_at), Fencing::Ignored);
    let renewal_sent = requested_at + Duration::from_secs(1);
    assert_eq!(
        term.after_renewal(renewed_at(renewal_sent), renewal_sent),
        RenewalDecision::Continue(term.renewed(renewal_sent))
    );
}
