//! Harness of the process tests. It starts the workspace's binaries on free loopback ports, sends
//! them signals, and kills them by process id when a test ends. Tests must wait for events, never
//! for a fixed time.

pub mod answers;
mod controls;
pub mod fleet;
pub mod operators;
pub mod process;
pub mod wait;

pub use fleet::{Fleet, FleetSize};
pub use process::{Process, binary};
pub use wait::{eventually, free_address};
