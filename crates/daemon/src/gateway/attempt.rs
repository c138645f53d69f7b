//! One attempt at a completion: on a single engine, or with prefill on one engine and decode on
//! another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::answer::{AnswerAssembler, AnswerKind, AnswerSettings};
use ponddrift_core::machine::Machine;
use ponddrift_core::retry::{AttemptFailure, AttemptOutcome};
use ponddrift_core::routing::{PlacementPlan, SendOutcome, SendStage, Sent};
use ponddrift_core::{Execution, MachineId};
use ponddrift_engine::CallError;
use ponddrift_engine::completions::CallContext;
use ponddrift_engine::wire::completions::{
    CompletionRequest, CompletionResponse, KvTransferParams,
};
use ponddrift_http::body;

use super::GatewayContext;
use super::claim::Claim;
use super::completions::CompletionJob;
use super::driver::{AnswerDriver, Step};
use super::events::{AnswerPart, EngineConnection};
use super::send_guard::SendGuard;
use crate::actors::ask;
use crate::actors::routing::{IsSendAllowed, ReservedPlacement};

/// Size limit of a prefill answer, which holds a KV transfer handle and token counts.
const PREFILL_ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// An answer whose first part has arrived.
pub(super) struct StartedAnswer {
    pub(super) first: AnswerPart,
    pub(super) driver: AnswerDriver,
    pub(super) guard: SendGuard,
    pub(super) engine: SocketAddr,
}

/// A failed attempt, with a description for the caller.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    pub(super) outcome: AttemptOutcome,
    pub(super) detail: String,
}

/// Runs one attempt up to the first part of the answer.
pub(super) async fn run(
    context: &Arc<GatewayContext>,
    job: &CompletionJob,
    chosen: ReservedPlacement,
    claim: Option<&mut Claim>,
) -> Result<StartedAnswer, FailedAttempt> {
    // Held until routing knows of every send of the plan, so that no drain of these back ends is
    // acknowledged in between.
    let ReservedPlacement {
        placement,
        reservation: _reservation,
    } = chosen;
    match placement.plan {
        PlacementPlan::Single { back_end } => {
            let stage = SendStage::Whole;
            start(context, job, back_end, stage, None, claim).await
        }
        // A request of a service that is not repeatable must not run on two engines, so the decode
        // engine also does the prefill.
        PlacementPlan::Handover { decode, .. } if !job.service.repeatable => {
            start(context, job, decode, SendStage::Whole, None, claim).await
        }
        PlacementPlan::Handover { prefill, decode } => {
            prefill_then_decode(context, job, prefill, decode).await
        }
    }
}

/// Runs prefill on one engine and decode on another. If the KV transfer fails, the decode engine
/// does the prefill itself.
async fn prefill_then_decode(
    context: &Arc<GatewayContext>,
    job: &CompletionJob,
    prefill: MachineId,
    decode: MachineId,
) -> Result<StartedAnswer, FailedAttempt> {
    let failure = match run_prefill(context, job, prefill).await {
        Ok(import) => {
            let stage = SendStage::Decode;
            match start(context, job, decode, stage, Some(import), None).await {
                Err(failure) if failure.outcome.failure == AttemptFailure::RefusedNotRun => failure,
                started_or_failed => return started_or_failed,
            }
        }
        Err(failure) => failure,
    };
    tracing::info!(
        request_id = %job.request_id, detail = failure.detail,
        "prefill or KV transfer failed; the decode engine runs the prefill itself"
    );
    start(context, job, decode, SendStage::Whole, None, None).await
}

/// Runs the prefill on engine `prefill`. Returns the parameters with which the decode engine
/// fetches the KV cache.
async fn run_prefill(
    context: &Arc<GatewayContext>,
    job: &CompletionJob,
    prefill: MachineId,
) -> Result<KvTransferParams, FailedAttempt> {
    let machine = find_machine(context, prefill)?;
    check_view(context, &machine).await?;
    let mut request = job.engine_request.clone();
    request.stream = false;
    request.kv_transfer_params = Some(KvTransferParams::Export);
    let guard = begin_send(context, job, &machine, SendStage::Prefill);
    let exchange = async {
        let call = job.call(context);
        let response = context
            .completions
            .open(machine.address, &job.path, &request, &call)
            .await?;
        let read = body::read_json(
            response.into_body(),
            PREFILL_ANSWER_LIMIT_BYTES,
            job.time_left(context),
        );
        let exported: CompletionResponse = read.await?;
        let handle = exported.kv_transfer_handle;
        handle.ok_or_else(|| CallError::Protocol(String::from("no kv_transfer_handle")))
    };
    match with_timeout(job.time_left(context), exchange).await {
        Ok(handle) => {
            guard.first_token();
            guard.end(SendOutcome::Succeeded {
                output_tokens: 0,
                cached_tokens: None,
            });
            Ok(KvTransferParams::Import {
                handle,
                source: machine.address.to_string(),
            })
        }
        Err(error) => Err(end_failed_send(guard, &machine, &error)),
    }
}

