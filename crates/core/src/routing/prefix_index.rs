//! Approximate index of the engines' prefix caches.
//!
//! Cache events arrive late and with gaps, so matches are only a hint, weighted by the trust in the
//! index.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{Incarnation, MachineId};

/// Settings of a [`PrefixIndex`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixIndexSettings {
    /// Tokens per block.
    pub block_tokens: u32,
    /// Maximum number of indexed blocks, divided evenly between the engines.
    pub max_blocks: usize,
    /// Initial trust in the index of an engine, from 0 to 1.
    pub initial_trust: f64,
    /// Factor applied to the trust at a gap in the events.
    pub gap_factor: f64,
    /// Increase of the trust with each event in order.
    pub trust_gain: f64,
    /// Weight of one observed hit rate in the trust.
    pub observation_weight: f64,
}

impl Default for PrefixIndexSettings {
    fn default() -> Self {
        Self {
            block_tokens: 16,
            max_blocks: 262_144,
            initial_trust: 0.5,
            gap_factor: 0.5,
            trust_gain: 0.01,
            observation_weight: 0.2,
        }
    }
}

/// Lower bound of the block limit per engine.
const MINIMUM_BLOCKS_PER_ENGINE: usize = 64;

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrefixChange {
    /// Blocks were added.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Removed(Vec<u64>),
    /// All blocks were dropped.
    Cleared,
}

#[derive(Debug, Clone)]
struct EngineIndex {
    incarnation: Incarnation,
    next_sequence: Option<u64>,
    trust: f64,
    /// Stamp of the last use of each block.
    blocks: IndexMap<u64, u64>,
    /// Uses in order; an entry is stale if its stamp is not the newest of its block.
    recent_uses: VecDeque<(u64, u64)>,
    stamp: u64,
}

impl EngineIndex {
    fn new(incarnation: Incarnation, trust: f64) -> Self {
        Self {
            incarnation,
            next_sequence: None,
            trust,
            blocks: IndexMap::new(),
            recent_uses: VecDeque::new(),
            stamp: 0,
        }
    }

    fn touch(&mut self, block: u64) {
        self.stamp += 1;
        self.blocks.insert(block, self.stamp);
        self.recent_uses.push_back((block, self.stamp));
    }

    fn clear(&mut self) {
        self.blocks.clear();
        self.recent_uses.clear();
    }

    fn evict_to(&mut self, limit: usize) {
        // The second condition bounds the stale entries of `recent_uses`.
        while self.blocks.len() > limit || self.recent_uses.len() > 2 * limit {
            let Some((block, stamp)) = self.recent_uses.pop_front() else {
                return;
            };
            if self.blocks.get(&block) == Some(&stamp) {
                self.blocks.swap_remove(&block);
            }
        }
    }
}

/// Blocks that each engine probably has cached. Bounded in size, with LRU eviction.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    settings: PrefixIndexSettings,
    engines: IndexMap<MachineId, EngineIndex>,
}

impl PrefixIndex {
    /// Creates an empty index.
    #[must_use]
    pub fn new(settings: PrefixIndexSettings) -> Self {
        Self {
            settings,
            engines: IndexMap::new(),
        }
    }

    /// Applies an event of an engine's event stream. Duplicates and events of an older incarnation
    /// are ignored.
    pub fn apply(
        &mut self,
        engine: MachineId,
        incarnation: Incarnation,
        sequence: u64,
        change: &PrefixChange,
    ) {
        let settings = self.settings;
        let index = self.entry_for_incarnation(engine, incarnation);
        if incarnation < index.incarnation {
            return;
        }
        match index.next_sequence {
            Some(next) if sequence < next => return,
            Some(next) if sequence > next => index.trust *= settings.gap_factor,
            _ => index.trust = (index.trust + settings.trust_gain).min(1.0),
        }
        index.next_sequence = Some(sequence.saturating_add(1));
        match change {
            PrefixChange::Stored(blocks) => blocks.iter().for_each(|&block| index.touch(block)),
            PrefixChange::Removed(blocks) => {
                for block in blocks {
                    index.blocks.swap_remove(block);
                }
            }
            PrefixChange::Cleared => index.clear(),
        }
        let limit = self.blocks_per_engine();
        self.engines[&engine].evict_to(limit);
    }

    /// Adds the blocks of a prompt that the engine has just prefilled for this daemon.
    pub fn observed_prompt(&mut self, engine: MachineId, incarnation: Incarnation, blocks: &[u64]) {
        let index = self.entry_for_incarnation(engine, incarnation);
        if incarnation == index.incarnation {
            blocks.iter().for_each(|&block| index.touch(block));
        }
        let limit = self.blocks_per_engine();
        self.engines[&engine].evict_to(limit);
    }

    /// Moves the trust towards the fraction of the predicted cached tokens that the engine found.
    pub fn observed_hit(&mut self, engine: MachineId, predicted_tokens: u32, found_tokens: u32) {
        if predicted_tokens == 0 {
            return;
        }
        let weight = self.settings.observation_weight;
        if let Some(index) = self.engines.get_mut(&engine) {
            let share = (f64::from(found_tokens) / f64::from(predicted_tokens)).min(1.0);
            index.trust += weight * (share - index.trust);
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, engine: MachineId) {
        self.engines.shift_remove(&engine);
    }

    /// Tokens of the prompt's prefix that the engine probably has cached, not weighted by the
    /// trust.
    #[must_use]
    pub fn matched_tokens(&self, engine: MachineId, prompt_blocks: &[u64]) -> u32 {
        let Some(index) = self.engines.get(&engine) else {
            return 0;
        };
        let held = prompt_blocks
            .iter()
            .take_while(|block| index.blocks.contains_key(*block));
        let matched = u32::try_from(held.count()).unwrap_or(u32::MAX);
        matched.saturating_mul(self.settings.block_tokens)
    }

    /// Trust in the index of an engine, from 0 to 1.
    #[must_use]
    pub fn trust(&self, engine: MachineId) -> f64 {
        self.engines.get(&engine).map_or(0.0, |index| index.trust)
    }

    /// Total number of indexed blocks.
    #[must_use]
    pub fn block_count(&self) -> usize {
        self.engines.values().map(|index| index.blocks.len()).sum()
    }

    fn blocks_per_engine(&self) -> usize {
        let share = self.settings.max_blocks / self.engines.len().max(1);
        share.max(MINIMUM_BLOCKS_PER_ENGINE)
    }

    fn entry_for_incarnation(
        &mut self,
        engine: MachineId,
        incarnation: Incarnation,
    ) -> &mut EngineIndex {
        let trust = self.settings.initial_trust;
        if !self.engines.contains_key(&engine) {
            self.engines
                .insert(engine, EngineIndex::new(incarnation, trust));
            self.evict_all_excess();
        }
        let index = &mut self.engines[&engine];
        if incarnation > index.incarnation {
            let lowered = index.trust.min(trust);
            *index = EngineIndex::new(incarnation, lowered);
        }
        index
    }

    /// Evicts the excess of every engine after the limit per engine has decreased.
    fn evict_all_excess(&mut self) {
        let limit = self.blocks_per_engine();
        for index in self.engines.values_mut() {
            index.evict_to(limit);
        }
    }
}
