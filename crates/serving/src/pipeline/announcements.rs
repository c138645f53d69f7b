//! Processes the availability and rate limits that back ends announce in their answers.

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

/// The exchange that an announcement came with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerOrigin {
    /// Purpose of the request, for logs and metrics.
    source: &'static str,
    /// When the request was sent.
    sent: Instant,
    /// Whether the back end ran the request.
    request_ran: bool,
}

impl AnswerOrigin {
    /// An answer to a caller's request or to a prefill of its prompt.
    pub(super) const fn request(purpose: &'static str, sent: Instant, request_ran: bool) -> Self {
        Self {
            source: purpose,
            sent,
            request_ran,
        }
    }

    /// An answer to a call that the daemon made for itself, such as a health check.
    pub(crate) const fn call(source: &'static str, sent: Instant) -> Self {
        Self {
            source,
            sent,
            request_ran: false,
        }
    }
}

impl Pipeline {
    /// Records what an answer of `back_end` announces. The caller must have verified that the
    /// answer comes from this back end.
    pub(crate) fn record_announcements(
        &self,
        back_end: &Arc<BackEnd>,
        status: StatusCode,
        headers: &HeaderMap,
        origin: AnswerOrigin,
    ) {
        self.note_announced_rate(back_end, headers, origin);
        let source = origin.source;
        let announcement = self.dialect.read_announcement(status, headers);
        if announcement.drains {
            self.metrics.announcement("draining", source);
        }
        match announcement.backoff {
            RequestedBackoff::NotRequested => {}
            RequestedBackoff::For(_) => self.metrics.announcement("backoff", source),
            RequestedBackoff::Unreadable => self.metrics.announcement("backoff_unreadable", source),
        }
        let now = now();
        let update = self
            .placement()
            .announcements
            .note(back_end, announcement, now);
        let backoff_ms = match update {
            None | Some(Availability::Open) => return,
            Some(Availability::Draining) => None,
            Some(Availability::BackingOff { until }) => {
                Some(milliseconds(until.saturating_duration_since(now)))
            }
        };
        tracing::info!(
            back_end = &*back_end.id,
            incarnation = back_end.incarnation.0,
            availability = update.map(Availability::as_str),
            backoff_ms,
            source,
            directory_ready = self.state.is_ready(&back_end.id),
            "back_end_announced"
        );
    }

    /// Records the rate limit in an answer, or that the answer contains none.
    fn note_announced_rate(
        &self,
        back_end: &Arc<BackEnd>,
        headers: &HeaderMap,
        origin: AnswerOrigin,
    ) {
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
            request_ran: origin.request_ran,
        };
        let change = self.placement().rate_limits.note(back_end, answer, now());
        if let Some(change) = change {
            log_rate_change(&back_end.id, back_end.incarnation.0, change, origin.source);
            self.changed_rate_limits.add(Arc::clone(&back_end.id));
            self.notify_rate_change();
        }
    }

    /// The failure to report if no back end can be chosen. If the request may have run, the
    /// previous `failure` is kept.
    pub(super) fn no_candidate_failure(&self, job: &Job, failure: Failure) -> Failure {
        if !matches!(failure, Failure::NotRun(_)) {
            return failure;
        }
        let now = now();
        let generating_back_ends = self.generating_back_ends(job);
        let earliest_available = self
            .placement()
            .earliest_available(&generating_back_ends, now);
        let Some(earliest_available) = earliest_available else {
            return failure;
        };
        // Requests that already wait are served first.
        let turn = self.expected_rate_wait(job).unwrap_or_default();
        Failure::BackingOff {
            remaining: turn.max(earliest_available.saturating_duration_since(now)),
        }
    }
}
