//! What a daemon adds: each request goes through a daemon and straight to the same stand-in, in turn.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{ContextCompat, Result, bail};
use hdrhistogram::Histogram;
use http::{Request, StatusCode, header};
use http_body_util::BodyExt;
use ponddrift_engine::wire::completions::COMPLETIONS_PATH;
use ponddrift_engine::wire::headers;
use ponddrift_http::{Body, Client, ClientSettings, body};
use ponddrift_runtime::Runtime;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use crate::demo::fleet::{DemoFleet, FleetPlan};
use crate::demo::operator::OperatorClient;
use crate::engine::cost::CostModel;
use crate::records::RecordsSettings;

const MODEL: &str = "ledger-7b";
const SERVICE: &str = "reconcile";
const RECORDS_PREFIX: &str = "/services/vouchers";
/// Length of a looked-up record in bytes.
const RECORD_BYTES: u32 = 1_024;
/// Largest time that is told apart, in microseconds.
const HIGHEST_MICROSECONDS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How the measurement is run.
#[derive(Debug, Clone, Copy)]
pub struct OverheadSettings {
    /// Pairs that count, of each kind.
    pub pairs: u64,
    /// Pairs before them that do not.
    pub warm_up: u64,
    /// Seed of every random choice.
    pub seed: u64,
}

/// The figures.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadReport {
    /// Pairs that count, of each kind.
    pub pairs: u64,
    /// Time to the first byte of a streamed completion's body.
    pub completion: Comparison,
    /// Time to the first byte of a record's body.
    pub record: Comparison,
}

/// Both ways, and the difference within each pair.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    /// Straight to the stand-in.
    pub direct: Quantiles,
    /// Through a daemon.
    pub daemon: Quantiles,
    /// Through a daemon less straight, pair by pair; a negative difference counts as 0.
    pub added: Quantiles,
    /// Pairs in which the way through the daemon was the faster one.
    pub negative: u64,
}

/// Quantiles in microseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

/// Measures on a fleet of one daemon, one engine and one records service in this process.
///
/// # Errors
/// When a part does not start, or an answer is not 200.
pub async fn measure(settings: OverheadSettings) -> Result<OverheadReport> {
    let fleet = DemoFleet::start(settings.seed, plan()).await?;
    OperatorClient::new(fleet.operators()).configure().await?;
    fleet.wait_until_ready().await?;
    let first = |addresses: Vec<SocketAddr>| addresses.first().copied().wrap_err("no address");
    let (gateway, engine) = (first(fleet.gateways())?, first(fleet.engines())?);
    let records = first(fleet.records())?;
    let client = Client::new(&Runtime::system(settings.seed), ClientSettings::default());
    let completion = Pairs {
        client: &client,
        direct: Box::new(move |number| completion(engine, MODEL, number)),
        daemon: Box::new(move |number| completion(gateway, SERVICE, number)),
    };
    let record = Pairs {
        client: &client,
        direct: Box::new(move |number| record(records, "", number)),
        daemon: Box::new(move |number| record(gateway, RECORDS_PREFIX, number)),
    };
    Ok(OverheadReport {
        pairs: settings.pairs,
        completion: completion.compare(settings).await?,
        record: record.compare(settings).await?,
    })
}

/// Stand-ins that take as little time as they can, so that the daemon's part shows.
fn plan() -> FleetPlan {
    FleetPlan {
        daemons: 1,
        engine_models: vec![MODEL],
        cost: CostModel {
            prefill_tokens_per_second: 10_000_000.0,
            decode_base_seconds: 0.0,
            decode_sequence_seconds: 0.0,
            ..CostModel::default()
        },
        records: 1,
        records_settings: RecordsSettings {
            latency_ms: 0,
            latency_jitter_ms: 0,
            ..RecordsSettings::default()
        },
    }
}

type Builder = Box<dyn Fn(u64) -> http::Result<Request<Body>> + Send + Sync>;

/// Requests that go both ways.
struct Pairs<'a> {
    client: &'a Client,
    direct: Builder,
    daemon: Builder,
}

impl Pairs<'_> {
    async fn compare(&self, settings: OverheadSettings) -> Result<Comparison> {
        let (mut direct, mut daemon, mut added) = (histogram()?, histogram()?, histogram()?);
        let mut negative = 0;
        for number in 0..settings.warm_up + settings.pairs {
            // The order alternates, so that neither way always finds the caches warmed by the other.
            let (straight, through) = if number.is_multiple_of(2) {
                let straight = self.time((self.direct)(number)?).await?;
                (straight, self.time((self.daemon)(number)?).await?)
            } else {
                let through = self.time((self.daemon)(number)?).await?;
                (self.time((self.direct)(number)?).await?, through)
            };
            if number < settings.warm_up {
                continue;
            }
            direct.record(microseconds(straight))?;
            daemon.record(microseconds(through))?;
            added.record(microseconds(through.saturating_sub(straight)))?;
            negative += u64::from(through < straight);
        }
        Ok(Comparison {
            direct: quantiles(&direct),
            daemon: quantiles(&daemon),
            added: quantiles(&added),
            negative,
        })
    }

    /// Time until the first byte of the body; the rest is read, but not timed.
    async fn time(&self, request: Request<Body>) -> Result<Duration> {
        let begin = Instant::now();
        let mut response = self.client.send(request).await?;
        let first = response
            .body_mut()
            .frame()
            .await
            .wrap_err("an empty body")??;
        let time = begin.elapsed();
        if response.status() != StatusCode::OK || !first.is_data() {
            bail!("the answer is {}, not 200 with a body", response.status());
        }
        while let Some(frame) = response.body_mut().frame().await {
            frame?;
        }
        Ok(time)
    }
}

fn completion(target: SocketAddr, model: &str, number: u64) -> http::Result<Request<Body>> {
    let content = json!({
        "model": model,
        "prompt": format!("verdict on the ledger of firm {number}"),
        "max_tokens": 2,
        "stream": true,
    });
    Request::post(format!("http://{target}{COMPLETIONS_PATH}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(headers::REQUEST_ID, format!("{number:032x}"))
        .body(body::full(content.to_string()))
}

fn record(target: SocketAddr, prefix: &str, number: u64) -> http::Result<Request<Body>> {
    let uri = format!("http://{target}{prefix}/vouchers/{number}?size={RECORD_BYTES}");
    Request::get(uri)
        .header(headers::REQUEST_ID, format!("{number:032x}"))
        .body(body::empty())
}

fn histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_max(
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )?)
}

fn microseconds(time: Duration) -> u64 {
    let whole = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    whole.min(HIGHEST_MICROSECONDS)
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50_us: histogram.value_at_quantile(0.50),
        p99_us: histogram.value_at_quantile(0.99),
    }
}
