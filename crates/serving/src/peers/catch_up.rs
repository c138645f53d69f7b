//! Fetches the changes of the store that this daemon lacks from a peer that knows them.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::distribution::{PROVIDER_TIMEOUT, ReadPlan};
use ponddrift_fleet::revision::Revision;

use super::{Peers, queries};
use crate::fleet_state::{ChangesAnswer, UpdateSource};
use crate::full_read::FullRead;
use crate::store::Consistency;
use crate::time::{self, now};

/// How long the store may take to deliver what a peer already has, if this daemon follows the
/// store.
const STORE_HEAD_START: Duration = Duration::from_millis(250);

/// A peer's claim to know all changes up to a position.
#[derive(Debug, Clone, Copy)]
struct PositionClaim {
    peer: SocketAddr,
    position: Revision,
    received_at: Instant,
}

/// Whether a catch-up is in progress, and the newest claim that arrived meanwhile.
#[derive(Debug, Default)]
pub(super) struct CatchUp(Mutex<CatchUpState>);

#[derive(Debug, Default)]
struct CatchUpState {
    is_running: bool,
    newest: Option<PositionClaim>,
}

impl CatchUp {
    /// Records a claim. Returns whether a catch-up has to be started for it.
    fn record(&self, claim: PositionClaim) -> bool {
        let mut state = self.lock();
        let is_newest = state
            .newest
            .is_none_or(|newest| newest.position < claim.position);
        if is_newest {
            state.newest = Some(claim);
        }
        !std::mem::replace(&mut state.is_running, true)
    }

    /// The claim to catch up with next; `None` ends the catch-up.
    fn next_claim(&self) -> Option<PositionClaim> {
        let mut state = self.lock();
        let claim = state.newest.take();
        state.is_running = claim.is_some();
        claim
    }

    fn lock(&self) -> MutexGuard<'_, CatchUpState> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Peers {
    /// Handles a peer's claim to know everything up to `position`: fetches what is missing here.
    ///
    /// A claim that arrives during a catch-up is considered at its end. Otherwise a change that is
    /// published at that time would be applied only after the peer's next digest.
    pub(super) fn observe_position(self: &Arc<Self>, position: Revision, from: SocketAddr) {
        let own = self.state.position();
        if own.is_some_and(|own| own.era() < position.era()) {
            self.state.observe_peer_era(position.era(), now());
            self.follow_status.peer_is_ahead(from);
            return;
        }
        if own.is_some_and(|own| own >= position) {
            return;
        }
        let claim = PositionClaim {
            peer: from,
            position,
            received_at: now(),
        };
        if self.catch_up.record(claim) {
            let peers = Arc::clone(self);
            self.runtime
                .spawner
                .spawn(Box::pin(peers.catch_up_with_claims()));
        }
    }

    async fn catch_up_with_claims(self: Arc<Self>) {
        while let Some(claim) = self.catch_up.next_claim() {
            self.catch_up_with(claim).await;
        }
    }

    async fn catch_up_with(&self, claim: PositionClaim) {
        if self.follow_status.is_following() {
            time::sleep_until(claim.received_at + STORE_HEAD_START).await;
        }
        let peer = claim.peer;
        // Does nothing if there is no gap any more, or before the first full read, which fetches
        // everything.
        while let Some(known) = self
            .state
            .position()
            .filter(|known| *known < claim.position)
        {
            if let Err(error) = self.fetch_changes(peer, known).await {
                tracing::info!(%peer, %error, "catch_up_failed");
                self.follow_status.distrust(peer);
                return;
            }
            let reached = self.state.position();
            tracing::info!(
                %peer,
                %known,
                position = reached.map(tracing::field::display),
                "caught_up_from_peer"
            );
            if reached <= Some(known) {
                return;
            }
        }
    }

    /// Fetches the changes after `known`, or the first part of them, from a peer.
    async fn fetch_changes(&self, peer: SocketAddr, known: Revision) -> io::Result<()> {
        match queries::fetch_changes_after(&self.runtime, peer, known).await? {
            // If the changes leave a gap, the next iteration asks the peer again.
            ChangesAnswer::Changes(changes) => {
                self.state.apply_changes(changes, UpdateSource::Peer, now());
            }
            ChangesAnswer::HistoryForgotten => self.read_everything(peer).await,
        }
        Ok(())
    }

    async fn read_everything(&self, peer: SocketAddr) {
        let plan = ReadPlan {
            providers: vec![peer],
            fallback_after: PROVIDER_TIMEOUT,
        };
        let mut reading = FullRead::new(Consistency::Stale);
        // The caller sees the progress in the position.
        reading.read_peers(&self.runtime, &plan, &self.state).await;
    }
}
