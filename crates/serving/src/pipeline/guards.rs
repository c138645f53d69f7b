//! What a request holds while it runs, given back when it is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::Urgency;

use super::{Pipeline, SendPermit};

/// Time for a small call to a back end.
const SMALL_CALL_LIMIT: Duration = Duration::from_millis(500);

/// Reading so many tokens takes long enough that peers should know of it at once.
const HEAVY_TOKENS: f64 = 1000.0;

/// Counts a request while it is in progress.
pub(super) struct InProgress(Arc<Pipeline>);

impl InProgress {
    pub(super) fn new(pipeline: &Arc<Pipeline>) -> Self {
        pipeline.in_progress.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(pipeline))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes of a request's body that are held in memory.
pub(super) struct HeldBytes {
    pipeline: Arc<Pipeline>,
    bytes: usize,
}

impl HeldBytes {
    pub(super) fn new(pipeline: &Arc<Pipeline>, bytes: usize) -> Self {
        pipeline.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        Self {
            pipeline: Arc::clone(pipeline),
            bytes,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.pipeline
            .held_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Work at one back end.
pub(super) struct LoadGuard {
    pipeline: Arc<Pipeline>,
    id: Arc<str>,
    unread_tokens: f64,
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
        if prompt_tokens >= HEAVY_TOKENS {
            pipeline.heavy_work_changed.notify_one();
        }
        Self {
            pipeline: Arc::clone(pipeline),
            id: Arc::clone(&back_end.id),
            unread_tokens: prompt_tokens,
            urgency,
            generates: false,
        }
    }

    /// The prompt has been read.
    pub(super) fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        let load = &mut self.pipeline.placement().load;
        load.prompt_read(&self.id, tokens, self.urgency);
    }

    /// The first event has come.
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

/// KV cache that an engine keeps for a request. Freed when dropped, unless it was taken.
pub(super) struct HeldHandle {
    pipeline: Arc<Pipeline>,
    pub(super) source: SocketAddr,
    pub(super) handle: String,
    most_connections: u32,
    taken: bool,
}

impl HeldHandle {
    pub(super) fn new(
        pipeline: &Arc<Pipeline>,
        source: SocketAddr,
        handle: String,
        most_connections: u32,
    ) -> Self {
        Self {
            pipeline: Arc::clone(pipeline),
            source,
            handle,
            most_connections,
            taken: false,
        }
    }

    /// Another engine has taken it.
    pub(super) fn mark_taken(&mut self) {
        self.taken = true;
    }
}

impl Drop for HeldHandle {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let pipeline = Arc::clone(&self.pipeline);
        let call = pipeline.dialect.release_handle(&self.handle);
        let source = self.source;
        let most = self.most_connections;
        let spawner = Arc::clone(&pipeline.runtime.spawner);
        spawner.spawn(Box::pin(async move {
            if let Some(request) = call.request(source) {
                let connections = &pipeline.connections;
                // What is not freed lapses by itself.
                drop(
                    connections
                        .call(
                            SendPermit::control_call(),
                            source,
                            most,
                            request,
                            SMALL_CALL_LIMIT,
                        )
                        .await,
                );
            }
        }));
    }
}
