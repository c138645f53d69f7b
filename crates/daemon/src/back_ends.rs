//! Keeps routing informed of the available back ends and the models they have loaded.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use ponddrift_core::MachineId;
use ponddrift_core::drain::DrainTable;
use ponddrift_core::engine_facts::{EngineFacts, FactsTable};
use ponddrift_core::machine::{Machine, MachineKind, MachineList};
use ponddrift_core::routing::{BackEndKind, BackEndView, EngineView, RoutingEvent};
use xtra::Address;

use crate::actors::routing::{Observe, RoutingActor};
use crate::actors::tell;

/// Back ends derived from the machine list, the engine facts and the drain marks.
pub(crate) struct BackEndDirectory {
    routing: Address<RoutingActor>,
    published: IndexMap<MachineId, BackEndView>,
    is_stale: bool,
}

impl BackEndDirectory {
    pub(crate) fn new(routing: Address<RoutingActor>) -> Self {
        Self {
            routing,
            published: IndexMap::new(),
            is_stale: true,
        }
    }

    /// Makes the next `refresh` recompute the back ends.
    pub(crate) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Records a drain change that was already sent to routing.
    pub(crate) fn note_draining(&mut self, back_end: MachineId, draining: bool) {
        if let Some(view) = self.published.get_mut(&back_end) {
            view.draining = draining;
        }
    }

    /// Sends routing the changes since the last refresh.
    pub(crate) fn refresh(&mut self, list: &MachineList, facts: &FactsTable, drains: &DrainTable) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let listed: BTreeSet<MachineId> = list.machines.iter().map(|machine| machine.id).collect();
        let gone: Vec<MachineId> = self
            .published
            .keys()
            .copied()
            .filter(|id| !listed.contains(id))
            .collect();
        for id in gone {
            self.published.shift_remove(&id);
            tell(&self.routing, Observe(RoutingEvent::Removed(id)));
        }
        for machine in &list.machines {
            let draining = drains.draining(machine.id).is_some();
            let Some(view) = view(machine, facts.get(machine.id), draining) else {
                continue;
            };
            if self.published.get(&machine.id) != Some(&view) {
                self.published.insert(machine.id, view.clone());
                tell(&self.routing, Observe(RoutingEvent::BackEnd(view)));
            }
        }
    }
}

fn view(machine: &Machine, facts: Option<&EngineFacts>, draining: bool) -> Option<BackEndView> {
    let kind = match &machine.kind {
        MachineKind::Daemon => return None,
        MachineKind::Plain { pool } => BackEndKind::Plain { pool: pool.clone() },
        MachineKind::Engine { cell } => {
            let facts = facts?;
            let held = facts.model.as_ref();
            BackEndKind::Engine(EngineView {
                cell: cell.clone(),
                incarnation: facts.incarnation,
                role: facts.role,
                model: held.map(|held| held.model.clone()),
                version: held.map_or(0, |held| held.version),
                adapters: held.map(|held| held.adapters.clone()).unwrap_or_default(),
            })
        }
    };
    Some(BackEndView {
        id: machine.id,
        kind,
        zone: machine.zone.clone(),
        region: machine.region.clone(),
        draining,
    })
}
