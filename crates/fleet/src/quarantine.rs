//! Detection and quarantine of requests that crash the engines that run them ("queries of death").
//!
//! An engine that terminates fails all its running requests, of which at most one is the cause. For
//! each request the daemons collect the runs that were lost because their engine terminated. A run
//! that completes clears the request. Engines that terminate at about the same time under
//! overlapping runs count once, because a power failure of a rack can terminate many engines that
//! run copies of one popular request. After the second engine the request is suspected, which is
//! announced to all daemons; after the third it is quarantined.
//!
//! State only grows and merges as sets, so messages may be repeated, reordered and relayed by any
//! daemon.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fingerprint::RequestFingerprint;

/// Successive engine terminations after which a request is suspected. An unrelated request that
/// shared one engine with the cause rarely reaches two.
const SUSPECTED_AFTER_ENGINES: usize = 2;
/// Successive engine terminations after which a request is quarantined. With two, unrelated
/// requests that met the same crashing request twice would be quarantined too: up to 16 of 720 with
/// seven engines and up to four crashing requests, and none with three. Two would save one to four
/// engine terminations.
const QUARANTINED_AFTER_ENGINES: usize = 3;
/// Terminations within this time under overlapping runs may have one common cause: the failure of a
/// rack or a switch takes down all of its machines within tenths of a second.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);
/// How long a request is quarantined, and how long it is remembered after that. Long enough that a
/// crashing request costs few engines, short enough that callers are served soon after the engines
/// are fixed. It is also the longest lease of the store.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Maximum number of lost runs kept per request: enough to separate those that were lost at the
/// same time.
const MAX_LOST_RUNS: usize = 8;
/// Two completed runs closer than this are regarded as the same one: peers send times as ages,
/// which are inaccurate by the network delay.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);
/// Maximum number of requests kept in total, about 300 bytes each.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of requests kept per tenant, so that no tenant evicts the entries of others.
const MAX_SUSPECTS_PER_TENANT: usize = 512;

/// A run that was lost because its engine terminated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// Incarnation of the engine.
    pub engine: Arc<str>,
    /// Start of the run.
    pub begun: Instant,
    /// Time when the engine terminated.
    pub ended: Instant,
}

/// What is known about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Hash of the tenant's name; 0 if callers are not authenticated.
    pub tenant: u32,
    /// Lost runs, ordered by the time when their engines terminated.
    pub lost_runs: Vec<LostRun>,
    /// Time of the last completed run.
    pub cleared: Option<Instant>,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Too few engines have terminated under it.
    Clear,
    /// Two engines have terminated under it. It may still run, and all daemons are informed.
    Suspected,
    /// The request must not run until the given time.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
}

impl Standing {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspected => "suspected",
            Self::Quarantined { .. } => "quarantined",
        }
    }

    /// Whether the request must not run.
    #[must_use]
    pub const fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}

/// Effect of merging information about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Update {
    /// Whether anything was new.
    pub added_information: bool,
    /// Whether this daemon knows something that the merged information lacks.
    pub peer_is_behind: bool,
    /// Standing before the merge.
    pub before: Standing,
    /// Standing after the merge.
    pub after: Standing,
}

/// A quarantine that the store is not known to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnstoredQuarantine {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Engines that terminated under it.
    pub engines: Vec<Arc<str>>,
    /// Whether this daemon itself lost a run of the request.
    pub is_own: bool,
}

/// Number of requests under which engines terminated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Requests that are remembered.
    pub remembered: usize,
    /// Requests that are quarantined now.
    pub quarantined: usize,
}

#[derive(Debug)]
struct Entry {
    suspicion: Suspicion,
    /// Since when the store has held the quarantine, as far as this daemon knows.
    stored: Option<Instant>,
    /// The store was restored from an older copy that lacks the quarantine.
    is_missing: bool,
    /// Time when the quarantine was ended by the expiry of its lease or by an operator.
    released: Option<Instant>,
    is_own: bool,
}

/// Requests under which engines terminated.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<RequestFingerprint, Entry>,
    /// Cleared requests whose quarantine the store still holds.
    to_release: Vec<RequestFingerprint>,
}

impl Quarantine {
    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Standing of a request; `Clear` if it is unknown.
    #[must_use]
    pub fn standing(&self, fingerprint: RequestFingerprint, now: Instant) -> Standing {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(Standing::Clear, |entry| entry.standing(now))
    }

    /// Number of remembered and of quarantined requests.
    #[must_use]
    pub fn counts(&self, now: Instant) -> SuspectCounts {
        let entries = self.entries.values();
        let quarantined = entries.filter(|entry| entry.standing(now).is_quarantined());
        SuspectCounts {
            remembered: self.entries.len(),
            quarantined: quarantined.count(),
        }
    }

