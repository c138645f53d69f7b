//! Randomized soak test: runs real daemon processes against a simulated platform, injects faults
//! and checks the results.
//!
//! A run draws its faults from a seed, generates load throughout, and afterwards checks that no
//! invariant was violated. The same seed draws the same faults, but real time and scheduling differ
//! between runs.

pub mod checks;
pub mod cuts;
pub mod daemons;
pub mod faults;
pub mod faulty_network;
pub mod limits;
pub mod load;
pub mod platform;
pub mod restorer;
pub mod run;
pub mod silences;
pub mod task_group;

pub use run::{Report, SoakSettings, run};
