//! Open connections that silently lose all packets, without a reset, while new connections work.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, ClientRequest};
use support::{Fleet, FleetOptions, routes};
use tokio::time::Instant;

/// Time within which a configuration change must be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> (Answer, Duration) {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet.run(async move {
        let started_at = Instant::now();
        let answer = client.ask(target, request).await;
        (
            answer.expect("a response, not a closed connection"),
            started_at.elapsed(),
        )
    })
}

/// Sends `count` requests at the same time, so that the daemon opens many connections.
fn send_concurrent_requests(fleet: &mut Fleet, count: usize) {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let requests: Vec<ClientRequest> = (0..count)
        .map(|number| ClientRequest::plain(&format!("w{number}"), "fetch"))
        .collect();
    fleet.run(async move {
        let asked = requests.iter().map(|request| client.ask(target, request));
        futures::future::join_all(asked).await;
    });
}

#[test]
fn at_most_one_request_waits_for_silent_engine_connections_and_it_is_served_elsewhere() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.set_keep_alive(60);
    }
    send_concurrent_requests(&mut fleet, 12);
    let handle = fleet.simulation.handle();
    for engine in fleet.records_hosts.clone() {
        handle.blackhole_connections(fleet.daemons[0].host, engine);
    }
    let mut slow_requests = 0;
    for number in 0..8 {
        let request = ClientRequest::plain(&format!("r{number}"), "fetch");
        let (answer, took) = ask(&mut fleet, &request);
        assert_eq!(answer.status, StatusCode::OK, "request {number}");
        slow_requests += usize::from(took > Duration::from_millis(300));
    }
    assert!(
        slow_requests <= 1,
        "{slow_requests} requests waited for silent connections"
    );
}

#[test]
fn a_daemon_with_silent_connections_to_the_store_applies_a_change_in_time() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let handle = fleet.simulation.handle();
    handle.blackhole_connections(fleet.daemons[0].host, fleet.store_host);
    let mut remaining_routes = routes();
    remaining_routes.truncate(1);
    fleet.configure(2, &remaining_routes);
    fleet.wait(APPLY_LIMIT);
    let (answer, _took) = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[test]
fn daemons_with_silent_connections_to_each_other_apply_a_change_in_time() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 4,
        ..FleetOptions::default()
    });
    let handle = fleet.simulation.handle();
    for first in fleet.daemons.clone() {
        for second in fleet.daemons.clone() {
            handle.blackhole_connections(first.host, second.host);
        }
    }
    let mut remaining_routes = routes();
    remaining_routes.truncate(1);
    fleet.configure(2, &remaining_routes);
    fleet.wait(APPLY_LIMIT);
    let (answer, _took) = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}
