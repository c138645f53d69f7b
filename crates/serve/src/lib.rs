//! The daemon that runs on each machine of a platform with a store: settings, start, planned stop.
//!
//! It only wires: the pipeline decides in `ponddrift-fleet` and `ponddrift-serving`, the platform's words are in
//! `ponddrift-platform-adapter`.

pub mod daemon;
pub mod logging;
mod process;
pub mod settings;

pub use daemon::Daemon;
pub use settings::Settings;
