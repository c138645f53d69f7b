//! HTTP client with a connection pool, over the runtime's network.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::rt::{Sleep, Timer};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::{TokioIo, TokioTimer};
use ponddrift_runtime::{BoxedStream, HyperExecutor, Network, Runtime};

use crate::body::Body;

/// Settings of a [`Client`].
#[derive(Debug, Clone, Copy)]
pub struct ClientSettings {
    /// Time limit for opening a connection.
    pub connect_time_limit: Duration,
    /// Maximum number of idle connections kept for each target.
    pub idle_connections: usize,
    /// Time that an idle connection is kept. Must be shorter than the servers' idle timeout (often
    /// 5 s): a request sent while the server closes the connection is lost, and it is unknown
    /// whether it ran.
    pub idle_time_limit: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_time_limit: Duration::from_secs(1),
            idle_connections: 64,
            idle_time_limit: Duration::from_secs(4),
        }
    }
}

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection could be opened, so the request was not sent.
    #[error("no connection to {target}: {source}; check that the process runs and is reachable")]
    NotSent {
        /// Authority (host and port) of the target.
        target: String,
        /// The underlying error.
        source: legacy::Error,
    },
    /// The connection failed after the request may have been sent.
    #[error("the connection to {target} broke before the answer came: {source}")]
    Broken {
        /// Authority (host and port) of the target.
        target: String,
        /// The underlying error.
        source: legacy::Error,
    },
}

impl ClientError {
    /// Whether it is certain that the request was not sent.
    #[must_use]
    pub fn was_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// Timer for the connection pool whose sleeps never elapse, so that the pool evicts expired idle
/// connections only on checkout.
///
/// The pool's periodic eviction iterates over a hash map in random order, which would make
/// simulations with the same seed differ.
#[derive(Clone)]
struct CheckoutTimer(TokioTimer);

impl Timer for CheckoutTimer {
    fn sleep(&self, _duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(NeverElapsed)
    }

    fn sleep_until(&self, _deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(NeverElapsed)
    }

    fn now(&self) -> Instant {
        self.0.now()
    }
}

struct NeverElapsed;

impl Future for NeverElapsed {
    type Output = ();

    fn poll(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }
}

impl Sleep for NeverElapsed {}

/// HTTP client. Clones share the connection pool.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<Connector, Body>,
}

impl Client {
    /// Creates a client that connects through the runtime's network.
    #[must_use]
    pub fn new(runtime: &Runtime, settings: ClientSettings) -> Self {
        let connector = Connector {
            network: Arc::clone(&runtime.network),
            time_limit: settings.connect_time_limit,
        };
        let inner = legacy::Client::builder(HyperExecutor(Arc::clone(&runtime.spawner)))
            .timer(TokioTimer::new())
            .pool_timer(CheckoutTimer(TokioTimer::new()))
            .pool_max_idle_per_host(settings.idle_connections)
            .pool_idle_timeout(settings.idle_time_limit)
            // Safe for all requests: hyper retries only if no byte of the request was written.
            .retry_canceled_requests(true)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    /// [`ClientError`], which distinguishes requests that were certainly not sent.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>, ClientError> {
        let target = request
            .uri()
            .authority()
            .map_or_else(String::new, ToString::to_string);
        match self.inner.request(request).await {
            Ok(response) => Ok(response),
            Err(source) if source.is_connect() => Err(ClientError::NotSent { target, source }),
            Err(source) => Err(ClientError::Broken { target, source }),
        }
    }
}

#[derive(Clone)]
struct Connector {
    network: Arc<dyn Network>,
    time_limit: Duration,
}

impl tower_service::Service<Uri> for Connector {
    type Response = PooledStream;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<PooledStream>> + Send>>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move { connector.connect(&uri).await })
    }
}

impl Connector {
    async fn connect(&self, uri: &Uri) -> io::Result<PooledStream> {
        let authority = uri.authority().ok_or_else(|| invalid_target(uri))?;
        let target: SocketAddr = authority
            .as_str()
            .parse()
            .map_err(|_not_numeric| invalid_target(uri))?;
        let stream = tokio::time::timeout(self.time_limit, self.network.connect(target))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(PooledStream(TokioIo::new(stream)))
    }
}

fn invalid_target(uri: &Uri) -> io::Error {
    let message = format!("{uri} is not a URI with a numeric IP address and a port");
    io::Error::new(io::ErrorKind::InvalidInput, message)
}

/// A connection in the pool.
pub struct PooledStream(TokioIo<BoxedStream>);

impl Connection for PooledStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl hyper::rt::Read for PooledStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for PooledStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
