//! Index of the ready back ends of each service, updated with the directory's entries, so that the
//! cost of a placement depends on the number of candidates and not on the size of the fleet.
//!
//! Each daemon chooses from a bounded number of back ends per stage: those of its own zone first,
//! in an order that is stable while other back ends come and go. The order differs between daemons,
//! so that all back ends are candidates of about equally many daemons. A request whose prompt
//! begins with a shared prefix may also go to the rendezvous owners of the prefix, which all
//! daemons compute identically from all back ends.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BackEnd, Eligibility};
use crate::configuration::Stage;

/// Maximum number of candidates per stage; much larger than the number of requests that one daemon
/// has in progress. Bounds the cost of placing a request in a large fleet: on 0.12 of a core, a
/// long prompt took 55 to 135 ms with 9,560 engines as candidates, and takes 5 ms with this many.
pub const MAX_CANDIDATES_PER_STAGE: usize = 128;
/// Number of rendezvous owners that become candidates: the second and third serve when the first is
/// ejected or changes its stage.
const OWNERS_PER_PREFIX: usize = 3;

/// Zone and seed of the daemon that owns the directory.
#[derive(Debug, Clone, Default)]
pub(super) struct LocalDaemon {
    pub(super) zone: Arc<str>,
    /// Differs between daemons, so that each has its own order of preference.
    pub(super) seed: u64,
}

/// Number of ready back ends of one service by stage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadyCounts {
    /// Engines that run the prefill stage for other engines.
    pub prefill: usize,
    /// Engines that decode, and plain back ends.
    pub others: usize,
}

impl ReadyCounts {
    /// Counts the back ends of a list.
    pub(super) fn of(back_ends: &[Arc<BackEnd>]) -> Self {
        let prefill = back_ends.iter().filter(|back_end| is_prefill(back_end));
        let prefill = prefill.count();
        Self {
            prefill,
            others: back_ends.len() - prefill,
        }
    }

    /// Number of all ready back ends.
    #[must_use]
    pub const fn all(self) -> usize {
        self.prefill + self.others
    }
}

/// Ready back ends of one service.
#[derive(Debug, Default)]
pub(super) struct ReadySet {
    prefill: StageSet,
    others: StageSet,
}

impl ReadySet {
    pub(super) fn insert(&mut self, back_end: &Arc<BackEnd>, local: &LocalDaemon) {
        self.stage_set(back_end).insert(back_end, local);
    }

    pub(super) fn remove(&mut self, back_end: &Arc<BackEnd>, local: &LocalDaemon) {
        self.stage_set(back_end).remove(back_end, local);
    }

    pub(super) fn counts(&self) -> ReadyCounts {
        ReadyCounts {
            prefill: self.prefill.count(),
            others: self.others.count(),
        }
    }

    /// Candidates of each stage with the best eligibility found, from the zones in the given order.
    pub(super) fn preferred(
        &self,
        zones_in_order: &[&str],
        eligibility: &dyn Fn(&BackEnd) -> Eligibility,
    ) -> Vec<Arc<BackEnd>> {
        let mut preferred = self.prefill.preferred(zones_in_order, eligibility);
        preferred.extend(self.others.preferred(zones_in_order, eligibility));
        preferred
    }

    /// Zones that have ready back ends: `first` leads, then the daemon's own zone, then the others
    /// in an order that differs between daemons.
    pub(super) fn zones_in_order<'a>(
        &'a self,
        first: &'a str,
        local: &'a LocalDaemon,
    ) -> Vec<&'a str> {
        let prefill = self.prefill.by_zone.keys();
        let zones_in_order = prefill.chain(self.others.by_zone.keys());
        let mut zones_in_order: Vec<&str> = zones_in_order.map(|zone| &**zone).collect();
        zones_in_order.sort_unstable_by_key(|zone| {
            let order = xxh3_64_with_seed(zone.as_bytes(), local.seed);
            (*zone != first, *zone != &*local.zone, order)
        });
        zones_in_order.dedup();
        zones_in_order
    }

    /// Rendezvous owners of a prefix in each stage, and among the decoding back ends of `zone`.
    pub(super) fn owners(&self, prefix: u64, zone: Option<&str>) -> Vec<Arc<BackEnd>> {
        let mut owners = self.prefill.owners(prefix);
        owners.extend(self.others.owners(prefix));
        if let Some(of_zone) = zone.and_then(|zone| self.others.by_zone.get(zone)) {
            owners.extend(of_zone.owners(prefix).into_iter().map(Owner::to_back_end));
        }
        owners
    }

    fn stage_set(&mut self, back_end: &BackEnd) -> &mut StageSet {
        if is_prefill(back_end) {
            &mut self.prefill
        } else {
            &mut self.others
        }
    }
}

fn is_prefill(back_end: &BackEnd) -> bool {
    back_end.stage == Some(Stage::Prefill)
}

/// Ready back ends of one service and stage.
#[derive(Debug, Default)]
struct StageSet {
    by_zone: BTreeMap<Arc<str>, ZoneSet>,
}

/// Ready back ends of one service, stage and zone.
#[derive(Debug, Default)]
struct ZoneSet {
    by_preference: BTreeMap<Preference, Arc<BackEnd>>,
    /// Stored contiguously, because finding the owners of a prefix scans all of them.
    owners: Vec<Owner>,
    positions: HashMap<Arc<str>, usize>,
}

/// Position of a back end in this daemon's order of preference within a zone.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    rank: u64,
    id: Arc<str>,
}

impl Preference {
    fn of(back_end: &BackEnd, local: &LocalDaemon) -> Self {
        Self {
            rank: xxh3_64_with_seed(back_end.id.as_bytes(), local.seed),
            id: Arc::clone(&back_end.id),
        }
    }
}

