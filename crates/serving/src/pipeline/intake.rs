//! Accepts a request: checks the limits, finds the route, authenticates, reads the body and selects
//! the service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header, request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ponddrift_fleet::configuration::{RequestKind, Route};
use ponddrift_fleet::placement::Urgency;
use ponddrift_fleet::tenants::{Credential, Tenant};
use ponddrift_http::RequestGuard;
use ponddrift_http::body::{self, Body, ReadError, WhenFull};
use ponddrift_http::memory::Reservation;

use super::Pipeline;
use super::answers::Failure;
use super::guards::InProgress;
use super::job::Job;
use super::taken_up::TakenUpStream;
use crate::dialect::RequestMetadata;
use crate::fleet_state::ConfigurationInForce;
use crate::request_trace::{RequestTrace, SERVED_LOG_TARGET, milliseconds, rounded};
use crate::time::{self, now};

/// An answer of the daemon itself is sent this long before the caller's deadline, so that it
/// arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Maximum bytes of a refused request's body that are read before the answer.
const MAX_DRAINED_BYTES: usize = 64 << 10;
/// Time limit for reading the body of a refused request.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// The answer to a request for which there is no room.
const FULL: Failure =
    Failure::NotRun("this daemon has as much in progress as it can hold: come back later");

/// How a request ended, for its summary log line.
struct RequestEnd {
    status: u16,
    outcome: &'static str,
    in_time: bool,
    waited: Duration,
    took: Duration,
}

/// Logs the end of a request. A macro, because the target of a log line must be known at compile
/// time.
macro_rules! log_request_end {
    ($target:expr, $job:expr, $end:expr) => {
        tracing::info!(
            target: $target,
            request = &*$job.id,
            route = &*$job.route.name,
            service = &*$job.service.name,
            tenant = $job.tenant.as_ref().map(|tenant| &*tenant.name),
            revision = %$job.revision,
            kind = $job.route.kind.as_str(),
            priority = $job.priority(),
            status = $end.status,
            outcome = $end.outcome,
            in_time = $end.in_time,
            waited_ms = milliseconds($end.waited),
            target_ms = milliseconds($job.route.target_latency),
            expected_ms = $job.expected_ms,
            urgency = $job.urgency.as_str(),
            yields = $job.yields,
            longest_gap_ms = milliseconds($job.longest_gap),
            expected_gap_ms = $job.expected_gap_ms.map(rounded),
            took_ms = milliseconds($end.took),
            limit_ms = milliseconds($job.deadline.saturating_duration_since($job.arrived)),
            prompt_tokens = $job.metadata.prompt.as_ref().map(|prompt| prompt.input_tokens),
            back_ends = $job.trace.back_ends(),
            sends = $job.delivered_sends,
            runs = $job.runs,
            resumes = $job.metadata.resumes.as_deref(),
            resume_after = $job.metadata.resume_after,
            fingerprint = $job.fingerprint.get().map(ToString::to_string),
            "request_ended"
        )
    };
}

/// The final answer to a request and its outcome for logs and metrics.
pub(super) struct FinalAnswer {
    pub(super) response: Response<Body>,
    pub(super) outcome: &'static str,
}

