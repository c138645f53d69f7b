//! New connections to back ends are counted by the reason for which they are opened.

mod support;

use std::time::Duration;

use ponddrift_platform_stand_ins::ClientRequest;
use support::{Fleet, FleetOptions};

fn opened(fleet: &mut Fleet, reason: &str) -> u32 {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].readiness_address;
    let metrics = fleet.run(async move { client.text(target, "/metrics").await });
    let metrics = metrics.expect("metrics");
    let name = format!("ponddrift_back_end_connections_opened_total{{reason=\"{reason}\"}} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(&name));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Sends `count` requests at the same time.
fn ask(fleet: &mut Fleet, name: &str, count: usize) {
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    let requests: Vec<ClientRequest> = (0..count)
        .map(|number| ClientRequest::plain(&format!("{name}{number}"), "fetch"))
        .collect();
    fleet.run(async move {
        let asked = requests.iter().map(|request| client.ask(target, request));
        futures::future::join_all(asked).await;
    });
}

#[test]
fn a_new_connection_is_counted_by_what_became_of_the_earlier_one() {
    let mut fleet = Fleet::new(FleetOptions {
        records: 1,
        prefill: 0,
        decode: 0,
        ..FleetOptions::default()
    });
    for engine in &fleet.records {
        engine.set_keep_alive(2);
    }
    ask(&mut fleet, "first", 1);
    ask(&mut fleet, "reuses", 1);
    assert_eq!(opened(&mut fleet, "first"), 1);
    assert_eq!(opened(&mut fleet, "others_in_use"), 0);
    ask(&mut fleet, "together", 3);
    assert_eq!(opened(&mut fleet, "others_in_use"), 2);
    fleet.wait(Duration::from_secs(4));
    ask(&mut fleet, "later", 1);
    let ended = opened(&mut fleet, "expired") + opened(&mut fleet, "closed_by_server");
    assert_eq!(ended, 1, "it replaces one that was idle for too long");
    assert_eq!(opened(&mut fleet, "first"), 1);
}
