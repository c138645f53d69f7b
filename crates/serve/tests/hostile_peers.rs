//! Unsolicited or invalid bytes: surplus responses of a back end, and invalid or misleading
//! datagrams of a peer.

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

const SURPLUS_SERVER_IP: [u8; 4] = [10, 0, 1, 200];

/// Runs a server that sends a surplus response after each response, after a pause.
async fn run_surplus_server(runtime: Runtime, pause: Duration) {
    let address = SocketAddr::from((SURPLUS_SERVER_IP, 8080));
    let listener = runtime
        .network
        .listen(address)
        .await
        .expect("the address is free");
    loop {
        let (stream, _peer) = listener.accept().await.expect("the listener is open");
        runtime
            .spawner
            .spawn(Box::pin(serve_with_surplus(stream, pause)));
    }
}

async fn serve_with_surplus(mut stream: BoxedStream, pause: Duration) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let Ok(read @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        received.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&received).into_owned();
        // The body of each request of these tests ends like this.
        if !text.ends_with("question") {
            continue;
        }
        received.clear();
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
        let expected = answer(&id, &format!("answer to {id}"));
        if stream.write_all(expected.as_bytes()).await.is_err() {
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
fn a_surplus_response_reaches_no_caller() {
    for pause_ms in [0, 1, 5, 40] {
        let mut fleet = Fleet::without_configuration(FleetOptions {
            records: 0,
            ..FleetOptions::default()
        });
        fleet
            .simulation
            .add_host(host_spec("raw", SURPLUS_SERVER_IP), move |runtime| {
                run_surplus_server(runtime, Duration::from_millis(pause_ms))
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
                // A request that meets a surplus response may fail with 502, but never gets it as
                // its own.
                let own_text = format!("answer to r{number}");
                let is_own = answer.status == StatusCode::OK && answer.text() == own_text;
                let is_bad_gateway = answer.status == StatusCode::BAD_GATEWAY;
                assert!(
                    is_own || is_bad_gateway,
                    "{:?} {}",
                    answer.status,
                    answer.text()
                );
            }
        });
    }
}

#[test]
fn random_bytes_from_a_peer_have_no_effect() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let (_host, runtime) = fleet
        .simulation
        .add_client(host_spec("stranger", [10, 0, 3, 9]));
    let daemon_peers_address = SocketAddr::from(([10, 0, 2, 1], 7660));
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    fleet.run(async move {
        let local_address = SocketAddr::from(([10, 0, 3, 9], 5000));
        let socket = runtime
            .network
            .bind_datagram(local_address)
            .await
            .expect("the address is free");
        let mut random = Pcg64Mcg::seed_from_u64(11);
        for length in 0..600 {
            let mut bytes = vec![0; length];
            random.fill_bytes(&mut bytes);
            // Every second datagram begins with a valid protocol version.
            if let Some(first) = bytes.first_mut().filter(|_| length % 2 == 0) {
                *first = 1;
            }
            drop(socket.send_to(&bytes, daemon_peers_address).await);
        }
        let mut stream = runtime
            .network
            .connect(daemon_peers_address)
            .await
            .expect("the daemon listens");
        drop(stream.write_all(&[7; 3]).await);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let request = ClientRequest::plain("after", "post");
        let answer = client.ask(target, &request).await.expect("a response");
        assert_eq!(answer.status, StatusCode::OK);
    });
}

/// Encodes a digest message that contains only a store position.
fn encode_digest(position: u64) -> Vec<u8> {
    /// Message version and message kind.
    const DIGEST: [u8; 2] = [5, 0];
    /// No response of the store, and seven empty lists.
    const NOTHING_ELSE: [u8; 29] = [0; 29];
    let mut bytes = DIGEST.to_vec();
    bytes.extend_from_slice(&0_u64.to_le_bytes());
    bytes.extend_from_slice(&position.to_le_bytes());
    bytes.extend_from_slice(&NOTHING_ELSE);
    bytes
}

