//! Connection pools to back ends. Connections are reused, and their number never exceeds this
//! daemon's share of what a back end accepts.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ponddrift_http::body::{self, Body};
use ponddrift_runtime::Runtime;

use crate::pipeline::SendPermit;
use crate::time::now;

/// Time limit for opening a connection; well above any round trip and well below any deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a reused connection to finish its previous exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// An idle connection is no longer used this long before its server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// How long an idle connection is reused if the server does not announce its keep-alive timeout.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_millis(600);

/// Maximum bytes of the answer to a [`Connections::call`].
const MAX_CALL_ANSWER_BYTES: usize = 4 << 20;

/// Why a request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSent {
    /// No connection could be opened.
    Unreachable,
    /// All connections of this daemon's share are in use.
    Exhausted,
}

/// Whether an exchange may use an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Use an idle connection if there is one.
    Idle,
    /// Open a new connection, because an idle one may have died silently.
    Never,
}

/// How an exchange failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// The request certainly did not arrive.
    NotSent(NotSent),
    /// The connection broke; the request may have arrived.
    Broken(hyper::Error),
}

/// The head of an answer whose body has not been read yet, with its connection.
pub struct Reply {
    /// The answer.
    pub response: Response<Incoming>,
    /// Has to be returned to the pool after the body has been read completely.
    pub connection: Connection,
}

/// All connections of this daemon.
pub struct Connections {
    runtime: Runtime,
    pools: Mutex<HashMap<SocketAddr, Pool>>,
}

#[derive(Default)]
struct Pool {
    open: u32,
    idle: Vec<Idle>,
}

struct Idle {
    sender: SendRequest<Body>,
    usable_until: Instant,
}

/// A connection in use.
pub struct Connection {
    sender: Option<SendRequest<Body>>,
    address: SocketAddr,
    owner: Arc<Connections>,
}

impl Connections {
    /// Creates an empty set of connection pools.
    #[must_use]
    pub fn new(runtime: Runtime) -> Arc<Self> {
        Arc::new(Self {
            runtime,
            pools: Mutex::default(),
        })
    }

