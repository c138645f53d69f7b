//! Limits on the connections of callers.
//!
//! Closes new connections unread while they come to this daemon rather than to its peers and it
//! can't serve more than it has read.
//!
//! Callers whose connection is closed unread know that their request has not run, and retry at
//! another daemon.

use std::time::Duration;

use ponddrift_fleet::configuration::CallerLimits;
use ponddrift_http::{CloseReason, ConnectionTimeouts};

use super::Pipeline;
use crate::request_trace::milliseconds;
use crate::time::now;

/// Share of the requests in progress that connections may fill; the rest is for the next requests on
/// open ones.
const NEW_CONNECTIONS_SHARE: f64 = 0.9;
/// A task that waits so long for its turn shows that the processor is saturated.
const SATURATION_LAG: Duration = Duration::from_millis(50);

/// Time that callers' connections have beyond the limits of the configuration.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Connections closed further apart than this belong to different surges.
const SURGE_PAUSE: Duration = Duration::from_secs(2);

impl Pipeline {
    /// Whether a new connection is served. Load that all daemons have alike does not close any,
    /// because no other daemon would have room.
    pub(super) fn admits_connection(&self, lag: Duration) -> bool {
        let reason = if self.is_nearly_full() {
            "requests_in_progress"
        } else if lag >= SATURATION_LAG {
            "processor"
        } else {
            return true;
        };
        if !self.placement().load.exceeds_peers() {
            return true;
        }
        self.metrics.connection_closed_unread(reason);
        self.log_surge(reason, lag);
        false
    }

    /// Time limits of callers' connections: those of the configuration, with a margin for callers that
    /// keep exactly within them.
    pub(super) fn connection_timeouts(&self) -> ConnectionTimeouts {
        let limits = self
            .state
            .in_force()
            .map_or_else(CallerLimits::default, |in_force| {
                in_force.configuration.limits.clone()
            });
        ConnectionTimeouts {
            head: limits.head_timeout.saturating_add(TIMEOUT_MARGIN),
            idle: limits.idle_timeout.saturating_add(TIMEOUT_MARGIN),
        }
    }

    /// Counts a connection that was closed, and logs the first one of a series with the same reason.
    pub(super) fn connection_closed(&self, reason: CloseReason) {
        self.metrics.connection_closed(reason.as_str());
        let mut last = self
            .last_closed
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let before = last.insert(reason, now());
        drop(last);
        let is_new = before.is_none_or(|at| now().saturating_duration_since(at) >= SURGE_PAUSE);
        if is_new && reason != CloseReason::IdleTimeout {
            tracing::warn!(
                reason = reason.as_str(),
                in_progress = self.in_progress(),
                held_bytes = self.memory.used(),
                "connections_closed"
            );
        }
    }

    /// Logs the first connection that is closed in a surge.
    fn log_surge(&self, reason: &'static str, lag: Duration) {
        let mut last = self
            .last_closed_unread
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let is_new = last.is_none_or(|last| now().saturating_duration_since(last) >= SURGE_PAUSE);
        *last = Some(now());
        drop(last);
        if is_new {
            tracing::warn!(
                reason,
                lag_ms = milliseconds(lag),
                in_progress = self.in_progress(),
                "connections_closed_unread"
            );
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "at most some thousand requests in progress"
    )]
    fn is_nearly_full(&self) -> bool {
        self.in_progress() as f64 >= self.bounds.requests as f64 * NEW_CONNECTIONS_SHARE
    }
}
