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
    /// Daemons whose data is missing or truncated; empty when the response is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<MissingPart>,
}

/// A daemon whose data in a response is missing or truncated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingPart {
    /// The daemon.
    pub daemon: MachineId,
    /// The reason and a remedy.
    pub reason: String,
}

/// Response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Id of the change.
    pub change: ChangeId,
    /// The operator who requested it.
    pub author: String,
    /// Configuration revision created by the change.
    pub revision: Revision,
    /// Number of live daemons with this revision or a newer one in force.
    pub in_force: usize,
    /// Number of live daemons.
    pub live: usize,
    /// Live daemons that are not known to have it in force yet. They take it as soon as they are
    /// reached.
    pub not_yet_in_force: Vec<MachineId>,
    /// Time from acceptance to this response, in milliseconds.
    pub waited_ms: u64,
}

/// Status of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Machine id of the daemon.
    pub daemon: MachineId,
    /// Program version.
    pub version: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Incarnation number, larger after each restart.
    pub incarnation: u64,
    /// Milliseconds since the daemon started.
    pub up_ms: u64,
    /// Listen addresses.
    pub addresses: DaemonAddresses,
    /// Whether the daemon accepts requests.
    pub ready: bool,
    /// `alone`, `in contact` or `isolated`: contact with the other daemons.
    pub contact: String,
    /// Configuration revision in force at this daemon.
    pub configuration_revision: Revision,
    /// Revision of the machine list in use.
    pub machine_list_revision: u64,
    /// Number of daemons considered live, including this one.
    pub live_daemons: usize,
    /// Number of engines in the machine list.
    pub engines: usize,
    /// Number of plain back ends in the machine list.
    pub back_ends: usize,
    /// Number of queued and running requests at this daemon.
    pub requests: usize,
}
