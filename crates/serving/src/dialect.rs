//! The interface through which an adapter translates between the pipeline and the wire protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header, response};
use ponddrift_fleet::announcements::Announcement;
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::profiles::LoadAnnouncement;
use ponddrift_fleet::prompt::Prompt;
use ponddrift_fleet::rate_limits::AnnouncedRate;
use ponddrift_fleet::tenants::Credential;
use ponddrift_http::body::{self, Body};

/// What the pipeline needs from the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// ID of the request. Each attempt of a caller has its own.
    pub id: Option<Arc<str>>,
    /// How long the caller waits for the answer.
    pub time_limit: Option<Duration>,
    /// The prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// ID of the last event that the caller has; the stream continues after it.
    pub resume_after: Option<u64>,
    /// ID of the request that brought the first event of the stream that this one takes up.
    pub resumes: Option<Arc<str>>,
    /// Credential of the caller.
    pub credential: Credential,
}

/// What a send to a back end carries in addition to the caller's own headers.
#[derive(Debug)]
pub struct SendMetadata<'a> {
    /// Instance ID of the back end that must answer.
    pub back_end: &'a str,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Name of the request's tenant, if it has one.
    pub tenant: Option<&'a str>,
    /// Rank at the back end; 0 is the most urgent.
    pub priority: u8,
    /// What the back end is asked to do.
    pub step: SendStep<'a>,
    /// ID of the last event that the caller has; the stream continues after it.
    pub resume_after: Option<u64>,
    /// An engine that holds the shared prefix of the prompt, which is fetched from there.
    pub fetch_from: Option<SocketAddr>,
}

/// What a back end is asked to do with a request.
#[derive(Debug, Clone, Copy)]
pub enum SendStep<'a> {
    /// Answer it.
    Serve,
    /// Only prefill its prompt.
    Prefill,
    /// Answer it with the KV cache that another engine holds.
    Decode {
        /// Address of the engine that holds the KV cache.
        source: SocketAddr,
        /// Handle of the KV cache at that engine.
        handle: &'a str,
    },
}

/// What the pipeline needs from the head of an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerMetadata {
    /// Whether the answer is for the request that was sent.
    pub matches_request: bool,
    /// Whether the answer carries the signature of a back end that ran the request.
    pub is_signed: bool,
    /// Whether the back end states that it did not run the request.
    pub was_not_run: bool,
}

/// Answer of a prefill engine.
#[derive(Debug, Clone)]
pub struct PrefillResult {
    /// Handle of the KV cache.
    pub handle: String,
}

/// A call to a back end without a request body.
#[derive(Debug, Clone)]
pub struct BodylessCall {
    /// HTTP method.
    pub method: Method,
    /// Request path.
    pub path: String,
}

impl BodylessCall {
    /// Builds the request to the back end at `address`; `None` if the path is not valid.
    #[must_use]
    pub fn request(self, address: SocketAddr) -> Option<Request<Body>> {
        Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, address.to_string())
            .body(body::empty())
            .ok()
    }
}

/// State that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Stage of the engine.
    pub stage: Option<Stage>,
    /// Whether the engine is carrying out an order.
    pub is_changing: bool,
    /// Number of orders that the engine has accepted.
    pub sequence: u64,
}

/// A prompt part that an engine has cached or evicted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// ID of the prompt part.
    pub part: String,
    /// Tokens of the part in the cache; 0 after an eviction.
    pub tokens: u32,
}

/// An order to an engine to change its stage.
#[derive(Debug, Clone, Copy)]
pub struct OrderParameters<'a> {
    /// Instance ID of the engine that must accept the order.
    pub back_end: &'a str,
    /// Stage that the engine changes to.
    pub stage: Stage,
    /// ID of the leader that sends the order.
    pub holder: &'a str,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number of orders that the engine has accepted so far. The engine rejects the order if the
    /// numbers differ.
    pub expected_sequence: u64,
}

/// A call with a request body.
#[derive(Debug, Clone)]
pub struct BodyCall {
    /// HTTP method.
    pub method: Method,
    /// Request path.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// The wire protocol of callers and back ends.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Removes headers that are not forwarded: the caller's credential and headers that only this
    /// system may set.
    fn strip_reserved(&self, headers: &mut HeaderMap);
    /// Writes the headers of one send.
    fn write_send(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);
    /// Reads the head of a back end's answer to request `id`.
    fn read_answer(&self, head: &response::Parts, id: &str) -> AnswerMetadata;
    /// Reads the availability that a back end announces in an answer.
    fn read_announcement(&self, status: StatusCode, headers: &HeaderMap) -> Announcement;
    /// Reads the rate limit that a back end announces in an answer: requests a second from all
    /// daemons together.
    fn read_rate(&self, headers: &HeaderMap) -> AnnouncedRate;
    /// Reads the present load that a back end reports in an answer.
    fn read_load(&self, headers: &HeaderMap) -> LoadAnnouncement;
    /// Reads the body of a prefill engine's answer; `None` if it is malformed or its handle cannot be
    /// sent to another engine.
    fn read_prefill(&self, body: &[u8]) -> Option<PrefillResult>;
    /// The call that releases a KV cache handle.
    fn release_handle(&self, handle: &str) -> BodylessCall;
    /// The call that queries an engine's recent cache insertions and evictions.
    fn cache_events(&self) -> BodylessCall;
    /// Reads the answer to the cache query, oldest event first.
    fn read_cache_events(&self, body: &[u8]) -> Option<Vec<CacheEvent>>;
    /// The call that queries an engine's state.
    fn report(&self) -> BodylessCall;
    /// Reads the answer to the state query.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// The call that sends an order to an engine.
    fn order(&self, parameters: &OrderParameters<'_>) -> BodyCall;
    /// Instance ID in the answer to a health check.
    fn health_identity<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;
    /// Marks an answer of this daemon itself with the ID of the request that it answers.
    fn mark_own_answer(&self, headers: &mut HeaderMap, id: &str);
}
