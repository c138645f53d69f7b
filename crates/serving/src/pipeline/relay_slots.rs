//! Limits the connections that this daemon relays for peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;

use super::Pipeline;
use crate::time::now;

/// No further connection is relayed while bytes wait for longer than this for this daemon's network
/// link.
const MAX_LINK_WAIT_MS: f64 = 50.0;

/// Accounts for one relayed connection.
pub(crate) struct RelaySlot(Arc<Pipeline>);

impl RelaySlot {
    /// Takes a slot; `None` if there is no room.
    pub(crate) fn take(pipeline: &Arc<Pipeline>) -> Option<Self> {
        if pipeline.relay_room() == 0 {
            return None;
        }
        pipeline.relayed.fetch_add(1, Ordering::Relaxed);
        Some(Self(Arc::clone(pipeline)))
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.0.relayed.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pipeline {
    /// Whether no request is in progress and no connection is relayed. Peers close those that they
    /// don't use once they learn of a stop.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_progress() == 0 && self.relayed_connections() == 0
    }

    /// Connections that this daemon relays for peers.
    pub(crate) fn relayed_connections(&self) -> usize {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Further connections that this daemon would relay. They share the limit on requests in
    /// progress with its own requests.
    pub(crate) fn relay_room(&self) -> usize {
        if self.placement().link.wait_ms(now()) > MAX_LINK_WAIT_MS {
            return 0;
        }
        let used = self.in_progress() + self.relayed_connections();
        self.bounds.requests.saturating_sub(used)
    }

    /// A random index below `length`; 0 if that is 0.
    pub(crate) fn random_index(&self, length: usize) -> usize {
        if length == 0 {
            return 0;
        }
        self.random().random_range(0..length)
    }
}
