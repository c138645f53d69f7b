//! Forwards a stream event by event, and resumes it on another engine if its engine fails.
//!
//! Only complete events are forwarded, so that another engine can continue exactly after the last
//! one. The caller keeps the response head of the first engine. Events are read only as the caller
//! consumes them, so a slow caller holds up its engine instead of filling memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{FutureExt, Stream, stream};
use ponddrift_fleet::events::Event;
use ponddrift_fleet::health::Outcome;
use ponddrift_http::body::BodyError;

use super::Pipeline;
use super::attempt::{OpenSend, STREAM};
use super::event_buffer::{ForwardedEvent, ReceivedEvent, outcome_of_end};
use super::first_event::{BodyState, receive};
use super::generate::OpenStream;
use super::job::Job;
use super::quarantining::RunProgress;
use super::silent_sends::{First, LateAnswer, SilentSend, SilentSends};
use super::wait_policy::{Release, WaitEnd, WaitPolicy};
use crate::request_trace::TraceStep;
use crate::time::now;

/// An engine's health is checked when its next event is overdue by this multiple of the target gap,
/// but not before [`MIN_GAP_WAIT`].
const GAP_CHECK_FACTOR: u32 = 3;
/// Minimum silence of an engine before its health is checked.
const MIN_GAP_WAIT: Duration = Duration::from_millis(300);
/// A resumable stream without an event for this long is resumed elsewhere, before callers give up
/// after two seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_300);

/// A stream that is being forwarded to its caller.
pub(super) struct Relay {
    pipeline: Arc<Pipeline>,
    job: Job,
    stream: Option<OpenStream>,
    last_event_id: Option<u64>,
    last_event: Option<Instant>,
    forwarded: ForwardedEvent,
    is_finished: bool,
}

