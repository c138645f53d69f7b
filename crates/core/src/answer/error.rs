//! Errors of incomplete answers.

use serde::{Deserialize, Serialize};

/// Fault of an answer or of the connection that carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum AnswerFault {
    /// The echoed id is that of another request.
    #[error("the back end sent the answer to another request; that answer was discarded")]
    Crossed,
    /// The back end did not echo the request id.
    #[error("the back end did not echo the request id; configure it to send x-request-id")]
    EchoMissing,
    /// An event of a stream has no id.
    #[error("an event of the stream has no id; configure the engine to number its events")]
    NumberMissing,
    /// The event ids are not consecutive.
    #[error("gap in the stream: expected event {expected}, received event {received}")]
    Gap {
        /// The next event id in order.
        expected: u64,
        /// The event id received.
        received: u64,
    },
    /// The message is not allowed for this kind of answer or at this point.
    #[error("the back end sent a message that is not allowed at this point of the answer")]
    Unexpected,
    /// The connection ended before the answer was complete.
    #[error("the connection ended before the answer was complete")]
    Cut,
    /// No data arrived within the idle limit or the limit for the first part.
    #[error("the back end sent no data within the time limit")]
    Idle,
    /// The body is shorter than its `Content-Length`.
    #[error("the body ended after {received} of {announced} bytes")]
    TooShort {
        /// Bytes announced by `Content-Length`.
        announced: u64,
        /// Bytes received.
        received: u64,
    },
    /// The body is longer than its `Content-Length`.
    #[error("the body is longer than the {announced} bytes announced")]
    TooLong {
        /// Bytes announced by `Content-Length`.
        announced: u64,
    },
    /// The end of the body cannot be distinguished from a lost connection.
    #[error(
        "the body has neither Content-Length nor an end mark; configure the back end to send one"
    )]
    Unframed,
    /// The back end no longer has the stream.
    #[error("the back end no longer has the stream to resume")]
    ResumeRefused,
    /// The request's deadline passed.
    #[error("the deadline passed before the answer was complete")]
    DeadlinePassed,
}

/// The error that ends an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error(
    "the answer is incomplete: {fault} ({forwarded} parts forwarded, {resumes} resumes attempted)"
)]
pub struct AnswerError {
    /// The last fault.
    pub fault: AnswerFault,
    /// Parts forwarded to the caller. If 0, the request may be retried where the service allows it.
    pub forwarded: u64,
    /// Number of resumes attempted.
    pub resumes: u32,
}
