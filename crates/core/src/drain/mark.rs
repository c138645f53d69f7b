//! Drain marks and acknowledgements exchanged between daemons.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::{FencingToken, MachineId};

/// Origin of a drain mark. A back end is drained while the newest mark of any source drains it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub enum DrainSource {
    /// The controller of the back end's cell.
    Controller,
    /// The machine list, which reports the machine as leaving.
    MachineList,
}

/// Version of a mark. Among marks of one source, the largest version wins.
///
/// Ordered by token first, so every mark of a newer controller replaces those of earlier ones.
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
pub struct DrainVersion {
    /// Fencing token of the controller; 0 for the machine list.
    pub token: FencingToken,
    /// Sequence number of the controller's mark, or the revision of the machine list.
    pub counter: u64,
}

/// Whether a mark drains or releases the back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum DrainState {
    /// The back end must not receive new requests.
    Draining,
    /// The back end may receive requests again.
    Released,
}

/// Why a back end is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum DrainReason {
    /// The engine's role will change.
    RoleChange,
    /// The engine's model, version or adapters will change.
    ModelChange,
    /// The machine is about to be removed.
    Leaving,
    /// The engine was set aside after repeated failures.
    SetAside,
    /// An order may still be running on the engine, or its state is unknown.
    UnclearState,
}

impl DrainReason {
    /// The reason as shown to operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RoleChange => "role change",
            Self::ModelChange => "model change",
            Self::Leaving => "leaving",
            Self::SetAside => "set aside",
            Self::UnclearState => "unclear state",
        }
    }
}

/// Message that drains or releases a back end; 27 bytes when encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DrainMark {
    /// Back end that the message refers to.
    pub back_end: MachineId,
    /// Origin of the mark.
    pub source: DrainSource,
    /// Version of the mark.
    pub version: DrainVersion,
    /// Whether the back end is drained or released.
    pub state: DrainState,
    /// Reason for the drain; in a release, the reason of the drain that ends, if known.
    pub reason: DrainReason,
    /// Age of the mark when it was sent, in milliseconds. An age needs no synchronized clocks.
    pub age_ms: u32,
}

/// Confirms that a daemon has stopped routing new requests to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DrainAck {
    /// Back end that the message refers to.
    pub back_end: MachineId,
    /// Version of the controller's mark that is acknowledged.
    pub version: DrainVersion,
}
