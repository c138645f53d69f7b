//! Decision logic of a fleet.
//!
//! Daemons accept requests from callers and send them to back ends, which answer them. Back ends
//! that run models are called engines. The configuration and the directory of back ends are kept in
//! a store that all daemons share; daemons send each other digests of what they observe.
//!
//! All modules are free of I/O and take the time as an argument.
//!
//! State of the fleet:
//! - [`configuration`]: routes, services, tenants and limits set by the operators
//! - [`directory`]: back ends as they describe themselves in the store
//! - [`announcements`]: whether back ends accept requests, according to their answers
//! - [`rate_limits`]: request rates that back ends allow, according to their answers
//! - [`health`]: ejection of back ends whose requests fail, and their return on trial
//! - [`profiles`]: how fast each back end works compared with the others of its service
//! - [`topology`]: to which daemons a daemon sends its digests, and which daemons follow the store
//! - [`followers`]: whether a daemon can rely on neighbours that follow the store
//! - [`distribution`]: from which daemons a daemon reads the complete state of the store
//! - [`cross_zone_pacer`]: how often digests are sent to other zones
//! - [`revision`]: order of the store's changes, also after a restore from an older copy
//! - [`fleet_time`]: time of day that most daemons agree on
//! - [`paths`], [`relays`]: cut paths to back ends, and the peers through which they are reached
//!
//! Contents of requests and responses:
//! - [`prompt`]: size and parts of a prompt, as described by the caller
//! - [`fingerprint`]: recognition of a caller's retries by their content
//! - [`events`]: splitting of response streams into complete events
//!
//! Decisions on single requests:
//! - [`routes`], [`tenants`]: route and tenant of a request
//! - [`placement`]: choice of back ends
//! - [`budget`]: retry budget, which limits retries across all daemons
//! - [`quarantine`]: refusal of requests that crash engines
//!
//! Decisions on the whole fleet:
//! - [`stages`]: how many engines of a service run prefill and how many run decode
//! - [`capacity`]: number of on-demand and spot engines of a service in each zone
//! - [`usage`]: requests of each tenant in each reporting window
//! - [`leadership`]: when the leader, which acts for all daemons, may act

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
pub mod paths;
pub mod placement;
pub mod profiles;
pub mod prompt;
pub mod quarantine;
pub mod rate_limits;
pub mod relays;
pub mod revision;
pub mod routes;
pub mod stages;
pub mod store_doubt;
pub mod stream_origins;
pub mod tenants;
pub mod topology;
pub mod usage;
pub mod version_history;
pub mod versions;
