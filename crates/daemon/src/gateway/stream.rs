//! Sends a completion to the caller, either as server-sent events or as one JSON body.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use ponddrift_core::answer::AnswerError;
use ponddrift_core::claims::ClaimAnswer;
use ponddrift_core::routing::SendOutcome;
use ponddrift_engine::wire::completions::{CompletionResponse, DONE, Usage};
use ponddrift_http::body::{BodyError, json_response, streamed};
use ponddrift_http::{Body, Problem};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::GatewayContext;
use super::attempt::StartedAnswer;
use super::claim::Claim;
use super::compose::CompletionAggregator;
use super::dispatch::broken_answer_problem;
use super::driver::Step;
use super::events::AnswerPart;
use super::permit::Permit;
use crate::actors::routing::RequestSucceeded;
use crate::actors::tell;

/// Events buffered for a slow caller. When the buffer is full, reading from the engine pauses;
/// after the stalled-reader limit the request is cancelled.
const RELAY_BUFFER_EVENTS: usize = 64;

type Chunk = Result<Bytes, BodyError>;

/// Relays parts as they arrive. The stream ends with the end marker or an error event.
pub(super) fn streamed_answer(
    context: &Arc<GatewayContext>,
    started: StartedAnswer,
    permit: Permit,
    claim: Option<Claim>,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(RELAY_BUFFER_EVENTS);
    let relay_context = Arc::clone(context);
    context.runtime.spawner.spawn(Box::pin(async move {
        relay(&relay_context, started, sender, permit, claim).await;
    }));
    let mut answer = Response::new(streamed(ReceiverStream::new(receiver)));
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    answer
}

async fn relay(
    context: &GatewayContext,
    started: StartedAnswer,
    caller: mpsc::Sender<Chunk>,
    mut permit: Permit,
    claim: Option<Claim>,
) {
    let StartedAnswer {
        first,
        mut driver,
        guard,
        ..
    } = started;
    let mut usage = first.parsed.usage;
    let mut next = Ok(Step::Part(first));
    loop {
        let (chunk, outcome) = match next {
            Ok(Step::Part(part)) => {
                usage = part.parsed.usage.or(usage);
                (part_event(&part), None)
            }
            Ok(Step::Complete) => (end_mark(), Some(success_outcome(usage))),
            Err(error) => (error_event(&error), Some(SendOutcome::Failed)),
        };
        // If the caller has disconnected or does not read, the guard is dropped, which cancels the
        // request at the engine.
        if !send_chunk(context, &caller, chunk).await {
            return;
        }
        if let Some(outcome) = outcome {
            guard.end(outcome);
            if matches!(outcome, SendOutcome::Succeeded { .. }) {
                permit.record_success(used_tokens(usage));
                if let Some(claim) = &claim {
                    claim.completed(None);
                }
                tell(&context.routing, RequestSucceeded);
            }
            return;
        }
        next = tokio::select! {
            biased;
            () = caller.closed() => return,
            next = driver.step() => next,
        };
    }
}

async fn send_chunk(context: &GatewayContext, caller: &mpsc::Sender<Chunk>, chunk: Bytes) -> bool {
    let limit = context.settings.gateway.stalled_reader_limit;
    caller.send_timeout(Ok(chunk), limit).await.is_ok()
}

fn part_event(part: &AnswerPart) -> Bytes {
    Bytes::from(format!("id: {}\ndata: {}\n\n", part.id, part.data))
}

fn end_mark() -> Bytes {
    Bytes::from(format!("data: {DONE}\n\n"))
}

fn error_event(error: &AnswerError) -> Bytes {
    let problem = broken_answer_problem(error);
    let document = serde_json::to_string(&problem).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {document}\n\n"))
}

fn success_outcome(usage: Option<Usage>) -> SendOutcome {
    SendOutcome::Succeeded {
        output_tokens: usage.map_or(0, |usage| usage.completion_tokens),
        cached_tokens: usage.map(|usage| usage.cached_tokens),
    }
}

fn used_tokens(usage: Option<Usage>) -> u32 {
    usage.map_or(0, |usage| {
        usage.prompt_tokens.saturating_add(usage.completion_tokens)
    })
}

/// Collects all parts and answers with one JSON body.
///
/// # Errors
/// Returns the problem to send to the caller when the answer breaks off.
pub(super) async fn aggregated_answer(
    context: &GatewayContext,
    started: StartedAnswer,
    mut permit: Permit,
    claim: Option<Claim>,
) -> Result<Response<Body>, Problem> {
    let StartedAnswer {
        first,
        mut driver,
        guard,
        ..
    } = started;
    let mut aggregator = CompletionAggregator::default();
    aggregator.add(&first.parsed);
    loop {
        match driver.step().await {
            Ok(Step::Part(part)) => aggregator.add(&part.parsed),
            Ok(Step::Complete) => break,
            Err(error) => {
                guard.end(SendOutcome::Failed);
                return Err(broken_answer_problem(&error));
            }
        }
    }
    guard.end(success_outcome(aggregator.usage()));
    permit.record_success(used_tokens(aggregator.usage()));
    tell(&context.routing, RequestSucceeded);
    let answer = aggregator.finish();
    if let Some(claim) = claim {
        claim.completed(Some(&stored_answer(&answer)));
    }
    Ok(json_response(StatusCode::OK, &answer))
}

fn stored_answer(answer: &CompletionResponse) -> ClaimAnswer {
    ClaimAnswer {
        status: StatusCode::OK.as_u16(),
        content_type: String::from("application/json"),
        body: serde_json::to_vec(answer).unwrap_or_default(),
    }
}
