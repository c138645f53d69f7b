//! What back ends say of themselves, as the store holds it.

mod ready_sets;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::capacity::Contract;
use crate::configuration::Stage;
use crate::revision::Revision;
pub(crate) use ready_sets::owner_score;
pub use ready_sets::{MAX_CANDIDATES_PER_STAGE, ReadyCounts};
use ready_sets::{ReadySet, Vantage};

/// How long a back end whose entry vanished while the store was in doubt may still be used. Back ends that are well write
/// their entries anew within about two seconds of the store's return (the platform's promise); half a second more until
/// that is known here. One that is still missing then is gone.
pub const UNCONFIRMED_REMOVAL_GRACE: Duration = Duration::from_millis(2_500);

/// How long a back end that had gone stays gone though the store, back from an older copy, shows its entry. That of one that is
/// gone lapses within a few of its heartbeats; one that is still there then lives.
pub const REMOVAL_HOLD_AFTER_RESTORE: Duration = Duration::from_secs(10);

/// How long the removal of an entry is remembered, so that no older news brings it back.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Whether a back end takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes requests.
    Ready,
    /// Ends what it has and leaves.
    Draining,
}

/// What a back end's entry says of its slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmupState {
    /// It is as fast as it will be.
    Warm,
    /// It was slow for so much longer when the entry was written.
    ColdFor(Duration),
    /// The entry holds no usable time; the back end is taken as warm.
    InvalidTime,
}

/// A slow start that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// The longest time that the back end was seen to have left.
    whole: Duration,
    warm_at: Instant,
}

impl ColdStart {
    /// A back end was seen to be slow for so much longer; `before` is what was known of this life's start.
    #[must_use]
    pub fn observe(left: Duration, before: Option<Self>, now: Instant) -> Self {
        let whole = before.map_or(left, |before| before.whole.max(left));
        Self {
            whole,
            warm_at: now + left,
        }
    }

    /// Part of the slow start that is left: 1 at its beginning, 0 from its end on.
    #[must_use]
    pub fn remaining_fraction(self, now: Instant) -> f64 {
        let left = self.warm_at.saturating_duration_since(now);
        if self.whole.is_zero() {
            return 0.0;
        }
        left.as_secs_f64() / self.whole.as_secs_f64()
    }
}

/// Tells lives of a back end apart that have one identity: the time of the start, in Unix milliseconds. The least is that of a
/// back end that does not tell it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// One life of a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct BackEnd {
    /// Identity, which may pass to a later life.
    pub id: Arc<str>,
    /// Which life under this identity.
    pub incarnation: Incarnation,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// What a model engine does; none for a plain back end.
    pub stage: Option<Stage>,
    /// Its slow start; none where it is warm.
    pub cold_start: Option<ColdStart>,
    /// How long it stays.
    pub contract: Contract,
}

#[derive(Debug)]
struct Entry {
    revision: Revision,
    presence: Presence,
}

#[derive(Debug)]
enum Presence {
    Present(Arc<BackEnd>),
    Vanished(Vanished),
}

#[derive(Debug)]
struct Vanished {
    since: Instant,
    /// The last entry of the back end, where one was known.
    last: Option<Arc<BackEnd>>,
    /// It vanished while the store was in doubt.
    in_doubt: bool,
    /// Its entry as the store shows it since it came back from an older copy.
    shown_by_copy: Option<Arc<BackEnd>>,
}

impl Vanished {
    /// The back end, where it may only have lost its entry.
    fn doubted(&self, now: Instant) -> Option<&Arc<BackEnd>> {
        let is_doubted = self.in_doubt && now.saturating_duration_since(self.since) < UNCONFIRMED_REMOVAL_GRACE;
        self.last.as_ref().filter(|_last| is_doubted)
    }

    /// Whether it has gone, and not long ago.
    fn has_gone_lately(&self, now: Instant) -> bool {
        !self.in_doubt && now.saturating_duration_since(self.since) < REMOVAL_HOLD_AFTER_RESTORE
    }
}

