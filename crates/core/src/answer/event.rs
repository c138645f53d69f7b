//! Input events and resulting actions of answer assembly.

use super::error::AnswerError;
use crate::{RequestId, Timestamp};

/// Number of a connection within one answer, starting at 0. Each resume opens the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConnectionNumber(pub u32);

/// Kind of answer that the caller requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A stream of numbered events with an end mark; it can be resumed.
    Stream,
    /// A single body; it cannot be resumed.
    Whole,
}

/// How the end of a single body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Content-Length` in bytes.
    Length(u64),
    /// The protocol marks the end: chunked transfer coding or the HTTP/2 END_STREAM flag.
    Delimited,
    /// The body ends with the connection, which a lost connection cannot be distinguished from.
    UntilClose,
}

/// Event on a connection. `P` is the payload, which is forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent<P> {
    /// The response head arrived.
    Head {
        /// The request id that the back end echoed.
        echoed: Option<RequestId>,
        /// Framing of the body; ignored for streams.
        framing: BodyFraming,
    },
    /// A numbered event of a stream.
    Part {
        /// Its `id:` field, if present.
        id: Option<u64>,
        /// The request id inside the event, if present.
        echoed: Option<RequestId>,
        /// Payload for the caller.
        payload: P,
    },
    /// The end mark of a stream.
    EndMark {
        /// Its `id:` field, if present.
        id: Option<u64>,
    },
    /// Bytes of a single body.
    Bytes {
        /// Number of bytes.
        length: u64,
        /// The bytes.
        payload: P,
    },
    /// The connection or body ended normally.
    Closed,
    /// The connection broke, could not be reopened or timed out.
    Broken,
    /// The back end refused the resume because it no longer has the stream.
    ResumeRefused,
    /// The time given by [`super::AnswerAssembler::next_tick`] was reached.
    Tick,
}

/// Action that the caller of [`super::AnswerAssembler::handle`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerAction<P> {
    /// Forward this payload to the caller.
    Forward(P),
    /// Close the current connection. Its later events are ignored.
    Disconnect,
    /// Request the rest of the stream from the same back end.
    Resume {
        /// Number of the connection to open; its events must carry this number.
        connection: ConnectionNumber,
        /// Id of the last forwarded event; `None` to start from the beginning.
        after: Option<u64>,
        /// Earliest time of the request.
        at: Timestamp,
    },
    /// The answer is complete: send the end mark to the caller.
    Complete,
    /// End the caller's answer with an explicit error.
    Fail(AnswerError),
}
