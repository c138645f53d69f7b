//! Keeps the history of the versions of all services in the store while this daemon leads.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_runtime::Runtime;

use crate::fleet_state::FleetState;
use crate::leader::Leadership;
use crate::pipeline::Pipeline;
use crate::store::{FleetStore, StoreError};
use crate::time::now;

/// Interval at which the leader compares the history with the back ends.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Starts to record versions.
pub fn start(
    runtime: &Runtime,
    is_first_start: bool,
    leadership: Leadership,
    store: &Arc<dyn FleetStore>,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
) {
    let recorder = VersionRecorder {
        runtime: runtime.clone(),
        is_first_start,
        leadership,
        store: Arc::clone(store),
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
    };
    runtime.spawner.spawn(Box::pin(recorder.run()));
}

struct VersionRecorder {
    runtime: Runtime,
    is_first_start: bool,
    leadership: Leadership,
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
}

impl VersionRecorder {
    async fn run(self) {
        while !self.pipeline.is_stopping() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if !self.leadership.may_call() {
                continue;
            }
            if let Err(error) = self.record().await {
                // The leader reads the key again before it repeats the write.
                tracing::warn!(%error, "versions_not_recorded");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn record(&self) -> Result<(), StoreError> {
        let time_of_day = self.runtime.clock.time_of_day();
        let update = self
            .state
            .updated_versions(self.is_first_start, time_of_day, now());
        let Some((history, before)) = update else {
            return Ok(());
        };
        self.store.write_versions(&history, before).await?;
        for (service, known) in &history.services {
            tracing::info!(
                service = &**service,
                version = known.version.as_deref(),
                since = ?known.since,
                "versions_recorded"
            );
        }
        Ok(())
    }
}
