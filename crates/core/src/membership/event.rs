//! Events that membership handles, and the actions that it returns.

use std::net::SocketAddr;
use std::time::Duration;

use super::message::MembershipMessage;
use super::record::{DaemonFacts, Life, MemberRecord};
use crate::{Incarnation, MachineId, Revision};

/// A daemon in the machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seed {
    /// Machine of the daemon.
    pub machine: MachineId,
    /// Address for messages of peers.
    pub address: SocketAddr,
}

/// Input of [`Membership::handle`](super::Membership::handle).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Periodic timer; expected every 100 ms.
    Tick,
    /// A message was received.
    Received {
        /// Address that the datagram came from.
        from: SocketAddr,
        /// Sender named by the datagram.
        sender: MachineId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Received message.
        message: MembershipMessage,
    },
    /// The machine list was read. It is only a hint: no daemon becomes or ceases to be a member by
    /// it.
    SeedsRead(Vec<Seed>),
    /// Another configuration is in force at this daemon.
    ConfigurationInForce(Revision),
    /// The readiness of this daemon changed.
    ReadinessChanged(super::Readiness),
    /// This daemon is shutting down and must tell its peers.
    Leave,
}

/// Action that the caller must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// Address of the receiver.
        address: SocketAddr,
        /// Message to send.
        message: MembershipMessage,
    },
    /// The state of a daemon changed or became known.
    MemberChanged(MemberRecord),
    /// The facts of a daemon changed.
    FactsChanged {
        /// Machine of the daemon.
        member: MachineId,
        /// New facts.
        facts: DaemonFacts,
    },
    /// Peers regarded this daemon as suspect, dead or left, and it sends a refutation.
    Refuted(Life),
    /// A newer incarnation of this machine is known. This process must stop, or restart with a
    /// larger incarnation.
    Superseded(Incarnation),
    /// This process was suspended for the given time. The daemon must not be ready until it has
    /// caught up.
    WokeAfterFreeze(Duration),
}
