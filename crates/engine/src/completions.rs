//! Completions at an engine: opening, reading, resuming and cancelling them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::stream::BoxStream;
use futures::{StreamExt, TryStreamExt};
use http::{Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ponddrift_core::RequestId;
use ponddrift_http::{Client, body};

use crate::error::{CallError, says_not_run};
use crate::wire::completions::{CompletionRequest, STREAMS_PATH};
use crate::wire::headers;

/// Largest body of a refusal that is read, in bytes.
const REFUSAL_SIZE_LIMIT: usize = 16 * 1024;
/// Time to read the body of a refusal.
const REFUSAL_TIME_LIMIT: Duration = Duration::from_secs(1);
/// Longest part of a refusal's text that is kept, in characters.
const REFUSAL_TEXT_LIMIT: usize = 400;

/// One server-sent event of a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number; `None` when the engine sent none, or something else than a number.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
}

/// Events of a completion as they come. An error ends the stream.
pub type EventStream = BoxStream<'static, Result<StreamEvent, CallError>>;

/// What identifies a call at the engine.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// The caller's request.
    pub request_id: RequestId,
    /// Milliseconds the caller still waits.
    pub deadline: Duration,
    /// Key of a request that runs at most once.
    pub idempotency_key: Option<String>,
    /// W3C trace context to pass on.
    pub traceparent: Option<String>,
}

/// Client of the completions API.
#[derive(Clone)]
pub struct CompletionsClient {
    client: Client,
}

impl CompletionsClient {
    /// A client that sends through `client`.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Sends a completion request; returns once the engine has accepted it.
    ///
    /// # Errors
    /// [`CallError`]; its `execution()` says what is known.
    pub async fn open(
        &self,
        engine: SocketAddr,
        path: &str,
        completion: &CompletionRequest,
        context: &CallContext,
    ) -> Result<Response<Incoming>, CallError> {
        let bytes = serde_json::to_vec(completion)
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let mut request = Request::post(format!("http://{engine}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(headers::REQUEST_ID, context.request_id.to_string())
            .header(
                headers::DEADLINE_MS,
                context.deadline.as_millis().to_string(),
            );
        if let Some(key) = &context.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        if let Some(traceparent) = &context.traceparent {
            request = request.header("traceparent", traceparent);
        }
        let request = request
            .body(body::full(bytes))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        ensure_success(self.client.send(request).await?).await
    }

    /// Asks for the rest of a stream that was cut after event `last_event_id`.
    ///
    /// # Errors
    /// [`CallError`], among others when the engine no longer keeps the stream.
    pub async fn resume(
        &self,
        engine: SocketAddr,
        request_id: RequestId,
        last_event_id: u64,
    ) -> Result<Response<Incoming>, CallError> {
        let request = Request::get(format!("http://{engine}{STREAMS_PATH}{request_id}"))
            .header(headers::REQUEST_ID, request_id.to_string())
            .header(headers::LAST_EVENT_ID, last_event_id.to_string())
            .body(body::empty())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        ensure_success(self.client.send(request).await?).await
    }

    /// Cancels a completion whose caller has gone.
    ///
    /// # Errors
    /// [`CallError`] when the engine did not confirm it.
    pub async fn cancel(&self, engine: SocketAddr, request_id: RequestId) -> Result<(), CallError> {
        let request = Request::delete(format!("http://{engine}{STREAMS_PATH}{request_id}"))
            .body(body::empty())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        ensure_success(self.client.send(request).await?)
            .await
            .map(drop)
    }
}

/// Splits the body of a streamed completion into events.
#[must_use]
pub fn events(response: Response<Incoming>) -> EventStream {
    let pieces = response
        .into_body()
        .into_data_stream()
        .map_err(|error| CallError::Broken(error.to_string()));
    pieces
        .eventsource()
        .map(|event| match event {
            Ok(event) => Ok(StreamEvent {
                id: event.id.parse().ok(),
                data: event.data,
            }),
            Err(error) => Err(CallError::Broken(error.to_string())),
        })
        .boxed()
}

/// Passes an accepted answer on, and turns a refusal into an error with its text.
///
/// # Errors
/// [`CallError::Refused`].
pub async fn ensure_success(response: Response<Incoming>) -> Result<Response<Incoming>, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let not_run = says_not_run(response.headers());
    let text = body::read_all(response.into_body(), REFUSAL_SIZE_LIMIT, REFUSAL_TIME_LIMIT)
        .await
        .unwrap_or_else(|_unreadable| Bytes::new());
    Err(CallError::Refused {
        status,
        not_run,
        message: shortened(&text),
    })
}

fn shortened(text: &[u8]) -> String {
    String::from_utf8_lossy(text)
        .chars()
        .take(REFUSAL_TEXT_LIMIT)
        .collect()
}

/// Whether an error says that the engine does not know the stream (any more).
#[must_use]
pub fn is_unknown_stream(error: &CallError) -> bool {
    matches!(
        error,
        CallError::Refused {
            status: StatusCode::NOT_FOUND | StatusCode::GONE,
            ..
        }
    )
}
