//! Connection pools to back ends. Connections are reused, and their number never exceeds this
//! daemon's share of what a back end accepts.

mod answer_check;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ponddrift_fleet::paths::ConnectFailure;
use ponddrift_fleet::placement::IdleConnections;
use ponddrift_http::body::{self, Body, ReadError, WhenFull};
use ponddrift_http::memory::MemoryBudget;
use ponddrift_runtime::Runtime;
use tokio::sync::Notify;

use crate::back_end_paths::{BackEndPaths, CONNECT_TIMEOUT, OpenedStream, Unreachable, connect};
use crate::back_end_stream::{AnswerHead, BackEndStream, lacks_memory};
use crate::metrics::Metrics;
use crate::pipeline::SendPermit;
use crate::time::now;
pub use answer_check::InvalidAnswer;
use answer_check::check_head;

/// Time limit for a reused connection to finish its previous exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// An idle connection is no longer used this long before its server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// How long an idle connection is reused if the server does not announce its keep-alive timeout.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_millis(600);

/// Longest time for which an idle connection is reused, whatever the server announces.
const MAX_IDLE_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum bytes of the answer to a [`Connections::call`].
const MAX_CALL_ANSWER_BYTES: usize = 4 << 20;
/// Maximum size of the head of an answer, and of what is buffered of its body.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of informational answers (1xx) to one request.
const MAX_INFORMATIONAL_ANSWERS: u32 = 256;
/// Weight of the newest connection in the average time to open one.
const NEWEST_OPENING_WEIGHT: f64 = 0.05;
const MS_PER_S: f64 = 1_000.0;
/// Ended connections of one back end whose reasons are kept for the metric of new connections.
const MAX_REMEMBERED_ENDS: usize = 16;
/// Pools without connections are removed after this time, when their back ends are gone or hardly
/// used.
const UNUSED_POOL_TTL: Duration = Duration::from_secs(30);

/// Why a request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSent {
    /// No connection could be opened.
    Unreachable(Unreachable),
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

/// Which way an exchange went, for those who wait for its answer.
#[derive(Debug, Default)]
pub struct ExchangeRoute {
    is_direct: AtomicBool,
    is_connected: AtomicBool,
}

impl ExchangeRoute {
    /// Whether the request was sent over a direct connection, not through a peer.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        self.is_direct.load(Ordering::Relaxed)
    }

    fn set(&self, connection: &Connection) {
        let is_direct = connection.relay.is_none();
        self.is_direct.store(is_direct, Ordering::Relaxed);
        self.is_connected.store(true, Ordering::Relaxed);
    }

    /// Whether there is a connection, so that the request may have been sent.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected.load(Ordering::Relaxed)
    }
}

/// How an exchange failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// The request certainly did not arrive.
    NotSent(NotSent),
    /// The connection broke; the request may have arrived.
    Broken(hyper::Error),
    /// The back end sent more than [`MAX_INFORMATIONAL_ANSWERS`] informational answers and no other.
    InformationalOnly,
    /// What the back end sent is not a valid answer to the request.
    Invalid(InvalidAnswer),
}

/// Why a call got no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The connection was refused.
    Refused,
    /// No connection could be opened, or nothing came back in time.
    NoAnswer,
    /// The connection broke.
    Broken,
    /// There is no memory here for the answer, which says nothing about the back end.
    NoMemory,
}

impl CallError {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NoAnswer => "no_answer",
            Self::Broken => "broken",
            Self::NoMemory => "no_memory_for_answer",
        }
    }
}

impl From<ExchangeError> for CallError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent(NotSent::Unreachable(unreachable)) => {
                match unreachable.failure {
                    ConnectFailure::Refused => Self::Refused,
                    ConnectFailure::NoAnswer => Self::NoAnswer,
                }
            }
            ExchangeError::Broken(error) if lacks_memory(&error) => Self::NoMemory,
            ExchangeError::NotSent(NotSent::Exhausted)
            | ExchangeError::Broken(_)
            | ExchangeError::InformationalOnly
            | ExchangeError::Invalid(_) => Self::Broken,
        }
    }
}

