//! One request in the pipeline.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri, header};
use ponddrift_fleet::configuration::{Route, Service};
use ponddrift_fleet::fingerprint::{RequestContent, RequestFingerprint};
use ponddrift_fleet::placement::{Aims, Urgency};
use ponddrift_fleet::tenants::Tenant;

use super::Pipeline;
use super::guards::HeldBytes;
use crate::dialect::RequestMetadata;
use crate::request_trace::RequestTrace;
use crate::time::now;

/// Status in the log of a request whose caller left; none was sent.
const CALLER_LEFT_STATUS: u16 = 0;

/// One request with all that was decided of it.
pub(super) struct Job {
    pub(super) id: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers of the caller that are passed on.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Counts the body while it is held.
    pub(super) _held_bytes: HeldBytes,
    pub(super) facts: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    /// Whose request it is; none on routes that need no key.
    pub(super) tenant: Option<Arc<Tenant>>,
    pub(super) revision: ponddrift_fleet::revision::Revision,
    pub(super) arrived: Instant,
    /// When the caller, or the route's time limit, ends it.
    pub(super) end: Instant,
    pub(super) trace: RequestTrace,
    /// Sends that arrived, or may have, at a back end of the service.
    pub(super) arrivals: u32,
    /// Readings of the prompt apart that an engine took up, or may have.
    pub(super) prefills: u32,
    /// Whether it can be answered in its time in target, as far as the last plan tells.
    pub(super) urgency: Urgency,
    /// Whether it stands behind other tenants' requests, since its own tenant asks for more than its fair share.
    pub(super) yields: bool,
    /// Time to the first event that the first plan expected, in milliseconds.
    pub(super) expected_ms: Option<f64>,
    /// When the first event came.
    pub(super) first_event: Option<Instant>,
    /// Longest pause between two events.
    pub(super) longest_gap: Duration,
    /// Turns that it waited for while all back ends limited the rate of requests.
    pub(super) turns: u32,
    /// Back ends that ran the request, or may have.
    pub(super) runs: u32,
    /// Back ends that are not tried again.
    pub(super) tried: Vec<Arc<str>>,
    /// Whether a back end left an answer out, maybe since the connection is silent.
    pub(super) met_silence: bool,
    /// Recognizes the request when it comes again; worked out when it is first needed.
    pub(super) fingerprint: OnceLock<RequestFingerprint>,
    /// Whether its end has been told.
    pub(super) is_closed: bool,
    pub(super) pipeline: Arc<Pipeline>,
}

impl Drop for Job {
    /// The caller went away before the end: the future that held the request was dropped.
    fn drop(&mut self) {
        if !self.is_closed {
            let pipeline = Arc::clone(&self.pipeline);
            pipeline.close(self, CALLER_LEFT_STATUS, "caller_left");
        }
    }
}

impl Job {
    /// Time left until the request's end.
    pub(super) fn time_left(&self) -> Duration {
        self.end.saturating_duration_since(now())
    }

    /// Time left until the caller abandons a request that has brought no event.
    pub(super) fn first_event_time_left(&self) -> Duration {
        let waited = now().saturating_duration_since(self.arrived);
        let until_stalled = self
            .route
            .caller_stall_timeout
            .map_or(Duration::MAX, |timeout| timeout.saturating_sub(waited));
        until_stalled.min(self.time_left())
    }

    /// Rank of the request; 0 is the most urgent. A tenant's own rank goes before that of the route.
    pub(super) fn priority(&self) -> u8 {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }

    /// What the request asks of its answer.
    pub(super) fn aims(&self) -> Aims {
        Aims {
            latency: self.route.target_latency,
            gap: self.route.target_gap,
        }
    }

    /// Whether one more back end may run the request.
    pub(super) fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.route.kind.is_repeatable() && self.runs < self.route.maximum_attempts)
    }

    /// Recognizes the request when it comes again under another identity.
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
