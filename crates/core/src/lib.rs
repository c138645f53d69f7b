//! Decision logic of ponddrift.
//!
//! This crate performs no I/O, reads no clock and uses only seeded random generators. Each part is
//! a state machine that takes `(now, event)` and returns typed actions, or a pure function. The
//! daemon, the simulator and the experiment tool share this code.

pub mod admission;
pub mod answer;
pub mod authority;
pub mod claims;
pub mod configuration;
pub mod decision;
pub mod demand;
pub mod drain;
pub mod engine_facts;
pub mod execution;
pub mod identifiers;
pub mod load;
pub mod machine;
pub mod membership;
pub mod model_assignment;
pub mod orders;
pub mod random;
pub mod retry;
pub mod role;
pub mod roles;
pub mod routing;
pub mod service_time;
mod sliding_count;
pub mod time;

pub use execution::Execution;
pub use identifiers::{
    AdapterName, CellName, ChangeId, FencingToken, Incarnation, MachineId, ModelName, OrderId,
    PoolName, PriorityName, RegionName, RequestId, Revision, ServiceName, TenantName, ZoneName,
};
pub use role::EngineRole;
pub use time::Timestamp;