/// Counts the informational answers to one request, which the HTTP library skips.
struct InformationalAnswers(Arc<InformationalCount>);

#[derive(Default)]
struct InformationalCount {
    received: AtomicU32,
    exceeded: Notify,
}

impl InformationalAnswers {
    fn count(request: &mut Request<Body>) -> Self {
        let counted = Arc::<InformationalCount>::default();
        let counter = Arc::clone(&counted);
        hyper::ext::on_informational(request, move |_answer| {
            if counter.received.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL_ANSWERS {
                counter.exceeded.notify_one();
            }
        });
        Self(counted)
    }

    /// Completes when there are too many.
    async fn exceeded(&self) {
        self.0.exceeded.notified().await;
    }
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
    /// Opens connections through peers where needed; without it all are direct.
    paths: Option<Arc<BackEndPaths>>,
    /// Where new connections are counted.
    metrics: Option<Arc<Metrics>>,
    /// Account of the memory that answers take; without it they are not charged.
    memory: Option<MemoryBudget>,
    pools: Mutex<HashMap<SocketAddr, Pool>>,
    /// Average time to open a connection, in milliseconds; `None` before the first one.
    opening_ms: Mutex<Option<f64>>,
}

#[derive(Default)]
struct Pool {
    open: u32,
    idle: Vec<Idle>,
    /// Why earlier connections ended, oldest first, as far as no new one has replaced them.
    ended: VecDeque<ConnectionEnd>,
    /// Since when the pool has been seen without any connection.
    unused_since: Option<Instant>,
}

impl Pool {
    fn record_end(&mut self, end: ConnectionEnd) {
        self.open = self.open.saturating_sub(1);
        if self.ended.len() == MAX_REMEMBERED_ENDS {
            self.ended.pop_front();
        }
        self.ended.push_back(end);
    }

    fn discard_idle_if(&mut self, is_discarded: impl Fn(&Idle) -> bool) {
        let (discarded, kept) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(is_discarded);
        self.idle = kept;
        let discarded: Vec<Idle> = discarded;
        for _idle in discarded {
            self.record_end(ConnectionEnd::Discarded);
        }
    }

    /// Why the pool needs a connection more than it has.
    fn opening_reason(&mut self) -> &'static str {
        match self.ended.pop_front() {
            Some(end) => end.as_str(),
            None if self.open > 0 => "others_in_use",
            None => "first",
        }
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// It was idle until shortly before the server would have closed it.
    Expired,
    /// The server closed it while it was idle.
    ClosedByServer,
    /// It was idle while the back end did not answer in time on another one.
    Discarded,
    /// The server asked to close it after an answer.
    CloseRequested,
    /// Its exchange failed, was cancelled or left a body unread.
    Interrupted,
}

impl ConnectionEnd {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::ClosedByServer => "closed_by_server",
            Self::Discarded => "discarded",
            Self::CloseRequested => "close_requested",
            Self::Interrupted => "interrupted",
        }
    }
}

struct Idle {
    sender: SendRequest<Body>,
    usable_until: Instant,
    /// The peer that relays the connection.
    relay: Option<SocketAddr>,
    head: Arc<AnswerHead>,
}

impl Idle {
    /// Why the connection can no longer be used; `None` if it can.
    fn end(&self, now: Instant) -> Option<ConnectionEnd> {
        if self.sender.is_closed() {
            return Some(ConnectionEnd::ClosedByServer);
        }
        (self.usable_until <= now).then_some(ConnectionEnd::Expired)
    }
}

/// A connection in use.
pub struct Connection {
    state: ConnectionState,
    address: SocketAddr,
    /// The peer that relays the connection.
    relay: Option<SocketAddr>,
    head: Arc<AnswerHead>,
    owner: Arc<Connections>,
}

