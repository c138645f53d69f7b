//! Opens the stream of events that answers a request: plan, read the prompt, send, wait for the first event.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Response, StatusCode, response};
use hyper::body::Incoming;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::events::{Event, EventSplitter};
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{
    HandOver, OfferedRequest, Placement, PromptPlan, PromptRequest, Urgency,
};
use ponddrift_http::body::{self, Body};
use rand::RngExt;

use super::Pipeline;
use super::answers::Failure;
use super::attempt::{HeadEnd, SendOrder};
use super::budgeting::PrefillPermit;
use super::guards::{HeldHandle, InProgress, LoadGuard};
use super::intake::{Served, end_to_end};
use super::job::Job;
use super::plain::{LEAST_TIME_FOR_A_SEND, TARGETS_WAITED};
use super::relay::Relay;
use super::wait_policy::WaitPolicy;
use crate::connections::{Connection, Reply};
use crate::dialect::SendStep;
use crate::request_trace::{Step, milliseconds};
use crate::time::now;

/// A stream whose first event has come.
pub(super) struct OpenStream {
    pub(super) back_end: Arc<BackEnd>,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) splitter: EventSplitter,
    pub(super) first: Option<Event>,
    pub(super) ended: bool,
    /// Whether its first event has been passed on.
    pub(super) first_passed: bool,
    pub(super) begun: Instant,
    pub(super) _load: LoadGuard,
}

/// Why a stream could not be opened.
pub(super) enum NotOpened {
    /// A back end's answer that is no stream; it is passed on.
    Answer(Served),
    /// No answer.
    Failure(Failure),
}

/// Part of a request's target that may pass before it leaves this daemon.
const LINK_SHARE: f64 = 0.5;

/// A send that a first event is awaited of.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sent {
    pub(super) begun: Instant,
    /// Whether the engine had nothing else to read.
    pub(super) reads_alone: bool,
}

/// What came of a reading apart.
enum ReadApart {
    /// The prompt was read.
    Read(HeldHandle),
    /// It failed; nothing has run.
    Failed,
    /// It was not tried.
    Not,
}

/// A prompt that was read for an engine which then turned the request away.
struct ReadPrompt {
    plan: PromptPlan,
    handle: HeldHandle,
}

pub(super) enum FirstEvent {
    Came(Box<OpenStream>),
    Answer(Served),
    /// The prompt's handle is of use to another engine still, where there was one.
    NotRun {
        reason: &'static str,
        handle: Option<HeldHandle>,
    },
    Unsure(&'static str),
}

/// Whether the caller of a request that no engine has begun will have left before the engines come to it.
fn is_hopeless(job: &Job, plan: &PromptPlan) -> bool {
    let is_begun = job.arrivals > 0 || job.prefills > 0;
    job.urgency == Urgency::Late && !is_begun && plan.expected() > job.first_event_time_left()
}

impl Pipeline {
    pub(super) async fn serve_stream(
        self: &Arc<Self>,
        mut job: Job,
        in_progress: InProgress,
    ) -> Response<Body> {
        let resume_after = job.facts.resume_after;
        match self.open_stream(&mut job, resume_after).await {
            Ok(stream) => {
                let mut response = Response::new(());
                *response.status_mut() = stream.head.status;
                *response.headers_mut() = end_to_end(&stream.head.headers);
                let relay = Relay::new(self, job, stream, in_progress);
                response.map(|()| body::streamed(relay.into_pieces()))
            }
            Err(NotOpened::Answer(served)) => {
                self.close(&mut job, served.response.status().as_u16(), served.outcome);
                served.response
            }
            Err(NotOpened::Failure(failure)) => {
                let served = self.abandon(&job, failure);
                self.close(&mut job, served.response.status().as_u16(), served.outcome);
                served.response
            }
        }
    }

