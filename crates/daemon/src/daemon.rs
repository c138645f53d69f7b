//! A running daemon: starting it and stopping it.

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

/// Longest wait of a planned stop for other daemons to take its claims over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at whether all peers know.
const HANDOVER_LOOK_INTERVAL: Duration = Duration::from_millis(50);

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
    /// Addresses that were bound.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Gives the leases of this daemon's controllers back.
    async fn step_down(&self) {
        let (stopped, is_stopped) = oneshot::channel();
        if self.stop_controllers.send(stopped).await.is_ok() {
            // Without an answer the controllers have ended by themselves.
            let _ended = is_stopped.await;
        }
    }

    /// Waits until other daemons keep the claims of this one. Without it two planned stops in a row could take
    /// a claim group's majority away, and its keys would be refused for a quarantine.
    async fn hand_claims_over(&self) {
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
            self.await_peers_with_the_map().await;
        };
        if tokio::time::timeout(HANDOVER_LIMIT, handed_over)
            .await
            .is_err()
        {
            tracing::warn!("leaving while claims of idempotency keys are still kept here");
        }
    }

    /// Waits until no serving peer that answers knows a map any more that names this daemon. A peer with the older map
    /// would ask this daemon for keys after its end, and refuse them.
    async fn await_peers_with_the_map(&self) {
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
            tokio::time::sleep(HANDOVER_LOOK_INTERVAL).await;
        }
    }

    /// A planned stop: takes nothing new, lets every request in progress end, then leaves its peers.
    pub async fn stop(&self) {
        self.context.begin_stop();
        // An actor that has stopped already needs no telling.
        let _told = ask(&self.peers, SetReadiness(Readiness::Leaving)).await;
        self.step_down().await;
        self.gateway.stop().await;
        self.hand_claims_over().await;
        self.operator.stop().await;
        let _left = ask(&self.peers, LeaveMembership).await;
    }
}
