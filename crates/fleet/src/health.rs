//! Health of back ends, derived from the outcomes of requests that this daemon and the other
//! daemons of its zone sent.
//!
//! The directory may list a back end as ready for several seconds after it has crashed. Therefore a
//! daemon ejects a back end, that is, sends it no requests, if it cannot be reached, does not
//! answer in time or repeatedly breaks connections. Responses that report a failure never eject a
//! back end; they only increase its cost.
//!
//! A healthy back end may fall silent for about a second and go on. A connection attempt or health
//! check without any answer therefore shows only silence: the back end is ejected at once, but the
//! first sign of life ends the ejection, and until [`SHORT_SILENCE`] has passed it is expected to
//! come back. A refused connection or an unhealthy answer shows a failure.
//!
//! After any other ejection, and after a longer silence, a successful health check reinstates the
//! back end on trial: it receives one request at a time until `TRIAL_SUCCESSES` requests have
//! succeeded. A health check may succeed although requests fail, so the first request on trial without a complete response ejects the back end
//! again. The delay before the next health check grows with each ejection and each failed or
//! postponed check.
//!
//! The daemons of a zone share two kinds of information, because each of them sends too few
//! requests to one back end to detect a failure quickly:
//! - counts of outcomes, which are combined with the daemon's own;
//! - ejections. An ejection at a peer does not eject the back end here, but makes this daemon check
//!   it. If the check fails, it counts as an unreachable request.
//!
//! A request without a complete response shows a fault of the back end or of the path to it. It is
//! published once the back end was reached over the same path again, or a peer could not reach it
//! either.
//!
//! Outcomes from other zones are ignored: the same back end may behave differently when it is
//! called from another zone.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest silence of a back end that is expected to go on.
pub const SHORT_SILENCE: Duration = Duration::from_secs(2);
/// Delay before each health check of a back end during a short silence.
pub const SILENT_CHECK_DELAY: Duration = Duration::from_millis(200);
/// Data that arrived within this time came after the start of any attempt that has just ended
/// without an answer.
const RECENT_LIFE: Duration = Duration::from_millis(300);
/// Delay before the first health check of an ejected back end.
pub const FIRST_CHECK_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay between two health checks.
pub const MAX_CHECK_DELAY: Duration = Duration::from_secs(4);
/// If the last failed request is older than this at the next one, the delay starts again at
/// [`FIRST_CHECK_DELAY`].
const CHECK_DELAY_RESET_AFTER: Duration = Duration::from_secs(15);
/// Minimum time between two health checks of a back end that are triggered by ejections at peers.
/// Each peer that ejects the back end reports it repeatedly.
const MIN_PEER_EJECTION_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Requests without a complete response, summed over all daemons of the zone, that eject a back end
/// if none succeeds in between.
const ZONE_UNANSWERED_LIMIT: u32 = 4;
/// Requests without a complete response that are not confirmed within this time are not published.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(5);
/// Successful requests that end a trial.
const TRIAL_SUCCESSES: u32 = 2;
/// Maximum number of requests without a complete response in one message that count toward
/// [`ZONE_UNANSWERED_LIMIT`]. Without this cap, one message of a daemon with a failed network link
/// could eject every back end.
const MAX_UNANSWERED_PER_MESSAGE: u8 = 2;
/// Maximum number of outcomes of each kind per back end that count in one message. Limits the
/// effect of one message on the failure rate; [`MAX_UNANSWERED_PER_MESSAGE`] limits its effect on
/// ejection.
const MAX_COUNT_PER_MESSAGE: u8 = 8;
/// Weight of the newest outcome in the failure rate, an exponentially weighted moving average.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// Additional cost of a back end whose requests all fail, as a multiple of its normal cost.
const FAILURE_COST_FACTOR: f64 = 12.0;

/// Outcome of one request to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response.
    Success,
    /// The connection was refused, or a health check failed.
    Unreachable,
    /// No answer to a connection attempt or to a health check.
    Unresponsive,
    /// No response within the expected time.
    Silent,
    /// The connection broke, or the response was malformed.
    Broken,
    /// A response that reports a failure.
    Error,
}

