//! What requests found out about back ends, own ones and those of the daemons of the same zone.
//!
//! The directory may name a crashed engine as ready for seconds. A back end that cannot be reached, keeps silent or breaks
//! off again and again is ejected; a health check brings it back on trial, later each time. Health checks may lie, so the
//! first failure of a request on trial ejects it again. Daemons of one zone tell each other their results: each alone sends
//! an engine too little to find out soon. Other zones may fare differently with the same engine and are not heard.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before the first health check of an ejected back end.
pub const FIRST_CHECK_DELAY: Duration = Duration::from_millis(500);
/// Longest pause between two health checks.
pub const MAX_CHECK_DELAY: Duration = Duration::from_secs(4);
/// A back end that did well for this long begins anew.
const FORGIVEN_AFTER: Duration = Duration::from_secs(15);
/// A back end is checked for hints of peers no more often than this.
const HINT_PAUSE: Duration = Duration::from_secs(2);
/// Broken requests in a row, of all daemons of the zone, that eject a back end.
const ZONE_BREAKS: u32 = 4;
/// Successes that end a trial.
const TRIAL_SUCCESSES: u32 = 2;
/// Breaks that count of one message towards that, at most: a daemon whose own link failed tells of breaks everywhere.
const MOST_BREAKS_HEARD: u8 = 2;
/// Results of one back end that count of one message, at most.
const MOST_HEARD: u8 = 8;
/// Weight of the newest result in the failure rate.
const NEWEST_WEIGHT: f64 = 0.1;
/// Cost of a back end that fails always, as a multiple of one that never does.
const FAILURE_COST: f64 = 12.0;

/// How a request at a back end ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Success,
    /// No connection.
    Unreachable,
    /// No answer in the time it should take.
    Silent,
    /// The connection broke, or the answer was none.
    Broken,
    /// An answer that tells of a failure.
    Error,
}

impl Outcome {
    /// Failures in a row that eject a back end; none for failures that never do.
    const fn ejects_after(self) -> Option<u32> {
        match self {
            Self::Success | Self::Error => None,
            Self::Unreachable => Some(1),
            Self::Silent => Some(2),
            Self::Broken => Some(3),
        }
    }
}

/// Results of requests at one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Results {
    /// Whole answers.
    pub successes: u8,
    /// Answers that tell of a failure.
    pub errors: u8,
    /// Broken connections, and back ends that could not be reached or kept silent.
    pub breaks: u8,
}

impl Results {
    fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Success => &mut self.successes,
            Outcome::Error => &mut self.errors,
            Outcome::Unreachable | Outcome::Silent | Outcome::Broken => &mut self.breaks,
        };
        *counter = counter.saturating_add(1);
    }
}

#[derive(Debug, Default)]
struct Record {
    failures_in_a_row: u32,
    /// Broken requests in a row of all daemons of the zone.
    zone_breaks: u32,
    ejected: bool,
    /// Successes that are missing until the trial after an ejection is over.
    on_trial: u32,
    ejections: u32,
    last_failure: Option<Instant>,
    last_sign: Option<Instant>,
    last_hint: Option<Instant>,
    failure_rate: f64,
    unpublished: Results,
}

/// Health of all back ends, by identity.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<Arc<str>, Record>,
}

impl Health {
    /// Takes a result. Returns the pause before a health check where it ejects the back end.
    pub fn record(&mut self, id: &Arc<str>, outcome: Outcome, now: Instant) -> Option<Duration> {
        let record = self.records.entry(Arc::clone(id)).or_default();
        record.unpublished.count(outcome);
        if outcome == Outcome::Success {
            record.last_sign = Some(now);
            record.failures_in_a_row = 0;
            record.succeeded();
            return None;
        }
        record.failed(now);
        let limit = outcome.ejects_after()?;
        record.failures_in_a_row += 1;
        record.zone_breaks += 1;
        record.eject_where(record.failures_in_a_row >= limit)
    }

    /// The back end sent something that belongs to a request: it lives, however long it lets others wait.
    pub fn record_activity(&mut self, id: &Arc<str>, now: Instant) {
        let record = self.records.entry(Arc::clone(id)).or_default();
        record.last_sign = Some(now);
    }

    /// Whether the back end has shown that it lives since then.
    #[must_use]
    pub fn active_since(&self, id: &str, since: Instant) -> bool {
        let last_sign = self.records.get(id).and_then(|record| record.last_sign);
        last_sign.is_some_and(|sign| sign >= since)
    }

