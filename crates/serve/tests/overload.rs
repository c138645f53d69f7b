//! More prompts than the engines can serve in time: late requests are ranked last or refused at
//! once.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, EngineStandIn};
use support::{Fleet, FleetOptions};

/// Lowest rank of a request that cannot meet its deadline; lower ranks are served first.
const LATE_RANK: u8 = 5;

/// Sends prompts without a shared prefix to one daemon, one each millisecond. Returns the response
/// and the time it took for each.
fn send_prompts(fleet: &mut Fleet, prompts: u32, tokens: u32) -> Vec<(Answer, Duration)> {
    send_prompts_with_deadline(fleet, prompts, tokens, None)
}

/// Like [`send_prompts`], with another deadline than the default.
fn send_prompts_with_deadline(
    fleet: &mut Fleet,
    prompts: u32,
    tokens: u32,
    deadline_ms: Option<u64>,
) -> Vec<(Answer, Duration)> {
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    fleet.run(async move {
        let asked = (0..prompts).map(|number| {
            let client = client.clone();
            async move {
                tokio::time::sleep(Duration::from_millis(u64::from(number))).await;
                let started_at = tokio::time::Instant::now();
                let mut request = ClientRequest::prompt(&number.to_string(), "verdict", 0, tokens);
                request.deadline_ms = deadline_ms.unwrap_or(request.deadline_ms);
                let answer = client.ask(target, &request).await;
                (
                    answer.expect("a response, not a closed connection"),
                    started_at.elapsed(),
                )
            }
        });
        join_all(asked).await
    })
}

fn ranks(engines: &[EngineStandIn]) -> Vec<u8> {
    let runs = engines.iter().flat_map(EngineStandIn::runs);
    runs.filter_map(|run| run.priority).collect()
}

fn fleet_with_hanging_engines() -> Fleet {
    let fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    for engine in fleet.prefill.iter().chain(&fleet.decode) {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    fleet
}

#[test]
fn prompts_that_cannot_meet_their_deadline_rank_behind_those_that_can() {
    let mut fleet = fleet_with_hanging_engines();
    send_prompts(&mut fleet, 12, 4_000);
    let mut sent_ranks = ranks(&fleet.prefill);
    sent_ranks.extend(ranks(&fleet.decode));
    let in_time = sent_ranks.iter().filter(|rank| **rank < LATE_RANK).count();
    assert!((1..=5).contains(&in_time), "{sent_ranks:?}");
    assert!(sent_ranks.len() > in_time, "the others are sent as well");
}

#[test]
fn a_prompt_that_the_engines_cannot_serve_in_time_is_refused_at_once() {
    let mut fleet = fleet_with_hanging_engines();
    let responses = send_prompts(&mut fleet, 60, 4_000);
    let refused: Vec<_> = responses
        .iter()
        .filter(|(answer, took)| {
            answer.status == StatusCode::SERVICE_UNAVAILABLE && *took < Duration::from_millis(50)
        })
        .collect();
    assert!(
        refused.len() > 20,
        "{} of {}",
        refused.len(),
        responses.len()
    );
    for (answer, _took) in refused {
        let retry_after_s = answer.retry_after_s().expect("a Retry-After header");
        assert!(
            (0.1..0.7).contains(&retry_after_s),
            "a fraction of the deadline of two seconds: {retry_after_s}"
        );
        assert!(answer.signed_by().is_none(), "no engine ran it");
    }
}

#[test]
fn requests_are_served_again_after_an_overload() {
    let mut fleet = fleet_with_hanging_engines();
    let prefill_engine = fleet.prefill[0].clone();
    send_prompts(&mut fleet, 30, 4_000);
    prefill_engine.clear_behaviours();
    for engine in &fleet.decode {
        engine.clear_behaviours();
    }
    fleet.wait(Duration::from_secs(6));
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let request = ClientRequest::prompt("after", "verdict", 0, 900);
    let answer = fleet.run(async move { client.ask(target, &request).await });
    assert_eq!(answer.expect("a response").status, StatusCode::OK);
}

/// Callers abandon a stream without data for two seconds, even if their deadline is later. Engines
/// must not prefill prompts whose callers will have left by then.
#[test]
fn a_prompt_whose_caller_would_leave_before_the_first_token_is_refused_at_once() {
    let mut fleet = fleet_with_hanging_engines();
    let responses = send_prompts_with_deadline(&mut fleet, 60, 4_000, Some(20_000));
    let refused = responses.iter().filter(|(answer, took)| {
        answer.status == StatusCode::SERVICE_UNAVAILABLE && *took < Duration::from_millis(50)
    });
    let refused = refused.count();
    assert!(refused > 20, "{refused} of {}", responses.len());
}
