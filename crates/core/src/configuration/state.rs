//! The configuration in force at one daemon. It never goes to an older revision.

use std::collections::{BTreeMap, VecDeque};

use borsh::{BorshDeserialize, BorshSerialize};

use super::change::Delta;
use super::model::Configuration;
use crate::{MachineId, Revision};

/// Deltas kept for peers that are a little behind.
const MAXIMUM_KEPT_DELTAS: usize = 64;

/// What became of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotOutcome {
    /// It is in force.
    Applied,
    /// It is not newer than what is in force, and was ignored.
    NotNewer,
}

/// What became of a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// It is in force.
    Applied,
    /// It is not newer than what is in force, and was ignored.
    NotNewer,
    /// Something between is missing: pull from a peer or read the store, since this revision.
    Gap {
        /// The revision in force.
        in_force: Revision,
    },
}

/// Answer to a peer that has the configuration at some revision.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PullAnswer {
    /// Nothing newer is known here.
    NothingNewer,
    /// The changes since, in order.
    Deltas(Vec<Delta>),
    /// The whole, for a peer that is too far behind.
    Snapshot(Box<Configuration>),
}

/// The configuration in force here, and what is known of peers.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationState {
    in_force: Configuration,
    deltas: VecDeque<Delta>,
    peers: BTreeMap<MachineId, Revision>,
}

impl ConfigurationState {
    /// The configuration in force.
    #[must_use]
    pub const fn in_force(&self) -> &Configuration {
        &self.in_force
    }

    /// Its revision; 0 before the first one came.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.in_force.revision
    }

    /// Takes a whole configuration.
    pub fn apply_snapshot(&mut self, snapshot: Configuration) -> SnapshotOutcome {
        if snapshot.revision <= self.in_force.revision {
            return SnapshotOutcome::NotNewer;
        }
        self.in_force = snapshot;
        self.in_force.sort();
        self.deltas.clear();
        SnapshotOutcome::Applied
    }

    /// Takes one accepted change.
    pub fn apply_delta(&mut self, delta: Delta) -> DeltaOutcome {
        let in_force = self.in_force.revision;
        if delta.to_revision <= in_force {
            return DeltaOutcome::NotNewer;
        }
        if delta.from_revision != in_force {
            return DeltaOutcome::Gap { in_force };
        }
        for write in delta.writes.iter().cloned() {
            self.in_force.write(write, delta.to_revision);
        }
        self.in_force.revision = delta.to_revision;
        self.deltas.push_back(delta);
        if self.deltas.len() > MAXIMUM_KEPT_DELTAS {
            self.deltas.pop_front();
        }
        DeltaOutcome::Applied
    }

    /// What a peer lacks that has `revision`.
    #[must_use]
    pub fn since(&self, revision: Revision) -> PullAnswer {
        if revision >= self.in_force.revision {
            return PullAnswer::NothingNewer;
        }
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.from_revision == revision);
        match start {
            Some(start) => PullAnswer::Deltas(self.deltas.iter().skip(start).cloned().collect()),
            None => PullAnswer::Snapshot(Box::new(self.in_force.clone())),
        }
    }

    /// Takes the answer of a peer to a pull. Returns whether something newer is in force now.
    pub fn apply_pull_answer(&mut self, answer: PullAnswer) -> bool {
        let before = self.revision();
        match answer {
            PullAnswer::NothingNewer => {}
            PullAnswer::Snapshot(snapshot) => {
                self.apply_snapshot(*snapshot);
            }
            PullAnswer::Deltas(deltas) => {
                for delta in deltas {
                    self.apply_delta(delta);
                }
            }
        }
        self.revision() > before
    }

    /// Notes the revision in force at a peer, from its membership facts or its own notice.
    pub fn record_peer_revision(&mut self, peer: MachineId, revision: Revision) {
        let known = self.peers.entry(peer).or_default();
        *known = revision.max(*known);
    }

    /// A peer started again: what its old life had in force says nothing.
    pub fn forget_peer(&mut self, peer: MachineId) {
        self.peers.remove(&peer);
    }

    /// The revision in force at each peer, as far as it is known.
    pub fn peers(&self) -> impl Iterator<Item = (MachineId, Revision)> {
        self.peers.iter().map(|(peer, revision)| (*peer, *revision))
    }

    /// Peers among `live` that are not known to have `revision` in force yet.
    pub fn not_yet_in_force(
        &self,
        revision: Revision,
        live: impl IntoIterator<Item = MachineId>,
    ) -> Vec<MachineId> {
        let is_behind = |peer: &MachineId| self.peers.get(peer).is_none_or(|at| *at < revision);
        live.into_iter().filter(is_behind).collect()
    }
}
