//! Passes a stream on, event by event, and goes on elsewhere where its engine fails.
//!
//! Only whole events are passed on, so that what follows from another engine begins where the last ended. The
//! caller keeps the head of the first engine. Pieces are made only as the caller takes them, so a caller that
//! does not read holds up its engine and no memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{Stream, stream};
use http_body_util::BodyExt;
use ponddrift_fleet::events::Event;
use ponddrift_fleet::health::Outcome;
use ponddrift_http::body::BodyError;

use super::Pipeline;
use super::first_event::{Flow, take_frame};
use super::generate::OpenStream;
use super::guards::InProgress;
use super::job::Job;
use super::wait_policy::{WaitEnd, WaitPolicy};
use crate::request_trace::Step;
use crate::time::now;

/// The health of an engine whose next event is this many target gaps late is asked for,
const GAP_FACTOR: u32 = 3;
/// but not sooner than this.
const LEAST_GAP_WAIT: Duration = Duration::from_millis(300);
/// A resumable stream without an event for this long goes on elsewhere; callers leave after two seconds.
const LONGEST_GAP: Duration = Duration::from_millis(1_300);

/// A stream on its way to its caller.
pub(super) struct Relay {
    pipeline: Arc<Pipeline>,
    job: Job,
    stream: Option<OpenStream>,
    last_id: Option<u64>,
    last_event: Option<Instant>,
    is_closed: bool,
    _in_progress: InProgress,
}

