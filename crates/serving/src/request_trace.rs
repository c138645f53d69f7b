//! Records the decisions taken for one request and logs them when the request ends.
//!
//! A request that was served in time is logged as a single summary line. For any other request, one
//! line for each decision is logged in order before the summary line.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::StreamPlacement;
use ponddrift_fleet::versions::SoftwareVersion;

use crate::time::now;

/// Log target of requests that were served in time. The log drops these lines first when it is
/// full.
pub const SERVED_LOG_TARGET: &str = "served";
/// Maximum decisions recorded for one request.
const MAXIMUM_STEPS: usize = 32;

/// One decision.
#[derive(Debug, Clone)]
pub enum TraceStep {
    /// A back end was chosen.
    BackEndChosen {
        /// Step that the back end was chosen for.
        purpose: &'static str,
        /// ID of the chosen back end.
        back_end: Arc<str>,
        /// Version of its software.
        software: SoftwareVersion,
        /// Expected time to the first event, in milliseconds.
        expected_ms: f64,
        /// Tokens that the back end is expected to prefill.
        tokens_to_read: f64,
        /// Requests known to be at the back end, from all daemons.
        requests_there: f64,
        /// Number of back ends that were ready.
        ready: usize,
        /// Why the stream was placed there, where back ends are compared by their profiles.
        stream: Option<StreamPlacement>,
    },
    /// A send ended.
    AttemptEnded {
        /// Step that the send was for.
        purpose: &'static str,
        /// ID of the back end.
        back_end: Arc<str>,
        /// How the send ended.
        outcome: &'static str,
        /// HTTP status, if there was an answer.
        status: Option<u16>,
        /// Duration of the send.
        took: Duration,
    },
    /// The send went through a peer, because this daemon's path to the back end is cut.
    Relayed {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// A retry was granted or denied.
    Retry {
        /// Whether the retry was granted.
        granted: bool,
        /// Why a retry was needed.
        reason: &'static str,
        /// Retries left in this daemon's budget.
        budget_left: f64,
        /// Whether the zone shares a retry pool, which was asked if the own budget was empty.
        is_pooled: bool,
    },
    /// The request waited for another request to prefill the shared prefix.
    PrefixAwaited {
        /// Duration of the wait.
        waited: Duration,
    },
    /// The request waited for its turn because all back ends limit their request rate.
    RateLimitAwaited {
        /// Duration of the wait.
        waited: Duration,
    },
    /// The request was held because all back ends that could run it were silent.
    SilenceAwaited {
        /// Duration of the wait.
        waited: Duration,
        /// Whether one of them came back in time.
        has_ended: bool,
    },
    /// A stream was resumed on another engine.
    StreamResumed {
        /// ID of the last event that the caller had received.
        after: Option<u64>,
        /// Why the stream had to be resumed.
        reason: &'static str,
    },
}

impl TraceStep {
    /// Whether this denies a retry that the step before it denied as well: a waiting request asks again
    /// and again.
    fn repeats_denial(&self, before: Option<&Self>) -> bool {
        let is_denial = |step: &Self| matches!(step, Self::Retry { granted: false, .. });
        is_denial(self) && before.is_some_and(is_denial)
    }
}

/// The decisions taken for one request.
#[derive(Debug)]
pub struct RequestTrace {
    started_at: Instant,
    steps: Vec<(Duration, TraceStep)>,
    dropped: u32,
}

impl RequestTrace {
    /// Creates a trace whose times count from `started_at`.
    #[must_use]
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            steps: Vec::new(),
            dropped: 0,
        }
    }

    /// Adds a decision.
    pub fn add(&mut self, step: TraceStep) {
        if step.repeats_denial(self.steps.last().map(|(_at, step)| step)) {
            return;
        }
        if self.steps.len() >= MAXIMUM_STEPS {
            self.dropped += 1;
            return;
        }
        let at = now().saturating_duration_since(self.started_at);
        self.steps.push((at, step));
    }

    /// IDs of the back ends that the request was sent to, in order and separated by commas.
    #[must_use]
    pub fn back_ends(&self) -> String {
        let names: Vec<&str> = self
            .steps
            .iter()
            .filter_map(|(_at, step)| match step {
                TraceStep::AttemptEnded { back_end, .. } => Some(&**back_end),
                _ => None,
            })
            .collect();
        names.join(",")
    }

    /// Logs one line for each decision.
    pub fn write(&self, request: &str) {
        for (at, step) in &self.steps {
            write_step(request, milliseconds(*at), step);
        }
        if self.dropped > 0 {
            tracing::info!(request, decisions = self.dropped, "decisions_not_kept");
        }
    }
}

fn write_step(request: &str, at_ms: f64, step: &TraceStep) {
    match step {
        TraceStep::BackEndChosen {
            purpose,
            back_end,
            software,
            expected_ms,
            tokens_to_read,
            requests_there,
            ready,
            stream,
        } => {
            let stream = stream.as_ref();
            let fastest = stream.and_then(|stream| stream.fastest.as_ref());
            tracing::info!(
                request,
                at_ms,
                purpose,
                back_end = &**back_end,
                %software,
                expected_ms = rounded(*expected_ms),
                tokens_to_read = rounded(*tokens_to_read),
                requests_there,
                ready,
                factor = stream.map(|stream| hundredths(stream.factor)),
                expected_gap_ms = stream.map(|stream| rounded(stream.gap_ms)),
                late_share = stream.map(|stream| hundredths(stream.late_share)),
                fastest = fastest.map(|fastest| &*fastest.back_end),
                fastest_gap_ms = fastest.map(|fastest| rounded(fastest.gap_ms)),
                fastest_requests = fastest.map(|fastest| fastest.requests),
                fastest_prompt_tokens = fastest.map(|fastest| rounded(fastest.prompt_tokens)),
                fastest_extra_cost_ms = fastest.map(|fastest| rounded(fastest.extra_cost_ms)),
                "placed"
            );
        }
        TraceStep::AttemptEnded {
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
        TraceStep::Relayed { peer } => {
            tracing::info!(request, at_ms, %peer, "sent_through_peer");
        }
        TraceStep::Retry {
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
        TraceStep::PrefixAwaited { waited } => {
            tracing::info!(
                request,
                at_ms,
                waited_ms = milliseconds(*waited),
                "head_awaited"
            );
        }
        TraceStep::RateLimitAwaited { waited } => {
            tracing::info!(
                request,
                at_ms,
                waited_ms = milliseconds(*waited),
                "rate_awaited"
            );
        }
        TraceStep::SilenceAwaited { waited, has_ended } => {
            tracing::info!(
                request,
                at_ms,
                waited_ms = milliseconds(*waited),
                has_ended,
                "silence_awaited"
            );
        }
        TraceStep::StreamResumed { after, reason } => {
            tracing::info!(request, at_ms, after, reason, "stream_resumed");
        }
    }
}

/// Converts to milliseconds, rounded to one decimal for logs.
#[must_use]
pub fn milliseconds(time: Duration) -> f64 {
    rounded(time.as_secs_f64() * 1000.0)
}

/// Rounds to one decimal for logs.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
