//! Guards against one daemon's cut paths being taken for the state of the back ends.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, ClientStandIn};
use ponddrift_simulation::{HostId, SimulationHandle};
use support::{Fleet, FleetOptions};
use tokio::time::{Instant, sleep};

/// Number of requests of one kind that show whether something was concluded from a cut path.
const REQUESTS: usize = 8;

/// How long back ends may be silent without any harm.
const LONGEST_SILENCE: Duration = Duration::from_millis(1_500);

/// Resets the connections between the groups and refuses new ones from the first to the second.
fn cut(simulation: &SimulationHandle, daemons: &[HostId], back_ends: &[HostId]) {
    simulation.reset_connections(daemons, back_ends);
    simulation.refuse_connections(daemons, back_ends);
}

fn fleet_of_three_daemons(reports_usage: bool) -> Fleet {
    Fleet::new(FleetOptions {
        daemons: 3,
        records: 3,
        prefill: 1,
        decode: 4,
        reports_usage,
        ..FleetOptions::default()
    })
}

/// Sends requests to a daemon one after the other; returns the statuses of the answers.
fn ask_repeatedly(
    fleet: &mut Fleet,
    daemon: usize,
    request: impl Fn(usize) -> ClientRequest,
) -> Vec<StatusCode> {
    let client = fleet.client.clone();
    let target = fleet.daemons[daemon].callers_address;
    let requests: Vec<ClientRequest> = (0..REQUESTS).map(request).collect();
    fleet.run(async move {
        let mut statuses = Vec::new();
        for request in requests {
            let answer = client.ask(target, &request).await.expect("a response");
            statuses.push(answer.status);
            sleep(Duration::from_millis(50)).await;
        }
        statuses
    })
}

#[test]
fn a_request_interrupted_by_refusing_paths_of_one_daemon_is_not_quarantined() {
    let mut fleet = fleet_of_three_daemons(false);
    let simulation = fleet.simulation.handle();
    let popular = |number: usize| ClientRequest {
        body: String::from("a popular question"),
        ..ClientRequest::prompt(&format!("popular-{number}"), "verdict", 0, 200)
    };
    let cut_daemon = [fleet.daemons[0].host];
    let engines = fleet.decode_hosts.clone();
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    for round in 0..6 {
        let client = fleet.client.clone();
        let target = fleet.daemons[0].callers_address;
        let cutting = async {
            sleep(Duration::from_millis(200)).await;
            cut(&simulation, &cut_daemon, &engines);
        };
        let request = popular(round);
        let asking = client.ask(target, &request);
        fleet.run(async move { futures::join!(asking, cutting) });
        simulation.heal_all();
        fleet.wait(Duration::from_secs(2));
    }
    for engine in &fleet.decode {
        engine.clear_behaviours();
    }
    fleet.wait(Duration::from_secs(8));
    for daemon in [1, 0] {
        let statuses = ask_repeatedly(&mut fleet, daemon, |number| popular(100 + number));
        assert_eq!(statuses, [StatusCode::OK; REQUESTS], "daemon {daemon}");
    }
}

/// Each daemon but the last is cut from one service only, so a peer reaches other back ends in the
/// zone although it is refused by this service.
#[test]
fn a_request_interrupted_by_paths_that_refuse_one_service_is_not_quarantined() {
    let mut fleet = fleet_of_three_daemons(false);
    let simulation = fleet.simulation.handle();
    let popular = |number: usize| ClientRequest {
        body: String::from("a popular question"),
        ..ClientRequest::plain(&format!("popular-{number}"), "fetch")
    };
    let cut_daemons = [fleet.daemons[0].host, fleet.daemons[1].host];
    let records = fleet.records_hosts.clone();
    for round in 0..6 {
        for engine in &fleet.records {
            engine.set_default_behaviour(Behaviour::Hang);
        }
        let client = fleet.client.clone();
        let target = fleet.daemons[0].callers_address;
        let cutting = async {
            sleep(Duration::from_millis(200)).await;
            cut(&simulation, &cut_daemons, &records);
        };
        let request = popular(round);
        let asking = client.ask(target, &request);
        fleet.run(async move { futures::join!(asking, cutting) });
        simulation.heal_all();
        fleet.wait(Duration::from_secs(3));
    }
    let lost_runs = fleet.metric(0, "ponddrift_runs_lost_with_engine_total");
    assert!(lost_runs == 0.0, "{lost_runs} runs counted as lost");
}

#[test]
fn back_ends_stay_in_use_at_a_daemon_whose_neighbours_lost_their_paths() {
    for is_silent in [true, false] {
        let mut fleet = fleet_of_three_daemons(false);
        let simulation = fleet.simulation.handle();
        let back_ends: Vec<HostId> = [&fleet.records_hosts, &fleet.decode_hosts]
            .into_iter()
            .flatten()
            .copied()
            .collect();
        let cut_daemons = [fleet.daemons[0].host, fleet.daemons[1].host];
        for daemon in [0, 1] {
            ask_repeatedly(&mut fleet, daemon, |number| {
                ClientRequest::plain(&format!("before-{daemon}-{number}"), "fetch")
            });
        }
        if is_silent {
            simulation.partition(&cut_daemons, &back_ends);
        } else {
            cut(&simulation, &cut_daemons, &back_ends);
        }
        for round in 0..4 {
            for daemon in [0, 1] {
                ask_repeatedly(&mut fleet, daemon, |number| {
                    ClientRequest::plain(&format!("cut-{round}-{daemon}-{number}"), "fetch")
                });
            }
        }
        let ejections = fleet.metric(2, "ponddrift_ejections_total");
        assert!(
            ejections == 0.0,
            "silent: {is_silent}: {ejections} ejections"
        );
    }
}

