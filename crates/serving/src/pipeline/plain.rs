//! Serves requests that are answered with a single complete body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Response, StatusCode, response};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_http::body::{self, Body, WhenFull};
use ponddrift_http::memory::Reservation;

use super::Pipeline;
use super::answers::Failure;
use super::attempt::{ANSWERED_ELSEWHERE, OpenSend, SERVE, SendEnd, SendOptions, is_success};
use super::guards::{AnswerMemory, LoadGuard};
use super::intake::{FinalAnswer, end_to_end_headers};
use super::job::Job;
use super::quarantining::RunProgress;
use super::silent_sends::{First, Late, LateAnswer, RunStage, SilentSend, SilentSends};
use super::wait_policy::WaitPolicy;
use crate::connections::{ExchangeError, Reply};
use crate::dialect::SendStep;
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::now;

/// Maximum size of an answer that is buffered completely.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// A request that may run again is tried elsewhere after this multiple of its latency target. While
/// the back end may just be slow, waiting for a late request costs less than running it again.
pub(super) const TARGET_WAIT_FACTOR: u32 = 3;
/// Time for a request to leave a back end that is too slow before its health is checked.
const HEALTH_CHECK_MARGIN: Duration = Duration::from_millis(50);
/// Outcome of a request whose back ends stay silent.
pub(super) const NO_ANSWER: &str = "no_answer_in_time";
/// No further send is made with less time left than this.
pub(super) const MIN_TIME_FOR_SEND: Duration = Duration::from_millis(5);

/// A complete answer of a back end.
pub(super) struct CompleteAnswer {
    pub(super) head: response::Parts,
    pub(super) body: Bytes,
    /// Accounts for the memory of the body.
    memory: Reservation,
}

impl CompleteAnswer {
    fn into_response(self) -> Response<Body> {
        let mut response = Response::new(body::full(self.body));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = end_to_end_headers(&self.head.headers);
        response
            .extensions_mut()
            .insert(AnswerMemory(Arc::new(self.memory)));
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
    /// The back end fell silent; its answer is still accepted.
    Silent(SilentPlainSend),
}

/// What a silent back end may still send.
enum LatePlainAnswer {
    /// The head of the answer, or why there is none.
    Head(Result<Reply, ExchangeError>),
    /// The rest of the answer; `None` if it broke off.
    Rest(Option<CompleteAnswer>),
}

impl LateAnswer for LatePlainAnswer {
    fn is_usable(&self) -> bool {
        match self {
            Self::Head(result) => is_success(result),
            Self::Rest(answer) => answer.is_some(),
        }
    }
}

/// What is needed to continue with the answer of a back end.
struct PlainSend {
    back_end: Arc<BackEnd>,
    started_at: Instant,
    /// Requests that were at the back end before.
    requests_ahead: f64,
    _load: LoadGuard,
}

type SilentPlainSend = SilentSend<PlainSend, LatePlainAnswer>;
type SilentPlainSends = SilentSends<PlainSend, LatePlainAnswer>;

/// What came of the sends so far.
struct PlainProgress {
    failure: Failure,
    error_answer: Option<CompleteAnswer>,
}

/// How one round of a request ended.
enum Round {
    Attempt(PlainEnd),
    /// Nothing was sent; another round may send.
    Nothing,
    /// No further send is possible.
    NoFurtherSend,
}

impl Pipeline {
    pub(super) async fn serve_plain(self: &Arc<Self>, mut job: Job) -> Response<Body> {
        let ran = self.until_stop_ends(self.run_plain(&mut job)).await;
        let final_answer = match ran {
            Some(final_answer) => final_answer,
            None => self.fail_request(&job, self.stop_failure(&job)),
        };
        self.finish(
            &mut job,
            final_answer.response.status().as_u16(),
            final_answer.outcome,
        );
        final_answer.response
    }

    async fn run_plain(self: &Arc<Self>, job: &mut Job) -> FinalAnswer {
        let mut progress = PlainProgress {
            failure: Failure::NotRun("no_back_end_ready"),
            error_answer: None,
        };
        let mut silent = SilentSends::default();
        loop {
            let end = match self.next_plain_end(job, &mut progress, &mut silent).await {
                Round::Attempt(end) => end,
                Round::Nothing => continue,
                Round::NoFurtherSend => break,
            };
            if let Some(answer) = progress.note(job, end, &mut silent) {
                silent.close(self, job, ANSWERED_ELSEWHERE);
                return answer.into_final_answer();
            }
        }
        if !silent.is_empty() {
            silent.close(self, job, NO_ANSWER);
            progress.failure = Failure::TimedOut(NO_ANSWER);
        }
        match progress.error_answer {
            Some(answer) => answer.into_final_answer(),
            None => self.fail_request(job, progress.failure),
        }
    }

