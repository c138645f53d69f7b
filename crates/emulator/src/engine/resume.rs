//! Streams of events: reading an execution's progress, resuming, and cancelling what nobody reads.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ponddrift_core::Execution as ExecutionKnowledge;
use ponddrift_engine::wire::{completions::DONE, headers};
use ponddrift_http::body::BodyError;
use ponddrift_http::{Body, Problem, ProblemKind, body};
use ponddrift_runtime::watch;

use super::completions::echo;
use super::execution::{Execution, Progress, Stage};
use super::life::Life;
use crate::run_log::header_text;
use crate::server::{Answer, DropConnection, text_response};

/// Marks a connection that reads an execution's answer. When the last one goes before the end, the
/// execution is cancelled after the grace.
pub(super) struct Attached {
    life: Arc<Life>,
    execution: Arc<Execution>,
    grace: Duration,
}

impl Attached {
    pub(super) fn new(life: &Arc<Life>, execution: &Arc<Execution>, grace: Duration) -> Self {
        execution.attached.fetch_add(1, Ordering::SeqCst);
        execution.attachments.fetch_add(1, Ordering::SeqCst);
        Self {
            life: Arc::clone(life),
            execution: Arc::clone(execution),
            grace,
        }
    }
}

impl Drop for Attached {
    fn drop(&mut self) {
        self.execution.attached.fetch_sub(1, Ordering::SeqCst);
        if self.execution.is_attached() || self.execution.progress().is_over() {
            return;
        }
        let life = Arc::clone(&self.life);
        let execution = Arc::clone(&self.execution);
        let grace = self.grace;
        let known = execution.attachments.load(Ordering::SeqCst);
        self.life.runtime.spawner.spawn(Box::pin(async move {
            tokio::time::sleep(grace).await;
            if execution.attachments.load(Ordering::SeqCst) == known {
                life.cancel(&execution);
            }
        }));
    }
}

/// Waits until more than `known` tokens are there, or the execution is over.
pub(super) async fn wait_beyond(execution: &Execution, known: u32) -> Progress {
    let mut receiver = execution.subscribe();
    let is_ready = |progress: &Progress| progress.generated > known || progress.is_over();
    // The sender lives in the execution, which is borrowed here.
    match receiver.wait_for(is_ready).await {
        Ok(progress) => *progress,
        Err(_closed) => execution.progress(),
    }
}

/// The answer of events after number `after`.
pub(super) fn stream_response(attached: Attached, after: u32) -> Response<Body> {
    let execution = Arc::clone(&attached.execution);
    let reader = Reader {
        receiver: execution.subscribe(),
        next: after,
        done: false,
        attached,
    };
    let mut response = Response::new(body::streamed(reader.into_stream()));
    event_stream_headers(&mut response);
    echo(&mut response, &execution.wanted.request_id);
    response
}

/// Headers of every event stream.
pub(super) fn event_stream_headers(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
}

struct Reader {
    attached: Attached,
    receiver: watch::Receiver<Progress>,
    /// Index of the next token, which is the number of the last event that was sent.
    next: u32,
    done: bool,
}

impl Reader {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, BodyError>> + Send {
        stream::unfold(self, |mut reader| async move {
            let piece = reader.next_piece().await?;
            Some((piece, reader))
        })
    }

    async fn next_piece(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.done {
            return None;
        }
        loop {
            let progress = *self.receiver.borrow_and_update();
            if self.next < progress.generated {
                return Some(Ok(self.events_until(progress.generated)));
            }
            if progress.stage == Stage::Whole {
                self.done = true;
                let number = self.next + 1;
                return Some(Ok(Bytes::from(format!("id: {number}\ndata: {DONE}\n\n"))));
            }
            if progress.is_over() || self.receiver.changed().await.is_err() {
                self.done = true;
                return Some(Err(DropConnection.into()));
            }
        }
    }

    fn events_until(&mut self, end: u32) -> Bytes {
        let execution = &self.attached.execution;
        let mut text = String::new();
        for index in self.next..end {
            let event = execution.event(index);
            let data = serde_json::to_string(&event).expect("wire types serialize");
            text.push_str(&format!("id: {}\ndata: {data}\n\n", index + 1));
        }
        self.next = end;
        Bytes::from(text)
    }
}

/// `GET /v1/streams/<request id>`: resumes after `Last-Event-ID`.
pub(super) async fn resume(
    life: Arc<Life>,
    request_id: &str,
    request: &Request<Incoming>,
) -> Answer {
    let after = header_text(request.headers(), headers::LAST_EVENT_ID);
    let after = match after.map_or(Ok(0), |text| text.parse::<u32>()) {
        Ok(after) => after,
        Err(_not_a_number) => {
            let text = "Last-Event-ID is the number of the last event that arrived";
            return Ok(text_response(StatusCode::BAD_REQUEST, text));
        }
    };
    let found = life.find_stream(request_id);
    let resumable = |execution: &Arc<Execution>| {
        let stage = execution.progress().stage;
        !execution.wanted.export && stage != Stage::Cut && stage != Stage::NotRun
    };
    let Some(execution) = found.filter(resumable) else {
        return Ok(not_kept(request_id));
    };
    let after = after.min(execution.wanted.output_tokens);
    let grace = Duration::from_millis(life.settings.resume_grace_ms);
    let attached = Attached::new(&life, &execution, grace);
    life.shared.count(|counters| counters.resumed += 1);
    Ok(stream_response(attached, after))
}

/// `DELETE /v1/streams/<request id>`: cancels at once.
pub(super) fn cancel(life: &Life, request_id: &str) -> Response<Body> {
    let Some(execution) = life.find_stream(request_id) else {
        return not_kept(request_id);
    };
    life.cancel(&execution);
    text_response(StatusCode::OK, "cancelled, unless it had ended\n")
}

fn not_kept(request_id: &str) -> Response<Body> {
    let detail = "no stream of this request is kept here: it never began, was cancelled, or ended too long ago";
    let problem = Problem::new(ProblemKind::NotFound, detail, ExecutionKnowledge::Unknown);
    problem.for_request(request_id).into_response()
}
