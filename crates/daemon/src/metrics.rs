//! Prometheus metrics of a daemon, on `GET /metrics` of the operator endpoint.

use std::time::Duration;

use http::StatusCode;
use ponddrift_http::ProblemKind;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// Factor between consecutive bucket bounds.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of histogram buckets; the last bound is about 32 s.
const BUCKETS: u16 = 16;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ProblemLabelValue(ProblemKind);

impl std::hash::Hash for ProblemLabelValue {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.title().hash(state);
    }
}

impl EncodeLabelValue for ProblemLabelValue {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        let name = serde_json::to_value(self.0).map_err(|_unserializable| std::fmt::Error)?;
        EncodeLabelValue::encode(&name.as_str().unwrap_or_default(), encoder)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProblemLabel {
    problem: ProblemLabelValue,
}

/// Direction of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Direction {
    Received,
    Sent,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabel {
    direction: Direction,
}

/// All metrics of a daemon.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<StatusLabel, Counter>,
    refusals: Family<ProblemLabel, Counter>,
    first_answer: Histogram,
    retries: Counter,
    peer_bytes: Family<DirectionLabel, Counter>,
    peer_datagrams: Family<DirectionLabel, Counter>,
    bad_datagrams: Counter,
    pub(crate) configuration_revision: Gauge,
    pub(crate) live_daemons: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("ponddrift"),
            requests: Family::default(),
            refusals: Family::default(),
            first_answer: Histogram::new(buckets),
            retries: Counter::default(),
            peer_bytes: Family::default(),
            peer_datagrams: Family::default(),
            bad_datagrams: Counter::default(),
            configuration_revision: Gauge::default(),
            live_daemons: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Callers' requests by status",
            self.requests.clone(),
        );
        registry.register(
            "refusals",
            "Refused requests by problem",
            self.refusals.clone(),
        );
        registry.register_with_unit(
            "first_answer",
            "Time from a request's arrival to the head of its answer",
            Unit::Seconds,
            self.first_answer.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register(
            "peer_bytes",
            "Bytes of peer datagrams",
            self.peer_bytes.clone(),
        );
        registry.register(
            "peer_datagrams",
            "Peer datagrams",
            self.peer_datagrams.clone(),
        );
        registry.register(
            "bad_datagrams",
            "Peer datagrams that could not be decoded",
            self.bad_datagrams.clone(),
        );
        registry.register(
            "configuration_revision",
            "Revision of the configuration in force",
            self.configuration_revision.clone(),
        );
        registry.register(
            "live_daemons",
            "Daemons believed alive",
            self.live_daemons.clone(),
        );
    }

    pub(crate) fn request_answered(&self, status: StatusCode, elapsed: Duration) {
        let label = StatusLabel {
            status: status.as_u16(),
        };
        self.requests.get_or_create(&label).inc();
        self.first_answer.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn request_refused(&self, kind: ProblemKind) {
        let label = ProblemLabel {
            problem: ProblemLabelValue(kind),
        };
        self.refusals.get_or_create(&label).inc();
    }

    pub(crate) fn retried(&self) {
        self.retries.inc();
    }

    pub(crate) fn datagram(&self, direction: Direction, bytes: usize) {
        let label = DirectionLabel { direction };
        self.peer_datagrams.get_or_create(&label).inc();
        self.peer_bytes
            .get_or_create(&label)
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    pub(crate) fn bad_datagram(&self) {
        self.bad_datagrams.inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        if encode(&mut page, &self.registry).is_err() {
            tracing::error!("encoding metrics failed");
        }
        page
    }
}
