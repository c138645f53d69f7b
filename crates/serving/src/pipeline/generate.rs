//! Opens the event stream that answers a request: plan, prefill, send, wait for the first event.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use http::{Response, StatusCode, response};
use hyper::body::Incoming;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{
    DecodeRequest, HandOver, OfferedRequest, Placement, PromptPlan, PromptRequest, Urgency,
};
use ponddrift_fleet::versions::RequiredVersion;
use ponddrift_http::body::{self, Body};
use rand::RngExt;

use super::Pipeline;
use super::answers::Failure;
use super::attempt::{ANSWERED_ELSEWHERE, SendEnd, SendOptions, step_name};
use super::budgeting::PrefillPermit;
use super::event_buffer::{EventBuffer, ForwardedEvent, ReceivedEvent};
use super::guards::{KvCacheHandle, LoadGuard};
use super::intake::{FinalAnswer, end_to_end_headers};
use super::job::Job;
use super::plain::{MIN_TIME_FOR_SEND, NO_ANSWER, TARGET_WAIT_FACTOR, read_complete};
use super::relay::Relay;
use super::silent_sends::{First, Late, RunStage, SilentSends};
use super::stream_send::{
    LateStart, OpenAttempt, OpenProgress, PrefilledPrompt, SendTiming, SilentStreamSends,
    StreamSend,
};
use super::wait_policy::WaitPolicy;
use crate::connections::{Connection, Reply};
use crate::dialect::SendStep;
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::now;

/// A stream whose first event has arrived.
pub(super) struct OpenStream {
    pub(super) back_end: Arc<BackEnd>,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) events: Box<EventBuffer>,
    pub(super) first_event: Option<ReceivedEvent>,
    pub(super) ended: bool,
    /// Whether the first event has been forwarded to the caller.
    pub(super) has_forwarded_event: bool,
    pub(super) started_at: Instant,
    pub(super) _load: LoadGuard,
}

/// Why a stream could not be opened.
pub(super) enum NotOpened {
    /// A back end answered with something other than a stream. That answer is forwarded.
    Answer(FinalAnswer),
    /// No back end answered.
    Failure(Failure),
}

/// Maximum share of the latency target that a request may wait for this daemon's network link.
const MAX_LINK_WAIT_SHARE: f64 = 0.5;

/// Why a stream can't go on: what two versions of the software write doesn't fit together.
const VERSION_GONE: &str =
    "no engine runs the software that began this stream: ask for a new stream";
/// Why a stream can't go on whose origin no daemon knows.
const VERSION_UNKNOWN: &str =
    "the software that began this stream is not known: ask for a new stream";

/// How one round of opening a stream ended.
enum Round {
    Attempt(OpenAttempt),
    /// Nothing was sent; another round may send.
    Nothing,
    /// No further send is possible.
    NoFurtherSend,
}

/// Result of a prefill on a separate engine.
enum RemotePrefill {
    /// The prompt was prefilled.
    Done(KvCacheHandle),
    /// The prefill failed; the request has not run.
    Failed,
    /// No prefill was attempted.
    Skipped,
}

/// Whether the caller of a request that no engine has started would give up before the expected
/// first event.
fn would_time_out(job: &Job, plan: &PromptPlan) -> bool {
    let has_started = job.delivered_sends > 0 || job.prefill_sends > 0;
    job.urgency == Urgency::Late && !has_started && plan.expected() > job.first_event_time_left()
}

impl Pipeline {
    pub(super) async fn serve_stream(self: &Arc<Self>, mut job: Job) -> Response<Body> {
        let resume_after = job.metadata.resume_after;
        let opening = self.open_stream(&mut job, resume_after);
        let opened = match self.until_stop_ends(opening).await {
            Some(opened) => opened,
            None => Err(NotOpened::Failure(self.stop_failure(&job))),
        };
        match opened {
            Ok(stream) => {
                self.record_origin(&job, &stream).await;
                let mut response = Response::new(());
                *response.status_mut() = stream.head.status;
                *response.headers_mut() = end_to_end_headers(&stream.head.headers);
                let forwarded = ForwardedEvent::default();
                response.extensions_mut().insert(forwarded.clone());
                let relay = Relay::new(self, job, stream, forwarded);
                response.map(|()| body::streamed(relay.into_body_chunks()))
            }
            Err(NotOpened::Answer(final_answer)) => {
                self.finish(
                    &mut job,
                    final_answer.response.status().as_u16(),
                    final_answer.outcome,
                );
                final_answer.response
            }
            Err(NotOpened::Failure(failure)) => {
                let final_answer = self.fail_request(&job, failure);
                self.finish(
                    &mut job,
                    final_answer.response.status().as_u16(),
                    final_answer.outcome,
                );
                final_answer.response
            }
        }
    }

