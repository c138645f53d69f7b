//! Describes the prompt of a request.

use std::sync::Arc;

/// One part of a prompt. Requests that begin with the same parts can share the KV cache of these
/// parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: Arc<str>,
    /// Tokens of the part.
    pub tokens: u32,
}

/// A prompt as described by the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub input_tokens: u32,
    /// Maximum number of generated tokens.
    pub output_tokens: u32,
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Hash of the shared prefix, which consists of all parts but the last. The last shared part
    /// identifies it, because engines reuse a part only together with all parts before it.
    #[must_use]
    pub fn shared_prefix(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| prefix_hash(&part.id))
    }

    /// Tokens of the shared prefix.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Tokens after the shared prefix.
    #[must_use]
    pub fn own_tokens(&self) -> u32 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }

    /// All parts but the last, in order.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }
}

/// Hash of the prefix that ends with this part.
#[must_use]
pub fn prefix_hash(part: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(part.as_bytes())
}
