//! Guards admission control: limits, queue order, load shedding and immediate refusals.

use std::collections::BTreeSet;
use std::time::Duration;

use bolero::check;
use indexmap::IndexMap;
use ponddrift_core::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionRefusal, AdmissionRequest,
    AdmissionSettings, DemandReport, DemandShares, LimitKind, LimitScope, Limits, TenantDemand,
    TokenBucket,
};
use ponddrift_core::{Execution, MachineId, RequestId, ServiceName, TenantName, Timestamp};

const NOW: Timestamp = Timestamp::from_millis(60_000);
const SERVICE_TIME: Duration = Duration::from_millis(100);

fn tenant(name: &str) -> TenantName {
    TenantName::new(name).unwrap()
}

fn request(serial: u128, level: u8, name: &str) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(serial),
        tenant: tenant(name),
        weight: 1,
        service: ServiceName::new("verdicts").unwrap(),
        level,
        deadline: NOW + Duration::from_secs(600),
        expected_tokens: 100,
        expected_service: SERVICE_TIME,
    }
}

fn admission(slots: u32, queue_length: usize) -> Admission {
    let settings = AdmissionSettings {
        queue_length,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(settings, 1);
    admission.handle(NOW, AdmissionEvent::CapacityChanged { slots });
    admission
}

fn arrive(
    admission: &mut Admission,
    now: Timestamp,
    request: AdmissionRequest,
) -> Vec<AdmissionAction> {
    admission.handle(now, AdmissionEvent::Arrived(request))
}

fn finish(admission: &mut Admission, serial: u128) -> Vec<AdmissionAction> {
    let id = RequestId(serial);
    admission.handle(
        NOW,
        AdmissionEvent::Finished {
            id,
            used_tokens: 100,
        },
    )
}

fn refusal(actions: &[AdmissionAction], serial: u128) -> Option<AdmissionRefusal> {
    actions.iter().find_map(|action| match action {
        AdmissionAction::Refuse(id, refusal) if id.0 == serial => Some(*refusal),
        _ => None,
    })
}

/// Finishes running requests one at a time and returns the order in which queued requests start.
fn drain(admission: &mut Admission, mut running: u128) -> Vec<u128> {
    let mut order = Vec::new();
    loop {
        let actions = finish(admission, running);
        let Some(AdmissionAction::Start(id)) = actions.first() else {
            return order;
        };
        running = id.0;
        order.push(running);
    }
}

fn with_limits(admission: &mut Admission, limits: Limits) {
    let tenants = IndexMap::from([(tenant("t"), limits)]);
    let services = IndexMap::new();
    admission.handle(NOW, AdmissionEvent::LimitsChanged { tenants, services });
}

#[test]
fn a_tenant_over_its_limit_is_refused_immediately_with_a_retry_time() {
    let cases = [
        (
            Limits {
                requests_per_second: 2,
                ..Limits::default()
            },
            4,
            LimitKind::Requests,
        ),
        (
            Limits {
                tokens_per_second: 200,
                ..Limits::default()
            },
            4,
            LimitKind::Tokens,
        ),
        (
            Limits {
                concurrency: 3,
                ..Limits::default()
            },
            3,
            LimitKind::Concurrency,
        ),
    ];
    for (limits, admitted, kind) in cases {
        let mut admission = admission(100, 10);
        with_limits(&mut admission, limits);
        for serial in 0..admitted {
            let actions = arrive(&mut admission, NOW, request(serial, 0, "t"));
            assert_eq!(actions, [AdmissionAction::Start(RequestId(serial))]);
        }
        let actions = arrive(&mut admission, NOW, request(99, 0, "t"));
        let Some(AdmissionRefusal::LimitReached {
            scope,
            limit,
            retry_after,
        }) = refusal(&actions, 99)
        else {
            panic!("expected a limit, got {actions:?}");
        };
        assert_eq!((scope, limit), (LimitScope::Tenant, kind));
        assert!(retry_after >= AdmissionSettings::default().min_retry_after);
        let other = arrive(&mut admission, NOW, request(100, 0, "other"));
        assert_eq!(other, [AdmissionAction::Start(RequestId(100))]);
        finish(&mut admission, 0);
        let later = NOW + Duration::from_secs(3);
        let actions = arrive(&mut admission, later, request(101, 0, "t"));
        assert_eq!(actions, [AdmissionAction::Start(RequestId(101))]);
    }
}

#[test]
fn a_new_concurrency_limit_counts_running_requests() {
    let mut admission = admission(100, 10);
    for serial in 0..3 {
        arrive(&mut admission, NOW, request(serial, 0, "t"));
    }
    with_limits(
        &mut admission,
        Limits {
            concurrency: 3,
            ..Limits::default()
        },
    );
    assert!(refusal(&arrive(&mut admission, NOW, request(9, 0, "t")), 9).is_some());
    finish(&mut admission, 0);
    assert!(refusal(&arrive(&mut admission, NOW, request(10, 0, "t")), 10).is_none());
}

#[test]
fn the_queue_is_ordered_by_priority_then_fairness_then_deadline() {
    let mut admission = admission(1, 100);
    arrive(&mut admission, NOW, request(0, 5, "a"));
    for serial in 10..14 {
        let mut heavy = request(serial, 1, "heavy");
        heavy.deadline = NOW + Duration::from_secs(700 - serial as u64);
        arrive(&mut admission, NOW, heavy);
    }
    arrive(&mut admission, NOW, request(20, 1, "light"));
    arrive(&mut admission, NOW, request(30, 0, "heavy"));
    arrive(&mut admission, NOW, request(40, 2, "light"));
    assert_eq!(drain(&mut admission, 0), [30, 13, 20, 12, 11, 10, 40]);
}

#[test]
fn starts_are_shared_by_weight_under_contention() {
    let mut admission = admission(1, 200);
    arrive(&mut admission, NOW, request(0, 0, "x"));
    for serial in 0..60 {
        let mut three = request(100 + serial, 0, "three");
        three.weight = 3;
        arrive(&mut admission, NOW, three);
        arrive(&mut admission, NOW, request(200 + serial, 0, "one"));
    }
    let order = drain(&mut admission, 0);
    let of_three = order[..40].iter().filter(|&&serial| serial < 200).count();
    assert!((29..=31).contains(&of_three), "{of_three} of 40");
    assert_eq!(order.len(), 120);
}

#[test]
fn a_full_queue_displaces_the_lowest_priority_immediately() {
    let mut admission = admission(1, 2);
    arrive(&mut admission, NOW, request(0, 3, "a"));
    arrive(&mut admission, NOW, request(1, 3, "a"));
    arrive(&mut admission, NOW, request(2, 3, "a"));
    let same = arrive(&mut admission, NOW, request(3, 3, "a"));
    assert!(matches!(
        refusal(&same, 3),
        Some(AdmissionRefusal::Overloaded { .. })
    ));
    let other_tenant = arrive(&mut admission, NOW, request(4, 3, "b"));
    let displaced =
        refusal(&other_tenant, 2).expect("the tenant with the larger backlog is displaced");
    assert!(matches!(displaced, AdmissionRefusal::Displaced { .. }));
    assert_eq!(displaced.execution(), Execution::NotStarted);
    let higher = arrive(&mut admission, NOW, request(5, 0, "a"));
    assert_eq!(higher.len(), 1);
    assert!(refusal(&higher, 5).is_none());
    let lower = arrive(&mut admission, NOW, request(6, 7, "c"));
    assert!(matches!(
        refusal(&lower, 6),
        Some(AdmissionRefusal::Overloaded { .. })
    ));
    assert_eq!(admission.waiting(), 2);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut admission = admission(1, 100);
    arrive(&mut admission, NOW, request(0, 0, "a"));
    for serial in 1..20 {
        arrive(&mut admission, NOW, request(serial, 0, "a"));
    }
    let mut tight = request(50, 0, "a");
    tight.deadline = NOW + Duration::from_millis(500);
    let actions = arrive(&mut admission, NOW, tight);
    let unreachable = refusal(&actions, 50).expect("refused");
    assert!(matches!(
        unreachable,
        AdmissionRefusal::DeadlineUnreachable { .. }
    ));

    let mut higher = request(51, 0, "b");
    higher.deadline = NOW + Duration::from_secs(2);
    assert_eq!(arrive(&mut admission, NOW, higher), []);
    let due = admission
        .next_tick()
        .expect("a queued request has a deadline");
    assert!(due + SERVICE_TIME <= NOW + Duration::from_secs(2) + Duration::from_micros(1));
    let actions = admission.handle(due, AdmissionEvent::Tick);
    assert!(refusal(&actions, 51).is_some());
}

#[test]
fn an_abandoned_request_leaves_the_queue_and_releases_its_limits() {
    let mut admission = admission(1, 10);
    with_limits(
        &mut admission,
        Limits {
            concurrency: 2,
            ..Limits::default()
        },
    );
    arrive(&mut admission, NOW, request(0, 0, "t"));
    arrive(&mut admission, NOW, request(1, 0, "t"));
    assert!(refusal(&arrive(&mut admission, NOW, request(2, 0, "t")), 2).is_some());
    let id = RequestId(1);
    assert_eq!(admission.handle(NOW, AdmissionEvent::Abandoned { id }), []);
    assert_eq!(admission.waiting(), 0);
    assert_eq!(arrive(&mut admission, NOW, request(3, 0, "t")), []);
}

#[test]
fn the_in_flight_limit_falls_while_requests_wait_at_back_ends() {
    let mut admission = admission(40, 10);
    let mut now = NOW;
    for _ in 0..50 {
        now = now + Duration::from_millis(300);
        let queue_wait = Duration::from_secs(1);
        admission.handle(now, AdmissionEvent::Waited { queue_wait });
    }
    assert!((1.0..=2.0).contains(&admission.in_flight_limit()));
    for serial in 0..4_000 {
        now = now + Duration::from_millis(1);
        arrive(&mut admission, now, request(serial, 0, "a"));
        let queue_wait = Duration::ZERO;
        admission.handle(now, AdmissionEvent::Waited { queue_wait });
    }
    let limit = admission.in_flight_limit();
    assert!((40.0..=80.0).contains(&limit), "{limit}");
}

#[test]
fn under_any_events_each_request_gets_one_decision_and_bounds_hold() {
    const QUEUE: usize = 5;
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut admission = admission(3, QUEUE);
        with_limits(
            &mut admission,
            Limits {
                concurrency: 4,
                tokens_per_second: 900,
                ..Limits::default()
            },
        );
        let mut now = NOW;
        let mut running = BTreeSet::new();
        let mut waiting = BTreeSet::new();
        for (serial, &(kind, choice, pause)) in steps.iter().enumerate() {
            now = now + Duration::from_millis(u64::from(pause));
            let id = RequestId(serial as u128);
            let event = match kind % 6 {
                0 | 1 => {
                    let name = ["t", "u", "v"][usize::from(choice % 3)];
                    let mut arriving = request(serial as u128, choice / 64, name);
                    arriving.deadline = now + Duration::from_millis(u64::from(choice) * 20);
                    waiting.insert(id);
                    AdmissionEvent::Arrived(arriving)
                }
                2 => match running.pop_first() {
                    Some(id) => AdmissionEvent::Finished {
                        id,
                        used_tokens: u32::from(choice),
                    },
                    None => AdmissionEvent::Tick,
                },
                3 => match waiting.pop_first() {
                    Some(id) => AdmissionEvent::Abandoned { id },
                    None => AdmissionEvent::Tick,
                },
                4 => AdmissionEvent::Waited {
                    queue_wait: Duration::from_millis(u64::from(choice) * 3),
                },
                _ => AdmissionEvent::Tick,
            };
            for action in admission.handle(now, event) {
                match action {
                    AdmissionAction::Start(id) => {
                        assert!(
                            waiting.remove(&id),
                            "a request starts only once and only while queued"
                        );
                        running.insert(id);
                    }
                    AdmissionAction::Refuse(id, refusal) => {
                        assert!(
                            waiting.remove(&id),
                            "a request is refused only once and only while queued"
                        );
                        let settings = AdmissionSettings::default();
                        let range = settings.min_retry_after..=settings.max_retry_after;
                        assert!(range.contains(&refusal.retry_after()));
                    }
                }
            }
            assert_eq!(admission.waiting(), waiting.len());
            assert_eq!(admission.in_flight(), running.len());
            assert!(waiting.len() <= QUEUE);
            assert!(running.len() <= 6);
        }
        let actions = admission.handle(now + Duration::from_secs(600), AdmissionEvent::Tick);
        let answered = actions.len();
        assert_eq!(
            answered,
            waiting.len(),
            "all queued requests are refused after their deadlines"
        );
    });
}

