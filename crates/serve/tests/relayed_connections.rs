//! Requests over connections that a peer relays: at most one run, cancellation, interrupted answers,
//! and failures of the peer.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, RunEnd};
use support::{Fleet, FleetOptions, host_spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// Time within which the end of a request must have reached the engine.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);
/// Port on which daemons answer queries of peers.
const PEER_PORT: u16 = 7_660;

/// Three daemons, the first of which is cut from all back ends and has noticed it.
fn fleet_with_a_cut_daemon() -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 3,
        prefill: 0,
        decode: 3,
        ..FleetOptions::default()
    });
    cut_first_daemon(&mut fleet);
    fleet
}

fn cut_first_daemon(fleet: &mut Fleet) {
    let back_ends = fleet.back_end_hosts();
    let simulation = fleet.simulation.handle();
    simulation.partition(&[fleet.daemons[0].host], &back_ends);
    for number in 0..12 {
        ask(
            fleet,
            &ClientRequest::plain(&format!("cut-{number}"), "fetch"),
        );
        ask(
            fleet,
            &ClientRequest::prompt(&format!("cut-tag-{number}"), "tag", 0, 200),
        );
    }
}

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> Answer {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet
        .run(async move { client.ask(target, request).await })
        .expect("a response")
}

/// Answers of the other two daemons to queries for relayed connections.
fn relay_answers(fleet: &mut Fleet) -> f64 {
    let name = "ponddrift_relay_answers_total";
    fleet.metric(1, name) + fleet.metric(2, name)
}

fn runs_of(fleet: &Fleet, request: &str) -> usize {
    let engines = fleet.records.iter().chain(&fleet.decode);
    let runs = engines.flat_map(|engine| engine.runs());
    runs.filter(|run| run.request == request && !run.is_prefill)
        .count()
}

#[test]
fn an_unsafe_request_runs_once_even_if_its_relayed_answer_is_lost() {
    for behaviour in [
        Behaviour::DropAnswer,
        Behaviour::TruncateAnswer,
        Behaviour::AnswerWrongRequest,
    ] {
        let mut fleet = fleet_with_a_cut_daemon();
        for engine in &fleet.records {
            engine.set_default_behaviour(behaviour);
        }
        let answer = ask(&mut fleet, &ClientRequest::plain("once", "post"));
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert_eq!(runs_of(&fleet, "once"), 1, "{behaviour:?}");
    }
}

#[test]
fn a_request_that_no_engine_ran_behind_a_relay_is_refused_as_not_run() {
    let mut fleet = fleet_with_a_cut_daemon();
    for engine in &fleet.records {
        engine.set_default_behaviour(Behaviour::Refuse);
    }
    let answer = ask(&mut fleet, &ClientRequest::plain("refused", "post"));
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(runs_of(&fleet, "refused"), 0);
}

#[test]
fn a_caller_that_leaves_ends_the_work_behind_a_relay() {
    let mut fleet = fleet_with_a_cut_daemon();
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: 100,
            gap_ms: 50,
        });
    }
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    fleet.run(async move {
        let request = ClientRequest::prompt("left", "tag", 0, 200);
        client
            .ask_then_disconnect(target, &request, Duration::from_millis(400))
            .await;
    });
    fleet.wait(CANCEL_LIMIT);
    let runs = fleet.decode.iter().flat_map(|engine| engine.runs());
    let ends: Vec<RunEnd> = runs
        .filter(|run| run.request == "left")
        .map(|run| run.end)
        .collect();
    assert_eq!(ends, [RunEnd::Cancelled]);
}

