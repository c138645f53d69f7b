//! Requests that crash the engines that run them (queries of death), and when they are run no more.
//!
//! An engine that ends takes all its requests along, and at most one of them is the reason. What all daemons know of a
//! request is the runs that it lost with their engines. A run that came to its end well clears it. Engines that ended at one
//! moment count as one: a rack that loses its power ends many under the copies of one popular request. From the second
//! engine on the request is suspected, which all daemons are told; after the third it is quarantined.
//!
//! Knowledge only grows and is merged as sets, so it can be sent again, out of order, and by anybody.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fingerprint::RequestFingerprint;

/// Engines, one after the other, after which a request is suspected: an innocent that shared one engine rarely is.
const SUSPECTED_AFTER: usize = 2;
/// Engines, one after the other, after which a request is run no more. After two, one to four engines fewer end, and up to
/// sixteen of 720 innocents that met the same crashing request twice are refused for as long as it is (simulated fleet of
/// seven engines, one to four crashing requests); after three none.
const QUARANTINED_AFTER: usize = 3;
/// Engines that end within this time under runs that overlap may have one cause: a rack or a switch takes all of its machines
/// down within some tenths of a second.
const SAME_MOMENT: Duration = Duration::from_millis(500);
/// How long a request is run no more, and how long it is remembered after that: long enough that it costs three engines some
/// seconds each in that time, short enough that callers are served soon after an engine release that mends it. Also the
/// longest lease of the store.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Lost runs that are remembered of one request: enough to tell apart those that were lost at one moment.
const MOST_LOST_RUNS: usize = 8;
/// Two good runs so close to each other are the same: times come from peers as ages, to which a datagram's way adds.
const SAME_TIME: Duration = Duration::from_millis(500);
/// Requests that are remembered, some 300 bytes each.
const MOST_SUSPECTS: usize = 4_096;
/// Requests that are remembered of one tenant, so that none pushes out what is known of others.
const MOST_SUSPECTS_OF_TENANT: usize = 512;

/// A run that ended because its engine did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The engine's incarnation.
    pub engine: Arc<str>,
    /// When the run began.
    pub begun: Instant,
    /// When the engine ended.
    pub ended: Instant,
}

/// Everything that is known of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// Hash of its tenant's name; 0 where callers are not told apart.
    pub tenant: u32,
    /// Runs that it lost with their engines, in the order of their ends.
    pub lost_runs: Vec<LostRun>,
    /// When it last ran well.
    pub cleared: Option<Instant>,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it, or no more than against any other on an engine that ended.
    Clear,
    /// Two engines ended under it: it still runs, and all daemons are told.
    Suspected,
    /// It is not run until then.
    Quarantined {
        /// When it is tried again.
        until: Instant,
    },
}

impl Standing {
    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspected => "suspected",
            Self::Quarantined { .. } => "quarantined",
        }
    }

    /// Whether it is not run.
    #[must_use]
    pub const fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}

/// What news changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Update {
    /// Whether anything was new.
    pub added_information: bool,
    /// Whether more is known here than the news told.
    pub peer_is_behind: bool,
    /// Before.
    pub before: Standing,
    /// Now.
    pub after: Standing,
}

/// A quarantine that the store does not hold yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnstoredQuarantine {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// Engines that ended under it.
    pub engines: Vec<Arc<str>>,
    /// Whether this daemon lost a run of it itself.
    pub is_own: bool,
}

/// How many requests are known under which engines ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// All of them.
    pub remembered: usize,
    /// Those that are not run now.
    pub quarantined: usize,
}

#[derive(Debug)]
struct Entry {
    suspicion: Suspicion,
    /// Since when the store has held its quarantine, as far as is known here.
    filed: Option<Instant>,
    /// The store came back from an older copy that lacks it.
    is_missing: bool,
    /// When its quarantine was ended, by its lease or by an operator.
    released: Option<Instant>,
    is_own: bool,
}

