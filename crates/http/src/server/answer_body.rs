//! The body of an answer, which holds its request until it is written.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use super::connection::{ConnectionState, RequestGuard};
use crate::body::{Body, BodyError};

/// Largest piece of a body that is passed on at once. The HTTP/2 implementation buffers whole pieces
/// whatever the peer's flow control window is.
const MAX_PIECE_BYTES: usize = 64 << 10;

/// Passes a body on in pieces. At its end, its request waits for the connection to be flushed.
///
/// hyper closes the connection as soon as a body fails, without flushing the head and the pieces
/// that it still buffers. A failure is therefore passed on one poll later: while the body is pending,
/// hyper flushes.
pub(super) struct AnswerBody {
    inner: Body,
    /// What remains of the last piece of `inner`.
    rest: Bytes,
    /// A failure of `inner` that is not passed on yet.
    failure: Option<BodyError>,
    guard: Option<RequestGuard>,
    connection: Arc<ConnectionState>,
}

impl AnswerBody {
    pub(super) fn new(
        inner: Body,
        guard: Option<RequestGuard>,
        connection: Arc<ConnectionState>,
    ) -> Self {
        Self {
            inner,
            rest: Bytes::new(),
            failure: None,
            guard,
            connection,
        }
    }

    fn next_piece(&mut self) -> Frame<Bytes> {
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        Frame::data(self.rest.split_to(length))
    }
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(RequestGuard(held)) = &self.guard {
            held.answer_progressed();
        }
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.next_piece())));
        }
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        let frame = match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            None => return Poll::Ready(None),
            Some(Ok(frame)) => frame,
            Some(Err(failure)) => {
                self.failure = Some(failure);
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        };
        match frame.into_data() {
            Ok(data) if data.len() > MAX_PIECE_BYTES => {
                self.rest = data;
                Poll::Ready(Some(Ok(self.next_piece())))
            }
            Ok(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Err(trailers) => Poll::Ready(Some(Ok(trailers))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.failure.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.inner.size_hint();
        let rest = self.rest.len() as u64;
        let mut hint = SizeHint::new();
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + rest);
        }
        hint.set_lower(inner.lower() + rest);
        hint
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.connection.answer_buffered(self.guard.take());
    }
}
