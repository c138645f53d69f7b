//! Daemons exchange what they learn of the speed of back ends.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, RouteConfig};
use ponddrift_serving::back_end_index::hash;
use support::{Fleet, FleetOptions, MODELS, host_spec, routes};

/// Port for messages of other daemons.
const PEERS_PORT: u16 = 7660;

/// The routes of most tests and one of long streams.
fn routes_with_long_streams() -> Vec<RouteConfig> {
    let mut all = routes();
    all.push(RouteConfig {
        resumable: true,
        timeout_ms: 8_000,
        ..RouteConfig::new("draft", "streaming", MODELS)
    });
    all
}

fn fleet_of(daemons: u8, routes: &[RouteConfig]) -> Fleet {
    let mut fleet = Fleet::without_configuration(FleetOptions {
        daemons,
        ..FleetOptions::default()
    });
    fleet.configure(1, routes);
    fleet.wait(Duration::from_secs(2));
    fleet
}

/// Sends streams to the first daemon only.
fn send_streams(fleet: &mut Fleet, count: u32) {
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    fleet.run(async move {
        for number in 0..count {
            let request = ClientRequest::prompt(&format!("s{number}"), "tag", 40, 200);
            let answer = client.ask(target, &request).await.expect("a response");
            assert_eq!(answer.status, StatusCode::OK);
        }
    });
}

/// Value of a metric of a daemon; 0 if it has none of that name.
fn metric(fleet: &mut Fleet, daemon: usize, name: &str) -> f64 {
    let (client, target) = (
        fleet.client.clone(),
        fleet.daemons[daemon].readiness_address,
    );
    let text = fleet
        .run(async move { client.text(target, "/metrics").await })
        .expect("metrics");
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_default()
}

fn merged_rows(fleet: &mut Fleet, daemon: usize) -> f64 {
    let name = "ponddrift_profile_rows_total{result=\"merged\"}";
    metric(fleet, daemon, name)
}

#[test]
fn daemons_without_requests_learn_from_the_others() {
    let mut fleet = fleet_of(3, &routes_with_long_streams());
    send_streams(&mut fleet, 30);
    fleet.wait(Duration::from_secs(4));
    for daemon in 1..3 {
        assert!(merged_rows(&mut fleet, daemon) > 0.0, "daemon {daemon}");
        let known = metric(&mut fleet, daemon, "ponddrift_back_end_profiles");
        assert!(known >= 2.0, "daemon {daemon}: {known} back ends");
    }
}

#[test]
fn a_daemon_that_starts_learns_within_two_seconds() {
    let mut fleet = fleet_of(2, &routes_with_long_streams());
    send_streams(&mut fleet, 30);
    fleet.simulation.handle().restart(fleet.daemons[1].host);
    // Two seconds, and one until its figures are computed.
    fleet.wait(Duration::from_secs(3));
    let known = metric(&mut fleet, 1, "ponddrift_back_end_profiles");
    assert!(known >= 2.0, "{known} back ends");
}

#[test]
fn nothing_is_learned_or_published_without_long_streams() {
    let mut fleet = fleet_of(2, &routes());
    send_streams(&mut fleet, 30);
    fleet.wait(Duration::from_secs(4));
    for daemon in 0..2 {
        assert!(merged_rows(&mut fleet, daemon) < 0.5);
        assert!(metric(&mut fleet, daemon, "ponddrift_back_end_profiles") < 0.5);
    }
    // A configuration with long streams switches them on, one without off again.
    fleet.configure(2, &routes_with_long_streams());
    fleet.wait(Duration::from_secs(2));
    send_streams(&mut fleet, 30);
    fleet.wait(Duration::from_secs(4));
    assert!(merged_rows(&mut fleet, 1) > 0.0);
    fleet.configure(3, &routes());
    fleet.wait(Duration::from_secs(3));
    assert!(metric(&mut fleet, 1, "ponddrift_back_end_profiles") < 0.5);
}

/// Incarnation of a back end that does not report when it started, as it is hashed.
const NOT_REPORTED: &str = "\0\0\0\0\0\0\0\0";
/// Another incarnation.
const OTHER_START: &str = "\u{1}\0\0\0\0\0\0\0";

/// A row of a report as another daemon encodes it.
fn encode_row(back_end: &str, incarnation: &str, kind: u8, weight: u8, log_ratio: i16) -> Vec<u8> {
    let mut bytes = hash(back_end).to_le_bytes().to_vec();
    bytes.extend_from_slice(&hash(incarnation).to_le_bytes()[..2]);
    bytes.extend_from_slice(&[kind, weight]);
    bytes.extend_from_slice(&log_ratio.to_le_bytes());
    bytes.push(0);
    bytes
}

fn encode_report(rows: &[Vec<u8>]) -> Vec<u8> {
    /// Message version and message kind.
    const PROFILES: [u8; 2] = [5, 8];
    let mut bytes = PROFILES.to_vec();
    bytes.extend_from_slice(&77_u64.to_le_bytes());
    bytes.extend_from_slice(&1_u32.to_le_bytes());
    let count = u32::try_from(rows.len()).expect("a few rows");
    bytes.extend_from_slice(&count.to_le_bytes());
    bytes.extend(rows.iter().flatten());
    bytes.push(0);
    bytes
}

#[test]
fn rows_that_cannot_be_are_dropped_and_counted() {
    let mut fleet = fleet_of(1, &routes_with_long_streams());
    let (_host, runtime) = fleet
        .simulation
        .add_client(host_spec("stranger", [10, 0, 3, 9]));
    let engine = fleet.decode[0].id().to_owned();
    let rows = [
        encode_row("nobody", NOT_REPORTED, 1, 8, 100),
        encode_row(&engine, OTHER_START, 1, 8, 100),
        encode_row(&engine, NOT_REPORTED, 9, 8, 100),
        encode_row(&engine, NOT_REPORTED, 1, 0, 100),
        encode_row(&engine, NOT_REPORTED, 1, 8, i16::MIN),
        encode_row(&engine, NOT_REPORTED, 1, 8, 100),
    ];
    fleet.run(async move {
        let socket = runtime
            .network
            .bind_datagram(SocketAddr::from(([10, 0, 3, 9], 5000)))
            .await
            .expect("the address is free");
        let daemon = SocketAddr::from(([10, 0, 2, 1], PEERS_PORT));
        let sent = socket.send_to(&encode_report(&rows), daemon).await;
        sent.expect("the datagram is sent");
    });
    fleet.wait(Duration::from_secs(2));
    for (result, count) in [
        ("unknown_back_end", 1.0),
        ("other_incarnation", 1.0),
        ("out_of_range", 3.0),
        ("merged", 1.0),
    ] {
        let name = format!("ponddrift_profile_rows_total{{result=\"{result}\"}}");
        let counted = metric(&mut fleet, 0, &name);
        assert!((counted - count).abs() < 0.5, "{result}: {counted}");
    }
}
