//! The request pipeline of a fleet whose configuration and directory lie in a store.
//!
//! [`pipeline`] takes requests of callers and brings back answers; [`fleet_state`] holds what the store told;
//! [`follow`] keeps it new; [`peers`] tells other daemons about own work and hands on newer state;
//! [`leader`] elects the daemon that does what is done once for all: [`orders`] changes the stages of engines, [`capacity`]
//! their number, [`usage`] reports what tenants used; [`connections`] pools connections to back ends. How callers, back ends, the store and the
//! provider speak comes from an adapter through [`dialect`], [`store`] and [`provider`].

pub mod back_end_index;
pub mod capacity;
mod changed;
pub mod connections;
pub mod dialect;
pub mod fleet_state;
pub mod follow;
pub mod front;
mod full_read;
pub mod leader;
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