/// Ends the caller's connection early, so that the caller can tell the answer from a complete one.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended early ({0}); retry the request")]
struct StreamBroken(&'static str);

enum NextItem {
    Event(ReceivedEvent),
    End,
    Broken(&'static str),
    WaitEnd(WaitEnd),
    /// Another engine has resumed the stream.
    Resumed,
}

impl OpenStream {
    /// Reads the next item, and returns it with the stream.
    async fn into_next_item(mut self) -> (Self, NextItem) {
        let item = next_item(&mut self).await;
        (self, item)
    }
}

impl LateAnswer for (OpenStream, NextItem) {
    fn is_usable(&self) -> bool {
        matches!(self.1, NextItem::Event(_) | NextItem::End)
    }
}

/// Reads the next item of a stream. Loses nothing if it is dropped.
async fn next_item(stream: &mut OpenStream) -> NextItem {
    if let Some(event) = stream.first_event.take() {
        return NextItem::Event(event);
    }
    loop {
        match stream.events.next_event() {
            Ok(Some(event)) => return NextItem::Event(event),
            Ok(None) if stream.ended => return NextItem::End,
            Ok(None) => {}
            Err(fault) => return NextItem::Broken(fault.name()),
        }
        match receive(&mut stream.events, &mut stream.body, "broke_off").await {
            Ok(BodyState::Continues) => {}
            Ok(BodyState::Ended) => return NextItem::End,
            Err(reason) => return NextItem::Broken(reason),
        }
    }
}

impl Relay {
    pub(super) fn new(
        pipeline: &Arc<Pipeline>,
        job: Job,
        stream: OpenStream,
        forwarded: ForwardedEvent,
    ) -> Self {
        let last_event_id = job.metadata.resume_after;
        let mut job = job;
        // Back ends that refused the request may have capacity by the time it is resumed.
        job.tried = vec![Arc::clone(&stream.back_end.id)];
        job.required_version = pipeline.version_of_events(&stream.back_end);
        Self {
            pipeline: Arc::clone(pipeline),
            job,
            stream: Some(stream),
            last_event_id,
            last_event: None,
            forwarded,
            is_finished: false,
        }
    }

    /// The chunks of the response body, produced on demand.
    pub(super) fn into_body_chunks(self) -> impl Stream<Item = Result<Bytes, BodyError>> {
        stream::unfold(self, |mut relay| async move {
            let chunk = relay.next_chunk().await?;
            Some((chunk, relay))
        })
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.forwarded.end();
        while !self.is_finished {
            let mut stream = self.stream.take()?;
            let mut next = self.read_next(&mut stream).await;
            if let NextItem::WaitEnd(finding) = next
                && !self.job.time_left().is_zero()
            {
                let reason = finding.name();
                match self.resume_beside(stream, reason).await {
                    Some(continued) => (stream, next) = continued,
                    None => return Some(Err(self.fail_stream(reason))),
                }
            }
            match next {
                NextItem::Event(event) => {
                    self.record_gap(&stream);
                    stream.has_forwarded_event = true;
                    self.stream = Some(stream);
                    if self.is_already_forwarded(&event.event) {
                        continue;
                    }
                    self.last_event_id = event.event.id.or(self.last_event_id);
                    self.job.events_sent += 1;
                    return Some(Ok(self.forwarded.begin(event)));
                }
                NextItem::End => self.complete(stream),
                NextItem::Broken(reason) => {
                    let outcome = outcome_of_end(reason);
                    if let Err(error) = self.resume_elsewhere(stream, reason, outcome).await {
                        return Some(Err(error));
                    }
                }
                NextItem::WaitEnd(finding) => {
                    let reason = finding.name();
                    if let Err(error) = self.resume_elsewhere(stream, reason, None).await {
                        return Some(Err(error));
                    }
                }
                NextItem::Resumed => self.stream = Some(stream),
            }
        }
        None
    }

    /// Resumes the stream on another engine while the silent one may go on. Returns the stream that
    /// is first to continue, and its next item; the other one is closed, which ends its run. `None`
    /// if neither continues.
    async fn resume_beside(
        &mut self,
        silent: OpenStream,
        reason: &'static str,
    ) -> Option<(OpenStream, NextItem)> {
        let open = OpenSend {
            back_end: Arc::clone(&silent.back_end),
            purpose: STREAM,
            started_at: silent.started_at,
        };
        let silent_id = Arc::clone(&open.back_end.id);
        self.job.silent_runs.push(open.clone());
        self.note_resumption(reason);
        let mut sends = SilentSends::default();
        let answer = silent.into_next_item().boxed();
        sends.push(SilentSend::new(open, (), answer));
        let late = loop {
            self.job.tried = vec![Arc::clone(&silent_id)];
            let stage = Arc::clone(&self.job.run_stage);
            let opening = self.pipeline.open_stream(&mut self.job, self.last_event_id);
            match sends.beside(&self.pipeline, &stage, opening).await {
                First::Attempt(Ok(resumed)) => {
                    sends.close(&self.pipeline, &mut self.job, reason);
                    return Some((resumed, NextItem::Resumed));
                }
                First::Late(late) => break late,
                First::Attempt(Err(_not_opened)) => {}
            }
            if let Some(late) = sends.take_unusable() {
                break late;
            }
            if let Some(late) = sends.next_before_retry(&mut self.job).await {
                break late;
            }
            if !sends.may_answer(&self.job) {
                sends.close(&self.pipeline, &mut self.job, reason);
                return None;
            }
        };
        self.pipeline.cancel_open_send(&mut self.job);
        self.job.forget_silent_run(&late.open);
        Some(late.answer)
    }

    fn note_resumption(&mut self, reason: &'static str) {
        let after = self.last_event_id;
        self.job
            .trace
            .add(TraceStep::StreamResumed { after, reason });
        self.pipeline.metrics.resumed();
    }

    /// Records the time since the previous event, if there is one.
    fn record_gap(&mut self, stream: &OpenStream) {
        let now = now();
        let engine = &stream.back_end.id;
        let mut placement = self.pipeline.placement();
        placement.health.record_activity(engine, now);
        if stream.has_forwarded_event
            && let Some(before) = self.last_event
        {
            let gap = now.saturating_duration_since(before);
            self.pipeline.metrics.gap(gap);
            // Without a pending prefill at the engine, the gap is caused by its streams alone.
            let outstanding = placement.load.outstanding(engine);
            let is_direct = stream.connection.relay().is_none();
            if is_direct && outstanding.prompt_tokens < 1.0 {
                let service = &self.job.service.name;
                placement.streams.record_baseline_gap(service, gap);
                placement.learn_gap(&stream.back_end, outstanding.generating, gap, now);
            }
            self.job.longest_gap = self.job.longest_gap.max(gap);
        }
        self.last_event = Some(now);
    }

    /// Whether the caller already has this event.
    fn is_already_forwarded(&self, event: &Event) -> bool {
        matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last)
    }

    async fn read_next(&mut self, stream: &mut OpenStream) -> NextItem {
        let wait_policy = self.wait_policy();
        let route = stream.connection.route();
        let back_end = Arc::clone(&stream.back_end);
        let mut item = std::pin::pin!(next_item(stream));
        let waited = self
            .pipeline
            .wait_for(&mut item, &mut self.job, &back_end, wait_policy, &route)
            .await;
        waited.unwrap_or_else(NextItem::WaitEnd)
    }

    /// A silent engine is left in mid-stream only if another engine may resume the stream. Its health
    /// is checked first.
    fn wait_policy(&self) -> WaitPolicy {
        let job = &self.job;
        let Some(gap) = job.route.target_gap.filter(|_| job.may_run_again()) else {
            return WaitPolicy::until_deadline(job);
        };
        let health_check_after = (gap * GAP_CHECK_FACTOR).max(MIN_GAP_WAIT);
        WaitPolicy::new(
            job,
            Release::WithRetry,
            Some(RESUME_TIMEOUT.max(health_check_after)),
            Some(health_check_after),
        )
    }

    fn complete(&mut self, stream: OpenStream) {
        self.record_end(&stream, "answered", Some(Outcome::Success));
        self.pipeline.record_good_run(&self.job);
        self.pipeline.forget_served_stream(&self.job);
        let time = now().saturating_duration_since(stream.started_at);
        let slots = stream.back_end.slots;
        let service = &self.job.service.name;
        let mut placement = self.pipeline.placement();
        placement.record_stream_work(service, slots, time, now());
        if let Some(prompt) = &self.job.metadata.prompt {
            let events = self.job.events_sent;
            let streams = &mut placement.streams;
            streams.record_events(service, prompt.output_tokens, events);
        }
        drop(placement);
        stream.connection.return_to_pool(&stream.head.headers);
        self.finish(200, "served");
    }

    /// Resumes the stream on another engine. The connection to the failed engine must close first,
    /// which cancels the work there.
    async fn resume_elsewhere(
        &mut self,
        stream: OpenStream,
        reason: &'static str,
        outcome: Option<Outcome>,
    ) -> Result<(), BodyError> {
        self.record_end(&stream, reason, outcome);
        let has_ended = self
            .pipeline
            .check_lost_run(
                &self.job,
                &stream.back_end,
                outcome,
                stream.started_at,
                RunProgress::Writing,
            )
            .await;
        if has_ended {
            self.job.note_ended_run(&stream.back_end);
        }
        // Back ends that refused the request at its start may have capacity by now.
        self.job.tried = vec![Arc::clone(&stream.back_end.id)];
        drop(stream);
        if !self.job.may_run_again() {
            return Err(self.fail_stream(reason));
        }
        self.note_resumption(reason);
        let after = self.last_event_id;
        match self.pipeline.open_stream(&mut self.job, after).await {
            Ok(stream) => {
                self.stream = Some(stream);
                Ok(())
            }
            Err(_not_opened) => Err(self.fail_stream(reason)),
        }
    }

    fn record_end(&mut self, stream: &OpenStream, name: &'static str, outcome: Option<Outcome>) {
        if let Some(outcome) = outcome {
            self.pipeline
                .note_outcome(&stream.back_end, &self.job.service.health_path, outcome);
        }
        self.pipeline.attempt_ended(
            &mut self.job,
            TraceStep::AttemptEnded {
                purpose: STREAM,
                back_end: Arc::clone(&stream.back_end.id),
                outcome: name,
                status: Some(stream.head.status.as_u16()),
                took: now().saturating_duration_since(stream.started_at),
            },
        );
    }

    fn fail_stream(&mut self, reason: &'static str) -> BodyError {
        self.finish(200, "broken_off");
        Box::new(StreamBroken(reason))
    }

    fn finish(&mut self, status: u16, outcome: &'static str) {
        self.is_finished = true;
        self.pipeline.finish(&mut self.job, status, outcome);
    }
}
