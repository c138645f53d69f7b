//! Retry decisions for failed attempts.
//!
//! A retry must be allowed by the service, able to finish before the deadline, and within the retry
//! budget, so that retries do not multiply the load of an overloaded system.

mod attempt;
mod budget;
mod policy;

pub use attempt::{AttemptFailure, AttemptOutcome, ExecutionRecord, RequestFacts};
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use policy::{GiveUpReason, RetryDecision, RetryPolicy, RetrySettings};