    /// Sends the request to the next back end, if it may be sent, unless a silent one answers first.
    async fn next_plain_end(
        self: &Arc<Self>,
        job: &mut Job,
        progress: &mut PlainProgress,
        silent: &mut SilentPlainSends,
    ) -> Round {
        let late = match silent.take_unusable() {
            Some(late) => late,
            None => {
                let stage = Arc::clone(&job.run_stage);
                let round = self.plain_round(job, progress);
                match silent.beside(self, &stage, round).await {
                    First::Late(late) => late,
                    First::Attempt(Round::NoFurtherSend) => {
                        match silent.next_before_retry(job).await {
                            Some(late) => late,
                            None if silent.may_answer(job) => return Round::Nothing,
                            None => return Round::NoFurtherSend,
                        }
                    }
                    First::Attempt(round) => return round,
                }
            }
        };
        self.cancel_open_send(job);
        job.forget_silent_run(&late.open);
        Round::Attempt(self.late_plain_answer(job, late).await)
    }

    /// Chooses a back end and sends the request to it, if it may be sent.
    async fn plain_round(self: &Arc<Self>, job: &mut Job, progress: &mut PlainProgress) -> Round {
        if job.time_left() <= MIN_TIME_FOR_SEND || !job.may_run_again() {
            return Round::NoFurtherSend;
        }
        job.run_stage.set(RunStage::None);
        self.check_silent_runs(job).await;
        if let Err(refusal) = self.may_run_now(job).await {
            progress.failure = refusal;
            return Round::NoFurtherSend;
        }
        let Some(back_end) = self.choose_back_end(job) else {
            if self.await_rate(job).await || self.await_sign_of_life(job).await {
                return Round::Nothing;
            }
            progress.failure = self.no_candidate_failure(job, progress.failure);
            return Round::NoFurtherSend;
        };
        if !self.may_send(job, progress.failure.reason()).await {
            return Round::NoFurtherSend;
        }
        let end = self.plain_attempt(job, &back_end).await;
        job.note_tried(&back_end.id);
        Round::Attempt(end)
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
            purpose: SERVE,
            back_end: Arc::clone(&chosen.id),
            software: chosen.version.clone(),
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
        let send = PlainSend {
            back_end: Arc::clone(back_end),
            started_at: now(),
            requests_ahead,
            _load: LoadGuard::new(self, back_end, 0.0, job.urgency),
        };
        let wait_policy = self.plain_wait_policy(job);
        let options = SendOptions::new(SendStep::Serve, wait_policy);
        match self.send(job, back_end, options).await {
            SendEnd::Answered(reply) => self.read_answer(job, send, *reply, wait_policy).await,
            SendEnd::NotSent(reason) | SendEnd::NotRun(reason) => PlainEnd::NotRun(reason),
            SendEnd::MayHaveRun(reason) => PlainEnd::MayHaveRun(reason),
            SendEnd::Silent(exchange) => {
                let answer = exchange.answer.map(LatePlainAnswer::Head).boxed();
                PlainEnd::Silent(send.fall_silent(job, answer))
            }
        }
    }

    /// Reads the rest of an answer.
    async fn read_answer(
        self: &Arc<Self>,
        job: &mut Job,
        send: PlainSend,
        reply: Reply,
        wait_policy: WaitPolicy,
    ) -> PlainEnd {
        self.count_tenant_run(job);
        let route = reply.connection.route();
        let is_direct = reply.connection.relay().is_none();
        let mut rest = read_complete(reply, self.memory.reserve(), wait_policy.deadline()).boxed();
        let waited = self
            .wait_for(&mut rest, job, &send.back_end, wait_policy, &route)
            .await;
        match waited {
            Ok(answer) => self.conclude_plain(job, &send, answer, is_direct).await,
            Err(finding) if job.time_left().is_zero() => {
                self.plain_send_ended(job, &send, finding.name(), None);
                PlainEnd::MayHaveRun(finding.name())
            }
            Err(_finding) => {
                PlainEnd::Silent(send.fall_silent(job, rest.map(LatePlainAnswer::Rest).boxed()))
            }
        }
    }

    /// Continues with the answer of a back end that was silent.
    async fn late_plain_answer(
        self: &Arc<Self>,
        job: &mut Job,
        late: Late<PlainSend, LatePlainAnswer>,
    ) -> PlainEnd {
        let send = late.context;
        let back_end = Arc::clone(&send.back_end);
        let result = match late.answer {
            LatePlainAnswer::Rest(rest) => {
                return self.conclude_plain(job, &send, rest, false).await;
            }
            LatePlainAnswer::Head(result) => result,
        };
        match self
            .judge_late_answer(job, &back_end, SERVE, result, send.started_at)
            .await
        {
            SendEnd::Answered(reply) => {
                let wait_policy = WaitPolicy::until_deadline(job);
                self.read_answer(job, send, *reply, wait_policy).await
            }
            SendEnd::NotSent(reason) | SendEnd::NotRun(reason) => PlainEnd::NotRun(reason),
            SendEnd::MayHaveRun(reason) => PlainEnd::MayHaveRun(reason),
            SendEnd::Silent(_exchange) => PlainEnd::MayHaveRun(NO_ANSWER),
        }
    }

