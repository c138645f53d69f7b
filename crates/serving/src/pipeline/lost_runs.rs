//! Detects requests whose engine exited while it ran them.
//!
//! A broken connection does not show its cause. If nothing listens at the engine's address any
//! more, the engine has exited, and any of the requests that it ran may have caused that. An engine
//! that is merely unreachable is no evidence against its requests, and a connection that is refused
//! on one path is none either: a peer that reaches other back ends has to be refused as well.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use tokio::sync::OnceCell;

use super::Pipeline;
use super::job::Job;
use super::quarantining::RunProgress;
use crate::request_trace::milliseconds;
use crate::time::now;

/// A check that reached the engine within this time shows that the path works.
const RECENT_CONTACT: Duration = Duration::from_millis(500);

/// Results of the checks whether engines have exited. All requests of an engine fail at the same
/// moment and share one check.
#[derive(Debug, Default)]
pub(super) struct EngineExitChecks {
    checks: Mutex<HashMap<EngineLife, Arc<OnceCell<bool>>>>,
}

/// ID and incarnation: an engine may start again under its ID.
type EngineLife = (Arc<str>, u64);

impl EngineExitChecks {
    /// Removes engines that are no longer in the directory.
    pub(super) fn keep_only(&self, is_present: impl Fn(&str) -> bool) {
        self.lock().retain(|(id, _life), _check| is_present(id));
    }

    fn check_for(&self, engine: &BackEnd) -> Arc<OnceCell<bool>> {
        let mut checks = self.lock();
        Arc::clone(checks.entry(life_of(engine)).or_default())
    }

    /// Removes the result for an engine that is alive, so that the next broken connection is
    /// checked again.
    fn forget(&self, engine: &BackEnd) {
        self.lock().remove(&life_of(engine));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EngineLife, Arc<OnceCell<bool>>>> {
        self.checks
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn life_of(engine: &BackEnd) -> EngineLife {
    (Arc::clone(&engine.id), engine.incarnation.0)
}

impl Pipeline {
    /// Checks a send that began at `started_at` and ended without a complete answer. Returns whether
    /// the engine is known to have exited. The run is recorded as lost only if nothing listens at the
    /// engine's address any more: after a restart under the same ID, the request may have run in the
    /// new process.
    pub(super) async fn check_lost_run(
        &self,
        job: &Job,
        engine: &Arc<BackEnd>,
        outcome: Option<Outcome>,
        started_at: Instant,
        progress: RunProgress,
    ) -> bool {
        let may_have_exited = matches!(
            outcome,
            Some(Outcome::Broken | Outcome::Unreachable | Outcome::Unresponsive)
        );
        if !may_have_exited {
            return false;
        }
        if !self.engine_has_exited(engine).await {
            return self.state.has_later_incarnation(engine);
        }
        self.metrics.run_lost();
        let update = self.record_lost_run(job, engine, started_at, progress);
        tracing::warn!(
            request = &*job.id,
            fingerprint = %job.fingerprint(),
            tenant = job.tenant.as_ref().map(|tenant| &*tenant.name),
            route = &*job.route.name,
            back_end = &*engine.id,
            ran_ms = milliseconds(now().saturating_duration_since(started_at)),
            requests_there = self.placement().load.requests(&engine.id),
            progress = progress.as_str(),
            parts = job.suspect_parts().len(),
            before = update.before.as_str(),
            standing = update.after.as_str(),
            "run_lost_with_engine"
        );
        true
    }

    /// Releases outcomes for publication if the engine accepts direct connections.
    fn confirm_if_reached(&self, engine: &BackEnd) {
        let reached = self
            .paths()
            .paths()
            .has_contact_since(engine.address, now() - RECENT_CONTACT);
        if reached {
            let mut placement = self.placement();
            placement.health.confirm_unanswered(&engine.id, now());
        }
    }

    async fn engine_has_exited(&self, engine: &Arc<BackEnd>) -> bool {
        let check = self.engine_exit_checks.check_for(engine);
        let probe = || self.paths().has_exited(engine.address);
        let engine_has_exited = *check.get_or_init(probe).await;
        if !engine_has_exited {
            self.engine_exit_checks.forget(engine);
        }
        self.confirm_if_reached(engine);
        engine_has_exited
    }
}
