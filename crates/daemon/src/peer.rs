//! Communication between daemons: gossip over UDP, requests over TCP.

pub(crate) mod client;
pub(crate) mod frame;
pub(crate) mod outbox;
pub(crate) mod requests;
pub(crate) mod server;
pub(crate) mod socket;
pub(crate) mod view;

use ponddrift_core::{Incarnation, MachineId};
use ponddrift_protocol::Hello;

/// Identity that this daemon sends to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerIdentity {
    /// Hash of the cluster's name.
    pub(crate) cluster: u64,
    /// Machine id of this daemon.
    pub(crate) machine: MachineId,
    /// Incarnation of this process.
    pub(crate) incarnation: Incarnation,
}

impl PeerIdentity {
    pub(crate) fn hello(self) -> Hello {
        Hello {
            cluster: self.cluster,
            sender: self.machine,
            incarnation: self.incarnation,
        }
    }
}
