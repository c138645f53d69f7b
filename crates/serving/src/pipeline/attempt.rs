//! A single send to one back end, up to the head of the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use http::{Request, StatusCode};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::{Outcome, OutcomeCounts};
use ponddrift_fleet::paths::ConnectFailure;
use ponddrift_fleet::placement::Urgency;
use ponddrift_http::body;

use super::Pipeline;
use super::SendPermit;
use super::announcements::AnswerOrigin;
use super::job::Job;
use super::quarantining::RunProgress;
use super::silent_sends::RunStage;
use super::wait_policy::WaitPolicy;
use crate::back_end_stream::lacks_memory;
use crate::connections::{ConnectionReuse, ExchangeError, ExchangeRoute, NotSent, Reply};
use crate::dialect::{SendMetadata, SendStep};
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::now;

/// Rank of all requests that decode.
const GENERATING_RANK: u8 = 0;
/// Rank penalty of requests that will miss their latency target.
const LATE_RANK_PENALTY: u8 = 5;
/// Rank penalty of requests beyond their tenant's fair share. They are placed like any other
/// request, so they lose nothing while no other tenant's request waits.
const YIELDING_RANK_PENALTY: u8 = 3;
/// A back end that refused a request gets no new ones for this long, if others are available.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// The same for a back end whose identity or stage differs from the directory; longer, because the
/// directory has to catch up.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(800);

/// Outcome of a send whose request another back end has answered first.
pub(super) const ANSWERED_ELSEWHERE: &str = "answered_elsewhere";
/// Name of a run in logs and metrics.
pub(super) const SERVE: &str = "serve";
/// Name of a stream under way in logs and metrics.
pub(super) const STREAM: &str = "stream";
/// Name of a prefill in logs and metrics.
pub(super) const PREFILL: &str = "prefill";

