//! The request pipeline of a fleet whose configuration and directory lie in a store.
//!
//! [`pipeline`] takes requests of callers and brings back answers; [`fleet_state`] holds what the store told;
//! [`follow`] keeps it new; [`peers`] tells other daemons about own work and hands on newer state;
//! [`authority`] and [`orders`] change the stages of engines; [`connections`] pools connections to back ends. How callers, back ends and the store speak comes from an
//! adapter through [`dialect`] and [`store`].

pub mod authority;
pub mod back_end_index;
pub mod connections;
pub mod dialect;
pub mod fleet_state;
pub mod follow;
pub mod front;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod pipeline;
pub mod request_trace;
pub mod store;