#[derive(Debug)]
struct Owner {
    id: InlineId,
    back_end: Arc<BackEnd>,
}

/// Copy of a back-end id stored inline, so that scanning for the owners of a prefix reads memory
/// sequentially instead of following a pointer per back end.
#[derive(Debug)]
struct InlineId {
    bytes: [u8; MAX_INLINE_ID_BYTES],
    length: Option<u8>,
}

/// Maximum length of an id that is stored inline; longer ids are read from the back end. Chosen so
/// that an [`Owner`] takes half a cache line.
const MAX_INLINE_ID_BYTES: usize = 22;

impl InlineId {
    fn of(id: &str) -> Self {
        let mut bytes = [0; MAX_INLINE_ID_BYTES];
        let length = u8::try_from(id.len()).ok();
        let length = length.filter(|length| usize::from(*length) <= MAX_INLINE_ID_BYTES);
        if length.is_some() {
            bytes[..id.len()].copy_from_slice(id.as_bytes());
        }
        Self { bytes, length }
    }

    /// The inline copy; `None` if the id is too long.
    fn get(&self) -> Option<&[u8]> {
        self.length.map(|length| &self.bytes[..usize::from(length)])
    }
}

impl Owner {
    fn score(&self, prefix: u64) -> u64 {
        let id = self.id.get();
        owner_score(id.unwrap_or(self.back_end.id.as_bytes()), prefix)
    }

    fn to_back_end(&self) -> Arc<BackEnd> {
        Arc::clone(&self.back_end)
    }
}

impl StageSet {
    fn insert(&mut self, back_end: &Arc<BackEnd>, local: &LocalDaemon) {
        let of_zone = self.by_zone.entry(Arc::clone(&back_end.zone)).or_default();
        of_zone.insert(back_end, local);
    }

    fn remove(&mut self, back_end: &Arc<BackEnd>, local: &LocalDaemon) {
        if let Some(of_zone) = self.by_zone.get_mut(&back_end.zone) {
            of_zone.remove(back_end, local);
        }
    }

    fn count(&self) -> usize {
        self.by_zone
            .values()
            .map(|of_zone| of_zone.owners.len())
            .sum()
    }

    fn preferred(
        &self,
        zones_in_order: &[&str],
        eligibility: &dyn Fn(&BackEnd) -> Eligibility,
    ) -> Vec<Arc<BackEnd>> {
        let of_zones = zones_in_order
            .iter()
            .filter_map(|zone| self.by_zone.get(*zone));
        let in_order = of_zones.flat_map(|of_zone| of_zone.by_preference.values());
        let mut best = Eligibility::Excluded;
        let mut preferred = Vec::new();
        for back_end in in_order {
            let found = eligibility(back_end);
            if found < best {
                best = found;
                preferred.clear();
            }
            if found == best && preferred.len() < MAX_CANDIDATES_PER_STAGE {
                preferred.push(Arc::clone(back_end));
            }
            if best == Eligibility::Preferred && preferred.len() == MAX_CANDIDATES_PER_STAGE {
                break;
            }
        }
        preferred
    }

    /// Owners of a prefix among all zones, in no particular order.
    fn owners(&self, prefix: u64) -> Vec<Arc<BackEnd>> {
        let of_zones = self.by_zone.values();
        let owners = of_zones.flat_map(|of_zone| of_zone.owners(prefix));
        let best = highest_scores(prefix, owners);
        best.into_iter().map(Owner::to_back_end).collect()
    }
}

impl ZoneSet {
    fn insert(&mut self, back_end: &Arc<BackEnd>, local: &LocalDaemon) {
        let preference = Preference::of(back_end, local);
        self.by_preference.insert(preference, Arc::clone(back_end));
        self.positions
            .insert(Arc::clone(&back_end.id), self.owners.len());
        self.owners.push(Owner {
            id: InlineId::of(&back_end.id),
            back_end: Arc::clone(back_end),
        });
    }

    fn remove(&mut self, back_end: &Arc<BackEnd>, local: &LocalDaemon) {
        self.by_preference.remove(&Preference::of(back_end, local));
        let Some(position) = self.positions.remove(&back_end.id) else {
            return;
        };
        self.owners.swap_remove(position);
        if let Some(moved) = self.owners.get(position) {
            self.positions
                .insert(Arc::clone(&moved.back_end.id), position);
        }
    }

    fn owners(&self, prefix: u64) -> Vec<&Owner> {
        highest_scores(prefix, self.owners.iter())
    }
}

/// The back ends with the highest rendezvous scores for a prefix, in no particular order.
fn highest_scores<'a>(prefix: u64, owners: impl Iterator<Item = &'a Owner>) -> Vec<&'a Owner> {
    let mut best: Vec<(u64, &Owner)> = Vec::with_capacity(OWNERS_PER_PREFIX + 1);
    for owner in owners {
        let score = owner.score(prefix);
        if best.len() == OWNERS_PER_PREFIX && best.iter().all(|(known, _owner)| *known > score) {
            continue;
        }
        best.push((score, owner));
        if best.len() > OWNERS_PER_PREFIX {
            let lowest = (0..best.len()).min_by_key(|index| best[*index].0);
            best.swap_remove(lowest.unwrap_or_default());
        }
    }
    best.into_iter().map(|(_score, owner)| owner).collect()
}

/// Rendezvous score of a back end for a prefix; the back end with the highest score owns it.
pub(crate) fn owner_score(id: &[u8], prefix: u64) -> u64 {
    xxh3_64_with_seed(id, prefix)
}