/// How a send ended, up to the head of the answer.
pub(super) enum SendEnd {
    /// A back end ran the request and sent the head of its answer.
    Answered(Box<Reply>),
    /// The request did not reach any back end.
    NotSent(&'static str),
    /// A back end states that it did not run the request.
    NotRun(&'static str),
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The back end fell silent. The request holds what it needs to run elsewhere, and the answer is
    /// still accepted.
    Silent(SilentExchange),
}

/// An exchange with a back end that fell silent. Dropping it closes the connection.
pub(super) struct SilentExchange {
    pub(super) answer: PendingExchange,
}

/// The head of an answer that is still awaited.
pub(super) type PendingExchange = BoxFuture<'static, Result<Reply, ExchangeError>>;

/// How far an engine can have come with a send that has had no answer.
pub(super) fn progress_of(purpose: &'static str) -> RunProgress {
    match purpose {
        PREFILL => RunProgress::Reading,
        STREAM => RunProgress::Writing,
        _ => RunProgress::BeforeAnswer,
    }
}

/// Whether an answer began and reports success.
pub(super) fn is_success(result: &Result<Reply, ExchangeError>) -> bool {
    result
        .as_ref()
        .is_ok_and(|reply| reply.response.status().is_success())
}

/// A send that has not ended.
#[derive(Debug, Clone)]
pub(super) struct OpenSend {
    pub(super) back_end: Arc<BackEnd>,
    pub(super) purpose: &'static str,
    pub(super) started_at: Instant,
}

/// Parameters of one send.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendOptions<'a> {
    /// What the back end is asked to do.
    pub(super) step: SendStep<'a>,
    /// ID of the last event that the caller has; the stream continues after it.
    pub(super) resume_after: Option<u64>,
    /// Engine from which the shared prefix is fetched.
    pub(super) fetch_from: Option<SocketAddr>,
    /// When the send is abandoned.
    pub(super) wait_policy: WaitPolicy,
}

impl<'a> SendOptions<'a> {
    pub(super) const fn new(step: SendStep<'a>, wait_policy: WaitPolicy) -> Self {
        Self {
            step,
            resume_after: None,
            fetch_from: None,
            wait_policy,
        }
    }
}

/// How a send was classified from the head of its answer or its error.
pub(super) struct SendVerdict {
    pub(super) result: SendEnd,
    outcome: Option<Outcome>,
    status: Option<u16>,
    /// Whether the back end most likely ran the request although its answer is unusable.
    has_run: bool,
    /// Whether a peer could not reach the back end either.
    is_confirmed_by_peer: bool,
}

impl SendVerdict {
    const fn new(result: SendEnd, outcome: Option<Outcome>) -> Self {
        Self {
            result,
            outcome,
            status: None,
            has_run: false,
            is_confirmed_by_peer: false,
        }
    }
}

impl Pipeline {
    /// Sends the request and waits for the head of the answer.
    pub(super) async fn send(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        options: SendOptions<'_>,
    ) -> SendEnd {
        let metadata = SendMetadata {
            back_end: &back_end.id,
            time_left: job.time_left(),
            tenant: job.tenant.as_ref().map(|tenant| &*tenant.name),
            priority: engine_rank(options.step, job.priority(), rank_penalty(job)),
            step: options.step,
            resume_after: options.resume_after,
            fetch_from: options.fetch_from,
        };
        let Some(request) = self.build_request(job, &metadata) else {
            return SendEnd::NotSent("request_not_writable");
        };
        let permit = match self.permit_request(back_end) {
            Ok(permit) => permit,
            Err(reason) => return self.record_unsent(job, back_end, options.step, reason),
        };
        let started_at = now();
        self.placement()
            .link
            .record_send(job.body.len(), started_at);
        let route = Arc::new(ExchangeRoute::default());
        let mut exchange = self.start_exchange(job, back_end, permit, request, &route);
        job.begin_send(OpenSend {
            back_end: Arc::clone(back_end),
            purpose: step_name(options.step),
            started_at,
        });
        let answer = self
            .wait_for(&mut exchange, job, back_end, options.wait_policy, &route)
            .await;
        job.open_send = None;
        let verdict = match answer {
            Err(finding) => {
                job.had_timeout = true;
                let silent = SilentExchange { answer: exchange };
                let is_run = !matches!(options.step, SendStep::Prefill);
                if is_run && route.is_connected() && !job.time_left().is_zero() {
                    job.count_run(step_name(options.step));
                    return SendEnd::Silent(silent);
                }
                drop(silent);
                let result = if route.is_connected() {
                    SendEnd::MayHaveRun(finding.name())
                } else {
                    SendEnd::NotSent("unreachable")
                };
                SendVerdict::new(result, finding.outcome())
            }
            Ok(result) => {
                let verdict =
                    self.judge(job, back_end, step_name(options.step), result, started_at);
                self.record_verdict(job, back_end, &verdict);
                verdict
            }
        };
        self.conclude_send(job, back_end, options.step, verdict, started_at)
            .await
    }

    /// Starts to send the request. The exchange lives on if its request turns to another back end.
    fn start_exchange(
        &self,
        job: &Job,
        back_end: &BackEnd,
        permit: SendPermit,
        request: Request<body::Body>,
        route: &Arc<ExchangeRoute>,
    ) -> PendingExchange {
        let connections = Arc::clone(&self.connections);
        let route = Arc::clone(route);
        let address = back_end.address;
        let max_connections = self.connection_share(job.service.maximum_connections);
        let reuse = if job.had_timeout {
            ConnectionReuse::Never
        } else {
            ConnectionReuse::Idle
        };
        Box::pin(async move {
            connections
                .exchange(permit, address, max_connections, reuse, request, &route)
                .await
        })
    }

    /// What the head of an answer or its absence says.
    pub(super) fn judge(
        &self,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        purpose: &'static str,
        result: Result<Reply, ExchangeError>,
        started_at: Instant,
    ) -> SendVerdict {
        match result {
            Err(error) => classify_error(&error),
            Ok(reply) => {
                if let Some(peer) = reply.connection.relay() {
                    job.trace.add(TraceStep::Relayed { peer });
                }
                self.classify_reply(job, back_end, purpose, reply, started_at)
            }
        }
    }

