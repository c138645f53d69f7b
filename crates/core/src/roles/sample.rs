//! Input of the planner.

use std::time::Duration;

use crate::{EngineRole, MachineId, ModelName, Timestamp};

/// Demand of one priority level within a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LevelDemand {
    /// Priority level; 0 is served first.
    pub level: u8,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Prompt tokens of these requests.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines found in their prefix caches.
    pub cached_prompt_tokens: u64,
    /// Expected output tokens of these requests.
    pub output_tokens: u64,
}

impl LevelDemand {
    /// Prompt tokens that require prefill.
    #[must_use]
    pub const fn uncached_prompt_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.cached_prompt_tokens)
    }
}

/// Demand for one model within a window, summed over all daemons. Includes refused requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandSample {
    /// Requested model.
    pub model: ModelName,
    /// Length of the window, which ends at the time of the observation.
    pub window: Duration,
    /// Demand by priority level.
    pub levels: Vec<LevelDemand>,
    /// Requests waiting in daemons at the end of the window.
    pub waiting_requests: u64,
    /// Prompt tokens waiting in daemons and engines at the end of the window.
    pub waiting_prompt_tokens: u64,
}

/// Work of one engine within a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSample {
    /// Engine concerned.
    pub engine: MachineId,
    /// Loaded model.
    pub model: ModelName,
    /// Role of the engine, which must not change within the window.
    pub role: EngineRole,
    /// Length of the window.
    pub window: Duration,
    /// Prompt tokens processed within the window.
    pub prompt_tokens: u64,
    /// Output tokens generated within the window.
    pub output_tokens: u64,
    /// Smallest number of requests waiting for prefill at any time within the window.
    pub waiting: u32,
    /// Number of sequences in decode at the end of the window.
    pub running: u32,
}

/// Whether an engine is available for planning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAvailability {
    /// The engine serves in its role.
    Serving,
    /// The engine is draining or changing and will serve in another role.
    Changing {
        /// Role after the change.
        to: EngineRole,
    },
    /// The engine is available and has no role yet.
    Unassigned,
    /// The engine is unreachable or leaving.
    Lost,
}

/// State of an engine as known to the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Id of the engine.
    pub id: MachineId,
    /// Model that is loaded or being loaded.
    pub model: ModelName,
    /// Current role, if any.
    pub role: Option<EngineRole>,
    /// Time since which the engine has its role.
    pub since: Timestamp,
    /// Role to which an operator pinned the engine.
    pub pinned: Option<EngineRole>,
    /// Whether the engine is available for planning.
    pub availability: EngineAvailability,
    /// Waiting and running sequences; an engine with fewer drains faster.
    pub sequences: u32,
}
