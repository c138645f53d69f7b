//! Brings an ejected back end back once its health check is good.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::{MAX_CHECK_DELAY, Outcome};
use rand::RngExt;

use super::Pipeline;
use super::announcements::AnswerOrigin;
use crate::dialect::SmallCall;
use crate::time::now;

/// Time for a health check.
const CHECK_LIMIT: Duration = Duration::from_millis(400);
/// Connections that health checks may open beside those of requests.
const CHECK_CONNECTIONS: u32 = u32::MAX;

/// How a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckEnd {
    /// The back end is well.
    Well,
    /// It did not answer in time, or not as itself, or says that it is not.
    Unwell,
    /// It was not asked: its rate limit leaves no room.
    NotMade,
}

impl Pipeline {
    /// Checks an ejected back end, with growing pauses, until it is well or gone.
    pub(super) fn check_until_well(
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
            let mut pause = pipeline.spread(first_pause);
            loop {
                tokio::time::sleep(pause).await;
                if !pipeline.state.is_ready(&back_end.id) {
                    pipeline.placement().health.reinstate(&back_end.id);
                    return;
                }
                // Neither a check nor a request would be of use to it: what it said holds for both.
                if pipeline.placement().is_closed(&back_end, now()) {
                    pause = pipeline.spread(MAX_CHECK_DELAY);
                    continue;
                }
                let may_check = pipeline
                    .placement()
                    .health
                    .may_check(&back_end.id, pause, now());
                if let Err(next) = may_check {
                    pause = pipeline.spread(next);
                    continue;
                }
                match pipeline.check_health(&back_end, &path).await {
                    CheckEnd::Well => {
                        tracing::info!(back_end = &*back_end.id, "back_end_reinstated");
                        pipeline.placement().health.reinstate(&back_end.id);
                        return;
                    }
                    CheckEnd::NotMade => {
                        pause = pipeline.spread(MAX_CHECK_DELAY);
                        continue;
                    }
                    CheckEnd::Unwell => {}
                }
                match pipeline
                    .placement()
                    .health
                    .record_failed_check(&back_end.id)
                {
                    Some(next) => pause = pipeline.spread(next),
                    None => return,
                }
            }
        }));
    }

    /// Daemons that found the same at the same time do not all try at the same time again: the first tells the others.
    fn spread(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.random().random_range(0.6..1.4))
    }

    /// A peer found a back end unwell: it is checked here before a request finds out.
    pub fn check_on_hint(self: &Arc<Self>, back_end: &Arc<BackEnd>) {
        let Some(path) = self.health_path(back_end) else {
            return;
        };
        if self.placement().is_closed(back_end, now()) {
            return;
        }
        if !self
            .placement()
            .health
            .note_peer_ejection(&back_end.id, now())
        {
            return;
        }
        let pipeline = Arc::clone(self);
        let back_end = Arc::clone(back_end);
        self.runtime.spawner.spawn(Box::pin(async move {
            if pipeline.check_health(&back_end, &path).await == CheckEnd::Unwell {
                pipeline.note_outcome(&back_end, &path, Outcome::Unreachable);
            }
        }));
    }

    pub(super) fn health_path(&self, back_end: &BackEnd) -> Option<Arc<str>> {
        let in_force = self.state.in_force()?;
        let service = in_force.configuration.service(&back_end.service)?;
        Some(Arc::clone(&service.health_path))
    }

    /// Checks whether a back end answers its health check in time, as itself.
    pub(super) async fn check_health(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        path: &str,
    ) -> CheckEnd {
        let call = SmallCall {
            method: Method::GET,
            path: path.to_owned(),
        };
        let Some(request) = call.request(back_end.address) else {
            return CheckEnd::Unwell;
        };
        let Some(permit) = self.permit_check(back_end) else {
            return CheckEnd::NotMade;
        };
        let sent = now();
        let call = self.connections.call(
            permit,
            back_end.address,
            CHECK_CONNECTIONS,
            request,
            CHECK_LIMIT,
        );
        let Some(answer) = call.await else {
            return CheckEnd::Unwell;
        };
        let is_itself = self.dialect.health_identity(answer.headers()) == Some(&*back_end.id);
        if is_itself {
            let origin = AnswerOrigin::call("health_check", sent);
            self.note_announcement(back_end, answer.status(), answer.headers(), origin);
        }
        if answer.status() == StatusCode::OK && is_itself {
            CheckEnd::Well
        } else {
            CheckEnd::Unwell
        }
    }
}