enum ConnectionState {
    /// It is being opened, or its exchange has not ended.
    Opening,
    InUse(SendRequest<Body>),
    /// The server asked to close it.
    CloseRequested,
    /// The pool has it again.
    Returned,
}

impl Connections {
    /// Creates an empty set of connection pools.
    #[must_use]
    pub fn new(runtime: Runtime) -> Arc<Self> {
        Self::with(runtime, None, None, None)
    }

    /// Creates an empty set of connection pools whose new connections are counted by reason, and
    /// whose answers are charged to `memory`.
    #[must_use]
    pub fn to_back_ends(
        runtime: Runtime,
        metrics: Arc<Metrics>,
        memory: MemoryBudget,
    ) -> Arc<Self> {
        Self::with(runtime, Some(metrics), None, Some(memory))
    }

    /// Like [`Self::to_back_ends`]; connections go through a peer where this daemon's own path is
    /// cut.
    #[must_use]
    pub fn over_paths(
        runtime: Runtime,
        metrics: Arc<Metrics>,
        paths: Arc<BackEndPaths>,
        memory: MemoryBudget,
    ) -> Arc<Self> {
        Self::with(runtime, Some(metrics), Some(paths), Some(memory))
    }

    fn with(
        runtime: Runtime,
        metrics: Option<Arc<Metrics>>,
        paths: Option<Arc<BackEndPaths>>,
        memory: Option<MemoryBudget>,
    ) -> Arc<Self> {
        Arc::new(Self {
            runtime,
            paths,
            metrics,
            memory,
            pools: Mutex::default(),
            opening_ms: Mutex::default(),
        })
    }

