//! Directory of back ends, built from the entries that they write into the store.

mod ready_sets;

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::capacity::Contract;
use crate::configuration::Stage;
use crate::revision::Revision;
use crate::store_doubt::REWRITE_PERIOD;
use crate::versions::{RequiredVersion, SoftwareVersion, VersionHistory};
pub(crate) use ready_sets::owner_score;
use ready_sets::{LocalDaemon, ReadySet};
pub use ready_sets::{MAX_CANDIDATES_PER_STAGE, ReadyCounts};

/// How long a removed back end stays removed although the store, restored from an older copy, shows
/// its entry again. The entry of a back end that is really gone expires after a few missed
/// heartbeats; a back end whose entry is still there after this time is alive.
pub const REMOVAL_HOLD_AFTER_RESTORE: Duration = Duration::from_secs(10);

/// How long the removal of an entry is remembered, so that older updates cannot bring it back.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Whether a back end accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts requests.
    Ready,
    /// Finishes its running requests and then stops.
    Draining,
}

/// Warm-up state of a back end according to its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmupState {
    /// Runs at full speed.
    Warm,
    /// Remaining time of the slow start when the entry was written.
    ColdFor(Duration),
    /// The entry holds no valid time; the back end is treated as warm.
    InvalidTime,
}

/// A slow start in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Longest remaining time seen so far.
    longest_remaining: Duration,
    warm_at: Instant,
}

impl ColdStart {
    /// Records that the slow start will last for another `left`; `before` is the previous state of
    /// the same incarnation.
    #[must_use]
    pub fn observe(left: Duration, before: Option<Self>, now: Instant) -> Self {
        let longest_remaining = before.map_or(left, |before| before.longest_remaining.max(left));
        Self {
            longest_remaining,
            warm_at: now + left,
        }
    }

    /// Remaining fraction of the slow start: 1 at its beginning, 0 after its end.
    #[must_use]
    pub fn remaining_fraction(self, now: Instant) -> f64 {
        let left = self.warm_at.saturating_duration_since(now);
        if self.longest_remaining.is_zero() {
            return 0.0;
        }
        left.as_secs_f64() / self.longest_remaining.as_secs_f64()
    }
}

/// Start time in Unix milliseconds, which distinguishes successive processes with the same back-end
/// id. The default, zero, stands for a back end that does not report it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Whether the back end reports its start time.
    #[must_use]
    pub fn is_stated(self) -> bool {
        self != Self::default()
    }
}

/// Identifies one incarnation of a back end among those of all back ends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId {
    /// ID of the back end.
    pub back_end: Arc<str>,
    /// Its incarnation under this ID.
    pub incarnation: Incarnation,
}

impl IncarnationId {
    /// Separates the ID from the start time in the text form.
    const SEPARATOR: char = '@';

    /// Parses the text form. A text without a start time names a back end that does not report it, or
    /// comes from a daemon of an older build.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let stated = text
            .rsplit_once(Self::SEPARATOR)
            .and_then(|(id, started)| Some((id, Incarnation(started.parse().ok()?))))
            .filter(|(_id, incarnation)| incarnation.is_stated());
        let (id, incarnation) = stated.unwrap_or((text, Incarnation::default()));
        Self {
            back_end: Arc::from(id),
            incarnation,
        }
    }
}

impl fmt::Display for IncarnationId {
    /// The ID and, if it is known, the start time in Unix milliseconds.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.back_end)?;
        if self.incarnation.is_stated() {
            write!(formatter, "{}{}", Self::SEPARATOR, self.incarnation.0)?;
        }
        Ok(())
    }
}

/// One incarnation of a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct BackEnd {
    /// Identity; a restarted back end may use it again.
    pub id: Arc<str>,
    /// Incarnation under this identity.
    pub incarnation: Incarnation,
    /// Service that the back end belongs to.
    pub service: Arc<str>,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: Arc<str>,
    /// Version of the software that this incarnation runs.
    pub version: SoftwareVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub lifecycle: Lifecycle,
    /// Stage of a model engine; `None` for a plain back end.
    pub stage: Option<Stage>,
    /// Slow start in progress; `None` when the back end is warm.
    pub cold_start: Option<ColdStart>,
    /// Kind of contract, which determines how long the machine stays available.
    pub contract: Contract,
}

impl BackEnd {
    /// Identity of this incarnation.
    #[must_use]
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId {
            back_end: Arc::clone(&self.id),
            incarnation: self.incarnation,
        }
    }
}

#[derive(Debug)]
struct Entry {
    revision: Revision,
    presence: Presence,
}

