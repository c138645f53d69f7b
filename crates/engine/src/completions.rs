//! Client of an engine's completions API: opens, reads, resumes and cancels completions.

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

/// Maximum size of an error response's body that is read, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 16 * 1024;
/// Time limit for reading the body of an error response.
const ERROR_BODY_TIME_LIMIT: Duration = Duration::from_secs(1);
/// Maximum length of an error message that is kept, in characters.
const MAX_ERROR_TEXT_CHARS: usize = 400;

/// One server-sent event of a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event id; `None` when it is missing or not a number.
    pub id: Option<u64>,
    /// The event's data.
    pub data: String,
}

/// Stream of a completion's events. An error ends the stream.
pub type EventStream = BoxStream<'static, Result<StreamEvent, CallError>>;

/// Request metadata that is sent to the engine in headers.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Remaining time that the caller waits for the answer.
    pub deadline: Duration,
    /// Idempotency key, for requests that must run at most once.
    pub idempotency_key: Option<String>,
    /// W3C trace context to propagate.
    pub traceparent: Option<String>,
}

/// Client of the completions API of engines.
#[derive(Clone)]
pub struct CompletionsClient {
    client: Client,
}

impl CompletionsClient {
    /// Creates a client that sends its requests through `client`.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Sends a completion request; returns once the engine has accepted it.
    ///
    /// # Errors
    /// [`CallError`]; its `execution()` says whether the request may have run.
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

    /// Requests the rest of a stream that was interrupted after event `last_event_id`.
    ///
    /// # Errors
    /// [`CallError`]. See [`is_unknown_stream`] for a stream that the engine no longer keeps.
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

    /// Cancels a completion whose caller has disconnected.
    ///
    /// # Errors
    /// [`CallError`] when the engine does not confirm the cancellation.
    pub async fn cancel(&self, engine: SocketAddr, request_id: RequestId) -> Result<(), CallError> {
        let request = Request::delete(format!("http://{engine}{STREAMS_PATH}{request_id}"))
            .body(body::empty())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        ensure_success(self.client.send(request).await?)
            .await
            .map(drop)
    }
}

/// Parses the body of a streamed completion as server-sent events.
#[must_use]
pub fn events(response: Response<Incoming>) -> EventStream {
    let chunks = response
        .into_body()
        .into_data_stream()
        .map_err(|error| CallError::Broken(error.to_string()));
    chunks
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

/// Returns a response with a success status, and converts any other response into an error with its
/// text.
///
/// # Errors
/// [`CallError::Refused`] for every status that is not a success.
pub async fn ensure_success(response: Response<Incoming>) -> Result<Response<Incoming>, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let not_run = says_not_run(response.headers());
    let text = body::read_all(
        response.into_body(),
        MAX_ERROR_BODY_BYTES,
        ERROR_BODY_TIME_LIMIT,
    )
    .await
    .unwrap_or_else(|_unreadable| Bytes::new());
    Err(CallError::Refused {
        status,
        not_run,
        message: truncated_text(&text),
    })
}

fn truncated_text(text: &[u8]) -> String {
    String::from_utf8_lossy(text)
        .chars()
        .take(MAX_ERROR_TEXT_CHARS)
        .collect()
}

/// Whether an error says that the engine does not know the stream or no longer keeps it.
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
