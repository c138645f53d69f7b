//! Assignment of tasks to daemons by rendezvous hashing over the live daemons. It needs no
//! agreement, and a daemon that joins or leaves changes only its own share of the tasks.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::record::{MemberRecord, MemberState, Readiness};
use crate::{CellName, MachineId, ZoneName};

/// Whether the selected daemons should be spread over zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneSpread {
    /// Select the best scores regardless of zones.
    Ignore,
    /// Select a second daemon of a zone only after one of each zone that has candidates.
    Spread,
}

/// Score of a daemon for a key. All daemons must compute the same score.
#[must_use]
pub fn score(key: &str, machine: MachineId) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), u64::from(machine.0))
}

/// Returns the `count` daemons with the best scores for `key`, best first.
#[must_use]
pub fn rendezvous<'a>(
    key: &str,
    members: &[&'a MemberRecord],
    count: usize,
    zone_spread: ZoneSpread,
) -> Vec<&'a MemberRecord> {
    let mut ranked = members.to_vec();
    // A sort without a cache would compute the score at each comparison.
    ranked.sort_by_cached_key(|member| (u64::MAX - score(key, member.machine), member.machine));
    if zone_spread == ZoneSpread::Spread {
        ranked = spread_over_zones(ranked);
    }
    ranked.truncate(count);
    ranked
}

/// Reorders so that the best daemon of each zone comes first, then the second of each, and so on.
fn spread_over_zones(ranked: Vec<&MemberRecord>) -> Vec<&MemberRecord> {
    let mut seen: Vec<(&ZoneName, usize)> = Vec::new();
    let mut rounds: Vec<(usize, &MemberRecord)> = Vec::with_capacity(ranked.len());
    for member in ranked {
        let round = match seen.iter_mut().find(|(zone, _)| *zone == &member.zone) {
            Some((_, count)) => {
                *count += 1;
                *count
            }
            None => {
                seen.push((&member.zone, 0));
                0
            }
        };
        rounds.push((round, member));
    }
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, member)| member).collect()
}

/// Returns the daemons that can be assigned tasks: those that are alive and not leaving.
#[must_use]
pub fn workers<'a>(members: &[&'a MemberRecord]) -> Vec<&'a MemberRecord> {
    members
        .iter()
        .copied()
        .filter(|member| member.state == MemberState::Alive)
        .filter(|member| member.facts.readiness != Readiness::Leaving)
        .collect()
}

/// Returns up to `count` daemons that poll an engine: of its zone, or of any zone if its zone has
/// none.
#[must_use]
pub fn pollers<'a>(
    engine: MachineId,
    zone: &ZoneName,
    members: &[&'a MemberRecord],
    count: usize,
) -> Vec<&'a MemberRecord> {
    let workers = workers(members);
    let in_zone: Vec<_> = workers
        .iter()
        .copied()
        .filter(|member| member.zone == *zone)
        .collect();
    let candidates = if in_zone.is_empty() { workers } else { in_zone };
    let key = format!("poll/{engine}");
    rendezvous(&key, &candidates, count, ZoneSpread::Ignore)
}

/// Determines which engines a daemon polls. It gives the same result as [`pollers`] without sorting
/// all daemons for each engine.
#[derive(Debug)]
pub struct PollerAssignment {
    own: MachineId,
    by_zone: BTreeMap<ZoneName, Vec<MachineId>>,
    all: Vec<MachineId>,
}

impl PollerAssignment {
    /// Prepares the assignment of the daemon `own` among the workers of `members`.
    #[must_use]
    pub fn new(own: MachineId, members: &[&MemberRecord]) -> Self {
        let mut assignment = Self {
            own,
            by_zone: BTreeMap::new(),
            all: Vec::new(),
        };
        for worker in workers(members) {
            assignment.add(worker.machine, &worker.zone);
        }
        assignment
    }

    /// Adds a daemon that is expected but not known by gossip yet. Otherwise a daemon that has just
    /// started, and knows no others, would poll every engine.
    pub fn expect(&mut self, machine: MachineId, zone: &ZoneName) {
        if !self.all.contains(&machine) {
            self.add(machine, zone);
        }
    }

    fn add(&mut self, machine: MachineId, zone: &ZoneName) {
        self.by_zone.entry(zone.clone()).or_default().push(machine);
        self.all.push(machine);
    }

    /// Rank of this daemon among the pollers of an engine, 0 for the first; `None` if it is no
    /// candidate. A daemon that knows no worker at all polls every engine.
    #[must_use]
    pub fn rank(&self, engine: MachineId, zone: &ZoneName) -> Option<usize> {
        if self.all.is_empty() {
            return Some(0);
        }
        let candidates = self.by_zone.get(zone).unwrap_or(&self.all);
        if !candidates.contains(&self.own) {
            return None;
        }
        let key = format!("poll/{engine}");
        let order = |machine: MachineId| (u64::MAX - score(&key, machine), machine);
        let own = order(self.own);
        Some(
            candidates
                .iter()
                .filter(|machine| order(**machine) < own)
                .count(),
        )
    }
}

/// Returns up to `count` daemons of a zone that watch the store.
#[must_use]
pub fn store_watchers<'a>(
    zone: &ZoneName,
    members: &[&'a MemberRecord],
    count: usize,
) -> Vec<&'a MemberRecord> {
    let candidates: Vec<_> = workers(members)
        .into_iter()
        .filter(|member| member.zone == *zone)
        .collect();
    rendezvous("watch", &candidates, count, ZoneSpread::Ignore)
}

/// Returns the candidates for the controller of a cell in the order of their rank. They are of the
/// cell's zones, or of any zone if those have none.
#[must_use]
pub fn controller_candidates<'a>(
    cell: &CellName,
    zones: &[ZoneName],
    members: &[&'a MemberRecord],
    count: usize,
) -> Vec<&'a MemberRecord> {
    let workers = workers(members);
    let in_zone: Vec<_> = workers
        .iter()
        .copied()
        .filter(|member| zones.contains(&member.zone))
        .collect();
    let candidates = if in_zone.is_empty() { workers } else { in_zone };
    let key = format!("controller/{cell}");
    rendezvous(&key, &candidates, count, ZoneSpread::Spread)
}

/// Returns the daemons that route to a cell and therefore exchange its load digests: those of its
/// zones, and `remote` others that use its models while their own cells are full or unreachable.
#[must_use]
pub fn cell_subscribers<'a>(
    cell: &CellName,
    zones: &[ZoneName],
    members: &[&'a MemberRecord],
    remote: usize,
) -> Vec<&'a MemberRecord> {
    let (mut in_zone, other_zones): (Vec<_>, Vec<_>) = members
        .iter()
        .copied()
        .filter(|member| member.state.is_live())
        .partition(|member| zones.contains(&member.zone));
    let key = format!("subscribe/{cell}");
    in_zone.extend(rendezvous(&key, &other_zones, remote, ZoneSpread::Spread));
    in_zone
}

/// Position of `machine` in a ranked list, 0 for the first.
#[must_use]
pub fn rank_of(machine: MachineId, ranked: &[&MemberRecord]) -> Option<usize> {
    ranked.iter().position(|member| member.machine == machine)
}