    /// Records the end of a run and what it says about the back end. `answer` is `None` if it broke
    /// off.
    async fn conclude_plain(
        self: &Arc<Self>,
        job: &mut Job,
        send: &PlainSend,
        answer: Option<CompleteAnswer>,
        is_direct: bool,
    ) -> PlainEnd {
        let back_end = &send.back_end;
        let took = now().saturating_duration_since(send.started_at);
        let (outcome, name, status) = match &answer {
            Some(answer) if answer.head.status.is_server_error() => {
                (Outcome::Error, "back_end_error", Some(answer.head.status))
            }
            Some(answer) => (Outcome::Success, "answered", Some(answer.head.status)),
            None => (Outcome::Broken, "answer_broke_off", None),
        };
        let has_ended = self
            .check_lost_run(
                job,
                back_end,
                Some(outcome),
                send.started_at,
                RunProgress::BeforeAnswer,
            )
            .await;
        if has_ended {
            job.note_ended_run(back_end);
        }
        self.note_outcome(back_end, &job.service.health_path, outcome);
        if answer.is_some() {
            self.record_good_run(job);
        }
        if outcome == Outcome::Success && is_direct {
            let took_ms = milliseconds(took);
            let mut placement = self.placement();
            placement.speed.record_plain_answer(&back_end.id, took_ms);
            placement.learn_plain_answer(back_end, send.requests_ahead, took_ms, now());
        }
        self.plain_send_ended(job, send, name, status);
        answer.map_or(PlainEnd::MayHaveRun("answer_broke_off"), PlainEnd::Complete)
    }

    fn plain_send_ended(
        &self,
        job: &mut Job,
        send: &PlainSend,
        outcome: &'static str,
        status: Option<StatusCode>,
    ) {
        self.attempt_ended(
            job,
            TraceStep::AttemptEnded {
                purpose: SERVE,
                back_end: Arc::clone(&send.back_end.id),
                outcome,
                status: status.as_ref().map(StatusCode::as_u16),
                took: now().saturating_duration_since(send.started_at),
            },
        );
    }

    /// A request that may run again counts its back end as too slow well after its latency target.
    fn plain_wait_policy(&self, job: &Job) -> WaitPolicy {
        let limit = job.route.target_latency * TARGET_WAIT_FACTOR;
        WaitPolicy::new(job, job.release(), Some(limit), None)
            .checking_health_after(limit + HEALTH_CHECK_MARGIN)
    }
}

impl PlainProgress {
    /// Notes how a send ended. Returns the answer for the caller, if there is one.
    fn note(
        &mut self,
        job: &Job,
        end: PlainEnd,
        silent: &mut SilentPlainSends,
    ) -> Option<CompleteAnswer> {
        match end {
            PlainEnd::Complete(answer) if answer.head.status.is_server_error() => {
                self.failure = Failure::MayHaveRun("back_end_error");
                self.error_answer = Some(answer);
            }
            PlainEnd::Complete(answer) => return Some(answer),
            PlainEnd::NotRun(reason) if job.runs == 0 => self.failure = Failure::NotRun(reason),
            PlainEnd::NotRun(_) => {}
            PlainEnd::MayHaveRun(reason) => self.failure = may_have_run_failure(job, reason),
            PlainEnd::Silent(send) => {
                self.failure = Failure::MayHaveRun(NO_ANSWER);
                silent.push(send);
            }
        }
        None
    }
}

impl PlainSend {
    fn fall_silent(
        self,
        job: &mut Job,
        answer: BoxFuture<'static, LatePlainAnswer>,
    ) -> SilentPlainSend {
        let open = OpenSend {
            back_end: Arc::clone(&self.back_end),
            purpose: SERVE,
            started_at: self.started_at,
        };
        job.silent_runs.push(open.clone());
        SilentSend::new(open, self, answer)
    }
}

/// The failure to report for a request that may have run.
pub(super) fn may_have_run_failure(job: &Job, reason: &'static str) -> Failure {
    if job.time_left() <= MIN_TIME_FOR_SEND {
        Failure::TimedOut(reason)
    } else {
        Failure::MayHaveRun(reason)
    }
}

/// Reads an answer completely. Returns `None`, and logs why, if it can't be read. Waits for memory: the back end has
/// run the request, and what others hold is given back as they are written.
pub(super) async fn read_complete(
    reply: Reply,
    memory: Reservation,
    deadline: Instant,
) -> Option<CompleteAnswer> {
    let (head, body) = reply.response.into_parts();
    let time = deadline.saturating_duration_since(now());
    let reading = body::read_reserved(body, MAX_ANSWER_BYTES, time, &memory, WhenFull::Wait);
    let body = match reading.await {
        Ok(body) => body,
        Err(error) => {
            let address = reply.connection.address();
            tracing::info!(%address, %error, "answer_not_read");
            return None;
        }
    };
    reply.connection.return_to_pool(&head.headers);
    Some(CompleteAnswer { head, body, memory })
}
