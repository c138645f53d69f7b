//! Keeps the daemon's own key in the store, so that others find it.
//!
//! A daemon that is restarted finds its key there, under the lease of its former life, and goes on renewing that lease: after a
//! loss of all daemons none of the keys changes, and no daemon has to be told of any other. It is the same where the store comes back
//! from an older copy that has the key.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::store::{FleetStore, Lease, StoreError};
use crate::time::{self, now};

/// Life of the lease under which a daemon's key stands.
const DAEMON_LEASE: Duration = Duration::from_secs(10);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(3);
/// The next try of a daemon whose key is not written comes after the time between two renewals, times any of these.
const RETRY_SPREAD: std::ops::Range<f64> = 0.2..0.8;
/// A daemon whose key the store lacks since it came back from an older copy is there for so long all the same. All of them write a lease
/// and a key again, and the store takes only so many writes a second.
pub(crate) const MISSING_KEY_GRACE: Duration = DAEMON_LEASE.saturating_mul(2);

pub(super) struct Announcer {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    random: Pcg64Mcg,
}

/// The lease of the daemon's key.
#[derive(Debug, Clone, Copy)]
struct Held {
    lease: Lease,
    key: KeyState,
}

/// What is known of the key under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    /// It has not been written yet.
    Unwritten,
    /// It stood under this lease in a former life, or in the copy that the store came back from, and has not been seen since: what was
    /// read of it may have been old.
    Unproved,
    /// It stands there.
    Written,
}

impl Announcer {
    pub(super) fn new(
        store: &Arc<dyn FleetStore>,
        state: &Arc<FleetState>,
        metrics: &Arc<Metrics>,
        seed: u64,
    ) -> Self {
        Self {
            store: Arc::clone(store),
            state: Arc::clone(state),
            metrics: Arc::clone(metrics),
            random: Pcg64Mcg::seed_from_u64(seed.rotate_left(47)),
        }
    }

    pub(super) async fn run(mut self) {
        let mut held = None;
        let mut looked_in = None;
        loop {
            let era = self.state.era().newest();
            let step = if held.is_none() && looked_in != Some(era) {
                looked_in = Some(era);
                self.take_over().await
            } else {
                self.step(held).await
            };
            match step {
                Ok(kept) => held = Some(kept),
                Err(StoreError::LeaseExpired) => {
                    held = None;
                    continue;
                }
                Err(error) => tracing::debug!(%error, "announcement_failed"),
            }
            time::sleep(self.pause(held)).await;
        }
    }

    /// Daemons whose keys are missing all write at the same time, and the store takes only so many writes a second: their next tries are
    /// spread.
    fn pause(&mut self, held: Option<Held>) -> Duration {
        let is_written = held.is_some_and(|held| held.key != KeyState::Unwritten);
        if is_written {
            RENEWAL
        } else {
            RENEWAL.mul_f64(self.random.random_range(RETRY_SPREAD))
        }
    }

    /// Goes on with the lease under which the key stands, if it does: that of a former life, or of the copy that the store came back from.
    async fn take_over(&self) -> Result<Held, StoreError> {
        let found = self.store.find_announcement_lease(self.state.own()).await?;
        let lease = found.ok_or(StoreError::LeaseExpired)?;
        self.store.renew(lease).await?;
        tracing::info!("announcement_taken_over");
        Ok(Held {
            lease,
            key: KeyState::Unproved,
        })
    }

    async fn step(&self, held: Option<Held>) -> Result<Held, StoreError> {
        match held {
            None => {
                let lease = self.store.grant(DAEMON_LEASE).await?;
                self.write(lease).await
            }
            Some(Held {
                lease,
                key: KeyState::Unwritten,
            }) => {
                // Renewals are not among the writes that the store bounds; the lease must not lapse before its key is taken.
                self.store.renew(lease).await?;
                self.write(lease).await
            }
            Some(held) => self.renew(held).await,
        }
    }

    /// Writes the key. A lease whose key the store did not take is kept for the next try: to ask for another each time would take half of
    /// the writes.
    async fn write(&self, lease: Lease) -> Result<Held, StoreError> {
        let key = match self.store.announce(self.state.own(), lease).await {
            Ok(()) => KeyState::Written,
            Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
            Err(error) => {
                tracing::debug!(%error, "announcement_failed");
                KeyState::Unwritten
            }
        };
        Ok(Held { lease, key })
    }

    async fn renew(&self, held: Held) -> Result<Held, StoreError> {
        let mut key = held.key;
        if key == KeyState::Unproved && self.state.knows_own_key() {
            key = KeyState::Written;
        }
        if key == KeyState::Unproved && self.state.position().is_some() {
            // The key stood under another lease after all, and went with it.
            return Err(StoreError::LeaseExpired);
        }
        let begun = now();
        self.store.renew(held.lease).await?;
        let took = now().saturating_duration_since(begun);
        self.metrics.store_answered(took);
        Ok(Held { key, ..held })
    }
}
