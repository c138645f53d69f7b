//! Properties of a prompt: its text, an estimated token count and the hashes of its prefix blocks.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::wire::cache_events::BLOCK_TOKENS;
use crate::wire::completions::CompletionRequest;

/// Returns the prompt of a request. For a chat it is the contents of the messages, joined by
/// newlines.
#[must_use]
pub fn prompt_text(request: &CompletionRequest) -> String {
    if let Some(messages) = &request.messages {
        let contents: Vec<&str> = messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        return contents.join("\n");
    }
    request.prompt.clone().unwrap_or_default()
}

/// Estimates the number of tokens in a text as the number of whitespace-separated words.
#[must_use]
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns the hashes of the complete blocks of a prompt in order, as used in cache events.
///
/// Block k's hash is xxh3-64 of its [`BLOCK_TOKENS`] words joined by single spaces, seeded with the
/// hash of block k - 1 (0 for the first).
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut previous = 0;
    words
        .chunks_exact(BLOCK_TOKENS)
        .map(|block| {
            previous = xxh3_64_with_seed(block.join(" ").as_bytes(), previous);
            previous
        })
        .collect()
}