    /// Records that this daemon lost a run of a request.
    pub fn record_lost_run(
        &mut self,
        fingerprint: RequestFingerprint,
        tenant: u32,
        run: LostRun,
        now: Instant,
    ) -> Update {
        let suspicion = Suspicion {
            fingerprint,
            tenant,
            lost_runs: vec![run],
            cleared: None,
        };
        let update = self.merge(&suspicion, now);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_own = true;
        }
        update
    }

    /// Records that a run of a request completed, which clears the request. Returns whether it had
    /// been suspected, quarantined or had lost any run since it was last cleared.
    pub fn record_good_run(&mut self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let was_suspected = entry.stored.is_some() || entry.uncleared_runs().next().is_some();
        if was_suspected {
            entry.suspicion.cleared = Some(now);
            let was_stored = entry.stored.take().is_some();
            if was_stored {
                self.to_release.push(fingerprint);
            }
        }
        was_suspected
    }

    /// Merges what another daemon knows about a request.
    pub fn merge(&mut self, news: &Suspicion, now: Instant) -> Update {
        let before = self.standing(news.fingerprint, now);
        if !self.entries.contains_key(&news.fingerprint) {
            self.make_room(news.tenant, now);
        }
        let entry = self
            .entries
            .entry(news.fingerprint)
            .or_insert_with(|| Entry::of(news.fingerprint, news.tenant));
        let added_information = entry.absorb(news);
        Update {
            added_information,
            peer_is_behind: entry.has_more_than(news),
            before,
            after: entry.standing(now),
        }
    }

    /// Records that the store holds the quarantine of a request.
    pub fn record_stored(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(0, now);
        }
        let entry = self
            .entries
            .entry(fingerprint)
            .or_insert_with(|| Entry::of(fingerprint, 0));
        entry.stored.get_or_insert(now);
        entry.is_missing = false;
    }

    /// Records that the store was restored from an older copy that lacks the quarantine of a
    /// request. The quarantine stays in force and must be stored again.
    pub fn record_missing(&mut self, fingerprint: RequestFingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_missing = true;
        }
    }

    /// Records that the store no longer holds the quarantine of a request, because its lease
    /// expired or an operator removed it. The request may run again and remains suspected.
    pub fn record_released(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.stored = None;
            entry.released = Some(now);
        }
    }

    /// Whether the store is known to hold the quarantine of the request.
    #[must_use]
    pub fn is_stored(&self, fingerprint: RequestFingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.stored.is_some() && !entry.is_missing)
    }

    /// Quarantines that are in force and must still be written to the store.
    #[must_use]
    pub fn unstored(&self, now: Instant) -> Vec<UnstoredQuarantine> {
        let entries = self.entries.values();
        let unstored =
            entries.filter(|entry| entry.must_be_stored() && entry.standing(now).is_quarantined());
        unstored
            .map(|entry| UnstoredQuarantine {
                fingerprint: entry.suspicion.fingerprint,
                engines: entry
                    .uncleared_runs()
                    .map(|run| Arc::clone(&run.engine))
                    .collect(),
                is_own: entry.is_own,
            })
            .collect()
    }

    /// Returns the cleared requests whose quarantine must be removed from the store, each only
    /// once.
    pub fn take_releases(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.to_release)
    }

    /// What is known about a request, to be sent to other daemons.
    #[must_use]
    pub fn suspicion(&self, fingerprint: RequestFingerprint) -> Option<&Suspicion> {
        self.entries.get(&fingerprint).map(|entry| &entry.suspicion)
    }

    /// Removes requests without any new information for twice [`QUARANTINE_DURATION`].
    pub fn forget_old(&mut self, now: Instant) {
        self.entries.retain(|_fingerprint, entry| {
            let newest = entry.last_update();
            newest.is_some_and(|newest| {
                now.saturating_duration_since(newest) < QUARANTINE_DURATION + QUARANTINE_DURATION
            })
        });
    }

    /// Makes room for one more request by evicting at most one: of the same tenant if that tenant
    /// has too many, otherwise of any. Requests that are not quarantined go first, then those with
    /// the fewest lost runs, then the oldest.
    fn make_room(&mut self, tenant: u32, now: Instant) {
        let of_tenant = self
            .entries
            .values()
            .filter(|entry| entry.suspicion.tenant == tenant);
        let is_tenant_full = tenant != 0 && of_tenant.count() >= MAX_SUSPECTS_PER_TENANT;
        if !is_tenant_full && self.entries.len() < MAX_SUSPECTS {
            return;
        }
        let weakest = self
            .entries
            .values()
            .filter(|entry| !is_tenant_full || entry.suspicion.tenant == tenant)
            .min_by_key(|entry| {
                (
                    entry.standing(now).is_quarantined(),
                    entry.successive_terminations().len(),
                    entry.last_update(),
                )
            })
            .map(|entry| entry.suspicion.fingerprint);
        if let Some(weakest) = weakest {
            self.entries.remove(&weakest);
        }
    }
}

