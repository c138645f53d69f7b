//! Who reads everything from whom: counted at the size of a fleet, and at ten times that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ponddrift_fleet::distribution::{MOST_DISTRIBUTORS, ReadingPlan, distributors};
use ponddrift_fleet::topology::{FOLLOWERS_PER_NEIGHBOURHOOD, Member, SMALL_FLEET_MAX_DAEMONS};
use xxhash_rust::xxh3::xxh3_64;

/// One zone in which one daemon of sixteen has a fast link.
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

fn plans(zone: &[Member]) -> Vec<(SocketAddr, ReadingPlan)> {
    let list = distributors(zone.iter());
    zone.iter()
        .map(|member| {
            let own = member.peer_address;
            let spread = xxh3_64(member.name.as_bytes());
            (own, ReadingPlan::of(own, &list, spread))
        })
        .collect()
}

/// Readers by first provider; those that read the store are under none.
fn readers(zone: &[Member]) -> HashMap<Option<SocketAddr>, usize> {
    let mut readers = HashMap::new();
    for (_own, plan) in plans(zone) {
        *readers.entry(plan.providers.first().copied()).or_default() += 1;
    }
    readers
}

#[test]
fn as_many_daemons_read_the_store_in_a_zone_of_a_thousand_as_in_one_of_a_hundred() {
    for daemons in [100, 1_000] {
        let readers = readers(&zone(daemons));
        assert_eq!(
            readers[&None], FOLLOWERS_PER_NEIGHBOURHOOD,
            "{daemons} daemons"
        );
    }
}

#[test]
fn no_daemon_hands_everything_to_more_than_a_few_whatever_the_size_of_the_zone() {
    for daemons in [100, 200, 400, 1_000] {
        let busiest = readers(&zone(daemons))
            .into_iter()
            .filter_map(|(provider, readers)| provider.map(|_provider| readers))
            .max();
        assert!(
            busiest.is_some_and(|readers| readers <= 40),
            "{daemons} daemons: {busiest:?}"
        );
    }
}

#[test]
fn whoever_reads_from_a_daemon_is_two_steps_from_one_that_reads_the_store_at_most() {
    let zone = zone(1_000);
    let plans: HashMap<SocketAddr, ReadingPlan> = plans(&zone).into_iter().collect();
    for member in &zone {
        let mut at = member.peer_address;
        let mut steps = 0;
        while let Some(provider) = plans[&at].providers.first() {
            at = *provider;
            steps += 1;
        }
        assert!(steps <= 2, "{} is {steps} steps away", member.name);
    }
}

#[test]
fn those_with_the_fastest_links_distribute() {
    let zone = zone(160);
    let list = distributors(zone.iter());
    assert_eq!(list.len(), 10);
    for address in list {
        let member = zone.iter().find(|member| member.peer_address == address);
        assert_eq!(member.map(|member| member.link_megabits), Some(200));
    }
}

#[test]
fn a_daemon_has_other_providers_where_its_first_one_fails() {
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
fn in_a_small_neighbourhood_everybody_reads_the_store() {
    let zone = zone(u16::try_from(SMALL_FLEET_MAX_DAEMONS).expect("small"));
    assert!(distributors(zone.iter()).is_empty());
    assert_eq!(readers(&zone)[&None], zone.len());
}

#[test]
fn the_list_of_distributors_is_bounded() {
    assert_eq!(distributors(zone(5_000).iter()).len(), MOST_DISTRIBUTORS);
}