/// The caller sees its connection end early, which no complete answer does.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off: {0}; ask again")]
struct BrokenOff(&'static str);

enum Next {
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
        let last_id = job.facts.resume_after;
        Self {
            pipeline: Arc::clone(pipeline),
            job,
            stream: Some(stream),
            last_id,
            last_event: None,
            is_closed: false,
            _in_progress: in_progress,
        }
    }

    /// The pieces of the body, made as they are asked for.
    pub(super) fn into_pieces(self) -> impl Stream<Item = Result<Bytes, BodyError>> {
        stream::unfold(self, |mut relay| async move {
            let piece = relay.next_piece().await?;
            Some((piece, relay))
        })
    }

    async fn next_piece(&mut self) -> Option<Result<Bytes, BodyError>> {
        while !self.is_closed {
            let mut stream = self.stream.take()?;
            match self.next_of(&mut stream).await {
                Next::Event(event) => {
                    self.note_gap(&stream);
                    stream.first_passed = true;
                    self.stream = Some(stream);
                    if self.is_repeated(&event) {
                        continue;
                    }
                    self.last_id = event.id.or(self.last_id);
                    return Some(Ok(event.bytes));
                }
                Next::End => self.complete(stream),
                Next::Broken(reason) => {
                    if let Err(error) = self
                        .go_on_elsewhere(stream, reason, Some(Outcome::Broken))
                        .await
                    {
                        return Some(Err(error));
                    }
                }
                Next::WaitEnd(wait_end) => {
                    let (reason, outcome) = (wait_end.name(), wait_end.outcome());
                    if let Err(error) = self.go_on_elsewhere(stream, reason, outcome).await {
                        return Some(Err(error));
                    }
                }
            }
        }
        None
    }

    /// Notes the pause since the event before, if there was one.
    fn note_gap(&mut self, stream: &OpenStream) {
        let now = now();
        let engine = &stream.back_end.id;
        let mut placement = self.pipeline.placement();
        placement.health.sign_of_life(engine, now);
        if stream.first_passed
            && let Some(before) = self.last_event
        {
            let gap = now.saturating_duration_since(before);
            self.pipeline.metrics.gap(gap);
            // Where the engine was not known to read, the pause is what its streams alone bring about.
            if placement.load.outstanding(engine).prompt_tokens < 1.0 {
                let service = &self.job.service.name;
                placement.streams.paused_quietly(service, gap);
            }
            self.job.longest_gap = self.job.longest_gap.max(gap);
        }
        self.last_event = Some(now);
    }

    /// Whether the caller has this event already.
    fn is_repeated(&self, event: &Event) -> bool {
        matches!((event.id, self.last_id), (Some(id), Some(last)) if id <= last)
    }

    async fn next_of(&self, stream: &mut OpenStream) -> Next {
        if let Some(event) = stream.first.take() {
            return Next::Event(event);
        }
        let wait_policy = self.wait_policy();
        loop {
            match stream.splitter.next_event() {
                Ok(Some(event)) => return Next::Event(event),
                Ok(None) if stream.ended => return Next::End,
                Ok(None) => {}
                Err(_fault) => return Next::Broken("event_too_long"),
            }
            let waited = self
                .pipeline
                .wait_for(
                    stream.body.frame(),
                    &stream.back_end,
                    &self.job.service.health_path,
                    wait_policy,
                )
                .await;
            match waited {
                Err(wait_end) => return Next::WaitEnd(wait_end),
                Ok(frame) => match take_frame(&mut stream.splitter, frame, "broke_off") {
                    Ok(Flow::GoesOn) => {}
                    Ok(Flow::Ended) => return Next::End,
                    Err(reason) => return Next::Broken(reason),
                },
            }
        }
    }

    /// An engine that is silent in mid-stream is left only where another may go on in its place, and the budget has a
    /// place for that; its health is asked for first.
    fn wait_policy(&self) -> WaitPolicy {
        let job = &self.job;
        let Some(gap) = job.route.target_gap else {
            return WaitPolicy::new(job, None, None);
        };
        if !job.may_run_again() || !self.pipeline.has_repeat(job) {
            return WaitPolicy::new(job, None, None);
        }
        let suspicious_after = (gap * GAP_FACTOR).max(LEAST_GAP_WAIT);
        WaitPolicy::new(
            job,
            Some(LONGEST_GAP.max(suspicious_after)),
            Some(suspicious_after),
        )
    }

    fn complete(&mut self, stream: OpenStream) {
        self.note_end(&stream, "answered", Some(Outcome::Success));
        self.pipeline.note_good_run(&self.job);
        let time = now().saturating_duration_since(stream.begun);
        let slots = stream.back_end.slots;
        let service = &self.job.service.name;
        self.pipeline
            .placement()
            .meter_stream(service, slots, time, now());
        stream.connection.return_to_pool(&stream.head.headers);
        self.close(200, "served");
    }

    /// Leaves a failed engine: its connection closes first, which ends its work, then another goes on.
    async fn go_on_elsewhere(
        &mut self,
        stream: OpenStream,
        reason: &'static str,
        outcome: Option<Outcome>,
    ) -> Result<(), BodyError> {
        self.note_end(&stream, reason, outcome);
        self.pipeline
            .run_was_cut(&self.job, &stream.back_end, outcome, stream.begun)
            .await;
        // Those that refused it when it began may have room by now.
        self.job.tried = vec![Arc::clone(&stream.back_end.id)];
        drop(stream);
        if !self.job.may_run_again() {
            return Err(self.break_off(reason));
        }
        let after = self.last_id;
        self.job.trace.add(Step::Resumed { after, reason });
        self.pipeline.metrics.resumed();
        match self.pipeline.open_stream(&mut self.job, after).await {
            Ok(stream) => {
                self.stream = Some(stream);
                Ok(())
            }
            Err(_not_opened) => Err(self.break_off(reason)),
        }
    }

    fn note_end(&mut self, stream: &OpenStream, name: &'static str, outcome: Option<Outcome>) {
        if let Some(outcome) = outcome {
            self.pipeline
                .note_outcome(&stream.back_end, &self.job.service.health_path, outcome);
        }
        self.pipeline.attempt_ended(
            &mut self.job,
            Step::Ended {
                purpose: "stream",
                back_end: Arc::clone(&stream.back_end.id),
                outcome: name,
                status: Some(stream.head.status.as_u16()),
                took: now().saturating_duration_since(stream.begun),
            },
        );
    }

    fn break_off(&mut self, reason: &'static str) -> BodyError {
        self.close(200, "broken_off");
        Box::new(BrokenOff(reason))
    }

    fn close(&mut self, status: u16, outcome: &'static str) {
        self.is_closed = true;
        self.pipeline.close(&mut self.job, status, outcome);
    }
}
