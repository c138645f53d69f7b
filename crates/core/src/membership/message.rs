//! Messages of the membership protocol.

use borsh::{BorshDeserialize, BorshSerialize};

use super::record::{DaemonFacts, Life, MemberRecord, MemberState};
use crate::{Incarnation, MachineId};

/// An update about a daemon, piggybacked on messages.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Update {
    /// Whole record of a daemon that started or refuted a suspicion.
    Record(MemberRecord),
    /// A daemon is suspected, is dead or has left.
    Claim {
        /// Machine of the daemon.
        member: MachineId,
        /// Incarnation and refutation that the claim refers to.
        life: Life,
        /// Claimed state.
        state: MemberState,
    },
    /// New facts of a daemon.
    Facts {
        /// Machine of the daemon.
        member: MachineId,
        /// Incarnation of the daemon.
        incarnation: Incarnation,
        /// New facts.
        facts: DaemonFacts,
    },
}

impl Update {
    /// Machine of the daemon that the update is about.
    #[must_use]
    pub const fn member(&self) -> MachineId {
        match self {
            Self::Record(record) => record.machine,
            Self::Claim { member, .. } | Self::Facts { member, .. } => *member,
        }
    }
}

/// A message of the membership protocol. The enclosing datagram names the sender and its
/// incarnation.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum MembershipMessage {
    /// Requests an [`MembershipMessage::Ack`].
    Ping {
        /// Sequence number chosen by the sender.
        sequence: u32,
        /// Piggybacked updates. The first may be the receiver's state as known to the sender.
        updates: Vec<Update>,
    },
    /// Answer to a [`MembershipMessage::Ping`].
    Ack {
        /// Sequence number of the ping.
        sequence: u32,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to probe `target` and to forward the answer.
    PingRequest {
        /// Sequence number chosen by the sender.
        sequence: u32,
        /// Daemon to probe.
        target: MachineId,
    },
    /// The target of a [`MembershipMessage::PingRequest`] answered.
    RelayedAck {
        /// Sequence number of the ping request.
        sequence: u32,
        /// Daemon that answered.
        target: MachineId,
    },
    /// Updates without a probe.
    Gossip {
        /// Updates to apply.
        updates: Vec<Update>,
    },
    /// Requests a page of the member table.
    Pull {
        /// The page begins after this machine; `None` requests the first page.
        after: Option<MachineId>,
    },
    /// A page of the member table.
    Page {
        /// Records ordered by machine.
        records: Vec<MemberRecord>,
        /// Machine after which the next page begins; `None` at the end of the table.
        next: Option<MachineId>,
    },
}

impl MembershipMessage {
    /// Encoded size in bytes.
    #[must_use]
    pub fn encoded_length(&self) -> usize {
        borsh::object_length(self).unwrap_or(usize::MAX)
    }
}
