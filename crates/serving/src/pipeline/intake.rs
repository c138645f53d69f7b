//! Takes a request in: configuration, route, head, body, service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header, request};
use hyper::body::Incoming;
use ponddrift_fleet::configuration::{RequestKind, Route};
use ponddrift_fleet::placement::Urgency;
use ponddrift_fleet::tenants::{Credential, Tenant};
use ponddrift_http::body::{self, Body, ReadError};

use super::Pipeline;
use super::answers::Failure;
use super::guards::{HeldBytes, InProgress};
use super::job::Job;
use crate::dialect::RequestFacts;
use crate::fleet_state::ConfigurationInForce;
use crate::request_trace::{RequestTrace, SERVED_TARGET, milliseconds};
use crate::time::{self, now};

/// An own answer leaves this long before the caller's time is over, so that it arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Body of a refused request that is read before the answer, at most.
const READ_AWAY_BYTES: usize = 1 << 20;
/// Time for that.
const READ_AWAY_TIME: Duration = Duration::from_millis(300);

/// How a request ended, for its line.
struct RequestEnd {
    status: u16,
    outcome: &'static str,
    in_time: bool,
    waited: Duration,
    took: Duration,
}

/// Writes the line of a request's end; the target of a line has to be known when it is compiled.
macro_rules! write_end {
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
            took_ms = milliseconds($end.took),
            limit_ms = milliseconds($job.end.saturating_duration_since($job.arrived)),
            prompt_tokens = $job.facts.prompt.as_ref().map(|prompt| prompt.input_tokens),
            back_ends = $job.trace.back_ends(),
            sends = $job.arrivals,
            runs = $job.runs,
            fingerprint = $job.fingerprint.get().map(ToString::to_string),
            "request_ended"
        )
    };
}

/// A served request, for its end.
pub(super) struct Served {
    pub(super) response: Response<Body>,
    pub(super) outcome: &'static str,
}

