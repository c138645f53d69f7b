//! The completion calls, and the paths of an engine.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_engine::wire::cache_events::CACHE_EVENTS_PATH;
use ponddrift_engine::wire::completions::{
    CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, CompletionRequest, KvTransferParams, STREAMS_PATH,
};
use ponddrift_engine::wire::control::{CLAIM_PATH, ORDERS_PATH, STATE_PATH};
use ponddrift_engine::wire::headers;
use ponddrift_engine::wire::load::METRICS_PATH;
use ponddrift_http::{Body, Problem, ProblemKind};
use tokio::time::Instant;

use super::execution::{Shape, Stage, Wanted};
use super::host::COUNTERS_PATH;
use super::life::{Life, NotRun};
use super::load::metrics_page;
use super::prefix_cache::block_hashes;
use super::resume::{self, Attached, stream_response, wait_beyond};
use super::text;
use super::transfer::KV_PATH;
use crate::run_log::{RUNS_PATH, RunKey, header_text};
use crate::server::{
    Answer, DropConnection, StandIn, json_ok, not_found, read_json, text_response,
};

impl StandIn for Life {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(self.answer(request))
    }
}

impl Life {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let is_post = request.method() == Method::POST;
        match path.as_str() {
            COMPLETIONS_PATH if is_post => return self.complete(request, Shape::Text).await,
            CHAT_COMPLETIONS_PATH if is_post => return self.complete(request, Shape::Chat).await,
            CLAIM_PATH if is_post => return Ok(self.claim(request).await),
            ORDERS_PATH if is_post => return Ok(self.order(request).await),
            STATE_PATH => return Ok(json_ok(&self.report())),
            METRICS_PATH => return Ok(self.metrics()),
            CACHE_EVENTS_PATH => return Ok(self.cache_events.response()),
            RUNS_PATH => return Ok(json_ok(&self.shared.runs.report())),
            COUNTERS_PATH => return Ok(json_ok(&self.shared.counters())),
            _ => {}
        }
        if let Some(request_id) = path.strip_prefix(STREAMS_PATH) {
            return match *request.method() {
                Method::GET => resume::resume(self, request_id, &request).await,
                Method::DELETE => Ok(resume::cancel(&self, request_id)),
                _ => Ok(text_response(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "GET or DELETE",
                )),
            };
        }
        match path.strip_prefix(KV_PATH) {
            Some(handle) => Ok(self.exported(handle)),
            None => Ok(not_found(&path)),
        }
    }

    fn metrics(&self) -> Response<Body> {
        let lag = Duration::from_millis(self.shared.behaviour().metrics_lag_ms);
        let sample = self.lock().load.shown(Instant::now(), lag);
        metrics_page(sample, self.incarnation)
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>, shape: Shape) -> Answer {
        let header_map = request.headers().clone();
        let body: CompletionRequest = match read_json(request).await {
            Ok(body) => body,
            Err(refused) => return Ok(mark_not_run(refused.into_response())),
        };
        let prompt = text::prompt_text(&body);
        let mut wanted = wanted_of(&header_map, &body, &prompt, shape);
        if wanted.request_id.is_empty() {
            wanted.request_id = self.own_request_id();
            wanted.key.request_id.clone_from(&wanted.request_id);
        }
        if let Err(refusal) = self.check(&wanted) {
            return Ok(self.refuse(&wanted.key, refusal));
        }
        if let Some(KvTransferParams::Import { handle, source }) = &body.kv_transfer_params
            && let Err(reason) = self.import(handle, source, &wanted).await
        {
            self.shared.count(|counters| counters.import_failed += 1);
            self.count_refusal(&wanted.key);
            let failed = text_response(StatusCode::FAILED_DEPENDENCY, &reason);
            let mut failed = mark_not_run(failed);
            echo(&mut failed, &wanted.request_id);
            return Ok(failed);
        }
        self.run_request(wanted, &prompt).await
    }

    async fn run_request(self: Arc<Self>, wanted: Wanted, prompt: &str) -> Answer {
        let key = wanted.key.clone();
        let execution = match self.submit(wanted, block_hashes(prompt)) {
            Ok(execution) => execution,
            Err(refusal) => return Ok(self.refuse(&key, refusal)),
        };
        let streamed = execution.wanted.streamed && !execution.wanted.export;
        let grace = if streamed {
            Duration::from_millis(self.settings.resume_grace_ms)
        } else {
            Duration::ZERO
        };
        let attached = Attached::new(&self, &execution, grace);
        // The head waits for the first token, so that what never ran can still be refused as such.
        let first = if streamed { 0 } else { u32::MAX };
        let progress = wait_beyond(&execution, first).await;
        match progress.stage {
            Stage::NotRun => {
                let refusal = NotRun {
                    kind: ProblemKind::Unavailable,
                    detail: "this engine changed while the request waited: ask another".to_owned(),
                };
                Ok(self.refuse(&key, refusal))
            }
            Stage::Cut => Err(DropConnection),
            _ if streamed => Ok(stream_response(attached, 0)),
            _ => {
                let handle = execution
                    .wanted
                    .export
                    .then(|| self.keep_export(&execution.wanted));
                let mut response = json_ok(&execution.whole(handle));
                echo(&mut response, &execution.wanted.request_id);
                Ok(response)
            }
        }
    }

    fn count_refusal(&self, key: &RunKey) {
        self.shared.count(|counters| counters.refused += 1);
        self.shared.runs.record(key, |counts| counts.refused += 1);
    }

    fn refuse(&self, key: &RunKey, refusal: NotRun) -> Response<Body> {
        self.count_refusal(key);
        let problem = Problem::not_started(refusal.kind, refusal.detail);
        let mut response = problem.for_request(&key.request_id).into_response();
        echo(&mut response, &key.request_id);
        mark_not_run(response)
    }
}

fn wanted_of(headers: &HeaderMap, body: &CompletionRequest, prompt: &str, shape: Shape) -> Wanted {
    let key = RunKey::from_headers(headers);
    let from_header = || header_text(headers, headers::PRIORITY)?.parse().ok();
    let export = matches!(body.kv_transfer_params, Some(KvTransferParams::Export));
    let imported = matches!(
        body.kv_transfer_params,
        Some(KvTransferParams::Import { .. })
    );
    Wanted {
        request_id: key.request_id.clone(),
        key,
        model: body.model.clone(),
        shape,
        streamed: body.stream,
        export,
        imported,
        priority: body.priority.or_else(from_header).unwrap_or_default(),
        digest: text::prompt_digest(prompt),
        prompt_tokens: text::count_tokens(prompt).max(1),
        output_tokens: if export { 0 } else { text::output_tokens(body) },
    }
}

/// Echoes a request's id.
pub(super) fn echo(response: &mut Response<Body>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
}

fn mark_not_run(mut response: Response<Body>) -> Response<Body> {
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert(headers::NOT_RUN, value);
    response
}
