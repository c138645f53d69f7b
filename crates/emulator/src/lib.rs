//! Stand-ins of the outside systems, and the kit around them.
//!
//! Every stand-in is a library over [`ponddrift_runtime::Runtime`], so the same code runs as a process
//! (subcommands of `ponddrift-emulator`, see [`command`]) and inside a simulated host on a paused clock.

pub mod command;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fault_proxy;
pub mod host;
pub mod load;
pub mod overhead;
pub mod platform;
pub mod records;
pub mod run_log;
pub mod server;
