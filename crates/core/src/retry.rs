//! Retry decisions for failed attempts.
//!
//! A retry must be safe to run, able to finish before the deadline, and within the retry budget, so
//! that retries do not multiply the load of an overloaded system. It is safe if the service allows
//! a request to run more than once, or if no earlier attempt may have run.

mod attempt;
mod budget;
mod policy;

pub use attempt::{AttemptFailure, AttemptOutcome, ExecutionRecord, RequestFacts};
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use policy::{GiveUpReason, RetryDecision, RetryPolicy, RetrySettings};
