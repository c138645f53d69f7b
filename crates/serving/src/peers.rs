//! What daemons tell each other: work in progress, prompt heads that engines keep, and what changed in the store.
//!
//! Neighbours tell each other at once what weighs. A few daemons of every other zone hear it too and pass it on to their
//! own neighbours. Daemons that follow the store tell what changes; whoever lacks something asks for it over TCP.

mod hear;
mod message;
mod relay;
mod tell;
mod translate;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard};

use ponddrift_runtime::{BoxedDatagram, Runtime};
use tokio::sync::{Notify, mpsc};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet_state::FleetState;
use crate::follow::Following;
use crate::pipeline::Pipeline;
use crate::store::Changes;
use message::{AwayRow, HeadRow, ReportRow};

pub use relay::fetch_tallies;

/// What a daemon knows of its peers before it has read the store.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Peers to begin with.
    pub seeds: Vec<SocketAddr>,
}

/// Starts telling and hearing peers. `untold` brings changes of the store that neighbours are to be told.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(
    runtime: &Runtime,
    settings: PeerSettings,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
    following: &Arc<Following>,
    untold: mpsc::Receiver<Changes>,
) -> std::io::Result<()> {
    let own = state.own();
    let address = own.peer_address;
    let socket: Arc<BoxedDatagram> = Arc::new(runtime.network.bind_datagram(address).await?);
    let usage = pipeline.usage().cloned();
    relay::serve(runtime, address, state, usage.as_ref()).await?;
    let peers = Arc::new(Peers {
        origin: xxh3_64_with_seed(own.name.as_bytes(), runtime.seed),
        runtime: runtime.clone(),
        settings,
        socket,
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        following: Arc::clone(following),
        to_pass_on: Mutex::default(),
        has_to_pass_on: Notify::new(),
        is_catching_up: AtomicBool::new(false),
    });
    let spawner = &runtime.spawner;
    spawner.spawn(Box::pin(Arc::clone(&peers).tell()));
    spawner.spawn(Box::pin(Arc::clone(&peers).tell_changes(untold)));
    if let Some(recorder) = usage {
        spawner.spawn(Box::pin(Arc::clone(&peers).replicate_usage(recorder)));
    }
    spawner.spawn(Box::pin(peers.hear()));
    Ok(())
}

struct Peers {
    /// Tells this life of this daemon from all others.
    origin: u64,
    runtime: Runtime,
    settings: PeerSettings,
    socket: Arc<BoxedDatagram>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    following: Arc<Following>,
    to_pass_on: Mutex<PassedOn>,
    has_to_pass_on: Notify,
    is_catching_up: AtomicBool,
}

/// What daemons of other zones told, for the neighbours.
#[derive(Debug, Default)]
struct PassedOn {
    reports: Vec<ReportRow>,
    heads: Vec<HeadRow>,
    away: Vec<AwayRow>,
}

impl Peers {
    fn to_pass_on(&self) -> MutexGuard<'_, PassedOn> {
        self.to_pass_on
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

    fn is_neighbour(&self, peer: SocketAddr) -> bool {
        let topology = self.state.topology();
        topology.daemons == 1 || topology.neighbours.contains(&peer)
    }
}
