//! Claims the idempotency keys of requests that must run at most once.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use ponddrift_core::claims::{
    ClaimAction, ClaimAnswer, ClaimCoordinator, ClaimFailure, ClaimKey, ClaimMessage, ClaimOutcome,
    ClaimReply, ClaimSettings, ShardMap,
};
use ponddrift_core::{RequestId, ServiceName, Timestamp};
use ponddrift_http::{Body, Problem, ProblemKind, body};
use ponddrift_protocol::{Request, Response as PeerResponse};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::GatewayContext;
use super::caller::Caller;
use crate::daemon::peer_address;

/// Longest time for which a request waits while the claim group of its key is replaced. A planned
/// stop replaces all groups of a daemon within a few seconds.
const GROUP_CHANGE_WAIT: Duration = Duration::from_secs(5);
/// Interval between submissions of such a request while its shard map does not change.
const GROUP_CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A claimed key. If the claim is dropped without [`Claim::release`] or [`Claim::completed`], the
/// key stays claimed, because the request may have run.
pub(super) struct Claim {
    context: Arc<GatewayContext>,
    coordinator: ClaimCoordinator,
}

/// Result of claiming a key.
pub(super) enum ClaimResult {
    /// The request may be dispatched.
    Won(Box<Claim>),
    /// The request already ran; this is its stored answer.
    Answered(Response<Body>),
}

impl Claim {
    /// Claims the idempotency key. Returns `None` when the caller gave none.
    ///
    /// While the claim group of the key is replaced, its members refuse all claims. The claim is
    /// then submitted again until `deadline`, or until the group should have been replaced.
    ///
    /// # Errors
    /// Returns the problem to send to the caller when the key cannot be claimed.
    pub(super) async fn obtain(
        context: &Arc<GatewayContext>,
        caller: &Caller,
        service: &ServiceName,
        request_id: RequestId,
        request_body: &[u8],
        deadline: Timestamp,
    ) -> Result<Option<ClaimResult>, Problem> {
        let Some(key) = &caller.idempotency_key else {
            return Ok(None);
        };
        let key = ClaimKey::new(&caller.tenant, service, key.as_bytes());
        let fingerprint = xxh3_64(request_body);
        let retry_until = deadline.min(context.now() + GROUP_CHANGE_WAIT);
        let mut shard_map = context.claims.shard_map.clone();
        let mut submission = request_id;
        loop {
            let map = Arc::clone(&shard_map.borrow_and_update());
            let (claim, outcome) =
                Self::submit(context, &map, submission, key, fingerprint).await?;
            match outcome {
                ClaimOutcome::Won => return Ok(Some(ClaimResult::Won(Box::new(claim)))),
                ClaimOutcome::AlreadyRan {
                    answer: Some(answer),
                    ..
                } => return Ok(Some(ClaimResult::Answered(stored_answer_response(answer)))),
                ClaimOutcome::Failed(ClaimFailure::OtherEpoch) if context.now() < retry_until => {
                    tracing::debug!(%request_id, "claim group is being replaced; claiming again");
                    // Submit again both after a change of the map and after the interval.
                    drop(
                        tokio::time::timeout(GROUP_CHANGE_RETRY_INTERVAL, shard_map.changed())
                            .await,
                    );
                    // The refused submission has withdrawn its claim and must not be reused.
                    submission = context.new_request_id();
                }
                other => return Err(outcome_problem(&other)),
            }
        }
    }

    /// Submits one claim and waits for its outcome.
    async fn submit(
        context: &Arc<GatewayContext>,
        map: &ShardMap,
        submission: RequestId,
        key: ClaimKey,
        fingerprint: u64,
    ) -> Result<(Self, ClaimOutcome), Problem> {
        let started = ClaimCoordinator::start(
            ClaimSettings::default(),
            context.now(),
            map,
            context.claims.own,
            submission,
            key,
            fingerprint,
        );
        let Some((coordinator, actions)) = started else {
            let detail = "no claim group for idempotency keys exists yet: run at least three daemons, \
                          or retry once they have discovered each other";
            return Err(Problem::not_started(ProblemKind::ClaimUnavailable, detail)
                .retry_after(super::dispatch::DEFAULT_RETRY_AFTER));
        };
        let mut claim = Self {
            context: Arc::clone(context),
            coordinator,
        };
        let outcome = claim.run_until_decided(actions).await;
        Ok((claim, outcome))
    }