/// What became of an entry that the store showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It is known so from now on.
    Applied,
    /// It is no newer than what is known.
    Stale,
    /// The store came back from an older copy, whose entry says less than what was known before: that stays known.
    Superseded,
}

/// All back ends that the store knows or has lately known.
#[derive(Debug, Default)]
pub struct Directory {
    entries: IndexMap<Arc<str>, Entry>,
    vantage: Vantage,
    ready: HashMap<Arc<str>, ReadySet>,
    /// When an entry last vanished in doubt.
    last_doubt: Option<Instant>,
}

/// How well a back end can be chosen for a request; the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// Nothing speaks against it.
    Preferred,
    /// Where no other is left: it failed lately, or is about to change.
    Fallback,
    /// Not at all: it drains, wants no requests for now, or had this one.
    Excluded,
}

/// What a choice among the back ends of a service depends on.
pub struct CandidateQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// The zone whose back ends come first; that of the daemon where there is none.
    pub zone: Option<&'a str>,
    /// The prompt's shared prefix, where it has one.
    pub prefix: Option<u64>,
    /// Back ends that are believed to hold it.
    pub holders: &'a [Arc<str>],
    /// How well a back end can be chosen, as far as this daemon knows.
    pub eligibility: &'a dyn Fn(&BackEnd) -> Eligibility,
}

/// The back ends among which one request's are chosen.
#[derive(Debug, Clone, Default)]
pub struct Candidates {
    /// In no order, each once.
    pub back_ends: Vec<Arc<BackEnd>>,
    /// All that are ready.
    pub ready: ReadyCounts,
}

impl Directory {
    /// A directory as a daemon of this zone sees it; `seed` differs from daemon to daemon.
    #[must_use]
    pub fn for_daemon(zone: Arc<str>, seed: u64) -> Self {
        Self {
            vantage: Vantage { zone, seed },
            ..Self::default()
        }
    }

    /// Takes an entry as the store holds it.
    pub fn put(&mut self, back_end: BackEnd, revision: Revision, now: Instant) -> PutOutcome {
        if self.is_stale(&back_end.id, revision) {
            return PutOutcome::Stale;
        }
        if let Some(entry) = self.entries.get_mut(&back_end.id)
            && entry.revision.era() < revision.era()
            && entry.outlives(&back_end, now)
        {
            entry.revision = revision;
            if let Presence::Vanished(vanished) = &mut entry.presence {
                vanished.shown_by_copy = Some(Arc::new(back_end));
            }
            return PutOutcome::Superseded;
        }
        self.make_present(back_end, revision);
        PutOutcome::Applied
    }

    fn make_present(&mut self, back_end: BackEnd, revision: Revision) {
        self.leave_ready_set(&back_end.id);
        let back_end = Arc::new(back_end);
        if back_end.lifecycle == Lifecycle::Ready {
            let set = self.ready.entry(Arc::clone(&back_end.service)).or_default();
            set.insert(&back_end, &self.vantage);
        }
        let id = Arc::clone(&back_end.id);
        let presence = Presence::Present(back_end);
        self.entries.insert(id, Entry { revision, presence });
    }

    /// Takes what a peer knows of a back end whose entry the store, back from an older copy, shows here. Returns whether it says
    /// more than that.
    pub fn put_from_peer(&mut self, back_end: BackEnd) -> bool {
        let Some(entry) = self.entries.get(&back_end.id) else {
            return false;
        };
        let is_news = match &entry.presence {
            Presence::Present(shown) => says_more(&back_end, shown),
            Presence::Vanished(_) => false,
        };
        if is_news {
            let revision = entry.revision;
            self.make_present(back_end, revision);
        }
        is_news
    }

