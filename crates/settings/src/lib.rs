//! Reads typed, validated settings from a TOML table and reports all faults together.

mod fault;
mod reader;

pub use fault::{Fault, Faults};
pub use reader::Reader;
