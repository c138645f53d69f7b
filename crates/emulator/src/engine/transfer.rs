//! Hand-over of KV caches between engines.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use indexmap::IndexMap;
use ponddrift_http::{Body, body};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::execution::Wanted;
use super::life::Life;
use crate::server::{json_ok, text_response};

/// `GET /v1/kv/<handle>`: [`KvExport`], or 404.
pub const KV_PATH: &str = "/v1/kv/";
/// Time the exporting engine has to answer.
const FETCH_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Largest answer read, in bytes.
const FETCH_SIZE_LIMIT: usize = 64 * 1024;

/// An exported KV cache (its description: the content is simulated).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The model it belongs to.
    pub model: String,
    /// Identity of the prompt.
    pub prompt_digest: u64,
    /// Tokens of the prompt.
    pub tokens: u32,
}

/// Exports that are kept.
#[derive(Debug, Default)]
pub(super) struct Exports {
    count: u64,
    entries: IndexMap<String, (Instant, KvExport)>,
}

impl Exports {
    fn keep(&mut self, name: u64, keep: Duration, export: KvExport) -> String {
        let now = Instant::now();
        self.entries
            .retain(|_handle, (until, _export)| *until > now);
        self.count += 1;
        let handle = format!("{name:x}-{}", self.count);
        self.entries.insert(handle.clone(), (now + keep, export));
        handle
    }

    fn find(&self, handle: &str) -> Option<&KvExport> {
        let (until, export) = self.entries.get(handle)?;
        (*until > Instant::now()).then_some(export)
    }

    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }
}

impl Life {
    /// Keeps the KV cache of a prefill; gives its handle.
    pub(super) fn keep_export(&self, wanted: &Wanted) -> String {
        let export = KvExport {
            model: wanted.model.clone(),
            prompt_digest: wanted.digest,
            tokens: wanted.prompt_tokens,
        };
        let keep = Duration::from_millis(self.settings.export_keep_ms);
        self.shared.count(|counters| counters.exported += 1);
        self.lock().exports.keep(self.incarnation.0, keep, export)
    }

    /// Answers `GET /v1/kv/<handle>`.
    pub(super) fn exported(&self, handle: &str) -> Response<Body> {
        match self.lock().exports.find(handle) {
            Some(export) => json_ok(export),
            None => text_response(StatusCode::NOT_FOUND, "no such KV cache is kept here"),
        }
    }

    /// Fetches the KV cache of a request's prompt.
    pub(super) async fn import(
        &self,
        handle: &str,
        source: &str,
        wanted: &Wanted,
    ) -> Result<(), String> {
        let source: SocketAddr = source
            .parse()
            .map_err(|_| format!("the source {source:?} is not IP:port"))?;
        let fetched = tokio::time::timeout(FETCH_TIME_LIMIT, self.fetch_export(handle, source));
        let export = fetched
            .await
            .map_err(|_| format!("{source} did not hand over within {FETCH_TIME_LIMIT:?}"))??;
        if export.prompt_digest != wanted.digest || export.model != wanted.model {
            return Err("the KV cache belongs to another prompt or model".to_owned());
        }
        tokio::time::sleep(self.settings.cost.import_time(export.tokens)).await;
        self.shared.count(|counters| counters.imported += 1);
        Ok(())
    }

    async fn fetch_export(&self, handle: &str, source: SocketAddr) -> Result<KvExport, String> {
        let request = Request::get(format!("http://{source}{KV_PATH}{handle}"))
            .body(body::empty())
            .map_err(|error| format!("the handle does not fit into a path: {error}"))?;
        let response = self
            .client
            .send(request)
            .await
            .map_err(|error| error.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("{source} answered {}", response.status()));
        }
        body::read_json(response.into_body(), FETCH_SIZE_LIMIT, FETCH_TIME_LIMIT)
            .await
            .map_err(|error| error.to_string())
    }
}
