//! Back ends by the hash of their identity, as peers name them.

use std::collections::HashMap;
use std::sync::Arc;

use ponddrift_fleet::directory::BackEnd;
use xxhash_rust::xxh3::xxh3_64;

/// Back ends that this daemon knows, to be found by hash.
#[derive(Debug, Default)]
pub struct BackEndIndex(HashMap<u32, Arc<BackEnd>>);

impl BackEndIndex {
    /// An index of these back ends.
    #[must_use]
    pub fn new<'a>(back_ends: impl Iterator<Item = &'a Arc<BackEnd>>) -> Self {
        let by_hash = back_ends.map(|back_end| (hash(&back_end.id), Arc::clone(back_end)));
        Self(by_hash.collect())
    }

    /// The back end with this hash.
    #[must_use]
    pub fn find(&self, hash: u32) -> Option<&Arc<BackEnd>> {
        self.0.get(&hash)
    }
}

/// Hash of a back end's identity. Two of some hundreds have the same once in tens of thousands of fleets; what is then
/// told of the one counts for the other, which costs some waiting and no rule.
#[must_use]
pub fn hash(id: &str) -> u32 {
    let folded = xxh3_64(id.as_bytes()) & u64::from(u32::MAX);
    u32::try_from(folded).unwrap_or_default()
}
