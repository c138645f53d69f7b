//! Settings of admission control.

use std::time::Duration;

/// Queue wait target used by daemons: the time within which 95 % of first tokens are due.
pub const DAEMON_WAIT_TARGET: Duration = Duration::from_millis(910);

/// Settings of an [`super::Admission`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests.
    pub queue_length: usize,
    /// A queued request is refused when less than this multiple of its expected service time
    /// remains until its deadline. Service times vary, and a request that ends late wastes
    /// capacity.
    pub service_margin: f64,
    /// Length of time whose rate allowance may be used at once.
    pub burst: Duration,
    /// Initial limit on requests in flight to back ends.
    pub initial_in_flight: f64,
    /// Lower bound of the limit on requests in flight.
    pub min_in_flight: f64,
    /// Upper bound of the limit on requests in flight, as a multiple of the reported capacity.
    pub max_capacity_multiple: f64,
    /// Queue wait at back ends above which the limit decreases.
    pub wait_target: Duration,
    /// Factor applied to the limit when the wait exceeds the target.
    pub decrease_factor: f64,
    /// Minimum time between two decreases.
    pub decrease_interval: Duration,
    /// Window over which the drain rate is measured.
    pub drain_window: Duration,
    /// Lower bound of the retry time given to refused callers.
    pub min_retry_after: Duration,
    /// Upper bound of the retry time given to refused callers.
    pub max_retry_after: Duration,
    /// Age at which another daemon's demand report is ignored.
    pub demand_report_age: Duration,
    /// Time constant of the exponentially decaying demand rates.
    pub demand_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_length: 256,
            service_margin: 3.0,
            burst: Duration::from_secs(2),
            initial_in_flight: 16.0,
            min_in_flight: 1.0,
            max_capacity_multiple: 2.0,
            wait_target: Duration::from_millis(200),
            decrease_factor: 0.9,
            decrease_interval: Duration::from_millis(200),
            drain_window: Duration::from_secs(5),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(60),
            demand_report_age: Duration::from_secs(10),
            demand_time: Duration::from_secs(5),
        }
    }
}
