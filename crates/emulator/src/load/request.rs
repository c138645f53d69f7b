//! Sending one request and checking its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ponddrift_engine::wire::completions::{
    CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, ChatMessage, CompletionRequest, CompletionResponse,
    DONE,
};
use ponddrift_engine::wire::headers;
use ponddrift_http::{Body, Client, Problem, body};
use tokio::time::Instant;

use super::RequestIds;
use super::outcome::{Outcome, RequestResult, Timing};
use super::trace::{TraceEntry, TraceWork};
use crate::engine::expected_text;
use crate::records::{PostingReceipt, expected_receipt, expected_record};
use crate::run_log::header_text;

/// Largest answer read, in bytes.
const ANSWER_SIZE_LIMIT: usize = 256 * 1024 * 1024;
/// Name of the event that ends a stream that could not be made whole.
const ERROR_EVENT: &str = "error";

/// One request to send.
pub(crate) struct Sending {
    pub(crate) client: Client,
    pub(crate) target: SocketAddr,
    /// The id sent; replaced by the daemon's if it names requests.
    pub(crate) request_id: String,
    pub(crate) ids: RequestIds,
    pub(crate) time_limit: Duration,
    pub(crate) entry: TraceEntry,
}

/// What an answer must be.
enum Expected {
    Text { text: String, streamed: bool },
    Bytes(Bytes),
    Receipt(PostingReceipt),
}