    /// Opens the stream, at another back end where one fails and the request may run again.
    pub(super) async fn open_stream(
        self: &Arc<Self>,
        job: &mut Job,
        resume_after: Option<u64>,
    ) -> Result<OpenStream, NotOpened> {
        let mut failure = Failure::NotRun("no_back_end_ready");
        let mut error_answer = None;
        let mut turned_away: Option<ReadPrompt> = None;
        let mut may_hand_on = true;
        while job.time_left() > LEAST_TIME_FOR_A_SEND && job.may_run_again() {
            if let Err(refusal) = self.may_run_now(job) {
                failure = refusal;
                break;
            }
            if self.link_is_full(job) {
                failure =
                    Failure::NotRun("this daemon's link is full: come back, another may have room");
                break;
            }
            let (plan, handle) = match turned_away.take() {
                Some(read) => (read.plan, Some(read.handle)),
                None => {
                    self.await_head(job).await;
                    let Some(plan) = self.plan(job) else {
                        if self.await_rate(job).await {
                            continue;
                        }
                        failure = self.nothing_to_choose(job, failure);
                        break;
                    };
                    if is_hopeless(job, &plan) {
                        failure = Failure::NotRun(
                            "the engines have more to do than this request has time for: come back later",
                        );
                        break;
                    }
                    match self.read_apart(job, &plan).await {
                        ReadApart::Read(handle) => (plan, Some(handle)),
                        ReadApart::Failed => continue,
                        ReadApart::Not => (plan, None),
                    }
                }
            };
            // Reading the prompt took a while, in which peers may have found out more.
            if let Err(refusal) = self.may_run_now(job) {
                failure = refusal;
                break;
            }
            if !self.may_send(job, failure.reason()).await {
                break;
            }
            let end = self.stream_attempt(job, &plan, handle, resume_after).await;
            match end {
                FirstEvent::NotRun {
                    reason,
                    handle: Some(handle),
                } if std::mem::take(&mut may_hand_on) => {
                    turned_away = Some(ReadPrompt { plan, handle });
                    if job.runs == 0 {
                        failure = Failure::NotRun(reason);
                    }
                }
                FirstEvent::Came(stream) => return Ok(*stream),
                FirstEvent::Answer(served) => {
                    failure = Failure::Unsure("back_end_error");
                    error_answer = Some(served);
                }
                FirstEvent::NotRun { reason, .. } if job.runs == 0 => {
                    failure = Failure::NotRun(reason);
                }
                FirstEvent::NotRun { .. } => {}
                FirstEvent::Unsure(reason) => failure = self.unsure(job, reason),
            }
        }
        Err(error_answer.map_or(NotOpened::Failure(failure), NotOpened::Answer))
    }

    /// Whether this daemon's link alone makes a request late that no engine has run: what waits there has no ranks. Another
    /// daemon may have room, and the caller comes to another when it comes back.
    fn link_is_full(&self, job: &Job) -> bool {
        let wait_ms = self.placement().link.wait_ms(now());
        job.runs == 0 && wait_ms > milliseconds(job.route.target_latency) * LINK_SHARE
    }

    /// Has the prompt read by the plan's prefill engine, where it names one and the budget allows.
    async fn read_apart(self: &Arc<Self>, job: &mut Job, plan: &PromptPlan) -> ReadApart {
        let Some(engine) = &plan.prefill else {
            return ReadApart::Not;
        };
        let permit = self.may_prefill(job).await;
        if permit == PrefillPermit::Denied {
            return ReadApart::Not;
        }
        let taken_up_before = job.prefills;
        let handle = self.prefill(job, engine, plan).await;
        let was_first_taken_up = taken_up_before == 0 && job.prefills == 1;
        self.settle_prefill(job, permit, was_first_taken_up);
        match handle {
            Some(handle) => ReadApart::Read(handle),
            None => {
                job.note_tried(&engine.id);
                ReadApart::Failed
            }
        }
    }

