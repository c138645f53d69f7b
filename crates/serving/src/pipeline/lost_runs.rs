//! Runs that ended because their engine did.
//!
//! A connection that breaks under a request tells nothing of its cause. Where nothing listens at the engine's address any
//! more, the engine has ended, and each request that it ran may have been the reason. An engine that is merely out of reach
//! says nothing of its requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use tokio::sync::OnceCell;

use super::Pipeline;
use super::job::Job;
use crate::request_trace::milliseconds;
use crate::time::now;

/// Which engines were found to have ended. The many requests of one engine break at one moment and share one look.
#[derive(Debug, Default)]
pub(super) struct EngineEnds {
    looks: Mutex<HashMap<Arc<str>, Arc<OnceCell<bool>>>>,
}

impl EngineEnds {
    /// Forgets engines that have no entry any more.
    pub(super) fn keep_only(&self, is_present: impl Fn(&str) -> bool) {
        self.lock().retain(|id, _look| is_present(id));
    }

    fn look_of(&self, engine: &Arc<str>) -> Arc<OnceCell<bool>> {
        let mut looks = self.lock();
        Arc::clone(looks.entry(Arc::clone(engine)).or_default())
    }

    /// The engine lives: the next broken connection is a matter of its own.
    fn forget(&self, engine: &str) {
        self.lock().remove(engine);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<OnceCell<bool>>>> {
        self.looks
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Pipeline {
    /// A send of the request, begun at `begun`, ended without a whole answer. Notes it where the engine ended with it.
    pub(super) async fn run_was_cut(
        &self,
        job: &Job,
        engine: &Arc<BackEnd>,
        outcome: Option<Outcome>,
        begun: Instant,
    ) {
        let may_have_ended = matches!(outcome, Some(Outcome::Broken | Outcome::Unreachable));
        if !may_have_ended || !self.has_ended(engine).await {
            return;
        }
        self.metrics.run_lost();
        let update = self.record_lost_run(job, engine, begun);
        tracing::warn!(
            request = &*job.id,
            fingerprint = %job.fingerprint(),
            tenant = job.tenant.as_ref().map(|tenant| &*tenant.name),
            route = &*job.route.name,
            back_end = &*engine.id,
            ran_ms = milliseconds(now().saturating_duration_since(begun)),
            requests_there = self.placement().load.requests(&engine.id),
            before = update.before.as_str(),
            standing = update.after.as_str(),
            "run_lost_with_engine"
        );
    }

    async fn has_ended(&self, engine: &Arc<BackEnd>) -> bool {
        let look = self.engine_ends.look_of(&engine.id);
        let looking = || self.connections.refuses_connections(engine.address);
        let has_ended = *look.get_or_init(looking).await;
        if !has_ended {
            self.engine_ends.forget(&engine.id);
        }
        has_ended
    }
}
