//! Ready back ends by service, kept as entries come and go, so that a choice costs what its candidates cost and not what the
//! fleet counts.
//!
//! A daemon chooses among a bounded number of back ends of each stage: those of its own zone first, in an order of its own
//! that stays as back ends come and go, and that is another for each daemon, so that all back ends are chosen by about as many
//! daemons. A request whose prompt begins with a shared prefix may go to the prefix's rendezvous owners too, which all daemons
//! find alike among all back ends.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BackEnd, Eligibility};
use crate::configuration::Stage;

/// Back ends of each stage that one daemon chooses among: far more than the requests that it has in progress. Choosing for a long
/// prompt took 55 to 135 ms on 0.12 of a core among 9,560 engines, and takes 5 ms among so many (time from the prompt's intake to
/// its placement in the daemon's lines).
pub const MAX_CANDIDATES_PER_STAGE: usize = 128;
/// Rendezvous owners of a prefix that are candidates: the second and third where the first is ejected or changes.
const OWNERS: usize = 3;

/// From where a daemon sees the fleet.
#[derive(Debug, Clone, Default)]
pub(super) struct Vantage {
    pub(super) zone: Arc<str>,
    /// Differs from daemon to daemon.
    pub(super) seed: u64,
}

/// Ready engines of one service by what they do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadyCounts {
    /// Engines that read prompts for others.
    pub prefill: usize,
    /// Engines that generate, and plain back ends.
    pub others: usize,
}

impl ReadyCounts {
    /// The number of those in a list.
    pub(super) fn of(back_ends: &[Arc<BackEnd>]) -> Self {
        let prefill = back_ends.iter().filter(|back_end| is_prefill(back_end));
        let prefill = prefill.count();
        Self {
            prefill,
            others: back_ends.len() - prefill,
        }
    }

    /// All of them.
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
    pub(super) fn insert(&mut self, back_end: &Arc<BackEnd>, vantage: &Vantage) {
        self.stage_set(back_end).insert(back_end, vantage);
    }

    pub(super) fn remove(&mut self, back_end: &Arc<BackEnd>, vantage: &Vantage) {
        self.stage_set(back_end).remove(back_end, vantage);
    }

    pub(super) fn counts(&self) -> ReadyCounts {
        ReadyCounts {
            prefill: self.prefill.count(),
            others: self.others.count(),
        }
    }

    /// Those that this daemon prefers, the zones in this order, as far as nothing speaks against them; of a stage without any,
    /// the best of the others.
    pub(super) fn preferred(
        &self,
        zones: &[&str],
        eligibility: &dyn Fn(&BackEnd) -> Eligibility,
    ) -> Vec<Arc<BackEnd>> {
        let mut preferred = self.prefill.preferred(zones, eligibility);
        preferred.extend(self.others.preferred(zones, eligibility));
        preferred
    }

    /// The zones in which any are, `first` ahead, then the own one, then the others in an order that differs from daemon to
    /// daemon.
    pub(super) fn zones<'a>(&'a self, first: &'a str, vantage: &'a Vantage) -> Vec<&'a str> {
        let prefill = self.prefill.by_zone.keys();
        let zones = prefill.chain(self.others.by_zone.keys());
        let mut zones: Vec<&str> = zones.map(|zone| &**zone).collect();
        zones.sort_unstable_by_key(|zone| {
            let order = xxh3_64_with_seed(zone.as_bytes(), vantage.seed);
            (*zone != first, *zone != &*vantage.zone, order)
        });
        zones.dedup();
        zones
    }

    /// The rendezvous owners of a prefix in each stage, and among those of `zone` that generate.
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
    /// Side by side in memory, since the owners of a prefix are looked for among all of them.
    owners: Vec<Owner>,
    places: HashMap<Arc<str>, usize>,
}

/// Place in a daemon's order of the back ends of one zone.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    rank: u64,
    id: Arc<str>,
}

impl Preference {
    fn of(back_end: &BackEnd, vantage: &Vantage) -> Self {
        Self {
            rank: xxh3_64_with_seed(back_end.id.as_bytes(), vantage.seed),
            id: Arc::clone(&back_end.id),
        }
    }
}

