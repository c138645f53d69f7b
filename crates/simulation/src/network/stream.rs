//! The application's side of a connection.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::network::connection::{Endpoint, EndpointId, Payload, Phase};
use crate::world::{SharedWorld, World};

/// A connected stream. Dropping it closes the endpoint.
pub(super) struct SimulatedStream {
    world: SharedWorld,
    endpoint: EndpointId,
}

impl SimulatedStream {
    pub(super) fn new(world: SharedWorld, endpoint: EndpointId) -> Self {
        Self { world, endpoint }
    }

    /// Waits until the listener has accepted or refused the connection.
    pub(super) async fn established(&self) -> io::Result<()> {
        poll_fn(|context| {
            self.with_endpoint(|_, endpoint| {
                if let Some(failure) = endpoint.failure {
                    return Poll::Ready(Err(failure.into()));
                }
                if endpoint.phase == Phase::Open {
                    return Poll::Ready(Ok(()));
                }
                endpoint.read_waker = Some(context.waker().clone());
                Poll::Pending
            })
        })
        .await
    }

    /// Runs `action` with the window size and the endpoint. Fails with `ConnectionReset` if the
    /// endpoint no longer exists.
    fn with_endpoint<T>(
        &self,
        action: impl FnOnce(usize, &mut Endpoint) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        self.world.with(|world| {
            let window = world.settings.window_bytes;
            match world.connections.endpoints.get_mut(&self.endpoint) {
                Some(endpoint) => action(window, endpoint),
                None => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            }
        })
    }
}

fn read_inbox(endpoint: &mut Endpoint, buffer: &mut ReadBuf<'_>) -> usize {
    let length = endpoint.inbox.len().min(buffer.remaining());
    let (front, back) = endpoint.inbox.as_slices();
    let of_front = front.len().min(length);
    buffer.put_slice(&front[..of_front]);
    buffer.put_slice(&back[..length - of_front]);
    endpoint.inbox.drain(..length);
    length
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let read = self.with_endpoint(|_, endpoint| {
            if let Some(failure) = endpoint.failure {
                return Poll::Ready(Err(failure.into()));
            }
            if !endpoint.inbox.is_empty() {
                return Poll::Ready(Ok(read_inbox(endpoint, buffer)));
            }
            if endpoint.end_received {
                return Poll::Ready(Ok(0));
            }
            endpoint.read_waker = Some(context.waker().clone());
            Poll::Pending
        });
        if let Poll::Ready(Ok(bytes @ 1..)) = read {
            let credit = |world: &mut World| world.credit_sender(self.endpoint, bytes);
            self.world.with(credit);
        }
        read.map_ok(|_bytes| ())
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let admitted = self.with_endpoint(|window, endpoint| {
            if let Some(failure) = endpoint.failure {
                return Poll::Ready(Err(failure.into()));
            }
            if endpoint.end_sent {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
            let room = window.saturating_sub(endpoint.outstanding);
            if room == 0 && !bytes.is_empty() {
                endpoint.write_waker = Some(context.waker().clone());
                return Poll::Pending;
            }
            let length = room.min(bytes.len());
            endpoint.outstanding += length;
            Poll::Ready(Ok(length))
        });
        if let Poll::Ready(Ok(length @ 1..)) = admitted {
            let payload = Payload::Data(bytes[..length].to_vec());
            let send = |world: &mut World| world.send_payload(self.endpoint, payload);
            self.world.with(send);
        }
        admitted
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let first = self.with_endpoint(|_, endpoint| {
            let first = !endpoint.end_sent && endpoint.failure.is_none();
            endpoint.end_sent = true;
            Poll::Ready(Ok(first))
        });
        if let Poll::Ready(Ok(true)) = first {
            let send = |world: &mut World| world.send_payload(self.endpoint, Payload::End);
            self.world.with(send);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        let close = |world: &mut World| world.close_endpoint(self.endpoint);
        self.world.with(close);
    }
}
