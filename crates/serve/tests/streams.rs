//! Streams and prompts: separate prefill, resumed streams, and what callers see when engines fail.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, EngineStandIn};
use support::{Fleet, FleetOptions};

/// Length of a prompt that is worth a separate prefill, in tokens.
const LONG_PROMPT_TOKENS: u32 = 6_000;

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> Answer {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet
        .run(async move { client.ask(target, request).await })
        .expect("a response, not a closed connection")
}

fn event_ids(answer: &Answer) -> Vec<String> {
    answer
        .text()
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(str::to_owned)
        .collect()
}

/// Sends requests that add to the retry budget.
fn build_up_retry_budget(fleet: &mut Fleet) {
    for number in 0..30 {
        let request = ClientRequest::prompt(&format!("earn-{number}"), "tag", 40, 200);
        assert_eq!(ask(fleet, &request).status, StatusCode::OK);
    }
}

#[test]
fn a_short_prompt_goes_straight_to_a_decode_engine() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let answer = ask(&mut fleet, &ClientRequest::prompt("1", "tag", 40, 200));
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_complete);
    assert_eq!(event_ids(&answer), ["1", "2", "3", "4"]);
    assert!(fleet.prefill[0].runs().is_empty());
}

#[test]
fn a_long_prompt_is_prefilled_separately_and_decoded_from_its_handle() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let answer = ask(
        &mut fleet,
        &ClientRequest::prompt("1", "verdict", LONG_PROMPT_TOKENS, 900),
    );
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_complete);
    assert_eq!(fleet.prefill[0].runs().len(), 1);
    let runs: Vec<_> = fleet.decode.iter().flat_map(EngineStandIn::runs).collect();
    assert_eq!(runs.len(), 1);
    let source = runs[0].source.clone().expect("decoded from a handle");
    assert!(source.ends_with("/h-1"), "{source}");
    assert!(
        fleet.prefill[0].released_handles().is_empty(),
        "the decode engine took it"
    );
}

#[test]
fn without_a_prefill_engine_the_decode_engine_prefills() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.prefill[0].remove_entry(&fleet.store);
    fleet.wait(Duration::from_millis(100));
    let answer = ask(
        &mut fleet,
        &ClientRequest::prompt("1", "verdict", LONG_PROMPT_TOKENS, 900),
    );
    assert_eq!(answer.status, StatusCode::OK);
    assert!(fleet.prefill[0].runs().is_empty());
}

#[test]
fn a_failed_prefill_does_not_fail_the_request_or_count_as_a_run() {
    for behaviour in [Behaviour::Refuse, Behaviour::Fail, Behaviour::DropAnswer] {
        let mut fleet = Fleet::new(FleetOptions::default());
        build_up_retry_budget(&mut fleet);
        let before: usize = fleet.decode.iter().map(|engine| engine.runs().len()).sum();
        fleet.prefill[0].set_default_behaviour(behaviour);
        let answer = ask(
            &mut fleet,
            &ClientRequest::prompt("1", "verdict", LONG_PROMPT_TOKENS, 900),
        );
        assert_eq!(answer.status, StatusCode::OK, "{behaviour:?}");
        let after: usize = fleet.decode.iter().map(|engine| engine.runs().len()).sum();
        assert_eq!(after, before + 1, "{behaviour:?}");
    }
}

#[test]
fn a_caller_that_disconnects_between_prefill_and_decode_frees_the_handle() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    fleet.run(async move {
        let request = ClientRequest::prompt("1", "verdict", LONG_PROMPT_TOKENS, 900);
        let disconnect_after = Duration::from_millis(300);
        client
            .ask_then_disconnect(target, &request, disconnect_after)
            .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    });
    assert_eq!(fleet.prefill[0].released_handles(), ["h-1"]);
}

#[test]
fn a_resumable_stream_continues_elsewhere_without_lost_or_repeated_events() {
    let mut fleet = Fleet::new(FleetOptions::default());
    build_up_retry_budget(&mut fleet);
    for engine in &fleet.decode {
        engine.queue_behaviours(&[Behaviour::TruncateAnswer]);
    }
    // Each engine breaks off inside event 3 of its next stream and completes the one after.
    fleet.decode[0].queue_behaviours(&[Behaviour::Serve]);
    fleet.decode[1].queue_behaviours(&[Behaviour::Serve]);
    let answer = ask(&mut fleet, &ClientRequest::prompt("1", "tag", 40, 200));
    assert_eq!(answer.status, StatusCode::OK);
    let first_engine = answer
        .signed_by()
        .expect("a signature of the first engine")
        .to_owned();
    let seen = event_ids(&answer);
    assert_eq!(seen[..2], ["1", "2"], "signed by {first_engine}");
    let runs: Vec<_> = fleet
        .decode
        .iter()
        .flat_map(EngineStandIn::runs)
        .filter(|run| run.request == "1")
        .collect();
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().any(|run| run.resumed_after == Some(2)));
    assert!(
        !answer.is_complete,
        "the second run broke off too, and no third run is allowed"
    );
}

