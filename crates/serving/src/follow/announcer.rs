//! Keeps the daemon's own key in the store, so that others find it.
//!
//! A daemon that is restarted finds its key there, under the lease of its former life, and goes on renewing that lease: after a
//! loss of all daemons none of the keys changes, and no daemon has to be told of any other.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::store::{FleetStore, Lease, StoreError};
use crate::time::{self, now};

/// Life of the lease under which a daemon's key stands.
const DAEMON_LEASE: Duration = Duration::from_secs(10);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(3);
/// A daemon whose key the store lacks since it came back from an older copy is there for so long all the same: it writes its key
/// again with its next renewal, and one that has ended goes when its lease would have.
pub(crate) const MISSING_KEY_GRACE: Duration = DAEMON_LEASE.saturating_add(RENEWAL);

pub(super) struct Announcer {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    metrics: Arc<Metrics>,
}

/// The lease of the daemon's key.
#[derive(Debug, Clone, Copy)]
struct Held {
    lease: Lease,
    /// It is of a former life, and the key has not been seen since: what was read of it may have been old.
    is_unproved: bool,
}

impl Announcer {
    pub(super) fn new(
        store: &Arc<dyn FleetStore>,
        state: &Arc<FleetState>,
        metrics: &Arc<Metrics>,
    ) -> Self {
        Self {
            store: Arc::clone(store),
            state: Arc::clone(state),
            metrics: Arc::clone(metrics),
        }
    }

    pub(super) async fn run(self) {
        let mut held = None;
        let mut has_looked = false;
        loop {
            let step = if held.is_none() && !has_looked {
                has_looked = true;
                self.take_over().await
            } else {
                self.step(held).await
            };
            match step {
                Ok(kept) => held = Some(kept),
                Err(StoreError::LeaseOver) => {
                    held = None;
                    continue;
                }
                Err(error) => tracing::debug!(%error, "announcement_failed"),
            }
            time::sleep(RENEWAL).await;
        }
    }

    /// Goes on with the lease of a former life, if its key still stands.
    async fn take_over(&self) -> Result<Held, StoreError> {
        let found = self.store.announced_under(self.state.own()).await?;
        let lease = found.ok_or(StoreError::LeaseOver)?;
        self.store.renew(lease).await?;
        tracing::info!("announcement_taken_over");
        Ok(Held {
            lease,
            is_unproved: true,
        })
    }

    async fn step(&self, held: Option<Held>) -> Result<Held, StoreError> {
        let Some(held) = held else {
            return self.announce().await;
        };
        let is_unproved = held.is_unproved && !self.state.knows_itself();
        if is_unproved && self.state.position().is_some() {
            // The key stood under another lease after all, and went with it.
            return Err(StoreError::LeaseOver);
        }
        let begun = now();
        self.store.renew(held.lease).await?;
        let took = now().saturating_duration_since(begun);
        self.metrics.store_answered(took);
        Ok(Held {
            is_unproved,
            ..held
        })
    }

    async fn announce(&self) -> Result<Held, StoreError> {
        let lease = self.store.grant(DAEMON_LEASE).await?;
        self.store.announce(self.state.own(), lease).await?;
        Ok(Held {
            lease,
            is_unproved: false,
        })
    }
}
