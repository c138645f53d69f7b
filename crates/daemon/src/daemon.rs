//! Startup and graceful shutdown of a daemon.

mod addresses;
mod assemble;
mod claim_groups;
mod controllers;
mod duties;
mod limits;
mod start_error;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::claims::GROUP_SIZE;
use ponddrift_core::membership::Readiness;
use ponddrift_http::Server;
use ponddrift_protocol::{Request, Response};
use tokio::sync::{mpsc, oneshot};
use xtra::Address;

pub use addresses::DaemonAddresses;
pub(crate) use claim_groups::peer_address;
pub use start_error::StartError;

use crate::actors::ask;
use crate::actors::peer::{LeaveMembership, PeerActor, SetReadiness};
use crate::gateway::GatewayContext;

/// Maximum time that a graceful shutdown waits for other daemons to take over this daemon's claims.
const HANDOVER_LIMIT: Duration = Duration::from_secs(20);
/// Interval between checks that all peers have the new shard map.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running daemon.
pub struct Daemon {
    gateway: Server,
    operator: Server,
    context: Arc<GatewayContext>,
    peers: Address<PeerActor>,
    stop_controllers: mpsc::Sender<oneshot::Sender<()>>,
    addresses: DaemonAddresses,
}

impl Daemon {
    /// Addresses that the daemon's sockets are bound to.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Releases the leases of this daemon's controllers.
    async fn step_down(&self) {
        let (stopped, is_stopped) = oneshot::channel();
        if self.stop_controllers.send(stopped).await.is_ok() {
            // An error means that the supervisor has already stopped.
            let _ended = is_stopped.await;
        }
    }

    /// Waits until no claim group contains this daemon. Otherwise two successive shutdowns could
    /// remove a group's majority, and its keys would be refused during a quarantine.
    async fn hand_over_claims(&self) {
        let own = self.context.claims.own;
        let others = self.context.claims.members.borrow().serving().count();
        if others < GROUP_SIZE {
            return;
        }
        let mut shard_map = self.context.claims.shard_map.clone();
        let handed_over = async {
            while shard_map.borrow_and_update().involves(own) {
                if shard_map.changed().await.is_err() {
                    return;
                }
            }
            self.await_shard_map_propagation().await;
        };
        if tokio::time::timeout(HANDOVER_LIMIT, handed_over)
            .await
            .is_err()
        {
            tracing::warn!(
                "claim handover timed out; leaving while this daemon still holds idempotency key claims"
            );
        }
    }

    /// Waits until no reachable serving peer has a shard map that names this daemon. A peer with an
    /// outdated map would query this daemon after it has stopped, and refuse the keys concerned.
    async fn await_shard_map_propagation(&self) {
        let claims = &self.context.claims;
        loop {
            let peers: Vec<SocketAddr> = claims
                .members
                .borrow()
                .serving()
                .map(|record| record.peer_address)
                .collect();
            let mut is_behind = false;
            for peer in peers {
                let answer = claims.client.ask(peer, Request::PullShardMap).await;
                if let Ok(Response::ShardMap(map)) = answer {
                    is_behind |= map.involves(claims.own);
                }
            }
            if !is_behind {
                return;
            }
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }

    /// Shuts down gracefully: rejects new requests, completes those in progress, then leaves the
    /// cluster.
    pub async fn stop(&self) {
        self.context.begin_stop();
        // The actor may have stopped already.
        let _told = ask(&self.peers, SetReadiness(Readiness::Leaving)).await;
        self.step_down().await;
        self.gateway.stop().await;
        self.hand_over_claims().await;
        self.operator.stop().await;
        let _left = ask(&self.peers, LeaveMembership).await;
    }
}
