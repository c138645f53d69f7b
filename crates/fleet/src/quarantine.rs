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

mod causes;
mod entry;
mod eviction;
mod recently_sound;
mod suspicion;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::directory::IncarnationId;
use crate::fingerprint::Fingerprint;
use causes::{Causes, rivals_of, strongest};
use entry::Entry;
use eviction::{Census, EVICTED_FRACTION, Significance, SuspectsByRequest};
use recently_sound::RecentlySound;
pub use suspicion::{LostRun, Standing, SuspectKind, Suspicion};

/// How long a request is quarantined, and how long it is remembered after that. Long enough that a
/// crashing request costs few engines, short enough that callers are served soon after the engines
/// are fixed. It is also the longest lease of the store.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
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

/// Effect of merging information, before it is decided what follows from it.
#[derive(Debug, Clone, Copy)]
struct Merged {
    added_information: bool,
    peer_is_behind: bool,
    before: Standing,
}

/// A quarantine that the store is not known to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnstoredQuarantine {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Engines that terminated under it.
    pub engines: Vec<IncarnationId>,
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

/// Requests under which engines terminated.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, Entry>,
    /// Suspects under which enough engines terminated for a quarantine, if each of these counts.
    candidates: BTreeSet<Fingerprint>,
    /// The quarantined suspect that each termination counts for.
    causes: Causes,
    sound: RecentlySound,
    /// Answers that this daemon has seen begin.
    answers: u64,
    /// When evidence that is too recent will have lasted long enough.
    next_settling: Option<Instant>,
    /// Number of answers at which a candidate no longer waits for more of them.
    awaited_answers: Option<u64>,
    census: Census,
    /// Cleared requests whose quarantine the store still holds.
    to_release: Vec<Fingerprint>,
}

impl Quarantine {
    /// Number of lost runs of a request that no completed run has cleared.
    #[must_use]
    pub fn lost_runs(&self, fingerprint: Fingerprint) -> usize {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(0, |entry| entry.uncleared_runs().count())
    }

