//! Model engine: continuous batching over a cost model, with fenced orders, crashes and late signals.
//!
//! [`cost`], [`scheduler`], [`prefix_cache`], [`text`] and [`control`] are pure, for use without any
//! I/O. [`EngineHost`] is the running stand-in: it lives through crashes, each life with a larger
//! incarnation.

mod cache_events;
mod change;
mod completions;
pub mod control;
mod control_log;
pub mod cost;
mod execution;
mod host;
mod life;
mod load;
pub mod prefix_cache;
mod resume;
pub mod scheduler;
pub mod settings;
pub mod text;
mod transfer;

pub use control_log::{ControlCall, ControlEntry, ControlLog};
pub use host::{EngineAddresses, EngineHost};
pub use settings::{
    ComesBack, CrashOrder, CrashTime, EngineBehaviour, EngineCounters, EngineSettings, FreezeOrder,
};
pub use text::{expected_text, prompt_text};
pub use transfer::{KV_PATH, KvExport};
