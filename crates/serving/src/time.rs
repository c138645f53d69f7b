//! Time that counts suspension, for all decisions.
//!
//! A machine may be suspended for seconds. Its steady clock, on which timers run, stands meanwhile; leases, callers'
//! deadlines and the ages of what is known do not. Decisions therefore take the time from [`now`]. A timer that was set before
//! a suspension would end late by its length, so waits go by [`sleep_until`] and [`timeout_at`], which are looked at anew
//! once a suspension is noticed.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// A smaller difference between the clocks is the time between reading them.
const LEAST_SUSPENSION: Duration = Duration::from_millis(50);

/// Both clocks at one moment.
struct Base {
    steady: Instant,
    counting: Duration,
}

static SYSTEM_CLOCK: OnceLock<Base> = OnceLock::new();

thread_local! {
    /// Suspension that a test adds to tokio's clock.
    static SIMULATED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// Suspension of the machine that has been noticed.
    static NOTICED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// Wakes all waits of this thread, which runs all of a daemon, when a suspension is noticed.
    static SUSPENDED: Arc<Notify> = Arc::default();
}

/// From now on [`now`] is the system's clock that counts suspension (`CLOCK_BOOTTIME`); before, and in simulations, it is
/// tokio's clock.
pub fn use_system_clock() {
    SYSTEM_CLOCK.get_or_init(|| Base {
        steady: steady(),
        counting: counting(),
    });
}

/// Makes it appear on this thread that the machine was suspended so long. For tests of simulated platforms.
pub fn simulate_suspension(time: Duration) {
    SIMULATED.set(SIMULATED.get() + time);
}

/// The time for decisions. Counts suspension, and never goes back.
#[must_use]
pub fn now() -> Instant {
    match SYSTEM_CLOCK.get() {
        Some(base) => base.steady + counting().saturating_sub(base.counting),
        None => steady() + SIMULATED.get(),
    }
}

/// Compares the clocks. Where the machine was suspended since the last look, this is logged and everything that waits is
/// looked at anew.
pub fn detect_suspension() {
    let suspended = now().saturating_duration_since(steady());
    let since_last_look = suspended.saturating_sub(NOTICED.get());
    if since_last_look < LEAST_SUSPENSION {
        return;
    }
    NOTICED.set(suspended);
    let suspended_ms = u64::try_from(since_last_look.as_millis()).unwrap_or(u64::MAX);
    tracing::warn!(suspended_ms, "machine_was_suspended");
    SUSPENDED.with(|suspended| suspended.notify_waiters());
}

/// Waits until then.
pub async fn sleep_until(at: Instant) {
    let suspended = SUSPENDED.with(Arc::clone);
    loop {
        let mut noticed = pin!(suspended.notified());
        // Counts from here on, not from its first poll.
        noticed.as_mut().enable();
        let left = at.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            biased;
            () = &mut noticed => {}
            () = tokio::time::sleep(left) => detect_suspension(),
        }
    }
}

/// Waits so long.
pub async fn sleep(time: Duration) {
    sleep_until(now() + time).await;
}

/// Waits for a future, but not beyond `at`; none where it has not ended then.
pub async fn timeout_at<T>(at: Instant, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep_until(at) => None,
    }
}

/// The clock that stands while the machine is suspended.
#[expect(
    clippy::disallowed_methods,
    reason = "the one place that compares it with the clock that counts suspension"
)]
fn steady() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn counting() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