#[derive(Debug)]
enum Presence {
    Present(Arc<BackEnd>),
    Removed(Removed),
}

#[derive(Debug)]
struct Removed {
    since: Instant,
    /// Last known entry, if any.
    last: Option<Arc<BackEnd>>,
    /// The entry disappeared while the store had recently been unavailable or restored: until this
    /// time the back end may be alive and write it again. `None` if it was removed for certain.
    may_return_until: Option<Instant>,
    /// Whether the entry is only missing from a store restored from an older copy.
    is_missing_from_copy: bool,
    /// Entry that the store has shown again since it was restored from an older copy.
    restored_entry: Option<Arc<BackEnd>>,
}

impl Removed {
    /// The last known entry if the back end may still be alive.
    fn unconfirmed(&self, now: Instant) -> Option<&Arc<BackEnd>> {
        let may_return = self.may_return_until.is_some_and(|until| now < until);
        self.last.as_ref().filter(|_last| may_return)
    }

    /// Whether the back end was removed for certain, and recently enough for the removal to hold
    /// against an entry from a restored store.
    fn was_removed_recently(&self, now: Instant) -> bool {
        self.may_return_until.is_none()
            && now.saturating_duration_since(self.since) < REMOVAL_HOLD_AFTER_RESTORE
    }
}

/// Result of applying an entry from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The directory now holds the entry.
    Applied,
    /// The entry is not newer than the known one and was ignored.
    Stale,
    /// The entry comes from a store restored from an older copy and is older than what is known,
    /// which is kept.
    Superseded,
}

/// Back ends that have an entry in the store, and recent removals.
#[derive(Debug, Default)]
pub struct Directory {
    entries: IndexMap<Arc<str>, Entry>,
    local: LocalDaemon,
    ready: HashMap<Arc<str>, ReadySet>,
    versions: VersionHistory,
    /// Time after which no removal is unconfirmed.
    unconfirmed_until: Option<Instant>,
}

/// Whether a back end may be chosen for a request; better values order first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// No known reason against it.
    Preferred,
    /// Only if no preferred back end is left: it failed recently or is about to change its stage.
    Fallback,
    /// Never: it drains, asked callers to back off, is silent, or was already tried for this request.
    Excluded,
}

/// Parameters for selecting the candidates of one request.
pub struct CandidateQuery<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Zone whose back ends are preferred; `None` for the zone of this daemon.
    pub zone: Option<&'a str>,
    /// Hash of the shared prefix of the prompt, if it has one.
    pub prefix: Option<u64>,
    /// Back ends that probably hold this prefix in their cache.
    pub holders: &'a [Arc<str>],
    /// Version that the back ends must run.
    pub version: &'a RequiredVersion,
    /// Eligibility of a back end as far as this daemon knows.
    pub eligibility: &'a dyn Fn(&BackEnd) -> Eligibility,
}

impl CandidateQuery<'_> {
    /// Eligibility of a back end, of whatever version.
    fn eligibility_of(&self, back_end: &BackEnd) -> Eligibility {
        if self.version.admits(&back_end.version) {
            (self.eligibility)(back_end)
        } else {
            Eligibility::Excluded
        }
    }

    fn keep_admitted(&self, back_ends: &mut Vec<Arc<BackEnd>>) {
        back_ends.retain(|back_end| self.version.admits(&back_end.version));
    }
}

/// Candidates for one request.
#[derive(Debug, Clone, Default)]
pub struct Candidates {
    /// Candidates without duplicates, in no particular order.
    pub back_ends: Vec<Arc<BackEnd>>,
    /// Number of all ready back ends of the service, candidates or not.
    pub ready: ReadyCounts,
}

impl Directory {
    /// Creates the directory of a daemon in this zone. `seed` must differ between daemons, so that
    /// they prefer different back ends.
    #[must_use]
    pub fn for_daemon(zone: Arc<str>, seed: u64) -> Self {
        Self {
            local: LocalDaemon { zone, seed },
            ..Self::default()
        }
    }

    /// Applies an entry read from the store.
    pub fn put(&mut self, back_end: BackEnd, revision: Revision, now: Instant) -> PutOutcome {
        if self.is_stale(&back_end.id, revision) {
            return PutOutcome::Stale;
        }
        if let Some(entry) = self.entries.get_mut(&back_end.id)
            && entry.revision.era() < revision.era()
            && entry.supersedes(&back_end, now)
        {
            entry.revision = revision;
            if let Presence::Removed(removal) = &mut entry.presence {
                removal.restored_entry = Some(Arc::new(back_end));
            }
            return PutOutcome::Superseded;
        }
        self.insert_present(back_end, revision, now);
        PutOutcome::Applied
    }

