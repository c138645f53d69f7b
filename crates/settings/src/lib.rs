//! Checked settings: typed values out of a TOML table, with all faults reported at once.

mod fault;
mod reader;

pub use fault::{Fault, Faults};
pub use reader::Reader;
