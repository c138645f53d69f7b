//! Clock and timers that include the time for which the machine was suspended.
//!
//! While a machine is suspended, its monotonic clock, on which timers run, stands still. Leases,
//! callers' deadlines and the age of information do not. Decisions therefore take the time from
//! [`now`]. A timer that was set before a suspension would fire late by the length of the
//! suspension, so [`sleep_until`] and [`timeout_at`] recompute the remaining time once a suspension
//! is detected.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// Smaller differences between the clocks are the time between the two clock reads.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Readings of both clocks, taken together.
struct ClockReadings {
    monotonic: Instant,
    boottime: Duration,
}

static SYSTEM_CLOCK: OnceLock<ClockReadings> = OnceLock::new();

thread_local! {
    /// Suspension that a test adds to tokio's clock.
    static SIMULATED_SUSPENSION: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// Total suspension of the machine detected so far.
    static DETECTED_SUSPENSION: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// Wakes all timers of this thread, which runs the whole daemon, when a suspension is detected.
    static SUSPENSION_DETECTED: Arc<Notify> = Arc::default();
}

/// Switches [`now`] to the system clock that includes suspension (`CLOCK_BOOTTIME`). Until this is
/// called, and in simulations, [`now`] uses tokio's clock.
pub fn use_system_clock() {
    SYSTEM_CLOCK.get_or_init(|| ClockReadings {
        monotonic: monotonic(),
        boottime: boottime(),
    });
}

/// Advances [`now`] on this thread as if the machine had been suspended for `time`. For tests on
/// simulated platforms.
pub fn simulate_suspension(time: Duration) {
    SIMULATED_SUSPENSION.set(SIMULATED_SUSPENSION.get() + time);
}

/// The current time for decisions. It includes suspension and never goes back.
#[must_use]
pub fn now() -> Instant {
    match SYSTEM_CLOCK.get() {
        Some(base) => base.monotonic + boottime().saturating_sub(base.boottime),
        None => monotonic() + SIMULATED_SUSPENSION.get(),
    }
}

/// Compares the clocks. If the machine was suspended since the last call, logs it and wakes all
/// timers so that they recompute their remaining time.
pub fn detect_suspension() {
    let suspended = now().saturating_duration_since(monotonic());
    let since_last_check = suspended.saturating_sub(DETECTED_SUSPENSION.get());
    if since_last_check < MIN_SUSPENSION {
        return;
    }
    DETECTED_SUSPENSION.set(suspended);
    let suspended_ms = u64::try_from(since_last_check.as_millis()).unwrap_or(u64::MAX);
    tracing::warn!(suspended_ms, "machine_was_suspended");
    SUSPENSION_DETECTED.with(|suspended| suspended.notify_waiters());
}

/// Waits until `at`, by the clock of [`now`].
pub async fn sleep_until(at: Instant) {
    let suspended = SUSPENSION_DETECTED.with(Arc::clone);
    loop {
        let mut detected = pin!(suspended.notified());
        // Registers before the clock is read, so that a suspension detected in between is not
        // missed.
        detected.as_mut().enable();
        let left = at.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            biased;
            () = &mut detected => {}
            () = tokio::time::sleep(left) => detect_suspension(),
        }
    }
}

/// Waits for `time`, by the clock of [`now`].
pub async fn sleep(time: Duration) {
    sleep_until(now() + time).await;
}

/// Waits for a future until `at`. Returns `None` if it has not completed by then.
pub async fn timeout_at<T>(at: Instant, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep_until(at) => None,
    }
}

/// The monotonic clock, which stands still while the machine is suspended.
#[expect(
    clippy::disallowed_methods,
    reason = "compared here with the clock that includes suspension"
)]
fn monotonic() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