    /// Records what the end of an exchange says about the back end.
    pub(super) fn record_verdict(
        self: &Arc<Self>,
        job: &Job,
        back_end: &Arc<BackEnd>,
        verdict: &SendVerdict,
    ) {
        match &verdict.result {
            SendEnd::Answered(_) => {
                job.run_stage.set(RunStage::Accepted);
                let announcements = &mut self.placement().announcements;
                announcements.record_accepted_request(back_end, now());
            }
            SendEnd::NotRun(_) => self.pause_refusing_back_end(back_end, verdict.status),
            SendEnd::NotSent(_) | SendEnd::MayHaveRun(_) | SendEnd::Silent(_) => {}
        }
        if let Some(outcome) = verdict.outcome {
            self.note_outcome(back_end, &job.service.health_path, outcome);
        }
        if verdict.is_confirmed_by_peer {
            let mut placement = self.placement();
            placement.health.confirm_unanswered(&back_end.id, now());
        }
    }

    async fn conclude_send(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        step: SendStep<'_>,
        verdict: SendVerdict,
        started_at: Instant,
    ) -> SendEnd {
        self.record_delivery(job, &verdict.result, step);
        self.record_end_of_send(job, back_end, step_name(step), &verdict, started_at);
        if matches!(verdict.result, SendEnd::MayHaveRun(_)) {
            let has_ended = self
                .check_lost_run(
                    job,
                    back_end,
                    verdict.outcome,
                    started_at,
                    progress_of(step_name(step)),
                )
                .await;
            if has_ended && !matches!(step, SendStep::Prefill) {
                job.note_ended_run(back_end);
            }
        }
        if verdict.has_run && !matches!(step, SendStep::Prefill) {
            self.count_tenant_run(job);
        }
        verdict.result
    }

    /// Judges the late answer of a back end that was silent. Its run was counted when the request
    /// turned elsewhere.
    pub(super) async fn judge_late_answer(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        purpose: &'static str,
        result: Result<Reply, ExchangeError>,
        started_at: Instant,
    ) -> SendEnd {
        let verdict = self.judge(job, back_end, purpose, result, started_at);
        self.record_verdict(job, back_end, &verdict);
        match &verdict.result {
            SendEnd::MayHaveRun(_) => {
                let has_ended = self
                    .check_lost_run(
                        job,
                        back_end,
                        verdict.outcome,
                        started_at,
                        progress_of(purpose),
                    )
                    .await;
                if has_ended {
                    job.note_ended_run(back_end);
                }
            }
            SendEnd::NotSent(_) | SendEnd::NotRun(_) => job.forget_run(back_end),
            SendEnd::Answered(_) | SendEnd::Silent(_) => {}
        }
        self.record_end_of_send(job, back_end, purpose, &verdict, started_at);
        verdict.result
    }

    /// Records the end of a send that got no answer for the caller.
    pub(super) fn record_end_of_send(
        &self,
        job: &mut Job,
        back_end: &BackEnd,
        purpose: &'static str,
        verdict: &SendVerdict,
        started_at: Instant,
    ) {
        if let SendEnd::NotSent(name) | SendEnd::NotRun(name) | SendEnd::MayHaveRun(name) =
            &verdict.result
        {
            self.attempt_ended(
                job,
                TraceStep::AttemptEnded {
                    purpose,
                    back_end: Arc::clone(&back_end.id),
                    outcome: name,
                    status: verdict.status,
                    took: now().saturating_duration_since(started_at),
                },
            );
        }
    }

    /// Records the end of a send whose request was answered by another back end in the meantime, and
    /// returns the retry that it did not use.
    pub(super) fn cancel_open_send(&self, job: &mut Job) {
        if let Some(open) = job.open_send.take() {
            job.count_run(open.purpose);
            self.open_send_ended(job, &open, ANSWERED_ELSEWHERE);
        }
        job.held_retry = None;
    }

    /// Records the end of a send without an answer.
    pub(super) fn open_send_ended(&self, job: &mut Job, open: &OpenSend, outcome: &'static str) {
        self.attempt_ended(
            job,
            TraceStep::AttemptEnded {
                purpose: open.purpose,
                back_end: Arc::clone(&open.back_end.id),
                outcome,
                status: None,
                took: now().saturating_duration_since(open.started_at),
            },
        );
    }

