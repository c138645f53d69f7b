//! Health of back ends, derived from the results of requests that this daemon and the other daemons
//! of its zone sent.
//!
//! The directory may list a crashed engine as ready for seconds. A back end that cannot be reached,
//! does not answer in time or repeatedly breaks its connections is ejected. A successful health
//! check reinstates it on trial; the delay before the check grows with each ejection. A health
//! check may succeed although requests fail, so the first failed request on trial ejects the back
//! end again. Daemons of one zone share their results, because each of them sends too few requests
//! to one engine to detect a failure quickly. Results from other zones are ignored: the same engine
//! may behave differently from there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay before the first health check of an ejected back end.
pub const FIRST_CHECK_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay between two health checks.
pub const MAX_CHECK_DELAY: Duration = Duration::from_secs(4);
/// After this long without a failure the delay starts again at [`FIRST_CHECK_DELAY`].
const RESET_AFTER: Duration = Duration::from_secs(15);
/// Minimum time between two health checks of a back end that are triggered by ejections at peers.
const MIN_HINT_INTERVAL: Duration = Duration::from_secs(2);
/// Consecutive broken requests, summed over all daemons of the zone, that eject a back end.
const ZONE_BREAK_LIMIT: u32 = 4;
/// Successful requests that end a trial.
const TRIAL_SUCCESSES: u32 = 2;
/// Maximum number of broken requests in one message that count toward [`ZONE_BREAK_LIMIT`]: a
/// daemon with a failed network link reports broken requests at every back end.
const MAX_BREAKS_PER_MESSAGE: u8 = 2;
/// Maximum number of results of each kind per back end that count in one message.
const MAX_RESULTS_PER_MESSAGE: u8 = 8;
/// Weight of the newest result in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// Additional cost of a back end whose requests all fail, as a multiple of its normal cost.
const FAILURE_COST_FACTOR: f64 = 12.0;

/// Result of one request to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response.
    Success,
    /// No connection could be established.
    Unreachable,
    /// No response within the expected time.
    Silent,
    /// The connection broke, or the response was malformed.
    Broken,
    /// A response that reports a failure.
    Error,
}

impl Outcome {
    /// Consecutive failures that eject a back end; `None` for outcomes that never do.
    const fn ejects_after(self) -> Option<u32> {
        match self {
            Self::Success | Self::Error => None,
            Self::Unreachable => Some(1),
            Self::Silent => Some(2),
            Self::Broken => Some(3),
        }
    }
}

/// Counts of request results at one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Complete responses.
    pub successes: u8,
    /// Responses that report a failure.
    pub errors: u8,
    /// Failed or broken connections, and responses that did not arrive in time.
    pub unanswered: u8,
}

impl OutcomeCounts {
    fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Success => &mut self.successes,
            Outcome::Error => &mut self.errors,
            Outcome::Unreachable | Outcome::Silent | Outcome::Broken => &mut self.unanswered,
        };
        *counter = counter.saturating_add(1);
    }
}

#[derive(Debug, Default)]
struct Record {
    consecutive_failures: u32,
    /// Consecutive broken requests, summed over all daemons of the zone.
    zone_breaks: u32,
    ejected: bool,
    /// Successful requests that remain until the trial ends; 0 when not on trial.
    trial_successes_left: u32,
    ejection_count: u32,
    last_failure: Option<Instant>,
    last_activity: Option<Instant>,
    last_hint: Option<Instant>,
    failure_rate: f64,
    unpublished: OutcomeCounts,
}

/// Health records of all back ends, by id.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<Arc<str>, Record>,
}

impl Health {
    /// Records the result of a request of this daemon. If the back end is ejected because of it,
    /// returns the delay before the first health check.
    pub fn record(&mut self, id: &Arc<str>, outcome: Outcome, now: Instant) -> Option<Duration> {
        let record = self.records.entry(Arc::clone(id)).or_default();
        record.unpublished.count(outcome);
        if outcome == Outcome::Success {
            record.last_activity = Some(now);
            record.consecutive_failures = 0;
            record.count_success();
            return None;
        }
        record.count_failure(now);
        let limit = outcome.ejects_after()?;
        record.consecutive_failures += 1;
        record.zone_breaks += 1;
        record.eject_if(record.consecutive_failures >= limit)
    }

    /// Records that the back end sent data for some request, which shows that it is alive even if
    /// other requests are waiting.
    pub fn record_activity(&mut self, id: &Arc<str>, now: Instant) {
        let record = self.records.entry(Arc::clone(id)).or_default();
        record.last_activity = Some(now);
    }

    /// Whether the back end has shown activity at or after `since`.
    #[must_use]
    pub fn active_since(&self, id: &str, since: Instant) -> bool {
        let last_activity = self.records.get(id).and_then(|record| record.last_activity);
        last_activity.is_some_and(|sign| sign >= since)
    }

