//! Orders that change the stage of engines: only the current leader may give them, and never a
//! former leader after its lease has ended.

mod support;

use std::time::Duration;

use ponddrift_platform_stand_ins::{ClientRequest, OrderRecord, StoreMode};
use support::{Fleet, FleetOptions};
use tokio::time::sleep;

/// Leader lease of the test settings.
const LEASE: Duration = Duration::from_secs(3);

const OPTIONS: FleetOptions = FleetOptions {
    is_first_start: false,
    daemons: 3,
    records: 1,
    prefill: 2,
    decode: 6,
    zones: 1,
    reports_usage: false,
    orders_engines: false,
    max_requests: support::MAX_REQUESTS_IN_PROGRESS,
};

/// Sends long prompts for `time`, which load the prefill engines more than the decode engines.
fn send_long_prompts(fleet: &mut Fleet, time: Duration) {
    let client = fleet.client.clone();
    let daemons: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    fleet.run(async move {
        let end_time = tokio::time::Instant::now() + time;
        let mut number = 0_u32;
        while tokio::time::Instant::now() < end_time {
            for target in &daemons {
                number += 1;
                let mut request =
                    ClientRequest::prompt(&format!("r{number}"), "verdict", 0, 20_000);
                request.deadline_ms = 4_000;
                let (client, target) = (client.clone(), *target);
                tokio::task::spawn_local(async move { client.ask(target, &request).await });
            }
            sleep(Duration::from_millis(1_300)).await;
        }
    });
}