impl Pipeline {
    /// Serves one request of a caller. The request is in progress until the last byte of its answer is
    /// written or its connection is closed.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        time::detect_suspension();
        let metadata = self.dialect.read_request(request.headers());
        let in_progress = InProgress::new(&self, metadata.id.clone());
        let mut response = self.answer(request, metadata).await;
        in_progress.answered(&mut response);
        let guard = RequestGuard::new(in_progress);
        response.extensions_mut().insert(guard);
        response
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        metadata: RequestMetadata,
    ) -> Response<Body> {
        let arrived = now();
        let (head, mut body) = request.into_parts();
        let id = metadata.id.clone();
        let job = match self.accept(head, &mut body, metadata, arrived).await {
            Ok(job) => job,
            Err(failure) => {
                self.record_refusal(failure, id.as_deref());
                drain_body(body).await;
                return self.failure_answer(failure, id.as_deref(), None);
            }
        };
        self.budget().earn(&job.service.name);
        match job.route.kind {
            RequestKind::Stream { .. } => self.serve_stream(job).await,
            RequestKind::Safe | RequestKind::Unsafe => self.serve_plain(job).await,
        }
    }

    fn record_refusal(&self, failure: Failure, id: Option<&str>) {
        self.metrics.refused(failure.status().as_u16());
        tracing::info!(
            request = id,
            status = failure.status().as_u16(),
            reason = failure.reason(),
            version = self
                .state
                .in_force()
                .map(|in_force| in_force.configuration.version),
            "refused"
        );
    }

    async fn accept(
        self: &Arc<Self>,
        head: request::Parts,
        body: &mut Incoming,
        mut metadata: RequestMetadata,
        arrived: std::time::Instant,
    ) -> Result<Job, Failure> {
        if self.refuses_requests() {
            return Err(Failure::Stopping);
        }
        if self.in_progress() > self.bounds.requests {
            return Err(FULL);
        }
        let in_force = self.state.in_force().ok_or(Failure::NotReady)?;
        let route = find_route(&in_force, &head).ok_or(Failure::NoRoute)?;
        if head_bytes(&head) > in_force.configuration.limits.head_bytes {
            return Err(Failure::HeadTooLarge);
        }
        let credential = std::mem::take(&mut metadata.credential);
        let tenant = authenticate(&in_force, &route, &credential)?;
        let id = metadata.id.clone().ok_or(Failure::MissingRequestId)?;
        let limit = metadata
            .time_limit
            .map_or(route.timeout, |limit| limit.min(route.timeout));
        let deadline = arrived + limit.saturating_sub(ANSWER_MARGIN);
        let memory = self.memory.reserve();
        let body = self
            .unless_refusing(read_body(body, &in_force, deadline, &memory))
            .await?;
        memory.pin();
        let tenant_name = tenant.as_ref().map(|tenant| &*tenant.name);
        let taken_up = self.find_taken_up(&route, &metadata, tenant_name).await;
        let service_name = self
            .service_for(&route, taken_up.as_ref())
            .ok_or(Failure::NotRun(
                "the route has no service with a weight: check the configuration",
            ))?;
        let service = in_force
            .configuration
            .service(&service_name)
            .cloned()
            .ok_or(Failure::NotRun(
                "the route's service is not in the configuration: add it there",
            ))?;
        let mut headers = end_to_end_headers(&head.headers);
        self.dialect.strip_reserved(&mut headers);
        Ok(Job {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            _memory: memory,
            body,
            events_sent: metadata.resume_after.unwrap_or(0),
            metadata,
            route,
            service,
            tenant,
            revision: in_force.revision,
            arrived,
            deadline,
            trace: RequestTrace::new(arrived),
            delivered_sends: 0,
            prefill_sends: 0,
            urgency: Urgency::InTime,
            yields: false,
            expected_ms: None,
            first_event: None,
            longest_gap: Duration::ZERO,
            expected_gap_ms: None,
            rate_waits: 0,
            runs: 0,
            silent_runs: Vec::new(),
            ended_runs: Vec::new(),
            required_version: self.required_version(taken_up.as_ref(), &service_name),
            taken_up,
            tried: Vec::new(),
            had_timeout: false,
            open_send: None,
            run_stage: Arc::default(),
            held_retry: None,
            sending_retry: None,
            fingerprint: std::sync::OnceLock::new(),
            suspect_parts: std::sync::OnceLock::new(),
            is_finished: false,
            pipeline: Arc::clone(self),
        })
    }

    /// Service for a request: the one that began the stream, if the route still leads there, otherwise
    /// the next one of the split. `None` if all weights are 0.
    fn service_for(&self, route: &Route, taken_up: Option<&TakenUpStream>) -> Option<Arc<str>> {
        let begun_at = taken_up.and_then(TakenUpStream::origin);
        let mut split = route.split.iter().filter(|part| part.weight > 0);
        let same = begun_at.and_then(|origin| split.find(|part| part.service == origin.service));
        match same {
            Some(part) => Some(Arc::clone(&part.service)),
            None => self.traffic_split().next(route),
        }
    }

    /// Records the end of a request. Logs a single line if it was served in time; otherwise all
    /// decisions are logged before that line.
    pub(super) fn finish(&self, job: &mut Job, status: u16, outcome: &'static str) {
        job.is_finished = true;
        let took = now().saturating_duration_since(job.arrived);
        let waited = job.first_event.unwrap_or_else(now);
        let waited = waited.saturating_duration_since(job.arrived);
        let gap_in_time = job
            .route
            .target_gap
            .is_none_or(|target| job.longest_gap <= target);
        let in_time = waited <= job.route.target_latency && gap_in_time;
        self.metrics.request_ended(
            &job.route.name,
            job.route.kind.as_str(),
            outcome,
            took,
            in_time,
        );
        let end = RequestEnd {
            status,
            outcome,
            in_time,
            waited,
            took,
        };
        if outcome == "served" && in_time {
            log_request_end!(SERVED_LOG_TARGET, job, end);
        } else {
            job.trace.write(&job.id);
            log_request_end!(module_path!(), job, end);
        }
    }

    /// Builds the final answer to a request that could not be served.
    pub(super) fn fail_request(&self, job: &Job, failure: Failure) -> FinalAnswer {
        FinalAnswer {
            response: self.failure_answer(failure, Some(&job.id), Some(job.time_left())),
            outcome: match failure {
                Failure::NotRun(_) | Failure::BackingOff { .. } | Failure::Stopping => "refused",
                Failure::Quarantined { .. } => "quarantined",
                Failure::TimedOut(_) => "time_over",
                _ => "failed",
            },
        }
    }
}

