//! Open connections that go silent for good, without a reset, while new ones work.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, ClientRequest};
use support::{Fleet, FleetOptions, routes};
use tokio::time::Instant;

/// Time in which a change of the configuration is to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> (Answer, Duration) {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet.run(async move {
        let begun = Instant::now();
        let answer = client.ask(target, request).await;
        (answer.expect("never a bare close"), begun.elapsed())
    })
}

/// As many at a time as a pool holds connections.
fn ask_at_once(fleet: &mut Fleet, number: usize) {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let requests: Vec<ClientRequest> = (0..number)
        .map(|number| ClientRequest::plain(&format!("w{number}"), "fetch"))
        .collect();
    fleet.run(async move {
        let asked = requests.iter().map(|request| client.ask(target, request));
        futures::future::join_all(asked).await;
    });
}

#[test]
fn one_request_finds_out_that_an_engines_connections_are_silent_and_is_served_elsewhere() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.tell_keep_alive(60);
    }
    ask_at_once(&mut fleet, 12);
    let handle = fleet.simulation.handle();
    for engine in fleet.records_hosts.clone() {
        handle.silence_connections(fleet.daemons[0].host, engine);
    }
    let mut slow = 0;
    for number in 0..8 {
        let request = ClientRequest::plain(&format!("r{number}"), "fetch");
        let (answer, took) = ask(&mut fleet, &request);
        assert_eq!(answer.status, StatusCode::OK, "request {number}");
        slow += usize::from(took > Duration::from_millis(300));
    }
    assert!(slow <= 1, "{slow} requests waited for silent connections");
}

#[test]
fn a_daemon_whose_connections_to_the_store_are_silent_learns_of_a_change_in_time() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let handle = fleet.simulation.handle();
    handle.silence_connections(fleet.daemons[0].host, fleet.store_host);
    let mut changed = routes();
    changed.truncate(1);
    fleet.configure(2, &changed);
    fleet.wait(APPLY_LIMIT);
    let (answer, _took) = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[test]
fn daemons_whose_connections_to_each_other_are_silent_hand_changes_on_in_time() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 4,
        ..FleetOptions::default()
    });
    let handle = fleet.simulation.handle();
    for first in fleet.daemons.clone() {
        for second in fleet.daemons.clone() {
            handle.silence_connections(first.host, second.host);
        }
    }
    let mut changed = routes();
    changed.truncate(1);
    fleet.configure(2, &changed);
    fleet.wait(APPLY_LIMIT);
    let (answer, _took) = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}
