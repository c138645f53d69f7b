//! KV cache events of an engine, streamed as server-sent events on `GET /v1/cache_events`. Events
//! may be delayed or lost.

use serde::{Deserialize, Serialize};

/// Path of the event stream.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache_events";
/// Number of tokens in a block of the prefix cache, counted in whitespace-separated words.
pub const BLOCK_TOKENS: usize = 16;

/// One change of a prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number within the engine's incarnation; a jump means that events were lost.
    pub sequence: u64,
    /// The change.
    #[serde(flatten)]
    pub change: CacheChange,
}

/// Kind of a change of a prefix cache. A block is identified by the hash of the prompt up to the
/// end of the block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were added.
    Stored {
        /// Hashes of the blocks, in prompt order.
        blocks: Vec<u64>,
    },
    /// Blocks were evicted.
    Removed {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// The whole cache was cleared.
    Cleared,
}
