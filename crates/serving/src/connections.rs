//! Connections to back ends: pooled, reused over calls, and never more than this daemon's share of what a
//! back end takes.

use std::collections::HashMap;
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

/// Time to open a connection: far beyond any round trip, far below any deadline.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time for a kept connection to end its last exchange.
const READY_LIMIT: Duration = Duration::from_millis(20);
/// An idle connection is not used for this long before its server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// How long an idle connection is used whose server does not tell how long it keeps it.
const IDLE_UNTOLD: Duration = Duration::from_millis(600);

/// Largest answer to a small call in bytes.
const LARGEST_CALL_ANSWER: usize = 4 << 20;

/// Why a request did not leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSent {
    /// No connection could be opened.
    Unreachable,
    /// All connections of this daemon's share are in use.
    Exhausted,
}

/// Which connection an exchange takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle one, if there is any.
    Idle,
    /// A new one: an answer was left out on one that had been idle.
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

/// A head with the body still to be read, and the connection it comes on.
pub struct Reply {
    /// The answer.
    pub response: Response<Incoming>,
    /// To be given back once the body has been read to its end.
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
    /// No connection yet.
    #[must_use]
    pub fn new(runtime: Runtime) -> Arc<Self> {
        Arc::new(Self {
            runtime,
            pools: Mutex::default(),
        })
    }

    /// Sends one message, which has leave to be sent, and waits for the answer's head. Dropping the future cancels the exchange and closes
    /// its connection.
    ///
    /// # Errors
    /// [`ExchangeError`], which tells whether the request may have arrived.
    pub async fn exchange(
        self: &Arc<Self>,
        _permit: SendPermit,
        address: SocketAddr,
        most: u32,
        reuse: Reuse,
        request: Request<Body>,
    ) -> Result<Reply, ExchangeError> {
        if reuse == Reuse::Never {
            self.discard_idle(address);
        }
        let mut request = request;
        loop {
            let reused = self.take_idle(address);
            let is_fresh = reused.is_none();
            let mut connection = match reused {
                Some(connection) => connection,
                None => self.open(address, most).await?,
            };
            let Some(sender) = connection.sender.as_mut() else {
                continue;
            };
            // A kept connection may still be ending its last exchange.
            let ready = tokio::time::timeout(READY_LIMIT, sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) && !is_fresh {
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
                    // Nothing of it was written: a kept connection had been closed meanwhile.
                    Some(unsent) if !is_fresh => request = unsent,
                    Some(_unsent) => {
                        return Err(ExchangeError::NotSent(NotSent::Unreachable));
                    }
                    None => return Err(ExchangeError::Broken(error.into_error())),
                },
            }
        }
    }

    /// Whether a machine says that nothing listens at `address`: its process has ended. A server whose connections merely
    /// broke still listens, and one that is out of reach says nothing.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connecting = self.runtime.network.connect(address);
        matches!(
            tokio::time::timeout(CONNECT_LIMIT, connecting).await,
            Ok(Err(_refused))
        )
    }

    /// One small exchange, with its whole answer; none without one in time.
    pub async fn call(
        self: &Arc<Self>,
        permit: SendPermit,
        address: SocketAddr,
        most: u32,
        request: Request<Body>,
        limit: Duration,
    ) -> Option<Response<Bytes>> {
        let exchange = async {
            let reply = self
                .exchange(permit, address, most, Reuse::Idle, request)
                .await
                .ok()?;
            let (head, incoming) = reply.response.into_parts();
            let bytes = body::read_all(incoming, LARGEST_CALL_ANSWER, limit)
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
        most: u32,
    ) -> Result<Connection, ExchangeError> {
        self.count_open(address, most)?;
        // Counted from here on, so that a failure or a drop gives the place back.
        let mut connection = Connection {
            sender: None,
            address,
            owner: Arc::clone(self),
        };
        let connecting = self.runtime.network.connect(address);
        let stream = match tokio::time::timeout(CONNECT_LIMIT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(ExchangeError::NotSent(NotSent::Unreachable)),
        };
        let handshake = http1::Builder::new()
            .handshake::<_, Body>(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(ExchangeError::Broken)?;
        self.runtime.spawner.spawn(Box::pin(async move {
            // Its end shows at the sender.
            drop(driver.await);
        }));
        connection.sender = Some(sender);
        Ok(connection)
    }

    fn count_open(&self, address: SocketAddr, most: u32) -> Result<(), ExchangeError> {
        let mut pools = self.lock();
        let pool = pools.entry(address).or_default();
        if pool.open >= most.max(1) {
            return Err(ExchangeError::NotSent(NotSent::Exhausted));
        }
        pool.open += 1;
        Ok(())
    }

    /// Closes idle connections that are past their time, and forgets back ends without any.
    pub fn close_idle(&self) {
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

    /// Closes the idle connections to a back end that left an answer out. Connections may have gone silent for good without
    /// a reset, all at once, while new ones work: each one tried would cost a request its time.
    pub fn discard_idle(&self, address: SocketAddr) {
        if let Some(pool) = self.lock().get_mut(&address) {
            let closed = u32::try_from(pool.idle.len()).unwrap_or(u32::MAX);
            pool.idle.clear();
            pool.open = pool.open.saturating_sub(closed);
        }
    }

    /// Connections that are open, idle ones among them.
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
    /// Gives the connection back for further use, as the answer's head allows. The answer's body must have been
    /// read to its end.
    pub fn return_to_pool(mut self, head: &HeaderMap) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let Some(life) = idle_life(head) else {
            self.sender = Some(sender);
            return;
        };
        let idle = Idle {
            sender,
            usable_until: now() + life,
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

/// How long a connection may rest; none if it is to be closed.
fn idle_life(head: &HeaderMap) -> Option<Duration> {
    let says_close = head
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if says_close {
        return None;
    }
    let told = head
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_seconds);
    match told {
        None => Some(IDLE_UNTOLD),
        Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_MARGIN),
    }
}

fn keep_alive_seconds(value: &str) -> Option<u64> {
    value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
}
