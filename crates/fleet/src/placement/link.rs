//! What this daemon's own link takes: on a small machine it fills before the engines do.

use std::time::Instant;

use super::MS_PER_S;

/// Kilobits in a megabit, and bits in a byte.
const KILOBITS_IN_MEGABIT: f64 = 1000.0;
const BITS: f64 = 8.0;
/// Bytes of a request's head and of the frames around it.
const HEAD_BYTES: f64 = 700.0;

/// Bytes that wait to leave, as far as they can be counted here.
#[derive(Debug, Default)]
pub struct LocalLink {
    bytes_per_ms: Option<f64>,
    queued_bytes: f64,
    at: Option<Instant>,
}

impl LocalLink {
    /// Tells the link's speed; 0 where it is not known, and then it is taken to be free.
    pub fn set_megabits(&mut self, megabits: u32) {
        let bytes_per_ms = f64::from(megabits) * KILOBITS_IN_MEGABIT / BITS;
        self.bytes_per_ms = (megabits > 0).then_some(bytes_per_ms);
    }

    /// A request with a body of so many bytes leaves.
    pub fn record_send(&mut self, body_bytes: usize, now: Instant) {
        self.drain(now);
        self.queued_bytes += whole_bytes(body_bytes);
    }

    /// Time until what is sent now begins to leave, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, now: Instant) -> f64 {
        self.bytes_per_ms.map_or(0.0, |rate| self.left(now) / rate)
    }

    /// Time that a request with such a body takes to leave, in milliseconds.
    #[must_use]
    pub fn own_ms(&self, body_bytes: usize) -> f64 {
        self.bytes_per_ms
            .map_or(0.0, |rate| whole_bytes(body_bytes) / rate)
    }

    fn drain(&mut self, now: Instant) {
        self.queued_bytes = self.left(now);
        self.at = Some(now);
    }

    fn left(&self, now: Instant) -> f64 {
        let (Some(rate), Some(at)) = (self.bytes_per_ms, self.at) else {
            return self.queued_bytes;
        };
        let elapsed_ms = now.saturating_duration_since(at).as_secs_f64() * MS_PER_S;
        (self.queued_bytes - elapsed_ms * rate).max(0.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "bodies of some megabytes")]
fn whole_bytes(body_bytes: usize) -> f64 {
    body_bytes as f64 + HEAD_BYTES
}
