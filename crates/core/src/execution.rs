//! Whether an unanswered request may have run.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Execution status of a failed request, stated in every refusal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No back end started to run the request.
    NotStarted,
    /// A back end may have run all or part of the request.
    Unknown,
}
