//! The shared retry pool of a fleet in which each daemon earns only a fraction of a retry.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest};
use support::{Fleet, FleetOptions};

/// More daemons than the `retry.budget_slack` of the test settings.
const DAEMONS: u8 = 40;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: DAEMONS,
        ..FleetOptions::default()
    });
    fleet.wait(Duration::from_secs(3));
    fleet
}

#[test]
fn a_daemon_with_little_budget_uses_the_retries_that_others_earned() {
    let mut fleet = fleet();
    // Each daemon earns a sixth of a retry.
    assert_eq!(fleet.ask_each_daemon("good"), usize::from(DAEMONS));
    fleet.wait(Duration::from_millis(1_500));
    fleet.records[0].queue_behaviours(&[Behaviour::Fail, Behaviour::Fail]);
    assert_eq!(fleet.ask_each_daemon("bad"), usize::from(DAEMONS));
}

#[test]
fn retries_of_all_daemons_stay_within_the_earned_budget_while_every_back_end_fails() {
    let mut fleet = fleet();
    assert_eq!(fleet.ask_each_daemon("good"), usize::from(DAEMONS));
    fleet.wait(Duration::from_millis(1_500));
    for engine in &fleet.records {
        engine.set_default_behaviour(Behaviour::Fail);
    }
    let runs_before: usize = fleet.records.iter().map(|engine| engine.runs().len()).sum();
    for round in 0..5 {
        assert_eq!(fleet.ask_each_daemon(&format!("bad-{round}")), 0);
    }
    let runs_after: usize = fleet.records.iter().map(|engine| engine.runs().len()).sum();
    let requests = usize::from(DAEMONS) * 5;
    let retries = runs_after - runs_before - requests;
    // 0.16 of the requests so far. The slack of 20 must not be added: no daemon has saved it up.
    assert!((1..=38).contains(&retries), "{retries} retries");
}

#[test]
fn a_caller_gets_the_first_response_if_the_daemon_that_holds_the_pool_is_gone() {
    let mut fleet = fleet();
    assert_eq!(fleet.ask_each_daemon("good"), usize::from(DAEMONS));
    fleet.wait(Duration::from_millis(1_500));
    let handle = fleet.simulation.handle();
    for daemon in &fleet.daemons[1..] {
        handle.freeze(daemon.host);
    }
    for engine in &fleet.records {
        engine.set_default_behaviour(Behaviour::Fail);
    }
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let request = ClientRequest::plain("alone", "fetch");
    let answer = fleet.run(async move { client.ask(target, &request).await });
    let status = answer.map(|answer| answer.status);
    assert_eq!(status, Some(StatusCode::INTERNAL_SERVER_ERROR));
}
