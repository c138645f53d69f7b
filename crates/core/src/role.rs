//! Engine roles.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Phase of a completion that an engine serves.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prefills prompts and hands over the KV cache.
    Prefill,
    /// Receives a KV cache and generates tokens.
    Decode,
    /// Serves both phases.
    Mixed,
}

impl EngineRole {
    /// Name of the role in operator queries.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Mixed => "mixed",
        }
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
