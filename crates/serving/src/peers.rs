//! Gossip between daemons: work in progress, prompt heads that engines keep, usage, and changes of the store.
//!
//! Urgent changes go to all neighbours at once. A few daemons of every other zone get them too and forward them to their
//! own neighbours. Daemons that follow the store publish its changes; whoever lacks some asks for them over TCP.

mod deposits;
mod message;
mod publish;
mod rate_limits;
mod receive;
mod relay;
mod retained;
mod suspects;
mod translate;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::rate_limits::MembersTrust;
use ponddrift_runtime::{BoxedDatagram, Runtime};
use tokio::sync::{Notify, mpsc};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet_state::FleetState;
use crate::follow::FollowStatus;
use crate::pipeline::Pipeline;
use crate::store::Changes;
use crate::time::now;
use message::{AwayRow, HeadRow, ReportRow};
use rate_limits::EarlyLimit;
use retained::SeenSets;

pub(crate) use rate_limits::log_rate_change;
pub(crate) use relay::{fetch_page, withdraw_retry};
pub use relay::{fetch_settled, fetch_tallies};

/// What a daemon knows of its peers before it has read the store.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Peers to begin with.
    pub seeds: Vec<SocketAddr>,
}

/// Starts to publish and to receive gossip. `unpublished` brings changes of the store for the neighbours.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(
    runtime: &Runtime,
    settings: PeerSettings,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
    following: &Arc<FollowStatus>,
    unpublished: mpsc::Receiver<Changes>,
) -> std::io::Result<()> {
    let own = state.own();
    let address = own.peer_address;
    let socket: Arc<BoxedDatagram> = Arc::new(runtime.network.bind_datagram(address).await?);
    let usage = pipeline.usage().cloned();
    relay::serve(runtime, address, state, pipeline).await?;
    let peers = Arc::new(Peers {
        origin: xxh3_64_with_seed(own.name.as_bytes(), runtime.seed),
        runtime: runtime.clone(),
        settings,
        socket,
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        following: Arc::clone(following),
        to_forward: Mutex::default(),
        has_to_forward: Notify::new(),
        is_catching_up: AtomicBool::new(false),
        is_asking_for_retained: AtomicBool::new(false),
        seen_sets: Mutex::default(),
        early_limits: Mutex::default(),
        last_received: Mutex::default(),
    });
    let spawner = &runtime.spawner;
    spawner.spawn(Box::pin(Arc::clone(&peers).publish()));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_changes(unpublished)));
    if let Some(recorder) = usage {
        spawner.spawn(Box::pin(Arc::clone(&peers).replicate_usage(recorder)));
    }
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_suspects()));
    spawner.spawn(Box::pin(Arc::clone(&peers).ask_for_rate_limits()));
    spawner.spawn(Box::pin(Arc::clone(&peers).take_early_limits()));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_rate_limits()));
    spawner.spawn(Box::pin(Arc::clone(&peers).deposit_retries()));
    spawner.spawn(Box::pin(peers.receive()));
    Ok(())
}

/// A neighbour counts as reachable for so long after a datagram of it: of a hundred neighbours each gets one every two seconds while nothing changes.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_secs(3);

struct Peers {
    /// Distinguishes this life of this daemon from all others.
    origin: u64,
    runtime: Runtime,
    settings: PeerSettings,
    socket: Arc<BoxedDatagram>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    following: Arc<FollowStatus>,
    to_forward: Mutex<Forwarded>,
    has_to_forward: Notify,
    is_catching_up: AtomicBool,
    is_asking_for_retained: AtomicBool,
    seen_sets: Mutex<SeenSets>,
    early_limits: Mutex<Vec<EarlyLimit>>,
    /// When the last datagram of each neighbour was received.
    last_received: Mutex<HashMap<SocketAddr, Instant>>,
}

/// Reports of daemons of other zones, to be forwarded to the neighbours.
#[derive(Debug, Default)]
struct Forwarded {
    reports: Vec<ReportRow>,
    heads: Vec<HeadRow>,
    away: Vec<AwayRow>,
}

impl Peers {
    fn seen_sets(&self) -> MutexGuard<'_, SeenSets> {
        self.seen_sets
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn early_limits(&self) -> MutexGuard<'_, Vec<EarlyLimit>> {
        self.early_limits
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn to_forward(&self) -> MutexGuard<'_, Forwarded> {
        self.to_forward
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Neighbours; before any daemon is known, the seeds.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let topology = self.state.topology();
        if topology.daemons > 1 {
            return topology.neighbours.clone();
        }
        let own = self.state.own().peer_address;
        let seeds = self.settings.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), own.port()))
            .filter(|seed| *seed != own)
            .collect()
    }

    fn note_received(&self, peer: SocketAddr) {
        if self.is_neighbour(peer) {
            self.last_received().insert(peer, now());
        }
    }

    /// Whether the known members can be relied on: the store is in contact, or all neighbours sent something lately. For a daemon that wakes or is
    /// cut off neither holds.
    fn members_trust(&self) -> MembersTrust {
        let mut reachable = self.last_received();
        reachable.retain(|_peer, at| now().saturating_duration_since(*at) < NEIGHBOUR_TIMEOUT);
        let topology = self.state.topology();
        let reaches_all = topology
            .neighbours
            .iter()
            .all(|peer| reachable.contains_key(peer));
        if reaches_all || self.following.has_store_contact() {
            MembersTrust::Confirmed
        } else {
            MembersTrust::Unconfirmed
        }
    }

    fn last_received(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        self.last_received
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn is_neighbour(&self, peer: SocketAddr) -> bool {
        let topology = self.state.topology();
        topology.daemons == 1 || topology.neighbours.contains(&peer)
    }
}
