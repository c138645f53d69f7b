//! HTTP/1.1 and HTTP/2 server with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
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
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            header_time_limit: Duration::from_secs(10),
            header_size_limit: 64 * 1024,
            shutdown_grace: Duration::from_secs(5),
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
struct Connections(Mutex<GracefulShutdown>);

impl Connections {
    fn watch<C: GracefulConnection>(
        &self,
        connection: C,
    ) -> impl Future<Output = C::Output> + use<C> {
        self.lock().watch(connection)
    }

    fn count(&self) -> usize {
        self.lock().count()
    }

    /// Closes all current connections after their requests in progress, and waits until they are
    /// closed.
    fn close_open(&self) -> impl Future<Output = ()> + Send + 'static {
        let open = std::mem::take(&mut *self.lock());
        open.shutdown()
    }

    fn lock(&self) -> MutexGuard<'_, GracefulShutdown> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
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
        self.spawner.spawn(Box::pin(self.connections.close_open()));
    }

    /// Stops accepting connections, and returns when all requests in progress have ended.
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
        self.await_connections_closed().await;
        self.connections.close_open().await;
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

    /// Waits until all connections are closed, at most for [`ServerSettings::shutdown_grace`].
    async fn await_connections_closed(&self) {
        let end = Instant::now() + self.settings.shutdown_grace;
        while self.connections.count() > 0 && Instant::now() < end {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
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
        let service = service_fn(move |request: Request<Incoming>| {
            let version = request.version();
            let answer = handler.handle(request, peer);
            let stop = stop.clone();
            async move {
                let mut response = answer.await;
                if stop.is_cancelled() && version <= Version::HTTP_11 {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
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
        self.runtime.spawner.spawn(Box::pin(async move {
            if let Err(error) = watched.await {
                tracing::debug!(%peer, %error, "connection ended with an error");
            }
        }));
    }
}