impl Entry {
    const fn of(fingerprint: RequestFingerprint, tenant: u32) -> Self {
        Self {
            suspicion: Suspicion {
                fingerprint,
                tenant,
                lost_runs: Vec::new(),
                cleared: None,
            },
            stored: None,
            is_missing: false,
            released: None,
            is_own: false,
        }
    }

    /// Merges information about the same request. Returns whether anything was new.
    fn absorb(&mut self, news: &Suspicion) -> bool {
        let before = self.suspicion.clone();
        let known = &mut self.suspicion;
        if known.tenant == 0 {
            known.tenant = news.tenant;
        }
        if is_later(news.cleared, known.cleared) {
            known.cleared = news.cleared;
            self.stored = None;
        }
        for run in &news.lost_runs {
            if known
                .lost_runs
                .iter()
                .all(|other| other.engine != run.engine)
            {
                known.lost_runs.push(run.clone());
            }
        }
        known.lost_runs.sort_by_key(|run| run.ended);
        self.trim_lost_runs();
        self.suspicion != before
    }

    /// Limits the number of lost runs: removes those that do not count as successive terminations
    /// first, then the oldest.
    fn trim_lost_runs(&mut self) {
        while self.suspicion.lost_runs.len() > MAX_LOST_RUNS {
            let counted: Vec<Arc<str>> = self
                .successive_terminations()
                .into_iter()
                .map(|run| Arc::clone(&run.engine))
                .collect();
            let runs = &mut self.suspicion.lost_runs;
            let surplus = runs.iter().position(|run| !counted.contains(&run.engine));
            runs.remove(surplus.unwrap_or_default());
        }
    }

    const fn must_be_stored(&self) -> bool {
        self.stored.is_none() || self.is_missing
    }

    fn has_more_than(&self, news: &Suspicion) -> bool {
        let known = &self.suspicion;
        let is_known_to_peer = |run: &LostRun| {
            news.lost_runs
                .iter()
                .any(|peer_run| peer_run.engine == run.engine)
        };
        is_later(known.cleared, news.cleared)
            || known.lost_runs.iter().any(|run| !is_known_to_peer(run))
    }

    /// Lost runs after the last completed run.
    fn uncleared_runs(&self) -> impl Iterator<Item = &LostRun> {
        let cleared = self.suspicion.cleared;
        let runs = self.suspicion.lost_runs.iter();
        runs.filter(move |run| cleared.is_none_or(|cleared| run.ended > cleared))
    }

    /// Successive terminations: each run in the result started after the previous engine had
    /// terminated, or its own engine terminated clearly later.
    fn successive_terminations(&self) -> Vec<&LostRun> {
        let mut successive: Vec<&LostRun> = Vec::new();
        for run in self.uncleared_runs() {
            let follows = successive.last().is_none_or(|before| {
                run.begun >= before.ended || run.ended >= before.ended + COMMON_CAUSE_WINDOW
            });
            if follows {
                successive.push(run);
            }
        }
        successive
    }

    fn standing(&self, now: Instant) -> Standing {
        let terminations = self.successive_terminations().len();
        let newest = self.uncleared_runs().map(|run| run.ended).max();
        let since = newest
            .filter(|_newest| terminations >= QUARANTINED_AFTER_ENGINES)
            .filter(|newest| self.released.is_none_or(|released| *newest > released))
            .max(self.stored);
        if let Some(until) = since.map(|since| since + QUARANTINE_DURATION)
            && until > now
        {
            return Standing::Quarantined { until };
        }
        if terminations >= SUSPECTED_AFTER_ENGINES {
            Standing::Suspected
        } else {
            Standing::Clear
        }
    }

    fn last_update(&self) -> Option<Instant> {
        let newest_run = self.suspicion.lost_runs.last().map(|run| run.ended);
        newest_run.max(self.suspicion.cleared).max(self.stored)
    }
}

fn is_later(one: Option<Instant>, other: Option<Instant>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one > other + CLOCK_TOLERANCE,
        (one, None) => one.is_some(),
        (None, Some(_)) => false,
    }
}
