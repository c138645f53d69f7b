//! Back ends by the hash of their identity, as peers name them.

use std::collections::HashMap;
use std::sync::Arc;

use ponddrift_fleet::directory::BackEnd;
use xxhash_rust::xxh3::xxh3_64;

/// Back ends that this daemon knows, to be found by hash; kept as entries come and go, since every message of a peer is read
/// with it.
#[derive(Debug, Clone, Default)]
pub struct BackEndIndex(HashMap<u32, Arc<BackEnd>>);

impl BackEndIndex {
    /// A back end is known, or known otherwise than before.
    pub fn insert(&mut self, back_end: &Arc<BackEnd>) {
        self.0.insert(hash(&back_end.id), Arc::clone(back_end));
    }

    /// A back end is gone; one of the same hash stays.
    pub fn remove(&mut self, id: &str) {
        let hash = hash(id);
        if self.0.get(&hash).is_some_and(|known| &*known.id == id) {
            self.0.remove(&hash);
        }
    }

    /// The back end with this hash.
    #[must_use]
    pub fn find(&self, hash: u32) -> Option<&Arc<BackEnd>> {
        self.0.get(&hash)
    }
}

/// Hash of a back end's identity. Of 10,000 back ends two have the same in one fleet of a hundred; what is then told of the one
/// counts for the other, which costs some waiting and no rule.
#[must_use]
pub fn hash(id: &str) -> u32 {
    let folded = xxh3_64(id.as_bytes()) & u64::from(u32::MAX);
    u32::try_from(folded).unwrap_or_default()
}
