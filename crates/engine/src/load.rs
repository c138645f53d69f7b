//! Load of an engine, read from its metrics page.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use ponddrift_core::{EngineRole, Incarnation};
use ponddrift_http::{Client, body};
use prometheus_parse::{Scrape, Value};

use crate::completions::ensure_success;
use crate::error::CallError;
use crate::wire::load as names;

/// Largest metrics page accepted, in bytes.
const PAGE_SIZE_LIMIT: usize = 1024 * 1024;

/// What one reading of the metrics page showed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadSample {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Its role; `None` while it has none.
    pub role: Option<EngineRole>,
    /// Requests that wait for their prefill.
    pub waiting: u64,
    /// Sequences that are being decoded.
    pub running: u64,
    /// Prompt tokens that wait for prefill.
    pub waiting_prompt_tokens: u64,
    /// Share of the KV cache in use, 0 to 1.
    pub cache_used: f64,
    /// Prompt tokens prefilled since the engine's start.
    pub prompt_tokens: u64,
    /// Tokens generated since the engine's start.
    pub generated_tokens: u64,
}

/// Client of the metrics page.
#[derive(Clone)]
pub struct LoadClient {
    client: Client,
    time_limit: Duration,
}

impl LoadClient {
    /// A client with a time limit for each reading.
    #[must_use]
    pub fn new(client: Client, time_limit: Duration) -> Self {
        Self { client, time_limit }
    }

    /// Reads an engine's load.
    ///
    /// # Errors
    /// [`CallError`].
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
        let bytes = body::read_all(response.into_body(), PAGE_SIZE_LIMIT, self.time_limit).await?;
        parse(&String::from_utf8_lossy(&bytes))
    }
}

/// Reads the values that ponddrift uses out of a metrics page.
///
/// # Errors
/// [`CallError::Protocol`] when the page is not Prometheus text.
pub fn parse(page: &str) -> Result<LoadSample, CallError> {
    let lines = page.lines().map(|line| Ok(line.to_owned()));
    let scrape = Scrape::parse(lines).map_err(|error| CallError::Protocol(error.to_string()))?;
    let mut sample = LoadSample::default();
    for metric in &scrape.samples {
        let Some(value) = plain_value(&metric.value) else {
            continue;
        };
        match metric.metric.as_str() {
            names::WAITING => sample.waiting = whole(value),
            names::RUNNING => sample.running = whole(value),
            names::WAITING_PROMPT_TOKENS => sample.waiting_prompt_tokens = whole(value),
            names::CACHE_USED => sample.cache_used = value,
            names::PROMPT_TOKENS => sample.prompt_tokens = whole(value),
            names::GENERATED_TOKENS => sample.generated_tokens = whole(value),
            names::INCARNATION => sample.incarnation = Incarnation(whole(value)),
            names::ROLE if value > 0.0 => {
                sample.role = metric.labels.get("role").and_then(role_named);
            }
            _ => {}
        }
    }
    Ok(sample)
}

fn plain_value(value: &Value) -> Option<f64> {
    match value {
        Value::Counter(number) | Value::Gauge(number) | Value::Untyped(number) => Some(*number),
        Value::Histogram(_) | Value::Summary(_) => None,
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "as saturates"
)]
fn whole(value: f64) -> u64 {
    value as u64
}

fn role_named(name: &str) -> Option<EngineRole> {
    [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed]
        .into_iter()
        .find(|role| role.as_str() == name)
}
