//! The byte stream of one server connection: releases requests once their answers are written, and
//! lingers before it closes.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::Response;
use ponddrift_runtime::BoxedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

use super::answer_body::AnswerBody;
use crate::body::Body;
use crate::memory::{MemoryBudget, Reservation};

/// A head up to this size is not charged: each connection has a read buffer of this size.
const UNCHARGED_HEAD_BYTES: usize = 8 << 10;
/// Size of the buffer for input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// What a request holds until its answer is written or its connection is closed. Dropped at that
/// moment.
pub trait HeldByRequest: Send + Sync + 'static {
    /// The answer begins. Notifying `close` closes the connection at once.
    fn answer_begins(&self, _close: &Arc<Notify>) {}
    /// A piece of the answer was passed on, which shows that the peer reads it.
    fn answer_progressed(&self) {}
    /// The last byte of the answer was written. Not called if the connection is closed before.
    fn answer_written(&self);
}

/// A handler adds it to the extensions of its response.
#[derive(Clone)]
pub struct RequestGuard(pub(super) Arc<dyn HeldByRequest>);

impl RequestGuard {
    /// Holds `held` until the end of the request.
    #[must_use]
    pub fn new(held: impl HeldByRequest) -> Self {
        Self(Arc::new(held))
    }
}

/// How long a closing connection waits for its peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct LingerLimits {
    /// For a peer that reads its answers as they are written.
    pub(super) prompt_reader: Duration,
    /// For a peer whose last answer did not fit into the send buffer at once, so that a part of it may
    /// still be there.
    pub(super) slow_reader: Duration,
}

/// What a connection is doing, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request is in progress.
    Idle(Instant),
    /// A part of a request head has arrived.
    ReadingHead(Instant),
    /// A request is in progress.
    Busy,
}

/// What the server and the stream of one connection share.
pub(super) struct ConnectionState {
    progress: Mutex<Progress>,
    /// Closes the connection at once.
    close: Arc<Notify>,
}

struct Progress {
    /// Requests whose answers are complete but not flushed yet.
    unflushed: Vec<Option<RequestGuard>>,
    /// Requests whose answers are not flushed.
    in_progress: usize,
    /// Whether any request was handled.
    was_used: bool,
    /// Whether a write of the last answer had to wait for the peer.
    reader_is_slow: bool,
    phase: Phase,
    /// Bytes of the head that is being read, and the memory that they are charged to.
    head_bytes: usize,
    head_memory: Option<Reservation>,
}

