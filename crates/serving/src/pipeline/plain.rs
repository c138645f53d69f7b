//! Requests that are answered by one whole body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, response};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_http::body::{self, Body};

use super::Pipeline;
use super::answers::Failure;
use super::attempt::{HeadEnd, SendOrder};
use super::guards::LoadGuard;
use super::intake::{Served, end_to_end};
use super::job::Job;
use super::wait_policy::WaitPolicy;
use crate::connections::Reply;
use crate::dialect::SendStep;
use crate::request_trace::{Step, milliseconds};
use crate::time::now;

/// Largest answer that is held whole.
const LARGEST_ANSWER_BYTES: usize = 16 << 20;
/// A request that may run once more is given up after so many times its target. Once it is late, waiting on costs
/// less than another run, as long as the back end may only be slow.
pub(super) const TARGETS_WAITED: u32 = 3;
/// Less time than this is not worth another send.
pub(super) const LEAST_TIME_FOR_A_SEND: Duration = Duration::from_millis(5);

/// A whole answer of a back end.
pub(super) struct WholeAnswer {
    pub(super) head: response::Parts,
    pub(super) body: Bytes,
}

impl WholeAnswer {
    fn into_response(self) -> Response<Body> {
        let mut response = Response::new(body::full(self.body));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = end_to_end(&self.head.headers);
        response
    }

    pub(super) fn into_served(self) -> Served {
        let outcome = if self.head.status.is_server_error() {
            "back_end_error"
        } else {
            "served"
        };
        Served {
            response: self.into_response(),
            outcome,
        }
    }
}

enum PlainEnd {
    Whole(WholeAnswer),
    NotRun(&'static str),
    Unsure(&'static str),
}

impl Pipeline {
    pub(super) async fn serve_plain(self: &Arc<Self>, mut job: Job) -> Response<Body> {
        let served = self.plain(&mut job).await;
        self.close(&mut job, served.response.status().as_u16(), served.outcome);
        served.response
    }

    async fn plain(self: &Arc<Self>, job: &mut Job) -> Served {
        let mut failure = Failure::NotRun("no_back_end_ready");
        let mut error_answer = None;
        while job.time_left() > LEAST_TIME_FOR_A_SEND && job.may_run_again() {
            if let Err(refusal) = self.may_run_now(job) {
                failure = refusal;
                break;
            }
            let Some(back_end) = self.place_plain(job) else {
                if self.await_rate(job).await {
                    continue;
                }
                failure = self.nothing_to_choose(job, failure);
                break;
            };
            if !self.may_send(job, failure.reason()).await {
                break;
            }
            let end = self.plain_attempt(job, &back_end).await;
            job.note_tried(&back_end.id);
            match end {
                PlainEnd::Whole(answer) if answer.head.status.is_server_error() => {
                    failure = Failure::Unsure("back_end_error");
                    error_answer = Some(answer);
                }
                PlainEnd::Whole(answer) => return answer.into_served(),
                PlainEnd::NotRun(reason) if job.runs == 0 => failure = Failure::NotRun(reason),
                PlainEnd::NotRun(_) => {}
                PlainEnd::Unsure(reason) => failure = self.unsure(job, reason),
            }
        }
        match error_answer {
            Some(answer) => answer.into_served(),
            None => self.abandon(job, failure),
        }
    }

    /// What is said of a request that may have run.
    pub(super) fn unsure(&self, job: &Job, reason: &'static str) -> Failure {
        if job.time_left() <= LEAST_TIME_FOR_A_SEND {
            Failure::TimeOver(reason)
        } else {
            Failure::Unsure(reason)
        }
    }

    fn place_plain(&self, job: &mut Job) -> Option<Arc<BackEnd>> {
        let candidates = self.candidates(job);
        let placement = self.placement();
        let chosen = placement.choose_plain(
            &candidates.back_ends,
            &job.tried,
            now(),
            &mut *self.random(),
        )?;
        job.trace.add(Step::Placed {
            purpose: "serve",
            back_end: Arc::clone(&chosen.id),
            expected_ms: placement.speed.plain_ms(&chosen.id).unwrap_or_default(),
            tokens_to_read: 0.0,
            requests_there: placement.load.requests(&chosen.id),
            ready: candidates.ready.all(),
        });
        Some(chosen)
    }

    async fn plain_attempt(self: &Arc<Self>, job: &mut Job, back_end: &Arc<BackEnd>) -> PlainEnd {
        let _load = LoadGuard::new(self, back_end, 0.0, job.urgency);
        let begun = now();
        let wait_policy = self.plain_wait_policy(job);
        let order = SendOrder::new(SendStep::Serve, wait_policy);
        let end = self.send(job, back_end, order).await;
        let reply = match end {
            HeadEnd::Answered(reply) => reply,
            HeadEnd::NotSent(reason) | HeadEnd::NotRun(reason) => return PlainEnd::NotRun(reason),
            HeadEnd::Unsure(reason) => return PlainEnd::Unsure(reason),
        };
        self.note_run(job);
        let end = self.read_whole(reply, wait_policy.until).await;
        let took = now().saturating_duration_since(begun);
        let (outcome, name, status) = match &end {
            Some(answer) if answer.head.status.is_server_error() => {
                (Outcome::Error, "back_end_error", Some(answer.head.status))
            }
            Some(answer) => (Outcome::Success, "answered", Some(answer.head.status)),
            None => (Outcome::Broken, "answer_broke_off", None),
        };
        self.run_was_cut(job, back_end, Some(outcome), begun).await;
        self.note_outcome(back_end, &job.service.health_path, outcome);
        if end.is_some() {
            self.note_good_run(job);
        }
        if outcome == Outcome::Success {
            self.placement()
                .speed
                .plain_answered(&back_end.id, milliseconds(took));
        }
        self.attempt_ended(
            job,
            Step::Ended {
                purpose: "serve",
                back_end: Arc::clone(&back_end.id),
                outcome: name,
                status: status.as_ref().map(StatusCode::as_u16),
                took,
            },
        );
        end.map_or(PlainEnd::Unsure("answer_broke_off"), PlainEnd::Whole)
    }

    /// A request that may run once more is given up for another back end long after its time in target.
    fn plain_wait_policy(&self, job: &Job) -> WaitPolicy {
        let has_another = self.may_be_sent_elsewhere(job);
        let limit = job.route.target_latency * TARGETS_WAITED;
        WaitPolicy::new(job, has_another.then_some(limit), None)
    }

    /// Reads an answer to its end; none if it breaks off.
    pub(super) async fn read_whole(
        &self,
        reply: Reply,
        until: std::time::Instant,
    ) -> Option<WholeAnswer> {
        let (head, body) = reply.response.into_parts();
        let time = until.saturating_duration_since(now());
        let body = body::read_all(body, LARGEST_ANSWER_BYTES, time)
            .await
            .ok()?;
        reply.connection.return_to_pool(&head.headers);
        Some(WholeAnswer { head, body })
    }
}