#[test]
fn a_bucket_allows_at_most_burst_plus_rate_plus_one_debit() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut bucket = TokenBucket::new(NOW, 50.0, 100.0);
        let mut now = NOW;
        let mut taken = 0.0;
        for &(pause, amount) in steps {
            now = now + Duration::from_millis(u64::from(pause));
            let amount = f64::from(amount);
            if bucket.allows(now, amount) {
                bucket.debit(now, amount);
                taken += amount;
            } else {
                let wait = bucket.wait(now, amount);
                assert!(
                    bucket
                        .clone()
                        .allows(now + wait + Duration::from_micros(1), amount)
                );
            }
            let allowed = 100.0 + 50.0 * now.since(NOW).as_secs_f64() + 255.0;
            assert!(taken <= allowed);
        }
    });
}

#[test]
fn shares_of_daemons_with_all_reports_add_up_to_one() {
    check!().with_type::<Vec<u8>>().for_each(|arrivals| {
        const DAEMONS: u32 = 4;
        let name = tenant("t");
        let mut daemons: Vec<DemandShares> = (0..DAEMONS)
            .map(|_| DemandShares::new(AdmissionSettings::default()))
            .collect();
        for &arrival in arrivals {
            daemons[usize::from(arrival) % DAEMONS as usize].arrived(NOW, Some(&name));
        }
        let reports: Vec<DemandReport> = daemons.iter().map(|daemon| daemon.report(NOW)).collect();
        let mut sum = 0.0;
        for (own, daemon) in daemons.iter_mut().enumerate() {
            daemon.set_live_daemons(DAEMONS);
            assert!(
                (daemon.tenant_share(NOW, &name) - 0.25).abs() < 1e-9,
                "the share is even without reports"
            );
            for (other, report) in reports
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != own)
            {
                daemon.add_report(NOW, MachineId(other as u32), report.clone());
            }
            sum += daemon.tenant_share(NOW, &name);
        }
        assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    });
}

