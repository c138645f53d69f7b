//! Tests the outstanding work at engines by urgency.

mod support;

use std::sync::Arc;

use ponddrift_fleet::placement::{LoadTable, Urgency};
use support::engines;

#[test]
fn late_prompts_delay_new_requests_by_half_a_prompt_only() {
    let mut load = LoadTable::default();
    let id = Arc::clone(&engines(1, 0)[0].id);
    load.begin(&id, 1_000.0, Urgency::InTime);
    load.begin(&id, 6_000.0, Urgency::Late);
    load.begin(&id, 2_000.0, Urgency::Late);
    let outstanding = load.outstanding(&id);
    let ahead = outstanding.tokens_ahead(Urgency::InTime);
    assert!(
        (ahead - 3_000.0).abs() < 1e-9,
        "1,000 tokens and half of the average late prompt of 4,000: {ahead}"
    );
    let ahead_of_late = outstanding.tokens_ahead(Urgency::Late);
    assert!((ahead_of_late - 9_000.0).abs() < 1e-9, "{ahead_of_late}");
    assert!((outstanding.requests_ahead(Urgency::InTime) - 1.0).abs() < 1e-9);
    assert!((outstanding.requests_ahead(Urgency::Late) - 3.0).abs() < 1e-9);
}

#[test]
fn a_late_request_that_generates_keeps_its_slot() {
    let mut load = LoadTable::default();
    let engines = engines(0, 1);
    let id = Arc::clone(&engines[0].id);
    load.begin(&id, 500.0, Urgency::Late);
    load.prompt_read(&id, 500.0, Urgency::Late);
    load.generates(&id, Urgency::Late);
    let outstanding = load.outstanding(&id);
    assert!((outstanding.requests_ahead(Urgency::InTime) - 1.0).abs() < 1e-9);
    assert!((outstanding.generating - 1.0).abs() < 1e-9);
    let held = load.slots_held(&engines);
    assert!(
        (held - 1.0 / f64::from(engines[0].slots)).abs() < 1e-9,
        "{held}"
    );
}

#[test]
fn finished_requests_leave_no_outstanding_work() {
    for (urgency, generates) in [
        (Urgency::InTime, false),
        (Urgency::InTime, true),
        (Urgency::Late, false),
        (Urgency::Late, true),
    ] {
        let mut load = LoadTable::default();
        let id = Arc::clone(&engines(0, 1)[0].id);
        // A second request remains, so that the back end's entry is not removed.
        load.begin(&id, 0.0, Urgency::InTime);
        load.begin(&id, 700.0, urgency);
        load.prompt_read(&id, 700.0, urgency);
        if generates {
            load.generates(&id, urgency);
        }
        load.end(&id, urgency, generates);
        let left = load.outstanding(&id);
        assert!((left.requests - 1.0).abs() < 1e-9, "{left:?}");
        assert!(left.generating + left.late_waiting < 1e-9, "{left:?}");
        assert!(left.tokens_ahead(Urgency::Late) < 1e-9, "{left:?}");
    }
}