/// What is known of requests under which engines ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<RequestFingerprint, Entry>,
    /// Cleared requests whose quarantine the store still holds.
    to_release: Vec<RequestFingerprint>,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What may be done with a request.
    #[must_use]
    pub fn standing(&self, fingerprint: RequestFingerprint, now: Instant) -> Standing {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(Standing::Clear, |entry| entry.standing(now))
    }

    /// How many requests are remembered.
    #[must_use]
    pub fn counts(&self, now: Instant) -> SuspectCounts {
        let entries = self.entries.values();
        let quarantined = entries.filter(|entry| entry.standing(now).is_quarantined());
        SuspectCounts {
            remembered: self.entries.len(),
            quarantined: quarantined.count(),
        }
    }

    /// This daemon lost a run of a request.
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

    /// A request ran well, which no request does that crashes engines. Returns whether anything was held against it.
    pub fn record_good_run(&mut self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let was_suspected = entry.filed.is_some() || entry.held_against().next().is_some();
        if was_suspected {
            entry.suspicion.cleared = Some(now);
            let was_filed = entry.filed.take().is_some();
            if was_filed {
                self.to_release.push(fingerprint);
            }
        }
        was_suspected
    }

    /// Takes what another daemon knows.
    pub fn merge(&mut self, news: &Suspicion, now: Instant) -> Update {
        let before = self.standing(news.fingerprint, now);
        if !self.entries.contains_key(&news.fingerprint) {
            self.make_room(news.tenant, now);
        }
        let entry = self
            .entries
            .entry(news.fingerprint)
            .or_insert_with(|| Entry::of(news.fingerprint, news.tenant));
        let added_information = entry.take(news);
        Update {
            added_information,
            peer_is_behind: entry.knows_more_than(news),
            before,
            after: entry.standing(now),
        }
    }

    /// The store holds a request's quarantine.
    pub fn record_stored(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(0, now);
        }
        let entry = self
            .entries
            .entry(fingerprint)
            .or_insert_with(|| Entry::of(fingerprint, 0));
        entry.filed.get_or_insert(now);
        entry.is_missing = false;
    }

    /// The store came back from an older copy that lacks a request's quarantine. It goes on, and is to be filed again.
    pub fn record_missing(&mut self, fingerprint: RequestFingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_missing = true;
        }
    }

    /// The store holds a request's quarantine no more: its lease ended, or an operator ended it. The request is tried again,
    /// still suspected.
    pub fn record_released(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.filed = None;
            entry.released = Some(now);
        }
    }

    /// Whether the store is known to hold the request's quarantine.
    #[must_use]
    pub fn is_stored(&self, fingerprint: RequestFingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.filed.is_some() && !entry.is_missing)
    }

    /// Quarantines that the store is not known to hold.
    #[must_use]
    pub fn unstored(&self, now: Instant) -> Vec<UnstoredQuarantine> {
        let entries = self.entries.values();
        let unstored =
            entries.filter(|entry| entry.is_to_be_filed() && entry.standing(now).is_quarantined());
        unstored
            .map(|entry| UnstoredQuarantine {
                fingerprint: entry.suspicion.fingerprint,
                engines: entry
                    .held_against()
                    .map(|run| Arc::clone(&run.engine))
                    .collect(),
                is_own: entry.is_own,
            })
            .collect()
    }

    /// Cleared requests whose quarantine is to be taken out of the store; each is named once.
    pub fn take_releases(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.to_release)
    }

    /// What is known of a request, for telling other daemons.
    #[must_use]
    pub fn suspicion(&self, fingerprint: RequestFingerprint) -> Option<&Suspicion> {
        self.entries.get(&fingerprint).map(|entry| &entry.suspicion)
    }

    /// Forgets what is long past.
    pub fn forget_old(&mut self, now: Instant) {
        self.entries.retain(|_fingerprint, entry| {
            let newest = entry.newest_news();
            newest.is_some_and(|newest| {
                now.saturating_duration_since(newest) < QUARANTINE_DURATION + QUARANTINE_DURATION
            })
        });
    }

    /// Makes room for one more: of a tenant with too many its own, else any, those first that are least suspected, then the
    /// oldest.
    fn make_room(&mut self, tenant: u32, now: Instant) {
        let of_tenant = self
            .entries
            .values()
            .filter(|entry| entry.suspicion.tenant == tenant);
        let is_tenant_full = tenant != 0 && of_tenant.count() >= MOST_SUSPECTS_OF_TENANT;
        if !is_tenant_full && self.entries.len() < MOST_SUSPECTS {
            return;
        }
        let weakest = self
            .entries
            .values()
            .filter(|entry| !is_tenant_full || entry.suspicion.tenant == tenant)
            .min_by_key(|entry| {
                (
                    entry.standing(now).is_quarantined(),
                    entry.engines_in_a_row().len(),
                    entry.newest_news(),
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
            filed: None,
            is_missing: false,
            released: None,
            is_own: false,
        }
    }

    /// Returns whether anything was new.
    fn take(&mut self, news: &Suspicion) -> bool {
        let before = self.suspicion.clone();
        let known = &mut self.suspicion;
        if known.tenant == 0 {
            known.tenant = news.tenant;
        }
        if is_later(news.cleared, known.cleared) {
            known.cleared = news.cleared;
            self.filed = None;
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
        self.drop_surplus_runs();
        self.suspicion != before
    }

    /// Forgets runs that add nothing to the row first, then the oldest.
    fn drop_surplus_runs(&mut self) {
        while self.suspicion.lost_runs.len() > MOST_LOST_RUNS {
            let in_row: Vec<Arc<str>> = self
                .engines_in_a_row()
                .into_iter()
                .map(|run| Arc::clone(&run.engine))
                .collect();
            let runs = &mut self.suspicion.lost_runs;
            let surplus = runs.iter().position(|run| !in_row.contains(&run.engine));
            runs.remove(surplus.unwrap_or_default());
        }
    }

    const fn is_to_be_filed(&self) -> bool {
        self.filed.is_none() || self.is_missing
    }

    fn knows_more_than(&self, news: &Suspicion) -> bool {
        let known = &self.suspicion;
        let is_told = |run: &LostRun| news.lost_runs.iter().any(|told| told.engine == run.engine);
        is_later(known.cleared, news.cleared) || known.lost_runs.iter().any(|run| !is_told(run))
    }

    /// Lost runs that no good run followed.
    fn held_against(&self) -> impl Iterator<Item = &LostRun> {
        let cleared = self.suspicion.cleared;
        let runs = self.suspicion.lost_runs.iter();
        runs.filter(move |run| cleared.is_none_or(|cleared| run.ended > cleared))
    }

    /// Engines that ended one after the other: each run in the row began after the one before had ended, or ended well after
    /// it.
    fn engines_in_a_row(&self) -> Vec<&LostRun> {
        let mut row: Vec<&LostRun> = Vec::new();
        for run in self.held_against() {
            let follows = row.last().is_none_or(|before| {
                run.begun >= before.ended || run.ended >= before.ended + SAME_MOMENT
            });
            if follows {
                row.push(run);
            }
        }
        row
    }

    fn standing(&self, now: Instant) -> Standing {
        let in_a_row = self.engines_in_a_row().len();
        let newest = self.held_against().map(|run| run.ended).max();
        let since = newest
            .filter(|_newest| in_a_row >= QUARANTINED_AFTER)
            .filter(|newest| self.released.is_none_or(|released| *newest > released))
            .max(self.filed);
        if let Some(until) = since.map(|since| since + QUARANTINE_DURATION)
            && until > now
        {
            return Standing::Quarantined { until };
        }
        if in_a_row >= SUSPECTED_AFTER {
            Standing::Suspected
        } else {
            Standing::Clear
        }
    }

    fn newest_news(&self) -> Option<Instant> {
        let newest_run = self.suspicion.lost_runs.last().map(|run| run.ended);
        newest_run.max(self.suspicion.cleared).max(self.filed)
    }
}

fn is_later(one: Option<Instant>, other: Option<Instant>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one > other + SAME_TIME,
        (one, None) => one.is_some(),
        (None, Some(_)) => false,
    }
}
