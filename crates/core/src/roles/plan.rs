//! Result of planning: target roles and the reasons for them.

use serde::{Deserialize, Serialize};

use super::demand::DemandForecast;
use super::split::RoleSplit;
use crate::{EngineRole, MachineId, ModelName};

/// Target role of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleTarget {
    /// Engine concerned.
    pub engine: MachineId,
    /// Target role.
    pub role: EngineRole,
}

/// Comparison on which a role change was decided.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SplitComparison {
    /// Current split; engines that are changing count in their new roles.
    pub from: RoleSplit,
    /// Split after the change.
    pub to: RoleSplit,
    /// Expected share of requests within the horizon that meet the latency targets without the
    /// change.
    pub goodput_kept: f64,
    /// The same share with the change, including losses while engines are unavailable.
    pub goodput_changed: f64,
    /// Minimum gain for the change.
    pub gain_needed: f64,
    /// Forecast on which the comparison is based.
    pub demand: DemandForecast,
}

impl SplitComparison {
    /// Gain of the change, as a share of the requests within the horizon.
    #[must_use]
    pub fn gain(&self) -> f64 {
        self.goodput_changed - self.goodput_kept
    }
}

/// Why an engine was given a role.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum RoleReason {
    /// The new split serves more requests, including the losses while engines are unavailable.
    Gain(SplitComparison),
    /// An operator pinned the engine to the role.
    Pinned,
    /// The engine had no role.
    Unassigned {
        /// Split that includes this engine.
        split: RoleSplit,
    },
    /// Without the change, prefill or decode would have no serving engine.
    Unserved {
        /// Split without the change.
        split: RoleSplit,
    },
}

/// Role change of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RoleDecision {
    /// Engine concerned.
    pub engine: MachineId,
    /// Previous role; `None` if the engine had none.
    pub from: Option<EngineRole>,
    /// New role.
    pub to: EngineRole,
    /// Reason of the change.
    #[serde(flatten)]
    pub reason: RoleReason,
}

/// Why the roles of a model's engines were kept.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kept", rename_all = "snake_case")]
pub enum KeepReason {
    /// No other split gains enough.
    NoGain {
        /// Best alternative split.
        best: SplitComparison,
    },
    /// Another split gains enough, but more consecutive plans must confirm the change.
    Unconfirmed {
        /// Proposed split.
        best: SplitComparison,
        /// Number of consecutive plans that proposed the same direction of change.
        agreed: u32,
    },
    /// Too few demand samples are available.
    TooFewSamples {
        /// Number of available samples.
        samples: usize,
    },
    /// No other split can be reached now because of pins, dwell times, unavailable engines or too
    /// few engines.
    NoneReachable,
}

/// Planning result for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelAssessment {
    /// Model concerned.
    pub model: ModelName,
    /// Split of the model's engines once changes in progress complete.
    pub split: RoleSplit,
    /// Number of engines that are draining or changing now.
    pub away: u32,
    /// Why the roles were kept; `None` if the plan changes some.
    pub kept: Option<KeepReason>,
}

/// Target roles of all engines.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Target role of each engine, sorted by engine. Lost engines are omitted.
    pub targets: Vec<RoleTarget>,
    /// Role changes and their reasons.
    pub decisions: Vec<RoleDecision>,
    /// Planning result for each model.
    pub models: Vec<ModelAssessment>,
}
