//! Drain marks at one daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::mark::{DrainAck, DrainMark, DrainReason, DrainSource, DrainState, DrainVersion};
use crate::machine::{MachineKind, MachineList, MachineState};
use crate::{MachineId, Timestamp};

/// Most marks that are kept; hostile or mistaken peers cannot make the table grow further.
const MAXIMUM_MARKS: usize = 8_192;
/// How often a mark is sent on.
const RETRANSMITS: u32 = 12;

/// What the shell must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Stop routing new work there; then tell it by [`DrainTable::acknowledge_drain`].
    StopRouting {
        /// The back end.
        back_end: MachineId,
        /// Version of the mark.
        version: DrainVersion,
    },
    /// Route there again.
    ResumeRouting {
        /// The back end.
        back_end: MachineId,
    },
}

#[derive(Debug, Clone, Copy)]
struct Held {
    mark: DrainMark,
    since: Timestamp,
    sends_left: u32,
}

/// The newest mark of each back end and source.
#[derive(Debug, Clone, Default)]
pub struct DrainTable {
    marks: BTreeMap<(MachineId, DrainSource), Held>,
}

impl DrainTable {
    /// Takes a mark, from gossip, from a view or of this daemon's own making.
    pub fn apply_mark(&mut self, now: Timestamp, mark: DrainMark) -> Option<DrainAction> {
        let key = (mark.back_end, mark.source);
        let known = self.marks.get(&key).map(|held| held.mark.version);
        let is_full = known.is_none() && self.marks.len() >= MAXIMUM_MARKS;
        if is_full || known.is_some_and(|known| known >= mark.version) {
            return None;
        }
        let was_draining = self.draining(mark.back_end).is_some();
        let age = Duration::from_millis(u64::from(mark.age_ms)).as_micros();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        let held = Held {
            mark,
            since: Timestamp(now.0.saturating_sub(age)),
            sends_left: RETRANSMITS,
        };
        self.marks.insert(key, held);
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

    /// Routing to a back end has stopped: what was chosen is sent, and nothing new is chosen.
    /// Returns the acknowledgement for the cell's controller, if its mark still stands.
    #[must_use]
    pub fn acknowledge_drain(&self, back_end: MachineId) -> Option<DrainAck> {
        let held = self.marks.get(&(back_end, DrainSource::Controller))?;
        let is_draining = held.mark.state == DrainState::Draining;
        is_draining.then_some(DrainAck {
            back_end,
            version: held.mark.version,
        })
    }

    /// Takes the machine list: back ends that leave are drained, those that are live again released.
    pub fn apply_machine_list(&mut self, now: Timestamp, list: &MachineList) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        for machine in &list.machines {
            if matches!(machine.kind, MachineKind::Daemon) {
                continue;
            }
            let is_leaving = machine.state == MachineState::Leaving;
            let held = self.marks.get(&(machine.id, DrainSource::MachineList));
            let was_leaving = held.is_some_and(|held| held.mark.state == DrainState::Draining);
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

    /// The mark by which a back end is drained.
    #[must_use]
    pub fn draining(&self, back_end: MachineId) -> Option<&DrainMark> {
        [DrainSource::Controller, DrainSource::MachineList]
            .iter()
            .filter_map(|source| self.marks.get(&(back_end, *source)))
            .map(|held| &held.mark)
            .find(|mark| mark.state == DrainState::Draining)
    }

    /// Since when a back end is drained, on this daemon's clock.
    #[must_use]
    pub fn draining_since(&self, back_end: MachineId) -> Option<Timestamp> {
        let source = self.draining(back_end)?.source;
        self.marks.get(&(back_end, source)).map(|held| held.since)
    }

    /// Marks for one datagram: those sent least often first, each a bounded number of times.
    pub fn take_for_gossip(&mut self, now: Timestamp, count: usize) -> Vec<DrainMark> {
        let mut waiting: Vec<_> = self
            .marks
            .values_mut()
            .filter(|held| held.sends_left > 0)
            .collect();
        waiting.sort_by_key(|held| u32::MAX - held.sends_left);
        waiting.truncate(count);
        let send = |held: &mut Held| {
            held.sends_left -= 1;
            held.aged(now)
        };
        waiting.into_iter().map(send).collect()
    }

    /// All marks, for a peer whose digest differs.
    pub fn all(&self, now: Timestamp) -> impl Iterator<Item = DrainMark> {
        self.marks.values().map(move |held| held.aged(now))
    }

    /// Digest of all marks: two daemons with the same digest hold the same marks.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        for held in self.marks.values() {
            let mark = DrainMark {
                age_ms: 0,
                ..held.mark
            };
            bytes.extend(borsh::to_vec(&mark).unwrap_or_default());
        }
        xxh3_64(&bytes)
    }
}

impl Held {
    fn aged(&self, now: Timestamp) -> DrainMark {
        let age = now.since(self.since).as_millis();
        DrainMark {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..self.mark
        }
    }
}
