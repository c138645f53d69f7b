//! Takes up what back ends announce of themselves in answers.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};
use ponddrift_fleet::announcements::{Availability, Rest};
use ponddrift_fleet::directory::BackEnd;

use super::Pipeline;
use super::attempt::purpose;
use super::job::Job;
use crate::dialect::SendStep;
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
        if announcement.leaves {
            self.metrics.announcement("leaving", source);
        }
        match announcement.rest {
            Rest::Unasked => {}
            Rest::For(_) => self.metrics.announcement("rest", source),
            Rest::Unreadable => self.metrics.announcement("rest_unreadable", source),
        }
        let now = now();
        let news = self
            .placement()
            .announcements
            .note(back_end, announcement, now);
        let rest_ms = match news {
            None | Some(Availability::Open) => return,
            Some(Availability::Leaving) => None,
            Some(Availability::Resting { until }) => {
                Some(milliseconds(until.saturating_duration_since(now)))
            }
        };
        tracing::info!(
            back_end = &*back_end.id,
            incarnation = back_end.incarnation.0,
            availability = news.map(Availability::as_str),
            rest_ms,
            source,
            directory_ready = self.state.is_ready(&back_end.id),
            "back_end_announced"
        );
    }

    /// Logs a send to a back end that has announced that it takes nothing, with how many others the request could go to.
    pub(super) fn tell_of_unavailable(
        &self,
        job: &Job,
        back_end: &Arc<BackEnd>,
        step: SendStep<'_>,
    ) {
        let availability = self.placement().announcements.availability(back_end, now());
        if availability == Availability::Open {
            return;
        }
        let candidates = self.candidates(job).back_ends;
        let placement = self.placement();
        let others = candidates
            .iter()
            .filter(|other| other.stage == back_end.stage && placement.is_well(other, now()))
            .filter(|other| {
                placement.announcements.availability(other, now()) == Availability::Open
            })
            .count();
        drop(placement);
        tracing::warn!(
            request = &*job.id,
            back_end = &*back_end.id,
            purpose = purpose(step),
            availability = availability.as_str(),
            others,
            directory_ready = self.state.is_ready(&back_end.id),
            "sent_to_unavailable"
        );
    }
}
