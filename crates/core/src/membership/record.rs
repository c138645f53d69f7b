//! Records about daemons.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::{Incarnation, MachineId, RegionName, Revision, ZoneName};

/// Incarnation of a daemon, with the number of suspicions that it refuted in this incarnation.
///
/// The caller provides a larger incarnation at each start; it never changes while the process runs.
/// Only the daemon itself may increase `refutation`. Values compare by incarnation first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct Life {
    /// Identifies the process; larger for a later start.
    pub incarnation: Incarnation,
    /// Number of refutations within the incarnation.
    pub refutation: u32,
}

/// State of a daemon. At the same [`Life`] a later variant overrides an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub enum MemberState {
    /// The daemon answers probes.
    Alive,
    /// The daemon did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The daemon did not refute a suspicion in time.
    Dead,
    /// The daemon announced that it leaves. This is final for the incarnation.
    Left,
}

impl MemberState {
    /// Whether the daemon is alive or only suspected.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Name of the state in operators' queries.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// Whether a daemon accepts requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub enum Readiness {
    /// The daemon is starting, or catching up after its process was suspended.
    NotReady,
    /// The daemon accepts requests.
    Ready,
    /// The daemon finishes its current requests and accepts no new ones.
    Leaving,
}

/// Facts that a daemon announces about itself. Within an incarnation, the larger `version` is
/// newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DaemonFacts {
    /// Incremented by the daemon at each change.
    pub version: u32,
    /// Revision of the configuration in force at the daemon.
    pub configuration: Revision,
    /// Whether the daemon accepts requests.
    pub readiness: Readiness,
}

impl Default for DaemonFacts {
    fn default() -> Self {
        Self {
            version: 0,
            configuration: Revision(0),
            readiness: Readiness::NotReady,
        }
    }
}

/// A daemon as known to others.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MemberRecord {
    /// Machine that the daemon runs on.
    pub machine: MachineId,
    /// Incarnation and refutations of the daemon.
    pub life: Life,
    /// State of the daemon.
    pub state: MemberState,
    /// Address for peers (UDP datagrams and TCP streams).
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub gateway_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Region of the machine.
    pub region: RegionName,
    /// Facts that the daemon announces about itself.
    pub facts: DaemonFacts,
}
