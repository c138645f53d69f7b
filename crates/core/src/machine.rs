//! Entries of the machine list.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{CellName, MachineId, PoolName, RegionName, ZoneName};

/// Kind of process that runs on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum MachineKind {
    /// A ponddrift daemon; `address` is its peer address.
    Daemon,
    /// A model engine of a cell; `address` is its HTTP address.
    Engine {
        /// The cell that controls this engine.
        cell: CellName,
    },
    /// A plain back end; `address` is its HTTP address.
    Plain {
        /// The pool of interchangeable back ends it belongs to.
        pool: PoolName,
    },
}

/// Machine state reported by the platform. It may be outdated and is only a hint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be removed; it gets no new work.
    Leaving,
}

/// One machine of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct Machine {
    /// Its id in the machine list.
    pub id: MachineId,
    /// The process that runs on it.
    #[serde(flatten)]
    pub kind: MachineKind,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Network address; its meaning depends on [`MachineKind`].
    pub address: SocketAddr,
    /// State reported by the platform.
    pub state: MachineState,
}

/// The machine list at a revision.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
pub struct MachineList {
    /// Increases with each change of the list.
    pub revision: u64,
    /// All machines, ordered by id.
    pub machines: Vec<Machine>,
}
