//! The stream of a connection to a back end.

use std::error::Error as _;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use ponddrift_http::memory::{MemoryBudget, MemoryExhausted, Reservation};
use ponddrift_runtime::BoxedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read at once. The HTTP library enlarges its buffer, which begins with twice as
/// many, when a read fills it: a back end that sends fast would make every connection take the
/// maximum.
const MAX_READ_BYTES: usize = 4 << 10;
/// Bytes of a head that are not charged: the HTTP library's buffer has this size anyway.
const UNCHARGED_HEAD_BYTES: usize = 8 << 10;

/// Whether a connection broke because this daemon has no memory for the head of the answer. That says
/// nothing about the back end.
pub(crate) fn lacks_memory(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref());
    let cause = source.and_then(io::Error::get_ref);
    cause.is_some_and(|cause| cause.is::<MemoryExhausted>())
}

/// Accounts for the memory that the head of an answer takes while a connection receives it.
#[derive(Default)]
pub(crate) struct AnswerHead {
    /// Without an account, nothing is charged.
    budget: Option<MemoryBudget>,
    progress: Mutex<HeadProgress>,
}

#[derive(Default)]
struct HeadProgress {
    is_awaited: bool,
    bytes: usize,
    memory: Option<Reservation>,
}

impl AnswerHead {
    pub(crate) fn new(budget: Option<MemoryBudget>) -> Arc<Self> {
        Arc::new(Self {
            budget,
            progress: Mutex::default(),
        })
    }

    /// A request is sent.
    pub(crate) fn begin(&self) {
        *self.lock() = HeadProgress {
            is_awaited: true,
            ..HeadProgress::default()
        };
    }

    /// The head has arrived.
    pub(crate) fn end(&self) {
        *self.lock() = HeadProgress::default();
    }

    /// Charges received bytes if they are a part of the head.
    fn received(&self, bytes: usize) -> io::Result<()> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        let mut progress = self.lock();
        if !progress.is_awaited {
            return Ok(());
        }
        progress.bytes += bytes;
        let received = progress.bytes;
        if received <= UNCHARGED_HEAD_BYTES {
            return Ok(());
        }
        let memory = progress.memory.get_or_insert_with(|| budget.reserve());
        memory.grow_to(received).map_err(io::Error::other)
    }

    fn lock(&self) -> MutexGuard<'_, HeadProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limits what the HTTP library buffers, and reports the end of the stream as a reset while a request
/// is being written.
///
/// A body without a length ends with its connection. If the back end closes the connection before it
/// has taken the whole request, the answer is as incomplete as after a reset, which may still follow.
pub(crate) struct BackEndStream {
    inner: BoxedStream,
    head: Arc<AnswerHead>,
    /// Whether bytes of a request have not been handed to the operating system.
    is_writing: bool,
}

impl BackEndStream {
    pub(crate) fn new(inner: BoxedStream, head: &Arc<AnswerHead>) -> Self {
        Self {
            inner,
            head: Arc::clone(head),
            is_writing: false,
        }
    }

    /// Reads into `buffer`, and returns the number of bytes.
    fn poll_read_some(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let before = buffer.filled().len();
        if self.head.budget.is_none() {
            ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
            return Poll::Ready(Ok(buffer.filled().len() - before));
        }
        let room = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
        let length = part.filled().len();
        buffer.advance(length);
        Poll::Ready(Ok(length))
    }
}

impl AsyncRead for BackEndStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let has_room = buffer.remaining() > 0;
        let length = ready!(self.poll_read_some(context, buffer))?;
        if length == 0 && has_room && self.is_writing {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.head.received(length)?;
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
