//! Guards retry decisions: only where allowed, before the deadline and within the budget.

use std::time::Duration;

use bolero::check;
use ponddrift_core::random::seeded;
use ponddrift_core::retry::{
    AttemptFailure, AttemptOutcome, ExecutionRecord, GiveUpReason, RequestFacts, RetryBudget,
    RetryBudgetSettings, RetryDecision, RetryPolicy, RetrySettings,
};
use ponddrift_core::routing::{Eligibility, OutlierDetector, OutlierGroup, OutlierSettings};
use ponddrift_core::{Execution, MachineId, Timestamp, ZoneName};
use rand::RngExt;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn failed(failure: AttemptFailure) -> AttemptOutcome {
    AttemptOutcome {
        back_end: MachineId(4),
        zone: ZoneName::new("a").unwrap(),
        failure,
    }
}

fn facts(repeatable: bool) -> RequestFacts {
    RequestFacts {
        repeatable,
        first_byte_sent: false,
        deadline: NOW + Duration::from_secs(10),
        expected_service: Duration::from_secs(1),
        earlier: ExecutionRecord::default(),
    }
}

fn policy() -> RetryPolicy {
    RetryPolicy::new(RetrySettings::default(), 1)
}

fn gives_up(reason: GiveUpReason, execution: Execution) -> RetryDecision {
    RetryDecision::GiveUp { reason, execution }
}

#[test]
fn a_repeatable_request_is_retried_on_another_back_end() {
    let decision = policy().decide(NOW, &failed(AttemptFailure::TimedOut), &facts(true));
    let RetryDecision::Retry {
        after,
        exclude,
        avoid_zone,
    } = decision
    else {
        panic!("expected a retry");
    };
    assert!(after <= RetrySettings::default().base_delay);
    assert_eq!(exclude, MachineId(4));
    assert_eq!(avoid_zone, Some(ZoneName::new("a").unwrap()));
}

#[test]
fn a_non_repeatable_request_is_retried_only_if_it_did_not_run() {
    for failure in [AttemptFailure::NotSent, AttemptFailure::RefusedNotRun] {
        let decision = policy().decide(NOW, &failed(failure), &facts(false));
        assert!(matches!(decision, RetryDecision::Retry { .. }));
    }
    let unknown = [
        AttemptFailure::ErrorStatus { status: 500 },
        AttemptFailure::TimedOut,
        AttemptFailure::ConnectionLost,
        AttemptFailure::AnswerBroken,
    ];
    for failure in unknown {
        let decision = policy().decide(NOW, &failed(failure), &facts(false));
        assert_eq!(
            decision,
            gives_up(GiveUpReason::NotRepeatable, Execution::Unknown)
        );
    }
    let mut after_unknown = facts(false);
    after_unknown.earlier = ExecutionRecord::default().with(Execution::Unknown);
    let decision = policy().decide(NOW, &failed(AttemptFailure::NotSent), &after_unknown);
    assert_eq!(
        decision,
        gives_up(GiveUpReason::NotRepeatable, Execution::Unknown)
    );
}

#[test]
fn nothing_is_retried_after_the_first_byte_or_without_time_or_attempts() {
    let not_sent = failed(AttemptFailure::NotSent);
    let mut forwarded = facts(true);
    forwarded.first_byte_sent = true;
    let decision = policy().decide(NOW, &not_sent, &forwarded);
    assert_eq!(
        decision,
        gives_up(GiveUpReason::FirstByteSent, Execution::NotStarted)
    );

    let mut late = facts(true);
    late.deadline = NOW + Duration::from_millis(900);
    let decision = policy().decide(NOW, &not_sent, &late);
    assert_eq!(
        decision,
        gives_up(GiveUpReason::DeadlineTooNear, Execution::NotStarted)
    );

    let mut exhausted = facts(true);
    exhausted.earlier = ExecutionRecord::default()
        .with(Execution::NotStarted)
        .with(Execution::Unknown);
    let decision = policy().decide(NOW, &not_sent, &exhausted);
    assert_eq!(
        decision,
        gives_up(GiveUpReason::AttemptsUsed, Execution::Unknown)
    );
}

