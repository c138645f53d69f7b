//! Records lost runs and refuses quarantined requests.

use std::sync::Arc;
use std::time::Instant;

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::quarantine::{LostRun, Standing, Update};

use super::Pipeline;
use super::answers::Failure;
use super::job::Job;
use crate::back_end_index::hash;
use crate::time::now;

impl Pipeline {
    pub(super) fn record_lost_run(
        &self,
        job: &Job,
        engine: &Arc<BackEnd>,
        begun: Instant,
    ) -> Update {
        let run = LostRun {
            engine: Arc::clone(&engine.id),
            begun,
            ended: now(),
        };
        let tenant = job.tenant.as_ref().map_or(0, |tenant| hash(&tenant.name));
        let fingerprint = job.fingerprint();
        let update = self
            .state
            .quarantine()
            .record_lost_run(fingerprint, tenant, run, now());
        self.changed_suspects.add(fingerprint);
        if update.after.is_quarantined() {
            self.state.quarantine_changed().notify_one();
        }
        update
    }

    /// Clears the suspicion against a request that ran to its end.
    pub(super) fn record_good_run(&self, job: &Job) {
        if self.state.quarantine().is_empty() {
            return;
        }
        let fingerprint = job.fingerprint();
        let was_filed = self.state.quarantine().is_stored(fingerprint);
        if !self.state.quarantine().record_good_run(fingerprint, now()) {
            return;
        }
        tracing::info!(
            request = &*job.id,
            %fingerprint,
            was_filed,
            "suspicion_cleared"
        );
        self.changed_suspects.add(fingerprint);
        if was_filed {
            self.state.quarantine_changed().notify_one();
        }
    }

    pub(super) fn standing(&self, job: &Job) -> Standing {
        let quarantine = self.state.quarantine();
        if quarantine.is_empty() {
            return Standing::Clear;
        }
        quarantine.standing(job.fingerprint(), now())
    }

    /// Whether the request may run now. A quarantined request must not run, because it may crash an
    /// engine together with all other requests there.
    pub(super) fn may_run_now(&self, job: &Job) -> Result<(), Failure> {
        const ENGINES_EXITED: &str =
            "engines ended while they ran this request: it is not run again";
        let Standing::Quarantined { until } = self.standing(job) else {
            return Ok(());
        };
        if job.runs > 0 {
            return Err(Failure::MayHaveRun(ENGINES_EXITED));
        }
        let remaining = until.saturating_duration_since(now());
        self.metrics.quarantined();
        Err(Failure::Quarantined { remaining })
    }
}
