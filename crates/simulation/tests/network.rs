//! Checks that streams and datagrams fail in the same ways as TCP and UDP.

mod support;

use std::io::ErrorKind;
use std::time::Duration;

use ponddrift_runtime::{BoxedStream, Runtime};
use ponddrift_simulation::{DatagramFaults, DropReason, HostId, Simulation, TraceEvent};
use support::{Log, address, host, simulation};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy, split};
use tokio::time::{Instant, sleep, timeout};

async fn echo(runtime: Runtime, number: u8) {
    let listener = runtime
        .network
        .listen(address(number))
        .await
        .expect("binds");
    loop {
        let (stream, _peer) = listener.accept().await.expect("accepts");
        runtime.spawner.spawn(Box::pin(async move {
            let (mut reader, mut writer) = split(stream);
            let _reset = copy(&mut reader, &mut writer).await;
        }));
    }
}

struct Pair {
    simulation: Simulation,
    server: HostId,
    client: HostId,
    runtime: Runtime,
}

fn echo_pair(seed: u64) -> Pair {
    let mut simulation = simulation(seed);
    let server = simulation.add_host(host(1), |runtime| echo(runtime, 1));
    let (client, runtime) = simulation.add_client(host(2));
    Pair {
        simulation,
        server,
        client,
        runtime,
    }
}

async fn exchange(stream: &mut BoxedStream, text: &str) -> std::io::Result<String> {
    stream.write_all(text.as_bytes()).await?;
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer).await?;
    Ok(String::from_utf8(answer).expect("the echo of a text"))
}

#[test]
fn bytes_keep_their_order_and_take_the_zone_distance() {
    let mut pair = echo_pair(1);
    let network = pair.runtime.network;
    pair.simulation.block_on(async move {
        let mut stream = network.connect(address(1)).await.expect("connects");
        let begin = Instant::now();
        assert_eq!(
            exchange(&mut stream, "voucher").await.expect("echoes"),
            "voucher"
        );
        let taken = begin.elapsed();
        assert!(taken >= Duration::from_millis(3), "{taken:?}");
        assert!(taken <= Duration::from_millis(6), "{taken:?}");
        let long = "0123456789".repeat(100_000);
        let (mut reader, mut writer) = split(stream);
        let send = async {
            writer.write_all(long.as_bytes()).await.expect("writes");
            writer.shutdown().await.expect("shuts down");
        };
        let mut received = String::new();
        let (_, read) = tokio::join!(send, reader.read_to_string(&mut received));
        assert_eq!(read.expect("reads to the end"), long.len());
        assert!(received == long);
    });
}

#[test]
fn a_connection_without_listener_or_process_is_refused() {
    let mut pair = echo_pair(1);
    let (handle, server) = (pair.simulation.handle(), pair.server);
    let network = pair.runtime.network;
    pair.simulation.block_on(async move {
        let mut other_port = address(1);
        other_port.set_port(9);
        let refused = network
            .connect(other_port)
            .await
            .err()
            .expect("no listener");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        handle.kill(server);
        let refused = network.connect(address(1)).await.err().expect("no process");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        handle.restart(server);
        sleep(Duration::from_millis(1)).await;
        let mut stream = network.connect(address(1)).await.expect("connects again");
        assert_eq!(
            exchange(&mut stream, "probe").await.expect("echoes"),
            "probe"
        );
    });
}

#[test]
fn a_killed_process_resets_connections_and_a_powered_off_machine_does_not() {
    let mut pair = echo_pair(1);
    let (handle, server) = (pair.simulation.handle(), pair.server);
    let network = pair.runtime.network;
    pair.simulation.block_on(async move {
        let mut stream = network.connect(address(1)).await.expect("connects");
        handle.kill(server);
        let reset = stream.read_u8().await.expect_err("the peer is gone");
        assert_eq!(reset.kind(), ErrorKind::ConnectionReset);

        handle.restart(server);
        sleep(Duration::from_millis(1)).await;
        let mut stream = network.connect(address(1)).await.expect("connects");
        handle.power_off(server);
        let silent = timeout(Duration::from_secs(600), stream.read_u8()).await;
        assert!(silent.is_err(), "an idle connection learns nothing");
        let begin = Instant::now();
        let lost = exchange(&mut stream, "lost").await.expect_err("no answer");
        assert_eq!(lost.kind(), ErrorKind::TimedOut);
        assert!(begin.elapsed() >= Duration::from_secs(30));
        let no_route = network.connect(address(1)).await.err().expect("no machine");
        assert_eq!(no_route.kind(), ErrorKind::TimedOut);
    });
}

