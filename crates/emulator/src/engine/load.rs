//! Load as Prometheus text, as old as the settings say.

use std::collections::VecDeque;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use http::{HeaderValue, Response, header};
use ponddrift_core::{EngineRole, Incarnation};
use ponddrift_engine::wire::load;
use ponddrift_http::{Body, body};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::time::Instant;

use super::scheduler::SchedulerLoad;

/// The library puts this behind the name of each counter.
const COUNTER_SUFFIX: &str = "_total";

/// Load at one time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct LoadSample {
    load: SchedulerLoad,
    role: Option<EngineRole>,
}

/// Samples of the load, as far back as the lag reaches.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, LoadSample)>,
}

impl LoadHistory {
    /// Adds a sample.
    pub(super) fn record(
        &mut self,
        now: Instant,
        lag: Duration,
        load: SchedulerLoad,
        role: Option<EngineRole>,
    ) {
        self.samples.push_back((now, LoadSample { load, role }));
        self.drop_older(now, lag);
    }

    /// The load as it was `lag` ago.
    pub(super) fn shown(&mut self, now: Instant, lag: Duration) -> LoadSample {
        self.drop_older(now, lag);
        let first = self.samples.front();
        first.map(|(_time, sample)| *sample).unwrap_or_default()
    }

    /// Keeps the newest sample that is old enough, and all after it.
    fn drop_older(&mut self, now: Instant, lag: Duration) {
        while self
            .samples
            .get(1)
            .is_some_and(|(time, _sample)| *time + lag <= now)
        {
            self.samples.pop_front();
        }
    }
}

type FloatGauge = Gauge<f64, AtomicU64>;

/// The metrics page.
pub(super) fn metrics_page(sample: LoadSample, incarnation: Incarnation) -> Response<Body> {
    let mut registry = Registry::default();
    let load = sample.load;
    register_gauge(
        &mut registry,
        load::WAITING,
        "Requests that wait for their prefill",
        load.waiting as f64,
    );
    register_gauge(
        &mut registry,
        load::RUNNING,
        "Sequences that are being decoded",
        load.running as f64,
    );
    register_gauge(
        &mut registry,
        load::WAITING_PROMPT_TOKENS,
        "Prompt tokens that wait for prefill",
        load.waiting_prompt_tokens as f64,
    );
    register_gauge(
        &mut registry,
        load::CACHE_USED,
        "Share of the KV cache in use",
        load.cache_used,
    );
    register_counter(
        &mut registry,
        load::PROMPT_TOKENS,
        "Prompt tokens prefilled",
        load.prompt_tokens,
    );
    register_counter(
        &mut registry,
        load::GENERATED_TOKENS,
        "Tokens generated",
        load.generated_tokens,
    );
    // As an integer: an incarnation may not fit a float without loss.
    let own: Gauge<i64> = Gauge::default();
    own.set(i64::try_from(incarnation.0).unwrap_or(i64::MAX));
    registry.register(load::INCARNATION, "The engine's incarnation", own);
    register_role(&mut registry, sample.role);
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string does not fail");
    let mut response = Response::new(body::full(text));
    let kind =
        HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge = FloatGauge::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn register_counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    let name = name.strip_suffix(COUNTER_SUFFIX).unwrap_or(name);
    registry.register(name, help, counter);
}

fn register_role(registry: &mut Registry, role: Option<EngineRole>) {
    let roles: Family<[(&'static str, &'static str); 1], Gauge<i64>> = Family::default();
    for known in [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed] {
        let label = [("role", known.as_str())];
        roles
            .get_or_create(&label)
            .set(i64::from(role == Some(known)));
    }
    registry.register(load::ROLE, "1 for the role that the engine plays", roles);
}
