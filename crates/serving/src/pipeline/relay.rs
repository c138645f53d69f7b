//! Forwards a stream event by event, and resumes it on another engine if its engine fails.
//!
//! Only complete events are forwarded, so that another engine can continue exactly after the last
//! one. The caller keeps the response head of the first engine. Events are read only as the caller
//! consumes them, so a slow caller holds up its engine instead of filling memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{Stream, stream};
use http_body_util::BodyExt;
use ponddrift_fleet::events::Event;
use ponddrift_fleet::health::Outcome;
use ponddrift_http::body::BodyError;

use super::Pipeline;
use super::first_event::{BodyState, push_frame};
use super::generate::OpenStream;
use super::guards::InProgress;
use super::job::Job;
use super::wait_policy::{WaitEnd, WaitPolicy};
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
    is_finished: bool,
    _in_progress: InProgress,
}

/// Ends the caller's connection early, so that the caller can tell the answer from a complete one.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended early ({0}); retry the request")]
struct StreamBroken(&'static str);

enum NextItem {
    Event(Event),
    End,
    Broken(&'static str),
    WaitEnd(WaitEnd),
}

impl Relay {
    pub(super) fn new(
        pipeline: &Arc<Pipeline>,
        job: Job,
        stream: OpenStream,
        in_progress: InProgress,
    ) -> Self {
        let last_event_id = job.metadata.resume_after;
        Self {
            pipeline: Arc::clone(pipeline),
            job,
            stream: Some(stream),
            last_event_id,
            last_event: None,
            is_finished: false,
            _in_progress: in_progress,
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
        while !self.is_finished {
            let mut stream = self.stream.take()?;
            match self.read_next(&mut stream).await {
                NextItem::Event(event) => {
                    self.record_gap(&stream);
                    stream.has_forwarded_event = true;
                    self.stream = Some(stream);
                    if self.is_already_forwarded(&event) {
                        continue;
                    }
                    self.last_event_id = event.id.or(self.last_event_id);
                    self.job.events_sent += 1;
                    return Some(Ok(event.bytes));
                }
                NextItem::End => self.complete(stream),
                NextItem::Broken(reason) => {
                    if let Err(error) = self
                        .resume_elsewhere(stream, reason, Some(Outcome::Broken))
                        .await
                    {
                        return Some(Err(error));
                    }
                }
                NextItem::WaitEnd(wait_end) => {
                    let (reason, outcome) = (wait_end.name(), wait_end.outcome());
                    if let Err(error) = self.resume_elsewhere(stream, reason, outcome).await {
                        return Some(Err(error));
                    }
                }
            }
        }
        None
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

    async fn read_next(&self, stream: &mut OpenStream) -> NextItem {
        if let Some(event) = stream.buffered_event.take() {
            return NextItem::Event(event);
        }
        let wait_policy = self.wait_policy();
        let route = stream.connection.route();
        loop {
            match stream.splitter.next_event() {
                Ok(Some(event)) => return NextItem::Event(event),
                Ok(None) if stream.ended => return NextItem::End,
                Ok(None) => {}
                Err(_fault) => return NextItem::Broken("event_too_long"),
            }
            let waited = self
                .pipeline
                .wait_for(
                    stream.body.frame(),
                    &stream.back_end,
                    &self.job.service.health_path,
                    wait_policy,
                    &route,
                )
                .await;
            match waited {
                Err(wait_end) => return NextItem::WaitEnd(wait_end),
                Ok(frame) => match push_frame(&mut stream.splitter, frame, "broke_off") {
                    Ok(BodyState::Continues) => {}
                    Ok(BodyState::Ended) => return NextItem::End,
                    Err(reason) => return NextItem::Broken(reason),
                },
            }
        }
    }

    /// A silent engine is abandoned in mid-stream only if another engine may resume the stream and
    /// the budget holds a retry. Its health is checked first.
    fn wait_policy(&self) -> WaitPolicy {
        let job = &self.job;
        let Some(gap) = job.route.target_gap else {
            return WaitPolicy::new(job, None, None);
        };
        if !job.may_run_again() || !self.pipeline.has_retry(job) {
            return WaitPolicy::new(job, None, None);
        }
        let health_check_after = (gap * GAP_CHECK_FACTOR).max(MIN_GAP_WAIT);
        WaitPolicy::new(
            job,
            Some(RESUME_TIMEOUT.max(health_check_after)),
            Some(health_check_after),
        )
    }

    fn complete(&mut self, stream: OpenStream) {
        self.record_end(&stream, "answered", Some(Outcome::Success));
        self.pipeline.record_good_run(&self.job);
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
            .check_lost_run(&self.job, &stream.back_end, outcome, stream.started_at)
            .await;
        self.job.ended_runs += u32::from(has_ended);
        // Back ends that refused the request at its start may have capacity by now.
        self.job.tried = vec![Arc::clone(&stream.back_end.id)];
        drop(stream);
        if !self.job.may_run_again() {
            return Err(self.fail_stream(reason));
        }
        let after = self.last_event_id;
        self.job
            .trace
            .add(TraceStep::StreamResumed { after, reason });
        self.pipeline.metrics.resumed();
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
                purpose: "stream",
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
