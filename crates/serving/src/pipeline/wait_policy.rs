//! How long a request waits for a back end.
//!
//! A slow engine may be busy, or it may have died silently; the connection does not show which.
//! Once the answer is overdue, the engine's health endpoint is queried while the request keeps
//! waiting. The path to it may be cut as well, which a check through a peer shows.
//!
//! A wait ends before its deadline only if the request already holds what it needs to run elsewhere:
//! a retry and a back end that is not known to fail. Until then it keeps its back end, which may
//! answer after all.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::Urgency;

use super::Pipeline;
use super::job::Job;
use super::probe::HealthCheckResult;
use crate::connections::ExchangeRoute;
use crate::time::{self, now};

/// A back end that has sent something within this time is alive, so its health endpoint is not
/// queried.
const RECENT_ACTIVITY_WINDOW: Duration = Duration::from_millis(250);
/// Time between two health checks of an engine whose answer is awaited.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a request that may not leave its back end yet asks again.
const RELEASE_INTERVAL: Duration = Duration::from_millis(150);

/// A timeout after a shorter wait is no evidence against the back end, because callers that retry
/// may have little time left.
const MIN_CONCLUSIVE_WAIT: Duration = Duration::from_millis(400);

/// What a request must hold before it leaves its back end early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Release {
    /// It stays until its deadline, because it must not run elsewhere.
    Never,
    /// A retry and another back end.
    WithRetry,
    /// Another back end only: what it waits for is no run.
    WithBackEnd,
}

/// Limits of one wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitPolicy {
    /// When the wait ends at the latest.
    deadline: Instant,
    /// Time after which the back end counts as too slow, if the request may leave it.
    limit: Option<Duration>,
    /// Time after which the health endpoint is queried; `None` for never.
    health_check_after: Option<Duration>,
    /// Time after which the path to the back end is checked, if it has been silent.
    path_check_after: Duration,
    /// What ending the wait early requires.
    release: Release,
    /// Whether the request ranks below others at the back end, which then may never get to it.
    has_lower_rank: bool,
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
    /// Waits until the request's deadline. If `release` allows the request to leave, the back end
    /// counts as too slow after `limit`, and is checked after `health_check_after`.
    pub(super) fn new(
        job: &Job,
        release: Release,
        limit: Option<Duration>,
        health_check_after: Option<Duration>,
    ) -> Self {
        let may_leave = release != Release::Never;
        Self {
            deadline: job.deadline,
            limit: limit.filter(|_| may_leave),
            health_check_after: health_check_after.filter(|_| may_leave),
            path_check_after: health_check_after.unwrap_or(job.route.target_latency),
            release,
            has_lower_rank: job.urgency == Urgency::Late,
        }
    }

    /// Waits until the request's deadline, whatever the back end does.
    pub(super) fn until_deadline(job: &Job) -> Self {
        Self::new(job, Release::Never, None, None)
    }

    /// Also queries the health endpoint after `time` if the request may not leave: the finding helps
    /// those that are not sent yet.
    pub(super) const fn checking_health_after(self, time: Duration) -> Self {
        Self {
            health_check_after: Some(time),
            ..self
        }
    }

    /// When the wait ends at the latest.
    pub(super) const fn deadline(&self) -> Instant {
        self.deadline
    }
}

/// What is known during one wait.
struct Wait {
    policy: WaitPolicy,
    started_at: Instant,
    /// When the back end counts as too slow.
    limit: Option<Instant>,
    health_check_at: Option<Instant>,
    path_check_at: Option<Instant>,
    /// When the back end was found not to answer its health check.
    unresponsive_since: Option<Instant>,
    /// When to ask again whether the request may leave its back end.
    ask_again_at: Option<Instant>,
    /// What was recorded for the back end's health.
    recorded: Option<Outcome>,
}

impl Wait {
    fn new(policy: WaitPolicy) -> Self {
        let started_at = now();
        Self {
            policy,
            started_at,
            limit: policy.limit.map(|limit| started_at + limit),
            health_check_at: policy.health_check_after.map(|after| started_at + after),
            path_check_at: Some(started_at + policy.path_check_after),
            unresponsive_since: None,
            ask_again_at: None,
            recorded: None,
        }
    }

    /// When the next decision is due.
    fn next_decision(&self, now: Instant) -> Instant {
        let limit = self.limit.filter(|limit| *limit > now);
        [
            limit,
            self.health_check_at,
            self.path_check_at,
            self.ask_again_at,
        ]
        .into_iter()
        .flatten()
        .fold(self.policy.deadline, Instant::min)
    }

    /// Whether a check that is due at `check_at` has to be made now; it is not due again then.
    fn take_due(check_at: &mut Option<Instant>, now: Instant) -> bool {
        check_at.take_if(|at| *at <= now).is_some()
    }
}

