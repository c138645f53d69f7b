//! HTTP/1.1 and HTTP/2 server with graceful shutdown.

mod answer_body;
mod connection;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use ponddrift_runtime::{BoxedListener, BoxedStream, HyperExecutor, Runtime, Spawner};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use connection::{ConnectionState, LingerLimits, ServerStream};

pub use connection::{HeldByRequest, RequestGuard};

/// Pause after a failed `accept`, which avoids a busy loop when file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which a stopping server checks whether its connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
#[derive(Debug, Clone, Copy)]
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
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            header_time_limit: Duration::from_secs(10),
            header_size_limit: 64 * 1024,
            shutdown_grace: Duration::from_secs(5),
            linger: Duration::from_millis(500),
            slow_reader_linger: Duration::from_secs(30),
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

/// Open connections, which can be shut down together.
#[derive(Default)]
struct Connections {
    current: Mutex<GracefulShutdown>,
    /// All that are not closed, including those that are shutting down.
    open: Arc<AtomicUsize>,
}

impl Connections {
    fn watch<C: GracefulConnection>(
        &self,
        connection: C,
    ) -> impl Future<Output = C::Output> + use<C> {
        self.lock().watch(connection)
    }

    fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Closes all current connections after their requests in progress.
    fn close_current(&self) -> impl Future<Output = ()> + Send + 'static {
        let current = std::mem::take(&mut *self.lock());
        current.shutdown()
    }

    /// Waits until no connection is open.
    async fn closed(&self) {
        while self.open_count() > 0 {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, GracefulShutdown> {
        self.current
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Counts a connection until it is closed.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
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
        self.connections.open_count()
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
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn serve_if_admitted(&self, stream: BoxedStream, peer: SocketAddr) {
        let accepted_at = Instant::now();
        tokio::task::yield_now().await;
        if self.handler.admits_connection(accepted_at.elapsed()) {
            self.serve(stream, peer);
        }
    }

    fn serve(&self, stream: BoxedStream, peer: SocketAddr) {
        let handler = Arc::clone(&self.handler);
        let stop = self.stop.clone();
        let state = Arc::<ConnectionState>::default();
        let limits = LingerLimits {
            prompt_reader: self.settings.linger,
            slow_reader: self.settings.slow_reader_linger,
        };
        let stream = ServerStream::new(stream, Arc::clone(&state), limits);
        let service = service_fn(move |request: Request<Incoming>| {
            state.begin_request();
            let state = Arc::clone(&state);
            let version = request.version();
            let answer = handler.handle(request, peer);
            let stop = stop.clone();
            async move {
                let mut response = answer.await;
                if stop.is_cancelled() && version <= Version::HTTP_11 {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(state.guard_answer(response))
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
            .max_header_list_size(
                u32::try_from(self.settings.header_size_limit).unwrap_or(u32::MAX),
            );
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let watched = self.connections.watch(connection);
        let open = OpenConnection::new(&self.connections.open);
        self.runtime.spawner.spawn(Box::pin(async move {
            if let Err(error) = watched.await {
                tracing::debug!(%peer, %error, "connection ended with an error");
            }
            drop(open);
        }));
    }
}
