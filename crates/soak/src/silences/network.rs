//! A server's network whose connections can be silenced: nothing is read or sent for a while, and
//! nothing is lost.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use futures::future::BoxFuture;
use ponddrift_runtime::{BoxedDatagram, BoxedListener, BoxedStream, Listener, Network, Runtime};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Silences the connections of one server.
#[derive(Debug, Default)]
pub struct ConnectionSilencer {
    until: Mutex<Option<Instant>>,
}

impl ConnectionSilencer {
    /// Silences all connections, open and new ones, until this time.
    pub fn silence_until(&self, until: Instant) {
        *self.until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    /// The end of the silence; `None` if there is none.
    fn silent_until(&self) -> Option<Instant> {
        let until = *self.until.lock().unwrap_or_else(PoisonError::into_inner);
        until.filter(|until| *until > Instant::now())
    }

    /// A copy of `runtime` whose listeners accept connections that this silences.
    #[must_use]
    pub fn apply_to(self: &Arc<Self>, runtime: &Runtime) -> Runtime {
        let network = SilencedNetwork {
            inner: Arc::clone(&runtime.network),
            silencer: Arc::clone(self),
        };
        Runtime {
            network: Arc::new(network),
            ..runtime.clone()
        }
    }
}

struct SilencedNetwork {
    inner: Arc<dyn Network>,
    silencer: Arc<ConnectionSilencer>,
}

impl Network for SilencedNetwork {
    fn connect(&self, target: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        self.inner.connect(target)
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedListener>> {
        Box::pin(async move {
            let listener = SilencedListener {
                inner: self.inner.listen(address).await?,
                silencer: Arc::clone(&self.silencer),
            };
            Ok(Box::new(listener) as BoxedListener)
        })
    }

    fn bind_datagram(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedDatagram>> {
        self.inner.bind_datagram(address)
    }
}

struct SilencedListener {
    inner: BoxedListener,
    silencer: Arc<ConnectionSilencer>,
}

impl Listener for SilencedListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(BoxedStream, SocketAddr)>> {
        Box::pin(async move {
            let (stream, peer) = self.inner.accept().await?;
            let stream = SilencedStream {
                stream,
                reads: Gate::new(&self.silencer),
                writes: Gate::new(&self.silencer),
            };
            Ok((Box::new(stream) as BoxedStream, peer))
        })
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        self.inner.local_address()
    }
}

/// Holds back one direction of a connection during a silence.
struct Gate {
    silencer: Arc<ConnectionSilencer>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Gate {
    fn new(silencer: &Arc<ConnectionSilencer>) -> Self {
        Self {
            silencer: Arc::clone(silencer),
            timer: None,
        }
    }

    fn poll_open(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while let Some(until) = self.silencer.silent_until() {
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(sleep_until(until)));
            if timer.deadline() != until {
                timer.as_mut().reset(until);
            }
            ready!(timer.as_mut().poll(context));
        }
        self.timer = None;
        Poll::Ready(())
    }
}

struct SilencedStream {
    stream: BoxedStream,
    reads: Gate,
    writes: Gate,
}

impl AsyncRead for SilencedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.reads.poll_open(context));
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SilencedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.writes.poll_open(context));
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.writes.poll_open(context));
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
