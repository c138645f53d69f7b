//! Requests and responses over a stream, each in a length-prefixed frame.

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_core::claims::{ClaimMessage, ClaimReply, ShardMap};
use ponddrift_core::configuration::PullAnswer;
use ponddrift_core::decision::DecisionRecord;
use ponddrift_core::drain::DrainMark;
use ponddrift_core::engine_facts::EngineFacts;
use ponddrift_core::{Incarnation, MachineId, Revision};

use crate::PROTOCOL_VERSION;
use crate::datagram::{check_envelope, decode_payload};
use crate::error::{DecodeError, EncodeError};

/// Size of a frame header in bytes. The header is the length of the frame, little-endian.
pub const FRAME_HEADER_BYTES: usize = 4;
/// Maximum size of a frame in bytes, without its header.
pub const MAXIMUM_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of rows in a response; the rest is requested with `after`.
pub const MAXIMUM_ROWS: u32 = 2_000;

/// Identity of the requesting daemon; part of every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// [`crate::cluster_hash`] of the requesting daemon's cluster.
    pub cluster: u64,
    /// Machine id of the requesting daemon.
    pub sender: MachineId,
    /// Incarnation of the requesting daemon.
    pub incarnation: Incarnation,
}

/// A request to another daemon. New variants must be added at the end, with a new protocol version.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// Requests the configuration changes since a revision; 0 requests the whole configuration.
    PullConfiguration {
        /// Revision in force at the requesting daemon.
        since: Revision,
    },
    /// Requests the decision records of the daemon, for an operator's query.
    PullDecisions {
        /// Position in the daemon's log after which records are returned.
        after: u64,
        /// Maximum number of records; capped at [`MAXIMUM_ROWS`].
        limit: u32,
    },
    /// Requests all drain marks, for a daemon that has just started or resumed.
    PullDrainMarks,
    /// Requests the facts of all engines.
    PullEngineFacts,
    /// Sends a message to a member of a claim group.
    Claim(ClaimMessage),
    /// Requests the shard map of the claims.
    PullShardMap,
}

/// The response to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Response {
    /// Response to [`Request::PullConfiguration`].
    Configuration(PullAnswer),
    /// Response to [`Request::PullDecisions`].
    Decisions {
        /// The records, oldest first.
        records: Vec<DecisionRecord>,
        /// Position of the last record, for `after` in the next request.
        position: u64,
        /// Whether more records follow.
        has_more: bool,
    },
    /// Response to [`Request::PullDrainMarks`].
    DrainMarks(Vec<DrainMark>),
    /// Response to [`Request::PullEngineFacts`].
    EngineFacts(Vec<EngineFacts>),
    /// Response to [`Request::Claim`]; `None` when the message was addressed to another incarnation
    /// of the daemon.
    Claim(Option<ClaimReply>),
    /// Response to [`Request::PullShardMap`].
    ShardMap(ShardMap),
    /// The daemon cannot serve the request now.
    Refused {
        /// The reason and the remedy.
        reason: String,
    },
}

/// A request frame.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestFrame {
    /// The requesting daemon.
    pub hello: Hello,
    /// Request number, repeated in the response: responses may arrive in a different order.
    pub number: u64,
    /// The request.
    pub request: Request,
}

/// A response frame.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ResponseFrame {
    /// Number of the request.
    pub number: u64,
    /// The response.
    pub response: Response,
}

/// Decodes a frame header and returns the length of the frame.
///
/// # Errors
/// [`DecodeError::TooLarge`], so that callers allocate no memory for the frame, or
/// [`DecodeError::Empty`].
pub fn decode_frame_header(header: [u8; FRAME_HEADER_BYTES]) -> Result<usize, DecodeError> {
    let bytes = usize::try_from(u32::from_le_bytes(header)).unwrap_or(usize::MAX);
    if bytes > MAXIMUM_FRAME_BYTES {
        return Err(DecodeError::TooLarge {
            bytes,
            limit: MAXIMUM_FRAME_BYTES,
        });
    }
    if bytes == 0 {
        return Err(DecodeError::Empty);
    }
    Ok(bytes)
}

/// Encodes a request with its frame header.
///
/// # Errors
/// [`EncodeError::TooLarge`] above [`MAXIMUM_FRAME_BYTES`].
pub fn encode_request(frame: &RequestFrame) -> Result<Vec<u8>, EncodeError> {
    encode(frame)
}

/// Encodes a response with its frame header.
///
/// # Errors
/// [`EncodeError::TooLarge`] above [`MAXIMUM_FRAME_BYTES`].
pub fn encode_response(frame: &ResponseFrame) -> Result<Vec<u8>, EncodeError> {
    encode(frame)
}

/// Decodes a request from a frame without its header.
///
/// # Errors
/// [`DecodeError`] when the bytes are not a valid request of this protocol version.
pub fn decode_request(bytes: &[u8]) -> Result<RequestFrame, DecodeError> {
    decode_payload(check_envelope(bytes, MAXIMUM_FRAME_BYTES)?)
}

/// Decodes a response from a frame without its header.
///
/// # Errors
/// [`DecodeError`] when the bytes are not a valid response of this protocol version.
pub fn decode_response(bytes: &[u8]) -> Result<ResponseFrame, DecodeError> {
    decode_payload(check_envelope(bytes, MAXIMUM_FRAME_BYTES)?)
}

fn encode<T: BorshSerialize>(frame: &T) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = vec![0; FRAME_HEADER_BYTES];
    bytes.push(PROTOCOL_VERSION);
    borsh::to_writer(&mut bytes, frame).expect("writing to a vector does not fail");
    let length = bytes.len() - FRAME_HEADER_BYTES;
    let too_large = EncodeError::TooLarge {
        bytes: length,
        limit: MAXIMUM_FRAME_BYTES,
    };
    if length > MAXIMUM_FRAME_BYTES {
        return Err(too_large);
    }
    let header = u32::try_from(length).map_err(|_error| too_large)?;
    bytes[..FRAME_HEADER_BYTES].copy_from_slice(&header.to_le_bytes());
    Ok(bytes)
}