    /// The same for a back end that had gone.
    pub fn remove_from_peer(&mut self, id: &str, now: Instant) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let Some(shown) = entry.present().cloned() else {
            return false;
        };
        let revision = entry.revision;
        self.vanish(id, revision, now, false);
        if let Some(Entry {
            presence: Presence::Vanished(vanished),
            ..
        }) = self.entries.get_mut(id)
        {
            vanished.shown_by_copy = Some(shown);
        }
        true
    }

    fn leave_ready_set(&mut self, id: &str) {
        let Some(known) = self.entries.get(id).and_then(Entry::present) else {
            return;
        };
        if let Some(set) = self.ready.get_mut(&known.service) {
            set.remove(known, &self.vantage);
        }
    }

    /// Takes the removal of an entry. `store_in_doubt`: the store was lately away, so that entries may
    /// have lapsed though their back ends are well. Returns whether it was news.
    ///
    /// An entry that the store lacks since it came back from an older copy may be written again too.
    pub fn remove(
        &mut self,
        id: &str,
        revision: Revision,
        now: Instant,
        store_in_doubt: bool,
    ) -> bool {
        if self.is_stale(id, revision) {
            return false;
        }
        let mut is_of_era_before = false;
        if let Some(known) = self.entries.get_mut(id) {
            is_of_era_before = known.revision.era() < revision.era();
            if is_of_era_before && known.present().is_none() {
                // What had gone before is not in doubt now.
                known.revision = revision;
                return true;
            }
        }
        self.vanish(id, revision, now, store_in_doubt || is_of_era_before);
        true
    }

    fn vanish(&mut self, id: &str, revision: Revision, now: Instant, store_in_doubt: bool) {
        self.leave_ready_set(id);
        let last = self.entries.get(id).and_then(Entry::present).cloned();
        let was_ready = last
            .as_ref()
            .is_some_and(|last| last.lifecycle == Lifecycle::Ready);
        let in_doubt = store_in_doubt && was_ready;
        if in_doubt {
            self.last_doubt = Some(now);
        }
        let vanished = Vanished {
            since: now,
            last,
            in_doubt,
            shown_by_copy: None,
        };
        let presence = Presence::Vanished(vanished);
        self.entries
            .insert(Arc::from(id), Entry { revision, presence });
    }

    fn is_stale(&self, id: &str, revision: Revision) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| entry.revision >= revision)
    }

    /// Back ends of `service` that take new requests. Those that vanished in doubt count only while
    /// they are the greater part.
    #[must_use]
    pub fn ready(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        let mut ready: Vec<Arc<BackEnd>> = self
            .present()
            .filter(|back_end| &*back_end.service == service)
            .filter(|back_end| back_end.lifecycle == Lifecycle::Ready)
            .cloned()
            .collect();
        let doubted = self.doubted(service, now);
        if doubted.len() > ready.len() {
            ready.extend(doubted);
        }
        ready
    }

    /// The back ends among which one request's are chosen: a bounded number of each stage, the owners of the prompt's prefix,
    /// and those that hold it. While entries vanish in doubt they are all that [`Self::ready`] tells.
    #[must_use]
    pub fn candidates(&self, query: &CandidateQuery<'_>, now: Instant) -> Candidates {
        if self.is_doubted(now) {
            let back_ends = self.ready(query.service, now);
            let ready = ReadyCounts::of(&back_ends);
            return Candidates { back_ends, ready };
        }
        let Some(set) = self.ready.get(query.service) else {
            return Candidates::default();
        };
        let first_zone = query.zone.unwrap_or(&self.vantage.zone);
        let zones = set.zones(first_zone, &self.vantage);
        let mut back_ends = set.preferred(&zones, query.eligibility);
        let owners = query.prefix.map(|prefix| set.owners(prefix, query.zone));
        let holders = self.ready_among(query.service, query.holders);
        for other in owners.unwrap_or_default().into_iter().chain(holders) {
            if !back_ends.iter().any(|known| Arc::ptr_eq(known, &other)) {
                back_ends.push(other);
            }
        }
        Candidates {
            back_ends,
            ready: set.counts(),
        }
    }

    /// Those of these back ends that belong to `service` and take new requests.
    #[must_use]
    pub fn ready_among(&self, service: &str, ids: &[Arc<str>]) -> Vec<Arc<BackEnd>> {
        ids.iter()
            .filter_map(|id| self.get(id))
            .filter(|back_end| &*back_end.service == service)
            .filter(|back_end| back_end.lifecycle == Lifecycle::Ready)
            .cloned()
            .collect()
    }

    /// Whether the back end may get a new request, as far as its entry tells: it is ready, or vanished in doubt.
    #[must_use]
    pub fn accepts_requests(&self, id: &str, now: Instant) -> bool {
        match self.entries.get(id).map(|entry| &entry.presence) {
            Some(Presence::Present(back_end)) => back_end.lifecycle == Lifecycle::Ready,
            Some(Presence::Vanished(vanished)) => vanished.doubted(now).is_some(),
            None => false,
        }
    }

    fn is_doubted(&self, now: Instant) -> bool {
        self.last_doubt
            .is_some_and(|last| now.saturating_duration_since(last) < UNCONFIRMED_REMOVAL_GRACE)
    }

    fn doubted(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        self.entries
            .values()
            .filter_map(|entry| match &entry.presence {
                Presence::Vanished(vanished) => vanished.doubted(now).cloned(),
                Presence::Present(_) => None,
            })
            .filter(|back_end| &*back_end.service == service)
            .collect()
    }

    /// Every back end that has an entry.
    pub fn present(&self) -> impl Iterator<Item = &Arc<BackEnd>> {
        self.entries.values().filter_map(Entry::present)
    }

    /// The entry of this back end.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<BackEnd>> {
        self.entries.get(id)?.present()
    }

    /// Forgets removals that are long past. Back ends that had gone, and whose entries the store has shown ever since it came back
    /// from an older copy, live: returns those.
    pub fn expire_removals(&mut self, now: Instant) -> Vec<Arc<BackEnd>> {
        let alive: Vec<(Arc<BackEnd>, Revision)> = self
            .entries
            .values()
            .filter_map(|entry| match &entry.presence {
                Presence::Vanished(vanished) if !vanished.has_gone_lately(now) => {
                    let shown = vanished.shown_by_copy.clone();
                    shown.map(|shown| (shown, entry.revision))
                }
                _ => None,
            })
            .collect();
        for (back_end, revision) in &alive {
            self.make_present(BackEnd::clone(back_end), *revision);
        }
        self.entries.retain(|_id, entry| match &entry.presence {
            Presence::Present(_) => true,
            Presence::Vanished(vanished) => {
                now.saturating_duration_since(vanished.since) < TOMBSTONE_RETENTION
            }
        });
        alive
            .into_iter()
            .map(|(back_end, _revision)| back_end)
            .collect()
    }
}

/// Whether what is known of a back end is of a later time than a copy of its entry: the same life has begun to leave since, or a later
/// life has begun.
fn says_more(known: &BackEnd, copy: &BackEnd) -> bool {
    if known.incarnation != copy.incarnation {
        return known.incarnation > copy.incarnation;
    }
    known.lifecycle == Lifecycle::Draining && copy.lifecycle == Lifecycle::Ready
}

impl Entry {
    /// Whether what is known is of a later time than a copy of the entry, or the back end has gone since.
    fn outlives(&self, copy: &BackEnd, now: Instant) -> bool {
        match &self.presence {
            Presence::Present(known) => says_more(known, copy),
            Presence::Vanished(vanished) => {
                let last = vanished.last.as_ref();
                vanished.has_gone_lately(now)
                    && last.is_some_and(|last| last.incarnation >= copy.incarnation)
            }
        }
    }

    fn present(&self) -> Option<&Arc<BackEnd>> {
        match &self.presence {
            Presence::Present(back_end) => Some(back_end),
            Presence::Vanished(_) => None,
        }
    }
}
