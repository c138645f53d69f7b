//! Checks the health of back ends and reinstates ejected ones.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::{MAX_CHECK_DELAY, Outcome};
use rand::RngExt;
use tokio::sync::SemaphorePermit;

use super::Pipeline;
use super::announcements::AnswerOrigin;
use crate::connections::CallError;
use crate::dialect::BodylessCall;
use crate::time::now;

/// Time limit for a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Health checks are not limited to this daemon's share of connections.
const MAX_CHECK_CONNECTIONS: u32 = u32::MAX;

/// Result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HealthCheckResult {
    /// The back end is healthy.
    Healthy,
    /// The connection was refused or broke, or the back end answered with another identity or
    /// reports that it is unhealthy.
    Unhealthy,
    /// The back end did not answer in time.
    Unresponsive,
    /// The back end's rate limit does not allow a check, or there is no memory here for the answer.
    Skipped,
}

impl HealthCheckResult {
    pub(super) const fn has_failed(self) -> bool {
        matches!(self, Self::Unhealthy | Self::Unresponsive)
    }

    /// What a failed check shows.
    const fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Healthy | Self::Skipped => None,
            Self::Unhealthy => Some(Outcome::Unreachable),
            Self::Unresponsive => Some(Outcome::Unresponsive),
        }
    }
}

impl Pipeline {
    /// Checks an ejected back end with increasing pauses until it is healthy or removed from the
    /// directory.
    pub(super) fn check_until_healthy(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        health_path: &Arc<str>,
        first_pause: Duration,
    ) {
        let pipeline = Arc::clone(self);
        let back_end = Arc::clone(back_end);
        let path = Arc::clone(health_path);
        let spawner = Arc::clone(&self.runtime.spawner);
        spawner.spawn(Box::pin(async move {
            let mut pause = pipeline.with_jitter(first_pause);
            let ejection = pipeline.placement().health.ejection(&back_end.id);
            loop {
                let _turn = pipeline.await_check(&back_end, pause).await;
                if pipeline.placement().health.ejection(&back_end.id) != ejection {
                    return;
                }
                if !pipeline.state.is_ready(&back_end.id) {
                    pipeline.placement().health.reinstate(&back_end.id);
                    return;
                }
                // A back end that backs off or drains would reject health checks as well as
                // requests.
                if pipeline.placement().is_closed(&back_end, now()) {
                    pause = pipeline.with_jitter(MAX_CHECK_DELAY);
                    continue;
                }
                let may_check = pipeline
                    .placement()
                    .health
                    .may_check(&back_end.id, pause, now());
                if let Err(next) = may_check {
                    pause = pipeline.with_jitter(next);
                    continue;
                }
                match pipeline.check_health(&back_end, &path).await {
                    HealthCheckResult::Healthy => {
                        tracing::info!(back_end = &*back_end.id, "back_end_reinstated");
                        let health = &mut pipeline.placement().health;
                        // The answer itself ended an ejection for silence.
                        if health.is_ejected(&back_end.id) {
                            health.reinstate(&back_end.id);
                        }
                        return;
                    }
                    HealthCheckResult::Skipped => {
                        pause = pipeline.with_jitter(MAX_CHECK_DELAY);
                        continue;
                    }
                    HealthCheckResult::Unhealthy => {
                        pipeline.placement().health.record_unhealthy(&back_end.id);
                    }
                    // If this is the first sign of silence, it starts checks at another pace.
                    HealthCheckResult::Unresponsive => {
                        pipeline.note_outcome(&back_end, &path, Outcome::Unresponsive);
                        if pipeline.placement().health.ejection(&back_end.id) != ejection {
                            return;
                        }
                    }
                }
                match pipeline
                    .placement()
                    .health
                    .record_failed_check(&back_end.id, now())
                {
                    Some(next) => pause = pipeline.with_jitter(next),
                    None => return,
                }
            }
        }));
    }