#[test]
fn a_resumable_stream_continues_when_the_relaying_daemon_is_killed() {
    for victim in [1, 2] {
        let mut fleet = fleet_with_a_cut_daemon();
        for engine in &fleet.decode {
            engine.set_default_behaviour(Behaviour::Stream {
                events: 20,
                gap_ms: 40,
            });
        }
        let simulation = fleet.simulation.handle();
        let victim_host = fleet.daemons[victim].host;
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        let answer = fleet.run(async move {
            let request = ClientRequest::prompt("stream", "tag", 0, 200);
            let killing = async {
                sleep(Duration::from_millis(300)).await;
                simulation.kill(victim_host);
            };
            let (answer, ()) = futures::join!(client.ask(target, &request), killing);
            answer.expect("a response")
        });
        assert!(answer.is_complete, "daemon {victim} killed");
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[test]
fn a_planned_stop_of_the_relaying_daemon_cuts_no_stream() {
    let mut waited_for_stream = false;
    for stopped in [1, 2] {
        let mut fleet = fleet_with_a_cut_daemon();
        for engine in &fleet.decode {
            engine.set_default_behaviour(Behaviour::Stream {
                events: 80,
                gap_ms: 50,
            });
        }
        let stopping = fleet.daemons[stopped].clone();
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        let answer = fleet.run(async move {
            let request = ClientRequest {
                deadline_ms: 4_900,
                ..ClientRequest::prompt("stream", "verdict", 0, 200)
            };
            let stop = async {
                sleep(Duration::from_millis(300)).await;
                stopping.terminate();
            };
            let (answer, ()) = futures::join!(client.ask(target, &request), stop);
            answer.expect("a response")
        });
        waited_for_stream |= !fleet.daemons[stopped].has_stopped();
        assert!(answer.is_complete, "daemon {stopped} stopped");
        assert_eq!(runs_of(&fleet, "stream"), 1);
        fleet.wait(Duration::from_secs(3));
        assert!(fleet.daemons[stopped].has_stopped(), "it stops once idle");
        for number in 0..5 {
            let request = ClientRequest::plain(&format!("after-{number}"), "post");
            assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
        }
    }
    assert!(
        waited_for_stream,
        "the relaying daemon waits for the stream"
    );
}

#[test]
fn an_unsafe_request_whose_relaying_daemon_is_killed_runs_at_most_once() {
    let mut statuses = Vec::new();
    for victim in [1, 2] {
        let mut fleet = fleet_with_a_cut_daemon();
        for engine in &fleet.records {
            engine.set_default_behaviour(Behaviour::Hang);
        }
        let simulation = fleet.simulation.handle();
        let victim_host = fleet.daemons[victim].host;
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        let answer = fleet.run(async move {
            let request = ClientRequest::plain("once", "post");
            let killing = async {
                sleep(Duration::from_millis(300)).await;
                simulation.kill(victim_host);
            };
            let (answer, ()) = futures::join!(client.ask(target, &request), killing);
            answer.expect("a response")
        });
        assert_eq!(runs_of(&fleet, "once"), 1);
        statuses.push(answer.status);
    }
    let may_have_run = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    assert!(
        statuses.iter().all(|status| may_have_run.contains(status)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&StatusCode::BAD_GATEWAY), "{statuses:?}");
}

#[test]
fn a_healed_path_is_used_again_although_nothing_was_requested_meanwhile() {
    let mut fleet = fleet_with_a_cut_daemon();
    assert!(fleet.metric(0, "ponddrift_back_end_paths_cut_total") > 0.0);
    fleet.simulation.handle().heal_all();
    fleet.wait(Duration::from_secs(3));
    let cut_now = fleet.metric(0, "ponddrift_back_end_paths_cut_now");
    assert!(cut_now == 0.0, "{cut_now} paths are still cut");
    let before = relay_answers(&mut fleet);
    assert!(before > 0.0, "connections were relayed");
    for number in 0..10 {
        let answer = ask(
            &mut fleet,
            &ClientRequest::plain(&format!("h{number}"), "fetch"),
        );
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert!(
        relay_answers(&mut fleet) == before,
        "nothing is relayed any more"
    );
}

#[test]
fn an_engine_that_is_silent_for_a_second_is_not_taken_for_a_cut_path() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 3,
        ..FleetOptions::default()
    });
    for number in 0..6 {
        ask(
            &mut fleet,
            &ClientRequest::plain(&format!("w{number}"), "fetch"),
        );
    }
    let simulation = fleet.simulation.handle();
    let silent = fleet.records_hosts[0];
    simulation.freeze(silent);
    for number in 0..10 {
        let answer = ask(
            &mut fleet,
            &ClientRequest::plain(&format!("s{number}"), "fetch"),
        );
        assert_eq!(answer.status, StatusCode::OK);
        fleet.wait(Duration::from_millis(100));
    }
    simulation.thaw(silent);
    let cuts = fleet.metric(0, "ponddrift_back_end_paths_cut_total");
    assert!(cuts == 0.0, "{cuts} paths counted as cut");
}

