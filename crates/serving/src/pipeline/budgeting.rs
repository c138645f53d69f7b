//! Whether one more send is made.

use super::Pipeline;
use super::job::Job;
use crate::request_trace::Step;

/// Most sends of one request, whatever the budget holds.
const MAXIMUM_SENDS: u32 = 4;

/// Prefill calls of one request, at most.
const MAXIMUM_PREFILLS: u32 = 2;

/// Whether a prompt may be read apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PrefillPermit {
    /// It is the first call of the request.
    Free,
    /// With a repeat from the budget.
    Repeat,
    /// It is not.
    Denied,
}

impl Pipeline {
    /// Asks for the next reading of a prompt apart. The first that an engine takes up is free; any further one counts as
    /// a repeat, whether or not the first was of use, and so does each that an engine rejects, beyond the first.
    pub(super) fn may_prefill(&self, job: &mut Job) -> PrefillPermit {
        if job.prefills >= MAXIMUM_PREFILLS || job.arrivals >= MAXIMUM_SENDS {
            return PrefillPermit::Denied;
        }
        if job.prefills == 0 && job.arrivals == 0 {
            return PrefillPermit::Free;
        }
        if self.take_repeat(job, "prompt_read_again") {
            PrefillPermit::Repeat
        } else {
            PrefillPermit::Denied
        }
    }

    /// A reading apart ended: where the repeat that was taken for it does not count after all, it is given back.
    pub(super) fn settle_prefill(
        &self,
        job: &Job,
        permit: PrefillPermit,
        was_first_taken_up: bool,
    ) {
        if permit == PrefillPermit::Repeat && was_first_taken_up {
            self.budget().give_back(&job.service.name);
        }
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
        job.trace.add(Step::Repeat {
            granted,
            reason,
            budget_left,
        });
        granted
    }
}
