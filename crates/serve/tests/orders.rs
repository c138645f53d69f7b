//! Orders to engines: one holder at a time, and none that a holder without authority gives.

mod support;

use std::time::Duration;

use ponddrift_platform_stand_ins::{ClientRequest, OrderNote, StoreMode};
use support::{Fleet, FleetOptions};
use tokio::time::sleep;

/// As in the daemons' settings.
const LEASE: Duration = Duration::from_secs(3);

const OPTIONS: FleetOptions = FleetOptions {
    daemons: 3,
    records: 1,
    prefill: 2,
    decode: 6,
    zones: 1,
    reports_usage: false,
    orders_engines: false,
};

/// Long prompts for `time`: prefill engines have much to do, decode engines little.
fn read_much(fleet: &mut Fleet, time: Duration) {
    let client = fleet.client.clone();
    let daemons: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers_address).collect();
    fleet.run(async move {
        let end = tokio::time::Instant::now() + time;
        let mut number = 0_u32;
        while tokio::time::Instant::now() < end {
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

fn orders(fleet: &Fleet) -> Vec<OrderNote> {
    let engines = fleet.prefill.iter().chain(&fleet.decode);
    let mut orders: Vec<OrderNote> = engines.flat_map(|engine| engine.orders()).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

fn assert_one_at_a_time(orders: &[OrderNote]) {
    for pair in orders.windows(2) {
        if pair[0].holder != pair[1].holder {
            assert!(pair[1].fence > pair[0].fence, "{pair:?}");
            assert!(pair[1].at - pair[0].at > LEASE, "they take turns: {pair:?}");
        }
    }
}

#[test]
fn much_reading_moves_engines_and_one_holder_orders_it() {
    let mut fleet = Fleet::new(OPTIONS);
    read_much(&mut fleet, Duration::from_secs(20));
    let orders = orders(&fleet);
    assert!(orders.iter().any(|order| order.taken), "{orders:?}");
    let holders: std::collections::BTreeSet<_> = orders.iter().map(|order| &order.holder).collect();
    assert_eq!(holders.len(), 1);
    assert_one_at_a_time(&orders);
}

#[test]
fn a_holder_that_is_cut_from_the_store_stops_and_another_waits_its_turn() {
    let mut fleet = Fleet::new(OPTIONS);
    read_much(&mut fleet, Duration::from_secs(12));
    let first = orders(&fleet).last().expect("an order").holder.clone();
    let number = usize::from(first.as_bytes().last().expect("a digit") - b'1');
    let handle = fleet.simulation.handle();
    handle.cut(fleet.daemons[number].host, fleet.store_host);
    read_much(&mut fleet, Duration::from_secs(5));
    handle.heal_all();
    read_much(&mut fleet, Duration::from_secs(15));
    assert_one_at_a_time(&orders(&fleet));
}

#[test]
fn a_holder_frozen_past_its_lease_orders_nothing_when_it_wakes() {
    let mut fleet = Fleet::new(OPTIONS);
    read_much(&mut fleet, Duration::from_secs(12));
    let first = orders(&fleet).last().expect("an order").clone();
    let number = usize::from(first.holder.as_bytes().last().expect("a digit") - b'1');
    let handle = fleet.simulation.handle();
    handle.freeze(fleet.daemons[number].host);
    fleet.wait(Duration::from_secs(8));
    let before = orders(&fleet).len();
    handle.thaw(fleet.daemons[number].host);
    fleet.wait(Duration::from_secs(2));
    let since: Vec<_> = orders(&fleet).split_off(before);
    assert!(
        since.iter().all(|order| order.fence != first.fence),
        "{since:?}"
    );
    assert_one_at_a_time(&orders(&fleet));
}

/// The copy is from before anybody led, and gives out numbers again that tokens were made of.
#[test]
fn orders_of_the_next_era_have_higher_tokens_and_wait_until_those_before_have_arrived() {
    let mut fleet = Fleet::new(OPTIONS);
    fleet.store.name_era(1);
    let copy = fleet.store.copy().from_before("ponddrift/");
    read_much(&mut fleet, Duration::from_secs(15));
    let before = orders(&fleet).len();
    assert!(before > 0, "orders are under way");
    fleet.store.come_back_from(&copy);
    read_much(&mut fleet, Duration::from_secs(1));
    for engine in fleet.prefill.iter().chain(&fleet.decode) {
        engine.vanish(&fleet.store);
        engine.record(&fleet.store, "ready");
    }
    read_much(&mut fleet, Duration::from_secs(40));
    let all = orders(&fleet);
    assert_one_at_a_time(&all);
    for pair in all.windows(2) {
        assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
    }
}

/// The leader of the era before may go on for as long as its lease lasts by its own clock: nobody takes turns with it.
#[test]
fn the_next_leader_waits_for_one_that_does_not_see_the_store_come_back_from_an_older_copy() {
    for seconds in [9, 10, 11, 12, 13, 14] {
        let mut fleet = Fleet::new(OPTIONS);
        fleet.store.name_era(1);
        let copy = fleet.store.copy().from_before("ponddrift/");
        read_much(&mut fleet, Duration::from_secs(seconds));
        let before = orders(&fleet);
        let Some(first) = before.last().map(|order| order.holder.clone()) else {
            continue;
        };
        let number = usize::from(first.as_bytes().last().expect("a digit") - b'1');
        let handle = fleet.simulation.handle();
        handle.cut(fleet.daemons[number].host, fleet.store_host);
        for other in (0..3).filter(|other| *other != number) {
            handle.cut(fleet.daemons[number].host, fleet.daemons[other].host);
        }
        fleet.store.come_back_from(&copy);
        read_much(&mut fleet, Duration::from_secs(10));
        handle.heal_all();
        read_much(&mut fleet, Duration::from_secs(10));
        assert_one_at_a_time(&orders(&fleet));
    }
}

#[test]
fn no_order_leaves_while_the_store_is_away() {
    let mut fleet = Fleet::new(OPTIONS);
    fleet.wait(Duration::from_secs(8));
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(LEASE);
    read_much(&mut fleet, Duration::from_secs(15));
    assert!(orders(&fleet).is_empty());
}

#[test]
fn an_order_without_an_answer_is_not_given_again_for_long() {
    let mut fleet = Fleet::new(OPTIONS);
    for engine in &fleet.decode {
        engine.lose_order_answers();
    }
    read_much(&mut fleet, Duration::from_secs(14));
    for engine in &fleet.decode {
        assert!(engine.orders().len() <= 1, "{:?}", engine.orders());
    }
}

/// An engine that leaves gets no requests and is the least busy, which made it the first to be changed.
#[test]
fn an_engine_that_says_that_it_leaves_is_not_ordered() {
    let mut fleet = Fleet::new(OPTIONS);
    read_much(&mut fleet, Duration::from_secs(20));
    let is_ordered = |fleet: &Fleet| -> Vec<bool> {
        let engines = fleet.decode.iter();
        engines.map(|engine| !engine.orders().is_empty()).collect()
    };
    let usual = is_ordered(&fleet);
    let mut fleet = Fleet::new(OPTIONS);
    for (engine, _ordered) in fleet
        .decode
        .iter()
        .zip(&usual)
        .filter(|(_, ordered)| **ordered)
    {
        engine.say_leaving();
    }
    read_much(&mut fleet, Duration::from_secs(20));
    let now = is_ordered(&fleet);
    let both = usual
        .iter()
        .zip(&now)
        .filter(|(usual, now)| **usual && **now);
    assert_eq!(both.count(), 0, "{usual:?}, then {now:?}");
    assert!(now.contains(&true), "one that stays changes");
}