impl Sending {
    /// Sends the request and checks its answer.
    pub(crate) async fn run(mut self) -> RequestResult {
        let own_limit = self.entry.deadline_ms.map(Duration::from_millis);
        let limit = own_limit.unwrap_or(self.time_limit);
        let mut back_end = None;
        let exchange = self.exchange(&mut back_end);
        let outcome = match tokio::time::timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Outcome::TimedOut,
        };
        RequestResult {
            request_id: self.request_id,
            idempotency_key: self.entry.idempotency_key,
            repeatable: self.entry.repeatable,
            back_end,
            outcome,
        }
    }

    async fn exchange(&mut self, back_end: &mut Option<String>) -> Outcome {
        let (request, expected) = self.request();
        let begin = Instant::now();
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(error) if error.was_not_sent() => return Outcome::NotSent,
            Err(error) => return broken(&error),
        };
        *back_end = header_text(response.headers(), headers::BACK_END);
        let echoed = header_text(response.headers(), headers::REQUEST_ID);
        if let (RequestIds::Daemon, Some(given)) = (self.ids, &echoed) {
            self.request_id.clone_from(given);
        }
        if response.status() != StatusCode::OK {
            return refused(response, self.time_limit).await;
        }
        if echoed.as_deref() != Some(self.request_id.as_str()) {
            let message = format!("the answer carries the request id {echoed:?}");
            return Outcome::Wrong { message };
        }
        match expected {
            Expected::Text {
                text,
                streamed: true,
            } => self.read_stream(response, &text, begin).await,
            Expected::Text { text, .. } => self.read_whole(response, &text, begin).await,
            Expected::Bytes(bytes) => self.read_bytes(response, begin, |got| *got == bytes).await,
            Expected::Receipt(receipt) => {
                let is_own = |got: &Bytes| {
                    serde_json::from_slice::<PostingReceipt>(got).is_ok_and(|got| got == receipt)
                };
                self.read_bytes(response, begin, is_own).await
            }
        }
    }

    fn request(&self) -> (Request<Body>, Expected) {
        match &self.entry.work {
            TraceWork::Completion {
                model,
                prompt,
                max_tokens,
                stream,
                chat,
            } => {
                let prompt = prompt.text();
                let expected = Expected::Text {
                    text: expected_text(&prompt, *max_tokens),
                    streamed: *stream,
                };
                let path = if *chat {
                    CHAT_COMPLETIONS_PATH
                } else {
                    COMPLETIONS_PATH
                };
                let body = completion(model, prompt, *max_tokens, *stream, *chat);
                let bytes = serde_json::to_vec(&body).expect("wire types serialize");
                (self.build(Method::POST, path, Some(bytes)), expected)
            }
            TraceWork::Record {
                path,
                back_end_path,
            } => {
                let seen = back_end_path.as_deref().unwrap_or(path);
                let (seen_path, query) = match seen.split_once('?') {
                    Some((path, query)) => (path, Some(query)),
                    None => (seen, None),
                };
                let expected = Expected::Bytes(expected_record(seen_path, query));
                (self.build(Method::GET, path, None), expected)
            }
            TraceWork::Posting { path, body } => {
                let key = self.entry.idempotency_key.as_deref();
                let receipt = expected_receipt(&self.request_id, key, body.as_bytes());
                let request = self.build(Method::POST, path, Some(body.clone().into_bytes()));
                (request, Expected::Receipt(receipt))
            }
        }
    }

    fn build(&self, method: Method, path: &str, bytes: Option<Vec<u8>>) -> Request<Body> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.target))
            .header(headers::REQUEST_ID, &self.request_id);
        if let Some(tenant) = &self.entry.tenant {
            builder = builder.header(headers::TENANT, tenant);
        }
        if let Some(key) = &self.entry.idempotency_key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key);
        }
        if let Some(deadline) = self.entry.deadline_ms {
            builder = builder.header(headers::DEADLINE_MS, deadline);
        }
        let content = bytes.map_or_else(body::empty, body::full);
        builder
            .header(header::CONTENT_TYPE, "application/json")
            .body(content)
            .expect("a trace names valid paths and header values")
    }

    async fn read_stream(
        &self,
        response: Response<Incoming>,
        expected: &str,
        begin: Instant,
    ) -> Outcome {
        let mut events = response.into_body().into_data_stream().eventsource();
        let mut reading = StreamReading::new(&self.request_id, begin);
        while let Some(event) = events.next().await {
            let event = match event {
                Ok(event) => event,
                Err(error) => return broken(&error),
            };
            if event.event == ERROR_EVENT {
                return Outcome::ErrorEvent {
                    message: event.data,
                };
            }
            if event.data == DONE {
                return reading.end(expected);
            }
            if let Err(outcome) = reading.take(&event.id, &event.data) {
                return outcome;
            }
        }
        Outcome::SilentEnd
    }

    async fn read_whole(
        &self,
        response: Response<Incoming>,
        expected: &str,
        begin: Instant,
    ) -> Outcome {
        let bytes =
            match body::read_all(response.into_body(), ANSWER_SIZE_LIMIT, self.time_limit).await {
                Ok(bytes) => bytes,
                Err(error) => return broken(&error),
            };
        let Ok(answer) = serde_json::from_slice::<CompletionResponse>(&bytes) else {
            return wrong("the answer is no completion");
        };
        if answer.id != self.request_id {
            return wrong("the answer is another request's");
        }
        if text_of(&answer).as_deref() != Some(expected) {
            return wrong("the text is not this prompt's, or not whole");
        }
        let tokens = expected.split(' ').count();
        Outcome::Whole(timing(
            begin,
            begin.elapsed(),
            u32::try_from(tokens).unwrap_or(u32::MAX),
        ))
    }

    async fn read_bytes(
        &self,
        response: Response<Incoming>,
        begin: Instant,
        is_own: impl FnOnce(&Bytes) -> bool,
    ) -> Outcome {
        let first = begin.elapsed();
        match body::read_all(response.into_body(), ANSWER_SIZE_LIMIT, self.time_limit).await {
            Ok(bytes) if is_own(&bytes) => Outcome::Whole(timing(begin, first, 0)),
            Ok(_other) => wrong("the content is not this request's, or not whole"),
            Err(error) => broken(&error),
        }
    }
}

