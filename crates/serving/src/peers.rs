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
use crate::follow::Following;
use crate::pipeline::Pipeline;
use crate::store::Changes;
use crate::time::now;
use message::{AwayRow, HeadRow, ReportRow};

pub(crate) use rate_limits::log_rate_change;
pub use relay::fetch_tallies;
pub(crate) use relay::{fetch_page, withdraw_retry};

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
    following: &Arc<Following>,
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
        heard: Mutex::default(),
    });
    let spawner = &runtime.spawner;
    spawner.spawn(Box::pin(Arc::clone(&peers).publish()));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_changes(unpublished)));
    if let Some(recorder) = usage {
        spawner.spawn(Box::pin(Arc::clone(&peers).replicate_usage(recorder)));
    }
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_suspects()));
    spawner.spawn(Box::pin(Arc::clone(&peers).ask_for_rate_limits()));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_rate_limits()));
    spawner.spawn(Box::pin(Arc::clone(&peers).deposit_retries()));
    spawner.spawn(Box::pin(peers.receive()));
    Ok(())
}

/// A neighbour counts as heard for so long: one of a hundred is told every two seconds while nothing changes.
const HEARD_LIFE: Duration = Duration::from_secs(3);

struct Peers {
    /// Distinguishes this life of this daemon from all others.
    origin: u64,
    runtime: Runtime,
    settings: PeerSettings,
    socket: Arc<BoxedDatagram>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    following: Arc<Following>,
    to_forward: Mutex<Forwarded>,
    has_to_forward: Notify,
    is_catching_up: AtomicBool,
    /// When each neighbour was last heard.
    heard: Mutex<HashMap<SocketAddr, Instant>>,
}

/// Reports of daemons of other zones, to be forwarded to the neighbours.
#[derive(Debug, Default)]
struct Forwarded {
    reports: Vec<ReportRow>,
    heads: Vec<HeadRow>,
    away: Vec<AwayRow>,
}

impl Peers {
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

    fn note_heard(&self, peer: SocketAddr) {
        if self.is_neighbour(peer) {
            self.heard().insert(peer, now());
        }
    }

    /// Whether what is known of the other daemons can be relied on: the store tells who is there, or all neighbours were heard lately. A
    /// daemon that wakes or is cut off has neither.
    fn members_trust(&self) -> MembersTrust {
        let mut heard = self.heard();
        heard.retain(|_peer, at| now().saturating_duration_since(*at) < HEARD_LIFE);
        let topology = self.state.topology();
        let hears_all = topology
            .neighbours
            .iter()
            .all(|peer| heard.contains_key(peer));
        if hears_all || self.following.hears_store() {
            MembersTrust::Confirmed
        } else {
            MembersTrust::Unconfirmed
        }
    }

    fn heard(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        self.heard
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn is_neighbour(&self, peer: SocketAddr) -> bool {
        let topology = self.state.topology();
        topology.daemons == 1 || topology.neighbours.contains(&peer)
    }
}
