//! Handles requests of plain services, which are proxied to a pool of back ends.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use ponddrift_core::admission::AdmissionRequest;
use ponddrift_core::claims::ClaimAnswer;
use ponddrift_core::configuration::{ServiceKind, ServiceSettings};
use ponddrift_core::routing::{RouteRequest, RouteTarget, SendOutcome};
use ponddrift_core::service_time::WorkUnits;
use ponddrift_core::{Execution, PoolName, RequestId, ServiceName, Timestamp};
use ponddrift_http::{Body, Problem, body};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::caller::{Caller, bad_request, find_service};
use super::claim::{Claim, ClaimResult};
use super::completions::{body_read_problem, priority_level, set_back_end_header, tenant_weight};
use super::dispatch::{Dispatch, broken_answer_problem};
use super::permit::Permit;
use super::placement;
use super::plain_attempt::{self, BodyReader, StartedBody};
use super::send_guard::SendGuard;
use super::{GatewayContext, SERVICES_PREFIX};
use crate::actors::routing::RequestSucceeded;
use crate::actors::tell;

/// Answers with a `Content-Length` up to this size are read and checked completely before the first
/// byte is sent to the caller. All other answers are relayed as they arrive.
const BUFFERED_ANSWER_LIMIT_BYTES: u64 = 256 * 1024;
/// Chunks of a relayed answer that are buffered for a slow caller.
const RELAY_BUFFER_CHUNKS: usize = 16;

/// A parsed request to a plain service.
pub(super) struct PlainJob {
    pub(super) request_id: RequestId,
    pub(super) caller: Caller,
    /// Fair-share weight of the tenant.
    pub(super) weight: u32,
    pub(super) name: ServiceName,
    pub(super) service: ServiceSettings,
    pub(super) pool: PoolName,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
}

pub(super) async fn answer(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
    request_id: RequestId,
) -> Result<Response<Body>, Problem> {
    let job = prepare_job(context, request, request_id).await?;
    let clock = &context.runtime.clock;
    let request = admission_request(&job);
    let entry = context.requests.enter(&request, 0, context.now());
    let permit = Permit::obtain(
        &context.plain_admission,
        clock,
        request,
        WorkUnits::ONE,
        entry,
    )
    .await?;
    let mut claim = match claim_key(context, &job).await? {
        Some(ClaimResult::Answered(answer)) => return Ok(answer),
        Some(ClaimResult::Won(claim)) => Some(*claim),
        None => None,
    };
    let mut dispatch = Dispatch::new();
    let started = loop {
        let chosen = match dispatch.choose(context, route_request(context, &job)).await {
            Ok(chosen) => chosen,
            Err(problem) => return Err(release_claim(claim, problem)),
        };
        placement::record(context, &permit, request_id, &chosen.placement);
        let failure = match plain_attempt::run(context, &job, chosen, claim.as_mut()).await {
            Ok(started) => break started,
            Err(failure) => failure,
        };
        if let Some(claim) = &mut claim
            && failure.outcome.failure.execution() == Execution::NotStarted
        {
            claim.dispatch_not_started();
        }
        let repeatable = job.service.repeatable;
        if let Err(problem) = dispatch
            .handle_failure(context, failure, repeatable, job.deadline)
            .await
        {
            return Err(release_claim(claim, problem));
        }
    };
    respond(context, started, permit, claim).await
}

/// Claims the idempotency key if the service is not repeatable.
async fn claim_key(
    context: &Arc<GatewayContext>,
    job: &PlainJob,
) -> Result<Option<ClaimResult>, Problem> {
    if job.service.repeatable {
        return Ok(None);
    }
    Claim::obtain(
        context,
        &job.caller,
        &job.name,
        job.request_id,
        &job.body,
        job.deadline,
    )
    .await
}

/// Releases the claim, unless a dispatch may have run, and returns the problem.
fn release_claim(claim: Option<Claim>, problem: Problem) -> Problem {
    if let Some(mut claim) = claim {
        claim.release();
    }
    problem
}

async fn prepare_job(
    context: &GatewayContext,
    request: Request<Incoming>,
    request_id: RequestId,
) -> Result<PlainJob, Problem> {
    let (parts, incoming) = request.into_parts();
    let caller = Caller::read(&parts.headers)?;
    let (name, path) = split_path(&parts.uri)?;
    let configuration = context.configuration.borrow().clone();
    let (service_name, service) = find_service(&configuration, name)?;
    let pool = pool_of(&service)?;
    let limits = &context.settings.gateway;
    let body = body::read_all(incoming, limits.body_size_limit, limits.body_time_limit)
        .await
        .map_err(body_read_problem)?;
    Ok(PlainJob {
        request_id,
        weight: tenant_weight(&configuration, &caller),
        name: service_name,
        pool,
        method: parts.method,
        path: path.to_owned(),
        headers: parts.headers,
        body,
        priority: priority_level(&configuration, &service),
        deadline: context.now() + caller.time_limit(&service),
        caller,
        service,
    })
}

