//! Decision logic for a fleet whose configuration and directory are kept in a store.
//!
//! All modules are free of I/O and take the time as an argument.
//!
//! State of the fleet:
//! - [`configuration`]: routes, services, tenants and limits set by the operators
//! - [`directory`]: back ends as they describe themselves in the store
//! - [`announcements`], [`rate_limits`]: what back ends announce in their answers
//! - [`health`]: what the results of requests show about back ends
//! - [`topology`]: which daemons talk to each other
//! - [`followers`], [`distribution`]: how daemons share the work of reading the store
//! - [`cross_zone_pacer`]: how often digests are sent to other zones
//! - [`revision`]: revisions of the store
//! - [`fleet_time`]: time of day that the daemons agree on
//!
//! Decisions on requests:
//! - [`routes`], [`tenants`]: route and tenant of a request
//! - [`prompt`]: contents of a prompt
//! - [`placement`], [`stages`]: choice of back ends, and which engines process prompts
//! - [`budget`]: bounds on retries
//! - [`events`]: splitting streams into complete events
//! - [`fingerprint`], [`quarantine`]: recognizing and blocking requests that crash engines
//!
//! Decisions on the whole fleet:
//! - [`capacity`]: number of engines
//! - [`usage`]: requests of each tenant in each reporting window
//! - [`leadership`]: when the leader may act

pub mod announcements;
pub mod budget;
pub mod capacity;
pub mod configuration;
pub mod cross_zone_pacer;
pub mod directory;
pub mod distribution;
pub mod events;
pub mod fingerprint;
pub mod fleet_time;
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
pub mod usage;
