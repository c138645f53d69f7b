//! Gossip between daemons: load reports, prompt prefixes cached by engines, usage counts, and
//! changes of the store.
//!
//! Urgent changes are sent to all neighbours at once. A few daemons of every other zone receive
//! them as well and forward them to their own neighbours. Daemons that follow the store publish its
//! changes. A daemon that lacks some of them fetches them over TCP.

mod catch_up;
mod deposits;
mod message;
mod path_reports;
mod profiles;
mod publish;
mod queries;
mod rate_limits;
mod receive;
mod relay;
mod retained;
mod stream_origins;
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
use crate::follow::{FollowStatus, StoreCheck};
use crate::pipeline::Pipeline;
use crate::store::Changes;
use crate::time::now;
use catch_up::CatchUp;
use message::{LoadReportRow, PrefixRow, UnavailableEngineRow};
use profiles::ProfileExchange;
use rate_limits::PendingLimit;
use retained::SeenSets;

pub(crate) use queries::{fetch_page, withdraw_retry};
pub use queries::{fetch_settled, fetch_tallies};
pub(crate) use rate_limits::log_rate_change;
pub(crate) use relay::{RelayAnswer, open_relay};
pub(crate) use stream_origins::{StreamRecorders, fetch_origin};

/// How to find peers before the store has been read.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Addresses of the peers to contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Starts to publish and to receive gossip. `unpublished` yields changes of the store to publish to
/// neighbours.
///
/// # Errors
/// If the peer address cannot be bound.
pub async fn start(
    runtime: &Runtime,
    settings: PeerSettings,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
    follow_status: &Arc<FollowStatus>,
    unpublished: mpsc::Receiver<Changes>,
) -> std::io::Result<()> {
    let own = state.own();
    let address = own.peer_address;
    let socket: Arc<BoxedDatagram> = Arc::new(runtime.network.bind_datagram(address).await?);
    let usage = pipeline.usage().cloned();
    queries::serve(runtime, address, state, pipeline).await?;
    pipeline.set_stream_recorders(StreamRecorders::new(
        runtime.clone(),
        Arc::clone(&socket),
        StoreCheck::new(state, follow_status),
    ));
    let peers = Arc::new(Peers {
        origin: xxh3_64_with_seed(own.name.as_bytes(), runtime.seed),
        runtime: runtime.clone(),
        settings,
        socket,
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        follow_status: Arc::clone(follow_status),
        to_forward: Mutex::default(),
        has_to_forward: Notify::new(),
        catch_up: CatchUp::default(),
        is_fetching_retained: AtomicBool::new(false),
        seen_sets: Mutex::default(),
        pending_limits: Mutex::default(),
        last_received: Mutex::default(),
        profile_exchange: Mutex::default(),
    });
    let spawner = &runtime.spawner;
    spawner.spawn(Box::pin(Arc::clone(&peers).publish()));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_changes(unpublished)));
    if let Some(recorder) = usage {
        spawner.spawn(Box::pin(Arc::clone(&peers).replicate_usage(recorder)));
    }
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_suspects()));
    spawner.spawn(Box::pin(Arc::clone(&peers).request_rate_limits()));
    spawner.spawn(Box::pin(
        Arc::clone(&peers).apply_pending_limits_while_reading(),
    ));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_rate_limits()));
    spawner.spawn(Box::pin(Arc::clone(&peers).deposit_retries()));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_profiles()));
    spawner.spawn(Box::pin(Arc::clone(&peers).publish_paths()));
    spawner.spawn(Box::pin(Arc::clone(&peers).renew_stream_origins()));
    spawner.spawn(Box::pin(peers.receive()));
    Ok(())
}

/// A neighbour counts as reachable for this long after its last datagram. With very many
/// neighbours, each receives a datagram only about every two seconds while nothing changes.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_secs(3);

struct Peers {
    /// Identifies this run of this daemon; differs after each restart.
    origin: u64,
    runtime: Runtime,
    settings: PeerSettings,
    socket: Arc<BoxedDatagram>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    follow_status: Arc<FollowStatus>,
    to_forward: Mutex<Forwarded>,
    has_to_forward: Notify,
    catch_up: CatchUp,
    is_fetching_retained: AtomicBool,
    seen_sets: Mutex<SeenSets>,
    pending_limits: Mutex<Vec<PendingLimit>>,
    /// When the last datagram of each neighbour arrived.
    last_received: Mutex<HashMap<SocketAddr, Instant>>,
    profile_exchange: Mutex<ProfileExchange>,
}

/// Data from daemons of other zones to forward to the neighbours.
#[derive(Debug, Default)]
struct Forwarded {
    reports: Vec<LoadReportRow>,
    prefixes: Vec<PrefixRow>,
    unavailable: Vec<UnavailableEngineRow>,
}

impl Peers {
    fn seen_sets(&self) -> MutexGuard<'_, SeenSets> {
        self.seen_sets
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn pending_limits(&self) -> MutexGuard<'_, Vec<PendingLimit>> {
        self.pending_limits
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn to_forward(&self) -> MutexGuard<'_, Forwarded> {
        self.to_forward
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The neighbours, or the seeds while no other daemon is known.
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

    fn record_datagram(&self, peer: SocketAddr) {
        if self.is_neighbour(peer) {
            self.last_received().insert(peer, now());
        }
    }

    /// Whether the set of known members is confirmed: the store is in contact, or all neighbours
    /// sent a datagram recently. Neither is true for a daemon that was suspended or is partitioned.
    fn members_trust(&self) -> MembersTrust {
        let mut reachable = self.last_received();
        reachable.retain(|_peer, at| now().saturating_duration_since(*at) < NEIGHBOUR_TIMEOUT);
        let topology = self.state.topology();
        let reaches_all = topology
            .neighbours
            .iter()
            .all(|peer| reachable.contains_key(peer));
        if reaches_all || self.follow_status.has_store_contact() {
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
