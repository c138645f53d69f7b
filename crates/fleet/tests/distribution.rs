//! Guards against overloading the store or single daemons when all daemons of a large fleet read
//! the complete state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ponddrift_fleet::distribution::{MAX_DISTRIBUTORS, ReadPlan, distributors};
use ponddrift_fleet::topology::{FOLLOWERS_PER_NEIGHBOURHOOD, Member, SMALL_FLEET_MAX_DAEMONS};
use xxhash_rust::xxh3::xxh3_64;

/// A zone in which one in sixteen daemons has a fast link.
fn zone(daemons: u16) -> Vec<Member> {
    (0..daemons)
        .map(|number| {
            let [high, low] = number.to_be_bytes();
            Member {
                name: Arc::from(format!("d-{number}")),
                zone: Arc::from("a"),
                peer_address: SocketAddr::from(([10, 0, high, low], 7660)),
                link_megabits: if number % 16 == 0 { 200 } else { 20 },
            }
        })
        .collect()
}

fn plans(zone: &[Member]) -> Vec<(SocketAddr, ReadPlan)> {
    let distributor_list = distributors(zone.iter());
    zone.iter()
        .map(|member| {
            let own = member.peer_address;
            let spread = xxh3_64(member.name.as_bytes());
            (own, ReadPlan::of(own, &distributor_list, spread))
        })
        .collect()
}

/// Number of readers by first provider; `None` stands for the store.
fn readers(zone: &[Member]) -> HashMap<Option<SocketAddr>, usize> {
    let mut readers = HashMap::new();
    for (_own, plan) in plans(zone) {
        *readers.entry(plan.providers.first().copied()).or_default() += 1;
    }
    readers
}

#[test]
fn the_number_of_store_readers_does_not_grow_with_the_zone() {
    for daemons in [100, 1_000] {
        let readers = readers(&zone(daemons));
        assert_eq!(
            readers[&None], FOLLOWERS_PER_NEIGHBOURHOOD,
            "{daemons} daemons"
        );
    }
}

#[test]
fn the_number_of_readers_per_daemon_is_bounded_for_any_zone_size() {
    for daemons in [100, 200, 400, 1_000] {
        let most_readers = readers(&zone(daemons))
            .into_iter()
            .filter_map(|(provider, readers)| provider.map(|_provider| readers))
            .max();
        assert!(
            most_readers.is_some_and(|readers| readers <= 40),
            "{daemons} daemons: {most_readers:?}"
        );
    }
}

#[test]
fn every_daemon_is_at_most_two_hops_from_a_reader_of_the_store() {
    let zone = zone(1_000);
    let plans: HashMap<SocketAddr, ReadPlan> = plans(&zone).into_iter().collect();
    for member in &zone {
        let mut current = member.peer_address;
        let mut hops = 0;
        while let Some(provider) = plans[&current].providers.first() {
            current = *provider;
            hops += 1;
        }
        assert!(hops <= 2, "{} is {hops} hops away", member.name);
    }
}

#[test]
fn daemons_with_the_fastest_links_are_distributors() {
    let zone = zone(160);
    let distributor_list = distributors(zone.iter());
    assert_eq!(distributor_list.len(), 10);
    for address in distributor_list {
        let member = zone.iter().find(|member| member.peer_address == address);
        assert_eq!(member.map(|member| member.link_megabits), Some(200));
    }
}

#[test]
fn every_reader_has_several_providers_and_never_itself() {
    let zone = zone(160);
    for (own, plan) in plans(&zone) {
        if plan.providers.is_empty() {
            continue;
        }
        assert!(plan.providers.len() >= FOLLOWERS_PER_NEIGHBOURHOOD);
        assert!(!plan.providers.contains(&own));
    }
}

#[test]
fn in_a_small_neighbourhood_all_daemons_read_the_store() {
    let zone = zone(u16::try_from(SMALL_FLEET_MAX_DAEMONS).expect("small"));
    assert!(distributors(zone.iter()).is_empty());
    assert_eq!(readers(&zone)[&None], zone.len());
}

#[test]
fn the_list_of_distributors_is_bounded() {
    assert_eq!(distributors(zone(5_000).iter()).len(), MAX_DISTRIBUTORS);
}
