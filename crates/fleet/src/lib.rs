//! Decisions about a fleet whose configuration and directory lie in a store.
//!
//! Pure: everything takes the time as an argument, nothing does I/O. [`configuration`] is what the
//! operators want, [`directory`] what back ends record of themselves, [`announcements`] and [`rate_limits`] what they say in
//! answers, [`health`] what
//! requests found out,
//! [`placement`] chooses, [`budget`] bounds repeats, [`events`] cuts streams into whole events,
//! [`stages`] plans which engines read prompts, [`capacity`] how many engines there are, [`tenants`] resolves
//! whose request it is, [`fingerprint`] recognizes one that comes again, [`quarantine`] decides which is run no
//! more since engines end under it, [`usage`] counts them, [`leadership`] decides when the leader may act, [`fleet_time`]
//! agrees on the time of day, [`topology`] decides which daemons talk to each other, [`distribution`] along which of them the
//! state of the store spreads.

pub mod announcements;
pub mod budget;
pub mod capacity;
pub mod configuration;
pub mod directory;
pub mod distribution;
pub mod events;
pub mod cross_zone_pacer;
pub mod fingerprint;
pub mod followers;
pub mod health;
pub mod leadership;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod rate_limits;
pub mod revision;
pub mod routes;
pub mod stages;
pub mod tenants;
pub mod topology;
pub mod fleet_time;
pub mod usage;
