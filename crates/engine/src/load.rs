//! Client that reads an engine's load from its metrics page.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use ponddrift_core::{EngineRole, Incarnation};
use ponddrift_http::{Client, body};
use prometheus_parse::{Scrape, Value};

use crate::completions::ensure_success;
use crate::error::CallError;
use crate::wire::load as names;

/// Maximum size of a metrics page, in bytes.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Values of a metrics page at one time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadSample {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The engine's role; `None` while it has none.
    pub role: Option<EngineRole>,
    /// Number of requests waiting for prefill.
    pub waiting: u64,
    /// Number of sequences being decoded.
    pub running: u64,
    /// Number of prompt tokens waiting for prefill.
    pub waiting_prompt_tokens: u64,
    /// Fraction of the KV cache in use, from 0 to 1.
    pub cache_used: f64,
    /// Number of prompt tokens prefilled since the engine started.
    pub prompt_tokens: u64,
    /// Number of tokens generated since the engine started.
    pub generated_tokens: u64,
}

/// Client of engines' metrics pages.
#[derive(Clone)]
pub struct LoadClient {
    client: Client,
    time_limit: Duration,
}

impl LoadClient {
    /// Creates a client; `time_limit` applies to each call.
    #[must_use]
    pub fn new(client: Client, time_limit: Duration) -> Self {
        Self { client, time_limit }
    }

    /// Reads an engine's load.
    ///
    /// # Errors
    /// [`CallError`] when the page cannot be fetched within the time limit or cannot be parsed.
    pub async fn read(&self, engine: SocketAddr) -> Result<LoadSample, CallError> {
        tokio::time::timeout(self.time_limit, self.fetch(engine))
            .await
            .map_err(|_elapsed| CallError::TimedOut(self.time_limit))?
    }

    async fn fetch(&self, engine: SocketAddr) -> Result<LoadSample, CallError> {
        let request = Request::get(format!("http://{engine}{}", names::METRICS_PATH))
            .body(body::empty())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let response = ensure_success(self.client.send(request).await?).await?;
        let bytes = body::read_all(response.into_body(), MAX_PAGE_BYTES, self.time_limit).await?;
        parse(&String::from_utf8_lossy(&bytes))
    }
}

/// Parses a metrics page. Unknown metrics are ignored, missing ones keep their default.
///
/// # Errors
/// [`CallError::Protocol`] when the page is not Prometheus text.
pub fn parse(page: &str) -> Result<LoadSample, CallError> {
    let lines = page.lines().map(|line| Ok(line.to_owned()));
    let scrape = Scrape::parse(lines).map_err(|error| CallError::Protocol(error.to_string()))?;
    let mut sample = LoadSample::default();
    for metric in &scrape.samples {
        let Some(value) = scalar_value(&metric.value) else {
            continue;
        };
        match metric.metric.as_str() {
            names::WAITING => sample.waiting = saturating_u64(value),
            names::RUNNING => sample.running = saturating_u64(value),
            names::WAITING_PROMPT_TOKENS => sample.waiting_prompt_tokens = saturating_u64(value),
            names::CACHE_USED => sample.cache_used = value,
            names::PROMPT_TOKENS => sample.prompt_tokens = saturating_u64(value),
            names::GENERATED_TOKENS => sample.generated_tokens = saturating_u64(value),
            names::INCARNATION => sample.incarnation = Incarnation(saturating_u64(value)),
            names::ROLE if value > 0.0 => {
                sample.role = metric.labels.get("role").and_then(parse_role);
            }
            _ => {}
        }
    }
    Ok(sample)
}

fn scalar_value(value: &Value) -> Option<f64> {
    match value {
        Value::Counter(number) | Value::Gauge(number) | Value::Untyped(number) => Some(*number),
        Value::Histogram(_) | Value::Summary(_) => None,
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "`as` saturates"
)]
fn saturating_u64(value: f64) -> u64 {
    value as u64
}

fn parse_role(name: &str) -> Option<EngineRole> {
    [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed]
        .into_iter()
        .find(|role| role.as_str() == name)
}
