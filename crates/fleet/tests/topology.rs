//! Tests peers, store followers, and how long a follower is trusted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::cross_zone_pacer::CrossZonePacer;
use ponddrift_fleet::followers::{
    FollowerTable, GOSSIP_INTERVAL, batch_interval_alone, batch_interval_for_others,
};
use ponddrift_fleet::topology::{
    FOLLOWERS_PER_NEIGHBOURHOOD, Member, SMALL_FLEET_MAX_DAEMONS, Topology,
};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn member(number: usize, zone: &str, link_megabits: u32) -> Member {
    let last = u8::try_from(number).expect("a small fleet");
    Member {
        name: Arc::from(format!("d-{number}")),
        zone: Arc::from(zone),
        peer_address: SocketAddr::from(([10, 0, 0, last], 7660)),
        link_megabits,
    }
}

/// Daemons in three zones.
fn fleet(daemons: usize) -> Vec<Member> {
    (0..daemons)
        .map(|number| member(number, ZONES[number % ZONES.len()], 10))
        .collect()
}

fn followers_of(fleet: &[Member]) -> Vec<&Member> {
    fleet
        .iter()
        .filter(|own| Topology::of(own, fleet).follows_store)
        .collect()
}

#[test]
fn a_small_fleet_is_one_neighbourhood() {
    let fleet = fleet(SMALL_FLEET_MAX_DAEMONS);
    for own in &fleet {
        let topology = Topology::of(own, &fleet);
        assert_eq!(topology.neighbours.len(), SMALL_FLEET_MAX_DAEMONS - 1);
        assert!(topology.remote_zone_peers.is_empty());
        assert!(!topology.neighbours.contains(&own.peer_address));
    }
    assert_eq!(followers_of(&fleet).len(), FOLLOWERS_PER_NEIGHBOURHOOD);
}

#[test]
fn larger_fleets_form_a_neighbourhood_per_zone() {
    let fleet = fleet(90);
    let own = &fleet[0];
    let topology = Topology::of(own, &fleet);
    assert_eq!(topology.neighbours.len(), 29);
    assert_eq!(
        topology.remote_zone_peers.len(),
        4,
        "two of each other zone"
    );
    let zone_of = |address: &SocketAddr| {
        let of = fleet.iter().find(|member| member.peer_address == *address);
        Arc::clone(&of.expect("known").zone)
    };
    assert!(
        topology
            .neighbours
            .iter()
            .all(|peer| &*zone_of(peer) == "a")
    );
    assert!(
        topology
            .remote_zone_peers
            .iter()
            .all(|peer| &*zone_of(peer) != "a")
    );
}

#[test]
fn all_daemons_compute_the_same_followers() {
    let fleet = fleet(90);
    let followers = followers_of(&fleet);
    assert_eq!(followers.len(), ZONES.len() * FOLLOWERS_PER_NEIGHBOURHOOD);
    for zone in ZONES {
        let zone_peers = followers.iter().filter(|member| &*member.zone == zone);
        assert_eq!(
            zone_peers.count(),
            FOLLOWERS_PER_NEIGHBOURHOOD,
            "zone {zone}"
        );
    }
}

#[test]
fn daemons_with_the_fastest_links_follow_the_store() {
    let mut fleet = fleet(30);
    fleet[4] = member(4, "b", 200);
    fleet[7] = member(7, "b", 200);
    let followers = followers_of(&fleet);
    let followers_in_b: Vec<&str> = followers
        .iter()
        .filter(|follower| &*follower.zone == "b")
        .map(|follower| &*follower.name)
        .collect();
    assert_eq!(followers_in_b, ["d-4", "d-7"]);
}

#[test]
fn a_follower_that_leaves_is_replaced() {
    let fleet = fleet(30);
    let followers = followers_of(&fleet);
    let gone = Arc::clone(&followers[0].name);
    let rest: Vec<Member> = fleet
        .iter()
        .filter(|member| member.name != gone)
        .cloned()
        .collect();
    assert_eq!(followers_of(&rest).len(), followers.len());
}

