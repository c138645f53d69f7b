//! Determines the peers of a daemon and the daemons that follow the store on behalf of others.
//!
//! A small fleet forms one neighbourhood; in a larger one each zone does. Daemons publish
//! everything to their neighbours, and to a few daemons of every other zone, which forward it to
//! their own neighbours. Calls to the store are expensive, so only a few daemons of each
//! neighbourhood follow it and forward changes. All daemons compute the same followers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::distribution::distributors;

/// Largest fleet that forms a single neighbourhood.
pub const SMALL_FLEET_MAX_DAEMONS: usize = 24;
/// Number of daemons per neighbourhood that follow the store, such that one may fail without
/// interrupting updates.
pub const FOLLOWERS_PER_NEIGHBOURHOOD: usize = 2;
/// Number of daemons per neighbourhood that store copies of their neighbours' usage counts. More
/// copies lose fewer counts when many daemons fail at once.
pub const USAGE_REPLICAS_PER_NEIGHBOURHOOD: usize = 3;
/// Daemons per other zone to which a daemon publishes.
const PEERS_PER_OTHER_ZONE: usize = 2;

/// A daemon as announced to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Zone; empty if unknown.
    pub zone: Arc<str>,
    /// Address that receives messages of peers.
    pub peer_address: SocketAddr,
    /// Link speed of its machine in megabits per second; 0 if unknown.
    pub link_megabits: u32,
}

/// Peers and duties of one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Peers of the same neighbourhood, which receive everything.
    pub neighbours: Vec<SocketAddr>,
    /// Neighbours in the daemon's own zone.
    pub zone_peers: Vec<SocketAddr>,
    /// Peers in other zones, which forward what they receive.
    pub remote_zone_peers: Vec<SocketAddr>,
    /// Whether this daemon follows the store for its neighbours.
    pub follows_store: bool,
    /// Number of daemons in the fleet, including this one.
    pub daemons: usize,
    /// Approximate number of daemons that follow the store, over all neighbourhoods.
    pub followers: usize,
    /// All other daemons of the fleet.
    pub members: HashSet<SocketAddr>,
    /// Neighbours that store copies of this daemon's usage counts.
    pub usage_replicas: Vec<SocketAddr>,
    /// All other daemons that store such copies, over all neighbourhoods.
    pub usage_replica_holders: Vec<SocketAddr>,
    /// Daemons of the neighbourhood that distribute the full store contents, possibly including
    /// this one; empty in a small neighbourhood.
    pub distributors: Vec<SocketAddr>,
}

impl Topology {
    /// Daemon that owns the retry pool of this zone; `None` in a small neighbourhood. Avoids the
    /// daemons that read the store if there is another distributor.
    #[must_use]
    pub fn retry_pool_owner(&self) -> Option<SocketAddr> {
        let other = self.distributors.get(FOLLOWERS_PER_NEIGHBOURHOOD);
        other.or(self.distributors.first()).copied()
    }

    /// Computes the topology of `own` in a fleet of `others`, which may include `own`.
    #[must_use]
    pub fn of(own: &Member, others: &[Member]) -> Self {
        let peers: Vec<&Member> = others
            .iter()
            .filter(|other| other.name != own.name)
            .collect();
        let is_small = peers.len() < SMALL_FLEET_MAX_DAEMONS;
        let is_near = |other: &Member| is_small || other.zone == own.zone;
        let near: Vec<&Member> = peers.iter().copied().filter(|peer| is_near(peer)).collect();
        let zones = if is_small {
            1
        } else {
            count_zones(own, &peers)
        };
        Self {
            neighbours: addresses(near.iter().copied()),
            zone_peers: addresses(near.iter().copied().filter(|peer| peer.zone == own.zone)),
            remote_zone_peers: remote_zone_peers_of(own, &peers, is_near),
            follows_store: is_follower(own, &near),
            daemons: peers.len() + 1,
            members: peers.iter().map(|peer| peer.peer_address).collect(),
            followers: zones * FOLLOWERS_PER_NEIGHBOURHOOD,
            usage_replicas: usage_replica_holders(own, near.iter().copied().chain([own])),
            usage_replica_holders: neighbourhoods(own, &peers, is_small)
                .iter()
                .flat_map(|daemons| usage_replica_holders(own, daemons.iter().copied()))
                .collect(),
            distributors: distributors(near.iter().copied().chain([own])),
        }
    }
}

fn addresses<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    members.map(|member| member.peer_address).collect()
}

fn count_zones(own: &Member, peers: &[&Member]) -> usize {
    let mut zones: Vec<&str> = peers.iter().map(|peer| &*peer.zone).collect();
    zones.push(&own.zone);
    zones.sort_unstable();
    zones.dedup();
    zones.len()
}

/// A few daemons of each other zone. The selection differs between daemons, to spread the load.
fn remote_zone_peers_of(
    own: &Member,
    peers: &[&Member],
    is_near: impl Fn(&Member) -> bool,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(own.name.as_bytes());
    let mut others: Vec<(&str, u64, SocketAddr)> = peers
        .iter()
        .filter(|peer| !is_near(peer))
        .map(|peer| {
            let rank = xxh3_64_with_seed(peer.name.as_bytes(), seed);
            (&*peer.zone, rank, peer.peer_address)
        })
        .collect();
    others.sort_unstable();
    others
        .chunk_by(|left, right| left.0 == right.0)
        .flat_map(|zone_peers| zone_peers.iter().take(PEERS_PER_OTHER_ZONE))
        .map(|(_zone, _rank, address)| *address)
        .collect()
}

/// All neighbourhoods, including the daemon's own.
fn neighbourhoods<'a>(
    own: &'a Member,
    peers: &[&'a Member],
    is_small: bool,
) -> Vec<Vec<&'a Member>> {
    let mut all: Vec<&Member> = peers.iter().copied().chain([own]).collect();
    if is_small {
        return vec![all];
    }
    all.sort_unstable_by(|left, right| left.zone.cmp(&right.zone));
    all.chunk_by(|left, right| left.zone == right.zone)
        .map(<[&Member]>::to_vec)
        .collect()
}

/// Daemons of a neighbourhood that store copies of usage counts, without `own`.
fn usage_replica_holders<'a>(
    own: &Member,
    daemons: impl Iterator<Item = &'a Member>,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Member> = daemons.collect();
    ranked.sort_by_cached_key(|member| rank(member));
    let holders = ranked.into_iter().take(USAGE_REPLICAS_PER_NEIGHBOURHOOD);
    addresses(holders.filter(|holder| holder.name != own.name))
}

/// Sort key that puts daemons with faster links first.
pub(crate) fn rank(member: &Member) -> (std::cmp::Reverse<u32>, u64) {
    let order = xxh3_64(member.name.as_bytes());
    (std::cmp::Reverse(member.link_megabits), order)
}

/// Whether `own` follows the store. Daemons with the fastest links do, because they forward
/// complete configurations.
fn is_follower(own: &Member, neighbours: &[&Member]) -> bool {
    let own_rank = rank(own);
    let before = neighbours.iter().filter(|peer| rank(peer) < own_rank);
    before.count() < FOLLOWERS_PER_NEIGHBOURHOOD
}