    fn insert_present(&mut self, back_end: BackEnd, revision: Revision, now: Instant) {
        self.record_departed_version(&back_end.id, now);
        self.remove_from_ready_set(&back_end.id);
        let back_end = Arc::new(back_end);
        if back_end.lifecycle == Lifecycle::Ready {
            let set = self.ready.entry(Arc::clone(&back_end.service)).or_default();
            set.insert(&back_end, &self.local);
        }
        let id = Arc::clone(&back_end.id);
        let presence = Presence::Present(back_end);
        self.entries.insert(id, Entry { revision, presence });
    }

    /// Applies a peer's entry for a back end whose entry here comes from a store restored from an
    /// older copy. Returns whether the peer's entry is newer and was applied.
    pub fn put_from_peer(&mut self, back_end: BackEnd, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&back_end.id) else {
            return false;
        };
        let is_newer = match &entry.presence {
            Presence::Present(store_entry) => is_later(&back_end, store_entry),
            Presence::Removed(_) => false,
        };
        if is_newer {
            let revision = entry.revision;
            self.insert_present(back_end, revision, now);
        }
        is_newer
    }

    /// Applies a removal known to a peer to an entry that comes from a store restored from an older
    /// copy. Returns whether the back end was present.
    pub fn remove_from_peer(&mut self, id: &str, now: Instant) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let Some(store_entry) = entry.present().cloned() else {
            return false;
        };
        let revision = entry.revision;
        self.mark_removed(id, revision, now, None);
        if let Some(Entry {
            presence: Presence::Removed(removal),
            ..
        }) = self.entries.get_mut(id)
        {
            removal.restored_entry = Some(store_entry);
        }
        true
    }

    fn record_departed_version(&mut self, id: &str, now: Instant) {
        if let Some(known) = self.entries.get(id).and_then(Entry::present) {
            self.versions
                .record_departure(&known.service, &known.version, now);
        }
    }

    fn remove_from_ready_set(&mut self, id: &str) {
        let Some(known) = self.entries.get(id).and_then(Entry::present) else {
            return;
        };
        if let Some(set) = self.ready.get_mut(&known.service) {
            set.remove(known, &self.local);
        }
    }

    /// Applies the removal of an entry. If the store was unavailable recently, so that entries of
    /// healthy back ends may have expired, the back end may write it again until
    /// `may_return_until`, at most [`REWRITE_PERIOD`] from now. Returns whether the removal is newer
    /// than what is known.
    ///
    /// An entry that is missing from a store restored from an older copy may also be written again,
    /// so its removal is unconfirmed as well.
    pub fn remove(
        &mut self,
        id: &str,
        revision: Revision,
        now: Instant,
        may_return_until: Option<Instant>,
    ) -> bool {
        if self.is_stale(id, revision) {
            return false;
        }
        let mut is_from_earlier_era = false;
        if let Some(known) = self.entries.get_mut(id) {
            is_from_earlier_era = known.revision.era() < revision.era();
            if is_from_earlier_era && known.present().is_none() {
                // A removal known from before the restore stays confirmed.
                known.revision = revision;
                return true;
            }
        }
        let latest = now + REWRITE_PERIOD;
        let may_return_until = if is_from_earlier_era {
            Some(latest)
        } else {
            may_return_until.map(|until| until.min(latest))
        };
        self.mark_removed(id, revision, now, may_return_until);
        if let Some(removal) = self.entries.get_mut(id).and_then(Entry::removed_mut) {
            removal.is_missing_from_copy = is_from_earlier_era;
        }
        true
    }

    /// Confirms the removals that were unconfirmed because the store seemed to have been
    /// unavailable. Returns their number.
    pub fn confirm_removals(&mut self) -> usize {
        let removals = self.entries.values_mut().filter_map(Entry::removed_mut);
        let mut confirmed = 0;
        for removal in removals.filter(|removal| !removal.is_missing_from_copy) {
            confirmed += usize::from(removal.may_return_until.take().is_some());
        }
        confirmed
    }

    /// Applies a written entry that names no usable back end. It replaces the known entry, so that
    /// the back end is out of use until a usable entry is written. Unlike a removal, it does not
    /// result from an unavailable store. Returns whether it is newer than what is known.
    pub fn take_out_of_use(&mut self, id: &str, revision: Revision, now: Instant) -> bool {
        if self.is_stale(id, revision) {
            return false;
        }
        self.mark_removed(id, revision, now, None);
        true
    }

    fn mark_removed(
        &mut self,
        id: &str,
        revision: Revision,
        now: Instant,
        may_return_until: Option<Instant>,
    ) {
        self.record_departed_version(id, now);
        self.remove_from_ready_set(id);
        let last = self.entries.get(id).and_then(Entry::present).cloned();
        let was_ready = last
            .as_ref()
            .is_some_and(|last| last.lifecycle == Lifecycle::Ready);
        let may_return_until = may_return_until.filter(|_until| was_ready);
        self.unconfirmed_until = self.unconfirmed_until.max(may_return_until);
        let removal = Removed {
            since: now,
            last,
            may_return_until,
            is_missing_from_copy: false,
            restored_entry: None,
        };
        let presence = Presence::Removed(removal);
        self.entries
            .insert(Arc::from(id), Entry { revision, presence });
    }

    fn is_stale(&self, id: &str, revision: Revision) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| entry.revision >= revision)
    }

    /// Back ends of `service` that accept new requests. Unconfirmed removals are included only
    /// while they outnumber the ready back ends.
    #[must_use]
    pub fn ready(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        let mut ready: Vec<Arc<BackEnd>> = self
            .present()
            .filter(|back_end| &*back_end.service == service)
            .filter(|back_end| back_end.lifecycle == Lifecycle::Ready)
            .cloned()
            .collect();
        let unconfirmed = self.unconfirmed(service, now);
        if unconfirmed.len() > ready.len() {
            ready.extend(unconfirmed);
        }
        ready
    }

    /// Candidates for one request: a bounded number for each stage, the rendezvous owners of the
    /// prompt's prefix, and the back ends that hold it. While there are unconfirmed removals, all
    /// back ends returned by [`Self::ready`] are candidates.
    #[must_use]
    pub fn candidates(&self, query: &CandidateQuery<'_>, now: Instant) -> Candidates {
        if self.has_unconfirmed_removals(now) {
            let mut back_ends = self.ready(query.service, now);
            let ready = ReadyCounts::of(&back_ends);
            query.keep_admitted(&mut back_ends);
            return Candidates { back_ends, ready };
        }
        let Some(set) = self.ready.get(query.service) else {
            return Candidates::default();
        };
        let first_zone = query.zone.unwrap_or(&self.local.zone);
        let zones = set.zones_in_order(first_zone, &self.local);
        let mut back_ends = set.preferred(&zones, &|back_end| query.eligibility_of(back_end));
        let owners = query.prefix.map(|prefix| set.owners(prefix, query.zone));
        let holders = self.ready_among(query.service, query.holders);
        for other in owners.unwrap_or_default().into_iter().chain(holders) {
            if !back_ends.iter().any(|known| Arc::ptr_eq(known, &other)) {
                back_ends.push(other);
            }
        }
        query.keep_admitted(&mut back_ends);
        Candidates {
            back_ends,
            ready: set.counts(),
        }
    }

    /// The listed back ends that belong to `service` and accept new requests.
    #[must_use]
    pub fn ready_among(&self, service: &str, ids: &[Arc<str>]) -> Vec<Arc<BackEnd>> {
        ids.iter()
            .filter_map(|id| self.get(id))
            .filter(|back_end| &*back_end.service == service)
            .filter(|back_end| back_end.lifecycle == Lifecycle::Ready)
            .cloned()
            .collect()
    }

    /// Whether a back end of `service` that runs an admitted version accepts new requests, or may
    /// do so again because its removal is unconfirmed. Takes time in proportion to the number of
    /// back ends.
    #[must_use]
    pub fn has_version(&self, service: &str, version: &RequiredVersion, now: Instant) -> bool {
        let ready = self
            .present()
            .filter(|back_end| back_end.lifecycle == Lifecycle::Ready)
            .filter(|back_end| &*back_end.service == service);
        let unconfirmed = self.unconfirmed(service, now);
        ready
            .chain(&unconfirmed)
            .any(|back_end| version.admits(&back_end.version))
    }

    /// Whether the service has a back end with an entry. Takes time in proportion to the number of
    /// back ends.
    #[must_use]
    pub fn has_back_ends(&self, service: &str) -> bool {
        let mut present = self.present();
        present.any(|back_end| &*back_end.service == service)
    }

    /// The version of the service's software if all back ends that had an entry after `since` stated
    /// the same. Takes time in proportion to the number of back ends.
    #[must_use]
    pub fn sole_version(&self, service: &str, since: Instant) -> Option<Arc<str>> {
        let present = self.present();
        let present = present.filter(|back_end| &*back_end.service == service);
        let mut versions = present
            .map(|back_end| &back_end.version)
            .chain(self.versions.seen_since(service, since));
        let first = versions.next()?;
        match first {
            SoftwareVersion::Stated(version) if versions.all(|other| other == first) => {
                Some(Arc::clone(version))
            }
            _ => None,
        }
    }

    /// Whether the directory permits sending a new request to the back end: it is ready, or its
    /// removal is unconfirmed.
    #[must_use]
    pub fn accepts_requests(&self, id: &str, now: Instant) -> bool {
        match self.entries.get(id).map(|entry| &entry.presence) {
            Some(Presence::Present(back_end)) => back_end.lifecycle == Lifecycle::Ready,
            Some(Presence::Removed(removal)) => removal.unconfirmed(now).is_some(),
            None => false,
        }
    }

    fn has_unconfirmed_removals(&self, now: Instant) -> bool {
        self.unconfirmed_until.is_some_and(|until| now < until)
    }

    fn unconfirmed(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        self.entries
            .values()
            .filter_map(|entry| match &entry.presence {
                Presence::Removed(removal) => removal.unconfirmed(now).cloned(),
                Presence::Present(_) => None,
            })
            .filter(|back_end| &*back_end.service == service)
            .collect()
    }

    /// All back ends that have an entry.
    pub fn present(&self) -> impl Iterator<Item = &Arc<BackEnd>> {
        self.entries.values().filter_map(Entry::present)
    }

    /// The entry of a back end.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<BackEnd>> {
        self.entries.get(id)?.present()
    }

    /// Whether the entries show that this incarnation of a back end no longer runs: it has started
    /// again, its entry was removed for certain, or a later process uses its address.
    ///
    /// A back end that leaves removes its entry some time before it ends, so the removal counts only
    /// for one at whose address nothing listens.
    #[must_use]
    pub fn has_ended(&self, known: &BackEnd, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&known.id) else {
            return true;
        };
        match &entry.presence {
            Presence::Removed(removal) => removal.unconfirmed(now).is_none(),
            Presence::Present(newest) => {
                newest.incarnation > known.incarnation || self.is_address_reused(known)
            }
        }
    }

    /// Whether a back end with another ID, which started later, uses the address.
    fn is_address_reused(&self, known: &BackEnd) -> bool {
        known.incarnation.is_stated()
            && self.present().any(|other| {
                other.address == known.address
                    && other.id != known.id
                    && other.incarnation > known.incarnation
            })
    }

    /// Forgets old removals. Restores the removed back ends whose entries have been present since
    /// the store was restored from an older copy, and returns them.
    pub fn expire_removals(&mut self, now: Instant) -> Vec<Arc<BackEnd>> {
        let reappeared: Vec<(Arc<BackEnd>, Revision)> = self
            .entries
            .values()
            .filter_map(|entry| match &entry.presence {
                Presence::Removed(removal) if !removal.was_removed_recently(now) => {
                    let store_entry = removal.restored_entry.clone();
                    store_entry.map(|store_entry| (store_entry, entry.revision))
                }
                _ => None,
            })
            .collect();
        for (back_end, revision) in &reappeared {
            self.insert_present(BackEnd::clone(back_end), *revision, now);
        }
        self.versions.expire(now);
        self.entries.retain(|_id, entry| match &entry.presence {
            Presence::Present(_) => true,
            Presence::Removed(removal) => {
                now.saturating_duration_since(removal.since) < TOMBSTONE_RETENTION
            }
        });
        reappeared
            .into_iter()
            .map(|(back_end, _revision)| back_end)
            .collect()
    }
}

/// Whether `known` is later than `restored`: it is of a later incarnation, or the same incarnation
/// has begun to drain.
fn is_later(known: &BackEnd, restored: &BackEnd) -> bool {
    if known.incarnation != restored.incarnation {
        return known.incarnation > restored.incarnation;
    }
    known.lifecycle == Lifecycle::Draining && restored.lifecycle == Lifecycle::Ready
}

impl Entry {
    /// Whether what is known is later than a restored entry, or the back end has been removed
    /// since.
    fn supersedes(&self, restored: &BackEnd, now: Instant) -> bool {
        match &self.presence {
            Presence::Present(known) => is_later(known, restored),
            Presence::Removed(removal) => {
                let last = removal.last.as_ref();
                removal.was_removed_recently(now)
                    && last.is_some_and(|last| last.incarnation >= restored.incarnation)
            }
        }
    }

    fn present(&self) -> Option<&Arc<BackEnd>> {
        match &self.presence {
            Presence::Present(back_end) => Some(back_end),
            Presence::Removed(_) => None,
        }
    }

    const fn removed_mut(&mut self) -> Option<&mut Removed> {
        match &mut self.presence {
            Presence::Present(_) => None,
            Presence::Removed(removal) => Some(removal),
        }
    }
}
