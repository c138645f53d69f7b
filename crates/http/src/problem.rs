//! Problem documents (RFC 9457), used for all error responses of ponddrift and the stand-ins.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use ponddrift_core::Execution;
use serde::{Deserialize, Serialize};

use crate::body::{Body, full};

/// Kind of a problem. The serialized name, status and title of each kind are stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The path does not exist.
    NotFound,
    /// The service does not exist in the configuration.
    UnknownService,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive within the time limit.
    BodyTooSlow,
    /// A limit of the tenant or service is reached.
    LimitReached,
    /// The system is overloaded and sheds load.
    Overloaded,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// No back end can currently accept the request.
    NoBackEnd,
    /// The back end failed to serve the request.
    BackEndFailed,
    /// The idempotency key is already claimed by a running or finished request.
    AlreadyClaimed,
    /// The service does not allow repetitions and requires an `Idempotency-Key` header.
    IdempotencyKeyMissing,
    /// The claim group has no majority, so the idempotency key cannot be claimed.
    ClaimUnavailable,
    /// A conditional change failed because the revision has changed.
    Conflict,
    /// A change or query was rejected.
    Refused,
    /// The daemon is shutting down or has not caught up yet.
    Unavailable,
    /// The platform's key-value service cannot be reached.
    StoreUnavailable,
}

impl ProblemKind {
    /// HTTP status of responses of this kind.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::IdempotencyKeyMissing => StatusCode::BAD_REQUEST,
            Self::NotFound | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            Self::AlreadyClaimed | Self::Conflict => StatusCode::CONFLICT,
            Self::Refused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::BackEndFailed => StatusCode::BAD_GATEWAY,
            Self::Overloaded
            | Self::NoBackEnd
            | Self::ClaimUnavailable
            | Self::Unavailable
            | Self::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Human-readable title of this kind.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request cannot be understood",
            Self::NotFound => "There is nothing at this path",
            Self::UnknownService => "There is no such service",
            Self::MethodNotAllowed => "The method does not fit the path",
            Self::BodyTooLarge => "The body is too large",
            Self::BodyTooSlow => "The body came too slowly",
            Self::LimitReached => "A limit is reached",
            Self::Overloaded => "The system is overloaded",
            Self::DeadlineExceeded => "The deadline cannot be met",
            Self::NoBackEnd => "No back end can take the request",
            Self::BackEndFailed => "The back end failed",
            Self::AlreadyClaimed => "The idempotency key is already claimed",
            Self::IdempotencyKeyMissing => "An idempotency key is needed",
            Self::ClaimUnavailable => "The idempotency key cannot be claimed now",
            Self::Conflict => "The configuration was changed by someone else",
            Self::Refused => "The statement was refused",
            Self::Unavailable => "This daemon takes no requests now",
            Self::StoreUnavailable => "The key-value service cannot be reached",
        }
    }
}

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the problem.
    #[serde(rename = "type")]
    pub kind: ProblemKind,
    /// Title of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened, and the remedy.
    pub detail: String,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Id of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Time to wait before a retry, in seconds; also sent in the `Retry-After` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl Problem {
    /// Creates a problem for a request that was certainly not run.
    #[must_use]
    pub fn not_started(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, detail, Execution::NotStarted)
    }

    /// Creates a problem; `execution` says whether the request may have run.
    #[must_use]
    pub fn new(kind: ProblemKind, detail: impl Into<String>, execution: Execution) -> Self {
        Self {
            kind,
            title: kind.title().to_owned(),
            status: kind.status().as_u16(),
            detail: detail.into(),
            execution,
            request_id: None,
            retry_after_s: None,
        }
    }

    /// Sets the time to wait before a retry, rounded up to whole seconds and at least one second.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        self.retry_after_s = Some(u64::try_from(seconds).unwrap_or(u64::MAX));
        self
    }

    /// Sets the request id.
    #[must_use]
    pub fn for_request(mut self, request_id: impl ToString) -> Self {
        self.request_id = Some(request_id.to_string());
        self
    }

    /// Converts the problem into an HTTP response.
    ///
    /// # Panics
    /// Never: a problem can always be serialized.
    #[must_use]
    pub fn into_response(self) -> Response<Body> {
        let bytes = serde_json::to_vec(&self).expect("a problem serializes");
        let mut response = Response::new(full(bytes));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(seconds) = self.retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
