//! Requests through a daemon on a simulated platform: what runs, how often, and what callers
//! receive.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, EngineStandIn, RunEnd};
use support::{Fleet, FleetOptions, routes};

fn total_runs(engines: &[EngineStandIn]) -> usize {
    engines.iter().map(|engine| engine.runs().len()).sum()
}

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> ponddrift_platform_stand_ins::Answer {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet
        .run(async move { client.ask(target, request).await })
        .expect("a response, not a closed connection")
}

#[test]
fn a_daemon_without_a_configuration_is_not_ready_and_refuses_requests() {
    let mut fleet = Fleet::without_configuration(FleetOptions::default());
    let (client, daemon) = (fleet.client.clone(), fleet.daemons[0].clone());
    let readiness =
        fleet.run(async move { client.status(daemon.readiness_address, "/readiness").await });
    assert_eq!(readiness, Some(StatusCode::SERVICE_UNAVAILABLE));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        answer.retry_after_s().is_some(),
        "a Retry-After header is set"
    );
    assert_eq!(total_runs(&fleet.records), 0);
}

#[test]
fn plain_responses_are_passed_on_unchanged() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let (client, daemon) = (fleet.client.clone(), fleet.daemons[0].clone());
    let readiness =
        fleet.run(async move { client.status(daemon.readiness_address, "/readiness").await });
    assert_eq!(readiness, Some(StatusCode::OK));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
    assert_eq!(answer.status, StatusCode::OK);
    let engine = answer.signed_by().expect("signed");
    assert_eq!(answer.text(), format!("answer of {engine} to 1"));
    assert_eq!(total_runs(&fleet.records), 1);
}

#[test]
fn a_request_without_a_route_gets_404() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "nowhere"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[test]
fn an_unsafe_request_runs_once_even_if_its_response_is_lost_or_invalid() {
    for behaviour in [
        Behaviour::DropAnswer,
        Behaviour::TruncateAnswer,
        Behaviour::AnswerWrongRequest,
    ] {
        let mut fleet = Fleet::new(FleetOptions::default());
        for engine in &fleet.records {
            engine.set_default_behaviour(behaviour);
        }
        let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert_eq!(total_runs(&fleet.records), 1, "{behaviour:?}");
    }
}

#[test]
fn an_unsafe_request_that_hangs_gets_504_at_its_deadline() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(total_runs(&fleet.records), 1);
}

#[test]
fn a_rejected_request_goes_to_another_back_end_and_runs_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    build_up_retry_budget(&mut fleet, "fetch", 12);
    let runs_before = total_runs(&fleet.records);
    fleet.records[0].queue_behaviours(&[Behaviour::Refuse]);
    fleet.records[1].queue_behaviours(&[Behaviour::Refuse]);
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(total_runs(&fleet.records), runs_before);
    fleet.records[0].queue_behaviours(&[Behaviour::Refuse]);
    let answers = [
        ask(&mut fleet, &ClientRequest::plain("2", "post")),
        ask(&mut fleet, &ClientRequest::plain("3", "post")),
    ];
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(total_runs(&fleet.records), runs_before + 2);
}

/// Sends requests that add to the retry budget.
fn build_up_retry_budget(fleet: &mut Fleet, route: &'static str, requests: usize) {
    for number in 0..requests {
        let answer = ask(
            fleet,
            &ClientRequest::plain(&format!("warm-{number}"), route),
        );
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[test]
fn a_failed_run_is_retried_elsewhere_only_if_the_route_allows_it() {
    let mut fleet = Fleet::new(FleetOptions::default());
    build_up_retry_budget(&mut fleet, "fetch", 12);
    fleet.records[0].set_default_behaviour(Behaviour::Fail);
    for number in 0..6 {
        let answer = ask(
            &mut fleet,
            &ClientRequest::plain(&format!("safe-{number}"), "fetch"),
        );
        assert_eq!(answer.status, StatusCode::OK);
    }
    fleet.records[1].set_default_behaviour(Behaviour::Fail);
    let runs_before = total_runs(&fleet.records);
    let answer = ask(&mut fleet, &ClientRequest::plain("once", "post"));
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(answer.signed_by().is_some(), "the response of the back end");
    assert_eq!(total_runs(&fleet.records), runs_before + 1);
}

#[test]
fn retries_stay_within_the_budget_while_every_back_end_fails() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.set_default_behaviour(Behaviour::Fail);
    }
    const REQUESTS: usize = 60;
    for number in 0..REQUESTS {
        ask(
            &mut fleet,
            &ClientRequest::plain(&number.to_string(), "fetch"),
        );
    }
    let retries = total_runs(&fleet.records) - REQUESTS;
    assert!(retries <= REQUESTS / 5, "{retries} retries");
    assert!(retries > 0, "the budget is used");
}

