//! Settings of a daemon: a TOML file, then environment variables, then flags.
//!
//! All settings are validated before the daemon starts, and all faults are reported together.

mod load;
mod model;

pub use load::{ENVIRONMENT_PREFIX, KeyAssignment, load, template};
pub use model::{
    AdmissionSettings, ControlSettings, DaemonSettings, GatewaySettings, ListenSettings,
    LoadSettings, MembershipSettings, PlannerSettings, PlatformSettings, Profile, RetrySettings,
    Settings,
};
pub use ponddrift_settings::{Fault, Faults};
