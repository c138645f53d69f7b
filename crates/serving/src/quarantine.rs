//! Writes quarantines to the store, so that they outlast a loss of all daemons and daemons read
//! them when they start.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::fingerprint::Fingerprint;
use ponddrift_fleet::quarantine::{QUARANTINE_DURATION, UnstoredQuarantine};
use ponddrift_runtime::Runtime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet_state::FleetState;
use crate::store::{FleetStore, StoreError};
use crate::time::now;

/// Maximum delay before a daemon writes a quarantine that it learned from others. It writes only if
/// the daemon that found it has not, because that one exited or cannot reach the store.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts the task that writes quarantines.
pub fn start(runtime: &Runtime, store: &Arc<dyn FleetStore>, state: &Arc<FleetState>) {
    let filing = QuarantineWriter {
        store: Arc::clone(store),
        state: Arc::clone(state),
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(43)),
    };
    runtime.spawner.spawn(Box::pin(filing.run()));
}

struct QuarantineWriter {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    random: Pcg64Mcg,
}

impl QuarantineWriter {
    async fn run(mut self) {
        loop {
            self.state.quarantine_changed().notified().await;
            self.write_releases().await;
            while let Some(unstored) = self.next_unwritten() {
                let is_its_turn = self.wait_for_its_turn(&unstored).await;
                if !is_its_turn || self.state.quarantine().is_stored(unstored.fingerprint) {
                    continue;
                }
                if !self.write_quarantine(&unstored).await {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// The next quarantine to write; those that this daemon found itself come first.
    fn next_unwritten(&self) -> Option<UnstoredQuarantine> {
        let mut quarantine = self.state.quarantine();
        quarantine.refresh(now());
        let mut unstored = quarantine.unstored(now());
        drop(quarantine);
        unstored.sort_by_key(|unstored| !unstored.is_own);
        unstored.into_iter().next()
    }

    /// Waits until the quarantine may be written. Returns `false` if the set of quarantines changed
    /// meanwhile, because one found by this daemon takes precedence.
    async fn wait_for_its_turn(&mut self, unstored: &UnstoredQuarantine) -> bool {
        if unstored.is_own {
            return true;
        }
        let fraction = self.random.random_range(0.2..1.0);
        let delay = tokio::time::sleep(MAX_WRITE_DELAY.mul_f64(fraction));
        tokio::select! {
            biased;
            () = self.state.quarantine_changed().notified() => false,
            () = delay => true,
        }
    }

    /// Returns whether the store holds the quarantine now.
    async fn write_quarantine(&self, unstored: &UnstoredQuarantine) -> bool {
        let fingerprint = unstored.fingerprint;
        let engines: Vec<Arc<str>> = unstored
            .engines
            .iter()
            .map(|engine| Arc::from(engine.to_string()))
            .collect();
        let filing = self
            .store
            .file_quarantine(fingerprint, &engines, QUARANTINE_DURATION);
        match filing.await {
            Ok(()) => {
                tracing::warn!(
                    %fingerprint,
                    engines = engines.join(","),
                    "request_quarantined"
                );
                self.state.quarantine().record_stored(fingerprint, now());
                true
            }
            Err(error) => {
                tracing::warn!(%fingerprint, %error, "quarantine_not_filed");
                false
            }
        }
    }

    async fn write_releases(&self) {
        let cleared = self.state.quarantine().take_releases();
        for fingerprint in cleared {
            if let Err(error) = self.release(fingerprint).await {
                // The lease expires the quarantine anyway, and daemons that learned of the
                // successful run serve the request.
                tracing::warn!(%fingerprint, %error, "quarantine_not_released");
            }
        }
    }

    async fn release(&self, fingerprint: Fingerprint) -> Result<(), StoreError> {
        self.store.release(fingerprint).await
    }
}
