//! The configuration in force at one daemon. It is never replaced by an older revision.

use std::collections::{BTreeMap, VecDeque};

use borsh::{BorshDeserialize, BorshSerialize};

use super::change::Delta;
use super::model::Configuration;
use crate::{MachineId, Revision};

/// Number of latest deltas kept for peers that lag behind; others get a whole snapshot.
const MAXIMUM_RETAINED_DELTAS: usize = 64;

/// Outcome of [`ConfigurationState::apply_snapshot`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotOutcome {
    /// It is in force.
    Applied,
    /// It is not newer than what is in force, and was ignored.
    NotNewer,
}

/// Outcome of [`ConfigurationState::apply_delta`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// It is in force.
    Applied,
    /// It is not newer than what is in force, and was ignored.
    NotNewer,
    /// Changes are missing: pull those since this revision from a peer, or read the store.
    Gap {
        /// Revision in force at this daemon.
        in_force: Revision,
    },
}

/// Answer to a peer that pulls the changes since its own revision.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PullAnswer {
    /// This daemon knows no newer revision.
    NothingNewer,
    /// The changes since the peer's revision, in order.
    Deltas(Vec<Delta>),
    /// The whole configuration, for a peer that lags too far behind.
    Snapshot(Box<Configuration>),
}

/// The configuration in force at this daemon, and the revisions in force at its peers.
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

    /// Revision in force; 0 before the first configuration was received.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.in_force.revision
    }

    /// Replaces the configuration by a newer one.
    pub fn apply_snapshot(&mut self, snapshot: Configuration) -> SnapshotOutcome {
        if snapshot.revision <= self.in_force.revision {
            return SnapshotOutcome::NotNewer;
        }
        self.in_force = snapshot;
        self.in_force.sort();
        self.deltas.clear();
        SnapshotOutcome::Applied
    }

    /// Applies an accepted change to the configuration in force.
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
        if self.deltas.len() > MAXIMUM_RETAINED_DELTAS {
            self.deltas.pop_front();
        }
        DeltaOutcome::Applied
    }

    /// Returns what a peer with `revision` lacks.
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

    /// Applies the answer of a peer to a pull. Returns whether a newer revision is in force now.
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

    /// Records the revision in force at a peer, as reported by its membership facts or by itself.
    pub fn record_peer_revision(&mut self, peer: MachineId, revision: Revision) {
        let known = self.peers.entry(peer).or_default();
        *known = revision.max(*known);
    }

    /// Discards the revision of a peer that restarted, since its new process may have another one.
    pub fn forget_peer(&mut self, peer: MachineId) {
        self.peers.remove(&peer);
    }

    /// Known revisions in force at peers.
    pub fn peers(&self) -> impl Iterator<Item = (MachineId, Revision)> {
        self.peers.iter().map(|(peer, revision)| (*peer, *revision))
    }

    /// Returns the peers among `live` that are not known to have `revision` or a newer one in
    /// force.
    pub fn not_yet_in_force(
        &self,
        revision: Revision,
        live: impl IntoIterator<Item = MachineId>,
    ) -> Vec<MachineId> {
        let is_behind = |peer: &MachineId| self.peers.get(peer).is_none_or(|at| *at < revision);
        live.into_iter().filter(is_behind).collect()
    }
}
