//! Detection and quarantine of requests that crash the engines that run them ("queries of death"),
//! and of parts of prompts that crash engines whatever else a request holds.
//!
//! An engine that terminates fails all its running requests, of which at most one is the cause. For
//! each suspect, a request or a part, the daemons collect the runs that were lost because their
//! engine terminated. A run that completes clears a request, and the first event of an answer clears
//! the parts of its prompt. Engines that terminate at about the same time under overlapping runs
//! count once, because a power failure of a rack can terminate many engines that run copies of one
//! popular request. After the second engine a suspect is announced to all daemons; after the third
//! it is quarantined, a part only if different requests lost their runs.
//!
//! Many innocent requests share an engine with the cause. A termination therefore counts for a single
//! quarantined suspect, the one under which most engines terminated, and no longer for the others.
//!
//! State only grows and merges as sets, so messages may be repeated, reordered and relayed by any
//! daemon.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fingerprint::Fingerprint;

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

/// Different requests that must have lost runs before a part of their prompts is quarantined: with
/// one, the request itself may be the cause.
const QUARANTINED_AFTER_REQUESTS: usize = 2;

/// Time after the deciding termination until a part is quarantined: sound parts are cleared by the
/// first events of answers that other engines begin meanwhile, and daemons exchange what they saw.
const PART_SETTLING_TIME: Duration = Duration::from_millis(50);

/// Time after the first of the terminations until a part is quarantined on which engines began
/// answers before. Shared by many requests, it would have been cleared meanwhile.
const SOUND_PART_SETTLING_TIME: Duration = Duration::from_secs(1);
/// Answers to other requests that engines must have begun meanwhile. While engines answer nothing at
/// all, no part can be cleared.
const SOUND_PART_SETTLING_ANSWERS: u64 = 20;
/// Successive terminations after which a part is quarantined although engines began answers on it
/// recently, or although another suspect was there each time.
const DECIDED_AFTER_ENGINES: usize = 5;

/// What may crash engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectKind {
    /// A request as a whole.
    #[default]
    Request,
    /// A part of prompts.
    Part {
        /// Number of parts before it. Of parts that come together, the last one is in the fewest
        /// prompts.
        place: u8,
    },
}

impl SuspectKind {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Part { .. } => "part",
        }
    }
}

/// A run that was lost because its engine terminated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// Incarnation of the engine.
    pub engine: Arc<str>,
    /// Tells the requests apart whose prompts have a part; 0 for the runs of a whole request.
    pub request: u32,
    /// Start of the run.
    pub begun: Instant,
    /// Time when the engine terminated.
    pub ended: Instant,
}

/// What is known about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// Whether it is a request or a part.
    pub kind: SuspectKind,
    /// Hash of the tenant's name; 0 if callers are not authenticated.
    pub tenant: u32,
    /// Lost runs, ordered by the time when their engines terminated.
    pub lost_runs: Vec<LostRun>,
    /// Time of the last completed run.
    pub cleared: Option<Instant>,
}

/// Whether a request may run; worse standings order last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
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
    pub fingerprint: Fingerprint,
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
    /// Whether it has been quarantined for the terminations known here.
    was_quarantined: bool,
    /// Answers that this daemon had seen begin before the first run that is not cleared was lost.
    answers_before: Option<u64>,
    /// Time when the quarantine was ended by the expiry of its lease or by an operator.
    released: Option<Instant>,
    is_own: bool,
}

/// Requests under which engines terminated.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, Entry>,
    /// Suspects under which enough engines terminated for a quarantine, if each of these counts.
    candidates: BTreeSet<Fingerprint>,
    /// The quarantined suspect that each termination counts for.
    causes: Causes,
    sound_parts: SoundParts,
    /// Answers that this daemon has seen begin.
    answers: u64,
    /// When evidence that is too recent will have lasted long enough.
    next_settling: Option<Instant>,
    /// Cleared requests whose quarantine the store still holds.
    to_release: Vec<Fingerprint>,
}

