//! More prompts than the engines can read in time.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, EngineStandIn};
use support::{Fleet, FleetOptions};

/// Rank from which on a request stands behind those that can be in time.
const BEHIND: u8 = 5;

/// Prompts without a shared head that come to one daemon, each a little after the one before, and how they ended.
fn overload(fleet: &mut Fleet, prompts: u32, tokens: u32) -> Vec<(Answer, Duration)> {
    overload_of(fleet, prompts, tokens, None)
}

/// The same of callers with another deadline than usual.
fn overload_of(
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
                let begun = tokio::time::Instant::now();
                let mut request = ClientRequest::prompt(&number.to_string(), "verdict", 0, tokens);
                request.deadline_ms = deadline_ms.unwrap_or(request.deadline_ms);
                let answer = client.ask(target, &request).await;
                (answer.expect("never a bare close"), begun.elapsed())
            }
        });
        join_all(asked).await
    })
}

fn ranks(engines: &[EngineStandIn]) -> Vec<u8> {
    let runs = engines.iter().flat_map(EngineStandIn::runs);
    runs.filter_map(|run| run.priority).collect()
}

fn hanging() -> Fleet {
    let fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    for engine in fleet.prefill.iter().chain(&fleet.decode) {
        engine.behave_always(Behaviour::Hang);
    }
    fleet
}

#[test]
fn prompts_that_cannot_be_in_time_stand_behind_those_that_can() {
    let mut fleet = hanging();
    overload(&mut fleet, 12, 4_000);
    let mut sent = ranks(&fleet.prefill);
    sent.extend(ranks(&fleet.decode));
    let in_time = sent.iter().filter(|rank| **rank < BEHIND).count();
    assert!((1..=5).contains(&in_time), "{sent:?}");
    assert!(sent.len() > in_time, "the others are tried all the same");
}

#[test]
fn a_prompt_that_the_engines_have_no_time_for_is_refused_at_once() {
    let mut fleet = hanging();
    let ended = overload(&mut fleet, 60, 4_000);
    let refused: Vec<_> = ended
        .iter()
        .filter(|(answer, took)| {
            answer.status == StatusCode::SERVICE_UNAVAILABLE && *took < Duration::from_millis(50)
        })
        .collect();
    assert!(refused.len() > 20, "{} of {}", refused.len(), ended.len());
    for (answer, _took) in refused {
        let pause = answer.retry_after_s().expect("when to come back");
        assert!(
            (0.1..0.7).contains(&pause),
            "a part of two seconds: {pause}"
        );
        assert!(answer.signed_by().is_none(), "nothing ran");
    }
}

#[test]
fn an_overload_leaves_nothing_behind_once_engines_answer_again() {
    let mut fleet = hanging();
    let busy = fleet.prefill[0].clone();
    overload(&mut fleet, 30, 4_000);
    busy.behave_well();
    for engine in &fleet.decode {
        engine.behave_well();
    }
    fleet.wait(Duration::from_secs(6));
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let request = ClientRequest::prompt("after", "verdict", 0, 900);
    let answer = fleet.run(async move { client.ask(target, &request).await });
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

/// Callers abandon a stream that brings nothing for two seconds, whatever time they have: the engines would read for nobody.
#[test]
fn a_prompt_whose_caller_will_have_left_is_refused_at_once() {
    let mut fleet = hanging();
    let ended = overload_of(&mut fleet, 60, 4_000, Some(20_000));
    let refused = ended.iter().filter(|(answer, took)| {
        answer.status == StatusCode::SERVICE_UNAVAILABLE && *took < Duration::from_millis(50)
    });
    let refused = refused.count();
    assert!(refused > 20, "{refused} of {}", ended.len());
}
