//! Models this daemon's network link, which may saturate before the engines do.

use std::time::Instant;

use super::MS_PER_S;

const KILOBITS_PER_MEGABIT: f64 = 1000.0;
const BITS_PER_BYTE: f64 = 8.0;
/// Estimated size of the request headers and framing.
const REQUEST_OVERHEAD_BYTES: f64 = 700.0;

/// Estimated send queue of the link.
#[derive(Debug, Default)]
pub struct LocalLink {
    bytes_per_ms: Option<f64>,
    queued_bytes: f64,
    at: Option<Instant>,
}

impl LocalLink {
    /// Sets the link speed; 0 means unknown, in which case the link is assumed to cause no delay.
    pub fn set_megabits(&mut self, megabits: u32) {
        let bytes_per_ms = f64::from(megabits) * KILOBITS_PER_MEGABIT / BITS_PER_BYTE;
        self.bytes_per_ms = (megabits > 0).then_some(bytes_per_ms);
    }

    /// Records a request that is being sent.
    pub fn record_send(&mut self, body_bytes: usize, now: Instant) {
        self.update_queue(now);
        self.queued_bytes += bytes_on_wire(body_bytes);
    }

    /// Time until a request sent now starts to leave, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, now: Instant) -> f64 {
        self.bytes_per_ms
            .map_or(0.0, |rate| self.remaining_bytes(now) / rate)
    }

    /// Transmission time of a request with a body of this size, in milliseconds.
    #[must_use]
    pub fn transmit_ms(&self, body_bytes: usize) -> f64 {
        self.bytes_per_ms
            .map_or(0.0, |rate| bytes_on_wire(body_bytes) / rate)
    }

    fn update_queue(&mut self, now: Instant) {
        self.queued_bytes = self.remaining_bytes(now);
        self.at = Some(now);
    }

    fn remaining_bytes(&self, now: Instant) -> f64 {
        let (Some(rate), Some(at)) = (self.bytes_per_ms, self.at) else {
            return self.queued_bytes;
        };
        let elapsed_ms = now.saturating_duration_since(at).as_secs_f64() * MS_PER_S;
        (self.queued_bytes - elapsed_ms * rate).max(0.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "bodies of some megabytes")]
fn bytes_on_wire(body_bytes: usize) -> f64 {
    body_bytes as f64 + REQUEST_OVERHEAD_BYTES
}
