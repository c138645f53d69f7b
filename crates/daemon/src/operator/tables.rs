//! The operators' tables, filled from what this daemon knows.

mod configured;
mod daemons;
mod engines;
mod machines;
mod record;
mod requested;

use std::collections::BTreeMap;
use std::sync::Arc;

use ponddrift_core::configuration::Configuration;
use ponddrift_core::machine::MachineList;
use ponddrift_core::{MachineId, Revision, Timestamp};
use ponddrift_query::{QueryError, Row, Table, TableSource};

use super::decisions::Gathered;
use crate::actors::peer::operators::FleetView;
use crate::actors::routing::BackEndStatus;
use crate::requests::RequestInProgress;

/// Everything that the tables show, as it was at one moment.
pub(super) struct Tables {
    pub(super) now: Timestamp,
    pub(super) own: MachineId,
    pub(super) configuration: Arc<Configuration>,
    pub(super) list: Arc<MachineList>,
    pub(super) view: FleetView,
    pub(super) standings: BTreeMap<MachineId, BackEndStatus>,
    /// Revision in force at each peer, as far as it is known.
    pub(super) revisions: BTreeMap<MachineId, Revision>,
    pub(super) requests: Vec<RequestInProgress>,
    pub(super) decided: Gathered,
}

impl TableSource for Tables {
    fn rows(&self, table: Table) -> Result<Vec<Row>, QueryError> {
        Ok(match table {
            Table::Services => configured::services(&self.configuration),
            Table::Models => configured::models(&self.configuration),
            Table::Tenants => configured::tenants(&self.configuration),
            Table::Priorities => configured::priorities(&self.configuration),
            Table::Pins => configured::pins(&self.configuration),
            Table::Adapters => engines::adapters(self),
            Table::Engines => engines::engines(self),
            Table::Cells => engines::cells(self),
            Table::BackEnds => machines::back_ends(self),
            Table::Daemons => daemons::daemons(self),
            Table::Configuration => daemons::configuration(self),
            Table::Requests => requested::requests(self),
            Table::Decisions => requested::decisions(self),
        })
    }
}
