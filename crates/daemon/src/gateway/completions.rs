//! Handles completion requests: parsing, admission, placement and the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use ponddrift_core::admission::AdmissionRequest;
use ponddrift_core::configuration::{Configuration, ServiceKind, ServiceSettings};
use ponddrift_core::routing::{RouteRequest, RouteTarget, VersionRule};
use ponddrift_core::service_time::WorkUnits;
use ponddrift_core::{Execution, RequestId, ServiceName, Timestamp};
use ponddrift_engine::completions::CallContext;
use ponddrift_engine::prompt::{block_hashes, count_tokens, prompt_text};
use ponddrift_engine::wire::completions::CompletionRequest;
use ponddrift_engine::wire::headers;
use ponddrift_http::{Body, Problem, ProblemKind, ReadError, body};

use super::GatewayContext;
use super::attempt::{self, StartedAnswer};
use super::caller::{Caller, bad_request, find_service};
use super::claim::{Claim, ClaimResult};
use super::dispatch::Dispatch;
use super::permit::Permit;
use super::placement;
use super::stream::{aggregated_answer, streamed_answer};

/// Output tokens assumed for a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 128;
/// Assumed prefill speed. The assumed prefill time is subtracted from the time to the first token
/// to estimate how long the request queued at the engine.
const ASSUMED_PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
/// Priority level of a class that the configuration does not contain (any more): the lowest.
const UNKNOWN_PRIORITY_LEVEL: u8 = u8::MAX;

/// A parsed and validated completion request.
pub(super) struct CompletionJob {
    pub(super) request_id: RequestId,
    pub(super) caller: Caller,
    /// Fair-share weight of the tenant.
    pub(super) weight: u32,
    pub(super) name: ServiceName,
    pub(super) service: ServiceSettings,
    /// Request sent to the engines. It always asks for a stream, so that an interrupted answer can
    /// be resumed.
    pub(super) engine_request: CompletionRequest,
    pub(super) path: String,
    pub(super) target: RouteTarget,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) prefix_blocks: Vec<u64>,
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
}

impl CompletionJob {
    /// Time until the deadline.
    pub(super) fn time_left(&self, context: &GatewayContext) -> Duration {
        self.deadline.since(context.now())
    }

    /// Call context sent to the engine: request id, remaining time, idempotency key and trace
    /// context.
    pub(super) fn call(&self, context: &GatewayContext) -> CallContext {
        CallContext {
            request_id: self.request_id,
            deadline: self.time_left(context),
            idempotency_key: self.caller.idempotency_key.clone(),
            traceparent: self.caller.traceparent.clone(),
        }
    }

    fn work(&self) -> WorkUnits {
        WorkUnits::of_completion(self.prompt_tokens, self.output_tokens)
    }

    fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            id: self.request_id,
            tenant: self.caller.tenant.clone(),
            weight: self.weight,
            service: self.name.clone(),
            level: self.priority,
            deadline: self.deadline,
            expected_tokens: self.prompt_tokens.saturating_add(self.output_tokens),
            expected_service: Duration::ZERO,
        }
    }

    fn route_request(&self, context: &GatewayContext) -> RouteRequest {
        RouteRequest {
            request: self.request_id,
            target: self.target.clone(),
            prompt_tokens: self.prompt_tokens,
            expected_output_tokens: self.output_tokens,
            prefix_blocks: self.prefix_blocks.clone(),
            deadline: self.deadline,
            priority: self.priority,
            excluded: Vec::new(),
            avoided_zone: None,
            caller_zone: context.settings.daemon.zone.clone(),
            caller_region: context.settings.daemon.region.clone(),
            may_probe: self.service.repeatable,
        }
    }
}

pub(super) async fn answer(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
    request_id: RequestId,
) -> Result<Response<Body>, Problem> {
    let (parts, incoming) = request.into_parts();
    let caller = Caller::read(&parts.headers)?;
    let completion = read_completion(context, incoming).await?;
    let is_streamed = completion.stream;
    let job = prepare_job(context, request_id, caller, completion, parts.uri.path())?;
    let admission = &context.completion_admission;
    let clock = &context.runtime.clock;
    let request = job.admission_request();
    let entry = context
        .requests
        .enter(&request, job.prompt_tokens, context.now());
    let permit = Permit::obtain(admission, clock, request, job.work(), entry).await?;
    let mut claim = match claim_key(context, &job).await? {
        Some(ClaimResult::Answered(answer)) => return Ok(answer),
        Some(ClaimResult::Won(claim)) => Some(*claim),
        None => None,
    };
    let started = match start(context, &job, &permit, claim.as_mut()).await {
        Ok(started) => started,
        Err(problem) => {
            if let Some(claim) = &mut claim {
                claim.release();
            }
            return Err(problem);
        }
    };
    let assumed_prefill_time =
        Duration::from_secs_f64(f64::from(job.prompt_tokens) / ASSUMED_PREFILL_TOKENS_PER_SECOND);
    permit.report_queue_wait(permit.running_for().saturating_sub(assumed_prefill_time));
    let engine = started.engine;
    let mut answer = if is_streamed {
        streamed_answer(context, started, permit, claim)
    } else {
        aggregated_answer(context, started, permit, claim).await?
    };
    set_back_end_header(&mut answer, engine);
    Ok(answer)
}