impl Outcome {
    /// Name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::Unreachable => "refused_or_unhealthy",
            Self::Unresponsive => "no_answer_to_connection_or_check",
            Self::Silent => "no_answer_in_time",
            Self::Broken => "broken",
            Self::Error => "error",
        }
    }

    /// Number of consecutive requests without a complete response, of whatever kind, at which a
    /// request with this outcome ejects the back end; `None` for outcomes that never do.
    const fn ejection_limit(self) -> Option<u32> {
        match self {
            Self::Success | Self::Error => None,
            Self::Unreachable | Self::Unresponsive => Some(1),
            Self::Silent => Some(2),
            Self::Broken => Some(3),
        }
    }
}

/// Number of requests to one back end by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Complete responses.
    pub successes: u8,
    /// Responses that report a failure.
    pub errors: u8,
    /// Requests without a complete response: [`Outcome::Unreachable`], [`Outcome::Silent`] and
    /// [`Outcome::Broken`]. [`Outcome::Unresponsive`] is not counted: each daemon checks the back end
    /// itself once a peer has ejected it.
    pub unanswered: u8,
}

impl OutcomeCounts {
    fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Success => &mut self.successes,
            Outcome::Error => &mut self.errors,
            Outcome::Unreachable | Outcome::Silent | Outcome::Broken => &mut self.unanswered,
            Outcome::Unresponsive => return,
        };
        *counter = counter.saturating_add(1);
    }
}

#[derive(Debug, Default)]
struct BackEndHealth {
    /// Requests of this daemon without a complete response since its last success or the last
    /// reinstatement. Unlike `last_failure` and `failure_rate`, does not include
    /// [`Outcome::Error`].
    consecutive_unanswered: u32,
    /// Requests without a complete response since the last success or reinstatement, summed over
    /// all daemons of the zone.
    zone_unanswered: u32,
    ejected: bool,
    /// Number of ejections and silences so far, which distinguishes their health checks.
    ejections: u32,
    /// When its first request without a complete response since its last sign of life ended.
    unanswered_since: Option<Instant>,
    /// Since when it gives no sign of life; `None` if it is not silent.
    silent_since: Option<Instant>,
    /// Whether silence is the only reason of the ejection.
    is_ejected_for_silence: bool,
    /// When it last answered anything, including health checks.
    last_life: Option<Instant>,
    /// Successful requests that remain until the trial ends; 0 when not on trial.
    trial_successes_left: u32,
    /// Number of doublings of the delay before the next health check. Grows with each ejection and
    /// each failed or postponed check.
    check_delay_step: u32,
    /// Time of the last failed request of any daemon of the zone.
    last_failure: Option<Instant>,
    /// Time when the back end last sent data to this daemon.
    last_activity: Option<Instant>,
    /// Time of the last health check that was triggered by an ejection at a peer.
    last_peer_ejection_check: Option<Instant>,
    /// Moving average of failures in the zone, from 0 to 1.
    failure_rate: f64,
    /// Outcomes of this daemon's requests that have not been sent to its peers yet.
    unpublished: OutcomeCounts,
    /// Requests of this daemon without a complete response that may be due to its own path. They are
    /// published only once they are confirmed.
    unconfirmed: u8,
    /// When the last of them failed.
    last_unconfirmed: Option<Instant>,
}

/// Health of all back ends.
#[derive(Debug, Default)]
pub struct Health {
    by_back_end: HashMap<Arc<str>, BackEndHealth>,
    /// Number of silences that have ended.
    ended_silences: u64,
}

impl Health {
    /// Records the outcome of a request of this daemon. If it ejects the back end, returns the
    /// delay before the first health check.
    pub fn record(&mut self, id: &Arc<str>, outcome: Outcome, now: Instant) -> Option<Duration> {
        if matches!(outcome, Outcome::Success | Outcome::Error) {
            self.record_life(id, now);
        }
        let health = self.by_back_end.entry(Arc::clone(id)).or_default();
        health.count_for_peers(outcome, now);
        if outcome == Outcome::Success {
            health.last_activity = Some(now);
            health.consecutive_unanswered = 0;
            health.count_success();
            return None;
        }
        if outcome == Outcome::Unresponsive {
            return health.begin_silence(now);
        }
        if outcome == Outcome::Unreachable {
            health.end_silence_by_failure();
        }
        health.count_failure(now);
        let limit = outcome.ejection_limit()?;
        health.unanswered_since.get_or_insert(now);
        health.consecutive_unanswered += 1;
        health.zone_unanswered += 1;
        health.eject_if_due(health.consecutive_unanswered >= limit)
    }