#[test]
fn a_daemon_with_all_the_demand_gets_most_of_a_limit() {
    let mut shares = DemandShares::new(AdmissionSettings::default());
    shares.set_live_daemons(3);
    (0..20).for_each(|_| shares.arrived(NOW, Some(&tenant("t"))));
    shares.add_report(NOW, MachineId(1), DemandReport::default());
    let share_with_one_report = shares.tenant_share(NOW, &tenant("t"));
    shares.add_report(NOW, MachineId(2), DemandReport::default());
    let share_with_all_reports = shares.tenant_share(NOW, &tenant("t"));
    assert!(
        share_with_one_report > 0.6 && share_with_all_reports > 0.9,
        "{share_with_one_report} {share_with_all_reports}"
    );
    let demand = TenantDemand {
        tenant: tenant("t"),
        requests_per_second: 4.0,
    };
    let report = DemandReport {
        total_requests_per_second: 4.0,
        tenants: vec![demand],
    };
    shares.add_report(NOW, MachineId(2), report);
    assert!((shares.tenant_share(NOW, &tenant("t")) - 0.5).abs() < 0.05);
    let later = NOW + Duration::from_secs(11);
    assert!((shares.tenant_share(later, &tenant("t")) - 1.0 / 3.0).abs() < 1e-9);
}
