//! Key-value service: the etcd v3 JSON gateway over a store in memory, with faults.

mod faults;
mod service;
mod store;
mod watch;

pub use faults::{FaultControl, KeyValueFaults, LostAnswers, Outage, RateLimit};
pub use service::{CallCounts, KeyValueService};
pub use store::{KeyRange, Refusal, Store};
