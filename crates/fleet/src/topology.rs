//! Which peers a daemon talks to, and which daemons follow the store for the others.
//!
//! A small fleet is one neighbourhood. In a larger one the daemons of a zone are: neighbours tell each other
//! everything at once, and a few of every other zone hear it and pass it on to their own. Every call to the store
//! costs, so only a few of each neighbourhood follow it and pass on what changes; all compute alike which.

use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::distribution::distributors;

/// A fleet of no more daemons is one neighbourhood.
pub const SMALL_FLEET_MAX_DAEMONS: usize = 24;
/// Daemons of each neighbourhood that follow the store: one may fail without a gap in the news.
pub const FOLLOWERS_PER_NEIGHBOURHOOD: usize = 2;
/// Daemons of each neighbourhood that keep copies of what their neighbours counted: with half of all daemons killed at
/// once, one count in eight has no copy left, and the killed ones' newest are lost in any case.
pub const USAGE_REPLICAS_PER_NEIGHBOURHOOD: usize = 3;
/// Daemons of each other zone that are told.
const PEERS_PER_OTHER_ZONE: usize = 2;

/// A daemon as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Zone; empty where it is not known.
    pub zone: Arc<str>,
    /// Where it hears its peers.
    pub peer_address: SocketAddr,
    /// Speed of its machine's link in megabits a second; 0 where it is not known.
    pub link_megabits: u32,
}

/// A daemon's place among its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Peers that are told everything.
    pub neighbours: Vec<SocketAddr>,
    /// Those of them in the daemon's own zone.
    pub zone_peers: Vec<SocketAddr>,
    /// Peers of other zones, which pass on what they hear.
    pub remote_zone_peers: Vec<SocketAddr>,
    /// Whether this daemon follows the store for its neighbours.
    pub follows_store: bool,
    /// Daemons of the fleet, this one among them.
    pub daemons: usize,
    /// Daemons of all neighbourhoods that follow the store, about.
    pub followers: usize,
    /// Neighbours that keep copies of what this daemon counts.
    pub usage_replicas: Vec<SocketAddr>,
    /// All daemons that keep such copies, of all neighbourhoods, without this one.
    pub usage_replica_holders: Vec<SocketAddr>,
    /// Daemons of the neighbourhood, this one perhaps among them, that hand on everything that the store holds; none in a small
    /// one.
    pub distributors: Vec<SocketAddr>,
}

impl Topology {
    /// The daemon that keeps the retries of this one's zone; none in a small neighbourhood. Not one of those that read the store,
    /// where there is another.
    #[must_use]
    pub fn retry_pool_owner(&self) -> Option<SocketAddr> {
        let other = self.distributors.get(FOLLOWERS_PER_NEIGHBOURHOOD);
        other.or(self.distributors.first()).copied()
    }

    /// The place of `own` among `others`, which may contain it.
    #[must_use]
    pub fn of(own: &Member, others: &[Member]) -> Self {
        let peers: Vec<&Member> = others
            .iter()
            .filter(|other| other.name != own.name)
            .collect();
        let is_small = peers.len() < SMALL_FLEET_MAX_DAEMONS;
        let is_near = |other: &Member| is_small || other.zone == own.zone;
        let near: Vec<&Member> = peers.iter().copied().filter(|peer| is_near(peer)).collect();
        let zones = if is_small { 1 } else { zones_of(own, &peers) };
        Self {
            neighbours: addresses(near.iter().copied()),
            zone_peers: addresses(near.iter().copied().filter(|peer| peer.zone == own.zone)),
            remote_zone_peers: far_of(own, &peers, is_near),
            follows_store: is_follower(own, &near),
            daemons: peers.len() + 1,
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

fn zones_of(own: &Member, peers: &[&Member]) -> usize {
    let mut zones: Vec<&str> = peers.iter().map(|peer| &*peer.zone).collect();
    zones.push(&own.zone);
    zones.sort_unstable();
    zones.dedup();
    zones.len()
}

/// A few daemons of each other zone. Which ones differs from daemon to daemon, so that the work is spread.
fn far_of(own: &Member, peers: &[&Member], is_near: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
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

/// Every neighbourhood, the daemon's own among them.
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

/// Those of a neighbourhood that keep copies of what its daemons counted, without this daemon.
fn usage_replica_holders<'a>(own: &Member, daemons: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Member> = daemons.collect();
    ranked.sort_by_cached_key(|member| rank(member));
    let keepers = ranked.into_iter().take(USAGE_REPLICAS_PER_NEIGHBOURHOOD);
    addresses(keepers.filter(|keeper| keeper.name != own.name))
}

/// Daemons with faster links come first.
pub(crate) fn rank(member: &Member) -> (std::cmp::Reverse<u32>, u64) {
    let order = xxh3_64(member.name.as_bytes());
    (std::cmp::Reverse(member.link_megabits), order)
}

/// Those with the fastest links follow the store: they pass whole configurations on.
fn is_follower(own: &Member, neighbours: &[&Member]) -> bool {
    let own_rank = rank(own);
    let before = neighbours.iter().filter(|peer| rank(peer) < own_rank);
    before.count() < FOLLOWERS_PER_NEIGHBOURHOOD
}
