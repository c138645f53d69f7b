//! Whether one more send is made.

use super::Pipeline;
use super::job::Job;
use crate::trail::Step;

/// Most sends of one request, whatever the budget holds.
const MAXIMUM_SENDS: u32 = 4;

impl Pipeline {
    /// Asks for the next send of a request. The first is free; any further one needs a place in the budget.
    pub(super) fn may_send(&self, job: &mut Job, reason: &'static str) -> bool {
        if job.arrivals == 0 {
            return true;
        }
        let mut budget = self.budget();
        let granted = job.arrivals < MAXIMUM_SENDS && budget.take(&job.service.name);
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
