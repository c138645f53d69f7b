//! Wire types of the protocols between ponddrift and the engines.

pub mod cache_events;
pub mod completions;
pub mod control;
pub mod headers;
pub mod load;
