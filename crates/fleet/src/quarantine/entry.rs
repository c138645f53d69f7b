//! The evidence against one suspect, and what follows from it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::QUARANTINE_DURATION;
use super::causes::Causes;
use super::suspicion::{LostRun, Standing, SuspectKind, Suspicion};
use crate::directory::IncarnationId;
use crate::fingerprint::Fingerprint;

/// Successive engine terminations after which a request is suspected. An unrelated request that
/// shared one engine with the cause rarely reaches two.
const SUSPECTED_AFTER_ENGINES: usize = 2;
/// Successive engine terminations after which a suspect is quarantined. With two, unrelated requests
/// that met the same crashing request twice would be quarantined too.
const QUARANTINED_AFTER_ENGINES: usize = 3;
/// Terminations within this time under overlapping runs may have one common cause: the failure of a
/// rack or a switch takes down all of its machines within tenths of a second.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);
/// Maximum number of lost runs kept per request: enough to separate those that were lost at the
/// same time.
const MAX_LOST_RUNS: usize = 8;
/// Two completed runs closer than this are regarded as the same one: peers send times as ages,
/// which are inaccurate by the network delay.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);
/// Different requests that must have lost runs before a part of their prompts is quarantined: with
/// one, the request itself may be the cause.
const QUARANTINED_AFTER_REQUESTS: usize = 2;
/// Time after the deciding termination until a request is quarantined: daemons report meanwhile what
/// else they lost at the same engines.
const REQUEST_SETTLING_TIME: Duration = Duration::from_millis(100);
/// Time after the deciding termination until a part is quarantined: sound parts are cleared by the
/// first events of answers that other engines begin meanwhile, and daemons exchange what they saw.
const PART_SETTLING_TIME: Duration = Duration::from_millis(50);
/// Time after the first of the terminations until a suspect is quarantined that was sound before. A
/// request that comes often, or a part that many requests share, would have been cleared meanwhile.
const SOUND_SETTLING_TIME: Duration = Duration::from_secs(1);
/// Successive terminations after which a suspect is quarantined although it was sound before, or a
/// part although another suspect was there each time.
pub(super) const DECIDED_AFTER_ENGINES: usize = 5;

/// What is known of one suspect.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) suspicion: Suspicion,
    /// Since when the store has held the quarantine, as far as this daemon knows.
    pub(super) stored: Option<Instant>,
    /// The store was restored from an older copy that lacks the quarantine.
    pub(super) is_missing: bool,
    /// Whether it has been quarantined for the terminations known here.
    pub(super) was_quarantined: bool,
    /// Answers that this daemon had seen begin before the first run that is not cleared was lost.
    pub(super) answers_before: Option<u64>,
    /// Time when the quarantine was ended by the expiry of its lease or by an operator.
    pub(super) released: Option<Instant>,
    /// Since when this daemon has known enough terminations for a quarantine. It may learn of a
    /// termination long after it, and peers at the same time of what else was lost there.
    pub(super) sufficient_since: Option<Instant>,
    pub(super) is_own: bool,
}

