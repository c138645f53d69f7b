//! The request pipeline of a fleet whose configuration and back-end directory are kept in a store.
//!
//! [`pipeline`] accepts requests from callers, forwards them to back ends and returns the answers.
//! [`listeners`] opens the ports for callers and for status checks. [`connections`] pools the
//! connections to back ends, and [`back_end_paths`] opens them, through a peer where this daemon's own
//! path is cut.
//!
//! [`fleet_state`] caches the contents of the store and [`follow`] keeps the cache up to date.
//! [`peers`] publishes this daemon's own work to other daemons and relays newer state.
//!
//! [`leader`] elects the daemon that runs the fleet-wide tasks: [`orders`] changes the stages of
//! engines, [`capacity`] adjusts their number, and [`usage`] reports the usage of tenants.
//!
//! An adapter implements the protocols of callers, back ends, the store and the provider through
//! the traits in [`dialect`], [`store`] and [`provider`].

pub mod back_end_index;
pub mod back_end_paths;
mod back_end_stream;
pub mod capacity;
mod changed;
pub mod connections;
pub mod dialect;
pub mod fleet_state;
pub mod follow;
mod full_read;
pub mod leader;
pub mod listeners;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod pipeline;
pub mod provider;
pub mod quarantine;
pub mod request_trace;
pub mod store;
pub mod time;
pub mod usage;
pub mod version_recorder;