    /// Records a send that was not made.
    fn record_unsent(
        &self,
        job: &mut Job,
        back_end: &BackEnd,
        step: SendStep<'_>,
        reason: &'static str,
    ) -> SendEnd {
        self.attempt_ended(
            job,
            TraceStep::AttemptEnded {
                purpose: step_name(step),
                back_end: Arc::clone(&back_end.id),
                outcome: reason,
                status: None,
                took: Duration::ZERO,
            },
        );
        SendEnd::NotSent(reason)
    }

    /// Records the end of a send in the metrics and the request trace.
    pub(super) fn attempt_ended(&self, job: &mut Job, step: TraceStep) {
        if let TraceStep::AttemptEnded {
            purpose, outcome, ..
        } = &step
        {
            self.metrics.attempt(purpose, outcome);
        }
        job.trace.add(step);
    }

    /// Counts the sends that arrived and the runs that may have happened.
    fn record_delivery(&self, job: &mut Job, result: &SendEnd, step: SendStep<'_>) {
        match result {
            SendEnd::NotSent(_) => job.keep_retry(),
            SendEnd::NotRun(_) => job.count_delivery(step_name(step)),
            SendEnd::Answered(_) | SendEnd::MayHaveRun(_) | SendEnd::Silent(_) => {
                job.count_run(step_name(step));
            }
        }
    }

    fn classify_reply(
        &self,
        job: &Job,
        back_end: &Arc<BackEnd>,
        purpose: &'static str,
        reply: Reply,
        sent: Instant,
    ) -> SendVerdict {
        let (head, body) = reply.response.into_parts();
        let metadata = self.dialect.read_answer(&head, &job.id);
        let status = Some(head.status.as_u16());
        // This status comes from another back end that took over the address. Its announcements
        // must not be attributed to the expected back end.
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if metadata.matches_request && !is_misdirected {
            let origin = AnswerOrigin::request(purpose, sent, !metadata.was_not_run);
            self.record_announcements(back_end, head.status, &head.headers, origin);
        }
        let is_for_caller = purpose != PREFILL;
        let is_success = head.status.is_success();
        let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
        let (result, outcome) = if !metadata.matches_request {
            let result = SendEnd::MayHaveRun("answer_to_another_request");
            (result, Some(Outcome::Broken))
        } else if metadata.was_not_run {
            (SendEnd::NotRun("back_end_refused"), None)
        } else if is_encoded {
            (SendEnd::MayHaveRun("answer_encoded"), Some(Outcome::Broken))
        } else if is_for_caller && is_success && !metadata.is_signed {
            (
                SendEnd::MayHaveRun("answer_unsigned"),
                Some(Outcome::Broken),
            )
        } else {
            let reply = Reply {
                response: http::Response::from_parts(head, body),
                connection: reply.connection,
            };
            (SendEnd::Answered(Box::new(reply)), None)
        };
        SendVerdict {
            has_run: matches!(result, SendEnd::MayHaveRun(_)),
            status,
            ..SendVerdict::new(result, outcome)
        }
    }

    /// Counts a request that started to run towards its tenant's usage.
    pub(super) fn count_tenant_run(&self, job: &Job) {
        if let (Some(usage), Some(tenant)) = (&self.usage, &job.tenant) {
            usage.record_request(&tenant.name);
        }
    }

    /// Pauses a back end that refused a request: it is full, changing its stage, or not the
    /// expected one.
    fn pause_refusing_back_end(&self, back_end: &BackEnd, status: Option<u16>) {
        let is_misdirected = status == Some(StatusCode::MISDIRECTED_REQUEST.as_u16());
        let time = if is_misdirected {
            MISDIRECTED_PAUSE
        } else {
            REFUSED_PAUSE
        };
        self.placement()
            .suspend_engine(back_end, time, false, now());
    }