fn split_path(uri: &Uri) -> Result<(&str, &str), Problem> {
    let whole = uri.path_and_query().map_or("", |path| path.as_str());
    let rest = whole.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let split = rest.find('/').ok_or_else(|| {
        bad_request("the path at the back end is missing: use /services/<name>/<path>")
    })?;
    Ok(rest.split_at(split))
}

fn pool_of(service: &ServiceSettings) -> Result<PoolName, Problem> {
    match &service.kind {
        ServiceKind::Plain { pool } => Ok(pool.clone()),
        ServiceKind::Completion { .. } => Err(bad_request(
            "this service answers completions: send to /v1/completions",
        )),
    }
}

fn admission_request(job: &PlainJob) -> AdmissionRequest {
    AdmissionRequest {
        id: job.request_id,
        tenant: job.caller.tenant.clone(),
        weight: job.weight,
        service: job.name.clone(),
        level: job.priority,
        deadline: job.deadline,
        expected_tokens: 0,
        expected_service: Duration::ZERO,
    }
}

fn route_request(context: &GatewayContext, job: &PlainJob) -> RouteRequest {
    RouteRequest {
        request: job.request_id,
        target: RouteTarget::Plain {
            pool: job.pool.clone(),
        },
        prompt_tokens: 0,
        expected_output_tokens: 0,
        prefix_blocks: Vec::new(),
        deadline: job.deadline,
        priority: job.priority,
        excluded: Vec::new(),
        avoided_zone: None,
        caller_zone: context.settings.daemon.zone.clone(),
        caller_region: context.settings.daemon.region.clone(),
        may_probe: job.service.repeatable,
    }
}

async fn respond(
    context: &Arc<GatewayContext>,
    started: StartedBody,
    permit: Permit,
    claim: Option<Claim>,
) -> Result<Response<Body>, Problem> {
    let StartedBody {
        head,
        reader,
        guard,
        back_end,
    } = started;
    let length = content_length(&head.headers);
    let content = if length.is_some_and(|length| length <= BUFFERED_ANSWER_LIMIT_BYTES) {
        let whole = read_whole_body(context, reader, guard, permit).await?;
        if let Some(claim) = claim {
            claim.completed(Some(&stored_answer(&head, &whole)));
        }
        body::full(whole)
    } else {
        if let Some(claim) = claim {
            // The request has run, even if its answer does not reach the caller.
            claim.completed(None);
        }
        relay_body(context, reader, guard, permit)
    };
    let mut answer = Response::from_parts(without_connection_headers(head), content);
    set_back_end_header(&mut answer, back_end);
    Ok(answer)
}

fn stored_answer(head: &http::response::Parts, whole: &Bytes) -> ClaimAnswer {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    ClaimAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: whole.to_vec(),
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Removes the headers that only concern the connection to the back end (RFC 9110, section 7.6.1).
fn without_connection_headers(mut head: http::response::Parts) -> http::response::Parts {
    head.version = http::Version::HTTP_11;
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        head.headers.remove(name);
    }
    head
}

async fn read_whole_body(
    context: &GatewayContext,
    mut reader: BodyReader,
    guard: SendGuard,
    permit: Permit,
) -> Result<Bytes, Problem> {
    let mut whole = BytesMut::new();
    loop {
        match reader.next().await {
            Ok(Some(bytes)) => whole.extend_from_slice(&bytes),
            Ok(None) => break,
            Err(error) => {
                guard.end(SendOutcome::Failed);
                return Err(broken_answer_problem(&error));
            }
        }
    }
    report_success(context, guard, permit);
    Ok(whole.freeze())
}

fn report_success(context: &GatewayContext, guard: SendGuard, mut permit: Permit) {
    permit.record_success(0);
    guard.first_token();
    guard.end(SendOutcome::Succeeded {
        output_tokens: 0,
        cached_tokens: None,
    });
    tell(&context.routing, RequestSucceeded);
}

/// Relays a large body as it arrives. If the body breaks off, the connection to the caller is
/// closed, which HTTP reports as an incomplete answer.
fn relay_body(
    context: &Arc<GatewayContext>,
    mut reader: BodyReader,
    guard: SendGuard,
    permit: Permit,
) -> Body {
    let (sender, receiver) = mpsc::channel(RELAY_BUFFER_CHUNKS);
    let relay_context = Arc::clone(context);
    context.runtime.spawner.spawn(Box::pin(async move {
        let limit = relay_context.settings.gateway.stalled_reader_limit;
        loop {
            match reader.next().await {
                Ok(Some(bytes)) => {
                    if sender.send_timeout(Ok(bytes), limit).await.is_err() {
                        return;
                    }
                }
                Ok(None) => return report_success(&relay_context, guard, permit),
                Err(error) => {
                    guard.end(SendOutcome::Failed);
                    // The caller may already have disconnected.
                    let _sent = sender.send_timeout(Err(error.into()), limit).await;
                    return;
                }
            }
        }
    }));
    body::streamed(ReceiverStream::new(receiver))
}
