//! Packs outgoing message parts into datagrams.

use std::net::SocketAddr;

use indexmap::IndexMap;
use ponddrift_protocol::{Datagram, MAXIMUM_DATAGRAM_BYTES, MAXIMUM_PARTS, Part, encode_datagram};

use super::PeerIdentity;

/// Encoded size of the version, cluster, sender, incarnation and part count.
const ENVELOPE_BYTES: usize = 1 + 8 + 4 + 8 + 4;

/// An encoded datagram with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OutgoingDatagram {
    pub(crate) target: SocketAddr,
    pub(crate) bytes: Vec<u8>,
}

/// Collects message parts per target address.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    parts: IndexMap<SocketAddr, Vec<Part>>,
}

impl Outbox {
    pub(crate) fn add(&mut self, target: SocketAddr, part: Part) {
        self.parts.entry(target).or_default().push(part);
    }

    /// Packs all collected parts. Logs and drops a datagram that cannot be encoded, such as one
    /// with an oversized part.
    pub(crate) fn pack(&mut self, identity: PeerIdentity) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        for (target, parts) in std::mem::take(&mut self.parts) {
            let mut packer = Packer {
                identity,
                target,
                body: Vec::new(),
                bytes: ENVELOPE_BYTES,
            };
            for part in parts {
                packer.add(part, &mut outgoing);
            }
            packer.flush(&mut outgoing);
        }
        outgoing
    }
}

struct Packer {
    identity: PeerIdentity,
    target: SocketAddr,
    body: Vec<Part>,
    bytes: usize,
}

impl Packer {
    fn add(&mut self, part: Part, outgoing: &mut Vec<OutgoingDatagram>) {
        let length = borsh::object_length(&part).unwrap_or(usize::MAX);
        let is_full = self.bytes.saturating_add(length) > MAXIMUM_DATAGRAM_BYTES
            || self.body.len() == MAXIMUM_PARTS;
        if is_full {
            self.flush(outgoing);
        }
        self.bytes = self.bytes.saturating_add(length);
        self.body.push(part);
    }

    fn flush(&mut self, outgoing: &mut Vec<OutgoingDatagram>) {
        self.bytes = ENVELOPE_BYTES;
        if self.body.is_empty() {
            return;
        }
        let datagram = Datagram {
            cluster: self.identity.cluster,
            sender: self.identity.machine,
            incarnation: self.identity.incarnation,
            body: std::mem::take(&mut self.body),
        };
        match encode_datagram(&datagram) {
            Ok(bytes) => outgoing.push(OutgoingDatagram {
                target: self.target,
                bytes,
            }),
            Err(error) => tracing::error!(%error, "encoding a datagram failed; dropping it"),
        }
    }
}
