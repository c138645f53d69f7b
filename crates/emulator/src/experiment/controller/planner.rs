//! The daemon's own planner.

use ponddrift_core::Timestamp;
use ponddrift_core::roles::{
    DemandSample, EngineSample, EngineState, PlannerSettings, RolePlanner,
};

use super::{RoleController, RoleOrder};

/// Carries out the plans of a [`RolePlanner`].
#[derive(Debug, Clone)]
pub struct PlannerController {
    planner: RolePlanner,
}

impl PlannerController {
    /// A fresh planner.
    #[must_use]
    pub const fn new(settings: PlannerSettings) -> Self {
        Self {
            planner: RolePlanner::new(settings),
        }
    }
}

impl RoleController for PlannerController {
    fn observe(&mut self, now: Timestamp, demand: &DemandSample, engines: &[EngineSample]) {
        self.planner.observe(now, demand);
        for engine in engines {
            self.planner.observe_engine(now, engine);
        }
    }

    fn plan(&mut self, now: Timestamp, engines: &[EngineState]) -> Vec<RoleOrder> {
        let plan = self.planner.plan(now, engines);
        let orders = plan.decisions.iter().map(|decision| RoleOrder {
            engine: decision.engine,
            to: decision.to,
        });
        orders.collect()
    }
}
