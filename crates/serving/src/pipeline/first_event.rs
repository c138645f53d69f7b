//! Waits for the first event of a stream and records its timing.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::{PrefixState, PromptPlan, PromptReading, PromptTime, Urgency};
use ponddrift_fleet::versions::RequiredVersion;

use super::Pipeline;
use super::attempt::SERVE;
use super::event_buffer::{EventBuffer, EventFault, ReceivedEvent, outcome_of_end};
use super::generate::OpenStream;
use super::job::Job;
use super::quarantining::RunProgress;
use super::stream_send::{LateStart, OpenAttempt, SendTiming, StreamSend};
use super::wait_policy::WaitPolicy;
use crate::connections::{Connection, Reply};
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::now;

/// A stream that has begun.
pub(super) struct StartedStream {
    head: response::Parts,
    body: Incoming,
    connection: Connection,
    events: Box<EventBuffer>,
    first_event: Option<ReceivedEvent>,
    ended: bool,
}

impl Pipeline {
    /// Waits for the first event of an answer.
    pub(super) async fn first_event(
        self: &Arc<Self>,
        job: &mut Job,
        send: StreamSend,
        reply: Reply,
        wait_policy: WaitPolicy,
    ) -> OpenAttempt {
        let route = reply.connection.route();
        let mut reading = read_first_event(reply, Box::new(EventBuffer::new(&self.memory))).boxed();
        let waited = self
            .wait_for(&mut reading, job, &send.decode, wait_policy, &route)
            .await;
        match waited {
            Ok(started) => self.note_first_event(job, send, started).await,
            Err(_finding) if !job.time_left().is_zero() => {
                let answer = reading.map(LateStart::FirstEvent).boxed();
                OpenAttempt::Silent(Box::new(send.fall_silent(job, answer)))
            }
            Err(finding) => self.no_first_event(job, &send, finding.name()),
        }
    }

    /// Records the first event, or that the answer broke off before it.
    pub(super) async fn note_first_event(
        self: &Arc<Self>,
        job: &mut Job,
        send: StreamSend,
        started: Result<StartedStream, &'static str>,
    ) -> OpenAttempt {
        let started = match started {
            Ok(started) => started,
            Err(reason) => {
                let outcome = outcome_of_end(reason);
                let has_ended = self
                    .check_lost_run(
                        job,
                        &send.decode,
                        outcome,
                        send.timing.started_at,
                        RunProgress::BeforeAnswer,
                    )
                    .await;
                if has_ended {
                    job.note_ended_run(&send.decode);
                }
                if let Some(outcome) = outcome {
                    self.note_outcome(&send.decode, &job.service.health_path, outcome);
                }
                self.count_tenant_run(job);
                return self.no_first_event(job, &send, reason);
            }
        };
        if job.required_version != RequiredVersion::Any
            && self.state.has_other_software(&send.decode)
        {
            return self.no_first_event(job, &send, "other_software");
        }
        let StreamSend {
            plan,
            decode,
            mut load,
            timing,
            ..
        } = send;
        let took = now().saturating_duration_since(timing.started_at);
        let waited = now().saturating_duration_since(job.arrived);
        load.generates();
        self.record_sound_parts(job);
        self.metrics.first_event(waited);
        self.count_tenant_run(job);
        job.first_event.get_or_insert_with(now);
        let is_direct = started.connection.relay().is_none();
        let took_without_queue = (is_direct && timing.had_no_queued_prefill).then_some(took);
        self.record_first_event_time(job, &decode, waited);
        self.record_decode_speed(job, &plan, &decode, took_without_queue);
        if is_direct {
            self.learn_prompt_at_decode(job, &plan, &decode, took, timing);
        }
        OpenAttempt::Opened(Box::new(OpenStream {
            back_end: decode,
            head: started.head,
            body: started.body,
            connection: started.connection,
            events: started.events,
            first_event: started.first_event,
            ended: started.ended,
            has_forwarded_event: false,
            started_at: timing.started_at,
            _load: load,
        }))
    }

