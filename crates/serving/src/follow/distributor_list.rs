//! Maintains the list of a zone's distributors in the store, for starting daemons that know no
//! peers yet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::revision::Era;

use crate::fleet_state::FleetState;
use crate::store::{FleetStore, StoreError};

/// Interval between checks of the list. The list is written only if it was the same in two
/// consecutive checks, so that daemons that join or leave together cause a single write.
const CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// Writes the list of distributors of this daemon's zone. Only the first distributor of a zone
/// writes.
pub(super) struct DistributorList {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    /// The era and the list that the store is known to hold; `None` if that is unknown.
    written: Option<(Era, Vec<SocketAddr>)>,
}

impl DistributorList {
    pub(super) fn new(store: &Arc<dyn FleetStore>, state: &Arc<FleetState>) -> Self {
        Self {
            store: Arc::clone(store),
            state: Arc::clone(state),
            written: None,
        }
    }

    pub(super) async fn run(mut self) {
        let mut previous = Vec::new();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let distributors = self.state.topology().distributors.clone();
            let is_settled = distributors == previous;
            previous = distributors;
            if !is_settled || previous.first() != Some(&self.state.own().peer_address) {
                continue;
            }
            if let Err(error) = self.update_store(&previous).await {
                tracing::info!(%error, "distributors_not_written");
            }
        }
    }

    async fn update_store(&mut self, distributors: &[SocketAddr]) -> Result<(), StoreError> {
        let zone = &self.state.own().zone;
        let era = self.state.era().newest();
        // A list that was written may be lost if the store was restored from a backup.
        let mut written = self
            .written
            .take_if(|(written_in, _list)| *written_in == era);
        if written.is_none() {
            written = Some((era, self.store.read_distributors(zone).await?));
        }
        if written
            .as_ref()
            .is_some_and(|(_era, list)| list == distributors)
        {
            self.written = written;
            return Ok(());
        }
        // Unless the write succeeds, the list that the store holds is unknown.
        self.written = None;
        self.store.write_distributors(zone, distributors).await?;
        tracing::info!(distributors = distributors.len(), "distributors_written");
        self.written = Some((era, distributors.to_vec()));
        Ok(())
    }
}
