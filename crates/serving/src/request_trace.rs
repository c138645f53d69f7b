//! Records the decisions taken for one request and logs them when the request ends.
//!
//! A request that was served in time leaves a single summary line. Any other leaves one line for each decision, in order,
//! before its summary line.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::time::now;

/// Target of the line of a request that was served in time: where there is no room for all lines, these go first.
pub const SERVED_LOG_TARGET: &str = "served";
/// Most decisions kept of one request.
const MAXIMUM_STEPS: usize = 32;

/// One decision.
#[derive(Debug, Clone)]
pub enum Step {
    /// A back end was chosen.
    Placed {
        /// What for.
        purpose: &'static str,
        /// Which.
        back_end: Arc<str>,
        /// Expected time to the first event, in milliseconds.
        expected_ms: f64,
        /// Tokens expected to be read there.
        tokens_to_read: f64,
        /// Requests known to be there, of all daemons.
        requests_there: f64,
        /// Back ends that were ready.
        ready: usize,
    },
    /// A send ended.
    Ended {
        /// What for.
        purpose: &'static str,
        /// Where.
        back_end: Arc<str>,
        /// How.
        outcome: &'static str,
        /// Status, where there was an answer.
        status: Option<u16>,
        /// How long it took.
        took: Duration,
    },
    /// Whether another send was made, and what was left of the budget.
    Repeat {
        /// Whether.
        granted: bool,
        /// Why.
        reason: &'static str,
        /// Repeats left to this daemon.
        budget_left: f64,
        /// Whether the zone saves up retries together, so that its pool was asked.
        is_pooled: bool,
    },
    /// It waited until its prompt's head had been read for another request.
    HeadAwaited {
        /// How long.
        waited: Duration,
    },
    /// It waited for its turn, since all back ends limit the rate of requests.
    RateAwaited {
        /// How long.
        waited: Duration,
    },
    /// A stream went on elsewhere.
    Resumed {
        /// After this event.
        after: Option<u64>,
        /// Why.
        reason: &'static str,
    },
}

/// The decisions of one request.
#[derive(Debug)]
pub struct RequestTrace {
    begun: Instant,
    steps: Vec<(Duration, Step)>,
    dropped: u32,
}

impl RequestTrace {
    /// A trace that begins at `begun`.
    #[must_use]
    pub fn new(begun: Instant) -> Self {
        Self {
            begun,
            steps: Vec::new(),
            dropped: 0,
        }
    }

    /// Adds a decision.
    pub fn add(&mut self, step: Step) {
        if self.steps.len() >= MAXIMUM_STEPS {
            self.dropped += 1;
            return;
        }
        let at = now().saturating_duration_since(self.begun);
        self.steps.push((at, step));
    }

    /// The back ends that the request was sent to, in order.
    #[must_use]
    pub fn back_ends(&self) -> String {
        let names: Vec<&str> = self
            .steps
            .iter()
            .filter_map(|(_at, step)| match step {
                Step::Ended { back_end, .. } => Some(&**back_end),
                _ => None,
            })
            .collect();
        names.join(",")
    }

    /// Writes a line for each decision.
    pub fn write(&self, request: &str) {
        for (at, step) in &self.steps {
            write_step(request, milliseconds(*at), step);
        }
        if self.dropped > 0 {
            tracing::info!(request, decisions = self.dropped, "decisions_not_kept");
        }
    }
}

fn write_step(request: &str, at_ms: f64, step: &Step) {
    match step {
        Step::Placed {
            purpose,
            back_end,
            expected_ms,
            tokens_to_read,
            requests_there,
            ready,
        } => tracing::info!(
            request,
            at_ms,
            purpose,
            back_end = &**back_end,
            expected_ms = rounded(*expected_ms),
            tokens_to_read = rounded(*tokens_to_read),
            requests_there,
            ready,
            "placed"
        ),
        Step::Ended {
            purpose,
            back_end,
            outcome,
            status,
            took,
        } => tracing::info!(
            request,
            at_ms,
            purpose,
            back_end = &**back_end,
            outcome,
            status,
            took_ms = milliseconds(*took),
            "attempt_ended"
        ),
        Step::Repeat {
            granted,
            reason,
            budget_left,
            is_pooled,
        } => tracing::info!(
            request,
            at_ms,
            granted,
            reason,
            budget_left = rounded(*budget_left),
            is_pooled,
            "repeat_decided"
        ),
        Step::HeadAwaited { waited } => {
            tracing::info!(
                request,
                at_ms,
                waited_ms = milliseconds(*waited),
                "head_awaited"
            );
        }
        Step::RateAwaited { waited } => {
            tracing::info!(
                request,
                at_ms,
                waited_ms = milliseconds(*waited),
                "rate_awaited"
            );
        }
        Step::Resumed { after, reason } => {
            tracing::info!(request, at_ms, after, reason, "stream_resumed");
        }
    }
}

/// Milliseconds with one decimal, as logs show them.
#[must_use]
pub fn milliseconds(time: Duration) -> f64 {
    rounded(time.as_secs_f64() * 1000.0)
}

fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
