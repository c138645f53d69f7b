//! What the planner is told.

use std::time::Duration;

use crate::{EngineRole, MachineId, ModelName, Timestamp};

/// Demand of one priority level in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LevelDemand {
    /// Level of the priority; 0 is served first.
    pub level: u8,
    /// Requests that arrived.
    pub requests: u64,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
    /// Those of them that engines found in their prefix caches.
    pub cached_prompt_tokens: u64,
    /// Tokens that they are expected to generate.
    pub output_tokens: u64,
}

impl LevelDemand {
    /// Tokens that have to be read.
    #[must_use]
    pub const fn uncached_prompt_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.cached_prompt_tokens)
    }
}

/// Demand for one model in a window, summed over all daemons. Refused requests count too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandSample {
    /// The model.
    pub model: ModelName,
    /// Length of the window; it ends at the time of the observation.
    pub window: Duration,
    /// What arrived, by priority.
    pub levels: Vec<LevelDemand>,
    /// Requests that wait in the daemons at the end of the window.
    pub waiting_requests: u64,
    /// Prompt tokens that wait in daemons and engines at the end of the window.
    pub waiting_prompt_tokens: u64,
}

/// Work of one engine in a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSample {
    /// The engine.
    pub engine: MachineId,
    /// The model it holds.
    pub model: ModelName,
    /// Its role during the whole window.
    pub role: EngineRole,
    /// Length of the window.
    pub window: Duration,
    /// Prompt tokens read in the window.
    pub prompt_tokens: u64,
    /// Tokens generated in the window.
    pub output_tokens: u64,
    /// Requests that waited for their prefill throughout the window (the fewest seen).
    pub waiting: u32,
    /// Sequences decoded at the end of the window.
    pub running: u32,
}

/// Whether an engine can be planned with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAvailability {
    /// It serves in its role.
    Serving,
    /// It drains or changes, and will serve in this role.
    Changing {
        /// The role it will have.
        to: EngineRole,
    },
    /// It is there and has no role yet.
    Unassigned,
    /// It is lost, or leaving.
    Lost,
}

/// An engine as the controller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The engine.
    pub id: MachineId,
    /// The model it holds or will hold.
    pub model: ModelName,
    /// Its role now; `None` without one.
    pub role: Option<EngineRole>,
    /// Since when it has this role.
    pub since: Timestamp,
    /// The role that an operator pinned it to.
    pub pinned: Option<EngineRole>,
    /// Whether it can be planned with.
    pub availability: EngineAvailability,
    /// Sequences on it, waiting and running: fewer drain faster.
    pub sequences: u32,
}
