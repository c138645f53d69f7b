//! What a simulated run leaves behind.

use ponddrift_core::roles::RoleSplit;
use ponddrift_core::{EngineRole, MachineId, Timestamp};

use super::request::Ending;

/// One change of role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeRecord {
    /// When it was decided.
    pub at: Timestamp,
    /// The engine.
    pub engine: MachineId,
    /// The role before; `None` for an engine that came back without one.
    pub from: Option<EngineRole>,
    /// The role after.
    pub to: EngineRole,
}

/// The fleet at one time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SeriesPoint {
    /// Seconds since the begin.
    pub at: f64,
    /// Prompt tokens a second that arrived since the last point.
    pub prompt_tokens: f64,
    /// Tokens to generate a second that arrived since the last point.
    pub output_tokens: f64,
    /// Engines that serve, by role.
    pub serving: RoleSplit,
    /// Engines that drain, change, or are lost.
    pub away: u32,
    /// Prompt tokens that wait in daemons and engines.
    pub waiting_prompt_tokens: u64,
    /// Sequences that are decoded.
    pub running: u64,
}

/// How one request went.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestRecord {
    /// How it ended; `None` when nothing was ever answered.
    pub ending: Option<Ending>,
    /// Milliseconds to the first token.
    pub first_token_ms: Option<f64>,
    /// Mean milliseconds between its tokens.
    pub token_interval_ms: Option<f64>,
    /// Whether it ran, or was answered, more often than it may.
    pub doubled: bool,
}

/// A whole run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RunRecord {
    /// By request, in the order of the trace.
    pub requests: Vec<RequestRecord>,
    /// Changes of roles.
    pub changes: Vec<ChangeRecord>,
    /// Seconds that engines drained and changed, added up.
    pub engine_seconds_away: f64,
    /// The fleet over time.
    pub series: Vec<SeriesPoint>,
}