    /// Sends one message and waits for the head of the answer. Dropping the future cancels the
    /// exchange and closes its connection.
    ///
    /// # Errors
    /// [`ExchangeError`], which tells whether the request may have arrived.
    pub async fn exchange(
        self: &Arc<Self>,
        _permit: SendPermit,
        address: SocketAddr,
        max_connections: u32,
        reuse: ConnectionReuse,
        request: Request<Body>,
    ) -> Result<Reply, ExchangeError> {
        if reuse == ConnectionReuse::Never {
            self.discard_idle(address);
        }
        let mut request = request;
        loop {
            let reused = self.take_idle(address);
            let is_new = reused.is_none();
            let mut connection = match reused {
                Some(connection) => connection,
                None => self.open(address, max_connections).await?,
            };
            let Some(sender) = connection.sender.as_mut() else {
                continue;
            };
            // A reused connection may still be finishing its previous exchange.
            let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) && !is_new {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(Reply {
                        response,
                        connection,
                    });
                }
                Err(mut error) => match error.take_message() {
                    // Nothing was written, because the server had closed the reused connection. Try
                    // again.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_unsent) => {
                        return Err(ExchangeError::NotSent(NotSent::Unreachable));
                    }
                    None => return Err(ExchangeError::Broken(error.into_error())),
                },
            }
        }
    }

    /// Whether the host refuses connections to `address`, which shows that the process there has
    /// exited. A server whose connections merely broke still accepts new ones, and an unreachable
    /// one does not answer at all.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connecting = self.runtime.network.connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        // Other errors, such as no route or no free descriptor, show nothing about the process.
        let is_refusal = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
        matches!(connected, Ok(Err(error)) if is_refusal(&error))
    }

    /// Sends one request and reads the complete answer. Returns `None` if that fails or takes
    /// longer than `limit`.
    pub async fn call(
        self: &Arc<Self>,
        permit: SendPermit,
        address: SocketAddr,
        max_connections: u32,
        request: Request<Body>,
        limit: Duration,
    ) -> Option<Response<Bytes>> {
        let exchange = async {
            let reply = self
                .exchange(
                    permit,
                    address,
                    max_connections,
                    ConnectionReuse::Idle,
                    request,
                )
                .await
                .ok()?;
            let (head, incoming) = reply.response.into_parts();
            let bytes = body::read_all(incoming, MAX_CALL_ANSWER_BYTES, limit)
                .await
                .ok()?;
            reply.connection.return_to_pool(&head.headers);
            Some(Response::from_parts(head, bytes))
        };
        let answer = tokio::time::timeout(limit, exchange).await;
        if answer.is_err() {
            self.discard_idle(address);
        }
        answer.ok()?
    }

    fn take_idle(self: &Arc<Self>, address: SocketAddr) -> Option<Connection> {
        let now = now();
        let mut pools = self.lock();
        let pool = pools.get_mut(&address)?;
        while let Some(idle) = pool.idle.pop() {
            if idle.usable_until > now && !idle.sender.is_closed() {
                return Some(Connection {
                    sender: Some(idle.sender),
                    address,
                    owner: Arc::clone(self),
                });
            }
            pool.open -= 1;
        }
        None
    }

    async fn open(
        self: &Arc<Self>,
        address: SocketAddr,
        max_connections: u32,
    ) -> Result<Connection, ExchangeError> {
        self.reserve_connection(address, max_connections)?;
        // The connection already counts as open, so that an error or a drop frees its place.
        let mut connection = Connection {
            sender: None,
            address,
            owner: Arc::clone(self),
        };
        let connecting = self.runtime.network.connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(ExchangeError::NotSent(NotSent::Unreachable)),
        };
        let handshake = http1::Builder::new()
            .handshake::<_, Body>(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(ExchangeError::Broken)?;
        self.runtime.spawner.spawn(Box::pin(async move {
            // A connection error surfaces at the sender.
            drop(driver.await);
        }));
        connection.sender = Some(sender);
        Ok(connection)
    }

    fn reserve_connection(
        &self,
        address: SocketAddr,
        max_connections: u32,
    ) -> Result<(), ExchangeError> {
        let mut pools = self.lock();
        let pool = pools.entry(address).or_default();
        if pool.open >= max_connections.max(1) {
            return Err(ExchangeError::NotSent(NotSent::Exhausted));
        }
        pool.open += 1;
        Ok(())
    }

    /// Closes expired idle connections and removes pools without any open connection.
    pub fn close_expired_idle(&self) {
        let now = now();
        self.lock().retain(|_address, pool| {
            let before = pool.idle.len();
            pool.idle
                .retain(|idle| idle.usable_until > now && !idle.sender.is_closed());
            let closed = u32::try_from(before - pool.idle.len()).unwrap_or(u32::MAX);
            pool.open = pool.open.saturating_sub(closed);
            pool.open > 0
        });
    }

    /// Closes the idle connections to a back end that did not answer in time. All of them may have
    /// died at once without a reset while new connections work, and each one tried would cost a
    /// request its time.
    pub fn discard_idle(&self, address: SocketAddr) {
        if let Some(pool) = self.lock().get_mut(&address) {
            let closed = u32::try_from(pool.idle.len()).unwrap_or(u32::MAX);
            pool.idle.clear();
            pool.open = pool.open.saturating_sub(closed);
        }
    }

    /// Number of open connections, including idle ones.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.lock().values().map(|pool| pool.open).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Pool>> {
        self.pools
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Connection {
    /// Returns the connection to the pool if the headers of the answer allow reuse. The body of the
    /// answer must have been read completely.
    pub fn return_to_pool(mut self, head: &HeaderMap) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let Some(lifetime) = idle_lifetime(head) else {
            self.sender = Some(sender);
            return;
        };
        let idle = Idle {
            sender,
            usable_until: now() + lifetime,
        };
        let mut pools = self.owner.lock();
        let pool = pools.entry(self.address).or_default();
        pool.idle.push(idle);
        pool.open += 1; // the drop of `self` takes one away
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut pools = self.owner.lock();
        if let Some(pool) = pools.get_mut(&self.address) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// How long a connection may be idle before it is reused; `None` if it must be closed.
fn idle_lifetime(head: &HeaderMap) -> Option<Duration> {
    let close_requested = head
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if close_requested {
        return None;
    }
    let announced = head
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_seconds);
    match announced {
        None => Some(DEFAULT_IDLE_LIFETIME),
        Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_MARGIN),
    }
}

fn keep_alive_seconds(value: &str) -> Option<u64> {
    value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
}
