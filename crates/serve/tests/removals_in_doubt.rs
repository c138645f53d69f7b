//! Removals of entries after the store was away: a back end whose entry only expired in the outage
//! stays in use until it can have written it again, and one that leaves afterwards does not.
//!
//! Guards against daemons that stay in doubt for longer than the outage explains: a back end that
//! has left would get requests for seconds after the store acknowledged that it left.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, StoreMode};
use support::{Fleet, FleetOptions};

/// All daemons follow the store; two follow it for the others; three neighbourhoods.
const FLEET_SIZES: [u8; 3] = [3, 9, 95];
/// Longer than any call to the store waits, so that each daemon that follows it sees a failure.
const OUTAGE: Duration = Duration::from_secs(4);
/// A removal must have taken effect everywhere after this time.
const REMOVAL_TIME: Duration = Duration::from_millis(1_900);

/// A fleet whose plain service has a single back end, so that its removal leaves none.
fn fleet_of(daemons: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        records: 1,
        zones: if daemons > 24 { 3 } else { 1 },
        ..FleetOptions::default()
    });
    fleet.wait(Duration::from_secs(6));
    fleet
}

/// Sends a request to each daemon. Returns how many were served.
fn served(fleet: &mut Fleet, name: &str) -> usize {
    let client = fleet.client.clone();
    let daemons = fleet.daemons.clone();
    let statuses = fleet.run(async move {
        let requests = daemons.iter().enumerate().map(|(number, daemon)| {
            let request = ClientRequest::plain(&format!("{name}-{number}"), "post");
            let client = client.clone();
            let target = daemon.callers_address;
            async move { client.ask(target, &request).await }
        });
        join_all(requests).await
    });
    let answers = statuses.into_iter().flatten();
    answers
        .filter(|answer| answer.status == StatusCode::OK)
        .count()
}

fn assert_removal_takes_effect(fleet: &mut Fleet, context: &str) {
    let daemons = fleet.daemons.len();
    assert_eq!(served(fleet, "before"), daemons, "{context}: in use");
    fleet.records[0].remove_entry(&fleet.store);
    fleet.wait(REMOVAL_TIME);
    let before = fleet.records[0].arrivals().len();
    served(fleet, "after");
    let late = fleet.records[0].arrivals().len() - before;
    assert_eq!(late, 0, "{context}: requests to a back end that has left");
}

fn outage(fleet: &mut Fleet, mode: StoreMode) {
    fleet.store.set_mode(mode);
    fleet.wait(OUTAGE);
    fleet.store.set_mode(StoreMode::Up);
}

#[test]
fn a_back_end_that_leaves_three_seconds_after_an_outage_gets_no_requests() {
    for daemons in FLEET_SIZES {
        for mode in [StoreMode::Busy, StoreMode::Silent] {
            let mut fleet = fleet_of(daemons);
            outage(&mut fleet, mode);
            fleet.wait(Duration::from_secs(3));
            assert_removal_takes_effect(&mut fleet, &format!("{daemons} daemons, {mode:?}"));
        }
    }
}

/// Each change is published to neighbours together with whether removals are in doubt.
#[test]
fn daemons_do_not_keep_each_other_in_doubt_by_the_changes_that_they_publish() {
    for daemons in FLEET_SIZES {
        let mut fleet = fleet_of(daemons);
        outage(&mut fleet, StoreMode::Busy);
        for _second in 0..12 {
            fleet.wait(Duration::from_secs(1));
            fleet.decode[0].record(&fleet.store, "ready");
        }
        assert_removal_takes_effect(&mut fleet, &format!("{daemons} daemons"));
    }
}

#[test]
fn a_back_end_whose_entry_expired_in_an_outage_is_used_until_it_can_have_written_it_again() {
    for daemons in FLEET_SIZES {
        for mode in [StoreMode::Busy, StoreMode::Silent] {
            let mut fleet = fleet_of(daemons);
            fleet.store.set_mode(mode);
            fleet.wait(OUTAGE);
            fleet.records[0].remove_entry(&fleet.store);
            fleet.store.set_mode(StoreMode::Up);
            for step in 0..5 {
                let served = served(&mut fleet, &format!("step-{step}"));
                assert_eq!(
                    served,
                    usize::from(daemons),
                    "{daemons} daemons, {mode:?}, step {step}"
                );
                fleet.wait(Duration::from_millis(400));
            }
            fleet.records[0].record(&fleet.store, "ready");
            fleet.wait(Duration::from_secs(2));
            assert_eq!(served(&mut fleet, "again"), usize::from(daemons));
        }
    }
}

/// The store answers all other daemons, and this one again a moment later, so no entry can have expired.
#[test]
fn a_back_end_that_leaves_after_one_daemons_connections_were_reset_gets_no_requests() {
    for daemons in FLEET_SIZES {
        for struck in struck_daemons(daemons) {
            let mut fleet = fleet_of(daemons);
            let simulation = fleet.simulation.handle();
            simulation.reset_connections(&[fleet.daemons[struck].host], &[fleet.store_host]);
            fleet.wait(Duration::from_millis(250));
            assert_removal_takes_effect(&mut fleet, &format!("daemon {struck} of {daemons}"));
        }
    }
}

/// The store answers all daemons but one, which reports its failures to others once it is back.
#[test]
fn a_back_end_that_leaves_after_one_daemon_was_refused_gets_no_requests() {
    for daemons in FLEET_SIZES {
        for struck in struck_daemons(daemons) {
            let mut fleet = fleet_of(daemons);
            let simulation = fleet.simulation.handle();
            let host = fleet.daemons[struck].host;
            simulation.refuse_connections(&[host], &[fleet.store_host]);
            simulation.reset_connections(&[host], &[fleet.store_host]);
            fleet.wait(Duration::from_secs(3));
            simulation.heal(host, fleet.store_host);
            fleet.wait(Duration::from_millis(250));
            assert_removal_takes_effect(&mut fleet, &format!("daemon {struck} of {daemons}"));
        }
    }
}

/// Every daemon of a small fleet, and some of a large one: two of each neighbourhood follow the store for the others.
fn struck_daemons(daemons: u8) -> impl Iterator<Item = usize> {
    (0..usize::from(daemons)).step_by(usize::from(daemons) / 9 + 1)
}
