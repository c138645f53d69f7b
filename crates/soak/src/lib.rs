//! Randomized fault soak: real daemons as processes, stand-ins of the platform around them, faults from outside.
//!
//! A run draws its faults from a seed, drives load all the while, and checks afterwards what must always hold.
//! The same seed draws the same faults; real time and scheduling differ from run to run.

pub mod checks;
pub mod crashable;
pub mod daemons;
pub mod faults;
pub mod limits;
pub mod load;
pub mod platform;
pub mod restorer;
pub mod run;

pub use run::{Report, SoakSettings, run};