impl Pipeline {
    /// Serves one request of a caller.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        time::detect_suspension();
        let arrived = now();
        let in_progress = InProgress::new(&self);
        let (head, body) = request.into_parts();
        let facts = self.dialect.read_request(&head.headers);
        let id = facts.id.clone();
        let mut body = body;
        let job = match self.take_in(head, &mut body, facts, arrived).await {
            Ok(job) => job,
            Err(failure) => {
                self.refused_at_intake(failure, id.as_deref());
                read_away(body).await;
                return self.failure_answer(failure, id.as_deref(), None);
            }
        };
        self.budget().earn(&job.service.name);
        match job.route.kind {
            RequestKind::Stream { .. } => self.serve_stream(job, in_progress).await,
            RequestKind::Safe | RequestKind::Unsafe => self.serve_plain(job).await,
        }
    }

    fn refused_at_intake(&self, failure: Failure, id: Option<&str>) {
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

    async fn take_in(
        self: &Arc<Self>,
        head: request::Parts,
        body: &mut Incoming,
        mut facts: RequestFacts,
        arrived: std::time::Instant,
    ) -> Result<Job, Failure> {
        if self.is_refusing() {
            return Err(Failure::Stopping);
        }
        let has_room = self.in_progress() <= self.bounds.requests
            && self.held_bytes.load(Ordering::Relaxed) < self.bounds.body_bytes;
        if !has_room {
            return Err(Failure::NotRun(
                "this daemon has as much in progress as it can hold: come back later",
            ));
        }
        let in_force = self.state.in_force().ok_or(Failure::NotReady)?;
        let route = find_route(&in_force, &head).ok_or(Failure::NoRoute)?;
        if head_bytes(&head) > in_force.configuration.limits.head_bytes {
            return Err(Failure::HeadTooLarge);
        }
        let credential = std::mem::take(&mut facts.credential);
        let tenant = authenticate(&in_force, &route, &credential)?;
        let id = facts.id.clone().ok_or(Failure::BadRequest)?;
        let limit = facts
            .time_limit
            .map_or(route.timeout, |limit| limit.min(route.timeout));
        let end = arrived + limit.saturating_sub(ANSWER_MARGIN);
        let body = read_body(body, &in_force, end).await?;
        let part = self.split().next(&route).ok_or(Failure::NotRun(
            "the route has no service with a weight: check the configuration",
        ))?;
        let service = in_force
            .configuration
            .service(&part)
            .cloned()
            .ok_or(Failure::NotRun(
                "the route's service is not in the configuration: add it there",
            ))?;
        let mut headers = end_to_end(&head.headers);
        self.dialect.strip_reserved(&mut headers);
        Ok(Job {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            _held_bytes: HeldBytes::new(self, body.len()),
            body,
            facts,
            route,
            service,
            tenant,
            revision: in_force.revision,
            arrived,
            end,
            trace: RequestTrace::new(arrived),
            arrivals: 0,
            prefills: 0,
            urgency: Urgency::InTime,
            yields: false,
            expected_ms: None,
            first_event: None,
            longest_gap: Duration::ZERO,
            turns: 0,
            runs: 0,
            tried: Vec::new(),
            met_silence: false,
            fingerprint: std::sync::OnceLock::new(),
            is_closed: false,
            pipeline: Arc::clone(self),
        })
    }

    /// Writes the end of a request: one line where it was served in time, all its decisions elsewhere.
    pub(super) fn close(&self, job: &mut Job, status: u16, outcome: &'static str) {
        job.is_closed = true;
        let took = now().saturating_duration_since(job.arrived);
        let waited = job.first_event.unwrap_or_else(now);
        let waited = waited.saturating_duration_since(job.arrived);
        let gap_in_time = job
            .route
            .target_gap
            .is_none_or(|target| job.longest_gap <= target);
        let in_time = waited <= job.route.target_latency && gap_in_time;
        self.metrics.ended(
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
            write_end!(SERVED_TARGET, job, end);
        } else {
            job.trace.write(&job.id);
            write_end!(module_path!(), job, end);
        }
    }

    /// Gives a request up: its final answer at once.
    pub(super) fn abandon(&self, job: &Job, failure: Failure) -> Served {
        Served {
            response: self.failure_answer(failure, Some(&job.id), Some(job.time_left())),
            outcome: match failure {
                Failure::NotRun(_) | Failure::BackingOff { .. } => "refused",
                Failure::Quarantined { .. } => "quarantined",
                Failure::TimeOver(_) => "time_over",
                _ => "failed",
            },
        }
    }
}

/// Whose request it is. A route that needs no key still counts a valid one for its tenant.
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

/// Bytes of a request's head, about as they came.
fn head_bytes(head: &request::Parts) -> usize {
    /// Colon, blank and line end of a header line.
    const LINE: usize = 4;
    let lines = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE);
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

/// Reads what is left of a refused request's body: closing a connection with unread bytes resets it, and the
/// answer on its way is lost.
async fn read_away(body: Incoming) {
    let reading = body::read_all(body, READ_AWAY_BYTES, READ_AWAY_TIME);
    // Whatever comes of it, the answer follows.
    drop(reading.await);
}

async fn read_body(
    body: &mut Incoming,
    in_force: &ConfigurationInForce,
    end: std::time::Instant,
) -> Result<Bytes, Failure> {
    let limit = in_force.configuration.limits.body_bytes;
    let time = end.saturating_duration_since(now());
    match body::read_all(body, limit, time).await {
        Ok(bytes) => Ok(bytes),
        Err(ReadError::TooLarge { .. }) => Err(Failure::TooLarge),
        Err(_) => Err(Failure::BodyTooSlow),
    }
}

/// The headers that are not for one connection only (RFC 9110, section 7.6.1).
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const FOR_ONE_CONNECTION: [HeaderName; 6] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
    ];
    const UNREGISTERED: [&str; 3] = ["keep-alive", "proxy-connection", "expect"];
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _value)| !FOR_ONE_CONNECTION.contains(name))
        .filter(|(name, _value)| !UNREGISTERED.contains(&name.as_str()))
        .filter(|(name, _value)| !named.iter().any(|other| other == name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
