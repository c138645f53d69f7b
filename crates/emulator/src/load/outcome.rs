//! What became of one request.

use std::time::Duration;

use ponddrift_core::Execution;
use serde::Serialize;

/// What became of one request, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// A whole answer, which was checked to be its own.
    Whole(Timing),
    /// Refused with a problem document.
    Refused {
        /// HTTP status.
        status: u16,
        /// Kind of the problem.
        problem: String,
        /// What the refusal says of the execution.
        execution: Execution,
        /// Seconds after which to come back.
        retry_after_s: Option<u64>,
    },
    /// A stream that ended in an explicit error event.
    ErrorEvent {
        /// Its data.
        message: String,
    },
    /// An answer that is not an answer: another status without a problem document.
    Unexplained {
        /// HTTP status.
        status: u16,
    },
    /// An answer that is not this request's, or not whole although it ended as if. Always an error.
    Wrong {
        /// What is wrong.
        message: String,
    },
    /// A stream that ended silently: no end mark and no error. Always an error.
    SilentEnd,
    /// The connection broke before or in the answer.
    Broken {
        /// Why.
        message: String,
    },
    /// No connection: the request was not sent.
    NotSent,
    /// The caller gave up waiting.
    TimedOut,
}

/// Times of a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Timing {
    /// Until the first token or byte.
    pub first: Duration,
    /// Between tokens, on average; of streams of two tokens or more.
    pub between: Option<Duration>,
    /// Until the end.
    pub total: Duration,
    /// Tokens generated; 0 for records.
    pub tokens: u32,
    /// Whether it was streamed, so that `first` is a first token's time.
    pub streamed: bool,
}

/// One request with its outcome.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestResult {
    /// Its id.
    pub request_id: String,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The back end that the answer names.
    pub back_end: Option<String>,
    /// What became of it.
    pub outcome: Outcome,
}

impl Outcome {
    /// Short name for counting.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Whole(_) => "whole",
            Self::Refused { .. } => "refused",
            Self::ErrorEvent { .. } => "error_event",
            Self::Unexplained { .. } => "unexplained",
            Self::Wrong { .. } => "wrong",
            Self::SilentEnd => "silent_end",
            Self::Broken { .. } => "broken",
            Self::NotSent => "not_sent",
            Self::TimedOut => "timed_out",
        }
    }
}
