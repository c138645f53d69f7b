//! Serves requests that are answered with a single complete body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, response};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_http::body::{self, Body};

use super::Pipeline;
use super::answers::Failure;
use super::attempt::{SendEnd, SendOptions};
use super::guards::LoadGuard;
use super::intake::{FinalAnswer, end_to_end_headers};
use super::job::Job;
use super::wait_policy::WaitPolicy;
use crate::connections::Reply;
use crate::dialect::SendStep;
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::now;

/// Maximum size of an answer that is buffered completely.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// A request that may run again is abandoned after this multiple of its latency target. While the
/// back end may just be slow, waiting for a late request costs less than running it again.
pub(super) const TARGET_WAIT_FACTOR: u32 = 3;
/// No further send is made with less time left than this.
pub(super) const MIN_TIME_FOR_SEND: Duration = Duration::from_millis(5);

/// A complete answer of a back end.
pub(super) struct CompleteAnswer {
    pub(super) head: response::Parts,
    pub(super) body: Bytes,
}

impl CompleteAnswer {
    fn into_response(self) -> Response<Body> {
        let mut response = Response::new(body::full(self.body));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = end_to_end_headers(&self.head.headers);
        response
    }

    pub(super) fn into_final_answer(self) -> FinalAnswer {
        let outcome = if self.head.status.is_server_error() {
            "back_end_error"
        } else {
            "served"
        };
        FinalAnswer {
            response: self.into_response(),
            outcome,
        }
    }
}

enum PlainEnd {
    Complete(CompleteAnswer),
    NotRun(&'static str),
    MayHaveRun(&'static str),
}

impl Pipeline {
    pub(super) async fn serve_plain(self: &Arc<Self>, mut job: Job) -> Response<Body> {
        let final_answer = self.run_plain(&mut job).await;
        self.finish(
            &mut job,
            final_answer.response.status().as_u16(),
            final_answer.outcome,
        );
        final_answer.response
    }

    async fn run_plain(self: &Arc<Self>, job: &mut Job) -> FinalAnswer {
        let mut failure = Failure::NotRun("no_back_end_ready");
        let mut error_answer = None;
        while job.time_left() > MIN_TIME_FOR_SEND && job.may_run_again() {
            if let Err(refusal) = self.may_run_now(job) {
                failure = refusal;
                break;
            }
            let Some(back_end) = self.choose_back_end(job) else {
                if self.await_rate(job).await || self.await_sign_of_life(job).await {
                    continue;
                }
                failure = self.no_candidate_failure(job, failure);
                break;
            };
            if !self.may_send(job, failure.reason()).await {
                break;
            }
            let result = self.plain_attempt(job, &back_end).await;
            job.note_tried(&back_end.id);
            match result {
                PlainEnd::Complete(answer) if answer.head.status.is_server_error() => {
                    failure = Failure::MayHaveRun("back_end_error");
                    error_answer = Some(answer);
                }
                PlainEnd::Complete(answer) => return answer.into_final_answer(),
                PlainEnd::NotRun(reason) if job.runs == 0 => failure = Failure::NotRun(reason),
                PlainEnd::NotRun(_) => {}
                PlainEnd::MayHaveRun(reason) => failure = self.may_have_run_failure(job, reason),
            }
        }
        match error_answer {
            Some(answer) => answer.into_final_answer(),
            None => self.fail_request(job, failure),
        }
    }

    /// The failure to report for a request that may have run.
    pub(super) fn may_have_run_failure(&self, job: &Job, reason: &'static str) -> Failure {
        if job.time_left() <= MIN_TIME_FOR_SEND {
            Failure::TimedOut(reason)
        } else {
            Failure::MayHaveRun(reason)
        }
    }

    fn choose_back_end(&self, job: &mut Job) -> Option<Arc<BackEnd>> {
        let candidates = self.candidates(job);
        let mut placement = self.placement();
        self.refresh_idle_connections(&mut placement);
        let chosen = placement.choose_plain(
            &candidates.back_ends,
            &job.tried,
            now(),
            &mut *self.random(),
        )?;
        job.trace.add(TraceStep::BackEndChosen {
            purpose: "serve",
            back_end: Arc::clone(&chosen.id),
            expected_ms: placement.speed.plain_ms(&chosen.id).unwrap_or_default(),
            tokens_to_read: 0.0,
            requests_there: placement.load.requests(&chosen.id),
            ready: candidates.ready.all(),
            stream: None,
        });
        Some(chosen)
    }

    async fn plain_attempt(self: &Arc<Self>, job: &mut Job, back_end: &Arc<BackEnd>) -> PlainEnd {
        let requests_ahead = self.placement().load.requests(&back_end.id);
        let _load = LoadGuard::new(self, back_end, 0.0, job.urgency);
        let started_at = now();
        let wait_policy = self.plain_wait_policy(job);
        let options = SendOptions::new(SendStep::Serve, wait_policy);
        let result = self.send(job, back_end, options).await;
        let reply = match result {
            SendEnd::Answered(reply) => *reply,
            SendEnd::NotSent(reason) | SendEnd::NotRun(reason) => return PlainEnd::NotRun(reason),
            SendEnd::MayHaveRun(reason) => return PlainEnd::MayHaveRun(reason),
        };
        self.count_tenant_run(job);
        let is_direct = reply.connection.relay().is_none();
        let result = self.read_complete(reply, wait_policy.until).await;
        let took = now().saturating_duration_since(started_at);
        let (outcome, name, status) = match &result {
            Some(answer) if answer.head.status.is_server_error() => {
                (Outcome::Error, "back_end_error", Some(answer.head.status))
            }
            Some(answer) => (Outcome::Success, "answered", Some(answer.head.status)),
            None => (Outcome::Broken, "answer_broke_off", None),
        };
        let has_ended = self
            .check_lost_run(job, back_end, Some(outcome), started_at)
            .await;
        job.ended_runs += u32::from(has_ended);
        self.note_outcome(back_end, &job.service.health_path, outcome);
        if result.is_some() {
            self.record_good_run(job);
        }
        if outcome == Outcome::Success && is_direct {
            let took_ms = milliseconds(took);
            let mut placement = self.placement();
            placement.speed.record_plain_answer(&back_end.id, took_ms);
            placement.learn_plain_answer(back_end, requests_ahead, took_ms, now());
        }
        self.attempt_ended(
            job,
            TraceStep::AttemptEnded {
                purpose: "serve",
                back_end: Arc::clone(&back_end.id),
                outcome: name,
                status: status.as_ref().map(StatusCode::as_u16),
                took,
            },
        );
        result.map_or(PlainEnd::MayHaveRun("answer_broke_off"), PlainEnd::Complete)
    }

    /// A request that may run again is abandoned for another back end well after its latency
    /// target.
    fn plain_wait_policy(&self, job: &Job) -> WaitPolicy {
        let may_send_elsewhere = self.may_be_sent_elsewhere(job);
        let limit = job.route.target_latency * TARGET_WAIT_FACTOR;
        WaitPolicy::new(job, may_send_elsewhere.then_some(limit), None)
    }

    /// Reads an answer completely. Returns `None` if it ends early.
    pub(super) async fn read_complete(
        &self,
        reply: Reply,
        until: std::time::Instant,
    ) -> Option<CompleteAnswer> {
        let (head, body) = reply.response.into_parts();
        let time = until.saturating_duration_since(now());
        let body = body::read_all(body, MAX_ANSWER_BYTES, time).await.ok()?;
        reply.connection.return_to_pool(&head.headers);
        Some(CompleteAnswer { head, body })
    }
}
