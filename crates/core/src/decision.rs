//! Records of decisions with their reasons, for operators.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// Kind of decision.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was placed on a back end.
    Placement,
    /// A request was refused.
    Refusal,
    /// An engine's role was changed or deliberately kept.
    Role,
    /// An engine was ordered to load a model, adapter or version.
    Version,
    /// A back end was drained or taken out of service.
    Drain,
    /// A controller was elected or stepped down.
    Authority,
    /// A configuration change was accepted or refused.
    Configuration,
}

impl DecisionKind {
    /// Name of the kind in operator queries.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Placement => "placement",
            Self::Refusal => "refusal",
            Self::Role => "role",
            Self::Version => "version",
            Self::Drain => "drain",
            Self::Authority => "authority",
            Self::Configuration => "configuration",
        }
    }
}

/// One recorded decision. Modules use typed reasons; they are rendered to text only in this record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct DecisionRecord {
    /// Time of the decision, on the recording daemon's clock.
    pub at: Timestamp,
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Object of the decision, such as a request id, an engine or a service.
    pub subject: String,
    /// The chosen outcome.
    pub outcome: String,
    /// Reason for the outcome.
    pub reason: String,
}
