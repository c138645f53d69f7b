//! Admission control: rate and concurrency limits, a bounded fair queue and load shedding.
//!
//! Each arriving request starts, waits in the queue or is refused. A refusal is returned
//! immediately and tells the caller when to retry.

mod capacity;
mod controller;
mod event;
mod limits;
mod queue;
mod settings;
mod share;
mod token_bucket;

pub use capacity::CapacityLimiter;
pub use controller::Admission;
pub use event::{
    AdmissionAction, AdmissionEvent, AdmissionRefusal, AdmissionRequest, LimitKind, LimitScope,
};
pub use limits::Limits;
pub use queue::{FairQueue, QueuedRequest};
pub use settings::{AdmissionSettings, DAEMON_WAIT_TARGET};
pub use share::{DemandReport, DemandShares, TenantDemand};
pub use token_bucket::TokenBucket;
