//! HTTP/1.1 and HTTP/2 server with graceful shutdown.

mod answer_body;
mod connection;
mod open_connections;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use ponddrift_runtime::{BoxedListener, BoxedStream, HyperExecutor, Runtime, Spawner};
use rustix::io::Errno;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::memory::MemoryBudget;
use connection::{ConnectionState, LingerLimits, ServerStream};
use open_connections::{Connections, OpenConnection};

pub use connection::{HeldByRequest, RequestGuard};

/// Pause after a failed `accept`, which avoids a busy loop when file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which connections are checked against their time limits.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// When the process has no descriptor left, one of so many open connections is closed.
const DESCRIPTOR_RELIEF_DIVISOR: usize = 16;

/// Limits of each HTTP/2 connection: they bound what its peer can make the server hold.
const HTTP2_STREAMS: u32 = 100;
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 << 10;
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 256 << 10;
const HTTP2_SEND_BUFFER_BYTES: usize = 64 << 10;

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the caller disconnects.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Whether a new connection is served; otherwise it is closed unread. `lag` is how long the
    /// server's task waited for its turn after the connection was accepted.
    fn admits_connection(&self, _lag: Duration) -> bool {
        true
    }

    /// Time limits of connections. Asked repeatedly, because they may change.
    fn connection_timeouts(&self) -> ConnectionTimeouts {
        ConnectionTimeouts::default()
    }

    /// The server closed a connection without an answer, or without a request on it.
    fn connection_closed(&self, _reason: CloseReason) {}
}

/// Time limits of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Maximum time in which a request head arrives, from its first byte.
    pub head: Duration,
    /// Maximum time for which a connection is idle.
    pub idle: Duration,
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(10),
            idle: Duration::from_secs(120),
        }
    }
}

/// Why a server closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// It was idle for too long.
    IdleTimeout,
    /// A request head did not arrive in time.
    HeadTimeout,
    /// There were too many connections; it was idle for longest, or its head took longest.
    TooManyConnections,
    /// The process had no descriptor left for another one; chosen in the same way.
    NoDescriptors,
    /// Its memory was needed by others that go on.
    MemoryNeeded,
}

impl CloseReason {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::IdleTimeout => "idle_timeout",
            Self::HeadTimeout => "head_timeout",
            Self::TooManyConnections => "too_many_connections",
            Self::NoDescriptors => "no_descriptors",
            Self::MemoryNeeded => "memory_needed",
        }
    }
}

impl<F> Handler for F
where
    F: Fn(Request<Incoming>, SocketAddr) -> BoxFuture<'static, Response<Body>>
        + Send
        + Sync
        + 'static,
{
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        self(request, peer)
    }
}

/// Limits of a [`Server`].
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Time limit for receiving the request headers.
    pub header_time_limit: Duration,
    /// Maximum size of the request headers in bytes.
    pub header_size_limit: usize,
    /// Maximum time for which a stopping server still accepts requests on open connections while it
    /// asks callers to close them. Ends early when no connection is open.
    pub shutdown_grace: Duration,
    /// Maximum time for which a closing connection waits for its peer to close, if the peer has read
    /// its answers as they were written.
    pub linger: Duration,
    /// The same for a peer that reads slowly, so that a part of its answer may still be on the way.
    pub slow_reader_linger: Duration,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Account of the memory of heads that are being read.
    pub memory: Option<MemoryBudget>,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            header_time_limit: Duration::from_secs(10),
            header_size_limit: 64 * 1024,
            shutdown_grace: Duration::from_secs(5),
            linger: Duration::from_millis(500),
            slow_reader_linger: Duration::from_secs(30),
            connections: usize::MAX,
            memory: None,
        }
    }
}

/// A running server.
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    stopped: CancellationToken,
    connections: Arc<Connections>,
    spawner: Arc<dyn Spawner>,
}

impl Server {
    /// Binds `address` and serves requests until [`Self::stop`] is called.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        runtime: &Runtime,
        address: SocketAddr,
        settings: ServerSettings,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = runtime.network.listen(address).await?;
        let server = Self {
            address: listener.local_address()?,
            stop: CancellationToken::new(),
            stopped: CancellationToken::new(),
            connections: Arc::default(),
            spawner: Arc::clone(&runtime.spawner),
        };
        let accept_loop = AcceptLoop {
            runtime: runtime.clone(),
            settings,
            handler,
            stop: server.stop.clone(),
            connections: Arc::clone(&server.connections),
        };
        runtime.spawner.spawn(Box::pin(AcceptLoop::enforce_timeouts(
            Arc::clone(&accept_loop.connections),
            Arc::clone(&accept_loop.handler),
            server.stopped.clone(),
        )));
        let stopped = server.stopped.clone();
        runtime.spawner.spawn(Box::pin(async move {
            accept_loop.run(listener).await;
            stopped.cancel();
        }));
        Ok(server)
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all current connections, each after its request in progress. Does not wait for them,
    /// and keeps accepting new connections.
    pub fn close_connections(&self) {
        self.spawner
            .spawn(Box::pin(self.connections.close_current()));
    }