/// A forged digest that names a future era must not make the daemon read the whole store again and
/// again, or ignore the changes that it reads.
#[test]
fn an_era_that_only_a_peer_names_has_no_lasting_effect() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.store.set_era(1);
    fleet.wait(Duration::from_secs(2));
    let before = fleet.store.pages_read().len();
    let (_host, runtime) = fleet
        .simulation
        .add_client(host_spec("stranger", [10, 0, 3, 9]));
    let daemon = SocketAddr::from(([10, 0, 2, 1], 7660));
    fleet.run(async move {
        let local_address = SocketAddr::from(([10, 0, 3, 9], 5000));
        let socket = runtime
            .network
            .bind_datagram(local_address)
            .await
            .expect("the address is free");
        let future_position = 1 << 50;
        for _ in 0..24 {
            let sent = socket
                .send_to(&encode_digest(future_position), daemon)
                .await;
            sent.expect("the datagram is sent");
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    });
    let read = fleet.store.pages_read().len() - before;
    assert!((1..=4).contains(&read), "{read} pages in 6 s");
    fleet.configure(2, &support::routes()[..1]);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(fleet.ask_each_daemon("dropped"), 0);
}

/// Encodes a change of the configuration as a build without eras sends it: the revision names no
/// era.
fn encode_configuration_change(after: u64, revision: u64, configuration: &str) -> Vec<u8> {
    /// Message version and message kind.
    const CHANGES: [u8; 2] = [5, 1];
    let push_text = |bytes: &mut Vec<u8>, text: &str| {
        let length = u32::try_from(text.len()).expect("a short text");
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(text.as_bytes());
    };
    let mut bytes = CHANGES.to_vec();
    bytes.extend_from_slice(&after.to_le_bytes());
    bytes.extend_from_slice(&1_u32.to_le_bytes());
    push_text(&mut bytes, "op/config");
    bytes.extend_from_slice(&revision.to_le_bytes());
    let has_value = 1;
    bytes.push(has_value);
    push_text(&mut bytes, configuration);
    bytes.extend_from_slice(&revision.to_le_bytes());
    let in_doubt = 0;
    bytes.push(in_doubt);
    bytes
}

/// During a rolling upgrade, daemons of the older build send revisions without an era. They belong
/// to the first era, so in a later era they must not undo newer changes.
#[test]
fn changes_from_a_build_without_eras_apply_only_in_the_first_era() {
    for restores in [0, 1] {
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.store.set_era(1);
        fleet.wait(Duration::from_secs(2));
        let known_revision = fleet.store.revision();
        if restores > 0 {
            let copy = fleet.store.copy();
            fleet.store.restore_from(&copy);
            fleet.wait(Duration::from_secs(2));
        }
        let (_host, runtime) = fleet
            .simulation
            .add_client(host_spec("stranger", [10, 0, 3, 9]));
        let daemon = SocketAddr::from(([10, 0, 2, 1], 7660));
        let configuration_without_route = support::configuration(2, &support::routes()[..1]);
        fleet.run(async move {
            let local_address = SocketAddr::from(([10, 0, 3, 9], 5000));
            let socket = runtime
                .network
                .bind_datagram(local_address)
                .await
                .expect("the address is free");
            let changes = encode_configuration_change(
                known_revision,
                known_revision + 1,
                &configuration_without_route,
            );
            socket
                .send_to(&changes, daemon)
                .await
                .expect("the datagram is sent");
            tokio::time::sleep(Duration::from_millis(50)).await;
        });
        let serves_the_route = fleet.ask_each_daemon("route") == 1;
        assert_eq!(serves_the_route, restores > 0, "{restores} restores");
    }
}