    fn plan(&self, job: &mut Job) -> Option<PromptPlan> {
        let now = now();
        let candidates = self.candidates(job);
        let mut placement = self.placement();
        let plan = self.plan_in(&mut placement, job, &candidates.back_ends, now)?;
        job.expected_ms.get_or_insert(plan.expected_ms);
        placement.record_prompt_work(&job.service.name, &plan, job.latency_targets(), now);
        if let Some(prompt) = &job.facts.prompt {
            let total = f64::from(prompt.input_tokens);
            self.metrics
                .prompt(total, plan.tokens_to_read, plan.fetch_from.is_some());
        }
        let reader = plan.prefill.as_ref().unwrap_or(&plan.decode);
        job.trace.add(Step::Placed {
            purpose: if plan.prefill.is_some() {
                "prefill"
            } else {
                "serve"
            },
            back_end: Arc::clone(&reader.id),
            expected_ms: plan.expected_ms,
            tokens_to_read: plan.tokens_to_read,
            requests_there: placement.load.requests(&reader.id),
            ready: candidates.ready.all(),
        });
        Some(plan)
    }

    /// The plan with which the request is in time, else the one with which it takes the time that others leave.
    fn plan_in(
        &self,
        placement: &mut Placement,
        job: &mut Job,
        ready: &[Arc<BackEnd>],
        now: Instant,
    ) -> Option<PromptPlan> {
        let (Some(prompt), Some(traits)) = (&job.facts.prompt, &job.service.engine) else {
            return placement
                .choose_plain(ready, &job.tried, now, &mut *self.random())
                .map(PromptPlan::unknown);
        };
        placement.prefixes.set_capacity(traits.cache_tokens);
        placement.fleet_work(now);
        let mut request = PromptRequest {
            prompt,
            latency_targets: job.latency_targets(),
            traits,
            urgency: Urgency::InTime,
            body_bytes: job.body.len(),
        };
        let plan = placement.plan_prompt(ready, &job.tried, &request, now, &mut *self.random())?;
        let share = placement.confidence.share(&job.service.name);
        let can_be_in_time =
            now + plan.expected() <= job.arrived + job.route.target_latency.mul_f64(share);
        job.yields = self.yields_to_other_tenants(placement, job, &plan, can_be_in_time, now);
        if can_be_in_time {
            job.urgency = Urgency::InTime;
            return Some(plan);
        }
        request.urgency = Urgency::Late;
        job.urgency = Urgency::Late;
        placement.plan_prompt(ready, &job.tried, &request, now, &mut *self.random())
    }

    /// Whether the request is beyond its tenant's fair share, while not all can be served in time.
    fn yields_to_other_tenants(
        &self,
        placement: &mut Placement,
        job: &Job,
        plan: &PromptPlan,
        can_be_in_time: bool,
        now: Instant,
    ) -> bool {
        let Some(tenant) = &job.tenant else {
            return false;
        };
        let is_first_plan = job.expected_ms.is_none();
        if !is_first_plan {
            return job.yields;
        }
        let offer = OfferedRequest {
            service: &job.service.name,
            tenant: &tenant.name,
            work: plan.tokens_to_read,
            can_be_in_time,
        };
        let draw = self.random().random_range(0.0..1.0);
        placement.fairness.yields(offer, draw, now)
    }

    async fn stream_attempt(
        self: &Arc<Self>,
        job: &mut Job,
        plan: &PromptPlan,
        handle: Option<HeldHandle>,
        resume_after: Option<u64>,
    ) -> FirstEvent {
        let decode = self.decode_engine(job, plan, handle.is_some());
        let tokens = if handle.is_some() {
            0.0
        } else {
            plan.tokens_to_read
        };
        let outstanding = self.placement().load.outstanding(&decode.id);
        let reads_alone = handle.is_none() && outstanding.prompt_tokens < 1.0;
        let load = LoadGuard::new(self, &decode, tokens, job.urgency);
        let wait_policy = self.first_event_wait_policy(job, plan);
        let step = match &handle {
            Some(held) => SendStep::Continue {
                source: held.source,
                handle: &held.handle,
            },
            None => SendStep::Serve,
        };
        let begun = now();
        let keeper = plan.fetch_from.as_ref().filter(|_| handle.is_none());
        let order = SendOrder {
            resume_after,
            fetch_from: keeper.map(|keeper| keeper.address),
            ..SendOrder::new(step, wait_policy)
        };
        let end = self.send(job, &decode, order).await;
        job.note_tried(&decode.id);
        let reply = match end {
            HeadEnd::Answered(reply) => reply,
            HeadEnd::NotSent(reason) | HeadEnd::NotRun(reason) => {
                return FirstEvent::NotRun { reason, handle };
            }
            HeadEnd::Unsure(reason) => return FirstEvent::Unsure(reason),
        };
        if let Some(mut held) = handle {
            held.mark_taken();
        }
        if !reply.response.status().is_success() {
            return self
                .error_answer(job, &decode, reply, wait_policy.until)
                .await;
        }
        let path = Arc::clone(&job.service.health_path);
        let opened = self
            .first_event(&decode, &path, reply, load, begun, wait_policy)
            .await;
        if let Err(no_event) = &opened {
            self.run_was_cut(job, &decode, no_event.outcome(), begun)
                .await;
        }
        self.note_first_event(job, plan, &decode, opened, Sent { begun, reads_alone })
    }