    /// Connections that are not closed, including those that are closing.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.count()
    }

    /// Stops accepting connections, and returns when all connections are closed, each after the last
    /// byte of its answers was written.
    ///
    /// For [`ServerSettings::shutdown_grace`] the server still accepts requests on open connections
    /// and answers them with `Connection: close`. Without this, a request in flight when its
    /// connection is closed would be lost, and its caller could not know whether it ran.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.stopped.cancelled().await;
    }
}

struct AcceptLoop {
    runtime: Runtime,
    settings: ServerSettings,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
    connections: Arc<Connections>,
}

impl AcceptLoop {
    async fn run(self, listener: BoxedListener) {
        self.accept(&listener).await;
        drop(listener);
        let grace = self.settings.shutdown_grace;
        if tokio::time::timeout(grace, self.connections.closed())
            .await
            .is_err()
        {
            self.connections.close_current().await;
            self.connections.closed().await;
        }
    }

    /// Accepts connections until stopped. Also accepts those already pending at that moment, whose
    /// requests may have been sent.
    async fn accept(&self, listener: &BoxedListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, peer)) => self.serve_if_admitted(stream, peer).await,
                Err(_stopping) if self.stop.is_cancelled() => return,
                Err(error) => {
                    let closed = self.free_descriptors(&error);
                    tracing::warn!(%error, closed, "accept_failed");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Closes unused connections if descriptors are exhausted. Returns how many.
    fn free_descriptors(&self, error: &io::Error) -> usize {
        let exhausted = [Errno::MFILE, Errno::NFILE].map(Errno::raw_os_error);
        let is_exhausted = error
            .raw_os_error()
            .is_some_and(|code| exhausted.contains(&code));
        if !is_exhausted {
            return 0;
        }
        let count = self.connections.count() / DESCRIPTOR_RELIEF_DIVISOR + 1;
        self.connections
            .close_unused(count, CloseReason::NoDescriptors)
    }

    async fn serve_if_admitted(&self, stream: BoxedStream, peer: SocketAddr) {
        let accepted_at = Instant::now();
        tokio::task::yield_now().await;
        if self.has_room() && self.handler.admits_connection(accepted_at.elapsed()) {
            self.serve(stream, peer);
        }
    }

    /// Whether another connection may be open. At the limit, one that is not used makes room.
    fn has_room(&self) -> bool {
        let reason = CloseReason::TooManyConnections;
        let has_room = self.connections.count() < self.settings.connections
            || self.connections.close_unused(1, reason) > 0;
        if !has_room {
            self.handler.connection_closed(reason);
        }
        has_room
    }

    /// Closes connections that have exceeded their time limits, until stopped.
    async fn enforce_timeouts(
        connections: Arc<Connections>,
        handler: Arc<dyn Handler>,
        stopped: CancellationToken,
    ) {
        loop {
            tokio::select! {
                biased;
                () = stopped.cancelled() => return,
                () = tokio::time::sleep(TIMEOUT_CHECK_INTERVAL) => {}
            }
            connections.close_expired(handler.connection_timeouts());
        }
    }

    fn serve(&self, stream: BoxedStream, peer: SocketAddr) {
        let handler = Arc::clone(&self.handler);
        let answering = Arc::clone(&handler);
        let stop = self.stop.clone();
        let state = ConnectionState::new();
        let open = self.connections.add(&state);
        let limits = LingerLimits {
            prompt_reader: self.settings.linger,
            slow_reader: self.settings.slow_reader_linger,
        };
        let memory = self.settings.memory.clone();
        let stream = ServerStream::new(stream, Arc::clone(&state), limits, memory);
        let requests = Arc::clone(&state);
        let service = service_fn(move |request: Request<Incoming>| {
            let begun = requests.begin_request();
            let version = request.version();
            let answer = answering.handle(request, peer);
            let stop = stop.clone();
            async move {
                let mut response = answer.await;
                if stop.is_cancelled() && version <= Version::HTTP_11 {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(begun.answered(response))
            }
        });
        let mut builder = Builder::new(HyperExecutor(Arc::clone(&self.runtime.spawner)));
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.settings.header_time_limit)
            .max_buf_size(self.settings.header_size_limit);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(HTTP2_STREAMS)
            .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES)
            .max_header_list_size(
                u32::try_from(self.settings.header_size_limit).unwrap_or(u32::MAX),
            );
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let watched = self.connections.watch(connection);
        self.runtime
            .spawner
            .spawn(Box::pin(drive(watched, state, open, handler, peer)));
    }
}

/// Drives a connection until it ends or has to close at once.
async fn drive<E: std::fmt::Display>(
    connection: impl Future<Output = Result<(), E>>,
    state: Arc<ConnectionState>,
    open: OpenConnection,
    handler: Arc<dyn Handler>,
    peer: SocketAddr,
) {
    tokio::select! {
        biased;
        ended = connection => {
            if let Err(error) = ended {
                tracing::debug!(%peer, %error, "connection_broke");
            }
        }
        () = state.must_close() => handler.connection_closed(open.close_reason()),
    }
}
