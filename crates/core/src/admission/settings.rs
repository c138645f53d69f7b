//! Settings of admission.

use std::time::Duration;

/// Wait target that daemons use: the time in which 95 in 100 first tokens are due. With 200 ms the experiment
/// tool saw about half of the requests refused at three quarters of the load.
pub const DAEMON_WAIT_TARGET: Duration = Duration::from_millis(910);

/// Settings of an [`super::Admission`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that may wait.
    pub queue_length: usize,
    /// A request that waits is given up when less than this multiple of its expected service time is left
    /// until its deadline: service times vary, and one that ends late has used a place for nothing.
    pub service_margin: f64,
    /// Time whose allowance a rate limit may give at once.
    pub burst: Duration,
    /// Requests in flight towards back ends at the start.
    pub initial_in_flight: f64,
    /// Fewest requests in flight that the limiter goes down to.
    pub minimum_in_flight: f64,
    /// Most requests in flight, as a multiple of the capacity that the digests show.
    pub largest_multiple_of_capacity: f64,
    /// Wait at back ends above which fewer requests are sent.
    pub wait_target: Duration,
    /// Factor on the requests in flight when the wait is above the target.
    pub decrease: f64,
    /// Time between two decreases.
    pub decrease_interval: Duration,
    /// Window of the measured drain rate.
    pub drain_window: Duration,
    /// Shortest time after which a refused caller is told to come back.
    pub shortest_retry_after: Duration,
    /// Longest one.
    pub longest_retry_after: Duration,
    /// Age at which another daemon's report of demand counts no more.
    pub demand_report_age: Duration,
    /// Time constant of the measured demand of a tenant.
    pub demand_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_length: 256,
            service_margin: 3.0,
            burst: Duration::from_secs(2),
            initial_in_flight: 16.0,
            minimum_in_flight: 1.0,
            largest_multiple_of_capacity: 2.0,
            wait_target: Duration::from_millis(200),
            decrease: 0.9,
            decrease_interval: Duration::from_millis(200),
            drain_window: Duration::from_secs(5),
            shortest_retry_after: Duration::from_secs(1),
            longest_retry_after: Duration::from_secs(60),
            demand_report_age: Duration::from_secs(10),
            demand_time: Duration::from_secs(5),
        }
    }
}
