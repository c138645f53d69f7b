//! Load digests of engines, used for gossip between daemons and for routing.

mod table;

pub use table::{AgedDigest, KnownLoad, LoadTable, LoadTableSettings};

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{EngineRole, Incarnation, MachineId};

/// Load of an engine at one poll, kept small because it is gossiped.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
pub struct LoadDigest {
    /// The engine.
    pub engine: MachineId,
    /// The engine's incarnation at the poll.
    pub incarnation: Incarnation,
    /// Number of the poll within this incarnation; a digest with a larger number is newer.
    pub sequence: u32,
    /// Its role at the poll; `None` while it changes or if no model is loaded.
    pub role: Option<EngineRole>,
    /// Requests waiting for prefill.
    pub waiting: u16,
    /// Sequences being decoded.
    pub running: u16,
    /// Prompt tokens waiting for prefill, in units of [`PROMPT_BLOCK_TOKENS`].
    pub waiting_prompt_blocks: u16,
    /// KV cache usage, in thousandths of its size.
    pub cache_used_permille: u16,
}

/// Tokens per unit of [`LoadDigest::waiting_prompt_blocks`].
pub const PROMPT_BLOCK_TOKENS: u64 = 64;
