//! Admission of requests: limits, bounded queues, shedding.
//!
//! A request starts, waits in a bounded queue, or is refused. A refusal is given at once, says when to
//! come back, and is never held back.

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
pub use queue::{FairQueue, Queued};
pub use settings::{AdmissionSettings, DAEMON_WAIT_TARGET};
pub use share::{DemandReport, DemandShares, TenantDemand};
pub use token_bucket::TokenBucket;
