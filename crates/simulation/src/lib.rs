//! Deterministic simulation of daemons and emulated back ends on a virtual clock and network.
//!
//! A host runs production code that receives its [`ponddrift_runtime::Runtime`] as a parameter.
//! Each host has its own `LocalSet` on tokio's paused clock, so that its tasks can be frozen,
//! killed and restarted together. [`Simulation`] owns the run, [`SimulationHandle`] injects faults,
//! and [`Trace`] records the events. The same seed always produces the same trace.

mod clock;
mod fault_schedule;
mod fault_text;
mod handle;
mod host;
mod network;
mod settings;
mod simulation;
mod spawner;
mod trace;
mod world;

pub use fault_schedule::{Fault, FaultPlan, FaultSchedule, FaultWeights, ScheduledFault};
pub use fault_text::FaultTextError;
pub use handle::{SimulationHandle, Tracer};
pub use host::{HostId, HostSpec};
pub use settings::{DatagramFaults, LatencySettings, SimulationSettings};
pub use simulation::{LimitReached, Simulation};
pub use trace::{DropReason, Trace, TraceEntry, TraceEvent};