    /// Waits before a health check. A refused request brings the check of a silent back end forward.
    async fn await_check(
        &self,
        back_end: &BackEnd,
        pause: Duration,
    ) -> Option<SemaphorePermit<'_>> {
        let is_silent = self.placement().health.silent_since(&back_end.id).is_some();
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.silent_services().check_advanced(), if is_silent => {}
        }
        if is_silent {
            self.silent_services().check_turn().await
        } else {
            None
        }
    }

    /// Adds jitter, so that daemons that ejected a back end at the same time do not check it at the
    /// same time. The first one to check tells the others.
    fn with_jitter(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.random().random_range(0.6..1.4))
    }

    /// Checks a back end that a peer found unhealthy, before a request is sent to it.
    pub fn check_reported_back_end(self: &Arc<Self>, back_end: &Arc<BackEnd>) {
        let Some(path) = self.health_path(back_end) else {
            return;
        };
        if self.placement().is_closed(back_end, now()) {
            return;
        }
        if !self
            .placement()
            .health
            .record_peer_ejection(&back_end.id, now())
        {
            return;
        }
        let pipeline = Arc::clone(self);
        let back_end = Arc::clone(back_end);
        self.runtime.spawner.spawn(Box::pin(async move {
            let result = pipeline.check_health(&back_end, &path).await;
            if let Some(outcome) = result.outcome() {
                pipeline.note_outcome(&back_end, &path, outcome);
            }
        }));
    }

    /// Releases outcomes for publication after the back end answered, unless it did through a peer.
    fn confirm_if_direct(&self, back_end: &BackEnd) {
        if !self.paths().is_cut(back_end.address) {
            let mut placement = self.placement();
            placement.health.confirm_unanswered(&back_end.id, now());
        }
    }

    pub(super) fn health_path(&self, back_end: &BackEnd) -> Option<Arc<str>> {
        let in_force = self.state.in_force()?;
        let service = in_force.configuration.service(&back_end.service)?;
        Some(Arc::clone(&service.health_path))
    }

    /// Checks whether a back end answers its health check in time and with its own identity.
    pub(super) async fn check_health(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        path: &str,
    ) -> HealthCheckResult {
        let call = BodylessCall {
            method: Method::GET,
            path: path.to_owned(),
        };
        let Some(request) = call.request(back_end.address) else {
            return HealthCheckResult::Unhealthy;
        };
        let Some(permit) = self.permit_check(back_end) else {
            return HealthCheckResult::Skipped;
        };
        let sent = now();
        let call = self.connections.call(
            permit,
            back_end.address,
            MAX_CHECK_CONNECTIONS,
            request,
            HEALTH_CHECK_TIMEOUT,
        );
        let answer = match call.await {
            Ok(answer) => answer,
            Err(error) => {
                self.log_failed_check(back_end, error.name());
                return match error {
                    CallError::NoAnswer => HealthCheckResult::Unresponsive,
                    CallError::NoMemory => HealthCheckResult::Skipped,
                    CallError::Refused | CallError::Broken => HealthCheckResult::Unhealthy,
                };
            }
        };
        let identity_matches =
            self.dialect.health_identity(answer.headers()) == Some(&*back_end.id);
        if identity_matches {
            let origin = AnswerOrigin::call("health_check", sent);
            self.record_announcements(back_end, answer.status(), answer.headers(), origin);
        }
        if answer.status() == StatusCode::OK && identity_matches {
            // First, because it discards what the end of a silence explains.
            self.placement().health.record_life(&back_end.id, now());
            self.confirm_if_direct(back_end);
            HealthCheckResult::Healthy
        } else {
            let result = if identity_matches {
                "unhealthy"
            } else {
                "another_identity"
            };
            self.log_failed_check(back_end, result);
            HealthCheckResult::Unhealthy
        }
    }

    fn log_failed_check(&self, back_end: &BackEnd, result: &'static str) {
        let is_ejected = self.placement().health.is_ejected(&back_end.id);
        tracing::info!(
            back_end = &*back_end.id,
            result,
            is_ejected,
            "health_check_failed"
        );
    }
}
