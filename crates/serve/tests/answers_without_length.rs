//! Answers that come with neither a length nor chunks and end with their connection.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, ClientRequest};
use ponddrift_runtime::BoxedStream;
use ponddrift_simulation::HostId;
use support::{Fleet, FleetOptions, MODELS, RECORDS, host_spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Time between two parts of an answer.
const PAUSE: Duration = Duration::from_millis(50);

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The connection is closed after the whole answer.
    Closed,
    /// The connection is closed after half of the last part.
    ClosedInPart,
    /// The answer stops after its first part; the test resets the connection.
    Stalled,
}

/// Answers requests with these parts.
async fn answer(mut stream: BoxedStream, parts: &[&str], end: End) -> std::io::Result<()> {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&received).to_lowercase();
    let header = |name: &str| {
        let lines = text.lines();
        let value = lines.filter_map(|line| line.strip_prefix(name)).next();
        value.unwrap_or_default().trim().to_owned()
    };
    let id = header("ponddrift-request-id:");
    let head = format!(
        "HTTP/1.1 200 OK\r\nponddrift-request-id: {id}\r\nponddrift-response-signature: s\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for (number, part) in parts.iter().enumerate() {
        sleep(PAUSE).await;
        let is_last = number + 1 == parts.len();
        let bytes = match end {
            End::ClosedInPart if is_last => &part.as_bytes()[..part.len() / 2],
            End::Stalled if number > 0 => return std::future::pending().await,
            _ => part.as_bytes(),
        };
        stream.write_all(bytes).await?;
        stream.flush().await?;
    }
    stream.shutdown().await
}

/// A fleet of one daemon whose only back end of `service` answers in this way.
fn fleet_with(service: &str, parts: &'static [&'static str], end: End) -> (Fleet, HostId) {
    let mut fleet = Fleet::new(FleetOptions {
        records: 0,
        prefill: 0,
        decode: 0,
        ..FleetOptions::default()
    });
    let address = SocketAddr::from(([10, 0, 1, 200], 8080));
    let spec = host_spec("raw", [10, 0, 1, 200]);

    let host = fleet.simulation.add_host(spec, move |runtime| async move {
        let listener = runtime
            .network
            .listen(address)
            .await
            .expect("a free address");
        loop {
            let (stream, _peer) = listener.accept().await.expect("a connection");

            runtime.spawner.spawn(Box::pin(async move {
                drop(answer(stream, parts, end).await);
            }));
        }
    });
    let stage = if service == MODELS {
        r#","stage":"decode""#
    } else {
        ""
    };
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":8,
            "state":"ready","coldRemainingMs":0,"sequence":0{stage}}}"#
    );
    fleet.store.put("servers/raw", entry);
    fleet.wait(Duration::from_millis(300));
    (fleet, host)
}

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> Option<Answer> {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet.run(async move { client.ask(target, request).await })
}

const EVENTS: [&str; 3] = [
    "id: 1\ndata: a\n\n",
    "id: 2\ndata: b\n\n",
    "id: 3\ndata: c\n\n",
];
const PIECES: [&str; 3] = ["one ", "two ", "three"];

#[test]
fn a_stream_that_ends_with_its_connection_between_events_is_whole() {
    let (mut fleet, _host) = fleet_with(MODELS, &EVENTS, End::Closed);
    for number in 0..3 {
        let request = ClientRequest::prompt(&format!("{number}"), "tag", 40, 200);
        let answer = ask(&mut fleet, &request).expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_complete);
        assert_eq!(answer.text(), EVENTS.concat());
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_broken_off() {
    for route in ["tag", "verdict"] {
        let (mut fleet, _host) = fleet_with(MODELS, &EVENTS, End::ClosedInPart);
        let request = ClientRequest::prompt("1", route, 40, 200);
        let answer = ask(&mut fleet, &request).expect("an answer");
        assert!(!answer.is_complete, "{route}");
        assert_eq!(answer.text(), EVENTS[..2].concat(), "{route}");
    }
}

#[test]
fn a_plain_answer_that_ends_with_its_connection_is_whole() {
    for route in ["fetch", "post"] {
        let (mut fleet, _host) = fleet_with(RECORDS, &PIECES, End::Closed);
        for number in 0..3 {
            let request = ClientRequest::plain(&format!("{number}"), route);
            let answer = ask(&mut fleet, &request).expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{route}");
            assert!(answer.is_complete, "{route}");
            assert_eq!(answer.text(), PIECES.concat(), "{route}");
        }
    }
}

#[test]
fn a_plain_answer_whose_connection_is_reset_is_not_whole() {
    for route in ["fetch", "post"] {
        let (mut fleet, host) = fleet_with(RECORDS, &PIECES, End::Stalled);
        let simulation = fleet.simulation.handle();
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        let daemon = fleet.daemons[0].host;
        let answer = fleet.run(async move {
            let request = ClientRequest::plain("1", route);
            let reset = async {
                sleep(PAUSE * 3).await;
                simulation.reset_connections(&[daemon], &[host]);
            };
            tokio::join!(client.ask(target, &request), reset).0
        });
        let answer = answer.expect("an answer");
        assert_ne!(answer.status, StatusCode::OK, "{route}");
    }
}
