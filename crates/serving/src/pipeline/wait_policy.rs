//! How long a request waits for a back end.
//!
//! A slow engine may be busy, or it may have died silently; the connection does not show which.
//! Once the answer is overdue, the engine's health endpoint is queried while the request keeps
//! waiting. An engine that does not answer the health check either is abandoned.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::Urgency;

use super::Pipeline;
use super::job::Job;
use super::probe::HealthCheckResult;
use crate::time::{self, now};

/// A back end that has sent something within this time is alive, so its health endpoint is not
/// queried.
const RECENT_ACTIVITY_WINDOW: Duration = Duration::from_millis(250);
/// Time between two health checks of an engine whose answer is awaited.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A timeout after a shorter wait is no evidence against the back end, because callers that retry
/// may have little time left.
const MIN_CONCLUSIVE_WAIT: Duration = Duration::from_millis(400);

/// Limits of one wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitPolicy {
    /// When the wait ends at the latest.
    pub(super) until: Instant,
    /// When the health endpoint is queried; `None` if ending the wait early would not help the
    /// request.
    pub(super) health_check_at: Option<Instant>,
    /// Whether the request ranks below others at the back end, which then may never get to it.
    pub(super) has_lower_rank: bool,
}

/// Why a wait ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// The request had too little time left for a conclusion about the back end.
    OutOfTime,
    /// The back end was busy with other requests all the time.
    NotReached,
    /// The back end did not answer in time.
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

    /// What the end of the wait tells about the health of the back end.
    pub(super) const fn outcome(self) -> Option<Outcome> {
        match self {
            Self::OutOfTime | Self::NotReached => None,
            Self::Silent => Some(Outcome::Silent),
            Self::Unresponsive => Some(Outcome::Unreachable),
        }
    }
}

impl WaitPolicy {
    /// Waits until the request's deadline, or at most for `limit` if another back end could be
    /// tried then.
    pub(super) fn new(
        job: &Job,
        limit: Option<Duration>,
        health_check_after: Option<Duration>,
    ) -> Self {
        let started_at = now();
        Self {
            until: limit.map_or(job.deadline, |limit| (started_at + limit).min(job.deadline)),
            health_check_at: health_check_after.map(|after| started_at + after),
            has_lower_rank: job.urgency == Urgency::Late,
        }
    }
}

impl Pipeline {
    fn active_since(&self, back_end: &BackEnd, since: Instant) -> bool {
        self.placement().health.active_since(&back_end.id, since)
    }

    /// Waits for `answer` within the limits of `wait_policy`.
    pub(super) async fn wait_for<T>(
        self: &Arc<Self>,
        answer: impl Future<Output = T>,
        back_end: &Arc<BackEnd>,
        health_path: &str,
        wait_policy: WaitPolicy,
    ) -> Result<T, WaitEnd> {
        let mut answer = pin!(answer);
        let started_at = now();
        let time = wait_policy.until.saturating_duration_since(started_at);
        let mut health_check_at = wait_policy.health_check_at;
        loop {
            let should_check = health_check_at.is_some_and(|at| at < wait_policy.until);
            let next = health_check_at
                .filter(|_| should_check)
                .unwrap_or(wait_policy.until);
            let sleep = time::sleep_until(next);
            tokio::select! {
                biased;
                answer = &mut answer => return Ok(answer),
                () = sleep => {}
            }
            if !should_check {
                self.connections.discard_idle(back_end.address);
                return Err(if time < MIN_CONCLUSIVE_WAIT {
                    WaitEnd::OutOfTime
                } else if wait_policy.has_lower_rank && self.active_since(back_end, started_at) {
                    WaitEnd::NotReached
                } else {
                    WaitEnd::Silent
                });
            }
            // A back end at capacity delays its health check as it delays requests.
            if self.active_since(back_end, now() - RECENT_ACTIVITY_WINDOW) {
                health_check_at = Some(now() + RECENT_ACTIVITY_WINDOW);
                continue;
            }
            tokio::select! {
                biased;
                answer = &mut answer => return Ok(answer),
                check = self.check_health(back_end, health_path) => {
                    if check == HealthCheckResult::Unhealthy {
                        self.connections.discard_idle(back_end.address);
                        return Err(WaitEnd::Unresponsive);
                    }
                }
            }
            health_check_at = Some(now() + HEALTH_CHECK_INTERVAL);
        }
    }
}
