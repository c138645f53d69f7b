//! RAII guards for the resources that a request holds while it runs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use http::Response;
use hyper::body::Body as _;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::Urgency;
use ponddrift_http::memory::Reservation;
use ponddrift_http::{Body, HeldByRequest};
use tokio::sync::Notify;

use super::event_buffer::ForwardedEvent;
use super::{Pipeline, SendPermit};
use crate::request_trace::milliseconds;
use crate::time::now;

/// Time limit for the call that releases a KV cache handle.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Prefills of at least this many tokens are published to peers at once.
const HEAVY_PREFILL_TOKENS: f64 = 1000.0;

/// Counts a request until the last byte of its answer is written or its connection is closed.
pub(super) struct InProgress {
    pipeline: Arc<Pipeline>,
    request: Option<Arc<str>>,
    /// When the whole answer was handed to the server; not set for a stream, which logs its own end.
    answered_at: OnceLock<Instant>,
    is_written: AtomicBool,
    /// The memory of the answer, if it is held completely.
    memory: OnceLock<AnswerMemory>,
    /// The memory of the event that is being written, if the answer is a stream.
    event: OnceLock<ForwardedEvent>,
}

impl InProgress {
    pub(super) fn new(pipeline: &Arc<Pipeline>, request: Option<Arc<str>>) -> Self {
        pipeline.in_progress.fetch_add(1, Ordering::Relaxed);
        Self {
            pipeline: Arc::clone(pipeline),
            request,
            answered_at: OnceLock::new(),
            is_written: AtomicBool::new(false),
            memory: OnceLock::new(),
            event: OnceLock::new(),
        }
    }

    /// Records that the answer is handed to the server, and takes over its memory.
    pub(super) fn answered(&self, response: &mut Response<Body>) {
        if response.body().size_hint().exact().is_some() {
            self.answered_at.get_or_init(now);
        }
        if let Some(memory) = response.extensions_mut().remove::<AnswerMemory>() {
            self.memory.get_or_init(|| memory);
        }
        if let Some(event) = response.extensions_mut().remove::<ForwardedEvent>() {
            self.event.get_or_init(|| event);
        }
    }
}

impl HeldByRequest for InProgress {
    fn answer_begins(&self, close: &Arc<Notify>) {
        if let Some(AnswerMemory(memory)) = self.memory.get() {
            memory.yield_by(close);
        }
        if let Some(event) = self.event.get() {
            event.answer_begins(close);
        }
    }

    fn answer_progressed(&self) {
        if let Some(AnswerMemory(memory)) = self.memory.get() {
            memory.progressed();
        }
        if let Some(event) = self.event.get() {
            event.progressed();
        }
    }

    fn answer_written(&self) {
        self.is_written.store(true, Ordering::Relaxed);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.pipeline.in_progress.fetch_sub(1, Ordering::Relaxed);
        let is_written = self.is_written.load(Ordering::Relaxed);
        if let Some(answered_at) = self.answered_at.get().filter(|_| !is_written) {
            self.pipeline.metrics.answer_unwritten();
            tracing::info!(
                request = self.request.as_deref(),
                after_ms = milliseconds(now().saturating_duration_since(*answered_at)),
                is_stopping = self.pipeline.is_stopping(),
                "answer_unwritten"
            );
        }
    }
}

/// The memory of an answer that is held completely, as an extension of the response.
#[derive(Clone)]
pub(super) struct AnswerMemory(pub(super) Arc<Reservation>);

/// Accounts for the work of a request at one back end.
pub(super) struct LoadGuard {
    pipeline: Arc<Pipeline>,
    id: Arc<str>,
    pending_prefill_tokens: f64,
    urgency: Urgency,
    generates: bool,
}

impl LoadGuard {
    pub(super) fn new(
        pipeline: &Arc<Pipeline>,
        back_end: &BackEnd,
        prompt_tokens: f64,
        urgency: Urgency,
    ) -> Self {
        let load = &mut pipeline.placement().load;
        load.begin(&back_end.id, prompt_tokens, urgency);
        if prompt_tokens >= HEAVY_PREFILL_TOKENS {
            pipeline.heavy_work_changed.notify_one();
        }
        Self {
            pipeline: Arc::clone(pipeline),
            id: Arc::clone(&back_end.id),
            pending_prefill_tokens: prompt_tokens,
            urgency,
            generates: false,
        }
    }

    /// Records that the prompt has been prefilled.
    pub(super) fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prefill_tokens);
        let load = &mut self.pipeline.placement().load;
        load.prompt_read(&self.id, tokens, self.urgency);
    }

    /// Records that the first event has arrived.
    pub(super) fn generates(&mut self) {
        self.prompt_read();
        self.generates = true;
        let load = &mut self.pipeline.placement().load;
        load.generates(&self.id, self.urgency);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.prompt_read();
        let load = &mut self.pipeline.placement().load;
        load.end(&self.id, self.urgency, self.generates);
    }
}

/// Handle of the KV cache that an engine holds for a request. Released on drop, unless another
/// engine has taken the cache over.
pub(super) struct KvCacheHandle {
    pipeline: Arc<Pipeline>,
    pub(super) source: SocketAddr,
    pub(super) handle: String,
    max_connections: u32,
    was_taken: bool,
}

impl KvCacheHandle {
    pub(super) fn new(
        pipeline: &Arc<Pipeline>,
        source: SocketAddr,
        handle: String,
        max_connections: u32,
    ) -> Self {
        Self {
            pipeline: Arc::clone(pipeline),
            source,
            handle,
            max_connections,
            was_taken: false,
        }
    }

    /// Records that another engine has taken the KV cache over.
    pub(super) fn mark_taken(&mut self) {
        self.was_taken = true;
    }
}

impl Drop for KvCacheHandle {
    fn drop(&mut self) {
        if self.was_taken {
            return;
        }
        let pipeline = Arc::clone(&self.pipeline);
        let call = pipeline.dialect.release_handle(&self.handle);
        let source = self.source;
        let max_connections = self.max_connections;
        let spawner = Arc::clone(&pipeline.runtime.spawner);
        spawner.spawn(Box::pin(async move {
            if let Some(request) = call.request(source) {
                let connections = &pipeline.connections;
                // The engine expires handles that are not released.
                drop(
                    connections
                        .call(
                            SendPermit::control_call(),
                            source,
                            max_connections,
                            request,
                            RELEASE_TIMEOUT,
                        )
                        .await,
                );
            }
        }));
    }
}
