//! Messages between daemons, encoded with borsh.
//!
//! [`Datagram`]s carry gossip over UDP; [`Request`]s and [`Response`]s are sent as frames over TCP.
//! Decoding accepts untrusted input: sizes are checked before memory is allocated, and no input may
//! cause a panic. Every message starts with a version byte, so that daemons of incompatible
//! releases reject each other's messages with a clear error.

mod datagram;
mod error;
mod part;
mod stream;

pub use datagram::{
    CLUSTER_NAME_SEED, Datagram, MAXIMUM_DATAGRAM_BYTES, MAXIMUM_PARTS, cluster_hash,
    decode_datagram, encode_datagram,
};
pub use error::{DecodeError, EncodeError};
pub use part::Part;
pub use stream::{
    FRAME_HEADER_BYTES, Hello, MAXIMUM_FRAME_BYTES, MAXIMUM_ROWS, Request, RequestFrame, Response,
    ResponseFrame, decode_frame_header, decode_request, decode_response, encode_request,
    encode_response,
};

/// Protocol version of all messages. Messages of other versions are rejected.
pub const PROTOCOL_VERSION: u8 = 1;
