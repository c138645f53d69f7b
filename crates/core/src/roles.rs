//! Plans the role of each engine: prefill, decode or mixed.
//!
//! [`RolePlanner`] forecasts demand from samples and compares role splits by the share of requests
//! that they are expected to serve within the latency targets. It changes roles only if the gain
//! outweighs the time during which the changed engines are unavailable. Planning is deterministic
//! and performs no I/O.

mod candidates;
mod capacity;
mod demand;
mod measured;
mod plan;
mod planner;
mod sample;
mod selection;
mod settings;
mod split;
mod trend;
mod value;

pub use capacity::{EngineCapacity, LatencyTargets, TokenDemand};
pub use demand::{DemandForecast, DemandHistory, LevelForecast, PastLevel};
pub use plan::{
    KeepReason, ModelAssessment, Plan, RoleDecision, RoleReason, RoleTarget, SplitComparison,
};
pub use planner::RolePlanner;
pub use sample::{DemandSample, EngineAvailability, EngineSample, EngineState, LevelDemand};
pub use settings::{PlannerProfile, PlannerSettings};
pub use split::RoleSplit;
pub use trend::{Trend, TrendPoint, estimate_trend};
pub use value::ChangeCost;