#[derive(Debug)]
struct Owner {
    id: AdjacentId,
    back_end: Arc<BackEnd>,
}

/// A copy of an identity that lies beside those of other owners, so that looking for a prefix's owners reads memory in one pass
/// and follows no pointer for each back end.
#[derive(Debug)]
struct AdjacentId {
    bytes: [u8; LONGEST_ADJACENT],
    length: Option<u8>,
}

/// Longest identity that is copied, in bytes; longer ones are looked up. Makes an owner half a cache line.
const LONGEST_ADJACENT: usize = 22;

impl AdjacentId {
    fn of(id: &str) -> Self {
        let mut bytes = [0; LONGEST_ADJACENT];
        let length = u8::try_from(id.len()).ok();
        let length = length.filter(|length| usize::from(*length) <= LONGEST_ADJACENT);
        if length.is_some() {
            bytes[..id.len()].copy_from_slice(id.as_bytes());
        }
        Self { bytes, length }
    }

    /// The copy; none of one that is too long.
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
    fn insert(&mut self, back_end: &Arc<BackEnd>, vantage: &Vantage) {
        let of_zone = self.by_zone.entry(Arc::clone(&back_end.zone)).or_default();
        of_zone.insert(back_end, vantage);
    }

    fn remove(&mut self, back_end: &Arc<BackEnd>, vantage: &Vantage) {
        if let Some(of_zone) = self.by_zone.get_mut(&back_end.zone) {
            of_zone.remove(back_end, vantage);
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
        zones: &[&str],
        eligibility: &dyn Fn(&BackEnd) -> Eligibility,
    ) -> Vec<Arc<BackEnd>> {
        let of_zones = zones.iter().filter_map(|zone| self.by_zone.get(*zone));
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

    /// The owners of all zones, in no order.
    fn owners(&self, prefix: u64) -> Vec<Arc<BackEnd>> {
        let of_zones = self.by_zone.values();
        let owners = of_zones.flat_map(|of_zone| of_zone.owners(prefix));
        let best = highest(prefix, owners);
        best.into_iter().map(Owner::to_back_end).collect()
    }
}

impl ZoneSet {
    fn insert(&mut self, back_end: &Arc<BackEnd>, vantage: &Vantage) {
        let preference = Preference::of(back_end, vantage);
        self.by_preference.insert(preference, Arc::clone(back_end));
        self.places
            .insert(Arc::clone(&back_end.id), self.owners.len());
        self.owners.push(Owner {
            id: AdjacentId::of(&back_end.id),
            back_end: Arc::clone(back_end),
        });
    }

    fn remove(&mut self, back_end: &Arc<BackEnd>, vantage: &Vantage) {
        self.by_preference
            .remove(&Preference::of(back_end, vantage));
        let Some(place) = self.places.remove(&back_end.id) else {
            return;
        };
        self.owners.swap_remove(place);
        if let Some(moved) = self.owners.get(place) {
            self.places.insert(Arc::clone(&moved.back_end.id), place);
        }
    }

    fn owners(&self, prefix: u64) -> Vec<&Owner> {
        highest(prefix, self.owners.iter())
    }
}

/// Those with the highest scores for a prefix, in no order.
fn highest<'a>(prefix: u64, owners: impl Iterator<Item = &'a Owner>) -> Vec<&'a Owner> {
    let mut best: Vec<(u64, &Owner)> = Vec::with_capacity(OWNERS + 1);
    for owner in owners {
        let score = owner.score(prefix);
        if best.len() == OWNERS && best.iter().all(|(known, _owner)| *known > score) {
            continue;
        }
        best.push((score, owner));
        if best.len() > OWNERS {
            let lowest = (0..best.len()).min_by_key(|index| best[*index].0);
            best.swap_remove(lowest.unwrap_or_default());
        }
    }
    best.into_iter().map(|(_score, owner)| owner).collect()
}

/// Score of the back end with this identity for a prefix: the one with the highest owns it.
pub(crate) fn owner_score(id: &[u8], prefix: u64) -> u64 {
    xxh3_64_with_seed(id, prefix)
}
