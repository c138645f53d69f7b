//! How long a request waits for a back end.
//!
//! An engine that takes long may be at work, or it may have died silently: the connection does not show which. Once the
//! answer is overdue, the engine's health endpoint is queried while the request waits on. An engine that does not answer
//! that either is abandoned.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::Urgency;

use super::Pipeline;
use super::job::Job;
use super::probe::CheckEnd;
use crate::time::{self, now};

/// A back end that has sent something within this time is alive: its health endpoint is not queried.
const SIGN_OF_LIFE_LASTS: Duration = Duration::from_millis(250);
/// Time between two health checks of an engine that is waited for.
const SUSPICION_REPEAT: Duration = Duration::from_millis(500);

/// A wait shorter than this says nothing of the back end when it ends: callers that retry bring only what is left of
/// their deadline.
const LEAST_SILENCE: Duration = Duration::from_millis(400);

/// Limits of one wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitPolicy {
    /// When the wait ends in any case.
    pub(super) until: Instant,
    /// When the health endpoint is queried; none where an early end would not help the request.
    pub(super) suspicious_at: Option<Instant>,
    /// Whether the request has a lower rank than others at the back end, which may then never reach it.
    pub(super) is_behind: bool,
}

/// Why a wait ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// The request had so little time that its end says nothing of the back end.
    OutOfTime,
    /// The back end was at work for others all its time.
    NotReached,
    /// Its time was over.
    Silent,
    /// The back end did not answer its health check either.
    Unresponsive,
}

impl WaitEnd {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::OutOfTime => "out_of_time",
            Self::NotReached => "not_reached_in_time",
            Self::Silent => "no_answer_in_time",
            Self::Unresponsive => "back_end_unresponsive",
        }
    }

    /// What it says of the back end.
    pub(super) const fn outcome(self) -> Option<Outcome> {
        match self {
            Self::OutOfTime | Self::NotReached => None,
            Self::Silent => Some(Outcome::Silent),
            Self::Unresponsive => Some(Outcome::Unreachable),
        }
    }
}

impl WaitPolicy {
    /// Waits until the request's end, or for `limit` where another back end could be asked then.
    pub(super) fn new(
        job: &Job,
        limit: Option<Duration>,
        suspicious_after: Option<Duration>,
    ) -> Self {
        let begun = now();
        Self {
            until: limit.map_or(job.end, |limit| (begun + limit).min(job.end)),
            suspicious_at: suspicious_after.map(|after| begun + after),
            is_behind: job.urgency == Urgency::Late,
        }
    }
}

impl Pipeline {
    fn lives_since(&self, back_end: &BackEnd, since: Instant) -> bool {
        self.placement().health.lives_since(&back_end.id, since)
    }

    /// Waits for `answer` as long as `wait_policy` says.
    pub(super) async fn wait_for<T>(
        self: &Arc<Self>,
        answer: impl Future<Output = T>,
        back_end: &Arc<BackEnd>,
        health_path: &str,
        wait_policy: WaitPolicy,
    ) -> Result<T, WaitEnd> {
        let mut answer = pin!(answer);
        let begun = now();
        let time = wait_policy.until.saturating_duration_since(begun);
        let mut suspicious_at = wait_policy.suspicious_at;
        loop {
            let asks = suspicious_at.is_some_and(|at| at < wait_policy.until);
            let next = suspicious_at.filter(|_| asks).unwrap_or(wait_policy.until);
            let sleep = time::sleep_until(next);
            tokio::select! {
                biased;
                answer = &mut answer => return Ok(answer),
                () = sleep => {}
            }
            if !asks {
                self.connections.discard_idle(back_end.address);
                return Err(if time < LEAST_SILENCE {
                    WaitEnd::OutOfTime
                } else if wait_policy.is_behind && self.lives_since(back_end, begun) {
                    WaitEnd::NotReached
                } else {
                    WaitEnd::Silent
                });
            }
            // A full back end lets its health check wait, as it does requests.
            if self.lives_since(back_end, now() - SIGN_OF_LIFE_LASTS) {
                suspicious_at = Some(now() + SIGN_OF_LIFE_LASTS);
                continue;
            }
            tokio::select! {
                biased;
                answer = &mut answer => return Ok(answer),
                check = self.check_health(back_end, health_path) => {
                    if check == CheckEnd::Unwell {
                        self.connections.discard_idle(back_end.address);
                        return Err(WaitEnd::Unresponsive);
                    }
                }
            }
            suspicious_at = Some(now() + SUSPICION_REPEAT);
        }
    }
}
