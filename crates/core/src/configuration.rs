//! The operators' configuration: its records, their validation, and how changes are applied.
//!
//! See `docs/design/configuration.md` for the rationale.

mod apply;
mod change;
mod keys;
mod model;
mod outcome;
mod state;
mod validate;

pub use apply::{accept, apply};
pub use change::{ChangeStep, ConfigurationChange, ConfigurationItem, Delta, ItemKey, ItemWrite};
pub use keys::{
    CONFIGURATION_PREFIX, KeyError, KeyWrite, LATEST_CHANGE_KEY, LatestChange,
    MAXIMUM_RECENT_CHANGES, RecentChange, StoredEntry, StoredLatestChange, delta_from_writes,
    key_writes, snapshot_from_entries,
};
pub use model::{
    Configuration, ModelSettings, Pin, PrioritySettings, ServiceKind, ServiceSettings,
    TenantSettings,
};
pub use outcome::{ChangeOutcome, determine_outcome};
pub use state::{ConfigurationState, DeltaOutcome, PullAnswer, SnapshotOutcome};
pub use validate::{
    FleetFacts, MAXIMUM_DEADLINE_MS, MINIMUM_DEADLINE_MS, ValidationError, validate,
};
