//! Records the availability and the rate limits that back ends announce in their answers, and
//! determines the failure that a caller receives while all suitable back ends are unavailable
//! because of them.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderMap, StatusCode};
use ponddrift_fleet::announcements::{Availability, RequestedBackoff};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::profiles::LoadAnnouncement;
use ponddrift_fleet::rate_limits::{AnnouncedRate, RateAnswer};

use super::Pipeline;
use super::answers::Failure;
use super::job::Job;
use crate::peers::log_rate_change;
use crate::request_trace::milliseconds;
use crate::time::now;

/// The request whose answer contained an announcement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerOrigin {
    /// Purpose of the request, for the field and label `source` of logs and metrics.
    purpose: &'static str,
    /// When the request was sent.
    sent: Instant,
    /// Whether the back end ran a caller's request. Only then does an answer without a rate limit
    /// mean that there is none: refusals and the daemon's own calls may omit a limit that applies.
    request_ran: bool,
}

impl AnswerOrigin {
    /// An answer to a caller's request or to a prefill of its prompt.
    pub(super) const fn request(step_name: &'static str, sent: Instant, request_ran: bool) -> Self {
        Self {
            purpose: step_name,
            sent,
            request_ran,
        }
    }

    /// An answer to a call that the daemon made for itself, such as a health check.
    pub(crate) const fn call(purpose: &'static str, sent: Instant) -> Self {
        Self {
            purpose,
            sent,
            request_ran: false,
        }
    }
}

impl Pipeline {
    /// Records the availability and the rate limit that an answer of `back_end` announces. The
    /// caller must have verified that the answer comes from this back end.
    pub(crate) fn record_announcements(
        &self,
        back_end: &Arc<BackEnd>,
        status: StatusCode,
        headers: &HeaderMap,
        origin: AnswerOrigin,
    ) {
        self.record_announced_rate(back_end, headers, origin);
        self.record_reported_load(back_end, headers, origin.purpose);
        let source = origin.purpose;
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
        // `None` if the kind of availability has not changed. An announcement never makes a back
        // end available, so `Open` is not expected here.
        let changed_availability = self
            .placement()
            .announcements
            .note(back_end, announcement, now);
        let backoff_ms = match changed_availability {
            None | Some(Availability::Open) => return,
            Some(Availability::Draining) => None,
            Some(Availability::BackingOff { until }) => {
                Some(milliseconds(until.saturating_duration_since(now)))
            }
        };
        tracing::info!(
            back_end = &*back_end.id,
            incarnation = back_end.incarnation.0,
            availability = changed_availability.map(Availability::as_str),
            backoff_ms,
            source,
            directory_ready = self.state.is_ready(&back_end.id),
            "back_end_announced"
        );
    }

    /// Records the rate limit in an answer, or that the answer contains none. A change of the limit
    /// is logged, queued for publication to the peers, and wakes the requests that wait for the
    /// limit.
    fn record_announced_rate(
        &self,
        back_end: &Arc<BackEnd>,
        headers: &HeaderMap,
        origin: AnswerOrigin,
    ) {
        let rate = self.dialect.read_rate(headers);
        match rate {
            AnnouncedRate::Unlimited => {}
            AnnouncedRate::Limited(_) => self.metrics.announcement("rate_limit", origin.purpose),
            AnnouncedRate::Unreadable => {
                self.metrics
                    .announcement("rate_limit_unreadable", origin.purpose);
            }
        }
        let answer = RateAnswer {
            rate,
            sent: origin.sent,
            request_ran: origin.request_ran,
        };
        let change = self.placement().rate_limits.note(back_end, answer, now());
        if let Some(change) = change {
            log_rate_change(&back_end.id, back_end.incarnation.0, change, origin.purpose);
            self.changed_rate_limits.add(Arc::clone(&back_end.id));
            self.notify_rate_change();
        }
    }

    /// Records the present load that a back end reports, while profiles are kept.
    fn record_reported_load(&self, back_end: &BackEnd, headers: &HeaderMap, source: &'static str) {
        match self.dialect.read_load(headers) {
            LoadAnnouncement::None => {}
            LoadAnnouncement::Unreadable => self.metrics.announcement("load_unreadable", source),
            LoadAnnouncement::Reported(load) => {
                let profiles = &mut self.placement().profiles;
                profiles.note_present_load(back_end, load, now());
            }
        }
    }

    /// Failure to report if no back end can be chosen. Returns [`Failure::BackingOff`] if the
    /// request has certainly not run and, of the candidates that can generate the answer (all but
    /// prefill engines), none accepts requests now and at least one will later. Otherwise returns
    /// `previous`.
    pub(super) fn no_candidate_failure(&self, job: &Job, previous: Failure) -> Failure {
        if !matches!(previous, Failure::NotRun(_)) {
            return previous;
        }
        let now = now();
        let generating_back_ends = self.generating_back_ends(job);
        let earliest_available = self
            .placement()
            .earliest_available(&generating_back_ends, now);
        let Some(earliest_available) = earliest_available else {
            return previous;
        };
        // Requests that already wait for the rate limit are sent first, so a retry earlier than
        // `queue_wait` would find no token.
        let queue_wait = self.expected_rate_wait(job).unwrap_or_default();
        Failure::BackingOff {
            remaining: queue_wait.max(earliest_available.saturating_duration_since(now)),
        }
    }
}
