//! What engines hold, as daemons tell one another. It changes seldom, unlike the load.

use borsh::{BorshDeserialize, BorshSerialize};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::orders::LoadedModel;
use crate::{EngineRole, Incarnation, MachineId};

/// Role and model of an engine at one reading of its control endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct EngineFacts {
    /// The engine.
    pub engine: MachineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts the changes seen in this incarnation. A poller that sees something else than the newest facts
    /// it has heard goes on from their number.
    pub sequence: u64,
    /// Its role; `None` while it changes.
    pub role: Option<EngineRole>,
    /// What it holds; `None` while it changes.
    pub model: Option<LoadedModel>,
}

impl EngineFacts {
    /// Whether these facts replace `other` of the same engine. Between two pollers that gave the same number
    /// to different facts the order of the facts decides, the same way on every daemon; the poller whose
    /// reading lost sees another state at its next poll and takes the next number.
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

    /// Whether both say the same of the engine.
    #[must_use]
    pub fn has_same_state_as(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.role == other.role
            && self.model == other.model
    }
}

/// How often facts are passed on by gossip. Whoever missed them all pulls the table.
const MAX_GOSSIP_SENDS: u32 = 8;

#[derive(Debug, Clone)]
struct KnownFacts {
    facts: EngineFacts,
    sends_left: u32,
}

/// The newest facts of each engine, and what of them is still to be passed on.
#[derive(Debug, Clone, Default)]
pub struct FactsTable {
    facts: IndexMap<MachineId, KnownFacts>,
}

impl FactsTable {
    /// Takes facts heard from a peer if they are newer. Returns whether they were.
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

    /// Takes facts that this daemon read off the engine itself; their number is given here. Returns whether
    /// they say something new.
    pub fn observe(&mut self, mut facts: EngineFacts) -> bool {
        facts.sequence = match self.get(facts.engine) {
            Some(known) if known.incarnation > facts.incarnation => return false,
            Some(known) if facts.has_same_state_as(known) => return false,
            Some(known) if known.incarnation == facts.incarnation => known.sequence + 1,
            Some(_) | None => 0,
        };
        self.merge(facts)
    }

    /// Facts for one datagram: those sent least often first, each a bounded number of times.
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

    /// Facts of an engine.
    #[must_use]
    pub fn get(&self, engine: MachineId) -> Option<&EngineFacts> {
        self.facts.get(&engine).map(|known| &known.facts)
    }

    /// All facts, in the order in which the engines became known.
    pub fn iter(&self) -> impl Iterator<Item = &EngineFacts> {
        self.facts.values().map(|known| &known.facts)
    }

    /// Hash of all facts: two daemons with the same hash hold the same facts.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut sorted: Vec<&EngineFacts> = self.iter().collect();
        sorted.sort_by_key(|facts| facts.engine);
        xxh3_64(&borsh::to_vec(&sorted).unwrap_or_default())
    }

    /// Forgets engines for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(MachineId) -> bool) {
        self.facts.retain(|engine, _| keep(*engine));
    }
}