    /// Releases this daemon's requests without a complete response for publication: the back end was
    /// reached over the same path since, or a peer could not reach it either.
    pub fn confirm_unanswered(&mut self, id: &str, now: Instant) {
        if let Some(health) = self.by_back_end.get_mut(id) {
            health.confirm_unanswered(now);
        }
    }

    /// Forgets this daemon's requests without a complete response and the ejection for them, because
    /// its path to the back end was cut.
    pub fn discard_unanswered(&mut self, id: &str) {
        if let Some(health) = self.by_back_end.get_mut(id) {
            health.unconfirmed = 0;
            health.consecutive_unanswered = 0;
            health.zone_unanswered = 0;
            health.ejected = false;
            health.trial_successes_left = 0;
            health.is_ejected_for_silence = false;
            health.unanswered_since = None;
            if health.silent_since.take().is_some() {
                self.ended_silences += 1;
            }
        }
    }

    /// Records that the back end sent data for any request. This shows that it is alive even if
    /// other requests are still waiting for data.
    pub fn record_activity(&mut self, id: &Arc<str>, now: Instant) {
        self.record_life(id, now);
        let health = self.by_back_end.entry(Arc::clone(id)).or_default();
        health.last_activity = Some(now);
    }

    /// Records an answer of any kind, which ends a silence.
    pub fn record_life(&mut self, id: &Arc<str>, now: Instant) {
        let health = self.by_back_end.entry(Arc::clone(id)).or_default();
        health.last_life = Some(now);
        health.unanswered_since = None;
        let Some(since) = health.silent_since.take() else {
            return;
        };
        self.ended_silences += 1;
        // They were due to the silence, which is over.
        health.unconfirmed = 0;
        if std::mem::take(&mut health.is_ejected_for_silence) {
            let trial_before = health.trial_successes_left;
            health.reinstate();
            if now.saturating_duration_since(since) < SHORT_SILENCE {
                health.trial_successes_left = trial_before;
            }
        }
    }

    /// Records a health check that was refused, answered badly or answered by another process.
    pub fn record_unhealthy(&mut self, id: &str) {
        if let Some(health) = self.by_back_end.get_mut(id) {
            health.end_silence_by_failure();
        }
    }

    /// Since when the back end has given no sign of life; `None` if it is not known to be silent.
    #[must_use]
    pub fn silent_since(&self, id: &str) -> Option<Instant> {
        self.by_back_end
            .get(id)
            .and_then(|health| health.silent_since)
    }

    /// Number of silences that have ended, to notice that a back end has come back.
    #[must_use]
    pub const fn ended_silences(&self) -> u64 {
        self.ended_silences
    }

    /// Number of the current ejection; `None` if the back end is not ejected. Changes when the back
    /// end is ejected again or falls silent, which starts health checks of its own.
    #[must_use]
    pub fn ejection(&self, id: &str) -> Option<u32> {
        let health = self.by_back_end.get(id).filter(|health| health.ejected)?;
        Some(health.ejections)
    }

    /// Whether the back end has shown activity at or after `since`.
    #[must_use]
    pub fn active_since(&self, id: &str, since: Instant) -> bool {
        let last_activity = self
            .by_back_end
            .get(id)
            .and_then(|health| health.last_activity);
        last_activity.is_some_and(|activity| activity >= since)
    }

    /// Records outcomes reported by another daemon of the zone. If they eject the back end, returns
    /// the delay before the first health check.
    pub fn receive(
        &mut self,
        id: &Arc<str>,
        counts: OutcomeCounts,
        now: Instant,
    ) -> Option<Duration> {
        let health = self.by_back_end.entry(Arc::clone(id)).or_default();
        for _ in 0..counts.errors.min(MAX_COUNT_PER_MESSAGE) {
            health.count_failure(now);
        }
        for _ in 0..counts.unanswered.min(MAX_COUNT_PER_MESSAGE) {
            health.count_failure(now);
        }
        health.zone_unanswered += u32::from(counts.unanswered.min(MAX_UNANSWERED_PER_MESSAGE));
        // The order of the outcomes within a message is unknown. Successes are counted last, so
        // that a message that contains one never ejects the back end through the zone's limit.
        for _ in 0..counts.successes.min(MAX_COUNT_PER_MESSAGE) {
            health.count_success();
        }
        if counts.unanswered == 0 {
            return None;
        }
        health.eject_if_due(false)
    }

