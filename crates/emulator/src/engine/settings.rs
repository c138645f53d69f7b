//! Settings, behaviour at run time, counters and injected crashes of an engine.

use std::net::SocketAddr;

use ponddrift_core::{EngineRole, ModelName};
use ponddrift_engine::wire::control::LoadedModel;
use serde::{Deserialize, Serialize};

use super::cost::CostModel;

/// What an engine starts with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// First role.
    pub role: Option<EngineRole>,
    /// First model.
    pub model: Option<LoadedModel>,
    /// Models it can hold; empty: any.
    pub models: Vec<ModelName>,
    /// What work costs.
    pub cost: CostModel,
    /// Most requests that wait.
    pub queue_limit: usize,
    /// Time a cut stream may be resumed before its request is cancelled, in milliseconds.
    pub resume_grace_ms: u64,
    /// Time an ended stream is kept for resuming, in milliseconds.
    pub stream_keep_ms: u64,
    /// Time an exported KV cache is kept, in milliseconds.
    pub export_keep_ms: u64,
    /// Where weights are fetched; absent: they are here.
    pub weight_store: Option<SocketAddr>,
    /// First incarnation.
    pub incarnation: u64,
    /// What can be changed at run time.
    pub behaviour: EngineBehaviour,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            role: None,
            model: None,
            models: Vec::new(),
            cost: CostModel::default(),
            queue_limit: 256,
            resume_grace_ms: 2_000,
            stream_keep_ms: 5_000,
            export_keep_ms: 30_000,
            weight_store: None,
            incarnation: 1,
            behaviour: EngineBehaviour::default(),
        }
    }
}

/// What can be changed at run time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehaviour {
    /// Age of the metrics shown, in milliseconds.
    pub metrics_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub cache_event_delay_ms: u64,
    /// Share of cache events that are lost, 0 to 1; their sequence numbers are used up.
    pub cache_event_gap: f64,
    /// Factor on the time of every step; 1 is healthy.
    pub slowness: f64,
}

impl Default for EngineBehaviour {
    fn default() -> Self {
        Self {
            metrics_lag_ms: 0,
            cache_event_delay_ms: 0,
            cache_event_gap: 0.0,
            slowness: 1.0,
        }
    }
}

/// Counters of an engine, over all its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests that ran when a change began, and were cut by it.
    pub cut_by_change: u64,
    /// Requests that waited when a change began, and were refused as not run.
    pub refused_by_change: u64,
    /// Requests that ran when the engine crashed.
    pub cut_by_crash: u64,
    /// Requests that waited when the engine crashed.
    pub lost_by_crash: u64,
    /// Requests that were cancelled by their caller.
    pub cancelled: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Changes begun.
    pub changes_begun: u64,
    /// Changes that reached their target.
    pub changes_done: u64,
    /// Orders and claims refused.
    pub control_refused: u64,
    /// KV caches exported.
    pub exported: u64,
    /// KV caches imported.
    pub imported: u64,
    /// KV imports that failed.
    pub import_failed: u64,
    /// Crashes.
    pub crashes: u64,
}

/// When an injected crash comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashTime {
    /// At once.
    #[default]
    Now,
    /// In the middle of the next change.
    InNextChange,
}

/// State after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ComesBack {
    /// Without role and model.
    #[default]
    Empty,
    /// As before the change.
    Old,
    /// With the new role, but still the old model.
    NewRoleOldModel,
    /// As the change wanted it.
    New,
    /// Not at all.
    Never,
}

/// An injected crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashOrder {
    /// When.
    pub time: CrashTime,
    /// Time until the next life, in milliseconds.
    pub down_ms: u64,
    /// State of the next life.
    pub comes_back: ComesBack,
}

impl Default for CrashOrder {
    fn default() -> Self {
        Self {
            time: CrashTime::Now,
            down_ms: 1_000,
            comes_back: ComesBack::Empty,
        }
    }
}

/// An injected freeze: sockets stay open, nothing moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FreezeOrder {
    /// How long, in milliseconds.
    pub duration_ms: u64,
}
