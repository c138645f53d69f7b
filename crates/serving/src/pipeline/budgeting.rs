//! Decides whether a request may be sent again, from the retry budget.

use std::sync::Arc;

use super::Pipeline;
use super::job::Job;
use crate::request_trace::TraceStep;

/// Maximum sends of one request, regardless of the budget.
const MAXIMUM_SENDS: u32 = 4;

/// Maximum remote prefills of one request.
const MAXIMUM_PREFILLS: u32 = 2;

/// A retry that was taken from the budget for a request which still waits for its back end. Returned
/// to the budget on drop, unless it was used.
pub(super) struct HeldRetry {
    pipeline: Arc<Pipeline>,
    service: Arc<str>,
    is_used: bool,
}

impl HeldRetry {
    /// Uses the retry.
    pub(super) fn spend(mut self) {
        self.is_used = true;
    }
}

impl Drop for HeldRetry {
    fn drop(&mut self) {
        if !self.is_used {
            self.pipeline.budget().give_back(&self.service);
        }
    }
}

/// Whether a prompt may be prefilled on a separate engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PrefillPermit {
    /// Allowed without a retry: the first attempt of the request.
    Free,
    /// Allowed with a retry from the budget.
    Retry,
    /// Not allowed.
    Denied,
}

impl Pipeline {
    /// Asks to prefill the prompt on a separate engine. The first prefill that an engine starts is
    /// free. Each further one takes a retry, even if the first was of no use, and so does each
    /// attempt after the first that an engine refuses.
    pub(super) async fn may_prefill(&self, job: &mut Job) -> PrefillPermit {
        if job.prefill_sends >= MAXIMUM_PREFILLS || job.delivered_sends >= MAXIMUM_SENDS {
            return PrefillPermit::Denied;
        }
        if job.prefill_sends == 0 && job.delivered_sends == 0 {
            return PrefillPermit::Free;
        }
        if self.take_retry(job, "prompt_read_again").await {
            PrefillPermit::Retry
        } else {
            PrefillPermit::Denied
        }
    }

    /// Refunds the retry that was taken for a prefill if the prefill turned out to be the first one
    /// that an engine started.
    pub(super) fn settle_prefill(&self, job: &Job, permit: PrefillPermit, is_first_prefill: bool) {
        if permit == PrefillPermit::Retry && is_first_prefill {
            self.budget().give_back(&job.service.name);
        }
    }

    /// Asks to send the request. The first send is free; each further one takes a retry from the
    /// budget.
    pub(super) async fn may_send(self: &Arc<Self>, job: &mut Job, reason: &'static str) -> bool {
        if job.delivered_sends == 0 {
            return true;
        }
        job.delivered_sends < MAXIMUM_SENDS && self.hold_retry(job, reason).await
    }

    /// Takes a retry for the next send. It is used once the send arrives at a back end.
    pub(super) async fn hold_retry(self: &Arc<Self>, job: &mut Job, reason: &'static str) -> bool {
        if job.held_retry.is_some() {
            return true;
        }
        if !self.take_retry(job, reason).await {
            return false;
        }
        job.held_retry = Some(HeldRetry {
            pipeline: Arc::clone(self),
            service: Arc::clone(&job.service.name),
            is_used: false,
        });
        true
    }

    /// Whether [`Self::may_send`] may grant another send. Takes nothing from the budget.
    pub(super) fn may_be_granted_send(&self, job: &Job) -> bool {
        job.delivered_sends == 0 || job.held_retry.is_some() || self.has_retry(job)
    }

    /// Whether the budget holds a retry for this request.
    pub(super) fn has_retry(&self, job: &Job) -> bool {
        job.delivered_sends < MAXIMUM_SENDS && self.may_have_retry(&job.service.name)
    }

    fn may_have_retry(&self, service: &str) -> bool {
        let budget = self.budget();
        let left = budget.left(service);
        let is_pooled = budget.is_pooled();
        drop(budget);
        left >= 1.0 || (is_pooled && self.pool_may_have_retry())
    }

    async fn take_retry(&self, job: &mut Job, reason: &'static str) -> bool {
        let own_retry = self.take_own_retry(&job.service.name);
        let granted = own_retry.granted
            || (own_retry.is_pooled && self.withdraw_retry(&job.service.name).await);
        self.metrics.retry(granted);
        job.trace.add(TraceStep::Retry {
            granted,
            reason,
            budget_left: own_retry.left,
            is_pooled: own_retry.is_pooled,
        });
        granted
    }

    fn take_own_retry(&self, service: &Arc<str>) -> OwnRetry {
        let mut budget = self.budget();
        OwnRetry {
            granted: budget.take(service),
            left: budget.left(service),
            is_pooled: budget.is_pooled(),
        }
    }
}

/// Result of taking a retry from this daemon's own budget.
struct OwnRetry {
    granted: bool,
    left: f64,
    is_pooled: bool,
}