/// Encodes the removal of an entry. `kind` is the kind of message, `tail` what follows the changes.
fn encode_removal(kind: u8, after: u64, key: &str, tail: &[u8]) -> Vec<u8> {
    const VERSION: u8 = 5;
    const NO_VALUE: u8 = 0;
    let revision = after + 1;
    let key_length = u32::try_from(key.len()).expect("a short key");
    let mut bytes = vec![VERSION, kind];
    bytes.extend_from_slice(&after.to_le_bytes());
    bytes.extend_from_slice(&1_u32.to_le_bytes());
    bytes.extend_from_slice(&key_length.to_le_bytes());
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(&revision.to_le_bytes());
    bytes.push(NO_VALUE);
    bytes.extend_from_slice(&revision.to_le_bytes());
    bytes.extend_from_slice(tail);
    bytes
}

const CHANGES: u8 = 1;
const CHANGES_AFTER_OUTAGE: u8 = 11;

/// End of a message that tells when the sender's last call failed, and for how long removals are in doubt.
fn ages(failed_ms_ago: u16, doubt_left_ms: u16) -> Vec<u8> {
    [failed_ms_ago.to_le_bytes(), doubt_left_ms.to_le_bytes()].concat()
}

/// A fleet of one daemon, which a stranger tells that its only plain back end was removed.
fn fleet_after_removal(kind: u8, tail: &[u8], reaches_store: bool) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        records: 1,
        ..FleetOptions::default()
    });
    fleet.wait(Duration::from_secs(6));
    if !reaches_store {
        let simulation = fleet.simulation.handle();
        simulation.cut(fleet.daemons[0].host, fleet.store_host);
    }
    let removal = encode_removal(kind, fleet.store.revision(), &fleet.records[0].key(), tail);
    let (_host, runtime) = fleet
        .simulation
        .add_client(host_spec("stranger", [10, 0, 3, 9]));
    let daemon = SocketAddr::from(([10, 0, 2, 1], 7660));
    fleet.run(async move {
        let local_address = SocketAddr::from(([10, 0, 3, 9], 5000));
        let socket = runtime.network.bind_datagram(local_address);
        let socket = socket.await.expect("the address is free");
        let sent = socket.send_to(&removal, daemon).await;
        sent.expect("the datagram is sent");
    });
    fleet
}

/// Older builds say only that a removal is in doubt; this one says when the store was away.
#[test]
fn a_peer_that_saw_an_outage_puts_a_removal_in_doubt_for_a_bounded_time() {
    for (kind, tail, in_use_for_ms) in [
        (CHANGES, vec![0], 0),
        (CHANGES, vec![1], 2_500),
        (CHANGES_AFTER_OUTAGE, ages(0, 1_000), 1_000),
        (CHANGES_AFTER_OUTAGE, ages(0, u16::MAX), 2_500),
        // The store answered the daemon itself before and after the failure.
        (CHANGES_AFTER_OUTAGE, ages(3_000, 1_000), 0),
    ] {
        let mut fleet = fleet_after_removal(kind, &tail, false);
        let mut elapsed_ms = 0;
        for at_ms in [100, 800, 2_300, 2_600] {
            fleet.wait(Duration::from_millis(at_ms - elapsed_ms));
            elapsed_ms = at_ms;
            let is_in_use = fleet.ask_each_daemon(&format!("at-{at_ms}")) == 1;
            assert_eq!(
                is_in_use,
                at_ms < in_use_for_ms,
                "kind {kind}, {tail:?}, {at_ms} ms"
            );
        }
    }
}

/// The store answers the daemon a moment after the peer's failure, so it was not away.
#[test]
fn an_answer_of_the_store_ends_the_doubt_that_a_peer_reported() {
    for (kind, tail) in [
        (CHANGES, vec![1]),
        (CHANGES_AFTER_OUTAGE, ages(0, u16::MAX)),
    ] {
        let mut fleet = fleet_after_removal(kind, &tail, true);
        fleet.wait(Duration::from_millis(1_500));
        assert_eq!(fleet.ask_each_daemon("after"), 0, "kind {kind}, {tail:?}");
    }
}