/// Parts on which engines have begun to write recently, in two generations: the older one is
/// forgotten when the newer one is full or old.
#[derive(Debug, Default)]
struct SoundParts {
    newer: HashMap<Fingerprint, Instant>,
    older: HashMap<Fingerprint, Instant>,
    since: Option<Instant>,
}

impl SoundParts {
    const MAX_PARTS: usize = 2_048;
    const MAX_AGE: Duration = Duration::from_secs(60);

    fn record(&mut self, part: Fingerprint, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let is_old = now.saturating_duration_since(since) >= Self::MAX_AGE;
        if is_old || self.newer.len() >= Self::MAX_PARTS {
            self.older = std::mem::take(&mut self.newer);
            self.since = Some(now);
        }
        self.newer.insert(part, now);
    }

    fn last_seen(&self, part: Fingerprint) -> Option<Instant> {
        let newer = self.newer.get(&part);
        newer.or_else(|| self.older.get(&part)).copied()
    }
}

impl Quarantine {
    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Standing of a request; `Clear` if it is unknown.
    #[must_use]
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(Standing::Clear, |entry| entry.standing(&self.causes, now))
    }

    /// Number of remembered and of quarantined requests.
    #[must_use]
    pub fn counts(&self, now: Instant) -> SuspectCounts {
        let entries = self.entries.values();
        let quarantined =
            entries.filter(|entry| entry.standing(&self.causes, now).is_quarantined());
        SuspectCounts {
            remembered: self.entries.len(),
            quarantined: quarantined.count(),
        }
    }

    /// Records that this daemon lost a run of a request.
    pub fn record_lost_run(
        &mut self,
        fingerprint: Fingerprint,
        kind: SuspectKind,
        tenant: u32,
        run: LostRun,
        now: Instant,
    ) -> Update {
        let suspicion = Suspicion {
            fingerprint,
            kind,
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
    pub fn record_good_run(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
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
            self.attribute_terminations(fingerprint, now);
        }
        was_suspected
    }

    /// Records that an engine has begun to write an answer.
    pub const fn record_answer(&mut self) {
        self.answers += 1;
    }

    /// Records that an engine has begun to write an answer on a part. Returns whether that clears
    /// it, as for [`Self::record_good_run`].
    pub fn record_sound_part(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.sound_parts.record(fingerprint, now);
        self.record_good_run(fingerprint, now)
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
        if let Some(sound_at) = self.sound_parts.last_seen(news.fingerprint) {
            let cleared = &mut entry.suspicion.cleared;
            *cleared = (*cleared).max(Some(sound_at));
        }
        let has_uncleared = entry.uncleared_runs().next().is_some();
        entry.answers_before = has_uncleared.then(|| entry.answers_before.unwrap_or(self.answers));
        let peer_is_behind = entry.has_more_than(news);
        self.attribute_terminations(news.fingerprint, now);
        Update {
            added_information,
            peer_is_behind,
            before,
            after: self.standing(news.fingerprint, now),
        }
    }

    /// Records that the store holds the quarantine of a request.
    pub fn record_stored(&mut self, fingerprint: Fingerprint, now: Instant) {
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
    pub fn record_missing(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_missing = true;
        }
    }

    /// Records that the store no longer holds the quarantine of a request, because its lease
    /// expired or an operator removed it. The request may run again and remains suspected.
    pub fn record_released(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.stored = None;
            entry.released = Some(now);
        }
    }

    /// Whether the store is known to hold the quarantine of the request.
    #[must_use]
    pub fn is_stored(&self, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.stored.is_some() && !entry.is_missing)
    }

    /// Quarantines that are in force and must still be written to the store.
    #[must_use]
    pub fn unstored(&self, now: Instant) -> Vec<UnstoredQuarantine> {
        let entries = self.entries.values();
        let unstored = entries.filter(|entry| {
            entry.must_be_stored() && entry.standing(&self.causes, now).is_quarantined()
        });
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
    pub fn take_releases(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.to_release)
    }

    /// What is known about a request, to be sent to other daemons.
    #[must_use]
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Option<&Suspicion> {
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
        let entries = &self.entries;
        self.candidates
            .retain(|fingerprint| entries.contains_key(fingerprint));
    }

    /// Decides which quarantined suspect each termination counts for, after what is known of
    /// `changed` has changed. The suspect under which most engines terminated comes first.
    fn attribute_terminations(&mut self, changed: Fingerprint, now: Instant) {
        let entry = self.entries.get(&changed);
        if entry.is_some_and(|entry| entry.would_be_quarantined(&Causes::default())) {
            self.candidates.insert(changed);
        } else if !self.candidates.remove(&changed) {
            return;
        }
        self.attribute_all(now);
    }

    /// Takes into account that evidence which was too recent has lasted. To be called before a
    /// standing is read.
    pub fn refresh(&mut self, now: Instant) {
        let has_settled = self.next_settling.is_some_and(|settling| settling <= now);
        if has_settled || self.is_short_of_answers() {
            self.attribute_all(now);
        }
    }

    /// Whether a candidate waits for more answers to other requests, and there are more.
    fn is_short_of_answers(&self) -> bool {
        self.answers > self.causes.answers
            && self.candidates.iter().any(|fingerprint| {
                let entry = self.entries.get(fingerprint);
                entry.is_some_and(|entry| entry.is_short_of_answers(&self.causes))
            })
    }

    fn attribute_all(&mut self, now: Instant) {
        self.causes = Causes {
            answers: self.answers,
            ..Causes::default()
        };
        let mut candidates: Vec<&Entry> = self
            .candidates
            .iter()
            .filter_map(|fingerprint| self.entries.get(fingerprint))
            .collect();
        while let Some(index) = strongest(&candidates, &self.causes, now) {
            let cause = candidates.swap_remove(index);
            let rivals = rivals_of(cause, &candidates, &self.causes, now);
            if !rivals.is_empty() {
                self.causes.undecided.insert(cause.suspicion.fingerprint);
                self.causes.undecided.extend(rivals);
                continue;
            }
            for run in cause.uncleared_runs() {
                let of_run = self.causes.by_engine.entry(Arc::clone(&run.engine));
                of_run.or_insert(cause.suspicion.fingerprint);
            }
        }
        let settling = candidates
            .iter()
            .filter_map(|entry| entry.settled_at(&self.causes));
        self.next_settling = settling.filter(|settled_at| *settled_at > now).min();
        let causes: BTreeSet<Fingerprint> = self.causes.by_engine.values().copied().collect();
        for cause in causes {
            if let Some(entry) = self.entries.get_mut(&cause) {
                entry.was_quarantined = true;
            }
        }
        self.release_explained();
    }

    /// Whether a suspect has been quarantined for the terminations known here, now or earlier.
    #[must_use]
    pub fn was_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.was_quarantined)
    }

    /// Releases quarantines in the store all of whose terminations count for other suspects.
    fn release_explained(&mut self) {
        for fingerprint in &self.candidates {
            if let Some(entry) = self.entries.get_mut(fingerprint)
                && entry.stored.is_some()
                && !entry.would_be_quarantined(&self.causes)
            {
                entry.stored = None;
                self.to_release.push(*fingerprint);
            }
        }
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
                    entry.standing(&self.causes, now).is_quarantined(),
                    entry.successive_terminations(&self.causes).len(),
                    entry.last_update(),
                )
            })
            .map(|entry| entry.suspicion.fingerprint);
        if let Some(weakest) = weakest {
            self.entries.remove(&weakest);
            self.candidates.remove(&weakest);
        }
    }
}

