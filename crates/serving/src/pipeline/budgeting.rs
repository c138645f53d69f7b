//! Whether one more send is made.

use super::Pipeline;
use super::job::Job;
use crate::trail::Step;

/// Most sends of one request, whatever the budget holds.
const MAXIMUM_SENDS: u32 = 4;

/// Prefill calls of one request, at most.
const MAXIMUM_PREFILLS: u32 = 2;

impl Pipeline {
    /// Asks for the next reading of a prompt apart. The first that an engine takes up is free; any further one
    /// counts as a repeat, whether or not the first was of use.
    pub(super) fn may_prefill(&self, job: &mut Job) -> bool {
        if job.prefills == 0 {
            return true;
        }
        if job.prefills >= MAXIMUM_PREFILLS {
            return false;
        }
        self.take_repeat(job, "prompt_read_again")
    }

    /// Asks for the next send of a request. The first is free; any further one needs a place in the budget.
    pub(super) fn may_send(&self, job: &mut Job, reason: &'static str) -> bool {
        if job.arrivals == 0 {
            return true;
        }
        job.arrivals < MAXIMUM_SENDS && self.take_repeat(job, reason)
    }

    /// Whether the budget has a place for another send of this request.
    pub(super) fn has_repeat(&self, job: &Job) -> bool {
        job.arrivals < MAXIMUM_SENDS && self.budget().left(&job.service.name) >= 1.0
    }

    /// Whether a send that is given up may be followed by another: one that runs the request anew.
    pub(super) fn may_be_sent_elsewhere(&self, job: &Job) -> bool {
        job.route.kind.is_repeatable()
            && job.runs + 1 < job.route.maximum_attempts
            && self.has_repeat(job)
    }

    fn take_repeat(&self, job: &mut Job, reason: &'static str) -> bool {
        let mut budget = self.budget();
        let granted = budget.take(&job.service.name);
        let budget_left = budget.left(&job.service.name);
        drop(budget);
        self.metrics.repeat(granted);
        job.trail.add(Step::Repeat {
            granted,
            reason,
            budget_left,
        });
        granted
    }
}
