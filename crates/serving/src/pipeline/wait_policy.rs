//! How long a request waits for a back end.
//!
//! A slow engine may be busy, or it may have died silently; the connection does not show which.
//! Once the answer is overdue, the engine's health endpoint is queried while the request keeps
//! waiting. An engine that does not answer the health check either is abandoned.
//!
//! The path to it may be cut as well, which a check through a peer shows. A request on a direct
//! connection is then abandoned if another back end may run it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::Urgency;

use super::Pipeline;
use super::job::Job;
use crate::connections::ExchangeRoute;
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
    /// When the path to the back end is checked, if it has been silent.
    pub(super) path_check_at: Instant,
    /// Whether another back end could be tried if the path turns out to be cut.
    pub(super) leaves_cut_path: bool,
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
    /// This daemon's path to the back end was cut during the wait.
    PathCut,
}

impl WaitEnd {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::OutOfTime => "out_of_time",
            Self::NotReached => "not_reached_in_time",
            Self::Silent => "no_answer_in_time",
            Self::Unresponsive => "back_end_unresponsive",
            Self::PathCut => "path_cut",
        }
    }

    /// What the end of the wait tells about the health of the back end.
    pub(super) const fn outcome(self) -> Option<Outcome> {
        match self {
            Self::OutOfTime | Self::NotReached | Self::PathCut => None,
            Self::Silent => Some(Outcome::Silent),
            Self::Unresponsive => Some(Outcome::Unresponsive),
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
            path_check_at: started_at + health_check_after.unwrap_or(job.route.target_latency),
            leaves_cut_path: limit.is_some(),
            has_lower_rank: job.urgency == Urgency::Late,
        }
    }

    /// Ends the wait if the path turns out to be cut, although no other back end can be tried for
    /// being slow.
    pub(super) const fn leaving_cut_path(self) -> Self {
        Self {
            leaves_cut_path: true,
            ..self
        }
    }
}

impl Pipeline {
    /// Waits for `answer`. Has the path checked if the back end is silent for too long; if the path is
    /// cut and another back end could be tried, the wait ends.
    async fn watch_path<T>(
        self: &Arc<Self>,
        answer: impl Future<Output = T>,
        back_end: &Arc<BackEnd>,
        wait_policy: WaitPolicy,
        route: &ExchangeRoute,
    ) -> Result<T, WaitEnd> {
        let mut answer = pin!(answer);
        let mut check_at = Some(wait_policy.path_check_at);
        loop {
            let changed = self.paths().changed().notified();
            let check = async {
                match check_at {
                    Some(at) => time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                answer = &mut answer => return Ok(answer),
                () = changed => {
                    let is_cut = self.paths().is_cut(back_end.address);
                    if is_cut && route.is_direct() && wait_policy.leaves_cut_path {
                        return Err(WaitEnd::PathCut);
                    }
                }
                () = check => {
                    check_at = None;
                    if route.is_direct() && !self.active_since(back_end, now() - RECENT_ACTIVITY_WINDOW) {
                        self.spawn_path_check(back_end.address);
                    }
                }
            }
        }
    }

    fn spawn_path_check(&self, address: SocketAddr) {
        let paths = Arc::clone(self.paths());
        let spawner = &self.runtime.spawner;
        spawner.spawn(Box::pin(async move { paths.verify(address).await }));
    }

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
        route: &ExchangeRoute,
    ) -> Result<T, WaitEnd> {
        let answer = self.watch_path(answer, back_end, wait_policy, route);
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
                answer = &mut answer => return answer,
                () = sleep => {}
            }
            if route.is_direct() && self.paths().is_cut(back_end.address) {
                return Err(WaitEnd::PathCut);
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
                answer = &mut answer => return answer,
                check = self.check_health(back_end, health_path) => {
                    if check.has_failed() {
                        self.connections.discard_idle(back_end.address);
                        return Err(WaitEnd::Unresponsive);
                    }
                }
            }
            health_check_at = Some(now() + HEALTH_CHECK_INTERVAL);
        }
    }
}
