//! Asking admission to start, and reporting the end exactly once.

use std::time::Duration;

use ponddrift_core::admission::{AdmissionEvent, AdmissionRefusal, AdmissionRequest};
use ponddrift_core::routing::PlacementPlan;
use ponddrift_core::service_time::WorkUnits;
use ponddrift_core::{RequestId, ServiceName, Timestamp};
use ponddrift_http::{Problem, ProblemKind};
use ponddrift_runtime::Clock;
use std::sync::Arc;
use tokio::sync::oneshot;
use xtra::Address;

use super::dispatch::stopped;
use crate::actors::admission::{AdmissionActor, Arrive, Inform, Leave};
use crate::actors::{ActorStopped, tell};
use crate::requests::RequestGuard;

/// A request's place in admission; dropped, it gives the place back.
pub(super) struct Permit {
    admission: Address<AdmissionActor>,
    clock: Arc<dyn Clock>,
    id: RequestId,
    service: ServiceName,
    started_at: Option<Timestamp>,
    used_tokens: u32,
    work: WorkUnits,
    elapsed: Option<Duration>,
    entry: RequestGuard,
}

impl Permit {
    /// Waits until the request may start.
    ///
    /// # Errors
    /// The refusal's problem, at once when it is decided.
    pub(super) async fn obtain(
        admission: &Address<AdmissionActor>,
        clock: &Arc<dyn Clock>,
        request: AdmissionRequest,
        work: WorkUnits,
        entry: RequestGuard,
    ) -> Result<Self, Problem> {
        let mut permit = Self {
            admission: admission.clone(),
            clock: Arc::clone(clock),
            id: request.id,
            service: request.service.clone(),
            started_at: None,
            used_tokens: 0,
            work,
            elapsed: None,
            entry,
        };
        let (reply, answer) = oneshot::channel();
        let arrive = Arrive {
            request,
            work,
            reply,
        };
        tell(admission, arrive);
        let answer = answer.await.map_err(|_dropped| stopped(ActorStopped))?;
        answer.map_err(|refusal| refusal_problem(&refusal))?;
        permit.started_at = Some(clock.now());
        permit.entry.admitted();
        Ok(permit)
    }

    /// Notes where the request is sent, for operators.
    pub(super) fn placed(&self, plan: PlacementPlan) {
        self.entry.placed(plan);
    }

    /// Reports how long the request waited at its back end before it was worked on.
    pub(super) fn waited(&self, queue_wait: Duration) {
        tell(
            &self.admission,
            Inform(AdmissionEvent::Waited { queue_wait }),
        );
    }

    /// Time since the request was started.
    pub(super) fn running_for(&self) -> Duration {
        self.started_at
            .map_or(Duration::ZERO, |started| self.clock.now().since(started))
    }

    /// Notes a whole answer of so many tokens, prompt and output.
    pub(super) fn succeeded(&mut self, used_tokens: u32) {
        self.used_tokens = used_tokens;
        self.elapsed = Some(self.running_for());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let leave = Leave {
            id: self.id,
            service: self.service.clone(),
            was_started: self.started_at.is_some(),
            used_tokens: self.used_tokens,
            work: self.work,
            elapsed: self.elapsed,
        };
        tell(&self.admission, leave);
    }
}

fn refusal_problem(refusal: &AdmissionRefusal) -> Problem {
    let kind = match refusal {
        AdmissionRefusal::LimitReached { .. } => ProblemKind::LimitReached,
        AdmissionRefusal::Overloaded { .. } | AdmissionRefusal::Displaced { .. } => {
            ProblemKind::Overloaded
        }
        AdmissionRefusal::DeadlineUnreachable { .. } => ProblemKind::DeadlineExceeded,
    };
    Problem::new(kind, refusal.to_string(), refusal.execution()).retry_after(refusal.retry_after())
}
