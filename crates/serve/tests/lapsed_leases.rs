//! Daemons whose own leases expire while they run, because the store refuses their calls for longer
//! than a lease lives.
//!
//! Guards against daemons that no longer receive changes once their key is gone: they would serve
//! removed routes and send requests to draining back ends for as long as the store refuses them.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, StoreMode};
use support::{Fleet, FleetOptions, routes};

/// Fleet sizes: all daemons watch the store; two watch it for the others; three zones, each of
/// which is a neighbourhood of its own.
const FLEET_SIZES: [u8; 3] = [3, 9, 95];
/// Time after which the lease of a refused daemon has expired.
const LEASE_EXPIRY: Duration = Duration::from_secs(16);
/// Time after a write within which all daemons must have applied it.
const APPLY_TIME: Duration = Duration::from_millis(1_900);
/// Number of requests to each daemon: enough for every known back end to be chosen.
const ROUNDS: u32 = 4;

fn fleet_of(daemons: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        zones: if daemons > 24 { 3 } else { 1 },
        ..FleetOptions::default()
    });
    fleet.wait(Duration::from_secs(6));
    fleet
}

/// Sends requests of a route to each daemon. Returns the statuses of the responses.
fn send_requests(fleet: &mut Fleet, route: &'static str) -> Vec<StatusCode> {
    let client = fleet.client.clone();
    let daemons = fleet.daemons.clone();
    fleet.run(async move {
        let mut statuses = Vec::new();
        for round in 0..ROUNDS {
            let requests = daemons.iter().enumerate().map(|(number, daemon)| {
                let request = ClientRequest::plain(&format!("{route}-{round}-{number}"), route);
                let client = client.clone();
                let target = daemon.callers_address;
                async move { client.ask(target, &request).await }
            });
            let answers = join_all(requests).await.into_iter();
            statuses.extend(answers.map(|answer| answer.expect("a response").status));
        }
        statuses
    })
}

fn count(statuses: &[StatusCode], expected_status: StatusCode) -> usize {
    let statuses = statuses.iter();
    statuses
        .filter(|status| **status == expected_status)
        .count()
}

/// Makes the store reject the calls of a third of the daemons.
fn refuse_a_third(fleet: &Fleet) {
    for refused in fleet.daemons.iter().take(fleet.daemons.len() / 3) {
        fleet.store.refuse(refused.daemon_ip);
    }
}

/// Marks a server as draining and removes the route `fetch`, then asserts that all daemons have
/// applied both in time.
fn assert_changes_are_applied(fleet: &mut Fleet, context: &str) {
    fleet.records[0].record(&fleet.store, "draining");
    fleet.configure(21, &routes()[..1]);
    fleet.wait(APPLY_TIME);
    let before = fleet.records[0].arrivals().len();
    let statuses = send_requests(fleet, "fetch");
    let posted = send_requests(fleet, "post");
    let late = fleet.records[0].arrivals().len() - before;
    assert_eq!(
        count(&statuses, StatusCode::NOT_FOUND),
        statuses.len(),
        "{context}: the route is removed"
    );
    assert_eq!(
        count(&posted, StatusCode::OK),
        posted.len(),
        "{context}: the other route is served"
    );
    assert_eq!(late, 0, "{context}: requests to a draining server");
}

#[test]
fn daemons_whose_leases_expired_apply_changes_that_their_peers_know() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        refuse_a_third(&fleet);
        fleet.wait(LEASE_EXPIRY);
        assert_eq!(
            fleet.store.keys("ponddrift/daemons/").len(),
            usize::from(daemons - daemons / 3),
            "the leases of the refused daemons have expired"
        );
        assert_changes_are_applied(&mut fleet, &format!("{daemons} daemons"));
    }
}

/// All leases expire during the outage, so that no daemon is a member until it has written its key
/// again. Changes in this time must reach the refused daemons as well.
#[test]
fn refused_daemons_apply_changes_right_after_an_outage_that_ended_all_leases() {
    for daemons in FLEET_SIZES {
        for change_after_ms in [0, 300, 600, 900, 1_200] {
            let mut fleet = fleet_of(daemons);
            refuse_a_third(&fleet);
            fleet.store.set_mode(StoreMode::Silent);
            fleet.wait(LEASE_EXPIRY);
            fleet.store.set_mode(StoreMode::Up);
            fleet.wait(Duration::from_millis(change_after_ms));
            let context = format!("{daemons} daemons, change after {change_after_ms} ms");
            assert_changes_are_applied(&mut fleet, &context);
        }
    }
}