    /// Takes results that another daemon of the zone had. Returns the pause before a health check where they eject the
    /// back end.
    pub fn receive(&mut self, id: &Arc<str>, results: Results, now: Instant) -> Option<Duration> {
        let record = self.records.entry(Arc::clone(id)).or_default();
        for _ in 0..results.errors.min(MOST_HEARD) {
            record.failed(now);
        }
        for _ in 0..results.breaks.min(MOST_HEARD) {
            record.failed(now);
        }
        record.zone_breaks += u32::from(results.breaks.min(MOST_BREAKS_HEARD));
        // What came in between is not known: a success counts as the last.
        for _ in 0..results.successes.min(MOST_HEARD) {
            record.succeeded();
        }
        if results.breaks == 0 {
            return None;
        }
        record.eject_where(false)
    }

    /// Own results since the last call, for telling the zone.
    pub fn take_unpublished(&mut self) -> Vec<(Arc<str>, Results)> {
        let with_results = self
            .records
            .iter_mut()
            .filter(|(_id, record)| record.unpublished != Results::default());
        with_results
            .map(|(id, record)| (Arc::clone(id), std::mem::take(&mut record.unpublished)))
            .collect()
    }

    /// Whether an ejected back end may be checked now: not if a request at it failed within the last `pause`. Returns the
    /// next pause where not.
    pub fn may_check(&mut self, id: &str, pause: Duration, now: Instant) -> Result<(), Duration> {
        let Some(record) = self.records.get_mut(id) else {
            return Ok(());
        };
        let failed_since = record
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) < pause / 2);
        if failed_since {
            return Err(record.next_pause());
        }
        Ok(())
    }

    /// Whether the back end is on trial: it gets one request at a time.
    #[must_use]
    pub fn is_on_trial(&self, id: &str) -> bool {
        self.records
            .get(id)
            .is_some_and(|record| record.on_trial > 0)
    }

    /// A health check of an ejected back end failed. Returns the pause before the next.
    pub fn record_failed_check(&mut self, id: &str) -> Option<Duration> {
        let record = self.records.get_mut(id)?;
        Some(record.next_pause())
    }

    /// An ejected back end is well again.
    pub fn reinstate(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.ejected = false;
            record.failures_in_a_row = 0;
            record.zone_breaks = 0;
            record.on_trial = TRIAL_SUCCESSES;
        }
    }

    /// A peer has ejected this back end. Returns whether it should be checked here too: not if it is ejected
    /// already, or was checked for such a hint a moment ago.
    pub fn note_peer_ejection(&mut self, id: &Arc<str>, now: Instant) -> bool {
        let record = self.records.entry(Arc::clone(id)).or_default();
        let is_fresh = record
            .last_hint
            .is_some_and(|last| now.saturating_duration_since(last) < HINT_PAUSE);
        if record.ejected || is_fresh {
            return false;
        }
        record.last_hint = Some(now);
        true
    }

    /// Back ends that are ejected, for telling peers.
    #[must_use]
    pub fn ejected(&self) -> Vec<Arc<str>> {
        let ejected = self.records.iter().filter(|(_id, record)| record.ejected);
        ejected.map(|(id, _record)| Arc::clone(id)).collect()
    }

    /// Whether the back end gets no requests.
    #[must_use]
    pub fn is_ejected(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| record.ejected)
    }

    /// What failures multiply the cost of a back end by; 1 for one that never fails.
    #[must_use]
    pub fn cost_factor(&self, id: &str) -> f64 {
        let rate = self
            .records
            .get(id)
            .map_or(0.0, |record| record.failure_rate);
        1.0 + FAILURE_COST * rate * rate
    }

    /// Forgets back ends for which `keep` is false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|id, _record| keep(id));
    }
}

impl Record {
    fn succeeded(&mut self) {
        self.failure_rate -= NEWEST_WEIGHT * self.failure_rate;
        self.zone_breaks = 0;
        self.on_trial = self.on_trial.saturating_sub(1);
    }

    fn failed(&mut self, now: Instant) {
        self.failure_rate += NEWEST_WEIGHT * (1.0 - self.failure_rate);
        self.forgive(now);
        self.last_failure = Some(now);
    }

    /// Ejects the back end where its own failures are enough, the zone's are, or it is on trial.
    fn eject_where(&mut self, own_are_enough: bool) -> Option<Duration> {
        let is_enough = own_are_enough || self.on_trial > 0 || self.zone_breaks >= ZONE_BREAKS;
        if self.ejected || !is_enough {
            return None;
        }
        self.ejected = true;
        self.on_trial = 0;
        Some(self.next_pause())
    }

    fn forgive(&mut self, now: Instant) {
        let long_ago = self
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) > FORGIVEN_AFTER);
        if long_ago {
            self.ejections = 0;
        }
    }

    fn next_pause(&mut self) -> Duration {
        let doublings = self.ejections.min(8);
        self.ejections += 1;
        FIRST_CHECK_DELAY
            .saturating_mul(1 << doublings)
            .min(MAX_CHECK_DELAY)
    }
}
