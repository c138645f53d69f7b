//! Whether one more send is made.

use std::sync::Arc;

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
    pub(super) async fn may_prefill(&self, job: &mut Job) -> PrefillPermit {
        if job.prefills >= MAXIMUM_PREFILLS || job.arrivals >= MAXIMUM_SENDS {
            return PrefillPermit::Denied;
        }
        if job.prefills == 0 && job.arrivals == 0 {
            return PrefillPermit::Free;
        }
        if self.take_repeat(job, "prompt_read_again").await {
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
    pub(super) async fn may_send(&self, job: &mut Job, reason: &'static str) -> bool {
        if job.arrivals == 0 {
            return true;
        }
        job.arrivals < MAXIMUM_SENDS && self.take_repeat(job, reason).await
    }

    /// Whether the budget has a place for another send of this request.
    pub(super) fn has_repeat(&self, job: &Job) -> bool {
        job.arrivals < MAXIMUM_SENDS && self.may_have_repeat(&job.service.name)
    }

    /// Whether a send that is given up may be followed by another: one that runs the request anew.
    pub(super) fn may_be_sent_elsewhere(&self, job: &Job) -> bool {
        job.route.kind.is_retryable()
            && job.runs + 1 < job.route.maximum_attempts
            && self.has_repeat(job)
    }

    fn may_have_repeat(&self, service: &str) -> bool {
        let budget = self.budget();
        let left = budget.left(service);
        let is_pooled = budget.is_pooled();
        drop(budget);
        left >= 1.0 || (is_pooled && self.pool_may_have_one())
    }

    async fn take_repeat(&self, job: &mut Job, reason: &'static str) -> bool {
        let own = self.take_own_repeat(&job.service.name);
        let granted =
            own.granted || (own.is_pooled && self.withdraw_retry(&job.service.name).await);
        self.metrics.repeat(granted);
        job.trace.add(Step::Repeat {
            granted,
            reason,
            budget_left: own.left,
            is_pooled: own.is_pooled,
        });
        granted
    }

    fn take_own_repeat(&self, service: &Arc<str>) -> OwnRepeat {
        let mut budget = self.budget();
        OwnRepeat {
            granted: budget.take(service),
            left: budget.left(service),
            is_pooled: budget.is_pooled(),
        }
    }
}

/// What this daemon's own savings brought.
struct OwnRepeat {
    granted: bool,
    left: f64,
    is_pooled: bool,
}
