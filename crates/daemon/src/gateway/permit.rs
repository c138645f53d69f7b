//! Permits from admission control. The end of each request is reported exactly once.

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

use super::dispatch::actor_stopped_problem;
use crate::actors::admission::{AdmissionActor, EndAdmission, NotifyAdmission, RequestAdmission};
use crate::actors::{ActorStopped, tell};
use crate::requests::RegisterEntry;

/// A request's slot in admission. Dropping it releases the slot, or leaves the queue if the request
/// was not started.
pub(super) struct Permit {
    admission: Address<AdmissionActor>,
    clock: Arc<dyn Clock>,
    id: RequestId,
    service: ServiceName,
    started_at: Option<Timestamp>,
    used_tokens: u32,
    work: WorkUnits,
    elapsed: Option<Duration>,
    entry: RegisterEntry,
}

impl Permit {
    /// Waits until admission control lets the request start.
    ///
    /// # Errors
    /// Returns the problem for the refusal as soon as admission decides it.
    pub(super) async fn obtain(
        admission: &Address<AdmissionActor>,
        clock: &Arc<dyn Clock>,
        request: AdmissionRequest,
        work: WorkUnits,
        entry: RegisterEntry,
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
        let arrive = RequestAdmission {
            request,
            work,
            reply,
        };
        tell(admission, arrive);
        let answer = answer
            .await
            .map_err(|_dropped| actor_stopped_problem(ActorStopped))?;
        answer.map_err(|refusal| refusal_problem(&refusal))?;
        permit.started_at = Some(clock.now());
        permit.entry.admitted();
        Ok(permit)
    }

    /// Records where the request is sent, shown to operators.
    pub(super) fn record_placement(&self, plan: PlacementPlan) {
        self.entry.placed(plan);
    }

    /// Reports to admission how long the request queued at its back end.
    pub(super) fn report_queue_wait(&self, queue_wait: Duration) {
        tell(
            &self.admission,
            NotifyAdmission(AdmissionEvent::Waited { queue_wait }),
        );
    }

    /// Time since admission started the request; zero if it has not started.
    pub(super) fn running_for(&self) -> Duration {
        self.started_at
            .map_or(Duration::ZERO, |started| self.clock.now().since(started))
    }

    /// Records a complete answer with its prompt and output tokens.
    pub(super) fn record_success(&mut self, used_tokens: u32) {
        self.used_tokens = used_tokens;
        self.elapsed = Some(self.running_for());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let leave = EndAdmission {
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