    /// Opens the stream. If a back end fails and the request may run again, tries another one. One
    /// that is silent may still answer first.
    pub(super) async fn open_stream(
        self: &Arc<Self>,
        job: &mut Job,
        resume_after: Option<u64>,
    ) -> Result<OpenStream, NotOpened> {
        let mut progress = OpenProgress::new();
        let mut silent = SilentSends::default();
        loop {
            let round = self
                .next_open_end(job, &mut progress, &mut silent, resume_after)
                .await;
            let end = match round {
                Round::Attempt(end) => end,
                Round::Nothing => continue,
                Round::NoFurtherSend => break,
            };
            if let Some(stream) = progress.note(job, end, &mut silent) {
                silent.close(self, job, ANSWERED_ELSEWHERE);
                return Ok(stream);
            }
        }
        if !silent.is_empty() {
            silent.close(self, job, NO_ANSWER);
            progress.failure = Failure::TimedOut(NO_ANSWER);
        }
        let failure = NotOpened::Failure(progress.failure);
        Err(progress.error_answer.map_or(failure, NotOpened::Answer))
    }

    /// Sends the request to the next engine, if it may be sent, unless a silent one answers first.
    async fn next_open_end(
        self: &Arc<Self>,
        job: &mut Job,
        progress: &mut OpenProgress,
        silent: &mut SilentStreamSends,
        resume_after: Option<u64>,
    ) -> Round {
        let late = match silent.take_unusable() {
            Some(late) => late,
            None => {
                let stage = Arc::clone(&job.run_stage);
                let round = self.open_round(job, progress, resume_after);
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
        Round::Attempt(self.late_stream_answer(job, late).await)
    }

    /// Plans the request and sends it, if it may be sent.
    async fn open_round(
        self: &Arc<Self>,
        job: &mut Job,
        progress: &mut OpenProgress,
        resume_after: Option<u64>,
    ) -> Round {
        if job.time_left() <= MIN_TIME_FOR_SEND || !job.may_run_again() {
            return Round::NoFurtherSend;
        }
        if !self.may_go_on(job) {
            progress.failure = Failure::NotRun(match job.required_version {
                RequiredVersion::Unknown => VERSION_UNKNOWN,
                RequiredVersion::Any | RequiredVersion::Only(_) => VERSION_GONE,
            });
            return Round::NoFurtherSend;
        }
        job.run_stage.set(RunStage::None);
        self.check_silent_runs(job).await;
        if let Err(refusal) = self.may_run_now(job).await {
            progress.failure = refusal;
            return Round::NoFurtherSend;
        }
        if self.link_is_congested(job) {
            progress.failure =
                Failure::NotRun("this daemon's link is full: come back, another may have room");
            return Round::NoFurtherSend;
        }
        // Without a retry another run would be planned, and its prompt read, in vain.
        if job.runs > 0 && !self.may_send(job, progress.failure.reason()).await {
            return Round::NoFurtherSend;
        }
        let (plan, handle) = match progress.prefilled.take() {
            Some(reusable) => (reusable.plan, Some(reusable.handle)),
            None => {
                self.await_prefix(job).await;
                let Some(plan) = self.plan(job) else {
                    if self.await_rate(job).await || self.await_sign_of_life(job).await {
                        return Round::Nothing;
                    }
                    progress.failure = self.no_candidate_failure(job, progress.failure);
                    return Round::NoFurtherSend;
                };
                if would_time_out(job, &plan) {
                    progress.failure = Failure::NotRun(
                        "the engines have more to do than this request has time for: come back later",
                    );
                    return Round::NoFurtherSend;
                }
                match self.prefill_remotely(job, &plan).await {
                    RemotePrefill::Done(handle) => (plan, Some(handle)),
                    RemotePrefill::Failed => return Round::Nothing,
                    RemotePrefill::Skipped => (plan, None),
                }
            }
        };
        // The prefill took time, during which peers may have quarantined the request.
        if let Err(refusal) = self.may_run_now(job).await {
            progress.failure = refusal;
            return Round::NoFurtherSend;
        }
        if !self.may_send(job, progress.failure.reason()).await {
            return Round::NoFurtherSend;
        }
        Round::Attempt(self.stream_attempt(job, plan, handle, resume_after).await)
    }

    /// What the rest of a stream needs whose events come from this back end. Its version is not known
    /// if it has started again with other software since it was chosen.
    pub(super) fn version_of_events(&self, back_end: &BackEnd) -> RequiredVersion {
        if self.state.has_other_software(back_end) {
            return RequiredVersion::Unknown;
        }
        RequiredVersion::of_stream_begun_at(&back_end.version)
    }

    /// Whether a back end may go on with the stream, now or soon; true for a new stream.
    fn may_go_on(&self, job: &Job) -> bool {
        job.required_version == RequiredVersion::Any
            || self
                .state
                .has_version(&job.service.name, &job.required_version, now())
    }

    /// Whether the backlog on this daemon's network link alone would make a request late that no
    /// engine has run. Requests on the link are not ordered by priority. The caller is refused, so
    /// that it retries at another daemon, which may have capacity.
    fn link_is_congested(&self, job: &Job) -> bool {
        let wait_ms = self.placement().link.wait_ms(now());
        job.runs == 0 && wait_ms > milliseconds(job.route.target_latency) * MAX_LINK_WAIT_SHARE
    }

    /// Prefills the prompt on the plan's prefill engine, if there is one and the retry budget
    /// allows it.
    async fn prefill_remotely(self: &Arc<Self>, job: &mut Job, plan: &PromptPlan) -> RemotePrefill {
        let Some(engine) = &plan.prefill else {
            return RemotePrefill::Skipped;
        };
        let permit = self.may_prefill(job).await;
        if permit == PrefillPermit::Denied {
            return RemotePrefill::Skipped;
        }
        let prefills_before = job.prefill_sends;
        let handle = self.prefill(job, engine, plan).await;
        let is_first_prefill = prefills_before == 0 && job.prefill_sends == 1;
        self.settle_prefill(job, permit, is_first_prefill);
        match handle {
            Some(handle) => RemotePrefill::Done(handle),
            None => {
                job.note_tried(&engine.id);
                RemotePrefill::Failed
            }
        }
    }

    fn plan(&self, job: &mut Job) -> Option<PromptPlan> {
        let now = now();
        let candidates = self.candidates(job);
        let mut placement = self.placement();
        self.refresh_idle_connections(&mut placement);
        let plan = self.choose_plan(&mut placement, job, &candidates.back_ends, now)?;
        job.expected_ms.get_or_insert(plan.expected_ms);
        placement.record_prompt_work(&job.service.name, &plan, job.latency_targets(), now);
        if let Some(prompt) = &job.metadata.prompt {
            let total = f64::from(prompt.input_tokens);
            self.metrics
                .prompt(total, plan.tokens_to_read, plan.fetch_from.is_some());
        }
        let prompt_engine = plan.prefill.as_ref().unwrap_or(&plan.decode);
        let decodes_here = plan.prefill.is_none();
        let explanation = decodes_here.then(|| {
            placement.explain_stream(
                &plan.decode,
                &candidates.back_ends,
                job.stream_needs(&placement),
                now,
            )
        });
        let stream = explanation.flatten();
        job.note_expected_gap(stream.as_ref());
        job.trace.add(TraceStep::BackEndChosen {
            purpose: if plan.prefill.is_some() {
                "prefill"
            } else {
                "serve"
            },
            back_end: Arc::clone(&prompt_engine.id),
            software: prompt_engine.version.clone(),
            expected_ms: plan.expected_ms,
            tokens_to_read: plan.tokens_to_read,
            requests_there: placement.load.requests(&prompt_engine.id),
            ready: candidates.ready.all(),
            stream,
        });
        Some(plan)
    }

    /// Chooses a plan with which the request meets its latency target. Otherwise plans it as a late
    /// request, which uses only the capacity that other requests leave.
    fn choose_plan(
        &self,
        placement: &mut Placement,
        job: &mut Job,
        ready: &[Arc<BackEnd>],
        now: Instant,
    ) -> Option<PromptPlan> {
        let (Some(prompt), Some(traits)) = (&job.metadata.prompt, &job.service.engine) else {
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
            stream: job.stream_needs(placement),
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

    /// Whether the request exceeds its tenant's fair share while not all requests can be served in
    /// time.
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
        plan: PromptPlan,
        handle: Option<KvCacheHandle>,
        resume_after: Option<u64>,
    ) -> OpenAttempt {
        let decode = self.decode_engine(job, &plan, handle.is_some());
        let tokens = if handle.is_some() {
            0.0
        } else {
            plan.tokens_to_read
        };
        let outstanding = self.placement().load.outstanding(&decode.id);
        let had_no_queued_prefill = handle.is_none() && outstanding.prompt_tokens < 1.0;
        let had_free_slot = outstanding.requests_ahead(job.urgency) < f64::from(decode.slots);
        let tokens_ahead =
            (handle.is_none() && had_free_slot).then(|| outstanding.tokens_ahead(job.urgency));
        let load = LoadGuard::new(self, &decode, tokens, job.urgency);
        let wait_policy = self.first_event_wait_policy(job, &plan);
        let step = match &handle {
            Some(held) => SendStep::Decode {
                source: held.source,
                handle: &held.handle,
            },
            None => SendStep::Serve,
        };
        let timing = SendTiming {
            started_at: now(),
            had_no_queued_prefill,
            tokens_ahead,
        };
        let cache_source = plan.fetch_from.as_ref().filter(|_| handle.is_none());
        let options = SendOptions {
            resume_after,
            fetch_from: cache_source.map(|cache_source| cache_source.address),
            ..SendOptions::new(step, wait_policy)
        };
        let result = self.send(job, &decode, options).await;
        job.note_tried(&decode.id);
        let send = StreamSend {
            plan,
            decode,
            step: step_name(step),
            handle,
            load,
            timing,
        };
        self.continue_stream(job, send, result, wait_policy).await
    }

    /// Continues after the head of an answer arrived or failed to.
    async fn continue_stream(
        self: &Arc<Self>,
        job: &mut Job,
        mut send: StreamSend,
        result: SendEnd,
        wait_policy: WaitPolicy,
    ) -> OpenAttempt {
        let reply = match result {
            SendEnd::Answered(reply) => *reply,
            SendEnd::NotSent(reason) | SendEnd::NotRun(reason) => {
                let plan = send.plan;
                let prefilled = send.handle.map(|handle| PrefilledPrompt { plan, handle });
                return OpenAttempt::NotRun { reason, prefilled };
            }
            SendEnd::MayHaveRun(reason) => return OpenAttempt::MayHaveRun(reason),
            SendEnd::Silent(exchange) => {
                let answer = exchange.answer.map(LateStart::Head).boxed();
                return OpenAttempt::Silent(Box::new(send.fall_silent(job, answer)));
            }
        };
        if let Some(held) = &mut send.handle {
            held.mark_taken();
        }
        if !reply.response.status().is_success() {
            return self
                .error_answer(job, &send.decode, reply, wait_policy.deadline())
                .await;
        }
        self.first_event(job, send, reply, wait_policy).await
    }

    /// Continues with the answer of an engine that was silent.
    async fn late_stream_answer(
        self: &Arc<Self>,
        job: &mut Job,
        late: Late<StreamSend, LateStart>,
    ) -> OpenAttempt {
        let send = late.context;
        let result = match late.answer {
            LateStart::FirstEvent(started) => {
                return self.note_first_event(job, send, started).await;
            }
            LateStart::Head(result) => result,
        };
        let decode = Arc::clone(&send.decode);
        let started_at = send.timing.started_at;
        let result = self
            .judge_late_answer(job, &decode, send.step, result, started_at)
            .await;
        let wait_policy = WaitPolicy::until_deadline(job);
        self.continue_stream(job, send, result, wait_policy).await
    }

    /// Chooses the engine that decodes. After a remote prefill the choice is made again, because
    /// the load has changed meanwhile. Engines in the zone of the prefill engine are preferred if
    /// that saves more time than it costs, because transferring the KV cache to another zone takes
    /// twice as long.
    fn decode_engine(&self, job: &mut Job, plan: &PromptPlan, after_prefill: bool) -> Arc<BackEnd> {
        if !after_prefill {
            return Arc::clone(&plan.decode);
        }
        let prompt_engine = plan.prefill.as_deref();
        let mut candidates =
            self.candidates_near(job, prompt_engine.map(|prompt_engine| &*prompt_engine.zone));
        if let Some(prompt_engine) = prompt_engine {
            // The KV cache of one version doesn't fit an engine of another.
            let decoders = &mut candidates.back_ends;
            decoders.retain(|decoder| decoder.version == prompt_engine.version);
        }
        let hand_over = prompt_engine
            .zip(job.metadata.prompt.as_ref())
            .zip(job.service.engine.as_ref())
            .map(|((prompt_engine, prompt), traits)| HandOver::of(prompt, prompt_engine, traits));
        let mut placement = self.placement();
        self.refresh_idle_connections(&mut placement);
        let chosen = placement
            .choose_decode_after_prefill(
                &candidates.back_ends,
                &job.tried,
                &DecodeRequest {
                    prompt: job.metadata.prompt.as_ref(),
                    hand_over,
                    stream: job.stream_needs(&placement),
                },
                now(),
                &mut *self.random(),
            )
            .unwrap_or_else(|| Arc::clone(&plan.decode));
        let stream = placement.explain_stream(
            &chosen,
            &candidates.back_ends,
            job.stream_needs(&placement),
            now(),
        );
        job.note_expected_gap(stream.as_ref());
        job.trace.add(TraceStep::BackEndChosen {
            purpose: "decode",
            back_end: Arc::clone(&chosen.id),
            software: chosen.version.clone(),
            expected_ms: plan.expected_ms,
            tokens_to_read: 0.0,
            requests_there: placement.load.requests(&chosen.id),
            ready: candidates.ready.all(),
            stream,
        });
        chosen
    }

    async fn error_answer(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        reply: Reply,
        deadline: Instant,
    ) -> OpenAttempt {
        // Engines also answer with this status if the deadline passed before the request started to
        // run.
        if reply.response.status() != StatusCode::GATEWAY_TIMEOUT {
            self.count_tenant_run(job);
        }
        let answer = read_complete(reply, self.memory.reserve(), deadline).await;
        self.note_outcome(back_end, &job.service.health_path, Outcome::Error);
        self.attempt_ended(
            job,
            TraceStep::AttemptEnded {
                purpose: "serve",
                back_end: Arc::clone(&back_end.id),
                outcome: "back_end_error",
                status: answer.as_ref().map(|answer| answer.head.status.as_u16()),
                took: now().saturating_duration_since(job.arrived),
            },
        );
        match answer {
            Some(answer) => {
                self.record_good_run(job);
                OpenAttempt::Answer(answer.into_final_answer())
            }
            None => OpenAttempt::MayHaveRun("answer_broke_off"),
        }
    }

    /// An engine counts as too slow well after the latency target, or if it does not answer a health
    /// check either.
    fn first_event_wait_policy(&self, job: &Job, plan: &PromptPlan) -> WaitPolicy {
        const EXPECTED_TIME_FACTOR: f64 = 2.0;
        const HEALTH_CHECK_MARGIN: Duration = Duration::from_millis(100);
        let expected = plan.expected().mul_f64(EXPECTED_TIME_FACTOR);
        let limit = (job.route.target_latency * TARGET_WAIT_FACTOR).max(expected);
        let health_check_after = expected + HEALTH_CHECK_MARGIN;
        WaitPolicy::new(job, job.release(), Some(limit), Some(health_check_after))
    }
}
