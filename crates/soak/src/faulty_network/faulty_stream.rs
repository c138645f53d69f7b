//! An outgoing connection that cuts affect.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use ponddrift_runtime::BoxedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{CutKind, CutState, lock};

pub(super) struct FaultyStream {
    stream: BoxedStream,
    target: SocketAddr,
    state: Arc<Mutex<CutState>>,
    number: u64,
    /// Number of the newest cut with resets when the connection was opened.
    opened_after_reset: u64,
}

impl FaultyStream {
    pub(super) fn new(
        stream: BoxedStream,
        target: SocketAddr,
        state: &Arc<Mutex<CutState>>,
    ) -> Self {
        let mut locked = lock(state);
        locked.connections += 1;
        Self {
            stream,
            target,
            state: Arc::clone(state),
            number: locked.connections,
            opened_after_reset: locked.reset.as_ref().map_or(0, |(number, _)| *number),
        }
    }

    /// Whether bytes pass: an error if the connection was reset, pending while they do not.
    fn poll_path(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = lock(&self.state);
        if let Some((number, targets)) = &state.reset
            && *number > self.opened_after_reset
            && targets.contains(&self.target)
        {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let is_silent = state
            .cut
            .as_ref()
            .is_some_and(|cut| cut.kind != CutKind::Refused && cut.targets.contains(&self.target));
        // A later cut has to wake the task as well, if the stream keeps it waiting.
        state.waiting.insert(self.number, context.waker().clone());
        if is_silent {
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        lock(&self.state).waiting.remove(&self.number);
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_path(context))?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_path(context))?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
