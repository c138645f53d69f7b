//! Errors of calls to back ends, and whether the request may have run.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use ponddrift_core::Execution;
use ponddrift_http::{ClientError, ReadError};

use crate::wire::headers::NOT_RUN;

/// Reason why a call to a back end failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request was certainly not sent.
    #[error("the back end cannot be reached: {0}")]
    NotSent(String),
    /// The back end answered with an error status.
    #[error("the back end answered {status}: {message}")]
    Refused {
        /// HTTP status of the answer.
        status: StatusCode,
        /// Whether the back end stated that it did not run the request.
        not_run: bool,
        /// Text of the answer, truncated.
        message: String,
    },
    /// The connection failed after the request may have arrived.
    #[error("the connection to the back end broke: {0}")]
    Broken(String),
    /// The back end did not answer within this time.
    #[error("the back end did not answer within {0:?}")]
    TimedOut(Duration),
    /// The answer violates the protocol.
    #[error("the back end's answer cannot be understood: {0}")]
    Protocol(String),
}

impl CallError {
    /// Whether the request may have run, given this error.
    #[must_use]
    pub fn execution(&self) -> Execution {
        match self {
            Self::NotSent(_) | Self::Refused { not_run: true, .. } => Execution::NotStarted,
            _ => Execution::Unknown,
        }
    }
}

impl From<ClientError> for CallError {
    fn from(error: ClientError) -> Self {
        if error.was_not_sent() {
            return Self::NotSent(error.to_string());
        }
        Self::Broken(error.to_string())
    }
}

impl From<ReadError> for CallError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::TooSlow { limit } => Self::TimedOut(limit),
            ReadError::Broken(reason) => Self::Broken(reason),
            ReadError::TooLarge { .. } | ReadError::NoMemory(_) | ReadError::Json(_) => {
                Self::Protocol(error.to_string())
            }
        }
    }
}

/// Whether the headers of an answer state that the back end did not run the request.
#[must_use]
pub fn says_not_run(headers: &HeaderMap) -> bool {
    headers
        .get(NOT_RUN)
        .is_some_and(|value| value.as_bytes() == b"true")
}
