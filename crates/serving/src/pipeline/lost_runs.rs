//! Detects requests whose engine exited while it ran them.
//!
//! A broken connection does not show its cause. If nothing listens at the engine's address any
//! more, the engine has exited, and any of the requests that it ran may have caused that. An engine
//! that is merely unreachable is no evidence against its requests, and a connection that is refused
//! on one path is none either: a peer that reaches other back ends has to be refused as well. If no
//! peer reaches any, because all back ends are down, the run waits for the entry of the engine to show
//! that this incarnation has ended; see [`UnconfirmedRuns`](super::unconfirmed_runs::UnconfirmedRuns).

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::{BackEnd, IncarnationId};
use ponddrift_fleet::health::Outcome;
use tokio::sync::OnceCell;

use super::Pipeline;
use super::job::Job;
use super::quarantining::{LostRunReport, RunProgress};
use crate::back_end_paths::ExitFinding;
use crate::time::now;

/// A check that reached the engine within this time shows that the path works.
const RECENT_CONTACT: Duration = Duration::from_millis(500);

/// Results of the checks whether engines have exited. All requests of an engine fail at the same
/// moment and share one check.
#[derive(Debug, Default)]
pub(super) struct EngineExitChecks {
    checks: Mutex<HashMap<IncarnationId, ExitCheck>>,
}

type ExitCheck = Arc<OnceCell<ExitFinding>>;

impl EngineExitChecks {
    /// Removes the incarnations that are no longer in the directory.
    pub(super) fn keep_only(&self, is_present: impl Fn(&IncarnationId) -> bool) {
        self.lock().retain(|engine, _check| is_present(engine));
    }

    /// Whether a finished check has shown that the engine has exited.
    fn has_found_exit(&self, engine: &BackEnd) -> bool {
        let checks = self.lock();
        let check = checks.get(&engine.incarnation_id());
        check.is_some_and(|check| check.get() == Some(&ExitFinding::Exited))
    }

    fn check_for(&self, engine: &BackEnd) -> ExitCheck {
        let mut checks = self.lock();
        Arc::clone(checks.entry(engine.incarnation_id()).or_default())
    }

    /// Removes the result for an engine that may be alive, so that the next broken connection is
    /// checked again.
    fn forget(&self, engine: &BackEnd) {
        self.lock().remove(&engine.incarnation_id());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<IncarnationId, ExitCheck>> {
        self.checks
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Pipeline {
    /// Removes the results for incarnations that are no longer in the directory.
    pub(super) fn tidy_exit_checks(&self) {
        let back_ends = self.state.back_ends();
        let present: HashSet<IncarnationId> = back_ends
            .iter()
            .map(|back_end| back_end.incarnation_id())
            .collect();
        self.engine_exit_checks
            .keep_only(|engine| present.contains(engine));
    }

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
        match self.find_engine_exit(engine).await {
            ExitFinding::NotShown => return self.state.has_later_incarnation(engine),
            ExitFinding::Refused if !self.is_known_to_have_ended(engine) => {
                self.hold_unconfirmed(LostRunReport::of(job, engine, started_at, progress));
                return false;
            }
            ExitFinding::Refused | ExitFinding::Exited => {}
        }
        let report = LostRunReport::of(job, engine, started_at, progress);
        self.record_lost_run(&report);
        true
    }

    /// Whether the entries, or what any daemon has lost there, show that the engine has exited.
    fn is_known_to_have_ended(&self, engine: &BackEnd) -> bool {
        let quarantine = self.state.quarantine();
        let has_terminated = quarantine.has_terminated(&engine.incarnation_id());
        drop(quarantine);
        has_terminated || self.state.has_ended(engine, now())
    }

    /// Whether this daemon has found that the engine has exited.
    pub(crate) fn has_found_exit(&self, engine: &BackEnd) -> bool {
        self.engine_exit_checks.has_found_exit(engine)
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

    async fn find_engine_exit(&self, engine: &Arc<BackEnd>) -> ExitFinding {
        let check = self.engine_exit_checks.check_for(engine);
        let probe = || self.paths().find_exit(engine.address);
        let finding = *check.get_or_init(probe).await;
        if finding != ExitFinding::Exited {
            self.engine_exit_checks.forget(engine);
        }
        self.confirm_if_reached(engine);
        finding
    }
}