fn timing(begin: Instant, first: Duration, tokens: u32) -> Timing {
    Timing {
        first,
        between: None,
        total: begin.elapsed(),
        tokens,
        streamed: false,
    }
}

fn completion(
    model: &str,
    prompt: String,
    max_tokens: u32,
    stream: bool,
    chat: bool,
) -> CompletionRequest {
    let message = |content: String| ChatMessage {
        role: "user".to_owned(),
        content,
    };
    let (prompt, messages) = if chat {
        (None, Some(vec![message(prompt)]))
    } else {
        (Some(prompt), None)
    };
    CompletionRequest {
        model: model.to_owned(),
        prompt,
        messages,
        max_tokens: Some(max_tokens),
        stream,
        priority: None,
        kv_transfer_params: None,
        other: serde_json::Map::new(),
    }
}

/// Reading of a streamed answer: numbers, id, text and times.
struct StreamReading<'a> {
    request_id: &'a str,
    begin: Instant,
    last_number: u64,
    text: String,
    tokens: u32,
    first: Option<Instant>,
    last: Instant,
}

impl<'a> StreamReading<'a> {
    fn new(request_id: &'a str, begin: Instant) -> Self {
        Self {
            request_id,
            begin,
            last_number: 0,
            text: String::new(),
            tokens: 0,
            first: None,
            last: begin,
        }
    }

    fn take(&mut self, number: &str, data: &str) -> Result<(), Outcome> {
        if number.parse::<u64>().ok() != Some(self.last_number + 1) {
            let message = format!("event {number:?} follows event {}", self.last_number);
            return Err(Outcome::Wrong { message });
        }
        self.last_number += 1;
        let Ok(event) = serde_json::from_str::<CompletionResponse>(data) else {
            return Err(wrong("an event is no completion"));
        };
        if event.id != self.request_id {
            return Err(wrong("an event is another request's"));
        }
        let Some(piece) = text_of(&event) else {
            return Err(wrong("an event has no text"));
        };
        self.text.push_str(&piece);
        self.tokens += 1;
        self.last = Instant::now();
        self.first.get_or_insert(self.last);
        Ok(())
    }

    fn end(self, expected: &str) -> Outcome {
        if self.text != expected {
            return wrong("the streamed text is not this prompt's, or not whole");
        }
        let first = self.first.unwrap_or(self.last);
        let gaps = self.tokens.saturating_sub(1);
        Outcome::Whole(Timing {
            first: first - self.begin,
            between: (gaps > 0).then(|| (self.last - first) / gaps),
            total: self.begin.elapsed(),
            tokens: self.tokens,
            streamed: true,
        })
    }
}

fn text_of(answer: &CompletionResponse) -> Option<String> {
    let choice = answer.choices.first()?;
    let message = choice.message.as_ref().map(|message| &message.content);
    let delta = choice
        .delta
        .as_ref()
        .and_then(|delta| delta.content.as_ref());
    choice.text.as_ref().or(message).or(delta).cloned()
}

async fn refused(response: Response<Incoming>, time_limit: Duration) -> Outcome {
    let status = response.status().as_u16();
    let retry_after_s = retry_after(response.headers());
    let read = body::read_json::<Problem, _>(response.into_body(), ANSWER_SIZE_LIMIT, time_limit);
    match read.await {
        Ok(problem) => Outcome::Refused {
            status,
            problem: kind_name(&problem),
            execution: problem.execution,
            retry_after_s,
        },
        Err(_no_problem) => Outcome::Unexplained { status },
    }
}

fn retry_after(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}

fn kind_name(problem: &Problem) -> String {
    let value = serde_json::to_value(problem.kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn broken(error: &impl std::fmt::Display) -> Outcome {
    Outcome::Broken {
        message: error.to_string(),
    }
}

fn wrong(message: &str) -> Outcome {
    Outcome::Wrong {
        message: message.to_owned(),
    }
}
