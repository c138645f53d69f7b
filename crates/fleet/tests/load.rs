//! Work in progress at engines, by how urgent it is.

mod support;

use std::sync::Arc;

use ponddrift_fleet::placement::{LoadTable, Urgency};
use support::engines;

#[test]
fn what_will_be_late_is_ahead_of_newcomers_with_half_of_one_prompt_only() {
    let mut load = LoadTable::default();
    let id = Arc::clone(&engines(1, 0)[0].id);
    load.begin(&id, 1_000.0, Urgency::InTime);
    load.begin(&id, 6_000.0, Urgency::Late);
    load.begin(&id, 2_000.0, Urgency::Late);
    let outstanding = load.outstanding(&id);
    let ahead = outstanding.tokens_ahead(Urgency::InTime);
    assert!(
        (ahead - 3_000.0).abs() < 1e-9,
        "1,000 and half of 4,000: {ahead}"
    );
    let behind = outstanding.tokens_ahead(Urgency::Late);
    assert!((behind - 9_000.0).abs() < 1e-9, "{behind}");
    assert!((outstanding.requests_ahead(Urgency::InTime) - 1.0).abs() < 1e-9);
    assert!((outstanding.requests_ahead(Urgency::Late) - 3.0).abs() < 1e-9);
}

#[test]
fn a_late_request_that_generates_holds_its_slot_against_all() {
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
fn whatever_way_requests_end_nothing_is_left_of_them() {
    for (urgency, generates) in [
        (Urgency::InTime, false),
        (Urgency::InTime, true),
        (Urgency::Late, false),
        (Urgency::Late, true),
    ] {
        let mut load = LoadTable::default();
        let id = Arc::clone(&engines(0, 1)[0].id);
        // A second one stays, so that the row is not dropped whole.
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
