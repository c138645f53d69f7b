//! Server for HTTP/1.1 and HTTP/2 that stops gracefully.

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

/// Pause after a failed `accept`, so that a lack of file descriptors does not spin.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time between two looks at whether callers have closed their connections to a stopping server.
const CLOSE_LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when the caller goes away.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;
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

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerSettings {
    /// Time a caller has to send its request's head.
    pub header_time_limit: Duration,
    /// Longest request head in bytes.
    pub header_size_limit: usize,
    /// Most time in which a stopping server still takes requests and tells callers to close their
    /// connections; it ends when none is open.
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

/// Open connections, told to close together.
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

    /// Tells all that are open now to close after their request in progress, and waits until they have.
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
    /// Binds `address` and serves until stopped.
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

    /// The address that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection that is open now, after its request in progress if it has one. New connections are
    /// still taken: their callers come when others have gone away.
    pub fn close_connections(&self) {
        self.spawner.spawn(Box::pin(self.connections.close_open()));
    }

    /// Takes no new connection, lets every request in progress end, and returns when all have. For
    /// [`ServerSettings::shutdown_grace`] requests are still taken on open connections, each answered with `Connection: close`: a request that is on its way on an
    /// open connection when that is closed is lost to its caller, who cannot know whether it ran.
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
        self.give_notice().await;
        self.connections.close_open().await;
    }

    /// Accepts until stopped, and then whatever waits already: it may have sent its request.
    async fn accept(&self, listener: &BoxedListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, peer)) => self.serve(stream, peer),
                Err(_stopping) if self.stop.is_cancelled() => return,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns when callers have had time to close their connections.
    async fn give_notice(&self) {
        let end = Instant::now() + self.settings.shutdown_grace;
        while self.connections.count() > 0 && Instant::now() < end {
            tokio::time::sleep(CLOSE_LOOK_INTERVAL).await;
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