#[test]
fn the_budget_is_exhausted_without_successes_and_recovers_after_the_window() {
    let mut policy = policy();
    let floor = 5;
    for _ in 0..floor {
        let decision = policy.decide(NOW, &failed(AttemptFailure::NotSent), &facts(true));
        assert!(matches!(decision, RetryDecision::Retry { .. }));
    }
    let decision = policy.decide(NOW, &failed(AttemptFailure::NotSent), &facts(true));
    assert_eq!(
        decision,
        gives_up(GiveUpReason::BudgetUsed, Execution::NotStarted)
    );
    let later = NOW + Duration::from_secs(11);
    let mut in_time = facts(true);
    in_time.deadline = later + Duration::from_secs(10);
    let decision = policy.decide(later, &failed(AttemptFailure::NotSent), &in_time);
    assert!(matches!(decision, RetryDecision::Retry { .. }));
}

#[test]
fn retries_in_any_window_stay_within_the_success_share_and_the_floor() {
    let settings = RetryBudgetSettings::default();
    check!().with_type::<Vec<(bool, u16)>>().for_each(|steps| {
        let mut budget = RetryBudget::new(settings);
        let mut now = NOW;
        let (mut successes, mut retries) = (0.0, 0.0);
        for &(success, pause) in steps {
            now = now + Duration::from_micros(u64::from(pause));
            if success {
                budget.succeeded(now);
                successes += 1.0;
            } else if budget.try_consume(now) {
                retries += 1.0;
            }
            // Upper bound: the floor applies once per window, and each success counts at most once.
            let windows = 1.0 + now.since(NOW).as_secs_f64() / settings.window.as_secs_f64();
            let allowed = settings.floor * windows.ceil() + settings.share_of_successes * successes;
            assert!(retries <= allowed, "{retries} of {allowed}");
        }
    });
}

#[test]
fn not_started_is_reported_only_if_no_attempt_may_have_run() {
    check!().with_type::<Vec<bool>>().for_each(|attempts| {
        let mut record = ExecutionRecord::default();
        for &maybe_ran in attempts {
            let execution = if maybe_ran {
                Execution::Unknown
            } else {
                Execution::NotStarted
            };
            record = record.with(execution);
        }
        let certain = attempts.iter().all(|maybe_ran| !maybe_ran);
        assert_eq!(record.combined() == Execution::NotStarted, certain);
    });
}

struct Fleet {
    sends: u32,
    answered: u32,
}

/// Simulates 50 requests per second for one minute to 12 engines, 4 of which are dead.
fn simulate_a_third_dead(detects_outliers: bool) -> Fleet {
    const ENGINES: u32 = 12;
    const REQUESTS: u64 = 3_000;
    let mut random = seeded(3, "fleet");
    let mut policy = RetryPolicy::new(RetrySettings::default(), 3);
    let mut outliers = OutlierDetector::new(OutlierSettings::default());
    (0..ENGINES).for_each(|id| outliers.add(MachineId(id), OutlierGroup::Engines(None)));
    let mut fleet = Fleet {
        sends: 0,
        answered: 0,
    };
    for serial in 0..REQUESTS {
        let now = NOW + Duration::from_millis(serial * 20);
        let mut excluded = Vec::new();
        let mut request = facts(true);
        request.deadline = now + Duration::from_secs(10);
        loop {
            let back_end = MachineId(random.random_range(0..ENGINES));
            let usable = !detects_outliers
                || !matches!(
                    outliers.eligibility(now, back_end),
                    Eligibility::Ejected { .. }
                );
            if !usable || excluded.contains(&back_end) {
                continue;
            }
            fleet.sends += 1;
            outliers.record_send(now, back_end);
            if back_end.0 >= ENGINES / 3 {
                outliers.record_success(back_end);
                policy.succeeded(now);
                fleet.answered += 1;
                break;
            }
            outliers.record_failure(now, back_end);
            let mut outcome = failed(AttemptFailure::TimedOut);
            outcome.back_end = back_end;
            let decision = policy.decide(now, &outcome, &request);
            let RetryDecision::Retry { exclude, .. } = decision else {
                break;
            };
            excluded.push(exclude);
            request.earlier = request.earlier.with(outcome.failure.execution());
        }
    }
    assert!(f64::from(fleet.sends) / REQUESTS as f64 <= 1.2);
    fleet
}

#[test]
fn with_a_third_of_the_engines_dead_retries_stay_few_and_most_requests_succeed() {
    let without = simulate_a_third_dead(false);
    let with = simulate_a_third_dead(true);
    println!(
        "without outlier detection: {} sends, {} answered",
        without.sends, without.answered
    );
    println!(
        "with outlier detection: {} sends, {} answered",
        with.sends, with.answered
    );
    assert!(with.answered >= 2_950, "{} of 3000 answered", with.answered);
    assert!(with.answered > without.answered);
}