#[test]
fn a_stream_resumed_at_a_healthy_engine_is_complete() {
    let mut fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    build_up_retry_budget(&mut fleet);
    let (second, _host) = fleet.add_engine(support::MODELS, Some("decode"));
    fleet.decode[0].set_default_behaviour(Behaviour::TruncateAnswer);
    fleet.wait(Duration::from_millis(100));
    let mut resumed = 0;
    for number in 0..20 {
        let request = ClientRequest::prompt(&number.to_string(), "tag", 40, 200);
        let answer = ask(&mut fleet, &request);
        assert!(answer.is_complete);
        assert_eq!(event_ids(&answer), ["1", "2", "3", "4"]);
        if answer.signed_by() == Some("i-4") {
            resumed += 1;
        }
    }
    assert!(
        resumed > 0,
        "responses keep the headers of the first engine"
    );
    assert!(second.runs().iter().any(|run| run.resumed_after == Some(2)));
}

#[test]
fn a_broken_stream_that_must_not_be_resumed_never_looks_complete() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::TruncateAnswer);
    }
    let answer = ask(&mut fleet, &ClientRequest::prompt("1", "verdict", 40, 200));
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.is_complete);
    assert_eq!(event_ids(&answer), ["1", "2"]);
    let runs: usize = fleet.decode.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn a_prefill_engine_that_loses_power_is_replaced_before_the_caller_gives_up() {
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 2,
        ..FleetOptions::default()
    });
    build_up_retry_budget(&mut fleet);
    let prompts = |from: u32| -> Vec<ClientRequest> {
        (from..from + 8)
            .map(|number| {
                ClientRequest::prompt(&format!("p{number}"), "verdict", LONG_PROMPT_TOKENS, 900)
            })
            .collect()
    };
    for request in prompts(0) {
        assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
    }
    // Connections to both are open, so the loss of power causes no connection error.
    let used_index = usize::from(fleet.prefill[0].runs().is_empty());
    fleet
        .simulation
        .handle()
        .power_off(fleet.prefill_hosts[used_index]);
    for request in prompts(100) {
        let before = fleet.simulation.handle().elapsed();
        assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
        let took = fleet.simulation.handle().elapsed() - before;
        assert!(took < Duration::from_millis(1_500), "{took:?}");
    }
}

#[test]
fn a_slow_stream_is_not_cancelled_if_the_budget_allows_no_retry() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: 4,
            gap_ms: 700,
        });
    }
    let mut request = ClientRequest::prompt("1", "tag", 40, 200);
    request.deadline_ms = 5_000;
    let answer = ask(&mut fleet, &request);
    assert_eq!(answer.status, StatusCode::OK);
    assert!(
        answer.is_complete,
        "the budget holds no retry: {:?}",
        event_ids(&answer)
    );
    assert_eq!(event_ids(&answer), ["1", "2", "3", "4"]);
}

#[test]
fn a_stream_continues_elsewhere_after_its_engine_loses_power() {
    let mut fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    build_up_retry_budget(&mut fleet);
    fleet.decode[0].set_default_behaviour(Behaviour::Stream {
        events: 4,
        gap_ms: 200,
    });
    let (second, _host) = fleet.add_engine(support::MODELS, Some("decode"));
    second.set_default_behaviour(Behaviour::Refuse);
    fleet.wait(Duration::from_millis(100));
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    let handle = fleet.simulation.handle();
    let first_host = fleet.decode_hosts[0];
    let answer = fleet.run(async move {
        let request = ClientRequest::prompt("1", "tag", 40, 200);
        let power_loss = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            second.clear_behaviours();
            handle.power_off(first_host);
        };
        tokio::join!(client.ask(target, &request), power_loss).0
    });
    let answer = answer.expect("a response, not a closed connection");
    assert!(answer.is_complete);
    assert_eq!(event_ids(&answer), ["1", "2", "3", "4"]);
}

