//! Selects the candidate back ends of a request.

use std::sync::Arc;

use ponddrift_fleet::directory::{BackEnd, CandidateQuery, Candidates};
use ponddrift_fleet::placement::tracked_prefix;

use super::Pipeline;
use super::job::Job;
use crate::time::now;

impl Pipeline {
    /// The candidate back ends of a request.
    pub(super) fn candidates(&self, job: &Job) -> Candidates {
        self.candidates_near(job, None)
    }

    /// The candidate back ends, with those in `zone` first.
    pub(super) fn candidates_near(&self, job: &Job, zone: Option<&str>) -> Candidates {
        let now = now();
        let prefix = job.metadata.prompt.as_ref().and_then(tracked_prefix);
        let mut placement = self.placement();
        let holders = prefix.map(|prefix| placement.prefixes.holders(prefix, now));
        let eligibility = |back_end: &BackEnd| placement.eligibility(back_end, &job.tried, now);
        let query = CandidateQuery {
            service: &job.service.name,
            zone,
            prefix,
            holders: &holders.unwrap_or_default(),
            version: &job.required_version,
            eligibility: &eligibility,
        };
        let candidates = self.state.candidates(&query, now);
        placement.set_ready_counts(&job.service.name, candidates.ready);
        candidates
    }

    /// The back ends that hold the prefix of the request's prompt, or are about to.
    pub(super) fn prefix_holders(&self, job: &Job) -> Vec<Arc<BackEnd>> {
        let prefix = job.metadata.prompt.as_ref().and_then(tracked_prefix);
        let holders = prefix.map(|prefix| self.placement().prefixes.holders(prefix, now()));
        self.state
            .ready_among(&job.service.name, &holders.unwrap_or_default())
    }
}