/// Finds the tenant of a request. On a public route a key is optional, but a valid one still counts
/// for its tenant.
fn authenticate(
    in_force: &ConfigurationInForce,
    route: &Route,
    credential: &Credential,
) -> Result<Option<Arc<Tenant>>, Failure> {
    let Some(tenants) = &in_force.tenants else {
        return Ok(None);
    };
    match tenants.authenticate(credential) {
        Ok(tenant) => Ok(Some(Arc::clone(tenant))),
        Err(_unauthenticated) if route.is_public => Ok(None),
        Err(_unauthenticated) => Err(Failure::Unauthenticated),
    }
}

/// Approximate size of a request head in bytes as it was received.
fn head_bytes(head: &request::Parts) -> usize {
    /// Colon, space and line break of a header line.
    const LINE_OVERHEAD_BYTES: usize = 4;
    let lines = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES);
    lines.sum::<usize>() + head.uri.to_string().len()
}

fn find_route(in_force: &ConfigurationInForce, head: &request::Parts) -> Option<Arc<Route>> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())?;
    in_force.routes.find(host, head.uri.path()).cloned()
}

/// Discards the rest of a refused request's body, so that a caller which sends a small one can use its
/// connection again. What is longer is discarded when the connection closes.
async fn drain_body(mut body: Incoming) {
    let draining = async {
        let mut drained = 0;
        while drained < MAX_DRAINED_BYTES
            && let Some(Ok(frame)) = body.frame().await
        {
            drained += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    // The answer is sent in any case.
    drop(tokio::time::timeout(DRAIN_TIMEOUT, draining).await);
}

async fn read_body(
    body: &mut Incoming,
    in_force: &ConfigurationInForce,
    deadline: std::time::Instant,
    memory: &Reservation,
) -> Result<Bytes, Failure> {
    let limit = in_force.configuration.limits.body_bytes;
    let time = deadline.saturating_duration_since(now());
    match body::read_reserved(body, limit, time, memory, WhenFull::Fail).await {
        Ok(bytes) => Ok(bytes),
        Err(ReadError::TooLarge { .. }) => Err(Failure::BodyTooLarge),
        Err(ReadError::NoMemory(_)) => Err(FULL),
        Err(_) => Err(Failure::BodyTooSlow),
    }
}

/// Removes hop-by-hop headers and other headers of a single connection (RFC 9110, section 7.6.1).
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const DROPPED_HEADERS: [HeaderName; 6] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
    ];
    const DROPPED_HEADER_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "expect"];
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _value)| !DROPPED_HEADERS.contains(name))
        .filter(|(name, _value)| !DROPPED_HEADER_NAMES.contains(&name.as_str()))
        .filter(|(name, _value)| {
            !connection_options
                .iter()
                .any(|other| other == name.as_str())
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
