//! Takes up what back ends announce of themselves in answers.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderMap, StatusCode};
use ponddrift_fleet::announcements::{Availability, RequestedBackoff};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::rate_limits::{AnnouncedRate, RateAnswer};

use super::Pipeline;
use super::answers::Failure;
use super::job::Job;
use crate::peers::log_rate_change;
use crate::request_trace::milliseconds;
use crate::time::now;

/// Where an announcement comes from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerOrigin {
    /// What the request was for, for logs.
    source: &'static str,
    /// When the request was sent.
    sent: Instant,
    /// Whether it ran.
    is_of_run: bool,
}

impl AnswerOrigin {
    /// The answer to a caller's request, or to the reading of its prompt.
    pub(super) const fn request(purpose: &'static str, sent: Instant, is_of_run: bool) -> Self {
        Self {
            source: purpose,
            sent,
            is_of_run,
        }
    }

    /// The answer to a small call of this daemon's own.
    pub(crate) const fn call(source: &'static str, sent: Instant) -> Self {
        Self {
            source,
            sent,
            is_of_run: false,
        }
    }
}

impl Pipeline {
    /// Takes what an answer of `back_end` announces. The caller has made sure that this back end gave it.
    pub(crate) fn note_announcement(
        &self,
        back_end: &Arc<BackEnd>,
        status: StatusCode,
        headers: &HeaderMap,
        origin: AnswerOrigin,
    ) {
        self.note_rate(back_end, headers, origin);
        let source = origin.source;
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

    /// Takes the rate that the answer names, or that it names none.
    fn note_rate(&self, back_end: &Arc<BackEnd>, headers: &HeaderMap, origin: AnswerOrigin) {
        let rate = self.dialect.read_rate(headers);
        match rate {
            AnnouncedRate::Unlimited => {}
            AnnouncedRate::Limited(_) => self.metrics.announcement("rate_limit", origin.source),
            AnnouncedRate::Unreadable => {
                self.metrics
                    .announcement("rate_limit_unreadable", origin.source);
            }
        }
        let answer = RateAnswer {
            rate,
            sent: origin.sent,
            is_of_run: origin.is_of_run,
        };
        let change = self.placement().rate_limits.note(back_end, answer, now());
        if let Some(change) = change {
            log_rate_change(&back_end.id, back_end.incarnation.0, change, origin.source);
            self.changed_rate_limits.add(Arc::clone(&back_end.id));
            self.notify_rate_change();
        }
    }

    /// What a caller is told whose request nothing can be chosen for. `failure` is what came of it before: where it may have
    /// run, that stands.
    pub(super) fn nothing_to_choose(&self, job: &Job, failure: Failure) -> Failure {
        if !matches!(failure, Failure::NotRun(_)) {
            return failure;
        }
        let now = now();
        let generating = self.generating(job);
        let first_opening = self.placement().first_opening(&generating, now);
        let Some(first_opening) = first_opening else {
            return failure;
        };
        // Those that wait are served before it.
        let turn = self.rate_turn(job).unwrap_or_default();
        Failure::BackingOff {
            left: turn.max(first_opening.saturating_duration_since(now)),
        }
    }
}