    /// The engine that generates; chosen anew after a prompt was read, which takes a while: one of the reader's zone where that
    /// saves more time than it costs, since the prompt's KV cache takes twice as long into another zone.
    fn decode_engine(&self, job: &mut Job, plan: &PromptPlan, after_prefill: bool) -> Arc<BackEnd> {
        if !after_prefill {
            return Arc::clone(&plan.decode);
        }
        let reader = plan.prefill.as_deref();
        let candidates = self.candidates_near(job, reader.map(|reader| &*reader.zone));
        let hand_over = reader
            .zip(job.facts.prompt.as_ref())
            .zip(job.service.engine.as_ref())
            .map(|((reader, prompt), traits)| HandOver::of(prompt, reader, traits));
        let placement = self.placement();
        let chosen = placement
            .choose_decode_after_prefill(
                &candidates.back_ends,
                &job.tried,
                job.facts.prompt.as_ref(),
                hand_over,
                now(),
                &mut *self.random(),
            )
            .unwrap_or_else(|| Arc::clone(&plan.decode));
        job.trace.add(Step::Placed {
            purpose: "decode",
            back_end: Arc::clone(&chosen.id),
            expected_ms: plan.expected_ms,
            tokens_to_read: 0.0,
            requests_there: placement.load.requests(&chosen.id),
            ready: candidates.ready.all(),
        });
        chosen
    }

    async fn error_answer(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        reply: Reply,
        until: Instant,
    ) -> FirstEvent {
        // An engine answers so too where a request's time was over before it began.
        if reply.response.status() != StatusCode::GATEWAY_TIMEOUT {
            self.note_run(job);
        }
        let answer = self.read_whole(reply, until).await;
        self.note_outcome(back_end, &job.service.health_path, Outcome::Error);
        self.attempt_ended(
            job,
            Step::Ended {
                purpose: "serve",
                back_end: Arc::clone(&back_end.id),
                outcome: "back_end_error",
                status: answer.as_ref().map(|answer| answer.head.status.as_u16()),
                took: now().saturating_duration_since(job.arrived),
            },
        );
        match answer {
            Some(answer) => {
                self.note_good_run(job);
                FirstEvent::Answer(answer.into_served())
            }
            None => FirstEvent::Unsure("answer_broke_off"),
        }
    }

    /// A stream that may be opened elsewhere is given up long after its time in target, or when its engine does not
    /// answer its health check either.
    fn first_event_wait_policy(&self, job: &Job, plan: &PromptPlan) -> WaitPolicy {
        const EXPECTATION_FACTOR: f64 = 2.0;
        const SUSPICION_MORE: Duration = Duration::from_millis(100);
        if !self.may_be_sent_elsewhere(job) {
            return WaitPolicy::new(job, None, None);
        }
        let expected = plan.expected().mul_f64(EXPECTATION_FACTOR);
        let limit = (job.route.target_latency * TARGETS_WAITED).max(expected);
        WaitPolicy::new(job, Some(limit), Some(expected + SUSPICION_MORE))
    }
}
