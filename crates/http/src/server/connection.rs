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
use tokio::time::{Instant, Sleep, sleep_until};

use super::answer_body::AnswerBody;
use crate::body::Body;

/// Size of the buffer for input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// What a request holds until its answer is written or its connection is closed. Dropped at that
/// moment.
pub trait HeldByRequest: Send + Sync + 'static {
    /// The last byte of the answer was written. Not called if the connection is closed before.
    fn answer_written(&self);
}

/// A handler adds it to the extensions of its response.
#[derive(Clone)]
pub struct RequestGuard(Arc<dyn HeldByRequest>);

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

/// What the server and the stream of one connection share.
#[derive(Default)]
pub(super) struct ConnectionState(Mutex<Progress>);

#[derive(Default)]
struct Progress {
    /// Requests whose answers are complete but not flushed yet.
    unflushed: Vec<RequestGuard>,
    /// Whether any request was handled.
    was_used: bool,
    /// Whether a write of the last answer had to wait for the peer.
    reader_is_slow: bool,
}

impl ConnectionState {
    /// Records that a request has arrived. Its sender has read the earlier answers.
    pub(super) fn begin_request(&self) {
        let mut progress = self.lock();
        progress.was_used = true;
        progress.reader_is_slow = false;
    }

    /// Keeps the guard of a response until its body is written.
    pub(super) fn guard_answer(self: &Arc<Self>, response: Response<Body>) -> Response<AnswerBody> {
        let (mut head, body) = response.into_parts();
        let guard = head.extensions.remove::<RequestGuard>();
        let body = AnswerBody::new(body, guard, Arc::clone(self));
        Response::from_parts(head, body)
    }

    /// Records that the last byte of an answer is buffered.
    pub(super) fn answer_buffered(&self, guard: RequestGuard) {
        self.lock().unflushed.push(guard);
    }

    /// Ends the requests whose answers are written.
    fn flushed(&self) {
        // The guards run code of their owners, which must not happen under the lock.
        let written = std::mem::take(&mut self.lock().unflushed);
        for RequestGuard(held) in written {
            held.answer_written();
        }
    }

    /// Ends all requests: what was not written is lost.
    fn closed(&self) {
        let unwritten = std::mem::take(&mut self.lock().unflushed);
        drop(unwritten);
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
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
    closing: Closing,
}

impl ServerStream {
    pub(super) fn new(
        inner: BoxedStream,
        state: Arc<ConnectionState>,
        limits: LingerLimits,
    ) -> Self {
        Self {
            inner,
            state,
            limits,
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
        Pin::new(&mut self.inner).poll_read(context, buffer)
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
