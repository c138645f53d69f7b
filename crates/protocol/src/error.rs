//! Errors of encoding and decoding.

/// Reason why a peer's message cannot be decoded. Such messages are dropped without an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is empty.
    #[error("the message is empty; it is dropped")]
    Empty,
    /// The message exceeds the size limit.
    #[error("the message has {bytes} bytes, more than the limit of {limit}; it is dropped")]
    TooLarge {
        /// Size of the message in bytes.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The message has another protocol version.
    #[error(
        "the message has protocol version {theirs}, but this daemon uses {ours}: run the same release on all daemons"
    )]
    Version {
        /// The peer's version.
        theirs: u8,
        /// This daemon's version.
        ours: u8,
    },
    /// The datagram has too many parts.
    #[error("the datagram has more than {limit} parts; it is dropped")]
    TooManyParts {
        /// The limit.
        limit: usize,
    },
    /// The message is not valid in this protocol.
    #[error("the message is malformed ({reason}); it is dropped")]
    Malformed {
        /// Error text of the codec.
        reason: String,
    },
}

/// Reason why a message cannot be encoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EncodeError {
    /// The message exceeds the size that peers accept.
    #[error(
        "the message has {bytes} bytes, more than the limit of {limit}: send it in smaller parts"
    )]
    TooLarge {
        /// Size of the message in bytes.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
}
