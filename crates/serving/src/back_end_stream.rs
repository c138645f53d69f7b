//! The stream of a connection to a back end.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use ponddrift_runtime::BoxedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Reports the end of the stream as a reset while a request is being written.
///
/// A body without a length ends with its connection. If the back end closes the connection before it
/// has taken the whole request, the answer is as incomplete as after a reset, which may still follow.
pub(crate) struct BackEndStream {
    inner: BoxedStream,
    /// Whether bytes of a request have not been handed to the operating system.
    is_writing: bool,
}

impl BackEndStream {
    pub(crate) const fn new(inner: BoxedStream) -> Self {
        Self {
            inner,
            is_writing: false,
        }
    }
}

impl AsyncRead for BackEndStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let has_ended = buffer.filled().len() == before && buffer.remaining() > 0;
        if has_ended && self.is_writing {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BackEndStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// The HTTP library flushes when it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(context))?;
        self.is_writing = false;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
