//! Settings of a daemon: a TOML file, then environment variables, then flags.
//!
//! Everything is checked before anything starts, and all faults are reported at once.

mod load;
mod model;

pub use load::{ENVIRONMENT_PREFIX, KeyAssignment, load, template};
pub use model::{
    AdmissionSettings, ControlSettings, DaemonSettings, GatewaySettings, ListenSettings,
    LoadSettings, MembershipSettings, PlannerSettings, PlatformSettings, Profile, RetrySettings,
    Settings,
};
pub use ponddrift_settings::{Fault, Faults};
