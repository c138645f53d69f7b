//! What decides about roles in a simulated run.

mod planner;
mod schedule;
mod threshold;

use ponddrift_core::roles::{DemandSample, EngineSample, EngineState};
use ponddrift_core::{EngineRole, MachineId, Timestamp};

pub use planner::PlannerController;
pub use schedule::{Schedule, ScheduleController, SchedulePoint};
pub use threshold::ThresholdController;

/// An engine that shall change its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleOrder {
    /// The engine.
    pub engine: MachineId,
    /// Its new role.
    pub to: EngineRole,
}

/// Decides about roles at fixed intervals.
pub trait RoleController {
    /// Takes the demand and the engines' work of a window.
    fn observe(&mut self, now: Timestamp, demand: &DemandSample, engines: &[EngineSample]);

    /// The changes to begin now.
    fn plan(&mut self, now: Timestamp, engines: &[EngineState]) -> Vec<RoleOrder>;
}
