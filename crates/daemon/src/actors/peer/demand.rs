//! Reports the demand observed by this daemon to the controllers of the cells.

use std::collections::BTreeMap;

use ponddrift_core::demand::{ModelDemand, report_for_cell};
use ponddrift_core::machine::MachineKind;
use ponddrift_core::roles::LevelDemand;
use ponddrift_core::{CellName, ModelName};
use ponddrift_protocol::Part;

use super::PeerActor;

/// Number of engines, by cell.
type EngineCounts = BTreeMap<CellName, usize>;

impl PeerActor {
    /// Splits the demand among the cells in proportion to their engines and sends each controller
    /// its share.
    pub(super) fn report_demand(&mut self, demand: &BTreeMap<ModelName, Vec<LevelDemand>>) {
        let mut reports: BTreeMap<CellName, Vec<ModelDemand>> = BTreeMap::new();
        for (model, levels) in demand {
            let engine_counts = self.engine_counts(model);
            let total: usize = engine_counts.values().sum();
            for (cell, engines) in engine_counts {
                let report = report_for_cell(model, levels, engines, total);
                reports.entry(cell).or_default().push(report);
            }
        }
        for (cell, models) in reports {
            if let Some(target) = self.controller_address(&cell) {
                self.outbox.add(target, Part::Demand { cell, models });
            }
        }
    }

    /// Counts the engines that hold the model, by cell; counts all engines if none is known to hold
    /// it.
    fn engine_counts(&self, model: &ModelName) -> EngineCounts {
        let list = self.deps.fleet.borrow();
        let mut holding = EngineCounts::new();
        let mut all_engines = EngineCounts::new();
        for machine in &list.machines {
            let MachineKind::Engine { cell } = &machine.kind else {
                continue;
            };
            *all_engines.entry(cell.clone()).or_default() += 1;
            let facts = self.facts.get(machine.id);
            let held = facts.and_then(|facts| facts.model.as_ref());
            if held.is_some_and(|held| held.model == *model) {
                *holding.entry(cell.clone()).or_default() += 1;
            }
        }
        if holding.is_empty() {
            all_engines
        } else {
            holding
        }
    }
}
