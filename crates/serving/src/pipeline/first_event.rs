//! Waits for the first event of a stream, and notes what it tells.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::events::{Event, EventSplitter};
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{PrefixState, PromptPlan, PromptReading, Urgency};

use super::Pipeline;
use super::generate::{FirstEvent, OpenStream, Sent};
use super::guards::LoadGuard;
use super::job::Job;
use super::wait_policy::{WaitEnd, WaitPolicy};
use crate::connections::Reply;
use crate::request_trace::{Step, milliseconds};
use crate::time::now;

/// Why no first event came.
pub(super) enum NoEvent {
    WaitEnd(WaitEnd),
    Broken(&'static str),
}

impl NoEvent {
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
        begun: Instant,
        wait_policy: WaitPolicy,
    ) -> Result<Box<OpenStream>, NoEvent> {
        let (head, mut body) = reply.response.into_parts();
        let mut splitter = EventSplitter::default();
        let reading = read_first_event(&mut body, &mut splitter);
        let (first, ended) = self
            .wait_for(reading, back_end, health_path, wait_policy)
            .await
            .map_err(NoEvent::WaitEnd)?
            .map_err(NoEvent::Broken)?;
        load.generates();
        Ok(Box::new(OpenStream {
            back_end: Arc::clone(back_end),
            head,
            body,
            connection: reply.connection,
            splitter,
            first,
            ended,
            first_passed: false,
            begun,
            _load: load,
        }))
    }

    pub(super) fn note_first_event(
        self: &Arc<Self>,
        job: &mut Job,
        plan: &PromptPlan,
        decode: &Arc<BackEnd>,
        opened: Result<Box<OpenStream>, NoEvent>,
        sent: Sent,
    ) -> FirstEvent {
        let took = now().saturating_duration_since(sent.begun);
        match opened {
            Ok(stream) => {
                let waited = now().saturating_duration_since(job.arrived);
                self.metrics.first_event(waited);
                self.note_run(job);
                job.first_event.get_or_insert_with(now);
                self.learn_first_event(job, decode, waited);
                self.learn_decode(job, plan, decode, sent.reads_alone.then_some(took));
                FirstEvent::Came(stream)
            }
            Err(no_event) => {
                if let Some(outcome) = no_event.outcome() {
                    self.note_outcome(decode, &job.service.health_path, outcome);
                }
                if matches!(no_event, NoEvent::Broken(_)) {
                    self.note_run(job);
                }
                let reason = no_event.name();
                self.attempt_ended(
                    job,
                    Step::Ended {
                        purpose: "serve",
                        back_end: Arc::clone(&decode.id),
                        outcome: reason,
                        status: None,
                        took,
                    },
                );
                FirstEvent::Unsure(reason)
            }
        }
    }

    fn learn_first_event(&self, job: &Job, decode: &Arc<BackEnd>, waited: Duration) {
        let mut placement = self.placement();
        placement.health.sign_of_life(&decode.id, now());
        if job.urgency == Urgency::InTime && !job.yields && job.facts.prompt.is_some() {
            let in_time = waited <= job.route.target_latency;
            let service = &job.service.name;
            let target_ms = milliseconds(job.route.target_latency);
            let share = job.expected_ms.unwrap_or_default() / target_ms.max(1.0);
            placement
                .confidence
                .record_deadline_outcome(service, share, in_time);
        }
    }

    /// Learns from an answer; `took`: its time, where the engine had nothing else to read.
    fn learn_decode(
        &self,
        job: &Job,
        plan: &PromptPlan,
        decode: &Arc<BackEnd>,
        took: Option<Duration>,
    ) {
        self.note_head(job, decode, PrefixState::Cached);
        if job.facts.prompt.is_none() || plan.prefill.is_some() {
            return;
        }
        if let Some(took) = took {
            let took_ms = milliseconds(took);
            let speed = &mut self.placement().speed;
            speed.record_engine_answer(&decode.id, plan.expected_ms, took_ms, now());
            speed.record_decode_reading(PromptReading {
                tokens: plan.tokens_to_read,
                took_ms: (took_ms - plan.fetch_ms).max(0.0),
            });
        }
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
        match take_frame(splitter, frame, "broke_off_before_first_event")? {
            Flow::GoesOn => {}
            Flow::Ended => return Ok((None, true)),
        }
    }
}

/// Whether a body goes on after a frame.
pub(super) enum Flow {
    GoesOn,
    Ended,
}

/// Takes what came of a body; a fault is named `broke_off`, or says that it came inside an event.
pub(super) fn take_frame(
    splitter: &mut EventSplitter,
    frame: Option<hyper::Result<Frame<Bytes>>>,
    broke_off: &'static str,
) -> Result<Flow, &'static str> {
    match frame {
        None if splitter.has_partial_event() => Err("broke_off_in_an_event"),
        None => Ok(Flow::Ended),
        Some(Err(_error)) => Err(broke_off),
        Some(Ok(frame)) => {
            if let Some(data) = frame.data_ref() {
                splitter.push(data);
            }
            Ok(Flow::GoesOn)
        }
    }
}