fn orders(fleet: &Fleet) -> Vec<OrderRecord> {
    let engines = fleet.prefill.iter().chain(&fleet.decode);
    let mut orders: Vec<OrderRecord> = engines.flat_map(|engine| engine.orders()).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

fn assert_one_leader_at_a_time(orders: &[OrderRecord]) {
    for pair in orders.windows(2) {
        if pair[0].holder != pair[1].holder {
            assert!(pair[1].fence > pair[0].fence, "{pair:?}");
            assert!(
                pair[1].at - pair[0].at > LEASE,
                "two leaders at the same time: {pair:?}"
            );
        }
    }
}

#[test]
fn prefill_load_changes_the_stage_of_engines_by_orders_of_one_leader() {
    let mut fleet = Fleet::new(OPTIONS);
    send_long_prompts(&mut fleet, Duration::from_secs(20));
    let orders = orders(&fleet);
    assert!(orders.iter().any(|order| order.accepted), "{orders:?}");
    let holders: std::collections::BTreeSet<_> = orders.iter().map(|order| &order.holder).collect();
    assert_eq!(holders.len(), 1);
    assert_one_leader_at_a_time(&orders);
}

#[test]
fn a_leader_cut_off_from_the_store_stops_before_another_one_begins() {
    let mut fleet = Fleet::new(OPTIONS);
    send_long_prompts(&mut fleet, Duration::from_secs(12));
    let first_leader = orders(&fleet)
        .last()
        .expect("at least one order")
        .holder
        .clone();
    let leader_index = usize::from(
        first_leader
            .as_bytes()
            .last()
            .expect("a daemon name that ends in a digit")
            - b'1',
    );
    let handle = fleet.simulation.handle();
    handle.cut(fleet.daemons[leader_index].host, fleet.store_host);
    send_long_prompts(&mut fleet, Duration::from_secs(5));
    handle.heal_all();
    send_long_prompts(&mut fleet, Duration::from_secs(15));
    assert_one_leader_at_a_time(&orders(&fleet));
}

#[test]
fn a_leader_frozen_beyond_its_lease_gives_no_orders_when_it_resumes() {
    let mut fleet = Fleet::new(OPTIONS);
    send_long_prompts(&mut fleet, Duration::from_secs(12));
    let first_leader = orders(&fleet).last().expect("at least one order").clone();
    let leader_index = usize::from(
        first_leader
            .holder
            .as_bytes()
            .last()
            .expect("a daemon name that ends in a digit")
            - b'1',
    );
    let handle = fleet.simulation.handle();
    handle.freeze(fleet.daemons[leader_index].host);
    fleet.wait(Duration::from_secs(8));
    let orders_before = orders(&fleet).len();
    handle.thaw(fleet.daemons[leader_index].host);
    fleet.wait(Duration::from_secs(2));
    let later_orders: Vec<_> = orders(&fleet).split_off(orders_before);
    assert!(
        later_orders
            .iter()
            .all(|order| order.fence != first_leader.fence),
        "{later_orders:?}"
    );
    assert_one_leader_at_a_time(&orders(&fleet));
}

/// The copy predates all leaders, so the restored store reuses the revisions that fencing tokens
/// are made of.
#[test]
fn orders_in_the_next_era_have_higher_tokens_and_never_overlap_with_earlier_ones() {
    let mut fleet = Fleet::new(OPTIONS);
    fleet.store.set_era(1);
    let copy = fleet.store.copy().without_prefix("ponddrift/");
    send_long_prompts(&mut fleet, Duration::from_secs(15));
    let orders_before = orders(&fleet).len();
    assert!(orders_before > 0, "orders were given before the restore");
    fleet.store.restore_from(&copy);
    send_long_prompts(&mut fleet, Duration::from_secs(1));
    for engine in fleet.prefill.iter().chain(&fleet.decode) {
        engine.remove_entry(&fleet.store);
        engine.record(&fleet.store, "ready");
    }
    send_long_prompts(&mut fleet, Duration::from_secs(40));
    let all_orders = orders(&fleet);
    assert_one_leader_at_a_time(&all_orders);
    for pair in all_orders.windows(2) {
        assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
    }
}

/// A leader that does not see the restore continues until its lease ends by its own clock; the next
/// one must wait for that time.
#[test]
fn the_next_leader_waits_for_one_that_does_not_see_the_restore_of_the_store() {
    for seconds in [9, 10, 11, 12, 13, 14] {
        let mut fleet = Fleet::new(OPTIONS);
        fleet.store.set_era(1);
        let copy = fleet.store.copy().without_prefix("ponddrift/");
        send_long_prompts(&mut fleet, Duration::from_secs(seconds));
        let orders_before = orders(&fleet);
        let Some(first_leader) = orders_before.last().map(|order| order.holder.clone()) else {
            continue;
        };
        let leader_index = usize::from(
            first_leader
                .as_bytes()
                .last()
                .expect("a daemon name that ends in a digit")
                - b'1',
        );
        let handle = fleet.simulation.handle();
        handle.cut(fleet.daemons[leader_index].host, fleet.store_host);
        for other in (0..3).filter(|other| *other != leader_index) {
            handle.cut(fleet.daemons[leader_index].host, fleet.daemons[other].host);
        }
        fleet.store.restore_from(&copy);
        send_long_prompts(&mut fleet, Duration::from_secs(10));
        handle.heal_all();
        send_long_prompts(&mut fleet, Duration::from_secs(10));
        assert_one_leader_at_a_time(&orders(&fleet));
    }
}

#[test]
fn no_order_is_sent_while_the_store_is_unavailable() {
    let mut fleet = Fleet::new(OPTIONS);
    fleet.wait(Duration::from_secs(8));
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(LEASE);
    send_long_prompts(&mut fleet, Duration::from_secs(15));
    assert!(orders(&fleet).is_empty());
}

#[test]
fn an_order_without_a_response_is_not_soon_repeated() {
    let mut fleet = Fleet::new(OPTIONS);
    for engine in &fleet.decode {
        engine.drop_order_answers();
    }
    send_long_prompts(&mut fleet, Duration::from_secs(14));
    for engine in &fleet.decode {
        assert!(engine.orders().len() <= 1, "{:?}", engine.orders());
    }
}

/// A draining engine gets no requests and so is the least loaded, but must not be chosen for an
/// order.
#[test]
fn an_engine_that_announces_draining_gets_no_order() {
    let mut fleet = Fleet::new(OPTIONS);
    send_long_prompts(&mut fleet, Duration::from_secs(20));
    let engines_with_orders = |fleet: &Fleet| -> Vec<bool> {
        let engines = fleet.decode.iter();
        engines.map(|engine| !engine.orders().is_empty()).collect()
    };
    let ordered_before = engines_with_orders(&fleet);
    let mut fleet = Fleet::new(OPTIONS);
    for (engine, _ordered) in fleet
        .decode
        .iter()
        .zip(&ordered_before)
        .filter(|(_, ordered)| **ordered)
    {
        engine.announce_draining();
    }
    send_long_prompts(&mut fleet, Duration::from_secs(20));
    let ordered_after = engines_with_orders(&fleet);
    let both = ordered_before
        .iter()
        .zip(&ordered_after)
        .filter(|(ordered_before, ordered_after)| **ordered_before && **ordered_after);
    assert_eq!(
        both.count(),
        0,
        "without draining: {ordered_before:?}, with draining: {ordered_after:?}"
    );
    assert!(
        ordered_after.contains(&true),
        "another engine gets an order"
    );
}
