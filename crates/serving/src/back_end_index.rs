//! Back ends indexed by the hash of their ID, which is how peers refer to them.

use std::collections::HashMap;
use std::sync::Arc;

use ponddrift_fleet::directory::BackEnd;
use xxhash_rust::xxh3::xxh3_64;

/// Index of the back ends that this daemon knows. Updated incrementally, because every message of a
/// peer is decoded with it.
#[derive(Debug, Clone, Default)]
pub struct BackEndIndex(HashMap<u32, Arc<BackEnd>>);

impl BackEndIndex {
    /// Adds or replaces a back end.
    pub fn insert(&mut self, back_end: &Arc<BackEnd>) {
        self.0.insert(hash(&back_end.id), Arc::clone(back_end));
    }

    /// Removes a back end, but not another one with the same hash.
    pub fn remove(&mut self, id: &str) {
        let hash = hash(id);
        if self.0.get(&hash).is_some_and(|known| &*known.id == id) {
            self.0.remove(&hash);
        }
    }

    /// Finds the back end with this hash.
    #[must_use]
    pub fn find(&self, hash: u32) -> Option<&Arc<BackEnd>> {
        self.0.get(&hash)
    }
}

/// Hash of an ID. Hash collisions are rare (in one of a hundred fleets of 10,000 back ends) and
/// harmless: reports about one back end then apply to the other one too, which may delay requests
/// but breaks no guarantee.
#[must_use]
pub fn hash(id: &str) -> u32 {
    let low_bits = xxh3_64(id.as_bytes()) & u64::from(u32::MAX);
    u32::try_from(low_bits).unwrap_or_default()
}