    /// Whether any daemon is known to have lost a run because this engine terminated.
    #[must_use]
    pub fn has_terminated(&self, engine: &IncarnationId) -> bool {
        let mut runs = self
            .entries
            .values()
            .flat_map(|entry| &entry.suspicion.lost_runs);
        runs.any(|run| run.engine == *engine)
    }

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
        let suspicion = Suspicion::of_lost_run(fingerprint, kind, tenant, run);
        let update = self.merge(&suspicion, now);
        self.mark_own(fingerprint);
        update
    }

    /// Records what a run that this daemon lost says against its request and the parts of its prompt.
    pub fn record_lost_runs(&mut self, suspicions: &[Suspicion], now: Instant) -> Vec<Update> {
        let updates = self.merge_all(suspicions, now);
        for suspicion in suspicions {
            self.mark_own(suspicion.fingerprint);
        }
        updates
    }

    fn mark_own(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_own = true;
        }
    }

    /// Records that a run of a request completed, which clears the request. Returns whether it had
    /// been suspected, quarantined or had lost any run since it was last cleared.
    pub fn record_good_run(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let was_suspected = self.clear(fingerprint, now);
        if was_suspected {
            self.reconsider([fingerprint], now);
        }
        was_suspected
    }

    /// Records that an engine has begun to write an answer.
    pub const fn record_answer(&mut self) {
        self.answers += 1;
    }

    /// Records that an engine has begun to write an answer on these parts. Returns those that this
    /// clears, as [`Self::record_good_run`] clears a request.
    pub fn record_sound_parts(
        &mut self,
        parts: impl Iterator<Item = Fingerprint>,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let cleared: Vec<Fingerprint> = parts.filter(|part| self.clear(*part, now)).collect();
        if !cleared.is_empty() {
            self.reconsider(cleared.iter().copied(), now);
        }
        cleared
    }

    fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.sound.record(fingerprint, now);
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
        let merged = self.absorb(news, now);
        self.reconsider([news.fingerprint], now);
        self.update_of(news.fingerprint, merged, now)
    }

    /// Merges what another daemon knows about several suspects; the result is in the same order.
    pub fn merge_all(&mut self, news: &[Suspicion], now: Instant) -> Vec<Update> {
        let merged: Vec<Merged> = news.iter().map(|news| self.absorb(news, now)).collect();
        self.reconsider(news.iter().map(|news| news.fingerprint), now);
        let updates = news.iter().zip(merged);
        updates
            .map(|(news, merged)| self.update_of(news.fingerprint, merged, now))
            .collect()
    }

    fn absorb(&mut self, news: &Suspicion, now: Instant) -> Merged {
        let before = self.standing(news.fingerprint, now);
        if !self.entries.contains_key(&news.fingerprint) {
            self.make_room(news.kind, news.tenant, now);
            self.census.add(news.kind, news.tenant);
        }
        let entry = self
            .entries
            .entry(news.fingerprint)
            .or_insert_with(|| Entry::of(news.fingerprint, news.tenant));
        let added_information = entry.absorb(news);
        if let Some(sound_at) = self.sound.last_seen(news.fingerprint) {
            let cleared = &mut entry.suspicion.cleared;
            *cleared = (*cleared).max(Some(sound_at));
        }
        let has_uncleared = entry.uncleared_runs().next().is_some();
        entry.answers_before = has_uncleared.then(|| entry.answers_before.unwrap_or(self.answers));
        Merged {
            added_information,
            peer_is_behind: entry.has_more_than(news),
            before,
        }
    }

    fn update_of(&self, fingerprint: Fingerprint, merged: Merged, now: Instant) -> Update {
        Update {
            added_information: merged.added_information,
            peer_is_behind: merged.peer_is_behind,
            before: merged.before,
            after: self.standing(fingerprint, now),
        }
    }

    /// Records that the store holds the quarantine of a request.
    pub fn record_stored(&mut self, fingerprint: Fingerprint, now: Instant) {
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(SuspectKind::Request, 0, now);
            self.census.add(SuspectKind::Request, 0);
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
                    .map(|run| run.engine.clone())
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
        self.census = Census::of(self.entries.values());
    }

    /// Decides which quarantined suspect each termination counts for, after what is known of
    /// `changed` has changed. The suspect under which most engines terminated comes first.
    fn reconsider(&mut self, changed: impl IntoIterator<Item = Fingerprint>, now: Instant) {
        let mut concerns_candidates = false;
        for fingerprint in changed {
            concerns_candidates |= self.update_candidate(fingerprint, now);
        }
        if concerns_candidates {
            self.attribute_all(now);
        }
    }

    /// Returns whether the suspect is or was a candidate.
    fn update_candidate(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return self.candidates.remove(&fingerprint);
        };
        if entry.would_be_quarantined(&Causes::default()) {
            entry.sufficient_since.get_or_insert(now);
            self.candidates.insert(fingerprint);
            return true;
        }
        entry.sufficient_since = None;
        self.candidates.remove(&fingerprint)
    }

    /// Takes into account that evidence which was too recent has lasted. To be called before a
    /// standing is read.
    pub fn refresh(&mut self, now: Instant) {
        let has_settled = self.next_settling.is_some_and(|settling| settling <= now);
        let has_answers = self
            .awaited_answers
            .is_some_and(|awaited| awaited <= self.answers);
        if has_settled || has_answers {
            self.attribute_all(now);
        }
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
                let of_run = self.causes.by_engine.entry(run.engine.clone());
                of_run.or_insert(cause.suspicion.fingerprint);
            }
            // The others change nothing any more, and prompts may share a thousand such parts.
            candidates.retain(|entry| entry.unexplained_runs(&self.causes).next().is_some());
        }
        let settling = candidates
            .iter()
            .filter_map(|entry| entry.settled_at(&self.causes));
        self.next_settling = settling.filter(|settled_at| *settled_at > now).min();
        let awaited = candidates
            .iter()
            .filter_map(|entry| entry.awaited_answers(&self.causes));
        self.awaited_answers = awaited.min();
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

    /// Makes room for one more suspect of this kind by evicting the least significant ones, the
    /// quarantined last.
    fn make_room(&mut self, kind: SuspectKind, tenant: u32, now: Instant) {
        let Some(scope) = self.census.full_scope(kind, tenant) else {
            return;
        };
        let suspects = SuspectsByRequest::of(self.entries.values());
        let in_scope = self.entries.values().filter(|entry| scope.contains(entry));
        let mut ranked: Vec<(Significance, Fingerprint)> = in_scope
            .map(|entry| {
                let significance = Significance::of(entry, &self.causes, &suspects, now);
                (significance, entry.suspicion.fingerprint)
            })
            .collect();
        ranked.sort_unstable();
        let evictable = ranked
            .iter()
            .filter(|(significance, _fingerprint)| !significance.is_quarantined)
            .count();
        let evicted = (ranked.len() / EVICTED_FRACTION).min(evictable).max(1);
        for (_significance, fingerprint) in ranked.into_iter().take(evicted) {
            self.entries.remove(&fingerprint);
            self.candidates.remove(&fingerprint);
        }
        self.census = Census::of(self.entries.values());
    }

    /// The most significant of these suspects, at most `limit`, and how many were left out.
    #[must_use]
    pub fn most_significant(
        &self,
        suspects: Vec<Fingerprint>,
        limit: usize,
        now: Instant,
    ) -> (Vec<Fingerprint>, usize) {
        let left_out = suspects.len().saturating_sub(limit);
        if left_out == 0 {
            return (suspects, 0);
        }
        let known = || {
            let entries = suspects.iter();
            entries.filter_map(|fingerprint| self.entries.get(fingerprint))
        };
        let by_request = SuspectsByRequest::of(known());
        let mut ranked: Vec<(Significance, Fingerprint)> = known()
            .map(|entry| {
                let significance = Significance::of(entry, &self.causes, &by_request, now);
                (significance, entry.suspicion.fingerprint)
            })
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        let most_significant = ranked.into_iter().take(limit);
        let fingerprints = most_significant.map(|(_significance, fingerprint)| fingerprint);
        (fingerprints.collect(), left_out)
    }
}
