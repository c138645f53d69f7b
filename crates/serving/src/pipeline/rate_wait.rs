//! Queues requests while all back ends limit their request rate.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::NextRateToken;
use tokio::sync::Semaphore;

use super::Pipeline;
use super::job::Job;
use crate::request_trace::TraceStep;
use crate::time::{self, now};

/// Maximum share of the latency target that a request may wait in the queue; the rest is for its
/// run.
const MAX_RATE_WAIT_SHARE: f64 = 0.5;

/// Maximum waits of one request. A request that keeps losing its token to others is refused then.
const MAX_RATE_WAITS: u32 = 8;

/// Waiting requests of each service, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct RateQueues {
    by_service: Mutex<HashMap<Arc<str>, Arc<RateQueue>>>,
}

#[derive(Debug)]
struct RateQueue {
    /// Held by the request whose turn it is; fair, so that requests proceed in order.
    turn: Semaphore,
    waiting: AtomicU32,
}

impl RateQueues {
    fn of(&self, service: &Arc<str>) -> Arc<RateQueue> {
        let mut queues = self.lock();
        let queue = queues.entry(Arc::clone(service)).or_insert_with(|| {
            Arc::new(RateQueue {
                turn: Semaphore::new(1),
                waiting: AtomicU32::new(0),
            })
        });
        Arc::clone(queue)
    }

    /// Removes services without waiting requests.
    pub(super) fn tidy(&self) {
        self.lock()
            .retain(|_service, queue| Arc::strong_count(queue) > 1);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<RateQueue>>> {
        self.by_service
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Counts a request while it waits.
struct WaitingGuard(Arc<RateQueue>);

impl WaitingGuard {
    fn begin(queue: Arc<RateQueue>) -> Self {
        queue.waiting.fetch_add(1, Ordering::Relaxed);
        Self(queue)
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pipeline {
    /// Waits for the request's turn, if all suitable back ends limit their request rate and the
    /// turn comes early enough for the latency target. Returns `false` at once if the turn comes
    /// too late, or if no back end can be chosen for another reason.
    pub(super) async fn await_rate(&self, job: &mut Job) -> bool {
        let Some(opening) = self.next_rate_token(job) else {
            return false;
        };
        if job.rate_waits >= MAX_RATE_WAITS {
            return false;
        }
        job.rate_waits += 1;
        let wait_deadline = job.arrived + job.route.target_latency.mul_f64(MAX_RATE_WAIT_SHARE);
        let queue = self.rate_queues.of(&job.service.name);
        let ahead = queue.waiting.load(Ordering::Relaxed);
        if opening.turn_after(ahead) > wait_deadline.min(job.deadline) {
            return false;
        }
        let started_at = now();
        let waiting = WaitingGuard::begin(queue);
        let turn = time::timeout_at(wait_deadline, waiting.0.turn.acquire()).await;
        if turn.is_some() {
            self.await_opening(job, wait_deadline).await;
        }
        job.trace.add(TraceStep::RateLimitAwaited {
            waited: now().saturating_duration_since(started_at),
        });
        turn.is_some() && now() <= wait_deadline
    }

    /// Waits until a token is available, at most until `wait_deadline`.
    async fn await_opening(&self, job: &Job, wait_deadline: Instant) {
        loop {
            let changed = self.rates_changed.notified();
            let Some(opening) = self.next_rate_token(job) else {
                return;
            };
            if opening.at <= now() || now() >= wait_deadline {
                return;
            }
            // After a change as after the timeout, the condition is checked again.
            time::timeout_at(opening.at.min(wait_deadline), changed).await;
        }
    }

    /// When the next token of a suitable back end becomes available; `None` if anything but rate
    /// limits prevents the request from being sent.
    fn next_rate_token(&self, job: &Job) -> Option<NextRateToken> {
        let back_ends = self.generating_back_ends(job);
        self.placement()
            .next_rate_token(&back_ends, &job.tried, now())
    }

    /// The candidate back ends that can generate the answer; prefill engines are left out.
    pub(super) fn generating_back_ends(&self, job: &Job) -> Vec<Arc<BackEnd>> {
        let candidates = self.candidates(job).back_ends;
        let generating_back_ends = candidates
            .into_iter()
            .filter(|back_end| back_end.stage != Some(Stage::Prefill));
        generating_back_ends.collect()
    }

    /// How long a request that finds no token now would have to wait behind those in the queue.
    pub(super) fn expected_rate_wait(&self, job: &Job) -> Option<Duration> {
        let opening = self.next_rate_token(job)?;
        let queue = self.rate_queues.of(&job.service.name);
        let ahead = queue.waiting.load(Ordering::Relaxed);
        Some(opening.turn_after(ahead).saturating_duration_since(now()))
    }

    /// Wakes waiting requests after a rate limit changed.
    pub(crate) fn notify_rate_change(&self) {
        self.rates_changed.notify_waiters();
    }
}