    /// Records results reported by another daemon of the zone. If the back end is ejected because
    /// of them, returns the delay before the first health check.
    pub fn receive(
        &mut self,
        id: &Arc<str>,
        results: OutcomeCounts,
        now: Instant,
    ) -> Option<Duration> {
        let record = self.records.entry(Arc::clone(id)).or_default();
        for _ in 0..results.errors.min(MAX_RESULTS_PER_MESSAGE) {
            record.count_failure(now);
        }
        for _ in 0..results.unanswered.min(MAX_RESULTS_PER_MESSAGE) {
            record.count_failure(now);
        }
        record.zone_breaks += u32::from(results.unanswered.min(MAX_BREAKS_PER_MESSAGE));
        // The order of the results within a message is unknown; successes are counted last.
        for _ in 0..results.successes.min(MAX_RESULTS_PER_MESSAGE) {
            record.count_success();
        }
        if results.unanswered == 0 {
            return None;
        }
        record.eject_if(false)
    }

    /// Returns the results of this daemon's requests since the previous call, to be sent to the
    /// zone.
    pub fn take_unpublished(&mut self) -> Vec<(Arc<str>, OutcomeCounts)> {
        let with_results = self
            .records
            .iter_mut()
            .filter(|(_id, record)| record.unpublished != OutcomeCounts::default());
        with_results
            .map(|(id, record)| (Arc::clone(id), std::mem::take(&mut record.unpublished)))
            .collect()
    }

    /// Whether an ejected back end may be checked now. If a request to it has failed within half of
    /// `pause`, returns the delay before the next attempt as the error.
    pub fn may_check(&mut self, id: &str, pause: Duration, now: Instant) -> Result<(), Duration> {
        let Some(record) = self.records.get_mut(id) else {
            return Ok(());
        };
        let failed_since = record
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) < pause / 2);
        if failed_since {
            return Err(record.next_check_delay());
        }
        Ok(())
    }

    /// Whether the back end is on trial and therefore receives only one request at a time.
    #[must_use]
    pub fn is_on_trial(&self, id: &str) -> bool {
        self.records
            .get(id)
            .is_some_and(|record| record.trial_successes_left > 0)
    }

    /// Records a failed health check of an ejected back end. Returns the delay before the next one.
    pub fn record_failed_check(&mut self, id: &str) -> Option<Duration> {
        let record = self.records.get_mut(id)?;
        Some(record.next_check_delay())
    }

    /// Ends the ejection of a back end and puts it on trial.
    pub fn reinstate(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.ejected = false;
            record.consecutive_failures = 0;
            record.zone_breaks = 0;
            record.trial_successes_left = TRIAL_SUCCESSES;
        }
    }

    /// Records that a peer has ejected the back end. Returns whether this daemon should check it
    /// too, which it should not if the back end is already ejected here or was checked for the same
    /// reason a moment ago.
    pub fn record_peer_ejection(&mut self, id: &Arc<str>, now: Instant) -> bool {
        let record = self.records.entry(Arc::clone(id)).or_default();
        let is_fresh = record
            .last_hint
            .is_some_and(|last| now.saturating_duration_since(last) < MIN_HINT_INTERVAL);
        if record.ejected || is_fresh {
            return false;
        }
        record.last_hint = Some(now);
        true
    }

    /// The ejected back ends, to be sent to peers.
    #[must_use]
    pub fn ejected(&self) -> Vec<Arc<str>> {
        let ejected = self.records.iter().filter(|(_id, record)| record.ejected);
        ejected.map(|(id, _record)| Arc::clone(id)).collect()
    }

    /// Whether the back end is ejected and receives no requests.
    #[must_use]
    pub fn is_ejected(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| record.ejected)
    }

    /// Factor by which failures increase the cost of a back end; 1 without failures.
    #[must_use]
    pub fn cost_factor(&self, id: &str) -> f64 {
        let rate = self
            .records
            .get(id)
            .map_or(0.0, |record| record.failure_rate);
        1.0 + FAILURE_COST_FACTOR * rate * rate
    }

    /// Removes the records of back ends for which `keep` returns false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|id, _record| keep(id));
    }
}

impl Record {
    fn count_success(&mut self) {
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate;
        self.zone_breaks = 0;
        self.trial_successes_left = self.trial_successes_left.saturating_sub(1);
    }

    fn count_failure(&mut self, now: Instant) {
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        self.reset_delay(now);
        self.last_failure = Some(now);
    }

    /// Ejects the back end if it is on trial, or if the failures of this daemon's requests
    /// (`own_are_enough`) or of the whole zone reach their limit. Returns the delay before the
    /// first health check.
    fn eject_if(&mut self, own_are_enough: bool) -> Option<Duration> {
        let is_enough =
            own_are_enough || self.trial_successes_left > 0 || self.zone_breaks >= ZONE_BREAK_LIMIT;
        if self.ejected || !is_enough {
            return None;
        }
        self.ejected = true;
        self.trial_successes_left = 0;
        Some(self.next_check_delay())
    }

    fn reset_delay(&mut self, now: Instant) {
        let is_long_ago = self
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) > RESET_AFTER);
        if is_long_ago {
            self.ejection_count = 0;
        }
    }

    fn next_check_delay(&mut self) -> Duration {
        let doublings = self.ejection_count.min(8);
        self.ejection_count += 1;
        FIRST_CHECK_DELAY
            .saturating_mul(1 << doublings)
            .min(MAX_CHECK_DELAY)
    }
}