async fn start(
    context: &Arc<GatewayContext>,
    job: &CompletionJob,
    back_end: MachineId,
    stage: SendStage,
    import: Option<KvTransferParams>,
    claim: Option<&mut Claim>,
) -> Result<StartedAnswer, FailedAttempt> {
    let machine = find_machine(context, back_end)?;
    check_view(context, &machine).await?;
    begin_dispatch(claim, &machine)?;
    let mut request = job.engine_request.clone();
    request.kv_transfer_params = import;
    let guard = begin_send(context, job, &machine, stage);
    let opening = open(context, job, &machine, &request);
    let mut driver = match with_timeout(job.time_left(context), opening).await {
        Ok(driver) => driver,
        Err(error) => return Err(end_failed_send(guard, &machine, &error)),
    };
    match driver.step().await {
        Ok(Step::Part(first)) => {
            guard.first_token();
            Ok(StartedAnswer {
                first,
                driver,
                guard,
                engine: machine.address,
            })
        }
        Ok(Step::Complete) => {
            let error = CallError::Protocol(String::from("the answer ended before its first part"));
            Err(end_failed_send(guard, &machine, &error))
        }
        Err(error) => {
            guard.end(SendOutcome::Failed);
            Err(failed_attempt(
                &machine,
                AttemptFailure::AnswerBroken,
                error.to_string(),
            ))
        }
    }
}

async fn open(
    context: &GatewayContext,
    job: &CompletionJob,
    machine: &Machine,
    request: &CompletionRequest,
) -> Result<AnswerDriver, CallError> {
    let call: CallContext = job.call(context);
    let opening = EngineConnection::open(
        &context.completions,
        machine.address,
        &job.path,
        request,
        &call,
    );
    let (connection, head) = opening.await?;
    let settings = AnswerSettings {
        idle_limit: context.settings.gateway.stream_idle_limit,
        ..AnswerSettings::default()
    };
    let assembler = AnswerAssembler::new(
        settings,
        context.now(),
        job.request_id,
        AnswerKind::Stream,
        job.deadline,
    );
    let clock = Arc::clone(&context.runtime.clock);
    Ok(AnswerDriver::new(clock, assembler, connection, head))
}

/// Checks that the claim on the request's idempotency key is still valid. Call it after the last
/// await before sending.
pub(super) fn begin_dispatch(
    claim: Option<&mut Claim>,
    machine: &Machine,
) -> Result<(), FailedAttempt> {
    let Some(claim) = claim else { return Ok(()) };
    claim
        .begin_dispatch()
        .map_err(|problem| failed_attempt(machine, AttemptFailure::NotSent, problem.detail))
}

/// Checks that this daemon's view of the back end is valid and the back end is not draining. Call
/// it right before sending: a process that was suspended after the placement must not act on it.
pub(super) async fn check_view(
    context: &GatewayContext,
    machine: &Machine,
) -> Result<(), FailedAttempt> {
    if ask(&context.routing, IsSendAllowed(machine.id))
        .await
        .unwrap_or(false)
    {
        return Ok(());
    }
    let detail =
        String::from("this daemon's view of the back end expired between placement and sending");
    Err(failed_attempt(machine, AttemptFailure::NotSent, detail))
}

fn begin_send(
    context: &Arc<GatewayContext>,
    job: &CompletionJob,
    machine: &Machine,
    stage: SendStage,
) -> SendGuard {
    let sent = Sent {
        request: job.request_id,
        back_end: machine.id,
        stage,
        prompt_tokens: job.prompt_tokens,
        prefix_blocks: job.prefix_blocks.clone(),
        priority: job.priority,
    };
    SendGuard::begin(context, sent, Some(machine.address))
}

pub(super) async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(Err(CallError::TimedOut(limit)))
}

/// Reports the outcome of a send whose call failed.
pub(super) fn end_failed_send(
    guard: SendGuard,
    machine: &Machine,
    error: &CallError,
) -> FailedAttempt {
    let failure = attempt_failure(error);
    match failure {
        // Dropping the guard cancels the request, which may still run at the engine.
        AttemptFailure::TimedOut => drop(guard),
        AttemptFailure::RefusedNotRun => guard.end(SendOutcome::Neutral),
        _ => guard.end(SendOutcome::Failed),
    }
    failed_attempt(machine, failure, error.to_string())
}

fn failed_attempt(machine: &Machine, failure: AttemptFailure, detail: String) -> FailedAttempt {
    let outcome = AttemptOutcome {
        back_end: machine.id,
        zone: machine.zone.clone(),
        failure,
    };
    FailedAttempt { outcome, detail }
}

fn attempt_failure(error: &CallError) -> AttemptFailure {
    match error {
        CallError::NotSent(_) => AttemptFailure::NotSent,
        CallError::Refused { .. } if error.execution() == Execution::NotStarted => {
            AttemptFailure::RefusedNotRun
        }
        CallError::Refused { status, .. } => AttemptFailure::ErrorStatus {
            status: status.as_u16(),
        },
        CallError::Broken(_) => AttemptFailure::ConnectionLost,
        CallError::TimedOut(_) => AttemptFailure::TimedOut,
        CallError::Protocol(_) => AttemptFailure::AnswerBroken,
    }
}

/// Finds the machine-list entry of the back end that routing chose.
pub(super) fn find_machine(
    context: &GatewayContext,
    back_end: MachineId,
) -> Result<Machine, FailedAttempt> {
    let fleet = context.fleet.borrow().clone();
    let found = fleet
        .machines
        .iter()
        .find(|machine| machine.id == back_end)
        .cloned();
    found.ok_or_else(|| FailedAttempt {
        outcome: AttemptOutcome {
            back_end,
            zone: context.settings.daemon.zone.clone(),
            failure: AttemptFailure::NotSent,
        },
        detail: format!("back end {back_end} has just left the machine list"),
    })
}
