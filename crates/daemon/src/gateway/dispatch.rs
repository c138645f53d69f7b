//! Retry loop state: chooses a back end for each attempt until one succeeds or the request is given
//! up.

use std::time::Duration;

use ponddrift_core::answer::AnswerFault;
use ponddrift_core::retry::{
    AttemptFailure, ExecutionRecord, GiveUpReason, RequestFacts, RetryDecision,
};
use ponddrift_core::routing::{RouteRequest, RoutingRefusal};
use ponddrift_core::{Execution, MachineId, ZoneName};
use ponddrift_http::{Problem, ProblemKind};

use super::GatewayContext;
use super::attempt::FailedAttempt;
use crate::actors::routing::{AttemptFailed, ChoosePlacement, PlacementRefusal, ReservedPlacement};
use crate::actors::{ActorStopped, ask};

/// Retry-After value when no better estimate is available.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request waits for an expired view to be renewed by a peer or controller.
const VIEW_REFRESH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a waiting request checks whether the view has been renewed.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State of a request across its attempts.
pub(super) struct Dispatch {
    excluded: Vec<MachineId>,
    avoided_zone: Option<ZoneName>,
    record: ExecutionRecord,
    last_detail: Option<String>,
}

impl Dispatch {
    pub(super) fn new() -> Self {
        Self {
            excluded: Vec::new(),
            avoided_zone: None,
            record: ExecutionRecord::default(),
            last_detail: None,
        }
    }

    /// Chooses the next back end.
    ///
    /// # Errors
    /// Returns the problem to send to the caller when no back end can be chosen.
    pub(super) async fn choose(
        &self,
        context: &GatewayContext,
        mut request: RouteRequest,
    ) -> Result<ReservedPlacement, Problem> {
        request.excluded.clone_from(&self.excluded);
        request.avoided_zone.clone_from(&self.avoided_zone);
        let view_deadline = context.now() + VIEW_REFRESH_TIMEOUT;
        loop {
            let chosen = ask(&context.routing, ChoosePlacement(request.clone()))
                .await
                .map_err(actor_stopped_problem)?;
            match chosen {
                Ok(placement) => return Ok(placement),
                Err(PlacementRefusal::ViewExpired) if context.now() < view_deadline => {
                    tokio::time::sleep(VIEW_POLL_INTERVAL).await;
                }
                Err(refusal) => return Err(self.placement_problem(&refusal)),
            }
        }
    }

    /// Decides whether to retry after a failed attempt. Returns after the retry delay if it may be
    /// retried.
    ///
    /// # Errors
    /// Returns the problem to send to the caller when the request is given up.
    pub(super) async fn handle_failure(
        &mut self,
        context: &GatewayContext,
        attempt: FailedAttempt,
        repeatable: bool,
        deadline: ponddrift_core::Timestamp,
    ) -> Result<(), Problem> {
        let facts = RequestFacts {
            repeatable,
            first_byte_sent: false,
            deadline,
            expected_service: Duration::ZERO,
            earlier: self.record,
        };
        let failure = attempt.outcome.failure;
        self.record = self.record.with(failure.execution());
        tracing::info!(
            back_end = %attempt.outcome.back_end, ?failure, detail = attempt.detail,
            "attempt failed"
        );
        let question = AttemptFailed {
            outcome: attempt.outcome,
            facts,
        };
        let decision = ask(&context.routing, question)
            .await
            .map_err(actor_stopped_problem)?;
        match decision {
            RetryDecision::Retry {
                after,
                exclude,
                avoid_zone,
            } => {
                context.metrics.retried();
                self.excluded.push(exclude);
                self.avoided_zone = avoid_zone;
                self.last_detail = Some(attempt.detail);
                tokio::time::sleep(after).await;
                Ok(())
            }
            RetryDecision::GiveUp { reason, execution } => {
                Err(give_up_problem(reason, execution, failure, &attempt.detail))
            }
        }
    }

    fn placement_problem(&self, refusal: &PlacementRefusal) -> Problem {
        let (kind, retry_after) = match refusal {
            PlacementRefusal::ViewExpired => (ProblemKind::Unavailable, DEFAULT_RETRY_AFTER),
            PlacementRefusal::Routing(RoutingRefusal::DeadlinePassed) => {
                (ProblemKind::DeadlineExceeded, DEFAULT_RETRY_AFTER)
            }
            PlacementRefusal::Routing(RoutingRefusal::AllSetAside { retry_after }) => {
                (ProblemKind::NoBackEnd, *retry_after)
            }
            PlacementRefusal::Routing(_) => (ProblemKind::NoBackEnd, DEFAULT_RETRY_AFTER),
        };
        let detail = match &self.last_detail {
            Some(earlier) => format!("{refusal} (previous attempt: {earlier})"),
            None => refusal.to_string(),
        };
        Problem::new(kind, detail, self.record.combined()).retry_after(retry_after)
    }
}

fn give_up_problem(
    reason: GiveUpReason,
    execution: Execution,
    failure: AttemptFailure,
    detail: &str,
) -> Problem {
    let kind = match (reason, failure) {
        (GiveUpReason::DeadlineTooNear, _) | (_, AttemptFailure::TimedOut) => {
            ProblemKind::DeadlineExceeded
        }
        _ => ProblemKind::BackEndFailed,
    };
    Problem::new(
        kind,
        format!("{reason} (last attempt: {detail})"),
        execution,
    )
    .retry_after(DEFAULT_RETRY_AFTER)
}

pub(super) fn actor_stopped_problem(error: ActorStopped) -> Problem {
    Problem::not_started(ProblemKind::Unavailable, error.to_string())
        .retry_after(DEFAULT_RETRY_AFTER)
}

/// Creates the problem for an answer that failed after its first part.
pub(super) fn broken_answer_problem(error: &ponddrift_core::answer::AnswerError) -> Problem {
    let kind = match error.fault {
        AnswerFault::DeadlinePassed => ProblemKind::DeadlineExceeded,
        _ => ProblemKind::BackEndFailed,
    };
    Problem::new(kind, error.to_string(), Execution::Unknown).retry_after(DEFAULT_RETRY_AFTER)
}