    fn no_first_event(
        &self,
        job: &mut Job,
        send: &StreamSend,
        reason: &'static str,
    ) -> OpenAttempt {
        self.attempt_ended(
            job,
            TraceStep::AttemptEnded {
                purpose: SERVE,
                back_end: Arc::clone(&send.decode.id),
                outcome: reason,
                status: None,
                took: now().saturating_duration_since(send.timing.started_at),
            },
        );
        OpenAttempt::MayHaveRun(reason)
    }

    fn record_first_event_time(&self, job: &Job, decode: &Arc<BackEnd>, waited: Duration) {
        let mut placement = self.placement();
        placement.health.record_activity(&decode.id, now());
        if job.urgency == Urgency::InTime && !job.yields && job.metadata.prompt.is_some() {
            let in_time = waited <= job.route.target_latency;
            let service = &job.service.name;
            let target_ms = milliseconds(job.route.target_latency);
            let share = job.expected_ms.unwrap_or_default() / target_ms.max(1.0);
            placement
                .confidence
                .record_deadline_outcome(service, share, in_time);
        }
    }

    /// Updates the speed estimates. `took` is the time of the answer if the engine had no other
    /// prompt to prefill.
    fn record_decode_speed(
        &self,
        job: &Job,
        plan: &PromptPlan,
        decode: &Arc<BackEnd>,
        took: Option<Duration>,
    ) {
        self.note_prefix(job, decode, PrefixState::Cached);
        if job.metadata.prompt.is_none() || plan.prefill.is_some() {
            return;
        }
        if let Some(took) = took {
            let took_ms = milliseconds(took);
            let reading = PromptReading {
                tokens: plan.tokens_to_read,
                took_ms: (took_ms - plan.fetch_ms).max(0.0),
            };
            let mut placement = self.placement();
            let at_average = placement.at_average_engine(decode, reading, now());
            let speed = &mut placement.speed;
            speed.record_engine_answer(&decode.id, plan.expected_ms, took_ms, now());
            speed.record_decode_reading(at_average);
        }
    }

    /// Learns how fast a decode engine processes prompts.
    fn learn_prompt_at_decode(
        &self,
        job: &Job,
        plan: &PromptPlan,
        decode: &BackEnd,
        took: Duration,
        sent: SendTiming,
    ) {
        let Some(tokens_ahead) = sent.tokens_ahead.filter(|_| job.metadata.prompt.is_some()) else {
            return;
        };
        let time = PromptTime {
            tokens: plan.tokens_to_read,
            tokens_ahead,
            took_ms: milliseconds(took) - plan.fetch_ms,
        };
        self.placement().learn_prompt(decode, time, now());
    }
}

async fn read_first_event(
    reply: Reply,
    mut events: Box<EventBuffer>,
) -> Result<StartedStream, &'static str> {
    let (head, mut body) = reply.response.into_parts();
    let (first_event, ended) = loop {
        if let Some(event) = events.next_event().map_err(EventFault::name)? {
            break (Some(event), false);
        }
        match receive(&mut events, &mut body, "broke_off_before_first_event").await? {
            BodyState::Continues => {}
            BodyState::Ended => break (None, true),
        }
    };
    Ok(StartedStream {
        head,
        body,
        connection: reply.connection,
        events,
        first_event,
        ended,
    })
}

/// Whether a body continues after a frame.
pub(super) enum BodyState {
    Continues,
    Ended,
}

/// Receives a frame of the body. Returns `transport_error` if the transport failed, and another
/// reason if the body ended within an event, or if there is no memory for the event.
pub(super) async fn receive(
    events: &mut EventBuffer,
    body: &mut Incoming,
    transport_error: &'static str,
) -> Result<BodyState, &'static str> {
    let frame = tokio::select! {
        biased;
        () = events.must_yield() => return Err(EventFault::NoMemory.name()),
        frame = body.frame() => frame,
    };
    match frame {
        None if events.has_partial_event() => Err("broke_off_in_an_event"),
        None => Ok(BodyState::Ended),
        Some(Err(_error)) => Err(transport_error),
        Some(Ok(frame)) => {
            if let Some(data) = frame.data_ref() {
                events.push(data).map_err(EventFault::name)?;
            }
            Ok(BodyState::Continues)
        }
    }
}
