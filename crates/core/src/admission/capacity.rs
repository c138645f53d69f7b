//! Adaptive limit on the number of requests in flight to back ends.

use std::time::Duration;

use super::settings::AdmissionSettings;
use crate::Timestamp;

/// Fraction of the limit that must be in use before the limit grows.
const MIN_UTILIZATION_TO_GROW: f64 = 0.8;

/// Concurrency limiter with additive increase and multiplicative decrease (AIMD), driven by the
/// queue wait observed at back ends. The limit never exceeds a multiple of the reported capacity.
#[derive(Debug, Clone)]
pub struct CapacityLimiter {
    settings: AdmissionSettings,
    limit: f64,
    capacity: Option<f64>,
    interval: Option<WaitInterval>,
}

/// Shortest queue wait in an interval. It distinguishes a standing queue from a short burst, as in
/// CoDel (RFC 8289).
#[derive(Debug, Clone, Copy)]
struct WaitInterval {
    since: Timestamp,
    shortest: Duration,
}

impl CapacityLimiter {
    /// Creates a limiter at [`AdmissionSettings::initial_in_flight`].
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            limit: settings.initial_in_flight,
            settings,
            capacity: None,
            interval: None,
        }
    }

    /// Maximum number of requests in flight.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    /// Sets the capacity reported by load digests. The first call also resets the limit to `slots`.
    pub fn set_capacity(&mut self, slots: u32) {
        let slots = f64::from(slots);
        if self.capacity.is_none() {
            self.limit = slots;
        }
        self.capacity = Some(slots);
        self.clamp_limit();
    }

    /// Adjusts the limit after a request waited `wait` in its back end's queue.
    pub fn observe_wait(&mut self, now: Timestamp, wait: Duration, in_flight: usize) {
        let is_near_limit = in_flight as f64 >= self.limit.floor() * MIN_UTILIZATION_TO_GROW;
        if wait <= self.settings.wait_target && is_near_limit {
            self.limit += 1.0 / self.limit;
        }
        self.update_interval(now, wait);
        self.clamp_limit();
    }

    /// Lowers the limit at the end of an interval in which every wait exceeded the target.
    fn update_interval(&mut self, now: Timestamp, wait: Duration) {
        let interval = self.interval.get_or_insert(WaitInterval {
            since: now,
            shortest: wait,
        });
        interval.shortest = interval.shortest.min(wait);
        if now.since(interval.since) < self.settings.decrease_interval {
            return;
        }
        if interval.shortest > self.settings.wait_target {
            self.limit *= self.settings.decrease_factor;
        }
        *interval = WaitInterval {
            since: now,
            shortest: Duration::MAX,
        };
    }

    fn clamp_limit(&mut self) {
        let multiple = self.settings.max_capacity_multiple;
        let largest = self.capacity.map_or(f64::MAX, |slots| slots * multiple);
        let smallest = self.settings.min_in_flight;
        self.limit = self.limit.clamp(smallest, largest.max(smallest));
    }
}
