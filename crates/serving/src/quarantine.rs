//! Files quarantines in the store: they outlast the loss of all daemons there, and a daemon that starts reads them with
//! everything else.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::fingerprint::RequestFingerprint;
use ponddrift_fleet::quarantine::{QUARANTINE_DURATION, UnstoredQuarantine};
use ponddrift_runtime::Runtime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet_state::FleetState;
use crate::store::{FleetStore, StoreError};
use crate::time::now;

/// Daemons that know of a quarantine from others file it after a random time up to this, where the daemon that found it out
/// has not, because it ended or cannot reach the store.
const FILING_SPREAD: Duration = Duration::from_secs(2);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Starts to file quarantines.
pub fn start(runtime: &Runtime, store: &Arc<dyn FleetStore>, state: &Arc<FleetState>) {
    let filing = Filing {
        store: Arc::clone(store),
        state: Arc::clone(state),
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(43)),
    };
    runtime.spawner.spawn(Box::pin(filing.run()));
}

struct Filing {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    random: Pcg64Mcg,
}

impl Filing {
    async fn run(mut self) {
        loop {
            self.state.quarantine_changed().notified().await;
            self.release_all().await;
            while let Some(unstored) = self.next_unfiled() {
                let is_its_turn = self.wait_for_its_turn(&unstored).await;
                if !is_its_turn || self.state.quarantine().is_stored(unstored.fingerprint) {
                    continue;
                }
                if !self.file(&unstored).await {
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Own finds first.
    fn next_unfiled(&self) -> Option<UnstoredQuarantine> {
        let mut unstored = self.state.quarantine().unstored(now());
        unstored.sort_by_key(|unstored| !unstored.is_own);
        unstored.into_iter().next()
    }

    /// Returns false where something changed meanwhile: an own find goes first.
    async fn wait_for_its_turn(&mut self, unstored: &UnstoredQuarantine) -> bool {
        if unstored.is_own {
            return true;
        }
        let spread = self.random.random_range(0.2..1.0);
        let turn = tokio::time::sleep(FILING_SPREAD.mul_f64(spread));
        tokio::select! {
            biased;
            () = self.state.quarantine_changed().notified() => false,
            () = turn => true,
        }
    }

    /// Returns whether the store holds it now.
    async fn file(&self, unstored: &UnstoredQuarantine) -> bool {
        let fingerprint = unstored.fingerprint;
        let filing =
            self.store
                .file_quarantine(fingerprint, &unstored.engines, QUARANTINE_DURATION);
        match filing.await {
            Ok(()) => {
                tracing::warn!(
                    %fingerprint,
                    engines = unstored.engines.join(","),
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

    async fn release_all(&self) {
        let cleared = self.state.quarantine().take_releases();
        for fingerprint in cleared {
            if let Err(error) = self.release(fingerprint).await {
                // Its lease ends it in any case, and daemons that were told of the good run serve the request.
                tracing::warn!(%fingerprint, %error, "quarantine_not_released");
            }
        }
    }

    async fn release(&self, fingerprint: RequestFingerprint) -> Result<(), StoreError> {
        self.store.release(fingerprint).await
    }
}
