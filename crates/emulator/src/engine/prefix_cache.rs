//! Prefix cache: blocks of words, named by the hash of the prompt up to their end; least recently used go first.

use std::collections::BTreeMap;

pub use ponddrift_engine::prompt::block_hashes;

/// A prefix cache of limited size.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    uses: u64,
    last_use: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

/// What storing a prompt changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CacheUpdate {
    /// Blocks that are new.
    pub stored: Vec<u64>,
    /// Blocks that had to go.
    pub removed: Vec<u64>,
}

impl PrefixCache {
    /// An empty cache of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            last_use: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Leading blocks that are held; they count as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        let held = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count();
        self.touch(&blocks[..held]);
        held
    }

    /// Stores the blocks of a prompt; a prompt longer than the cache keeps its beginning.
    pub fn store(&mut self, blocks: &[u64]) -> CacheUpdate {
        let kept = &blocks[..blocks.len().min(self.capacity)];
        let is_new = |block: &u64| !self.last_use.contains_key(block);
        let stored = kept.iter().copied().filter(is_new).collect();
        self.touch(kept);
        let mut removed = Vec::new();
        while self.last_use.len() > self.capacity {
            let Some((_use_number, block)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&block);
            removed.push(block);
        }
        CacheUpdate { stored, removed }
    }

    /// Marks blocks as used, the first one as the newest: a prefix is worth more than its end.
    fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.uses += 1;
            if let Some(earlier) = self.last_use.insert(*block, self.uses) {
                self.by_use.remove(&earlier);
            }
            self.by_use.insert(self.uses, *block);
        }
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
    }

    /// Blocks held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
}
