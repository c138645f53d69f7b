//! Machines that are suspended for seconds: their steady clock stands, all else goes on.
//!
//! The time that a suspension adds is simulated on the clock for decisions alone: timers stay as they were set, as on a
//! machine that was suspended.

mod support;

use std::time::Duration;

use futures::future::join;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, TenantText, with_tenants};
use ponddrift_serving::time::{self, notice_suspension, simulate_suspension};
use support::{Fleet, FleetOptions, configuration, routes, wait_until};
use tokio::time::{Instant, sleep};

const ALICE: TenantText = TenantText {
    name: "alice",
    api_keys: &["key-of-alice"],
    priority: None,
};

const WINDOW: Duration = Duration::from_secs(5);
const SUSPENSION: Duration = Duration::from_secs(20);

#[tokio::test(start_paused = true)]
async fn a_wait_ends_when_a_suspension_has_taken_its_time() {
    let begun = Instant::now();
    let end = time::now() + Duration::from_secs(15);
    let suspended = async {
        sleep(Duration::from_secs(1)).await;
        simulate_suspension(SUSPENSION);
        notice_suspension();
    };
    join(time::sleep_until(end), suspended).await;
    assert_eq!(begun.elapsed(), Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn a_wait_after_a_suspension_is_no_longer_than_asked() {
    simulate_suspension(SUSPENSION);
    notice_suspension();
    let begun = Instant::now();
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(begun.elapsed(), Duration::from_secs(2));
    let none = time::timeout_at(
        time::now() + Duration::from_secs(3),
        std::future::pending::<()>(),
    );
    assert_eq!(none.await, None);
    assert_eq!(begun.elapsed(), Duration::from_secs(5));
}

/// The caller of a request that waited through a suspension has no time left: it is answered at once, and not sent again.
#[test]
fn a_request_whose_deadline_passed_in_a_suspension_is_answered_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.behave_always(Behaviour::Hang);
    }
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let request = ClientRequest {
        deadline_ms: 15_000,
        ..ClientRequest::plain("1", "post")
    };
    let records = fleet.records.clone();
    let (answer, took) = fleet.run(async move {
        let asking = async {
            let answer = client.ask(target, &request).await;
            (answer, Instant::now())
        };
        let suspended = async {
            wait_until(|| records.iter().any(|engine| !engine.runs().is_empty())).await;
            simulate_suspension(SUSPENSION);
            notice_suspension();
            Instant::now()
        };
        let ((answer, answered), suspended) = join(asking, suspended).await;
        (answer, answered - suspended)
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(took < Duration::from_millis(100), "{took:?}");
    let runs: usize = fleet.records.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// A leader that was suspended for longer than its lease leads no more from its first instant awake.
#[test]
fn a_leader_that_was_suspended_beyond_its_lease_does_not_report_on_it() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        reports_usage: true,
        ..FleetOptions::default()
    });
    let text = configuration(2, &routes());
    fleet.store.put("op/config", with_tenants(&text, &[ALICE]));
    fleet.wait(Duration::from_secs(16));
    let before = fleet.provider.usage();
    let last = before.last().expect("it reports").clone();
    let fence_before = last.fence;
    let right_before_the_next = last.at + WINDOW - Duration::from_millis(50);
    fleet.run(async move { tokio::time::sleep_until(right_before_the_next).await });
    simulate_suspension(SUSPENSION);
    fleet.store.let_leases_run_out();
    fleet.wait(Duration::from_secs(30));
    let reports = fleet.provider.usage();
    let after = &reports[before.len()..];
    assert!(!after.is_empty(), "somebody reports again");
    for report in after {
        assert!(report.fence > fence_before, "{report:?}");
    }
}
