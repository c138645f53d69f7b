//! A single send to one back end, up to the head of the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::{Outcome, OutcomeCounts};
use ponddrift_fleet::paths::ConnectFailure;
use ponddrift_fleet::placement::Urgency;
use ponddrift_http::body;

use super::Pipeline;
use super::announcements::AnswerOrigin;
use super::job::Job;
use super::wait_policy::WaitPolicy;
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
struct SendVerdict {
    result: SendEnd,
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
        let max_connections = self.connection_share(job.service.maximum_connections);
        let started_at = now();
        self.placement()
            .link
            .record_send(job.body.len(), started_at);
        let reuse = if job.had_timeout {
            ConnectionReuse::Never
        } else {
            ConnectionReuse::Idle
        };
        let route = ExchangeRoute::default();
        let exchange = self.connections.exchange(
            permit,
            back_end.address,
            max_connections,
            reuse,
            request,
            &route,
        );
        let answer = self
            .wait_for(
                exchange,
                back_end,
                &job.service.health_path,
                options.wait_policy,
                &route,
            )
            .await;
        let verdict = match answer {
            Err(wait_end) => {
                job.had_timeout = true;
                SendVerdict::new(SendEnd::MayHaveRun(wait_end.name()), wait_end.outcome())
            }
            Ok(Err(error)) => classify_error(&error),
            Ok(Ok(reply)) => {
                if let Some(peer) = reply.connection.relay() {
                    job.trace.add(TraceStep::Relayed { peer });
                }
                self.classify_reply(job, back_end, options.step, reply, started_at)
            }
        };
        match &verdict.result {
            SendEnd::Answered(_) => {
                let announcements = &mut self.placement().announcements;
                announcements.record_accepted_request(back_end, now());
            }
            SendEnd::NotRun(_) => self.pause_refusing_back_end(back_end, verdict.status),
            SendEnd::NotSent(_) | SendEnd::MayHaveRun(_) => {}
        }
        if let Some(outcome) = verdict.outcome {
            self.note_outcome(back_end, &job.service.health_path, outcome);
        }
        if verdict.is_confirmed_by_peer {
            let mut placement = self.placement();
            placement.health.confirm_unanswered(&back_end.id, now());
        }
        if matches!(verdict.result, SendEnd::MayHaveRun(_)) {
            let has_ended = self
                .check_lost_run(job, back_end, verdict.outcome, started_at)
                .await;
            job.ended_runs += u32::from(has_ended && !matches!(options.step, SendStep::Prefill));
        }
        if let SendEnd::NotSent(name) | SendEnd::NotRun(name) | SendEnd::MayHaveRun(name) =
            &verdict.result
        {
            self.attempt_ended(
                job,
                TraceStep::AttemptEnded {
                    purpose: step_name(options.step),
                    back_end: Arc::clone(&back_end.id),
                    outcome: name,
                    status: verdict.status,
                    took: now().saturating_duration_since(started_at),
                },
            );
        }
        self.record_delivery(job, &verdict.result, options.step);
        if verdict.has_run && !matches!(options.step, SendStep::Prefill) {
            self.count_tenant_run(job);
        }
        verdict.result
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
        let is_prefill = matches!(step, SendStep::Prefill);
        match result {
            SendEnd::NotSent(_) => {}
            SendEnd::NotRun(_) => job.delivered_sends += 1,
            // A prefill does not count as a run, and the first one does not count as a delivered
            // send.
            SendEnd::Answered(_) | SendEnd::MayHaveRun(_) if is_prefill => job.prefill_sends += 1,
            SendEnd::Answered(_) | SendEnd::MayHaveRun(_) => {
                job.delivered_sends += 1;
                job.runs += 1;
            }
        }
    }

    fn classify_reply(
        &self,
        job: &Job,
        back_end: &Arc<BackEnd>,
        step: SendStep<'_>,
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
            let origin = AnswerOrigin::request(step_name(step), sent, !metadata.was_not_run);
            self.record_announcements(back_end, head.status, &head.headers, origin);
        }
        let is_for_caller = !matches!(step, SendStep::Prefill);
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
        SendStep::Serve => "serve",
        SendStep::Prefill => "prefill",
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
        ExchangeError::Broken(_error) => SendVerdict {
            has_run: true,
            ..SendVerdict::new(
                SendEnd::MayHaveRun("connection_broke"),
                Some(Outcome::Broken),
            )
        },
    }
}
