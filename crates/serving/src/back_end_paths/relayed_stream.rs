//! A connection that a peer relays. It counts as open until it is dropped.
//!
//! What the back end sends arrives in frames: a length of [`FRAME_HEADER_BYTES`], then as many bytes.
//! An empty frame states that the back end closed the connection. Without it the connection was
//! interrupted, so an answer that ends with its connection is not taken for complete.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use ponddrift_fleet::relays::Relays;
use ponddrift_runtime::BoxedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of a frame's length, which is an unsigned integer in network byte order.
pub(crate) const FRAME_HEADER_BYTES: usize = 2;

/// The header of a frame of `length` bytes, at most 65,535.
pub(crate) fn frame_header(length: usize) -> [u8; FRAME_HEADER_BYTES] {
    u16::try_from(length).unwrap_or(u16::MAX).to_be_bytes()
}

/// Position in the frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// In a header, of which this many bytes have arrived.
    Header(usize),
    /// In a frame, of which this many bytes are missing.
    Frame(usize),
    /// After the last frame.
    End,
}

pub(super) struct RelayedStream {
    stream: BoxedStream,
    peer: SocketAddr,
    relays: Arc<Mutex<Relays>>,
    header: [u8; FRAME_HEADER_BYTES],
    position: Position,
}

impl RelayedStream {
    pub(super) fn new(stream: BoxedStream, peer: SocketAddr, relays: &Arc<Mutex<Relays>>) -> Self {
        relays
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_opened(peer);
        Self {
            stream,
            peer,
            relays: Arc::clone(relays),
            header: [0; FRAME_HEADER_BYTES],
            position: Position::Header(0),
        }
    }

    /// Reads into `buffer`; returns the number of bytes. The end of the stream is an error, because
    /// the last frame has not arrived.
    fn poll_read_some(
        stream: &mut BoxedStream,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(buffer);
        ready!(Pin::new(stream).poll_read(context, &mut buffer))?;
        let length = buffer.filled().len();
        if length == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(length))
    }

    fn poll_header(&mut self, context: &mut Context<'_>, arrived: usize) -> Poll<io::Result<()>> {
        let rest = &mut self.header[arrived..];
        let length = ready!(Self::poll_read_some(&mut self.stream, context, rest))?;
        let arrived = arrived + length;
        self.position = if arrived < FRAME_HEADER_BYTES {
            Position::Header(arrived)
        } else {
            match u16::from_be_bytes(self.header) {
                0 => Position::End,
                length => Position::Frame(usize::from(length)),
            }
        };
        Poll::Ready(Ok(()))
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        missing: usize,
    ) -> Poll<io::Result<()>> {
        let wanted = missing.min(buffer.remaining());
        if wanted == 0 {
            return Poll::Ready(Ok(()));
        }
        let target = buffer.initialize_unfilled_to(wanted);
        let length = ready!(Self::poll_read_some(&mut self.stream, context, target))?;
        buffer.advance(length);
        self.position = match missing - length {
            0 => Position::Header(0),
            missing => Position::Frame(missing),
        };
        Poll::Ready(Ok(()))
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        self.relays
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_closed(self.peer);
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.position {
                Position::Header(arrived) => ready!(self.poll_header(context, arrived))?,
                Position::Frame(missing) => return self.poll_frame(context, buffer, missing),
                Position::End => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