    async fn run_until_decided(&mut self, mut actions: Vec<ClaimAction>) -> ClaimOutcome {
        let (replies, mut received) = mpsc::unbounded_channel();
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    ClaimAction::Decided(outcome) => return outcome,
                    ClaimAction::Send(message) => {
                        send(&self.context, message, Some(replies.clone()));
                    }
                }
            }
            let now = self.context.now();
            let due = self.coordinator.next_tick().unwrap_or(now);
            tokio::select! {
                biased;
                Some(reply) = received.recv() => {
                    actions = self.coordinator.reply(self.context.now(), reply);
                }
                () = tokio::time::sleep(due.since(now)) => {
                    actions = self.coordinator.tick(self.context.now());
                }
            }
        }
    }

    /// Allows one dispatch. Call it right before sending.
    ///
    /// # Errors
    /// Returns the problem to send to the caller when the claim has expired, for example because
    /// the process was suspended.
    pub(super) fn begin_dispatch(&mut self) -> Result<(), Problem> {
        let now = self.context.now();
        self.coordinator.begin_dispatch(now).map_err(|expired| {
            let problem = Problem::not_started(ProblemKind::ClaimUnavailable, expired.to_string());
            self.send_all(expired.withdrawals);
            problem.retry_after(super::dispatch::DEFAULT_RETRY_AFTER)
        })
    }

    /// Records that the last dispatch certainly did not run.
    pub(super) fn dispatch_not_started(&mut self) {
        self.coordinator.dispatch_not_started();
    }

    /// Releases the key, unless a dispatch may have run.
    pub(super) fn release(&mut self) {
        let withdrawals = self.coordinator.release();
        self.send_all(withdrawals);
    }

    /// Tells the claim group that the request ran, with the answer to store if there is one.
    pub(super) fn completed(&self, answer: Option<&ClaimAnswer>) {
        let map: Arc<ShardMap> = Arc::clone(&self.context.claims.shard_map.borrow());
        let Some(group) = map.group(self.coordinator.shard()) else {
            return;
        };
        self.send_all(self.coordinator.completed(group, answer));
    }

    fn send_all(&self, messages: Vec<ClaimMessage>) {
        for message in messages {
            send(&self.context, message, None);
        }
    }
}

/// Sends a message to its target member. The reply, if any, goes to `replies`.
fn send(
    context: &Arc<GatewayContext>,
    message: ClaimMessage,
    replies: Option<mpsc::UnboundedSender<ClaimReply>>,
) {
    let Some(target) = peer_address(&context.claims.members.borrow(), message.to()) else {
        return;
    };
    let client = context.claims.client.clone();
    context.runtime.spawner.spawn(Box::pin(async move {
        match client.ask(target, Request::Claim(message)).await {
            Ok(PeerResponse::Claim(Some(reply))) => {
                if let Some(replies) = replies {
                    // The receiver is gone when the claim has already been decided.
                    let _decided = replies.send(reply);
                }
            }
            Ok(_no_reply) => {}
            Err(error) => tracing::debug!(%error, "member of a claim group not reached"),
        }
    }));
}

fn stored_answer_response(answer: ClaimAnswer) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

fn outcome_problem(outcome: &ClaimOutcome) -> Problem {
    let (kind, detail) = match outcome {
        ClaimOutcome::AlreadyRan { by, .. } => (
            ProblemKind::AlreadyClaimed,
            format!(
                "a request with this key already ran, through daemon {by}; its answer was not stored"
            ),
        ),
        ClaimOutcome::AlreadyClaimed { by } => {
            let by = by.map_or_else(String::new, |by| format!(" through daemon {by}"));
            let detail = format!(
                "a request with this key is running or ran{by}; ask the service for its outcome, or \
                 retry with the same key"
            );
            (ProblemKind::AlreadyClaimed, detail)
        }
        ClaimOutcome::KeyReused => (
            ProblemKind::BadRequest,
            String::from("this key was used with another body; use a new key for a new request"),
        ),
        ClaimOutcome::Failed(failure) => (ProblemKind::ClaimUnavailable, failure.to_string()),
        ClaimOutcome::Won => (
            ProblemKind::ClaimUnavailable,
            String::from("the key was claimed by this request"),
        ),
    };
    Problem::new(kind, detail, outcome.execution())
        .retry_after(super::dispatch::DEFAULT_RETRY_AFTER)
}
