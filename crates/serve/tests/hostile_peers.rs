//! Bytes that nobody asked for: surplus answers of a back end, nonsense from a peer.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::ClientRequest;
use ponddrift_runtime::{BoxedStream, Runtime};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Fleet, FleetOptions, host_spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const RAW_IP: [u8; 4] = [10, 0, 1, 200];

/// A server that sends each answer, and then another that belongs to nobody, at once or a little later.
async fn answer_twice(runtime: Runtime, pause: Duration) {
    let address = SocketAddr::from((RAW_IP, 8080));
    let listener = runtime.network.listen(address).await.expect("the address is free");
    loop {
        let (stream, _peer) = listener.accept().await.expect("accepts");
        runtime.spawner.spawn(Box::pin(serve_twice(stream, pause)));
    }
}

async fn serve_twice(mut stream: BoxedStream, pause: Duration) {
    let mut seen = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let Ok(read @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        seen.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&seen).into_owned();
        // The body of the tests' requests ends so.
        if !text.ends_with("question") {
            continue;
        }
        seen.clear();
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("ponddrift-request-id: "))
            .unwrap_or_default()
            .to_owned();
        let answer = |id: &str, body: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nponddrift-request-id: {id}\r\n\
                 ponddrift-response-signature: signed-by-raw\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let whole = answer(&id, &format!("answer to {id}"));
        if stream.write_all(whole.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
        let surplus = answer("nobody", "surplus");
        if stream.write_all(surplus.as_bytes()).await.is_err() {
            return;
        }
    }
}

#[test]
fn an_answer_behind_the_answer_reaches_no_caller() {
    for pause_ms in [0, 1, 5, 40] {
        let mut fleet = Fleet::without_configuration(FleetOptions {
            records: 0,
            ..FleetOptions::default()
        });
        fleet
            .simulation
            .add_host(host_spec("raw", RAW_IP), move |runtime| {
                answer_twice(runtime, Duration::from_millis(pause_ms))
            });
        let entry = r#"{"service":"records","address":"10.0.1.200:8080","zone":"a","slots":8,"state":"ready"}"#;
        fleet.store.put("servers/raw", entry);
        fleet.configure(1, &support::routes());
        fleet.wait(Duration::from_millis(300));
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        fleet.run(async move {
            for number in 0..20 {
                let request = ClientRequest::plain(&format!("r{number}"), "post");
                let answer = client.ask(target, &request).await.expect("a response");
                // What crosses a surplus answer may be unsure, but is never another's.
                let own = format!("answer to r{number}");
                let is_own = answer.status == StatusCode::OK && answer.text() == own;
                let is_unsure = answer.status == StatusCode::BAD_GATEWAY;
                assert!(is_own || is_unsure, "{:?} {}", answer.status, answer.text());
            }
        });
    }
}

#[test]
fn nonsense_from_a_peer_changes_nothing() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let (_host, runtime) = fleet.simulation.add_client(host_spec("stranger", [10, 0, 3, 9]));
    let peers = SocketAddr::from(([10, 0, 2, 1], 7660));
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    fleet.run(async move {
        let own = SocketAddr::from(([10, 0, 3, 9], 5000));
        let socket = runtime.network.bind_datagram(own).await.expect("the address is free");
        let mut random = Pcg64Mcg::seed_from_u64(11);
        for length in 0..600 {
            let mut bytes = vec![0; length];
            random.fill_bytes(&mut bytes);
            // Every other one claims to be of the version that is spoken.
            if let Some(first) = bytes.first_mut().filter(|_| length % 2 == 0) {
                *first = 1;
            }
            drop(socket.send_to(&bytes, peers).await);
        }
        let mut stream = runtime.network.connect(peers).await.expect("connects");
        drop(stream.write_all(&[7; 3]).await);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let request = ClientRequest::plain("after", "post");
        let answer = client.ask(target, &request).await.expect("a response");
        assert_eq!(answer.status, StatusCode::OK);
    });
}