    /// Returns the outcomes of this daemon's requests since the previous call, to be sent to the
    /// other daemons of the zone.
    pub fn take_unpublished(&mut self) -> Vec<(Arc<str>, OutcomeCounts)> {
        let with_outcomes = self
            .by_back_end
            .iter_mut()
            .filter(|(_id, health)| health.unpublished != OutcomeCounts::default());
        with_outcomes
            .map(|(id, health)| (Arc::clone(id), std::mem::take(&mut health.unpublished)))
            .collect()
    }

    /// Whether an ejected back end may be checked now. `waited` is the delay that preceded this
    /// check. If a request of any daemon of the zone failed during its second half, the back end is
    /// probably still failing. A silent back end may always be checked.
    ///
    /// # Errors
    ///
    /// The check is postponed; the error is the delay before the next attempt.
    pub fn may_check(&mut self, id: &str, waited: Duration, now: Instant) -> Result<(), Duration> {
        let Some(health) = self.by_back_end.get_mut(id) else {
            return Ok(());
        };
        if health.silent_since.is_some() {
            return Ok(());
        }
        let failed_recently = health
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) < waited / 2);
        if failed_recently {
            return Err(health.next_check_delay());
        }
        Ok(())
    }

    /// Whether the back end is on trial and therefore receives only one request at a time.
    #[must_use]
    pub fn is_on_trial(&self, id: &str) -> bool {
        self.by_back_end
            .get(id)
            .is_some_and(|health| health.trial_successes_left > 0)
    }

    /// Records a failed health check of an ejected back end. Returns the delay before the next one;
    /// `None` if the back end is no longer tracked.
    pub fn record_failed_check(&mut self, id: &str, now: Instant) -> Option<Duration> {
        let health = self.by_back_end.get_mut(id)?;
        Some(if health.is_silent_for_short(now) {
            SILENT_CHECK_DELAY
        } else {
            health.next_check_delay()
        })
    }

    /// Ends the ejection of a back end and puts it on trial, see the module documentation.
    pub fn reinstate(&mut self, id: &str) {
        if let Some(health) = self.by_back_end.get_mut(id) {
            health.reinstate();
        }
    }

    /// Records that a peer has ejected the back end. Returns whether this daemon should check it as
    /// well: false if the back end is already ejected here, or if it was checked because of a
    /// peer's ejection within the last `MIN_PEER_EJECTION_CHECK_INTERVAL`.
    pub fn record_peer_ejection(&mut self, id: &Arc<str>, now: Instant) -> bool {
        let health = self.by_back_end.entry(Arc::clone(id)).or_default();
        let checked_recently = health.last_peer_ejection_check.is_some_and(|last| {
            now.saturating_duration_since(last) < MIN_PEER_EJECTION_CHECK_INTERVAL
        });
        if health.ejected || checked_recently {
            return false;
        }
        health.last_peer_ejection_check = Some(now);
        true
    }

    /// The ejected back ends, to be sent to peers.
    #[must_use]
    pub fn ejected(&self) -> Vec<Arc<str>> {
        let ejected = self
            .by_back_end
            .iter()
            .filter(|(_id, health)| health.ejected);
        ejected.map(|(id, _health)| Arc::clone(id)).collect()
    }

    /// Whether the back end is ejected and receives no requests.
    #[must_use]
    pub fn is_ejected(&self, id: &str) -> bool {
        self.by_back_end
            .get(id)
            .is_some_and(|health| health.ejected)
    }

    /// Share of recent requests of the zone to the back end that failed, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, id: &str) -> f64 {
        self.by_back_end
            .get(id)
            .map_or(0.0, |health| health.failure_rate)
    }

    /// Factor by which failures increase the cost of a back end; 1 without failures. Grows with the
    /// square of the failure rate, so that a single failure has little effect.
    #[must_use]
    pub fn cost_factor(&self, id: &str) -> f64 {
        let rate = self
            .by_back_end
            .get(id)
            .map_or(0.0, |health| health.failure_rate);
        1.0 + FAILURE_COST_FACTOR * rate * rate
    }

    /// Forgets the back ends for which `keep` returns false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_back_end.retain(|id, _health| keep(id));
    }
}