/// The route allows two attempts. An engine that is known to have ended is not one of them; one that
/// only fell silent is.
#[test]
fn a_stream_is_completed_after_one_engine_ended_and_the_next_fell_silent() {
    let mut fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    build_up_retry_budget(&mut fleet);
    let (second, second_host) = fleet.add_engine(support::MODELS, Some("decode"));
    let (third, _host) = fleet.add_engine(support::MODELS, Some("decode"));
    for engine in [&fleet.decode[0], &second, &third] {
        engine.set_default_behaviour(Behaviour::Stream {
            events: 8,
            gap_ms: 200,
        });
    }
    second.record(&fleet.store, "draining");
    third.record(&fleet.store, "draining");
    fleet.wait(Duration::from_millis(100));
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    let (handle, store) = (fleet.simulation.handle(), fleet.store.clone());
    let first_host = fleet.decode_hosts[0];
    let answer = fleet.run(async move {
        let mut request = ClientRequest::prompt("1", "tag", 40, 200);
        request.deadline_ms = 10_000;
        let failures = async {
            let pause = || tokio::time::sleep(Duration::from_millis(300));
            pause().await;
            second.record(&store, "ready");
            pause().await;
            handle.kill(first_host);
            pause().await;
            third.record(&store, "ready");
            pause().await;
            handle.power_off(second_host);
        };
        tokio::join!(client.ask(target, &request), failures).0
    });
    let answer = answer.expect("a response, not a closed connection");
    assert!(answer.is_complete, "{:?}", event_ids(&answer));
    let expected: Vec<String> = (1..=8).map(|id| id.to_string()).collect();
    assert_eq!(event_ids(&answer), expected);
}

#[test]
fn a_caller_that_disconnects_during_prefill_cancels_it() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.prefill[0].set_default_behaviour(Behaviour::Hang);
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    fleet.run(async move {
        let request = ClientRequest::prompt("1", "verdict", LONG_PROMPT_TOKENS, 900);
        let disconnect_after = Duration::from_millis(100);
        client
            .ask_then_disconnect(target, &request, disconnect_after)
            .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    let runs = fleet.prefill[0].runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].end, ponddrift_platform_stand_ins::RunEnd::Cancelled);
    let decode_runs: usize = fleet.decode.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(decode_runs, 0);
}

/// Prefill calls that engines reject must count against the retry budget, not only the calls that
/// follow them.
#[test]
fn rejected_prefill_calls_stay_within_the_budget() {
    const REQUESTS: usize = 60;
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 6,
        ..FleetOptions::default()
    });
    for engine in &fleet.prefill {
        engine.set_default_behaviour(Behaviour::Refuse);
    }
    for number in 0..REQUESTS {
        let request = ClientRequest::prompt(&number.to_string(), "tag", 3_000, 900);
        ask(&mut fleet, &request);
        fleet.wait(Duration::from_millis(20));
    }
    let engines = fleet.prefill.iter().chain(&fleet.decode);
    let arrivals: usize = engines
        .map(|engine| engine.rejected() + engine.runs().len())
        .sum();
    // With the budget ratio and slack of the test settings.
    let max_arrivals = REQUESTS + REQUESTS / 5 + 20;
    assert!(
        arrivals <= max_arrivals,
        "{arrivals} arrivals, {max_arrivals} at most"
    );
}

/// Guards against a handle that is sent in part, or that changes the call or the request it stands in.
#[test]
fn a_handle_that_cannot_be_sent_is_not_used() {
    let long = "x".repeat(100_000);
    let suffixes = [
        " x", "\r\nx: y", "\0", "?x=y", "#x", "%2F", "/../x", "\u{e9}", &long,
    ];
    for suffix in suffixes {
        let case = suffix.get(..4).unwrap_or(suffix);
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.prefill[0].set_handle_suffix(suffix);
        let request = ClientRequest::prompt("1", "tag", LONG_PROMPT_TOKENS, 900);
        let answer = ask(&mut fleet, &request);
        assert_eq!(answer.status, StatusCode::OK, "{case:?}");
        assert!(answer.is_complete, "{case:?}");
        assert_eq!(event_ids(&answer), ["1", "2", "3", "4"], "{case:?}");
        let prefills = fleet.prefill[0].runs();
        assert!(!prefills.is_empty(), "{case:?}: no prefill");
        let runs = fleet.decode.iter().flat_map(EngineStandIn::runs);
        let sources: Vec<_> = runs.filter_map(|run| run.source).collect();
        assert!(sources.is_empty(), "{case:?}: {} handles", sources.len());
        let released = fleet.prefill[0].released_handles();
        assert!(released.is_empty(), "{case:?}: {} releases", released.len());
        let health = fleet.metric(
            0,
            "ponddrift_attempts_total{purpose=\"prefill\",outcome=\"answer_unusable\"}",
        );
        assert!(health > 0.0, "{case:?}: the answer counts as unusable");
    }
}