#[test]
fn a_frozen_host_leaves_connections_half_open() {
    let mut pair = echo_pair(1);
    let (handle, server) = (pair.simulation.handle(), pair.server);
    let network = pair.runtime.network;
    pair.simulation.block_on(async move {
        handle.freeze(server);
        let mut stream = network
            .connect(address(1))
            .await
            .expect("the machine answers");
        let waiting = timeout(Duration::from_secs(60), exchange(&mut stream, "late")).await;
        assert!(waiting.is_err());
        handle.thaw(server);
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await.expect("reads");
        assert_eq!(&answer, b"late");
    });
}

#[test]
fn a_short_link_cut_delays_and_a_long_one_breaks_connections() {
    for one_way in [false, true] {
        let mut pair = echo_pair(1);
        let (handle, server, client) = (pair.simulation.handle(), pair.server, pair.client);
        let cut = move || {
            if one_way {
                handle.cut_one_way(server, client);
            } else {
                handle.cut(server, client);
            }
        };
        let handle = pair.simulation.handle();
        let network = pair.runtime.network;
        pair.simulation.block_on(async move {
            let mut stream = network.connect(address(1)).await.expect("connects");
            cut();
            let waiting = timeout(Duration::from_secs(20), exchange(&mut stream, "kept")).await;
            assert!(waiting.is_err(), "one way: {one_way}");
            handle.heal_all();
            let mut answer = [0; 4];
            stream
                .read_exact(&mut answer)
                .await
                .expect("what waited arrives");
            assert_eq!(&answer, b"kept");
            cut();
            let unrepaired = exchange(&mut stream, "lost").await.expect_err("too long");
            assert_eq!(unrepaired.kind(), ErrorKind::TimedOut, "one way: {one_way}");
            handle.heal_all();
            let mut stream = network.connect(address(1)).await.expect("connects");
            assert_eq!(exchange(&mut stream, "anew").await.expect("echoes"), "anew");
        });
    }
}

/// Sends 200 numbered datagrams and returns the numbers in order of arrival.
fn datagram_numbers(simulation: &mut Simulation) -> Vec<u8> {
    let arrived = Log::default();
    let log = arrived.clone();
    simulation.add_host(host(3), move |runtime| {
        let log = log.clone();
        async move {
            let socket = runtime
                .network
                .bind_datagram(address(3))
                .await
                .expect("binds");
            let mut buffer = [0; 16];
            loop {
                let (length, _from) = socket.receive_from(&mut buffer).await.expect("receives");
                assert_eq!(length, 1);
                log.push(buffer[0]);
            }
        }
    });
    let (_id, runtime) = simulation.add_client(host(4));
    simulation.block_on(async move {
        let socket = runtime
            .network
            .bind_datagram(address(4))
            .await
            .expect("binds");
        for number in 0..200 {
            socket.send_to(&[number], address(3)).await.expect("sends");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_secs(1)).await;
    });
    arrived.values()
}

#[test]
fn datagrams_arrive_once_and_in_order_without_faults() {
    let numbers = datagram_numbers(&mut simulation(1));
    assert_eq!(numbers, (0..200).collect::<Vec<u8>>());
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered() {
    let mut simulation = simulation(1);
    simulation.handle().set_datagram_faults(DatagramFaults {
        loss: 0.2,
        duplication: 0.2,
        reordering: 0.3,
        reordering_delay: Duration::from_millis(50),
    });
    let numbers = datagram_numbers(&mut simulation);
    let mut distinct = numbers.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(
        (120..190).contains(&distinct.len()),
        "lost: {}",
        200 - distinct.len()
    );
    assert!(numbers.len() > distinct.len() + 10, "doubled");
    assert!(!numbers.is_sorted(), "reordered");
    let is_loss = |event: &TraceEvent| {
        matches!(
            event,
            TraceEvent::DatagramDropped {
                reason: DropReason::Loss,
                ..
            }
        )
    };
    let trace = simulation.trace();
    let lost = trace.entries().iter().filter(|entry| is_loss(&entry.event));
    assert_eq!(lost.count(), 200 - distinct.len());
}
