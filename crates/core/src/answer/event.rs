//! Events and actions of the assembly of an answer.

use super::error::AnswerError;
use crate::{RequestId, Timestamp};

/// Which connection of an answer an event belongs to. The first is 0; each resume opens the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConnectionNumber(pub u32);

/// What kind of answer was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// Numbered events with an end mark; can be resumed.
    Stream,
    /// One body; cannot be resumed.
    Whole,
}

/// How the end of a whole body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Content-Length` gives the bytes.
    Length(u64),
    /// The protocol marks the end: chunked coding, or the end flag of an HTTP/2 stream.
    Delimited,
    /// Only the end of the connection shows it, which a cut looks like too.
    UntilClose,
}

/// What happened on a connection. `P` is the payload, passed through untouched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent<P> {
    /// The head of the answer arrived.
    Head {
        /// The request id that the back end echoed.
        echoed: Option<RequestId>,
        /// Framing of the body; not looked at in a stream.
        framing: BodyFraming,
    },
    /// A numbered event of a stream.
    Part {
        /// Its `id:`.
        id: Option<u64>,
        /// The request id inside the event, where it has one.
        echoed: Option<RequestId>,
        /// What the caller gets.
        payload: P,
    },
    /// The end mark of a stream.
    EndMark {
        /// Its `id:`, where it has one.
        id: Option<u64>,
    },
    /// Bytes of a whole body.
    Bytes {
        /// How many.
        length: u64,
        /// The bytes.
        payload: P,
    },
    /// The connection or body ended in order.
    Closed,
    /// The connection broke, could not be opened again, or timed out.
    Broken,
    /// The back end refused the resume: it does not know the stream any more.
    ResumeRefused,
    /// The time of [`super::AnswerAssembler::next_tick`] has come.
    Tick,
}

/// What has to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerAction<P> {
    /// Pass this on to the caller.
    Forward(P),
    /// Drop the current connection. Its later events are ignored.
    Disconnect,
    /// Ask the same back end for the rest of the stream.
    Resume {
        /// Number of the connection to open; its events carry it.
        connection: ConnectionNumber,
        /// The last event that arrived; `None`: from the start.
        after: Option<u64>,
        /// Not before this time.
        at: Timestamp,
    },
    /// The answer is whole: end it towards the caller with the end mark.
    Complete,
    /// End the answer towards the caller with an explicit error.
    Fail(AnswerError),
}
