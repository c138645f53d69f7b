//! Holds requests while all back ends that could run them are silent for a short time.
//!
//! They are not sent meanwhile, because a send costs a connection attempt or a retry and finds out
//! nothing that the health checks do not. Once the silence is no short one any more, they are
//! refused at once, and the refusals bring the next health checks forward.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::ShortSilence;
use rand::RngExt;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use super::Pipeline;
use super::job::Job;
use crate::request_trace::TraceStep;
use crate::time::{self, now};

/// Average interval at which a held request looks for a back end that came back. Jitter spreads the
/// requests that are sent then.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum share of the intake that held requests may occupy, so that other services go on.
const MAX_HELD_SHARE: f64 = 0.75;
/// Minimum time between two health checks that refusals bring forward.
const MIN_ADVANCED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Health checks of silent back ends that run at a time. After the loss of many back ends at once,
/// the others wait for their turn.
const MAX_CONCURRENT_CHECKS: usize = 64;

/// Time within which a released request counts at the back end that it is sent to.
const UNCOUNTED_TIME: Duration = Duration::from_millis(100);

/// Held requests, and the health checks that refused ones ask for.
#[derive(Debug)]
pub(super) struct SilentServices {
    held: AtomicUsize,
    /// When held requests were released, as far as they may not be counted at a back end yet.
    released: Mutex<VecDeque<Instant>>,
    last_advanced_check: Mutex<Option<Instant>>,
    /// Wakes one health check of a silent back end before its time.
    check_advanced: Notify,
    check_slots: Semaphore,
}

impl Default for SilentServices {
    fn default() -> Self {
        Self {
            held: AtomicUsize::new(0),
            released: Mutex::default(),
            last_advanced_check: Mutex::default(),
            check_advanced: Notify::new(),
            check_slots: Semaphore::new(MAX_CONCURRENT_CHECKS),
        }
    }
}

/// Counts a held request.
struct HeldRequest<'a>(&'a AtomicUsize);

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SilentServices {
    /// Counts one more held request, unless there are `limit` of them.
    fn hold(&self, limit: usize) -> Option<HeldRequest<'_>> {
        let before = self.held.fetch_add(1, Ordering::Relaxed);
        let held = HeldRequest(&self.held);
        (before < limit).then_some(held)
    }

    /// Waits for the turn of a health check; the check holds it until it ends.
    pub(super) async fn check_turn(&self) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed.
        self.check_slots.acquire().await.ok()
    }

    /// Completes when a refused request brings a health check forward.
    pub(super) async fn check_advanced(&self) {
        self.check_advanced.notified().await;
    }

    /// Whether one more held request may be sent, with this many free slots. Requests that were
    /// released just before may not be counted at a back end yet.
    fn may_release(&self, free_slots: f64, now: Instant) -> bool {
        let mut released = lock(&self.released);
        while released
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= UNCOUNTED_TIME)
        {
            released.pop_front();
        }
        let uncounted = u32::try_from(released.len()).map_or(f64::INFINITY, f64::from);
        let has_room = uncounted < free_slots;
        if has_room {
            released.push_back(now);
        }
        has_room
    }

    fn advance_check(&self, now: Instant) {
        let mut last = lock(&self.last_advanced_check);
        let is_recent = last
            .is_some_and(|last| now.saturating_duration_since(last) < MIN_ADVANCED_CHECK_INTERVAL);
        if !is_recent {
            *last = Some(now);
            self.check_advanced.notify_one();
        }
    }
}

impl Pipeline {
    /// Holds the request if all back ends that could run it are silent, until one of them shows a
    /// sign of life. Returns `false` at once if the silence is not short any more, if too little
    /// time or room is left, or if no back end can be chosen for another reason.
    pub(super) async fn await_sign_of_life(&self, job: &mut Job) -> bool {
        let Some(silence) = self.silence_of(job) else {
            return false;
        };
        let until = silence.ends_by.min(latest_send(job));
        let limit = held_limit(self.bounds.requests);
        let started_at = now();
        let held = self.silent_services.hold(limit);
        let is_held = started_at < until && held.is_some();
        if !is_held {
            self.silent_services.advance_check(started_at);
            self.metrics.silence_refused();
            return false;
        }
        if was_not_sent(job) {
            job.tried.retain(|id| !silence.silent.contains(id));
        }
        let has_ended = self.await_room(job, &silence.silent, until).await;
        drop(held);
        self.metrics.silence_awaited(has_ended);
        job.trace.add(TraceStep::SilenceAwaited {
            waited: now().saturating_duration_since(started_at),
            has_ended,
        });
        has_ended
    }

    /// Waits until a back end that came back has room, at most until `until`.
    async fn await_room(&self, job: &Job, silent: &[Arc<str>], until: Instant) -> bool {
        let silences_before = self.placement().health.ended_silences();
        loop {
            let pause = POLL_INTERVAL.mul_f64(self.random().random_range(0.5..1.5));
            time::sleep_until((now() + pause).min(until)).await;
            let is_last = now() >= until;
            // Selecting candidates is costly while none is found.
            let may_have_room = self.placement().health.ended_silences() != silences_before;
            if may_have_room {
                let back_ends = self.generating_back_ends(job);
                let placement = self.placement();
                let free_slots = placement.free_slots(&back_ends, &job.tried, now());
                let silence = placement.short_silence(&back_ends, &job.tried, now());
                let all_are_back = !placement.any_silent(silent);
                drop(placement);
                let is_released =
                    all_are_back || is_last || self.silent_services.may_release(free_slots, now());
                if silence.is_none() && is_released {
                    return true;
                }
            }
            if is_last {
                return false;
            }
        }
    }

    fn silence_of(&self, job: &Job) -> Option<ShortSilence> {
        let back_ends = self.generating_back_ends(job);
        let mut silence = self
            .placement()
            .short_silence(&back_ends, &job.tried, now())?;
        if !was_not_sent(job) {
            silence.silent.retain(|id| !job.tried.contains(id));
        }
        (!silence.silent.is_empty()).then_some(silence)
    }

    /// Health checks that refused requests bring forward.
    pub(super) const fn silent_services(&self) -> &Arc<SilentServices> {
        &self.silent_services
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn was_not_sent(job: &Job) -> bool {
    job.delivered_sends == 0 && job.prefill_sends == 0
}

/// The latest time at which the request can be sent and still be served.
fn latest_send(job: &Job) -> Instant {
    let time_left = if job.first_event.is_some() {
        job.time_left()
    } else {
        job.first_event_time_left()
    };
    now() + time_left.saturating_sub(job.route.target_latency)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a share of a count"
)]
fn held_limit(requests: usize) -> usize {
    (requests as f64 * MAX_HELD_SHARE) as usize
}
