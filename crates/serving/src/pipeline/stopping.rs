//! A planned stop as requests see it: until when they are accepted, which of them can still end, and
//! what they are answered if they cannot.

use std::future::Future;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use ponddrift_fleet::configuration::RequestKind;
use tokio_util::sync::CancellationToken;

use super::Pipeline;
use super::answers::Failure;
use super::attempt::PREFILL;
use super::job::Job;
use crate::request_trace::milliseconds;
use crate::time::now;

/// Progress of a planned stop.
#[derive(Default)]
pub(super) struct StopProgress {
    is_stopping: AtomicBool,
    /// When requests in progress are answered at the latest.
    ends_at: OnceLock<Instant>,
    refuses_requests: CancellationToken,
    ended: CancellationToken,
}

impl Pipeline {
    /// Starts a planned stop that ends at `ends_at`: from now on, answers tell callers to close their
    /// connections, and requests that cannot end by then are refused.
    pub fn begin_stop(&self, ends_at: Instant) {
        self.stop.ends_at.get_or_init(|| ends_at);
        self.stop.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Refuses requests that are not completely read yet, because they could not finish before the
    /// daemon exits.
    pub fn refuse_new_requests(&self) {
        self.stop.refuses_requests.cancel();
    }

    /// Answers all requests in progress now: the daemon is about to exit.
    pub fn end_requests(&self) {
        self.stop.ended.cancel();
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.is_stopping.load(Ordering::Relaxed)
    }

    /// Whether requests are refused as soon as their head is read.
    pub(super) fn refuses_requests(&self) -> bool {
        self.stop.refuses_requests.is_cancelled()
    }

    /// Fails once requests that are not completely read are refused.
    pub(super) async fn unless_refusing<T>(
        &self,
        reading: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        tokio::select! {
            biased;
            () = self.stop.refuses_requests.cancelled() => Err(Failure::Stopping),
            read = reading => read,
        }
    }

    /// Completes with `None` if the stop ends before `serving` does.
    pub(super) async fn until_stop_ends<T>(&self, serving: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            served = serving => Some(served),
            () = self.stop.ended.cancelled() => None,
        }
    }

    /// What a request is answered whose serving was abandoned because the stop ended.
    pub(super) fn stop_failure(&self, job: &Job) -> Failure {
        let run_is_open = job
            .open_send
            .as_ref()
            .is_some_and(|send| send.purpose != PREFILL);
        if job.runs == 0 && !run_is_open {
            Failure::Stopping
        } else {
            Failure::MayHaveRun("the daemon stopped before the back end had answered")
        }
    }

    /// Fails if the request has not run, and the daemon stops before a run that begins now is likely
    /// to have ended.
    pub(super) fn may_end_before_stop(&self, job: &Job) -> Result<(), Failure> {
        let Some(ends_at) = self.stop.ends_at.get().filter(|_| job.runs == 0) else {
            return Ok(());
        };
        let left_ms = milliseconds(ends_at.saturating_duration_since(now()));
        let expected_ms = self.expected_run_ms(job);
        if expected_ms <= left_ms {
            return Ok(());
        }
        tracing::info!(
            request = &*job.id,
            expected_ms,
            left_ms,
            "not_sent_before_stop"
        );
        Err(self.stop_failure(job))
    }

    /// Time that requests of this kind are known to take at the fastest back end of their service; a
    /// default before the first answer.
    fn expected_run_ms(&self, job: &Job) -> f64 {
        let placement = self.placement();
        match job.route.kind {
            RequestKind::Stream { .. } => placement.streams.average_ms(&job.service.name),
            RequestKind::Safe | RequestKind::Unsafe => {
                let back_ends = self.state.back_ends();
                let of_service = back_ends
                    .iter()
                    .filter(|back_end| back_end.service == job.service.name);
                let times =
                    of_service.filter_map(|back_end| placement.speed.plain_ms(&back_end.id));
                let shortest = times.reduce(f64::min);
                shortest.unwrap_or_else(|| milliseconds(job.route.target_latency))
            }
        }
    }
}