/// A digest of the present version of messages that names a position and nothing else.
fn digest_at(position: u64) -> Vec<u8> {
    /// Version of the messages, and the number of the kind.
    const DIGEST: [u8; 2] = [5, 0];
    /// No answer of the store, and seven empty lists.
    const NOTHING_ELSE: [u8; 29] = [0; 29];
    let mut bytes = DIGEST.to_vec();
    bytes.extend_from_slice(&0_u64.to_le_bytes());
    bytes.extend_from_slice(&position.to_le_bytes());
    bytes.extend_from_slice(&NOTHING_ELSE);
    bytes
}

/// The store has never come back from a copy. Believed, each digest would make the daemon read everything and drop what it reads.
#[test]
fn a_peer_that_names_an_era_that_the_store_does_not_is_not_believed_for_long() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.store.name_era(1);
    fleet.wait(Duration::from_secs(2));
    let before = fleet.store.pages_read().len();
    let (_host, runtime) = fleet.simulation.add_client(host_spec("stranger", [10, 0, 3, 9]));
    let daemon = SocketAddr::from(([10, 0, 2, 1], 7660));
    fleet.run(async move {
        let own = SocketAddr::from(([10, 0, 3, 9], 5000));
        let socket = runtime.network.bind_datagram(own).await.expect("the address is free");
        let many_eras_ahead = 1 << 50;
        for _ in 0..24 {
            let sent = socket.send_to(&digest_at(many_eras_ahead), daemon).await;
            sent.expect("sent");
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    });
    let read = fleet.store.pages_read().len() - before;
    assert!((1..=4).contains(&read), "{read} pages in 6 s");
    fleet.configure(2, &support::routes()[..1]);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(fleet.ask_each_daemon("dropped"), 0);
}

/// Changes of the store as a build without eras publishes them: the configuration at a bare revision.
fn configuration_at(after: u64, revision: u64, configuration: &str) -> Vec<u8> {
    /// Version of the messages, and the number of the kind.
    const CHANGES: [u8; 2] = [5, 1];
    let text = |bytes: &mut Vec<u8>, text: &str| {
        let length = u32::try_from(text.len()).expect("short");
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(text.as_bytes());
    };
    let mut bytes = CHANGES.to_vec();
    bytes.extend_from_slice(&after.to_le_bytes());
    bytes.extend_from_slice(&1_u32.to_le_bytes());
    text(&mut bytes, "op/config");
    bytes.extend_from_slice(&revision.to_le_bytes());
    let has_value = 1;
    bytes.push(has_value);
    text(&mut bytes, configuration);
    bytes.extend_from_slice(&revision.to_le_bytes());
    let in_doubt = 0;
    bytes.push(in_doubt);
    bytes
}

/// While a fleet is replaced, daemons of the build before publish bare numbers. In a later era these are of an era before: what they
/// bear may be long undone.
#[test]
fn a_build_without_eras_is_heard_in_the_first_era_and_brings_nothing_older_in_a_later_one() {
    for returns in [0, 1] {
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.store.name_era(1);
        fleet.wait(Duration::from_secs(2));
        let known = fleet.store.revision();
        if returns > 0 {
            let copy = fleet.store.copy();
            fleet.store.come_back_from(&copy);
            fleet.wait(Duration::from_secs(2));
        }
        let (_host, runtime) = fleet.simulation.add_client(host_spec("stranger", [10, 0, 3, 9]));
        let daemon = SocketAddr::from(([10, 0, 2, 1], 7660));
        let dropped = support::configuration(2, &support::routes()[..1]);
        fleet.run(async move {
            let own = SocketAddr::from(([10, 0, 3, 9], 5000));
            let socket = runtime.network.bind_datagram(own).await.expect("the address is free");
            let changes = configuration_at(known, known + 1, &dropped);
            socket.send_to(&changes, daemon).await.expect("sent");
            tokio::time::sleep(Duration::from_millis(50)).await;
        });
        let serves_the_route = fleet.ask_each_daemon("route") == 1;
        assert_eq!(serves_the_route, returns > 0, "{returns} returns");
    }
}