impl ConnectionState {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            progress: Mutex::new(Progress {
                unflushed: Vec::new(),
                in_progress: 0,
                was_used: false,
                reader_is_slow: false,
                phase: Phase::Idle(Instant::now()),
                head_bytes: 0,
                head_memory: None,
            }),
            close: Arc::default(),
        })
    }

    /// What the connection is doing.
    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Closes the connection at once.
    pub(super) fn close(&self) {
        self.close.notify_one();
    }

    /// Completes when the connection has to close at once.
    pub(super) async fn must_close(&self) {
        self.close.notified().await;
    }

    /// Records that a request has arrived. Its sender has read the earlier answers.
    pub(super) fn begin_request(self: &Arc<Self>) -> BegunRequest {
        let mut progress = self.lock();
        progress.was_used = true;
        progress.reader_is_slow = false;
        progress.in_progress += 1;
        progress.phase = Phase::Busy;
        progress.head_bytes = 0;
        progress.head_memory = None;
        drop(progress);
        BegunRequest(Some(Arc::clone(self)))
    }

    /// Charges received bytes to the memory account while they are part of a head.
    fn charge_head(&self, bytes: usize, memory: Option<&MemoryBudget>) -> io::Result<()> {
        let mut progress = self.lock();
        if progress.phase == Phase::Busy || bytes == 0 {
            return Ok(());
        }
        if matches!(progress.phase, Phase::Idle(_)) {
            progress.phase = Phase::ReadingHead(Instant::now());
        }
        progress.head_bytes += bytes;
        let (Some(memory), true) = (memory, progress.head_bytes > UNCHARGED_HEAD_BYTES) else {
            return Ok(());
        };
        let head_bytes = progress.head_bytes;
        let reservation = progress.head_memory.get_or_insert_with(|| {
            let reservation = memory.reserve();
            reservation.yield_by(&self.close);
            reservation
        });
        reservation.grow_to(head_bytes).map_err(io::Error::other)
    }

    /// Keeps the guard of a response until its body is written.
    fn guard_answer(self: &Arc<Self>, response: Response<Body>) -> Response<AnswerBody> {
        let (mut head, body) = response.into_parts();
        let guard = head.extensions.remove::<RequestGuard>();
        if let Some(RequestGuard(held)) = &guard {
            held.answer_begins(&self.close);
        }
        let body = AnswerBody::new(body, guard, Arc::clone(self));
        Response::from_parts(head, body)
    }

    /// Records that the last byte of an answer is buffered.
    pub(super) fn answer_buffered(&self, guard: Option<RequestGuard>) {
        self.lock().unflushed.push(guard);
    }

    /// Ends the requests whose answers are written.
    fn flushed(&self) {
        // The guards run code of their owners, which must not happen under the lock.
        for RequestGuard(held) in self.take_unflushed().into_iter().flatten() {
            held.answer_written();
        }
    }

    /// Ends all requests: what was not written is lost.
    fn closed(&self) {
        drop(self.take_unflushed());
    }

    fn take_unflushed(&self) -> Vec<Option<RequestGuard>> {
        let mut progress = self.lock();
        let ended = std::mem::take(&mut progress.unflushed);
        progress.in_progress = progress.in_progress.saturating_sub(ended.len());
        if !ended.is_empty() && progress.in_progress == 0 {
            progress.phase = Phase::Idle(Instant::now());
        }
        ended
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A request without an answer. Dropped if its caller cancels it, which HTTP/2 allows without closing
/// the connection.
pub(super) struct BegunRequest(Option<Arc<ConnectionState>>);

impl BegunRequest {
    /// From now on, the body of its answer ends it.
    pub(super) fn answered(mut self, response: Response<Body>) -> Response<AnswerBody> {
        match self.0.take() {
            Some(state) => state.guard_answer(response),
            None => unreachable!("it is answered once"),
        }
    }
}

impl Drop for BegunRequest {
    fn drop(&mut self) {
        if let Some(state) = self.0.take() {
            state.answer_buffered(None);
            state.flushed();
        }
    }
}

enum Closing {
    Open,
    /// The sending side is shut down; input is discarded until the peer closes.
    Lingering(Pin<Box<Sleep>>),
    Closed,
}

/// The stream of a connection.
///
/// Closing a socket whose input was not read resets the connection, and the peer loses what it has
/// not yet received of its answer. `poll_shutdown` therefore shuts down the sending side first and
/// discards input until the peer closes (RFC 9112, section 9.6).
pub(super) struct ServerStream {
    inner: BoxedStream,
    state: Arc<ConnectionState>,
    limits: LingerLimits,
    /// The account that heads are charged to.
    memory: Option<MemoryBudget>,
    closing: Closing,
}

impl ServerStream {
    pub(super) fn new(
        inner: BoxedStream,
        state: Arc<ConnectionState>,
        limits: LingerLimits,
        memory: Option<MemoryBudget>,
    ) -> Self {
        Self {
            inner,
            state,
            limits,
            memory,
            closing: Closing::Open,
        }
    }

    /// How long to wait for the peer to close; `None` if it has no answer that could be lost.
    fn linger_time(&self) -> Option<Duration> {
        let progress = self.state.lock();
        if progress.reader_is_slow {
            Some(self.limits.slow_reader)
        } else {
            progress.was_used.then_some(self.limits.prompt_reader)
        }
    }

    /// Discards input until the peer closes; ready once it has.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer)) {
                Ok(()) if buffer.filled().is_empty() => return Poll::Ready(()),
                Ok(()) => {}
                Err(_closed) => return Poll::Ready(()),
            }
        }
    }

    fn note_write<T>(&self, written: &Poll<io::Result<T>>) {
        if written.is_pending() {
            self.state.lock().reader_is_slow = true;
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        self.state.charge_head(received, self.memory.as_ref())?;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.inner).poll_flush(context));
        if flushed.is_ok() {
            self.state.flushed();
        }
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            match &mut self.closing {
                Closing::Open => {
                    ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
                    self.state.flushed();
                    self.closing = match self.linger_time() {
                        Some(time) => {
                            Closing::Lingering(Box::pin(sleep_until(Instant::now() + time)))
                        }
                        None => Closing::Closed,
                    };
                }
                Closing::Lingering(limit) => {
                    let is_over = limit.as_mut().poll(context).is_ready();
                    if !is_over && self.poll_discard(context).is_pending() {
                        return Poll::Pending;
                    }
                    self.closing = Closing::Closed;
                }
                Closing::Closed => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl Drop for ServerStream {
    fn drop(&mut self) {
        self.state.closed();
    }
}
