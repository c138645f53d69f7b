//! Connections to an engine that carry one streamed answer.

use std::net::SocketAddr;

use futures::StreamExt;
use http::Response;
use hyper::body::Incoming;
use ponddrift_core::RequestId;
use ponddrift_core::answer::{AnswerEvent, BodyFraming, ConnectionNumber};
use ponddrift_engine::CallError;
use ponddrift_engine::completions::{
    CallContext, CompletionsClient, EventStream, StreamEvent, events, is_unknown_stream,
};
use ponddrift_engine::wire::completions::{CompletionRequest, CompletionResponse, DONE};
use ponddrift_engine::wire::headers::REQUEST_ID;

/// One event of an answer, with the JSON text and its parsed form.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct AnswerPart {
    /// Event number, used to resume the stream.
    pub(super) id: u64,
    /// The JSON text exactly as the engine sent it.
    pub(super) data: String,
    /// The parsed JSON.
    pub(super) parsed: CompletionResponse,
}

/// The connection that currently carries the answer.
pub(super) struct EngineConnection {
    client: CompletionsClient,
    engine: SocketAddr,
    request_id: RequestId,
    number: ConnectionNumber,
    stream: Option<EventStream>,
}

impl EngineConnection {
    /// Sends a request and waits for the response head, which the engine sends with the first
    /// token.
    ///
    /// # Errors
    /// [`CallError`] when the request could not be sent or the engine did not accept it.
    pub(super) async fn open(
        client: &CompletionsClient,
        engine: SocketAddr,
        path: &str,
        completion: &CompletionRequest,
        call: &CallContext,
    ) -> Result<(Self, AnswerEvent<AnswerPart>), CallError> {
        let response = client.open(engine, path, completion, call).await?;
        let head = head_event(&response);
        let connection = Self {
            client: client.clone(),
            engine,
            request_id: call.request_id,
            number: ConnectionNumber(0),
            stream: Some(events(response)),
        };
        Ok((connection, head))
    }

    pub(super) fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Closes the connection. No further events come from it.
    pub(super) fn disconnect(&mut self) {
        self.stream = None;
    }

    /// Opens connection number `number` to receive the events that follow event `after`.
    pub(super) async fn resume(
        &mut self,
        number: ConnectionNumber,
        after: Option<u64>,
    ) -> AnswerEvent<AnswerPart> {
        self.number = number;
        let last = after.unwrap_or(0);
        match self.client.resume(self.engine, self.request_id, last).await {
            Ok(response) => {
                let head = head_event(&response);
                self.stream = Some(events(response));
                head
            }
            Err(error) if is_unknown_stream(&error) => AnswerEvent::ResumeRefused,
            Err(_other) => AnswerEvent::Broken,
        }
    }

    /// Waits for the next event. Never returns while there is no connection.
    pub(super) async fn next(&mut self) -> AnswerEvent<AnswerPart> {
        let Some(stream) = &mut self.stream else {
            return std::future::pending().await;
        };
        match stream.next().await {
            Some(Ok(event)) => part_event(event),
            Some(Err(_broken)) => AnswerEvent::Broken,
            None => AnswerEvent::Closed,
        }
    }
}

fn head_event(response: &Response<Incoming>) -> AnswerEvent<AnswerPart> {
    let echoed = response.headers().get(REQUEST_ID);
    let echoed = echoed.and_then(|value| value.to_str().ok()?.parse().ok());
    AnswerEvent::Head {
        echoed,
        framing: BodyFraming::Delimited,
    }
}

fn part_event(event: StreamEvent) -> AnswerEvent<AnswerPart> {
    if event.data == DONE {
        return AnswerEvent::EndMark { id: event.id };
    }
    let Ok(parsed) = serde_json::from_str::<CompletionResponse>(&event.data) else {
        return AnswerEvent::Broken;
    };
    let echoed = parsed.id.parse().ok();
    let id = event.id;
    let payload = AnswerPart {
        id: id.unwrap_or_default(),
        data: event.data,
        parsed,
    };
    AnswerEvent::Part {
        id,
        echoed,
        payload,
    }
}
