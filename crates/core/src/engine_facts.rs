//! Role and model of engines, shared between daemons. Unlike load, they change rarely.

use borsh::{BorshDeserialize, BorshSerialize};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::orders::LoadedModel;
use crate::{EngineRole, Incarnation, MachineId};

/// Role and model of an engine, as read from its control endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct EngineFacts {
    /// The engine.
    pub engine: MachineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of observed changes in this incarnation. A poller that observes a change increments
    /// the number of the newest facts it knows.
    pub sequence: u64,
    /// Its role; `None` during a change.
    pub role: Option<EngineRole>,
    /// Its loaded model; `None` during a change.
    pub model: Option<LoadedModel>,
}

impl EngineFacts {
    /// Whether these facts replace `other` of the same engine. If two pollers assigned the same
    /// sequence to different facts, the ordering of the facts decides, so that all daemons agree.
    /// The poller whose facts lost observes a difference at its next poll and assigns the next
    /// sequence.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let order = |facts: &Self| {
            (
                facts.incarnation,
                facts.sequence,
                facts.role,
                facts.model.clone(),
            )
        };
        order(self) > order(other)
    }

    /// Whether incarnation, role and model are equal, regardless of the sequence.
    #[must_use]
    pub fn has_same_state_as(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.role == other.role
            && self.model == other.model
    }
}

/// Number of times facts are gossiped. Daemons that miss all of them pull the table.
const MAX_GOSSIP_SENDS: u32 = 8;

#[derive(Debug, Clone)]
struct KnownFacts {
    facts: EngineFacts,
    sends_left: u32,
}

/// Newest facts of each engine, with the number of pending gossip sends.
#[derive(Debug, Clone, Default)]
pub struct FactsTable {
    facts: IndexMap<MachineId, KnownFacts>,
}

impl FactsTable {
    /// Stores facts from a peer if they are newer. Returns whether they were.
    pub fn merge(&mut self, facts: EngineFacts) -> bool {
        let known = self.facts.get(&facts.engine);
        if known.is_some_and(|known| !facts.is_newer_than(&known.facts)) {
            return false;
        }
        let known = KnownFacts {
            facts,
            sends_left: MAX_GOSSIP_SENDS,
        };
        self.facts.insert(known.facts.engine, known);
        true
    }

    /// Stores facts that this daemon read from the engine and assigns their sequence. Returns
    /// whether they changed.
    pub fn observe(&mut self, mut facts: EngineFacts) -> bool {
        facts.sequence = match self.get(facts.engine) {
            Some(known) if known.incarnation > facts.incarnation => return false,
            Some(known) if facts.has_same_state_as(known) => return false,
            Some(known) if known.incarnation == facts.incarnation => known.sequence + 1,
            Some(_) | None => 0,
        };
        self.merge(facts)
    }

    /// Facts for one datagram, least often sent first. Facts are returned a bounded number of
    /// times.
    pub fn take_for_gossip(&mut self, count: usize) -> Vec<EngineFacts> {
        let mut waiting: Vec<&mut KnownFacts> = self
            .facts
            .values_mut()
            .filter(|known| known.sends_left > 0)
            .collect();
        waiting.sort_by_key(|known| u32::MAX - known.sends_left);
        waiting.truncate(count);
        let send = |known: &mut KnownFacts| {
            known.sends_left -= 1;
            known.facts.clone()
        };
        waiting.into_iter().map(send).collect()
    }

    /// Newest facts of an engine.
    #[must_use]
    pub fn get(&self, engine: MachineId) -> Option<&EngineFacts> {
        self.facts.get(&engine).map(|known| &known.facts)
    }

    /// All facts, in the order in which the engines were added.
    pub fn iter(&self) -> impl Iterator<Item = &EngineFacts> {
        self.facts.values().map(|known| &known.facts)
    }

    /// Hash of all facts, to detect whether two daemons hold the same facts.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut sorted: Vec<&EngineFacts> = self.iter().collect();
        sorted.sort_by_key(|facts| facts.engine);
        xxh3_64(&borsh::to_vec(&sorted).unwrap_or_default())
    }

    /// Removes engines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.facts.retain(|engine, _| keep(*engine));
    }
}