impl BackEndHealth {
    /// Ejects the back end for its silence, unless it answered something since the attempt began.
    /// Returns the delay before the first health check.
    fn begin_silence(&mut self, now: Instant) -> Option<Duration> {
        let was_alive = self
            .last_life
            .is_some_and(|last| now.saturating_duration_since(last) < RECENT_LIFE);
        if was_alive || self.silent_since.is_some() {
            return None;
        }
        self.count_failure(now);
        self.silent_since = Some(self.unanswered_since.unwrap_or(now));
        self.is_ejected_for_silence = !self.ejected;
        self.ejected = true;
        self.ejections += 1;
        Some(SILENT_CHECK_DELAY)
    }

    /// A failing back end is not expected to go on by itself.
    fn end_silence_by_failure(&mut self) {
        self.silent_since = None;
        self.is_ejected_for_silence = false;
    }

    fn is_silent_for_short(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| now.saturating_duration_since(since) < SHORT_SILENCE)
    }

    fn reinstate(&mut self) {
        self.ejected = false;
        self.unanswered_since = None;
        self.silent_since = None;
        self.is_ejected_for_silence = false;
        self.consecutive_unanswered = 0;
        self.zone_unanswered = 0;
        self.trial_successes_left = TRIAL_SUCCESSES;
    }

    /// Counts an outcome of this daemon's own request towards what its peers are sent.
    fn count_for_peers(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Success | Outcome::Error => {
                self.confirm_unanswered(now);
                self.unpublished.count(outcome);
            }
            Outcome::Unreachable | Outcome::Silent | Outcome::Broken => {
                self.drop_old_unconfirmed(now);
                self.unconfirmed = self.unconfirmed.saturating_add(1);
                self.last_unconfirmed = Some(now);
            }
            // Peers check the back end themselves.
            Outcome::Unresponsive => {}
        }
    }

    fn confirm_unanswered(&mut self, now: Instant) {
        self.drop_old_unconfirmed(now);
        let confirmed = std::mem::take(&mut self.unconfirmed);
        self.unpublished.unanswered = self.unpublished.unanswered.saturating_add(confirmed);
    }

    fn drop_old_unconfirmed(&mut self, now: Instant) {
        let is_old = self
            .last_unconfirmed
            .is_some_and(|last| now.saturating_duration_since(last) > UNCONFIRMED_LIFETIME);
        if is_old {
            self.unconfirmed = 0;
        }
    }

    fn count_success(&mut self) {
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate;
        self.zone_unanswered = 0;
        self.trial_successes_left = self.trial_successes_left.saturating_sub(1);
    }

    fn count_failure(&mut self, now: Instant) {
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        self.reset_delay_if_last_failure_is_old(now);
        self.last_failure = Some(now);
    }

    /// Ejects the back end after a request without a complete response if it is on trial, if this
    /// daemon's own requests have reached their limit (`own_limit_reached`), or if those of the
    /// whole zone have. Returns the delay before the first health check.
    fn eject_if_due(&mut self, own_limit_reached: bool) -> Option<Duration> {
        let is_due = own_limit_reached
            || self.trial_successes_left > 0
            || self.zone_unanswered >= ZONE_UNANSWERED_LIMIT;
        if self.ejected || !is_due {
            return None;
        }
        self.ejected = true;
        self.ejections += 1;
        self.trial_successes_left = 0;
        Some(self.next_check_delay())
    }

    /// Must be called before `last_failure` is updated.
    fn reset_delay_if_last_failure_is_old(&mut self, now: Instant) {
        let is_old = self
            .last_failure
            .is_some_and(|last| now.saturating_duration_since(last) > CHECK_DELAY_RESET_AFTER);
        if is_old {
            self.check_delay_step = 0;
        }
    }

    /// Returns the delay before the next health check and doubles the one after it, up to
    /// [`MAX_CHECK_DELAY`].
    fn next_check_delay(&mut self) -> Duration {
        // Keeps the shift in range; the delay reaches its maximum after fewer doublings.
        let doublings = self.check_delay_step.min(8);
        self.check_delay_step += 1;
        FIRST_CHECK_DELAY
            .saturating_mul(1 << doublings)
            .min(MAX_CHECK_DELAY)
    }
}