#[test]
fn a_disconnected_caller_cancels_the_run_at_its_back_end() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    for engine in fleet.records.iter().chain(&fleet.decode) {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    fleet.run(async move {
        let plain_request = ClientRequest::plain("1", "post");
        let disconnect_after = Duration::from_millis(100);
        client
            .ask_then_disconnect(target, &plain_request, disconnect_after)
            .await;
        let stream_request = ClientRequest::prompt("2", "tag", 40, 200);
        client
            .ask_then_disconnect(target, &stream_request, disconnect_after)
            .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    for engines in [&fleet.records, &fleet.decode] {
        let runs: Vec<_> = engines.iter().flat_map(EngineStandIn::runs).collect();
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].end, RunEnd::Cancelled);
    }
}

#[test]
fn a_caller_that_disconnects_during_a_stream_cancels_the_run_at_its_engine() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: 50,
            gap_ms: 40,
        });
    }
    fleet.run(async move {
        let stream_request = ClientRequest::prompt("2", "verdict", 40, 200);
        let disconnect_after = Duration::from_millis(300);
        client
            .ask_then_disconnect(target, &stream_request, disconnect_after)
            .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    let runs: Vec<_> = fleet.decode.iter().flat_map(EngineStandIn::runs).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].end, RunEnd::Cancelled);
}

#[test]
fn forwarded_deadlines_never_exceed_the_remaining_time() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let mut request = ClientRequest::plain("1", "post");
    request.deadline_ms = 700;
    ask(&mut fleet, &request);
    request.id = String::from("2");
    request.deadline_ms = 60_000;
    ask(&mut fleet, &request);
    let mut runs: Vec<_> = fleet.records.iter().flat_map(EngineStandIn::runs).collect();
    runs.sort_by(|left, right| left.request.cmp(&right.request));
    assert!(runs[0].deadline_ms.expect("set") <= 700);
    let timeout = routes()[0].timeout_ms;
    assert!(runs[1].deadline_ms.expect("set") <= timeout);
}

#[test]
fn a_split_route_distributes_requests_by_weight() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let (other_engine, _host) = fleet.add_engine("others", None);
    let mut split_routes = routes();
    split_routes[1].split = vec![("records", 75), ("others", 25)];
    let text = support::configuration(2, &split_routes);
    let mut value: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let mut service = value["services"][0].clone();
    service["name"] = serde_json::json!("others");
    let services = value["services"]
        .as_array_mut()
        .expect("a list of services");
    services.push(service);
    fleet.store.put("op/config", value.to_string());
    fleet.wait(Duration::from_millis(100));
    for number in 0..40 {
        let answer = ask(
            &mut fleet,
            &ClientRequest::plain(&number.to_string(), "fetch"),
        );
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(other_engine.runs().len(), 10);
    assert_eq!(total_runs(&fleet.records), 30);
}

#[test]
fn a_daemon_at_its_request_limit_refuses_at_once_and_nothing_runs() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    let response = fleet.run(async move {
        for number in 0..support::MAX_REQUESTS_IN_PROGRESS {
            let client = client.clone();
            let request = ClientRequest::plain(&format!("held-{number}"), "post");
            tokio::task::spawn_local(async move { client.ask(target, &request).await });
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        client
            .ask(target, &ClientRequest::plain("late", "post"))
            .await
    });
    let response = response.expect("a response, not a closed connection");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after_s().is_some());
    let runs = fleet.records.iter().flat_map(EngineStandIn::runs);
    assert!(runs.into_iter().all(|run| run.request != "late"));
}

#[test]
fn request_headers_and_bodies_above_the_configured_limits_are_refused() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let long_headers = ClientRequest {
        padding: 20_000,
        ..ClientRequest::plain("1", "post")
    };
    let answer = ask(&mut fleet, &long_headers);
    assert_eq!(answer.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    let long_body = ClientRequest {
        body: "x".repeat(70_000),
        ..ClientRequest::plain("2", "post")
    };
    assert_eq!(
        ask(&mut fleet, &long_body).status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
    assert_eq!(total_runs(&fleet.records), 0);
}

#[test]
fn deadlines_too_short_for_a_back_end_do_not_eject_it() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for number in 0..20 {
        let mut request = ClientRequest::plain(&number.to_string(), "post");
        request.deadline_ms = 35;
        ask(&mut fleet, &request);
        let mut request = ClientRequest::prompt(&format!("p{number}"), "verdict", 40, 200);
        request.deadline_ms = 35;
        ask(&mut fleet, &request);
    }
    let (client, daemon) = (fleet.client.clone(), fleet.daemons[0].clone());
    let metrics = fleet.run(async move { client.text(daemon.readiness_address, "/metrics").await });
    let metrics = metrics.expect("metrics");
    assert!(metrics.contains("ponddrift_ejections_total 0"), "{metrics}");
}