    /// Sends one message and waits for the head of the answer. Dropping the future cancels the
    /// exchange and closes its connection. `route` is set before anything is sent.
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
        route: &ExchangeRoute,
    ) -> Result<Reply, ExchangeError> {
        if reuse == ConnectionReuse::Never {
            self.discard_idle(address);
        }
        let mut request = request;
        let informational = InformationalAnswers::count(&mut request);
        loop {
            let reused = self.take_idle(address);
            let is_new = reused.is_none();
            let mut connection = match reused {
                Some(connection) => connection,
                None => self.open(address, max_connections).await?,
            };
            route.set(&connection);
            let ConnectionState::InUse(sender) = &mut connection.state else {
                continue;
            };
            // A reused connection may still be finishing its previous exchange.
            let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) && !is_new {
                continue;
            }
            connection.head.begin();
            let sent = tokio::select! {
                biased;
                () = informational.exceeded() => return Err(ExchangeError::InformationalOnly),
                sent = sender.try_send_request(request) => sent,
            };
            match sent {
                Ok(response) => {
                    connection.head.end();
                    self.record_answer(&connection);
                    let (head, body) = response.into_parts();
                    check_head(&head).map_err(ExchangeError::Invalid)?;
                    return Ok(Reply {
                        response: Response::from_parts(head, body),
                        connection,
                    });
                }
                Err(mut error) => match error.take_message() {
                    // Nothing was written, because the server had closed the reused connection. Try
                    // again.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_unsent) => {
                        let closed = Unreachable {
                            failure: ConnectFailure::NoAnswer,
                            is_confirmed: false,
                        };
                        return Err(ExchangeError::NotSent(NotSent::Unreachable(closed)));
                    }
                    None => return Err(ExchangeError::Broken(error.into_error())),
                },
            }
        }
    }

    /// Sends one request and reads the complete answer.
    ///
    /// # Errors
    /// [`CallError`] if that fails or takes longer than `limit`.
    pub async fn call(
        self: &Arc<Self>,
        permit: SendPermit,
        address: SocketAddr,
        max_connections: u32,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let reply = self
                .exchange(
                    permit,
                    address,
                    max_connections,
                    ConnectionReuse::Idle,
                    request,
                    &ExchangeRoute::default(),
                )
                .await?;
            let (head, incoming) = reply.response.into_parts();
            let bytes = self.read_call_answer(incoming, limit).await;
            let bytes = bytes.map_err(|error| match error {
                ReadError::NoMemory(_) => CallError::NoMemory,
                _ => CallError::Broken,
            })?;
            reply.connection.return_to_pool(&head.headers);
            Ok(Response::from_parts(head, bytes))
        };
        let answer = tokio::time::timeout(limit, exchange).await;
        if answer.is_err() {
            self.discard_idle(address);
        }
        answer.unwrap_or(Err(CallError::NoAnswer))
    }

    async fn read_call_answer(
        &self,
        incoming: Incoming,
        limit: Duration,
    ) -> Result<Bytes, ReadError> {
        let Some(memory) = &self.memory else {
            return body::read_all(incoming, MAX_CALL_ANSWER_BYTES, limit).await;
        };
        body::read_reserved(
            incoming,
            MAX_CALL_ANSWER_BYTES,
            limit,
            &memory.reserve(),
            WhenFull::Fail,
        )
        .await
    }

    fn take_idle(self: &Arc<Self>, address: SocketAddr) -> Option<Connection> {
        let now = now();
        let mut pools = self.lock();
        let pool = pools.get_mut(&address)?;
        while let Some(idle) = pool.idle.pop() {
            match idle.end(now) {
                None => {
                    return Some(Connection {
                        state: ConnectionState::InUse(idle.sender),
                        address,
                        relay: idle.relay,
                        head: idle.head,
                        owner: Arc::clone(self),
                    });
                }
                Some(end) => pool.record_end(end),
            }
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
            state: ConnectionState::Opening,
            address,
            relay: None,
            head: AnswerHead::new(self.memory.clone()),
            owner: Arc::clone(self),
        };
        let started_at = now();
        let opened = self.connect(address).await;
        let opened = opened.map_err(|error| ExchangeError::NotSent(NotSent::Unreachable(error)))?;
        connection.relay = opened.relay;
        let stream = BackEndStream::new(opened.stream, &connection.head);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Body>(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(ExchangeError::Broken)?;
        self.record_opening(now().saturating_duration_since(started_at));
        self.runtime.spawner.spawn(Box::pin(async move {
            // A connection error surfaces at the sender.
            drop(driver.await);
        }));
        connection.state = ConnectionState::InUse(sender);
        Ok(connection)
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenedStream, Unreachable> {
        if let Some(paths) = &self.paths {
            return paths.connect(address).await;
        }
        match connect(&self.runtime, address, CONNECT_TIMEOUT).await {
            Ok(stream) => Ok(OpenedStream {
                stream,
                relay: None,
            }),
            Err(failure) => Err(Unreachable {
                failure,
                is_confirmed: false,
            }),
        }
    }

    /// Records that a back end answered on a direct connection.
    fn record_answer(&self, connection: &Connection) {
        if let Some(paths) = &self.paths
            && connection.relay.is_none()
        {
            paths.paths().record_contact(connection.address, now());
        }
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
        let reason = pool.opening_reason();
        pool.open += 1;
        drop(pools);
        if let Some(metrics) = &self.metrics {
            metrics.connection_opened(reason);
        }
        Ok(())
    }

    /// Closes expired idle connections and removes pools that have been without any for long.
    pub fn close_expired_idle(&self) {
        let now = now();
        self.lock().retain(|_address, pool| {
            for idle in std::mem::take(&mut pool.idle) {
                match idle.end(now) {
                    None => pool.idle.push(idle),
                    Some(end) => pool.record_end(end),
                }
            }
            if pool.open > 0 {
                pool.unused_since = None;
                return true;
            }
            let unused_since = *pool.unused_since.get_or_insert(now);
            now.saturating_duration_since(unused_since) < UNUSED_POOL_TTL
        });
    }

    /// Closes the idle connections to a back end that did not answer in time. All of them may have
    /// died at once without a reset while new connections work, and each one tried would cost a
    /// request its time.
    pub fn discard_idle(&self, address: SocketAddr) {
        self.discard_idle_if(address, |_idle| true);
    }

    /// Closes the direct idle connections to a back end whose path is cut in silence.
    pub(crate) fn discard_direct_idle(&self, address: SocketAddr) {
        self.discard_idle_if(address, |idle| idle.relay.is_none());
    }

    /// Closes the relayed idle connections to a back end that is reached directly again.
    pub(crate) fn discard_relayed_idle(&self, address: SocketAddr) {
        self.discard_idle_if(address, |idle| idle.relay.is_some());
    }

    /// Closes the idle connections that a peer relays, because it is stopping.
    pub(crate) fn discard_idle_through(&self, peer: SocketAddr) {
        for pool in self.lock().values_mut() {
            pool.discard_idle_if(|idle| idle.relay == Some(peer));
        }
    }

    fn discard_idle_if(&self, address: SocketAddr, is_discarded: impl Fn(&Idle) -> bool) {
        if let Some(pool) = self.lock().get_mut(&address) {
            pool.discard_idle_if(is_discarded);
        }
    }

    /// Addresses to which connections are open.
    pub(crate) fn connected_addresses(&self) -> Vec<SocketAddr> {
        let pools = self.lock();
        let open = pools.iter().filter(|(_address, pool)| pool.open > 0);
        let mut addresses: Vec<SocketAddr> = open.map(|(address, _pool)| *address).collect();
        drop(pools);
        addresses.sort_unstable();
        addresses
    }

    fn record_opening(&self, took: Duration) {
        let sample = took.as_secs_f64() * MS_PER_S;
        let mut opening_ms = lock(&self.opening_ms);
        let before = opening_ms.unwrap_or(sample);
        *opening_ms = Some(before + NEWEST_OPENING_WEIGHT * (sample - before));
    }

    /// Back ends with an idle connection, and the time that opening one takes.
    #[must_use]
    pub fn idle_connections(&self) -> IdleConnections {
        let now = now();
        let pools = self.lock();
        let with_idle = pools
            .iter()
            .filter(|(_address, pool)| pool.idle.iter().any(|idle| idle.end(now).is_none()));
        let addresses = with_idle.map(|(address, _pool)| *address).collect();
        drop(pools);
        IdleConnections {
            addresses: Some(addresses),
            opening_ms: *lock(&self.opening_ms),
        }
    }

    /// Number of open connections, including idle ones.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.lock().values().map(|pool| pool.open).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Pool>> {
        lock(&self.pools)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Connection {
    /// The route of the exchange on this connection.
    #[must_use]
    pub fn route(&self) -> ExchangeRoute {
        let route = ExchangeRoute::default();
        route.set(self);
        route
    }

    /// Address of the back end.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The peer that relays the connection; `None` if it is direct.
    #[must_use]
    pub const fn relay(&self) -> Option<SocketAddr> {
        self.relay
    }

    /// Returns the connection to the pool if the headers of the answer allow reuse. The body of the
    /// answer must have been read completely.
    pub fn return_to_pool(mut self, head: &HeaderMap) {
        let lifetime = idle_lifetime(head);
        let next = match lifetime {
            Some(_lifetime) => ConnectionState::Returned,
            None => ConnectionState::CloseRequested,
        };
        let ConnectionState::InUse(sender) = std::mem::replace(&mut self.state, next) else {
            return;
        };
        let Some(lifetime) = lifetime else {
            return;
        };
        let idle = Idle {
            sender,
            usable_until: now() + lifetime.min(MAX_IDLE_LIFETIME),
            relay: self.relay,
            head: Arc::clone(&self.head),
        };
        let mut pools = self.owner.lock();
        let pool = pools.entry(self.address).or_default();
        pool.idle.push(idle);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let end = match self.state {
            ConnectionState::Returned => return,
            ConnectionState::CloseRequested => ConnectionEnd::CloseRequested,
            ConnectionState::Opening | ConnectionState::InUse(_) => ConnectionEnd::Interrupted,
        };
        let mut pools = self.owner.lock();
        if let Some(pool) = pools.get_mut(&self.address) {
            pool.record_end(end);
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
