//! The drain marks known to one daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::mark::{DrainAck, DrainMark, DrainReason, DrainSource, DrainState, DrainVersion};
use crate::machine::{MachineKind, MachineList, MachineState};
use crate::{MachineId, Timestamp};

/// Bounds the table, so that faulty or malicious peers cannot exhaust memory.
const MAXIMUM_MARKS: usize = 8_192;
/// Number of times a mark is gossiped.
const MAXIMUM_SENDS: u32 = 12;

/// Action that the caller must carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Stop routing new requests to the back end, then call [`DrainTable::acknowledge_drain`].
    StopRouting {
        /// Affected back end.
        back_end: MachineId,
        /// Version of the mark that drains it.
        version: DrainVersion,
    },
    /// Resume routing to the back end.
    ResumeRouting {
        /// Affected back end.
        back_end: MachineId,
    },
}

#[derive(Debug, Clone, Copy)]
struct StoredMark {
    mark: DrainMark,
    since: Timestamp,
    sends_remaining: u32,
}

/// The newest mark for each back end and source.
#[derive(Debug, Clone, Default)]
pub struct DrainTable {
    marks: BTreeMap<(MachineId, DrainSource), StoredMark>,
}

impl DrainTable {
    /// Applies a mark received by gossip or in a view, or created by this daemon.
    ///
    /// Ignores marks that are not newer than the stored one, and new keys once the table is full.
    pub fn apply_mark(&mut self, now: Timestamp, mark: DrainMark) -> Option<DrainAction> {
        let key = (mark.back_end, mark.source);
        let known = self.marks.get(&key).map(|stored| stored.mark.version);
        let is_full = known.is_none() && self.marks.len() >= MAXIMUM_MARKS;
        if is_full || known.is_some_and(|known| known >= mark.version) {
            return None;
        }
        let was_draining = self.draining(mark.back_end).is_some();
        let age = Duration::from_millis(u64::from(mark.age_ms)).as_micros();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        let stored = StoredMark {
            mark,
            since: Timestamp(now.0.saturating_sub(age)),
            sends_remaining: MAXIMUM_SENDS,
        };
        self.marks.insert(key, stored);
        let is_draining = self.draining(mark.back_end).is_some();
        if mark.state == DrainState::Draining {
            return Some(DrainAction::StopRouting {
                back_end: mark.back_end,
                version: mark.version,
            });
        }
        (was_draining && !is_draining).then_some(DrainAction::ResumeRouting {
            back_end: mark.back_end,
        })
    }

    /// Returns the acknowledgement for the cell's controller if its mark still drains the back end.
    ///
    /// Call only after routing has stopped: requests already assigned to the back end have been
    /// sent, and no new request is assigned to it.
    #[must_use]
    pub fn acknowledge_drain(&self, back_end: MachineId) -> Option<DrainAck> {
        let stored = self.marks.get(&(back_end, DrainSource::Controller))?;
        let is_draining = stored.mark.state == DrainState::Draining;
        is_draining.then_some(DrainAck {
            back_end,
            version: stored.mark.version,
        })
    }

    /// Drains the back ends that the machine list reports as leaving, and releases those that are
    /// live again.
    pub fn apply_machine_list(&mut self, now: Timestamp, list: &MachineList) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        for machine in &list.machines {
            if matches!(machine.kind, MachineKind::Daemon) {
                continue;
            }
            let is_leaving = machine.state == MachineState::Leaving;
            let stored = self.marks.get(&(machine.id, DrainSource::MachineList));
            let was_leaving =
                stored.is_some_and(|stored| stored.mark.state == DrainState::Draining);
            if is_leaving == was_leaving {
                continue;
            }
            let state = if is_leaving {
                DrainState::Draining
            } else {
                DrainState::Released
            };
            let mark = DrainMark {
                back_end: machine.id,
                source: DrainSource::MachineList,
                version: DrainVersion {
                    token: crate::FencingToken(0),
                    counter: list.revision,
                },
                state,
                reason: DrainReason::Leaving,
                age_ms: 0,
            };
            actions.extend(self.apply_mark(now, mark));
        }
        actions
    }

    /// The mark that drains a back end; the controller's mark takes precedence.
    #[must_use]
    pub fn draining(&self, back_end: MachineId) -> Option<&DrainMark> {
        [DrainSource::Controller, DrainSource::MachineList]
            .iter()
            .filter_map(|source| self.marks.get(&(back_end, *source)))
            .map(|stored| &stored.mark)
            .find(|mark| mark.state == DrainState::Draining)
    }

    /// Time on this daemon's clock at which the mark that drains the back end was created.
    #[must_use]
    pub fn draining_since(&self, back_end: MachineId) -> Option<Timestamp> {
        let source = self.draining(back_end)?.source;
        self.marks
            .get(&(back_end, source))
            .map(|stored| stored.since)
    }

    /// Returns up to `count` marks for one datagram, least often sent first. Each mark is sent a
    /// bounded number of times.
    pub fn take_for_gossip(&mut self, now: Timestamp, count: usize) -> Vec<DrainMark> {
        let mut pending: Vec<_> = self
            .marks
            .values_mut()
            .filter(|stored| stored.sends_remaining > 0)
            .collect();
        pending.sort_by_key(|stored| u32::MAX - stored.sends_remaining);
        pending.truncate(count);
        let send = |stored: &mut StoredMark| {
            stored.sends_remaining -= 1;
            stored.with_age(now)
        };
        pending.into_iter().map(send).collect()
    }

    /// All marks with their current ages, for a peer whose digest differs.
    pub fn all(&self, now: Timestamp) -> impl Iterator<Item = DrainMark> {
        self.marks.values().map(move |stored| stored.with_age(now))
    }

    /// Digest of all marks without their ages. Daemons with equal digests store the same marks.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        for stored in self.marks.values() {
            let mark = DrainMark {
                age_ms: 0,
                ..stored.mark
            };
            bytes.extend(borsh::to_vec(&mark).unwrap_or_default());
        }
        xxh3_64(&bytes)
    }
}

impl StoredMark {
    fn with_age(&self, now: Timestamp) -> DrainMark {
        let age = now.since(self.since).as_millis();
        DrainMark {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..self.mark
        }
    }
}
