//! Gossip datagrams.

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_core::{Incarnation, MachineId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PROTOCOL_VERSION;
use crate::error::{DecodeError, EncodeError};
use crate::part::Part;

/// Maximum size of a datagram; small enough to avoid IP fragmentation on common networks.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of parts in a datagram.
pub const MAXIMUM_PARTS: usize = 32;
/// Hash seed of [`cluster_hash`].
pub const CLUSTER_NAME_SEED: u64 = 0x706f_6e64;

/// Returns the hash of a cluster's name, which identifies the cluster in messages.
#[must_use]
pub fn cluster_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), CLUSTER_NAME_SEED)
}

/// A gossip message from one daemon to another.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    /// [`cluster_hash`] of the sender's cluster. Receivers drop datagrams of other clusters.
    pub cluster: u64,
    /// Machine id of the sender.
    pub sender: MachineId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Contents, at most [`MAXIMUM_PARTS`].
    pub body: Vec<Part>,
}

/// Encodes a datagram, starting with the version byte.
///
/// # Errors
/// [`EncodeError::TooLarge`] above [`MAXIMUM_DATAGRAM_BYTES`].
pub fn encode_datagram(datagram: &Datagram) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = vec![PROTOCOL_VERSION];
    borsh::to_writer(&mut bytes, datagram).expect("writing to a vector does not fail");
    if bytes.len() > MAXIMUM_DATAGRAM_BYTES {
        return Err(EncodeError::TooLarge {
            bytes: bytes.len(),
            limit: MAXIMUM_DATAGRAM_BYTES,
        });
    }
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
/// [`DecodeError`] when the bytes are not a valid datagram of this protocol version.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let payload = check_envelope(bytes, MAXIMUM_DATAGRAM_BYTES)?;
    let datagram: Datagram = decode_payload(payload)?;
    if datagram.body.len() > MAXIMUM_PARTS {
        return Err(DecodeError::TooManyParts {
            limit: MAXIMUM_PARTS,
        });
    }
    Ok(datagram)
}

/// Checks size and protocol version, and returns the bytes after the version byte.
pub(crate) fn check_envelope(bytes: &[u8], limit: usize) -> Result<&[u8], DecodeError> {
    if bytes.len() > limit {
        return Err(DecodeError::TooLarge {
            bytes: bytes.len(),
            limit,
        });
    }
    let (version, payload) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if *version != PROTOCOL_VERSION {
        return Err(DecodeError::Version {
            theirs: *version,
            ours: PROTOCOL_VERSION,
        });
    }
    Ok(payload)
}

/// Decodes `payload`, which must not contain trailing bytes. Memory use is bounded by the size of
/// `payload`, not by the lengths encoded in it.
pub(crate) fn decode_payload<T: BorshDeserialize>(payload: &[u8]) -> Result<T, DecodeError> {
    borsh::from_slice(payload).map_err(|error| DecodeError::Malformed {
        reason: error.to_string(),
    })
}
