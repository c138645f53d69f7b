//! Machines that are suspended for seconds: their monotonic clock stops while other hosts go on.
//!
//! `simulate_suspension` only moves the clock used for decisions. Timers keep their settings, as on
//! a machine that was suspended.

mod support;

use std::time::Duration;

use futures::future::join;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, TenantConfig, with_tenants};
use ponddrift_serving::time::{self, detect_suspension, simulate_suspension};
use support::{Fleet, FleetOptions, configuration, routes, wait_until};
use tokio::time::{Instant, sleep};

const ALICE: TenantConfig = TenantConfig {
    name: "alice",
    api_keys: &["key-of-alice"],
    priority: None,
};

const WINDOW: Duration = Duration::from_secs(5);
const SUSPENSION: Duration = Duration::from_secs(20);

#[tokio::test(start_paused = true)]
async fn a_wait_ends_when_its_deadline_passed_during_a_suspension() {
    let started_at = Instant::now();
    let deadline = time::now() + Duration::from_secs(15);
    let suspension = async {
        sleep(Duration::from_secs(1)).await;
        simulate_suspension(SUSPENSION);
        detect_suspension();
    };
    join(time::sleep_until(deadline), suspension).await;
    assert_eq!(started_at.elapsed(), Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_begins_after_a_suspension_has_its_normal_length() {
    simulate_suspension(SUSPENSION);
    detect_suspension();
    let started_at = Instant::now();
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(started_at.elapsed(), Duration::from_secs(2));
    let timeout = time::timeout_at(
        time::now() + Duration::from_secs(3),
        std::future::pending::<()>(),
    );
    assert_eq!(timeout.await, None);
    assert_eq!(started_at.elapsed(), Duration::from_secs(5));
}

/// A request whose deadline passed during a suspension must be answered at once and not retried.
#[test]
fn a_request_whose_deadline_passed_during_a_suspension_is_answered_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let request = ClientRequest {
        deadline_ms: 15_000,
        ..ClientRequest::plain("1", "post")
    };
    let records = fleet.records.clone();
    let (answer, took) = fleet.run(async move {
        let request_sent = async {
            let answer = client.ask(target, &request).await;
            (answer, Instant::now())
        };
        let suspension = async {
            wait_until(|| records.iter().any(|engine| !engine.runs().is_empty())).await;
            simulate_suspension(SUSPENSION);
            detect_suspension();
            Instant::now()
        };
        let ((answer, answered_at), suspension) = join(request_sent, suspension).await;
        (answer, answered_at - suspension)
    });
    let answer = answer.expect("a response");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(took < Duration::from_millis(100), "{took:?}");
    let runs: usize = fleet.records.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// A leader that was suspended for longer than its lease must not act as leader after it resumes.
#[test]
fn a_leader_suspended_for_longer_than_its_lease_does_not_report_with_it() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        reports_usage: true,
        ..FleetOptions::default()
    });
    let text = configuration(2, &routes());
    fleet.store.put("op/config", with_tenants(&text, &[ALICE]));
    fleet.wait(Duration::from_secs(16));
    let earlier_reports = fleet.provider.usage();
    let last = earlier_reports.last().expect("at least one report").clone();
    let fence_before = last.fence;
    let just_before_next_report = last.at + WINDOW - Duration::from_millis(50);
    fleet.run(async move { tokio::time::sleep_until(just_before_next_report).await });
    simulate_suspension(SUSPENSION);
    fleet.store.expire_leases();
    fleet.wait(Duration::from_secs(30));
    let reports = fleet.provider.usage();
    let later_reports = &reports[earlier_reports.len()..];
    assert!(!later_reports.is_empty(), "reports continue");
    for report in later_reports {
        assert!(report.fence > fence_before, "{report:?}");
    }
}
