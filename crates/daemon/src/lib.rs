//! The daemon: HTTP gateway, operator endpoint, cluster member and, if elected, controller of a
//! cell.
//!
//! The decision logic is in `ponddrift-core`; the xtra actors in this crate perform its I/O.

mod actors;
mod back_ends;
mod configuration;
pub mod daemon;
mod decisions;
mod fleet;
mod gateway;
pub mod logging;
mod metrics;
pub mod operator;
mod peer;
mod polling;
mod requests;
pub mod settings;

pub use daemon::{Daemon, DaemonAddresses, StartError};
