//! The stand-ins' language: a token is a whitespace-separated word, and the answer follows from the prompt.

pub use ponddrift_engine::prompt::{count_tokens, prompt_text};
use ponddrift_engine::wire::completions::CompletionRequest;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens generated when a request names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 16;
/// Bits of the hash that a word shows.
const WORD_BITS: u32 = 24;

/// Tokens that a request generates: always as many as it allows, at least one.
#[must_use]
pub fn output_tokens(request: &CompletionRequest) -> u32 {
    request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
}

/// Identity of a prompt, from which its answer follows.
#[must_use]
pub fn prompt_digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Word number `index` (from 0) of the answer, with the space before it.
#[must_use]
pub fn piece(digest: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), digest);
    let space = if index == 0 { "" } else { " " };
    format!("{space}{:06x}", hash >> (u64::BITS - WORD_BITS))
}

/// The first `tokens` words of the answer to a prompt with this digest.
#[must_use]
pub fn text_of_digest(digest: u64, tokens: u32) -> String {
    (0..tokens).map(|index| piece(digest, index)).collect()
}

/// The whole answer to `prompt`, so that a caller can check that its answer is whole and its own.
#[must_use]
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    text_of_digest(prompt_digest(prompt), max_tokens.max(1))
}
