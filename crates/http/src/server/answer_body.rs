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
pub(super) struct AnswerBody {
    inner: Body,
    /// What remains of the last piece of `inner`.
    rest: Bytes,
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
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        let Some(Ok(frame)) = frame else {
            return Poll::Ready(frame);
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
        self.rest.is_empty() && self.inner.is_end_stream()
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
