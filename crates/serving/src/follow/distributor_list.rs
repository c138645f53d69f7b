//! Keeps the list of a zone's distributors in the store, for daemons that start and know nobody.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::revision::Era;

use crate::fleet_state::FleetState;
use crate::store::{FleetStore, StoreError};

/// Time between two looks. Daemons that come or go together do so within this time; the list is written where it was the same
/// at two looks.
const LOOK_INTERVAL: Duration = Duration::from_secs(4);

/// The list as this daemon would write it. Only the first distributor of a zone writes.
pub(super) struct DistributorList {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    /// What the store holds, where it is known, and since which era.
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
        let mut seen = Vec::new();
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            let distributors = self.state.topology().distributors.clone();
            let is_settled = distributors == seen;
            seen = distributors;
            if !is_settled || seen.first() != Some(&self.state.own().peer_address) {
                continue;
            }
            if let Err(error) = self.bring_up_to_date(&seen).await {
                tracing::info!(%error, "distributors_not_written");
            }
        }
    }

    async fn bring_up_to_date(&mut self, distributors: &[SocketAddr]) -> Result<(), StoreError> {
        let zone = &self.state.own().zone;
        let era = self.state.era().newest();
        // What was written may have gone when the store came back from an older copy.
        let mut written = self.written.take_if(|(since, _list)| *since == era);
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
        // Whatever comes of the call, what the store holds is not known for sure.
        self.written = None;
        self.store.write_distributors(zone, distributors).await?;
        tracing::info!(distributors = distributors.len(), "distributors_written");
        self.written = Some((era, distributors.to_vec()));
        Ok(())
    }
}
