//! Guards against loads on the store or on single daemons that grow with the zone when all its
//! daemons read the complete state: checks the number of readers of the store and of each
//! distributor, the depth of the tree and the fallback providers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ponddrift_fleet::distribution::{MAX_DISTRIBUTORS, ReadPlan, distributors};
use ponddrift_fleet::topology::{FOLLOWERS_PER_NEIGHBOURHOOD, Member, SMALL_FLEET_MAX_DAEMONS};
use xxhash_rust::xxh3::xxh3_64;

/// Members of a zone. One in sixteen has a fast link: as many as there are distributors, unless
/// `MAX_DISTRIBUTORS` bounds their number.
fn zone_members(daemons: u16) -> Vec<Member> {
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
            let daemon_hash = xxh3_64(member.name.as_bytes());
            (own, ReadPlan::of(own, &distributor_list, daemon_hash))
        })
        .collect()
}

/// Number of readers by first provider; `None` stands for the store.
fn reader_counts(zone: &[Member]) -> HashMap<Option<SocketAddr>, usize> {
    let mut counts = HashMap::new();
    for (_own, plan) in plans(zone) {
        *counts.entry(plan.providers.first().copied()).or_default() += 1;
    }
    counts
}

#[test]
fn the_number_of_store_readers_does_not_grow_with_the_zone() {
    for daemons in [100, 1_000] {
        // The first FOLLOWERS_PER_NEIGHBOURHOOD distributors read from the store.
        let counts = reader_counts(&zone_members(daemons));
        assert_eq!(
            counts[&None], FOLLOWERS_PER_NEIGHBOURHOOD,
            "{daemons} daemons"
        );
    }
}

#[test]
fn the_number_of_readers_per_daemon_is_bounded_up_to_a_thousand_daemons() {
    for daemons in [100, 200, 400, 1_000] {
        let most_readers = reader_counts(&zone_members(daemons))
            .into_iter()
            .filter_map(|(provider, readers)| provider.map(|_provider| readers))
            .max();
        // Distributors have about 16 readers on average. The limit leaves room for the uneven
        // distribution by hash and for the first two, which serve all other distributors.
        assert!(
            most_readers.is_some_and(|readers| readers <= 40),
            "{daemons} daemons: {most_readers:?}"
        );
    }
}

#[test]
fn every_daemon_is_at_most_two_hops_from_a_reader_of_the_store() {
    let zone = zone_members(1_000);
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
    let zone = zone_members(160);
    let distributor_list = distributors(zone.iter());
    assert_eq!(distributor_list.len(), 10);
    for address in distributor_list {
        let member = zone.iter().find(|member| member.peer_address == address);
        assert_eq!(member.map(|member| member.link_megabits), Some(200));
    }
}

#[test]
fn daemons_that_read_from_peers_have_several_providers_other_than_themselves() {
    let zone = zone_members(160);
    for (own, plan) in plans(&zone) {
        if plan.providers.is_empty() {
            continue;
        }
        assert!(plan.providers.len() >= FOLLOWERS_PER_NEIGHBOURHOOD);
        assert!(!plan.providers.contains(&own));
    }
}

#[test]
fn in_a_small_zone_all_daemons_read_the_store() {
    let zone = zone_members(u16::try_from(SMALL_FLEET_MAX_DAEMONS).expect("small"));
    assert!(distributors(zone.iter()).is_empty());
    assert_eq!(reader_counts(&zone)[&None], zone.len());
}

#[test]
fn the_list_of_distributors_is_bounded() {
    assert_eq!(
        distributors(zone_members(5_000).iter()).len(),
        MAX_DISTRIBUTORS
    );
}