/// Time after the first connection that does not open within which the path must count as cut: the
/// time after which a peer is asked, and one connect timeout.
const CONCLUSION_LIMIT: Duration = Duration::from_millis(450);

#[test]
fn a_cut_path_is_found_within_a_connect_timeout_after_a_peer_was_asked() {
    for is_refused in [true, false] {
        let mut fleet = fleet_of_three_daemons(false);
        let simulation = fleet.simulation.handle();
        let cut_daemon = [fleet.daemons[0].host];
        let back_ends = fleet.back_end_hosts();
        if is_refused {
            cut(&simulation, &cut_daemon, &back_ends);
        } else {
            simulation.partition(&cut_daemon, &back_ends);
        }
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        let answer = fleet.run(async move {
            let request = ClientRequest::plain("first", "post");
            let limit = sleep(CONCLUSION_LIMIT);
            let (answer, ()) = futures::join!(client.ask(target, &request), limit);
            answer.expect("a response")
        });
        assert_eq!(answer.status, StatusCode::OK, "refused: {is_refused}");
        let cut = fleet.metric(0, "ponddrift_back_end_paths_cut_total");
        assert!(cut > 0.0, "refused: {is_refused}: no path counts as cut");
    }
}

/// How the back ends of a test fall silent.
#[derive(Debug, Clone, Copy)]
enum Silence {
    /// Their processes stand still.
    Frozen,
    /// Nothing that is sent to them or by them arrives.
    Unreachable,
}

/// Sends requests to a daemon, one every 20 ms, until `end`.
async fn ask_until(
    client: ClientStandIn,
    target: SocketAddr,
    request: impl Fn(usize) -> ClientRequest,
    end: Instant,
) {
    let mut pending = Vec::new();
    while Instant::now() < end {
        let (client, request) = (client.clone(), request(pending.len()));
        let asking = async move { client.ask(target, &request).await };
        pending.push(tokio::task::spawn_local(asking));
        sleep(Duration::from_millis(20)).await;
    }
    for call in pending {
        call.await.expect("no panic");
    }
}

/// Runs load at all daemons while most back ends are silent for some time, then for two seconds more.
fn run_load_through_silence(fleet: &mut Fleet, silence: Silence, time: Duration) {
    let simulation = fleet.simulation.handle();
    let mut silent = fleet.back_end_hosts();
    silent.retain(|host| *host != fleet.records_hosts[0]);
    let daemons: Vec<HostId> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
    let targets: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.callers_address).collect();
    let client = fleet.client.clone();
    fleet.run(async move {
        let begin = Instant::now() + Duration::from_secs(1);
        let end = begin + time + Duration::from_secs(2);
        let calls = targets.into_iter().flat_map(|target| {
            let plain =
                move |turn| ClientRequest::plain(&format!("{target}-plain-{turn}"), "fetch");
            let tag =
                move |turn| ClientRequest::prompt(&format!("{target}-tag-{turn}"), "tag", 0, 200);
            [
                ask_until(client.clone(), target, plain, end).boxed_local(),
                ask_until(client.clone(), target, tag, end).boxed_local(),
            ]
        });
        let calls = futures::future::join_all(calls.collect::<Vec<_>>());
        let falling_silent = async {
            tokio::time::sleep_until(begin).await;
            match silence {
                Silence::Frozen => silent.iter().for_each(|host| simulation.freeze(*host)),
                Silence::Unreachable => simulation.partition(&daemons, &silent),
            }
            sleep(time).await;
            match silence {
                Silence::Frozen => silent.iter().for_each(|host| simulation.thaw(*host)),
                Silence::Unreachable => simulation.heal_all(),
            }
        };
        let load = tokio::task::LocalSet::new();
        load.run_until(async { futures::join!(calls, falling_silent) })
            .await;
    });
}

#[test]
fn back_ends_that_are_silent_for_a_while_are_not_taken_for_cut_paths() {
    let step = Duration::from_millis(100);
    let mut time = Duration::from_millis(900);
    while time <= LONGEST_SILENCE {
        for silence in [Silence::Frozen, Silence::Unreachable] {
            let mut fleet = fleet_of_three_daemons(false);
            run_load_through_silence(&mut fleet, silence, time);
            for daemon in 0..3 {
                let cut = fleet.metric(daemon, "ponddrift_back_end_paths_cut_total");
                assert!(
                    cut == 0.0,
                    "{silence:?} for {time:?}: {cut} paths of daemon {daemon} counted as cut"
                );
            }
        }
        time += step;
    }
}

#[test]
fn a_leader_without_paths_to_the_engines_hands_over_to_a_daemon_with_paths() {
    let mut fleet = fleet_of_three_daemons(true);
    fleet.wait(Duration::from_secs(20));
    let leader = fleet.last_reporter();
    let simulation = fleet.simulation.handle();
    let engines: Vec<HostId> = [&fleet.prefill_hosts, &fleet.decode_hosts]
        .into_iter()
        .flatten()
        .copied()
        .collect();
    simulation.partition(&[fleet.daemons[leader].host], &engines);
    for round in 0..6 {
        ask_repeatedly(&mut fleet, leader, |number| {
            ClientRequest::prompt(&format!("cut-{round}-{number}"), "tag", 0, 200)
        });
    }
    fleet.wait(Duration::from_secs(20));
    let successor = fleet.last_reporter();
    assert_ne!(successor, leader, "the leader still reports");
    simulation.heal_all();
    fleet.wait(Duration::from_secs(20));
    assert_eq!(
        fleet.last_reporter(),
        successor,
        "the leadership does not return"
    );
}