/// Tries engines until one returns the first part of an answer.
async fn start(
    context: &Arc<GatewayContext>,
    job: &CompletionJob,
    permit: &Permit,
    mut claim: Option<&mut Claim>,
) -> Result<StartedAnswer, Problem> {
    let mut dispatch = Dispatch::new();
    loop {
        let chosen = dispatch.choose(context, job.route_request(context)).await?;
        placement::record(context, permit, job.request_id, &chosen.placement);
        match attempt::run(context, job, chosen, claim.as_deref_mut()).await {
            Ok(started) => return Ok(started),
            Err(failure) => {
                if let Some(claim) = claim.as_deref_mut()
                    && failure.outcome.failure.execution() == Execution::NotStarted
                {
                    claim.dispatch_not_started();
                }
                let repeatable = job.service.repeatable;
                dispatch
                    .handle_failure(context, failure, repeatable, job.deadline)
                    .await?;
            }
        }
    }
}

/// Claims the idempotency key if the service is not repeatable.
async fn claim_key(
    context: &Arc<GatewayContext>,
    job: &CompletionJob,
) -> Result<Option<ClaimResult>, Problem> {
    if job.service.repeatable {
        return Ok(None);
    }
    let body = serde_json::to_vec(&job.engine_request).unwrap_or_default();
    Claim::obtain(
        context,
        &job.caller,
        &job.name,
        job.request_id,
        &body,
        job.deadline,
    )
    .await
}

async fn read_completion(
    context: &GatewayContext,
    incoming: Incoming,
) -> Result<CompletionRequest, Problem> {
    let limits = &context.settings.gateway;
    body::read_json(incoming, limits.body_size_limit, limits.body_time_limit)
        .await
        .map_err(body_read_problem)
}

pub(super) fn body_read_problem(error: ReadError) -> Problem {
    let kind = match error {
        ReadError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        ReadError::TooSlow { .. } => ProblemKind::BodyTooSlow,
        ReadError::NoMemory(_) => ProblemKind::Overloaded,
        ReadError::Broken(_) | ReadError::Json(_) => ProblemKind::BadRequest,
    };
    Problem::not_started(kind, error.to_string())
}

fn prepare_job(
    context: &GatewayContext,
    request_id: RequestId,
    caller: Caller,
    completion: CompletionRequest,
    path: &str,
) -> Result<CompletionJob, Problem> {
    let configuration = context.configuration.borrow().clone();
    let (name, service) = find_service(&configuration, &completion.model)?;
    let ServiceKind::Completion { model, adapter, .. } = &service.kind else {
        return Err(bad_request(
            "this is a plain service: send to /services/<name>/…",
        ));
    };
    let target = RouteTarget::Completion {
        model: model.clone(),
        version: VersionRule::Any,
        adapter: adapter.clone(),
    };
    let prompt = prompt_text(&completion);
    if prompt.trim().is_empty() {
        return Err(bad_request("the prompt is empty: send prompt or messages"));
    }
    let priority = priority_level(&configuration, &service);
    let prompt_tokens = count_tokens(&prompt);
    let output_tokens = completion.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    context.count_demand(model, priority, prompt_tokens, output_tokens);
    let deadline = context.now() + caller.time_limit(&service);
    let mut engine_request = completion;
    engine_request.model = model.to_string();
    engine_request.priority = Some(priority);
    engine_request.stream = true;
    Ok(CompletionJob {
        request_id,
        weight: tenant_weight(&configuration, &caller),
        caller,
        name,
        engine_request,
        path: path.to_owned(),
        target,
        prompt_tokens,
        output_tokens,
        prefix_blocks: block_hashes(&prompt),
        priority,
        deadline,
        service,
    })
}

pub(super) fn priority_level(configuration: &Configuration, service: &ServiceSettings) -> u8 {
    let class = configuration.priorities.get(&service.priority);
    class.map_or(UNKNOWN_PRIORITY_LEVEL, |class| class.level)
}

/// Returns the fair-share weight of the tenant; tenants that are not configured have weight 1.
pub(super) fn tenant_weight(configuration: &Configuration, caller: &Caller) -> u32 {
    configuration
        .tenants
        .get(&caller.tenant)
        .map_or(1, |tenant| tenant.weight.max(1))
}

pub(super) fn set_back_end_header(answer: &mut Response<Body>, back_end: SocketAddr) {
    if let Ok(value) = HeaderValue::from_str(&back_end.to_string()) {
        answer.headers_mut().insert(headers::BACK_END, value);
    }
}
