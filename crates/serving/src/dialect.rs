//! What an adapter translates between the pipeline and the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header, response};
use ponddrift_fleet::announcements::Announcement;
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::prompt::Prompt;
use ponddrift_fleet::rate_limits::AnnouncedRate;
use ponddrift_fleet::tenants::Credential;
use ponddrift_http::body::{self, Body};

/// What a caller's request head tells.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// Identity of the request; every try of a caller has its own.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub time_limit: Option<Duration>,
    /// The prompt, where there is one.
    pub prompt: Option<Prompt>,
    /// The stream goes on after this event.
    pub resume_after: Option<u64>,
    /// Who sends it.
    pub credential: Credential,
}

/// What one send to a back end says beside the caller's own headers.
#[derive(Debug)]
pub struct SendMetadata<'a> {
    /// The life that must answer.
    pub back_end: &'a str,
    /// How long the answer is of use.
    pub time_left: Duration,
    /// Name of the tenant whose request it is; none where it has none.
    pub tenant: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// What is to be done.
    pub step: SendStep<'a>,
    /// The stream goes on after this event.
    pub resume_after: Option<u64>,
    /// An engine that keeps the prompt's head, to be fetched from there.
    pub fetch_from: Option<SocketAddr>,
}

/// What a back end is asked to do with a request.
#[derive(Debug, Clone, Copy)]
pub enum SendStep<'a> {
    /// Answer it.
    Serve,
    /// Only read its prompt.
    Prefill,
    /// Answer it with the KV cache that another engine keeps.
    Continue {
        /// Engine that keeps it.
        source: SocketAddr,
        /// Its handle there.
        handle: &'a str,
    },
}

/// What an answer's head tells.
#[derive(Debug, Clone, Copy)]
pub struct AnswerMetadata {
    /// It answers the request that was sent.
    pub matches_request: bool,
    /// It bears the signature of a back end that ran the request.
    pub is_signed: bool,
    /// The back end says that it did not run the request.
    pub was_not_run: bool,
}

/// What a prefill engine answers.
#[derive(Debug, Clone)]
pub struct PrefillResult {
    /// Handle of the KV cache.
    pub handle: String,
}

/// A small call to a back end.
#[derive(Debug, Clone)]
pub struct BodylessCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
}

impl BodylessCall {
    /// The request to the back end at `address`; none if the path is none.
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

/// What an engine says of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: Option<Stage>,
    /// Whether an order is under way.
    pub is_changing: bool,
    /// Orders that it has taken.
    pub sequence: u64,
}

/// A part of a prompt that an engine took up or gave up, as it tells afterwards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Identity of the part.
    pub part: String,
    /// Tokens of it that are kept now; 0 where it gave way.
    pub tokens: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, Copy)]
pub struct OrderParameters<'a> {
    /// The life that must take it.
    pub back_end: &'a str,
    /// The stage that it is to have.
    pub stage: Stage,
    /// Who orders.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Orders that it has taken so far; with another count it does not take this one.
    pub expected_sequence: u64,
}

/// A call with a body.
#[derive(Debug, Clone)]
pub struct BodyCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The words of callers and back ends.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Removes what is not passed on: the caller's credential, and headers that only this system may set.
    fn strip_reserved(&self, headers: &mut HeaderMap);
    /// Writes the headers of one send.
    fn write_send(&self, headers: &mut HeaderMap, facts: &SendMetadata<'_>);
    /// Reads the head of a back end's answer to request `id`.
    fn read_answer(&self, head: &response::Parts, id: &str) -> AnswerMetadata;
    /// Reads what any answer of a back end says of the back end itself.
    fn read_announcement(&self, status: StatusCode, headers: &HeaderMap) -> Announcement;
    /// Reads how many requests a second a back end says in an answer that it takes from all daemons together.
    fn read_rate(&self, headers: &HeaderMap) -> AnnouncedRate;
    /// Reads the body of a prefill engine's answer.
    fn read_prefill(&self, body: &[u8]) -> Option<PrefillResult>;
    /// The call that frees a handle.
    fn release_handle(&self, handle: &str) -> BodylessCall;
    /// The call that asks an engine for what it lately took up and gave up.
    fn cache_events(&self) -> BodylessCall;
    /// Reads the answer to it, oldest first.
    fn read_cache_events(&self, body: &[u8]) -> Option<Vec<CacheEvent>>;
    /// The call that asks an engine for its state.
    fn report(&self) -> BodylessCall;
    /// Reads the answer to it.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
    /// The call that orders an engine.
    fn order(&self, facts: &OrderParameters<'_>) -> BodyCall;
    /// Identity that a health check's answer names.
    fn health_identity<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;
    /// Adds to an answer of our own whose request it answers.
    fn mark_own_answer(&self, headers: &mut HeaderMap, id: &str);
}
