//! When a leader may act.

use std::time::{Duration, Instant};

use ponddrift_fleet::leadership::{CALL_TIMEOUT, Fencing, Grant, SAFETY_MARGIN, LeaderTerm};

const LIFE: Duration = Duration::from_secs(3);
const LONG_AGO: Duration = Duration::from_secs(60);

fn grant(asked: Instant, answered: Instant) -> Grant {
    Grant {
        fencing_token: 7,
        life: LIFE,
        asked,
        answered,
        last_call: asked - LONG_AGO,
    }
}

fn start() -> Instant {
    Instant::now() + LONG_AGO
}

#[test]
fn a_lease_counts_from_before_it_was_asked_for() {
    let asked = start();
    let answered = asked + Duration::from_millis(700);
    let term = LeaderTerm::new(&grant(asked, answered), Fencing::Checked);
    let last = asked + LIFE - SAFETY_MARGIN - CALL_TIMEOUT;
    assert!(term.allows_call(last - Duration::from_millis(1)));
    assert!(!term.allows_call(last), "it would arrive too late");
    assert!(term.may_have_expired(asked + LIFE - SAFETY_MARGIN));
}

#[test]
fn a_renewal_counts_from_before_it_was_asked_for() {
    let asked = start();
    let term = LeaderTerm::new(&grant(asked, asked), Fencing::Checked);
    let renewed = term.renewed(asked + Duration::from_secs(1));
    assert!(!renewed.may_have_expired(asked + LIFE));
    assert!(renewed.may_have_expired(asked + LIFE + Duration::from_secs(1) - SAFETY_MARGIN));
    assert_eq!(renewed.fencing_token, 7);
}

#[test]
fn where_fencing_tokens_are_checked_a_new_holder_acts_at_once_elsewhere_it_waits() {
    let asked = start();
    let checked = LeaderTerm::new(&grant(asked, asked), Fencing::Checked);
    assert!(checked.allows_call(asked));
    let mut ignored = LeaderTerm::new(&grant(asked, asked), Fencing::Ignored);
    ignored = ignored.renewed(asked + Duration::from_secs(3));
    assert!(!ignored.allows_call(asked + LIFE));
    assert!(ignored.allows_call(asked + LIFE + Duration::from_secs(1)));
}

/// Another may have led in between, and would seem to take turns with it.
#[test]
fn a_daemon_that_called_lately_waits_a_lease_time() {
    let asked = start();
    let lately = Grant {
        last_call: asked - Duration::from_secs(1),
        ..grant(asked, asked)
    };
    let term = LeaderTerm::new(&lately, Fencing::Checked).renewed(asked + Duration::from_secs(2));
    let first = lately.last_call + LIFE + CALL_TIMEOUT;
    assert!(!term.allows_call(first - Duration::from_millis(1)));
    assert!(term.allows_call(first));
}