impl Entry {
    pub(super) const fn of(fingerprint: Fingerprint, tenant: u32) -> Self {
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
            sufficient_since: None,
            is_own: false,
        }
    }

    /// Merges information about the same request. Returns whether anything was new.
    pub(super) fn absorb(&mut self, news: &Suspicion) -> bool {
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
            let runs = &mut known.lost_runs;
            match runs.iter_mut().find(|other| other.engine == run.engine) {
                // The delay of a report makes its times too late, never too early.
                Some(other) => {
                    other.begun = other.begun.min(run.begun);
                    other.ended = other.ended.min(run.ended);
                }
                None => runs.push(run.clone()),
            }
        }
        known.lost_runs.sort_by_key(|run| run.ended);
        self.trim_lost_runs();
        self.suspicion != before
    }

    /// Limits the number of lost runs: removes those that do not count as successive terminations
    /// first, then the oldest.
    pub(super) fn trim_lost_runs(&mut self) {
        while self.suspicion.lost_runs.len() > MAX_LOST_RUNS {
            let counted: Vec<IncarnationId> = self
                .successive_terminations(&Causes::default())
                .into_iter()
                .map(|run| run.engine.clone())
                .collect();
            let runs = &mut self.suspicion.lost_runs;
            let surplus = runs.iter().position(|run| !counted.contains(&run.engine));
            runs.remove(surplus.unwrap_or_default());
        }
    }

    pub(super) const fn must_be_stored(&self) -> bool {
        self.stored.is_none() || self.is_missing
    }

    pub(super) fn has_more_than(&self, news: &Suspicion) -> bool {
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
    pub(super) fn uncleared_runs(&self) -> impl Iterator<Item = &LostRun> {
        let cleared = self.suspicion.cleared;
        let runs = self.suspicion.lost_runs.iter();
        runs.filter(move |run| cleared.is_none_or(|cleared| run.ended > cleared))
    }

    /// Uncleared runs whose terminations don't count for another suspect.
    pub(super) fn unexplained_runs<'a>(
        &'a self,
        causes: &'a Causes,
    ) -> impl Iterator<Item = &'a LostRun> {
        let own = self.suspicion.fingerprint;
        self.uncleared_runs()
            .filter(move |run| causes.may_be_caused_by(&run.engine, own))
    }

    /// How much speaks against the suspect: successive terminations, then all of them.
    pub(super) fn strength(&self, causes: &Causes) -> (usize, usize) {
        (
            self.successive_terminations(causes).len(),
            self.unexplained_runs(causes).count(),
        )
    }

    /// Successive terminations that don't count for another suspect: each run in the result started
    /// after the previous engine had terminated, or its own engine terminated clearly later.
    pub(super) fn successive_terminations<'a>(&'a self, causes: &'a Causes) -> Vec<&'a LostRun> {
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

    /// Whether it is a request that ran to its end recently, or a part on which engines have begun
    /// to write.
    pub(super) const fn was_sound(&self) -> bool {
        self.suspicion.cleared.is_some()
    }

    /// Successive terminations after which the suspect is quarantined.
    pub(super) fn needed_terminations(&self) -> usize {
        if self.was_sound() {
            DECIDED_AFTER_ENGINES
        } else {
            QUARANTINED_AFTER_ENGINES
        }
    }

    /// Whether so many engines terminated under a part on which none has ever begun to write that it
    /// is a cause even if others were there too.
    pub(super) fn is_decided(&self) -> bool {
        let is_part = self.suspicion.kind != SuspectKind::Request;
        let none = Causes::default();
        is_part
            && !self.was_sound()
            && self.uncleared_runs().count() >= DECIDED_AFTER_ENGINES
            && self.successive_terminations(&none).len() >= QUARANTINED_AFTER_ENGINES
    }

    /// Whether enough engines terminated for a quarantine.
    pub(super) fn would_be_quarantined(&self, causes: &Causes) -> bool {
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

    pub(super) fn has_different_requests(&self, causes: &Causes) -> bool {
        let runs = self.unexplained_runs(causes);
        let requests: BTreeSet<u32> = runs.map(|run| run.request).collect();
        requests.len() >= QUARANTINED_AFTER_REQUESTS
    }

    /// When the evidence for a quarantine has lasted long enough for daemons to have exchanged what
    /// they lost, and for first events on a part to have cleared it; `None` without enough evidence.
    pub(super) fn settled_at(&self, causes: &Causes) -> Option<Instant> {
        if !self.would_be_quarantined(causes) {
            return None;
        }
        let none = Causes::default();
        let causes = if self.is_decided() { &none } else { causes };
        let successive = self.successive_terminations(causes);
        let deciding = successive.get(self.needed_terminations() - 1)?.ended;
        let deciding = deciding.max(self.sufficient_since.unwrap_or(deciding));
        match self.suspicion.kind {
            SuspectKind::Request if self.was_sound() => {
                let first = successive.first()?.ended;
                Some((deciding + REQUEST_SETTLING_TIME).max(first + SOUND_SETTLING_TIME))
            }
            SuspectKind::Request => Some(deciding + REQUEST_SETTLING_TIME),
            SuspectKind::Part { .. } if self.was_sound() => {
                let before = self.answers_before.unwrap_or(causes.answers);
                if causes.answers.saturating_sub(before) < answers_needed(successive.len()) {
                    return None;
                }
                let first = successive.first()?.ended;
                Some((deciding + PART_SETTLING_TIME).max(first + SOUND_SETTLING_TIME))
            }
            SuspectKind::Part { .. } => Some(deciding + PART_SETTLING_TIME),
        }
    }

    /// The number of answers at which the evidence against a part that was sound is sufficient, if it
    /// lacks only answers to other requests.
    pub(super) fn awaited_answers(&self, causes: &Causes) -> Option<u64> {
        let is_short = self.would_be_quarantined(causes) && self.settled_at(causes).is_none();
        let before = self.answers_before.unwrap_or(causes.answers);
        let terminations = self.successive_terminations(causes).len();
        is_short.then_some(before + answers_needed(terminations))
    }

    pub(super) fn has_settled(&self, causes: &Causes, now: Instant) -> bool {
        self.settled_at(causes)
            .is_some_and(|settled_at| settled_at <= now)
    }

    pub(super) fn standing(&self, causes: &Causes, now: Instant) -> Standing {
        let since = self
            .newest_unreleased()
            .filter(|_newest| self.has_settled(causes, now))
            .max(self.stored);
        if let Some(until) = since.map(|since| since + QUARANTINE_DURATION)
            && until > now
        {
            return Standing::Quarantined { until };
        }
        if let Some(until) = self.pending_until(causes, now) {
            return Standing::Pending { until };
        }
        if self.successive_terminations(causes).len() >= SUSPECTED_AFTER_ENGINES {
            Standing::Suspected
        } else {
            Standing::Clear
        }
    }

    /// When the newest uncleared run was lost, if that was after the last quarantine was ended.
    fn newest_unreleased(&self) -> Option<Instant> {
        let newest = self.uncleared_runs().map(|run| run.ended).max();
        newest.filter(|newest| self.released.is_none_or(|released| *newest > released))
    }

    /// When a request will be quarantined if nothing else explains the terminations; `None` without
    /// enough evidence.
    fn pending_until(&self, causes: &Causes, now: Instant) -> Option<Instant> {
        if self.suspicion.kind != SuspectKind::Request {
            return None;
        }
        self.newest_unreleased()?;
        self.settled_at(causes)
            .filter(|settled_at| now < *settled_at)
    }

    /// Whether it may be what ended the engines of another suspect. A request may be although the
    /// evidence is too recent for its own quarantine.
    pub(super) fn may_be_cause(&self, causes: &Causes, now: Instant) -> bool {
        let is_request = self.suspicion.kind == SuspectKind::Request;
        self.has_settled(causes, now) || (is_request && self.would_be_quarantined(causes))
    }

    pub(super) fn last_update(&self) -> Option<Instant> {
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

/// Answers to other requests that engines must have begun since the first of so many successive
/// terminations before a part that was sound is quarantined. While engines answer nothing at all, no
/// part can be cleared. The more engines terminated under the part and under nothing else, the fewer
/// answers show that engines serve other requests.
const fn answers_needed(terminations: usize) -> u64 {
    match terminations {
        ..=DECIDED_AFTER_ENGINES => 20,
        6 => 10,
        7 => 5,
        _ => 2,
    }
}
