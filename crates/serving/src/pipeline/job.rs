//! The state of one request in the pipeline.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri, header};
use ponddrift_fleet::configuration::{Route, Service};
use ponddrift_fleet::fingerprint::{RequestContent, RequestFingerprint};
use ponddrift_fleet::placement::{LatencyTargets, Urgency};
use ponddrift_fleet::scarcity::returns::Return;
use ponddrift_fleet::tenants::Tenant;

use super::Pipeline;
use super::guards::HeldBytes;
use crate::dialect::RequestMetadata;
use crate::request_trace::RequestTrace;
use crate::time::now;

/// Logged status of a request whose caller disconnected before any status was sent.
const CALLER_LEFT_STATUS: u16 = 0;

/// A request and the decisions taken for it.
pub(super) struct Job {
    pub(super) id: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers of the caller that are forwarded.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Accounts for the memory of the body.
    pub(super) _held_bytes: HeldBytes,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    /// Tenant of the request; `None` without a valid key on a public route, or if no tenants are
    /// configured.
    pub(super) tenant: Option<Arc<Tenant>>,
    pub(super) revision: ponddrift_fleet::revision::Revision,
    pub(super) arrived: Instant,
    /// Deadline of the request, from the caller's or the route's time limit.
    pub(super) deadline: Instant,
    pub(super) trace: RequestTrace,
    /// Sends that arrived at a back end of the service, or may have arrived.
    pub(super) delivered_sends: u32,
    /// Remote prefills that an engine started, or may have started.
    pub(super) prefill_sends: u32,
    /// Whether the request can meet its latency target, according to the latest plan.
    pub(super) urgency: Urgency,
    /// Whether the request ranks below those of other tenants, because its tenant exceeds its fair
    /// share.
    pub(super) yields: bool,
    /// Time to the first event that the first plan expected, in milliseconds.
    pub(super) expected_ms: Option<f64>,
    /// Time to the first event if the request had room at once, in milliseconds; `None` before the
    /// first plan.
    pub(super) in_time_plan_ms: Option<f64>,
    /// Whether the caller was refused before and came back at the time that it was told.
    pub(super) returned: Return,
    /// When the first event arrived.
    pub(super) first_event: Option<Instant>,
    /// Longest time between two events.
    pub(super) longest_gap: Duration,
    /// How often the request waited while all back ends limited their request rate.
    pub(super) rate_waits: u32,
    /// Back ends that ran the request, or may have run it.
    pub(super) runs: u32,
    /// Back ends that must not be tried again.
    pub(super) tried: Vec<Arc<str>>,
    /// Whether a back end did not answer in time. Later sends use new connections, because idle
    /// ones may have died silently.
    pub(super) had_timeout: bool,
    /// Identifies the request when it is sent again; computed on first use.
    pub(super) fingerprint: OnceLock<RequestFingerprint>,
    /// Whether the end of the request has been recorded.
    pub(super) is_finished: bool,
    pub(super) pipeline: Arc<Pipeline>,
}

impl Drop for Job {
    /// Records a request whose caller disconnected: its future was dropped before the end.
    fn drop(&mut self) {
        if !self.is_finished {
            let pipeline = Arc::clone(&self.pipeline);
            pipeline.finish(self, CALLER_LEFT_STATUS, "caller_left");
        }
    }
}

impl Job {
    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(now())
    }

    /// Time left until the caller gives up on a request without a first event.
    pub(super) fn first_event_time_left(&self) -> Duration {
        let waited = now().saturating_duration_since(self.arrived);
        let until_stalled = self
            .route
            .caller_stall_timeout
            .map_or(Duration::MAX, |timeout| timeout.saturating_sub(waited));
        until_stalled.min(self.time_left())
    }

    /// Priority of the request; 0 is the most urgent. A tenant's priority overrides that of the
    /// route.
    pub(super) fn priority(&self) -> u8 {
        let tenant_priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(self.route.priority)
    }

    /// Latency targets of the request.
    pub(super) fn latency_targets(&self) -> LatencyTargets {
        LatencyTargets {
            latency: self.route.target_latency,
            gap: self.route.target_gap,
        }
    }

    /// Whether another back end may run the request.
    pub(super) fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.route.kind.is_retryable() && self.runs < self.route.maximum_attempts)
    }

    /// Identifies the request when it is sent again under another request ID.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(header::HOST);
            let path = self.uri.path_and_query();
            RequestFingerprint::of(&RequestContent {
                tenant: self.tenant.as_ref().map(|tenant| &*tenant.name),
                method: self.method.as_str(),
                host: host.and_then(|host| host.to_str().ok()).unwrap_or(""),
                path: path.map_or("/", |path| path.as_str()),
                body: &self.body,
            })
        })
    }

    pub(super) fn note_tried(&mut self, id: &Arc<str>) {
        self.tried.push(Arc::clone(id));
    }
}