#[test]
fn open_connections_that_work_are_used_while_new_ones_are_refused() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 1,
        ..FleetOptions::default()
    });
    fleet.records[0].set_keep_alive(60);
    ask(&mut fleet, &ClientRequest::plain("first", "fetch"));
    let back_ends = fleet.back_end_hosts();
    let simulation = fleet.simulation.handle();
    simulation.refuse_connections(&[fleet.daemons[0].host], &back_ends);
    for number in 0..10 {
        let answer = ask(
            &mut fleet,
            &ClientRequest::plain(&format!("r{number}"), "post"),
        );
        assert_eq!(answer.status, StatusCode::OK);
    }
    let relayed = relay_answers(&mut fleet);
    assert!(relayed == 0.0, "{relayed} connections through peers");
}

#[test]
fn requests_are_served_while_one_service_or_some_back_ends_are_cut_off() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 3,
        prefill: 0,
        decode: 3,
        ..FleetOptions::default()
    });
    let some = [fleet.records_hosts[0], fleet.decode_hosts[1]];
    let one_service = fleet.records_hosts.clone();
    let simulation = fleet.simulation.handle();
    let daemon = fleet.daemons[0].host;
    for (case, cut) in [("some", &some[..]), ("one service", &one_service[..])] {
        simulation.partition(&[daemon], cut);
        fleet.wait(Duration::from_secs(1));
        for number in 0..6 {
            ask(
                &mut fleet,
                &ClientRequest::plain(&format!("{case}-{number}"), "fetch"),
            );
        }
        for number in 0..12 {
            let request = ClientRequest::plain(&format!("{case}-post-{number}"), "post");
            assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK, "{case}");
            let request = ClientRequest::prompt(&format!("{case}-tag-{number}"), "tag", 0, 200);
            assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK, "{case}");
        }
        simulation.heal_all();
    }
}

#[test]
fn invalid_queries_of_peers_are_rejected_and_counted() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 2,
        ..FleetOptions::default()
    });
    let (_host, runtime) = fleet
        .simulation
        .add_client(host_spec("stranger", [10, 0, 3, 9]));
    let target = SocketAddr::new(fleet.daemons[0].daemon_ip, PEER_PORT);
    let unknown_back_end = relay_query([10, 0, 0, 1], 7_000);
    let oversized = [0xff; 16].to_vec();
    let unknown_variant = [0, 0, 0, 1, 250].to_vec();
    let truncated = [0, 0, 0, 7, 6].to_vec();
    for bytes in [unknown_back_end, oversized, unknown_variant, truncated] {
        let runtime = runtime.clone();
        fleet.run(async move {
            let mut stream = runtime.network.connect(target).await.expect("connected");
            stream.write_all(&bytes).await.expect("written");
            stream.shutdown().await.expect("closed");
            let mut answer = Vec::new();
            let reading = stream.read_to_end(&mut answer);
            let ended = tokio::time::timeout(Duration::from_secs(3), reading).await;
            assert!(ended.is_ok(), "the daemon ends the connection");
        });
    }
    let unknown = fleet.metric(
        0,
        "ponddrift_relay_answers_total{result=\"unknown_back_end\"}",
    );
    assert!(unknown == 1.0, "{unknown} queries for an unknown back end");
    let unreadable = fleet.metric(0, "ponddrift_unreadable_peer_queries_total");
    assert!(unreadable == 3.0, "{unreadable} unreadable queries");
    let started_at = Instant::now();
    let answer = ask(&mut fleet, &ClientRequest::plain("after", "post"));
    assert_eq!(
        answer.status,
        StatusCode::OK,
        "after {:?}",
        started_at.elapsed()
    );
}

/// An encoded query for a connection to an address.
fn relay_query(ip: [u8; 4], port: u16) -> Vec<u8> {
    /// Number of the variant among the queries.
    const RELAY_VARIANT: u8 = 6;
    /// Number of the variant for an IPv4 address.
    const IPV4_VARIANT: u8 = 0;
    let mut query = vec![RELAY_VARIANT, IPV4_VARIANT];
    query.extend(ip);
    query.extend(port.to_le_bytes());
    let length = u32::try_from(query.len()).expect("short");
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(query);
    bytes
}

/// Address of the back end of [`early_answering_back_end`].
const EARLY_ADDRESS: ([u8; 4], u16) = ([10, 0, 1, 200], 8_080);

