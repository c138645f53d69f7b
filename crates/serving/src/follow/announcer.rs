//! Keeps the daemon's own key in the store, so that other daemons can find it.
//!
//! A restarted daemon that finds its key in the store takes over the lease of its previous run.
//! After a restart of all daemons, no key changes and no daemon has to be informed about any other.
//! The same applies if the store is restored from a backup that contains the key.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::store::{FleetStore, Lease, StoreError};
use crate::time::{self, now};

/// Time to live of the lease to which the daemon's key is bound.
const DAEMON_LEASE_TTL: Duration = Duration::from_secs(10);
/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Random factor that is applied to the renewal interval to get the retry delay of a daemon whose
/// key is not written.
const RETRY_DELAY_FACTORS: std::ops::Range<f64> = 0.2..0.8;
/// How long a daemon counts as present although the store lost its key when it was restored from a
/// backup. All daemons then write a lease and a key again, and the store limits the rate of writes.
pub(crate) const MISSING_KEY_GRACE: Duration = DAEMON_LEASE_TTL.saturating_mul(2);

pub(super) struct Announcer {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    random: Pcg64Mcg,
}

/// The lease of the daemon's key.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    lease: Lease,
    key: KeyState,
}

/// What is known about the daemon's key under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    /// The key has not been written under this lease.
    Unwritten,
    /// The key existed under this lease in a previous run of the daemon or in the backup from which
    /// the store was restored. This has not been confirmed, because the read may have been out of
    /// date.
    Unconfirmed,
    /// The key exists under this lease.
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
        let mut takeover_tried_in = None;
        loop {
            let era = self.state.era().newest();
            let step = if held.is_none() && takeover_tried_in != Some(era) {
                takeover_tried_in = Some(era);
                self.take_over().await
            } else {
                self.step(held).await
            };
            match step {
                Ok(updated) => held = Some(updated),
                Err(StoreError::LeaseExpired) => {
                    held = None;
                    continue;
                }
                Err(error) => tracing::debug!(%error, "announcement_failed"),
            }
            time::sleep(self.next_delay(held)).await;
        }
    }

    /// Delay until the next step. Daemons whose keys are missing all write at the same time and the
    /// store limits the rate of writes, so their retries are randomized.
    fn next_delay(&mut self, held: Option<HeldLease>) -> Duration {
        let is_written = held.is_some_and(|held| held.key != KeyState::Unwritten);
        if is_written {
            RENEWAL_INTERVAL
        } else {
            RENEWAL_INTERVAL.mul_f64(self.random.random_range(RETRY_DELAY_FACTORS))
        }
    }

    /// Continues to use the lease under which the store already holds the key, if there is one:
    /// that of a previous run of the daemon, or of the backup from which the store was restored.
    async fn take_over(&self) -> Result<HeldLease, StoreError> {
        let found = self.store.find_announcement_lease(self.state.own()).await?;
        let lease = found.ok_or(StoreError::LeaseExpired)?;
        self.store.renew(lease).await?;
        tracing::info!("announcement_taken_over");
        Ok(HeldLease {
            lease,
            key: KeyState::Unconfirmed,
        })
    }

    async fn step(&self, held: Option<HeldLease>) -> Result<HeldLease, StoreError> {
        match held {
            None => {
                let lease = self.store.grant(DAEMON_LEASE_TTL).await?;
                self.write(lease).await
            }
            Some(HeldLease {
                lease,
                key: KeyState::Unwritten,
            }) => {
                // Renewals do not count towards the store's limit on writes. The lease must not
                // expire before the key is written.
                self.store.renew(lease).await?;
                self.write(lease).await
            }
            Some(held) => self.renew(held).await,
        }
    }

    /// Writes the key. If the store rejects the write, the lease is kept for the next attempt: to
    /// request another lease each time would use half of the permitted writes.
    async fn write(&self, lease: Lease) -> Result<HeldLease, StoreError> {
        let key = match self.store.announce(self.state.own(), lease).await {
            Ok(()) => KeyState::Written,
            Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
            Err(error) => {
                tracing::debug!(%error, "announcement_failed");
                KeyState::Unwritten
            }
        };
        Ok(HeldLease { lease, key })
    }

    async fn renew(&self, held: HeldLease) -> Result<HeldLease, StoreError> {
        let mut key = held.key;
        if key == KeyState::Unconfirmed && self.state.knows_own_key() {
            key = KeyState::Written;
        }
        if key == KeyState::Unconfirmed && self.state.position().is_some() {
            // The key was bound to another lease and was removed with it.
            return Err(StoreError::LeaseExpired);
        }
        let started = now();
        self.store.renew(held.lease).await?;
        let took = now().saturating_duration_since(started);
        self.metrics.store_answered(took);
        Ok(HeldLease { key, ..held })
    }
}