impl Pipeline {
    /// Waits for `answer` within the limits of `policy`. If the wait ends early, the request holds
    /// what it needs to run elsewhere.
    pub(super) async fn wait_for<T>(
        self: &Arc<Self>,
        answer: &mut (impl Future<Output = T> + Unpin),
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        policy: WaitPolicy,
        route: &ExchangeRoute,
    ) -> Result<T, WaitEnd> {
        let mut wait = Wait::new(policy);
        loop {
            let changed = self.paths().changed().notified();
            let decision = time::sleep_until(wait.next_decision(now()));
            tokio::select! {
                biased;
                answer = &mut *answer => return Ok(answer),
                () = changed => {}
                () = decision => {}
            }
            if now() >= policy.deadline {
                let finding = self.overdue(&wait, back_end);
                self.record_finding(&mut wait, job, back_end, finding);
                self.connections.discard_idle(back_end.address);
                return Err(finding);
            }
            if Wait::take_due(&mut wait.path_check_at, now())
                && route.is_direct()
                && !self.was_recently_active(back_end)
            {
                self.spawn_path_check(back_end.address);
            }
            if Wait::take_due(&mut wait.health_check_at, now()) {
                tokio::select! {
                    biased;
                    answer = &mut *answer => return Ok(answer),
                    () = self.check_during_wait(&mut wait, back_end, &job.service.health_path) => {}
                }
            }
            let Some(finding) = self.finding(&wait, back_end, route) else {
                wait.ask_again_at = None;
                continue;
            };
            // A back end that answers other requests is only slow; it counts as silent if the request
            // leaves it.
            let answers_others = self.active_since(back_end, wait.started_at);
            if finding != WaitEnd::Silent || !answers_others {
                self.record_finding(&mut wait, job, back_end, finding);
            }
            if self.may_leave(&mut wait, job, back_end, finding).await {
                self.record_finding(&mut wait, job, back_end, finding);
                self.connections.discard_idle(back_end.address);
                return Err(finding);
            }
        }
    }

    /// Records what a wait found for the health of the back end, once for each kind of outcome that
    /// is worse than the one before.
    fn record_finding(
        self: &Arc<Self>,
        wait: &mut Wait,
        job: &Job,
        back_end: &Arc<BackEnd>,
        finding: WaitEnd,
    ) {
        let Some(outcome) = finding.outcome() else {
            return;
        };
        let is_known =
            matches!(wait.recorded, Some(known) if known == outcome || outcome == Outcome::Silent);
        if !is_known {
            wait.recorded = Some(outcome);
            self.note_outcome(back_end, &job.service.health_path, outcome);
        }
    }

    /// Queries the health endpoint, unless the back end has just sent something: one at capacity
    /// delays its health check as it delays requests.
    async fn check_during_wait(
        self: &Arc<Self>,
        wait: &mut Wait,
        back_end: &Arc<BackEnd>,
        health_path: &str,
    ) {
        if self.was_recently_active(back_end) {
            wait.health_check_at = Some(now() + RECENT_ACTIVITY_WINDOW);
            return;
        }
        let check = self.check_health(back_end, health_path);
        let check = time::timeout_at(wait.policy.deadline, check).await;
        let has_failed = check.is_some_and(HealthCheckResult::has_failed);
        wait.unresponsive_since = has_failed.then(now);
        wait.health_check_at = Some(now() + HEALTH_CHECK_INTERVAL);
    }

    /// What speaks for leaving the back end now.
    fn finding(&self, wait: &Wait, back_end: &BackEnd, route: &ExchangeRoute) -> Option<WaitEnd> {
        if route.is_direct() && self.paths().is_cut(back_end.address) {
            return Some(WaitEnd::PathCut);
        }
        let is_unresponsive = wait
            .unresponsive_since
            .is_some_and(|since| !self.active_since(back_end, since));
        if is_unresponsive {
            return Some(WaitEnd::Unresponsive);
        }
        let is_too_slow = wait.limit.is_some_and(|limit| now() >= limit);
        is_too_slow.then(|| self.overdue(wait, back_end))
    }

    /// What an answer that is overdue tells about the back end.
    fn overdue(&self, wait: &Wait, back_end: &BackEnd) -> WaitEnd {
        let waited = now().saturating_duration_since(wait.started_at);
        if waited < MIN_CONCLUSIVE_WAIT {
            WaitEnd::OutOfTime
        } else if wait.policy.has_lower_rank && self.active_since(back_end, wait.started_at) {
            WaitEnd::NotReached
        } else {
            WaitEnd::Silent
        }
    }

    /// Whether the request may leave its back end for this finding. If not, the wait asks again later.
    async fn may_leave(
        self: &Arc<Self>,
        wait: &mut Wait,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        finding: WaitEnd,
    ) -> bool {
        if wait.ask_again_at.is_some_and(|at| now() < at) {
            return false;
        }
        let release = wait.policy.release;
        let may_leave = self
            .can_run_elsewhere(job, back_end, release, finding)
            .await;
        wait.ask_again_at = Some(now() + RELEASE_INTERVAL);
        may_leave
    }

    /// Whether the request holds what it needs to run elsewhere. Takes a retry if one is needed.
    async fn can_run_elsewhere(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &BackEnd,
        release: Release,
        finding: WaitEnd,
    ) -> bool {
        match release {
            Release::Never => false,
            Release::WithBackEnd => self.has_other_back_end(job, back_end),
            Release::WithRetry => {
                self.has_retry(job)
                    && self.has_other_back_end(job, back_end)
                    && self.hold_retry(job, finding.name()).await
            }
        }
    }

    /// Whether another back end that is not known to fail can generate the answer.
    fn has_other_back_end(&self, job: &Job, current: &BackEnd) -> bool {
        let candidates = self.candidates(job).back_ends;
        let placement = self.placement();
        candidates.iter().any(|candidate| {
            candidate.id != current.id
                && candidate.stage != Some(Stage::Prefill)
                && !placement.health.is_ejected(&candidate.id)
        })
    }

    fn spawn_path_check(&self, address: SocketAddr) {
        let paths = Arc::clone(self.paths());
        let spawner = &self.runtime.spawner;
        spawner.spawn(Box::pin(async move { paths.verify(address).await }));
    }

    fn was_recently_active(&self, back_end: &BackEnd) -> bool {
        self.active_since(back_end, now() - RECENT_ACTIVITY_WINDOW)
    }

    fn active_since(&self, back_end: &BackEnd, since: Instant) -> bool {
        self.placement().health.active_since(&back_end.id, since)
    }
}
