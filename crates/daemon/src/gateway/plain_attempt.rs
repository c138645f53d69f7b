//! One attempt at a plain service: sends the request and waits for the response head.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response, header};
use http_body::Body as _;
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use ponddrift_core::answer::{
    AnswerAction, AnswerAssembler, AnswerError, AnswerEvent, AnswerKind, AnswerSettings,
    BodyFraming, ConnectionNumber,
};
use ponddrift_core::routing::{PlacementPlan, SendStage, Sent};
use ponddrift_engine::CallError;
use ponddrift_engine::error::says_not_run;
use ponddrift_engine::wire::headers;
use ponddrift_http::{Body, body};

use super::GatewayContext;
use super::attempt::{
    FailedAttempt, begin_dispatch, check_view, end_failed_send, find_machine, with_timeout,
};
use super::claim::Claim;
use super::plain::PlainJob;
use super::send_guard::SendGuard;
use crate::actors::routing::ReservedPlacement;

/// An answer whose head has arrived and belongs to this request.
pub(super) struct StartedBody {
    pub(super) head: http::response::Parts,
    pub(super) reader: BodyReader,
    pub(super) guard: SendGuard,
    pub(super) back_end: SocketAddr,
}

/// Reads a body and checks that it is complete.
pub(super) struct BodyReader {
    context: Arc<GatewayContext>,
    assembler: AnswerAssembler,
    stream: BodyDataStream<Incoming>,
}

impl BodyReader {
    /// Returns the next bytes, or `None` at the end of a complete answer.
    ///
    /// # Errors
    /// [`AnswerError`] when the answer is incomplete.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, AnswerError> {
        loop {
            let due = self.assembler.next_tick().unwrap_or_default();
            let event = tokio::select! {
                biased;
                chunk = self.stream.next() => bytes_event(chunk),
                () = tokio::time::sleep(due.since(self.context.now())) => AnswerEvent::Tick,
            };
            for action in self.feed(event) {
                match action {
                    AnswerAction::Forward(bytes) => return Ok(Some(bytes)),
                    AnswerAction::Complete => return Ok(None),
                    AnswerAction::Fail(error) => return Err(error),
                    AnswerAction::Disconnect | AnswerAction::Resume { .. } => {}
                }
            }
        }
    }

    fn feed(&mut self, event: AnswerEvent<Bytes>) -> Vec<AnswerAction<Bytes>> {
        self.assembler
            .handle(self.context.now(), ConnectionNumber(0), event)
    }
}

fn bytes_event(chunk: Option<Result<Bytes, hyper::Error>>) -> AnswerEvent<Bytes> {
    match chunk {
        Some(Ok(bytes)) => {
            let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            AnswerEvent::Bytes {
                length,
                payload: bytes,
            }
        }
        Some(Err(_broken)) => AnswerEvent::Broken,
        None => AnswerEvent::Closed,
    }
}

/// Runs one attempt up to the response head.
pub(super) async fn run(
    context: &Arc<GatewayContext>,
    job: &PlainJob,
    chosen: ReservedPlacement,
    claim: Option<&mut Claim>,
) -> Result<StartedBody, FailedAttempt> {
    // Held until routing knows of the send, so that no drain of the back end is acknowledged in
    // between.
    let ReservedPlacement {
        placement,
        reservation: _reservation,
    } = chosen;
    let back_end = match placement.plan {
        PlacementPlan::Single { back_end } => back_end,
        PlacementPlan::Handover { decode, .. } => decode,
    };
    let machine = find_machine(context, back_end)?;
    check_view(context, &machine).await?;
    begin_dispatch(claim, &machine)?;
    let sent = Sent {
        request: job.request_id,
        back_end,
        stage: SendStage::Whole,
        prompt_tokens: 0,
        prefix_blocks: Vec::new(),
        priority: job.priority,
    };
    let guard = SendGuard::begin(context, sent, None);
    let exchange = async {
        let request = build_request(job, machine.address, context)?;
        let response = context.client.send(request).await?;
        reject_if_not_run(response).await
    };
    let response = match with_timeout(job.deadline.since(context.now()), exchange).await {
        Ok(response) => response,
        Err(error) => return Err(end_failed_send(guard, &machine, &error)),
    };
    match start_reading(context, job, response) {
        Ok((head, reader)) => Ok(StartedBody {
            head,
            reader,
            guard,
            back_end: machine.address,
        }),
        Err(error) => {
            let error = CallError::Protocol(error.to_string());
            Err(end_failed_send(guard, &machine, &error))
        }
    }
}

async fn reject_if_not_run(response: Response<Incoming>) -> Result<Response<Incoming>, CallError> {
    if says_not_run(response.headers()) {
        return ponddrift_engine::completions::ensure_success(response).await;
    }
    Ok(response)
}

fn start_reading(
    context: &Arc<GatewayContext>,
    job: &PlainJob,
    response: Response<Incoming>,
) -> Result<(http::response::Parts, BodyReader), AnswerError> {
    let (head, incoming) = response.into_parts();
    let echoed = head.headers.get(headers::REQUEST_ID);
    let echoed = echoed.and_then(|value| value.to_str().ok()?.parse().ok());
    let framing = match incoming.size_hint().exact() {
        Some(length) => BodyFraming::Length(length),
        None if head.version == http::Version::HTTP_2 => BodyFraming::Delimited,
        None if head.headers.contains_key(header::TRANSFER_ENCODING) => BodyFraming::Delimited,
        None => BodyFraming::UntilClose,
    };
    let settings = AnswerSettings {
        idle_limit: context.settings.gateway.stream_idle_limit,
        ..AnswerSettings::default()
    };
    let assembler = AnswerAssembler::new(
        settings,
        context.now(),
        job.request_id,
        AnswerKind::Whole,
        job.deadline,
    );
    let mut reader = BodyReader {
        context: Arc::clone(context),
        assembler,
        stream: incoming.into_data_stream(),
    };
    for action in reader.feed(AnswerEvent::Head { echoed, framing }) {
        if let AnswerAction::Fail(error) = action {
            return Err(error);
        }
    }
    Ok((head, reader))
}

fn build_request(
    job: &PlainJob,
    back_end: SocketAddr,
    context: &GatewayContext,
) -> Result<Request<Body>, CallError> {
    let time_left = job.deadline.since(context.now()).as_millis();
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(format!("http://{back_end}{}", job.path))
        .header(headers::REQUEST_ID, job.request_id.to_string())
        .header(headers::PRIORITY, job.priority.to_string())
        .header(headers::DEADLINE_MS, time_left.to_string());
    for name in [header::CONTENT_TYPE, header::ACCEPT, header::RANGE] {
        if let Some(value) = job.headers.get(&name) {
            request = request.header(name, value);
        }
    }
    if let Some(key) = &job.caller.idempotency_key {
        request = request.header(headers::IDEMPOTENCY_KEY, key);
    }
    if let Some(traceparent) = &job.caller.traceparent {
        request = request.header("traceparent", traceparent);
    }
    request
        .body(body::full(job.body.clone()))
        .map_err(|error| CallError::NotSent(error.to_string()))
}
