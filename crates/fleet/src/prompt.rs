//! What a request tells of its prompt.

use std::sync::Arc;

/// One part of a prompt; requests that begin with the same parts share their KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: Arc<str>,
    /// Its tokens.
    pub tokens: u32,
}

/// A prompt as the caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub input_tokens: u32,
    /// Most tokens that are generated.
    pub output_tokens: u32,
    /// Parts in order; the last is the request's or its session's own.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Identity of the prompt's shared head, all its parts but the last: that of the last among them. Engines keep a
    /// part for use only with all parts before it.
    #[must_use]
    pub fn shared_prefix(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| prefix_hash(&part.id))
    }

    /// Tokens of the shared head.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Tokens that belong to this request alone.
    #[must_use]
    pub fn own_tokens(&self) -> u32 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }

    fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }
}

/// Identity of the head that ends with this part.
#[must_use]
pub fn prefix_hash(part: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(part.as_bytes())
}