#[test]
fn publishing_is_spread_over_daemons_of_other_zones() {
    let fleet = fleet(90);
    let mut receivers = std::collections::HashSet::new();
    for own in fleet.iter().filter(|own| &*own.zone == "a") {
        receivers.extend(Topology::of(own, &fleet).remote_zone_peers);
    }
    assert!(
        receivers.len() > 30,
        "{} of 60 daemons are sent to",
        receivers.len()
    );
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7660))
}

#[test]
fn a_follower_is_trusted_while_it_reports() {
    let mut table = FollowerTable::default();
    let mut now = Instant::now();
    assert!(table.reliable_until(now).is_none());
    for _ in 0..20 {
        table.receive(peer(), Duration::from_millis(900), now);
        now += GOSSIP_INTERVAL;
        assert!(table.reliable_until(now).is_some());
    }
    now += Duration::from_secs(1);
    assert!(table.reliable_until(now).is_none());
}

#[test]
fn a_follower_without_recent_store_contact_is_not_trusted() {
    let mut table = FollowerTable::default();
    let now = Instant::now();
    table.receive(peer(), Duration::from_secs(3), now);
    assert!(table.reliable_until(now).is_none());
}

#[test]
fn a_distrusted_follower_is_not_relied_on() {
    let mut table = FollowerTable::default();
    let now = Instant::now();
    table.receive(peer(), Duration::ZERO, now);
    table.distrust(peer());
    assert!(table.reliable_until(now).is_none());
}

#[test]
fn trust_in_a_dead_follower_ends_within_a_second() {
    let mut table = FollowerTable::default();
    let now = Instant::now();
    // All followers fail right after they reported contact with the store.
    table.receive(peer(), Duration::ZERO, now);
    let until = table.reliable_until(now).expect("a trusted follower");
    assert!(until - now < Duration::from_secs(1));
}

/// Store calls per second of `daemons` daemons that each wait for `gathering` between calls.
fn calls_per_second(daemons: u32, gathering: Duration) -> f64 {
    f64::from(daemons) / gathering.as_secs_f64()
}

#[test]
fn following_the_store_alone_uses_at_most_a_tenth_of_its_reads() {
    const READS: f64 = 16_000.0;
    for daemons in [100, 1_000, 2_000] {
        let gathering = batch_interval_alone(daemons as usize, READS);
        let calls = calls_per_second(daemons, gathering);
        assert!(
            calls <= READS * 0.101,
            "{daemons} daemons: {calls} calls a second"
        );
    }
}

#[test]
fn gathering_is_bounded() {
    let longest = Duration::from_millis(1_500);
    assert_eq!(batch_interval_alone(100_000, 100.0), longest);
    assert_eq!(batch_interval_alone(7, 0.0), longest);
    assert_eq!(
        batch_interval_for_others(12, 16_000.0),
        Duration::from_millis(40)
    );
    assert_eq!(batch_interval_alone(7, 2_000.0), Duration::from_millis(150));
}

/// Digests sent to other zones in one minute, with one published every half second.
fn remote_digests_in_a_minute(has_work: impl Fn(u32) -> bool) -> usize {
    let begun = Instant::now();
    let mut pace = CrossZonePacer::default();
    let receivers = (0..120).filter(|step| {
        let now = begun + Duration::from_millis(500) * *step;
        pace.is_due(has_work(*step), now)
    });
    receivers.count()
}

#[test]
fn other_zones_receive_work_at_once_and_idle_digests_rarely() {
    assert_eq!(remote_digests_in_a_minute(|_step| true), 120);
    assert_eq!(remote_digests_in_a_minute(|_step| false), 30);
    // Work in one of ten intervals is sent at once, its end as well, and two idle digests follow.
    assert_eq!(remote_digests_in_a_minute(|step| step % 10 == 0), 48);
}
