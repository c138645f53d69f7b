//! Takes up what back ends announce of themselves in answers.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};
use ponddrift_fleet::announcements::{Availability, RequestedBackoff};
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;

use super::Pipeline;
use super::answers::Failure;
use super::job::Job;
use crate::request_trace::milliseconds;
use crate::time::now;

impl Pipeline {
    /// Takes what an answer of `back_end` announces. The caller has made sure that this back end gave it; `source` tells of
    /// what kind it is.
    pub(crate) fn note_announcement(
        &self,
        back_end: &Arc<BackEnd>,
        status: StatusCode,
        headers: &HeaderMap,
        source: &'static str,
    ) {
        let announcement = self.dialect.read_announcement(status, headers);
        if announcement.drains {
            self.metrics.announcement("draining", source);
        }
        match announcement.backoff {
            RequestedBackoff::Unasked => {}
            RequestedBackoff::For(_) => self.metrics.announcement("backoff", source),
            RequestedBackoff::Unreadable => self.metrics.announcement("backoff_unreadable", source),
        }
        let now = now();
        let news = self
            .placement()
            .announcements
            .note(back_end, announcement, now);
        let backoff_ms = match news {
            None | Some(Availability::Open) => return,
            Some(Availability::Draining) => None,
            Some(Availability::BackingOff { until }) => {
                Some(milliseconds(until.saturating_duration_since(now)))
            }
        };
        tracing::info!(
            back_end = &*back_end.id,
            incarnation = back_end.incarnation.0,
            availability = news.map(Availability::as_str),
            backoff_ms,
            source,
            directory_ready = self.state.is_ready(&back_end.id),
            "back_end_announced"
        );
    }

    /// Why a request must not be sent to the back end now; none where it may. Asked right before every send, since a request
    /// may have waited for a prompt to be read or for a retry since its back end was chosen.
    pub(super) fn why_closed(&self, back_end: &BackEnd) -> Option<&'static str> {
        if !self.state.takes_requests(&back_end.id, now()) {
            return Some("back_end_drains_or_is_gone");
        }
        let availability = self.placement().announcements.availability(back_end, now());
        match availability {
            Availability::Open => None,
            Availability::BackingOff { .. } => Some("back_end_backs_off"),
            Availability::Draining => Some("back_end_announced_draining"),
        }
    }

    /// What a caller is told whose request nothing can be chosen for. `failure` is what came of it before: where it may have
    /// run, that stands.
    pub(super) fn nothing_to_choose(&self, job: &Job, failure: Failure) -> Failure {
        if !matches!(failure, Failure::NotRun(_)) {
            return failure;
        }
        let candidates = self.candidates(job).back_ends;
        let generating = candidates
            .into_iter()
            .filter(|back_end| back_end.stage != Some(Stage::Prefill));
        let now = now();
        let first_end = self
            .placement()
            .first_backoff_end(&generating.collect::<Vec<_>>(), now);
        first_end.map_or(failure, |until| Failure::BackingOff {
            left: until.saturating_duration_since(now),
        })
    }
}
