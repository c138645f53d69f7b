//! JSON responses for operators.

use ponddrift_core::{ChangeId, MachineId, RegionName, Revision, ZoneName};
use ponddrift_query::ResultSet;
use serde::{Deserialize, Serialize};

use crate::daemon::DaemonAddresses;

/// Response to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// Columns and rows.
    #[serde(flatten)]
    pub result: ResultSet,
    /// Daemons whose part is missing or cut; empty when the answer is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<MissingPart>,
}

/// A daemon whose part of an answer is missing or cut.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingPart {
    /// The daemon.
    pub daemon: MachineId,
    /// The reason and a remedy.
    pub reason: String,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// The change.
    pub change: ChangeId,
    /// Who asked for it.
    pub author: String,
    /// The revision that it led to.
    pub revision: Revision,
    /// Live daemons that have this revision or a newer one in force.
    pub in_force: usize,
    /// Live daemons.
    pub live: usize,
    /// Live daemons that are not known to have it in force yet. They take it as soon as they are
    /// reached.
    pub not_yet_in_force: Vec<MachineId>,
    /// Time from the acceptance to this answer in milliseconds.
    pub waited_ms: u64,
}

/// A daemon's own state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemon's machine.
    pub daemon: MachineId,
    /// Version of the program.
    pub version: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Incarnation number, larger after each restart.
    pub incarnation: u64,
    /// Milliseconds since it started.
    pub up_ms: u64,
    /// Addresses that it listens on.
    pub addresses: DaemonAddresses,
    /// Whether it takes requests.
    pub ready: bool,
    /// 'alone', 'in contact' or 'isolated': whether it reaches most of its peers.
    pub contact: String,
    /// Revision of the configuration in force here.
    pub configuration_revision: Revision,
    /// Revision of the machine list in use.
    pub machine_list_revision: u64,
    /// Daemons believed live, this one included.
    pub live_daemons: usize,
    /// Engines of the machine list.
    pub engines: usize,
    /// Plain back ends of the machine list.
    pub back_ends: usize,
    /// Requests that run or wait here.
    pub requests: usize,
}