impl Entry {
    const fn of(fingerprint: Fingerprint, tenant: u32) -> Self {
        Self {
            suspicion: Suspicion {
                fingerprint,
                kind: SuspectKind::Request,
                tenant,
                lost_runs: Vec::new(),
                cleared: None,
            },
            stored: None,
            is_missing: false,
            was_quarantined: false,
            answers_before: None,
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
        known.kind = known.kind.max(news.kind);
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
                .successive_terminations(&Causes::default())
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

    /// Uncleared runs whose terminations don't count for another suspect.
    fn unexplained_runs<'a>(&'a self, causes: &'a Causes) -> impl Iterator<Item = &'a LostRun> {
        let own = self.suspicion.fingerprint;
        self.uncleared_runs()
            .filter(move |run| causes.may_be_caused_by(&run.engine, own))
    }

    /// How much speaks against the suspect: successive terminations, then all of them.
    fn strength(&self, causes: &Causes) -> (usize, usize) {
        (
            self.successive_terminations(causes).len(),
            self.unexplained_runs(causes).count(),
        )
    }

    /// Successive terminations that don't count for another suspect: each run in the result started
    /// after the previous engine had terminated, or its own engine terminated clearly later.
    fn successive_terminations<'a>(&'a self, causes: &'a Causes) -> Vec<&'a LostRun> {
        let mut successive: Vec<&'a LostRun> = Vec::new();
        for run in self.unexplained_runs(causes) {
            let follows = successive.last().is_none_or(|before| {
                run.begun >= before.ended || run.ended >= before.ended + COMMON_CAUSE_WINDOW
            });
            if follows {
                successive.push(run);
            }
        }
        successive
    }

    /// Whether it is a part on which engines have begun to write recently.
    fn was_sound(&self) -> bool {
        self.suspicion.kind != SuspectKind::Request && self.suspicion.cleared.is_some()
    }

    /// Successive terminations after which the suspect is quarantined.
    fn needed_terminations(&self) -> usize {
        match self.suspicion.kind {
            SuspectKind::Part { .. } if self.was_sound() => DECIDED_AFTER_ENGINES,
            SuspectKind::Part { .. } | SuspectKind::Request => QUARANTINED_AFTER_ENGINES,
        }
    }

    /// Whether so many engines terminated under a part on which none has ever begun to write that it
    /// is a cause even if others were there too.
    fn is_decided(&self) -> bool {
        let is_part = self.suspicion.kind != SuspectKind::Request;
        let none = Causes::default();
        is_part
            && !self.was_sound()
            && self.uncleared_runs().count() >= DECIDED_AFTER_ENGINES
            && self.successive_terminations(&none).len() >= QUARANTINED_AFTER_ENGINES
    }

    /// Whether enough engines terminated for a quarantine.
    fn would_be_quarantined(&self, causes: &Causes) -> bool {
        if self.is_decided() {
            return self.has_different_requests(&Causes::default());
        }
        let successive = self.successive_terminations(causes);
        let is_undecided = causes.undecided.contains(&self.suspicion.fingerprint);
        if successive.len() < self.needed_terminations() || is_undecided {
            return false;
        }
        match self.suspicion.kind {
            SuspectKind::Request => true,
            SuspectKind::Part { .. } => self.has_different_requests(causes),
        }
    }

    fn has_different_requests(&self, causes: &Causes) -> bool {
        let runs = self.unexplained_runs(causes);
        let requests: BTreeSet<u32> = runs.map(|run| run.request).collect();
        requests.len() >= QUARANTINED_AFTER_REQUESTS
    }

    /// When the evidence for a quarantine has lasted long enough for first events on a part to have
    /// cleared it; `None` without enough evidence.
    fn settled_at(&self, causes: &Causes) -> Option<Instant> {
        if !self.would_be_quarantined(causes) {
            return None;
        }
        let none = Causes::default();
        let causes = if self.is_decided() { &none } else { causes };
        let successive = self.successive_terminations(causes);
        let deciding = successive.get(self.needed_terminations() - 1)?.ended;
        match self.suspicion.kind {
            SuspectKind::Request => Some(deciding),
            SuspectKind::Part { .. } if self.was_sound() => {
                let before = self.answers_before.unwrap_or(causes.answers);
                if causes.answers.saturating_sub(before) < SOUND_PART_SETTLING_ANSWERS {
                    return None;
                }
                let first = successive.first()?.ended;
                Some((deciding + PART_SETTLING_TIME).max(first + SOUND_PART_SETTLING_TIME))
            }
            SuspectKind::Part { .. } => Some(deciding + PART_SETTLING_TIME),
        }
    }

    /// Whether the evidence against a part that was sound lacks only answers to other requests.
    fn is_short_of_answers(&self, causes: &Causes) -> bool {
        self.would_be_quarantined(causes) && self.settled_at(causes).is_none()
    }

    fn has_settled(&self, causes: &Causes, now: Instant) -> bool {
        self.settled_at(causes)
            .is_some_and(|settled_at| settled_at <= now)
    }

    fn standing(&self, causes: &Causes, now: Instant) -> Standing {
        let newest = self.uncleared_runs().map(|run| run.ended).max();
        let since = newest
            .filter(|_newest| self.has_settled(causes, now))
            .filter(|newest| self.released.is_none_or(|released| *newest > released))
            .max(self.stored);
        if let Some(until) = since.map(|since| since + QUARANTINE_DURATION)
            && until > now
        {
            return Standing::Quarantined { until };
        }
        if self.successive_terminations(causes).len() >= SUSPECTED_AFTER_ENGINES {
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

/// The quarantined suspects that terminations count for.
#[derive(Debug, Default)]
struct Causes {
    by_engine: HashMap<Arc<str>, Fingerprint>,
    /// Answers that this daemon had seen begin when the terminations were attributed.
    answers: u64,
    /// Suspects that were there when the same engines terminated, so that it can't be told yet which
    /// of them is the cause.
    undecided: BTreeSet<Fingerprint>,
}

impl Causes {
    /// Whether the termination of the engine counts for no suspect but this one.
    fn may_be_caused_by(&self, engine: &str, suspect: Fingerprint) -> bool {
        self.by_engine
            .get(engine)
            .is_none_or(|cause| *cause == suspect)
    }
}

/// Suspects that share a termination with `cause` and under which as many engines terminated. Empty
/// after so many terminations that they seem to come together always.
fn rivals_of(
    cause: &Entry,
    candidates: &[&Entry],
    causes: &Causes,
    now: Instant,
) -> Vec<Fingerprint> {
    let terminations = cause.successive_terminations(causes);
    if terminations.len() >= DECIDED_AFTER_ENGINES {
        return Vec::new();
    }
    let is_shared = |run: &&LostRun| terminations.iter().any(|other| other.engine == run.engine);
    let rivals = candidates
        .iter()
        .filter(|entry| entry.has_settled(causes, now))
        .filter(|entry| entry.was_sound() == cause.was_sound())
        .filter(|entry| entry.strength(causes) == cause.strength(causes))
        .filter(|entry| {
            let of_rival = entry.successive_terminations(causes);
            of_rival.iter().any(is_shared)
        });
    rivals.map(|entry| entry.suspicion.fingerprint).collect()
}

/// Index of the suspect under which most engines terminated that count for no other. Parts that were
/// sound come last; a request comes before a part, and a part before those that come before it in
/// prompts. `None` if too few engines
/// terminated under any of them.
fn strongest(candidates: &[&Entry], causes: &Causes, now: Instant) -> Option<usize> {
    let quarantined = candidates
        .iter()
        .enumerate()
        .filter(|(_index, entry)| entry.has_settled(causes, now));
    let strongest = quarantined.max_by_key(|(_index, entry)| {
        let kind = entry.suspicion.kind;
        (
            !entry.was_sound(),
            entry.strength(causes),
            kind == SuspectKind::Request,
            kind,
            entry.suspicion.fingerprint,
        )
    });
    strongest.map(|(index, _entry)| index)
}

fn is_later(one: Option<Instant>, other: Option<Instant>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one > other + CLOCK_TOLERANCE,
        (one, None) => one.is_some(),
        (None, Some(_)) => false,
    }
}
