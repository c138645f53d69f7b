//! The daemon that runs on each machine of a platform with a store: settings, start, graceful stop.
//!
//! This crate only connects the parts: `ponddrift-fleet` and `ponddrift-serving` make the
//! decisions, `ponddrift-platform-adapter` holds the platform's names and formats.

pub mod daemon;
pub mod logging;
mod process;
pub mod program;
pub mod settings;

pub use daemon::Daemon;
pub use settings::Settings;
