//! Waits for the first event of a stream and records its timing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::events::{Event, EventSplitter};
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{PrefixState, PromptPlan, PromptReading, PromptTime, Urgency};

use super::Pipeline;
use super::generate::{OpenAttempt, OpenStream, SendTiming};
use super::guards::LoadGuard;
use super::job::Job;
use super::wait_policy::{WaitEnd, WaitPolicy};
use crate::connections::Reply;
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::now;

/// Why no first event arrived.
pub(super) enum FirstEventError {
    WaitEnd(WaitEnd),
    Broken(&'static str),
}

impl FirstEventError {
    const fn name(&self) -> &'static str {
        match self {
            Self::WaitEnd(wait_end) => wait_end.name(),
            Self::Broken(name) => name,
        }
    }

    pub(super) const fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::WaitEnd(wait_end) => wait_end.outcome(),
            Self::Broken(_) => Some(Outcome::Broken),
        }
    }
}

impl Pipeline {
    pub(super) async fn first_event(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        health_path: &str,
        reply: Reply,
        mut load: LoadGuard,
        started_at: Instant,
        wait_policy: WaitPolicy,
    ) -> Result<Box<OpenStream>, FirstEventError> {
        let (head, mut body) = reply.response.into_parts();
        let mut splitter = EventSplitter::default();
        let route = reply.connection.route();
        let reading = read_first_event(&mut body, &mut splitter);
        let (buffered_event, ended) = self
            .wait_for(reading, back_end, health_path, wait_policy, &route)
            .await
            .map_err(FirstEventError::WaitEnd)?
            .map_err(FirstEventError::Broken)?;
        load.generates();
        Ok(Box::new(OpenStream {
            back_end: Arc::clone(back_end),
            head,
            body,
            connection: reply.connection,
            splitter,
            buffered_event,
            ended,
            has_forwarded_event: false,
            started_at,
            _load: load,
        }))
    }

    pub(super) fn note_first_event(
        self: &Arc<Self>,
        job: &mut Job,
        plan: &PromptPlan,
        decode: &Arc<BackEnd>,
        opened: Result<Box<OpenStream>, FirstEventError>,
        sent: SendTiming,
    ) -> OpenAttempt {
        let took = now().saturating_duration_since(sent.started_at);
        match opened {
            Ok(stream) => {
                let waited = now().saturating_duration_since(job.arrived);
                self.metrics.first_event(waited);
                self.count_tenant_run(job);
                job.first_event.get_or_insert_with(now);
                let is_direct = stream.connection.relay().is_none();
                let took_without_queue = (is_direct && sent.had_no_queued_prefill).then_some(took);
                self.record_first_event_time(job, decode, waited);
                self.record_decode_speed(job, plan, decode, took_without_queue);
                if is_direct {
                    self.learn_prompt_at_decode(job, plan, decode, took, sent);
                }
                OpenAttempt::Opened(stream)
            }
            Err(no_event) => {
                if let Some(outcome) = no_event.outcome() {
                    self.note_outcome(decode, &job.service.health_path, outcome);
                }
                if matches!(no_event, FirstEventError::Broken(_)) {
                    self.count_tenant_run(job);
                }
                let reason = no_event.name();
                self.attempt_ended(
                    job,
                    TraceStep::AttemptEnded {
                        purpose: "serve",
                        back_end: Arc::clone(&decode.id),
                        outcome: reason,
                        status: None,
                        took,
                    },
                );
                OpenAttempt::MayHaveRun(reason)
            }
        }
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
    body: &mut Incoming,
    splitter: &mut EventSplitter,
) -> Result<(Option<Event>, bool), &'static str> {
    loop {
        if let Some(event) = splitter.next_event().map_err(|_fault| "event_too_long")? {
            return Ok((Some(event), false));
        }
        let frame = body.frame().await;
        match push_frame(splitter, frame, "broke_off_before_first_event")? {
            BodyState::Continues => {}
            BodyState::Ended => return Ok((None, true)),
        }
    }
}

/// Whether a body continues after a frame.
pub(super) enum BodyState {
    Continues,
    Ended,
}

/// Adds a body frame to the splitter. Returns `transport_error` if the transport failed, and
/// another reason if the body ended within an event.
pub(super) fn push_frame(
    splitter: &mut EventSplitter,
    frame: Option<hyper::Result<Frame<Bytes>>>,
    transport_error: &'static str,
) -> Result<BodyState, &'static str> {
    match frame {
        None if splitter.has_partial_event() => Err("broke_off_in_an_event"),
        None => Ok(BodyState::Ended),
        Some(Err(_error)) => Err(transport_error),
        Some(Ok(frame)) => {
            if let Some(data) = frame.data_ref() {
                splitter.push(data);
            }
            Ok(BodyState::Continues)
        }
    }
}
