//! The daemon: gateway for callers, operator endpoint, peer and, by election, controller of a cell.
//!
//! Decisions live in `ponddrift-core`; the xtra actors here are thin shells around them.

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