    fn build_request(&self, job: &Job, metadata: &SendMetadata<'_>) -> Option<Request<body::Body>> {
        let path = job.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(job.method.clone())
            .uri(path)
            .body(if job.body.is_empty() {
                body::empty()
            } else {
                body::full(job.body.clone())
            })
            .ok()?;
        *request.headers_mut() = job.headers.clone();
        self.dialect.write_send(request.headers_mut(), metadata);
        Some(request)
    }

    /// Records how a request at a back end ended. Starts health checks if the back end is ejected
    /// for it.
    pub(super) fn note_outcome(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        health_path: &Arc<str>,
        outcome: Outcome,
    ) {
        let pause = self.placement().health.record(&back_end.id, outcome, now());
        if let Some(pause) = pause {
            self.ejected(back_end, health_path, pause, outcome.name());
        }
    }

    /// Takes in the request results that another daemon of the zone reported.
    pub fn receive_results(self: &Arc<Self>, back_end: &Arc<BackEnd>, results: OutcomeCounts) {
        let pause = self
            .placement()
            .health
            .receive(&back_end.id, results, now());
        if let Some(pause) = pause
            && let Some(health_path) = self.health_path(back_end)
        {
            self.ejected(back_end, &health_path, pause, "requests_of_the_zone");
        }
    }

    fn ejected(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        health_path: &Arc<str>,
        pause: Duration,
        evidence: &'static str,
    ) {
        self.metrics.ejected();
        tracing::warn!(
            back_end = &*back_end.id,
            evidence,
            pause_ms = milliseconds(pause),
            "back_end_ejected"
        );
        self.check_until_healthy(back_end, health_path, pause);
    }
}

/// Rank of a request at its engine. Priorities apply only to prefills: a preempted decode has to be
/// prefilled again, which delays every request on that engine.
fn engine_rank(step: SendStep<'_>, priority: u8, penalty: u8) -> u8 {
    match step {
        SendStep::Prefill => priority.saturating_add(penalty),
        SendStep::Serve => GENERATING_RANK + penalty,
        SendStep::Decode { .. } => GENERATING_RANK,
    }
}

/// Penalty that is added to the rank of a request at its engine.
fn rank_penalty(job: &Job) -> u8 {
    match job.urgency {
        Urgency::Late => LATE_RANK_PENALTY,
        Urgency::InTime if job.yields => YIELDING_RANK_PENALTY,
        Urgency::InTime => 0,
    }
}

/// Name of the step in logs and metrics.
pub(super) const fn step_name(step: SendStep<'_>) -> &'static str {
    match step {
        SendStep::Serve => SERVE,
        SendStep::Prefill => PREFILL,
        SendStep::Decode { .. } => "decode",
    }
}

fn classify_error(error: &ExchangeError) -> SendVerdict {
    match error {
        ExchangeError::NotSent(NotSent::Unreachable(unreachable)) => {
            let (reason, outcome) = match unreachable.failure {
                ConnectFailure::Refused => ("connection_refused", Outcome::Unreachable),
                ConnectFailure::NoAnswer => ("unreachable", Outcome::Unresponsive),
            };
            SendVerdict {
                is_confirmed_by_peer: unreachable.is_confirmed,
                ..SendVerdict::new(SendEnd::NotSent(reason), Some(outcome))
            }
        }
        ExchangeError::NotSent(NotSent::Exhausted) => {
            SendVerdict::new(SendEnd::NotSent("connections_in_use"), None)
        }
        ExchangeError::Broken(error) if lacks_memory(error) => SendVerdict {
            outcome: None,
            ..broken_verdict("no_memory_for_answer")
        },
        ExchangeError::Broken(_error) => broken_verdict("connection_broke"),
        ExchangeError::InformationalOnly => broken_verdict("informational_answers_only"),
        ExchangeError::Invalid(problem) => SendVerdict {
            status: problem.status(),
            ..broken_verdict(problem.name())
        },
    }
}

/// The back end most likely ran the request, but sent no usable answer.
fn broken_verdict(reason: &'static str) -> SendVerdict {
    SendVerdict {
        has_run: true,
        ..SendVerdict::new(SendEnd::MayHaveRun(reason), Some(Outcome::Broken))
    }
}
