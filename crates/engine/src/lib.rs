//! Wire types and clients for model engines and plain back ends.
//!
//! [`wire`] defines the wire types, which the stand-in engines use as well. [`completions`],
//! [`control`], [`load`] and [`cache_events`] contain the clients of the respective endpoints.

pub mod cache_events;
pub mod completions;
pub mod control;
pub mod error;
pub mod load;
pub mod prompt;
pub mod wire;

pub use error::CallError;