/// Answers requests whose IDs begin with `early` before it has read their bodies, with a part of an
/// answer without a length, and closes the connection. Answers others properly.
async fn answer_early(mut stream: ponddrift_runtime::BoxedStream) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let field = |name: &str| {
            let mut lines = head.lines();
            let value = lines.find_map(|line| line.strip_prefix(name));
            value.unwrap_or_default().trim().to_owned()
        };
        let id = field("ponddrift-request-id:");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nponddrift-request-id: {id}\r\nponddrift-instance-id: raw\r\n\
             ponddrift-response-signature: signed-by-raw\r\n"
        );
        if id.starts_with("early") {
            let answer = answer + "\r\na part";
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            sleep(Duration::from_millis(300)).await;
            // Closing with unread bytes resets the connection.
            return Ok(());
        }
        let length = field("content-length:").parse().unwrap_or(0);
        stream.read_exact(&mut vec![0; length]).await?;
        let answer = answer + "content-length: 0\r\n\r\n";
        if let Some((_route, bytes)) = id.split_once(CUT_AFTER) {
            let bytes = bytes.parse::<usize>().unwrap_or(0).min(answer.len() - 1);
            stream.write_all(&answer.as_bytes()[..bytes]).await?;
            return stream.shutdown().await;
        }
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// In the ID of a request, before the number of bytes of its answer's head that are written.
const CUT_AFTER: &str = "-cut-after-";

/// Three daemons, the first of which is cut from the only plain back end.
fn early_answering_back_end() -> Fleet {
    let (ip, port) = EARLY_ADDRESS;
    let address = SocketAddr::from((ip, port));
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 0,
        prefill: 0,
        decode: 3,
        ..FleetOptions::default()
    });
    let host = fleet
        .simulation
        .add_host(host_spec("raw", ip), move |runtime| async move {
            let listener = runtime.network.listen(address).await;
            let listener = listener.expect("a free address");
            loop {
                let (stream, _peer) = listener.accept().await.expect("a connection");
                runtime.spawner.spawn(Box::pin(async move {
                    drop(answer_early(stream).await);
                }));
            }
        });
    fleet.records_hosts.push(host);
    let entry = format!(
        r#"{{"service":"records","address":"{address}","zone":"a","slots":8,"state":"ready"}}"#
    );
    fleet.store.put("servers/raw", entry);
    fleet.wait(Duration::from_millis(300));
    fleet
}

/// Guards against a peer that reports a proper end of a connection although it could not forward the
/// whole request.
#[test]
fn a_relayed_answer_that_ends_before_its_request_was_written_is_not_whole() {
    /// More than the engine's window of 256 KiB; the rest fits into that of the relaying daemon.
    const UPLOAD_BYTES: usize = 400 << 10;
    let mut fleet = early_answering_back_end();
    let mut configuration: serde_json::Value =
        serde_json::from_str(&support::configuration(2, &support::routes())).expect("valid JSON");
    configuration["limits"]["maxBodyBytes"] = serde_json::json!(1 << 20);
    fleet.store.put("op/config", configuration.to_string());
    cut_first_daemon(&mut fleet);
    let relayed_before = relay_answers(&mut fleet);
    for route in ["post", "fetch"] {
        let request = ClientRequest {
            body: "x".repeat(UPLOAD_BYTES),
            ..ClientRequest::plain(&format!("early-{route}"), route)
        };
        let answer = ask(&mut fleet, &request);
        assert_eq!(
            answer.status,
            StatusCode::BAD_GATEWAY,
            "{route}: {answer:?}"
        );
    }
    assert!(relay_answers(&mut fleet) > relayed_before, "it was relayed");
}

/// Guards against a head that ends early on a connection that a peer relays.
#[test]
fn a_relayed_answer_whose_head_ends_early_is_not_passed_on() {
    let mut fleet = early_answering_back_end();
    cut_first_daemon(&mut fleet);
    let relayed_before = relay_answers(&mut fleet);
    for route in ["post", "fetch"] {
        for bytes in [0, 4, 12, 15, 17, 30, 50, 90, 120, 145, 200] {
            let id = format!("{route}{CUT_AFTER}{bytes}");
            let answer = ask(&mut fleet, &ClientRequest::plain(&id, route));
            assert!(answer.status.is_server_error(), "{id}: {answer:?}");
            assert!(answer.signed_by().is_none(), "{id}: {answer:?}");
        }
    }
    assert!(relay_answers(&mut fleet) > relayed_before, "it was relayed");
}
