//! Operator queries to the peer actor.

use std::collections::BTreeMap;

use ponddrift_core::drain::DrainMark;
use ponddrift_core::engine_facts::EngineFacts;
use ponddrift_core::load::KnownLoad;
use ponddrift_core::membership::{Contact, MemberRecord};
use ponddrift_core::{CellName, MachineId};
use xtra::{Context, Handler};

use super::{KnownController, PeerActor};

/// Returns a [`FleetView`].
pub(crate) struct ViewFleet;

/// Consistent snapshot of the fleet as seen by this daemon.
#[derive(Debug, Clone)]
pub(crate) struct FleetView {
    /// All known daemons, including those that are dead or have left. This daemon comes first.
    pub(crate) members: Vec<MemberRecord>,
    pub(crate) contact: Contact,
    pub(crate) marks: Vec<DrainMark>,
    pub(crate) facts: BTreeMap<MachineId, EngineFacts>,
    pub(crate) load: BTreeMap<MachineId, KnownLoad>,
    pub(crate) controllers: BTreeMap<CellName, KnownController>,
}

impl FleetView {
    /// Returns the live daemons, including this one.
    pub(crate) fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(|record| record.state.is_live())
    }
}

impl Handler<ViewFleet> for PeerActor {
    type Return = FleetView;

    async fn handle(&mut self, _message: ViewFleet, _context: &mut Context<Self>) -> FleetView {
        let now = self.now();
        let own = self.membership.own();
        let others = self.membership.others();
        let facts = self.facts.iter().cloned();
        let load = self.load.iter(now);
        FleetView {
            members: std::iter::once(own).chain(others).cloned().collect(),
            contact: self.membership.contact(now),
            marks: self.drains.all(now).collect(),
            facts: facts.map(|facts| (facts.engine, facts)).collect(),
            load: load.map(|known| (known.digest.engine, known)).collect(),
            controllers: self.deps.controllers.borrow().clone(),
        }
    }
}
