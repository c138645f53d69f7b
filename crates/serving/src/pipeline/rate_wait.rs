//! Requests that wait for their turn while all back ends limit the rate of requests.

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
use crate::request_trace::Step;
use crate::time::{self, now};

/// Part of its time in target that a request may wait for its turn: the rest is for its run.
const WAIT_SHARE: f64 = 0.5;

/// Turns that a request waits for, at most: one whose token others take each time is refused rather than looked at again and again.
const MOST_TURNS: u32 = 8;

/// The requests of each service that wait, in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct RateQueues {
    by_service: Mutex<HashMap<Arc<str>, Arc<RateQueue>>>,
}

#[derive(Debug)]
struct RateQueue {
    /// Whose turn it is; fair.
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

    /// Forgets services without requests that wait.
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
struct Waiting(Arc<RateQueue>);

impl Waiting {
    fn begin(queue: Arc<RateQueue>) -> Self {
        queue.waiting.fetch_add(1, Ordering::Relaxed);
        Self(queue)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pipeline {
    /// Waits for the request's turn, where all back ends that could run it limit the rate of requests and its turn comes early enough to be
    /// in time. Returns false at once where it does not, and for any other reason that none can be chosen.
    pub(super) async fn await_rate(&self, job: &mut Job) -> bool {
        let Some(opening) = self.next_rate_token(job) else {
            return false;
        };
        if job.turns >= MOST_TURNS {
            return false;
        }
        job.turns += 1;
        let last = job.arrived + job.route.target_latency.mul_f64(WAIT_SHARE);
        let queue = self.rate_queues.of(&job.service.name);
        let ahead = queue.waiting.load(Ordering::Relaxed);
        if opening.turn_after(ahead) > last.min(job.end) {
            return false;
        }
        let begun = now();
        let waiting = Waiting::begin(queue);
        let turn = time::timeout_at(last, waiting.0.turn.acquire()).await;
        if turn.is_some() {
            self.await_opening(job, last).await;
        }
        job.trace.add(Step::RateAwaited {
            waited: now().saturating_duration_since(begun),
        });
        turn.is_some() && now() <= last
    }

    /// Waits until a token is there, at most until `last`.
    async fn await_opening(&self, job: &Job, last: Instant) {
        loop {
            let changed = self.rates_changed.notified();
            let Some(opening) = self.next_rate_token(job) else {
                return;
            };
            if opening.at <= now() || now() >= last {
                return;
            }
            // Either way it is looked at anew.
            time::timeout_at(opening.at.min(last), changed).await;
        }
    }

    /// When the next token comes of those back ends that could run the request, where nothing but their rate limits is in the way.
    fn next_rate_token(&self, job: &Job) -> Option<NextRateToken> {
        let back_ends = self.generating(job);
        self.placement()
            .next_rate_token(&back_ends, &job.tried, now())
    }

    /// The back ends that could generate the answer, or give it.
    pub(super) fn generating(&self, job: &Job) -> Vec<Arc<BackEnd>> {
        let candidates = self.candidates(job).back_ends;
        let generating = candidates
            .into_iter()
            .filter(|back_end| back_end.stage != Some(Stage::Prefill));
        generating.collect()
    }

    /// How long until a caller's request that finds no token now would have its turn, with those ahead of it.
    pub(super) fn rate_turn(&self, job: &Job) -> Option<Duration> {
        let opening = self.next_rate_token(job)?;
        let queue = self.rate_queues.of(&job.service.name);
        let ahead = queue.waiting.load(Ordering::Relaxed);
        Some(opening.turn_after(ahead).saturating_duration_since(now()))
    }

    /// A rate limit is another than before: requests that wait look anew.
    pub(crate) fn rates_have_changed(&self) {
        self.rates_changed.notify_waiters();
    }
}
