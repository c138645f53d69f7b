//! Figures of this daemon, in the text form of Prometheus.

use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Bounds of the latency histograms in seconds.
const LATENCY_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    kind: &'static str,
    outcome: &'static str,
    in_time: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RepeatLabels {
    granted: &'static str,
}

/// All figures.
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<EndLabels, Counter>,
    refused: Family<StatusLabels, Counter>,
    repeats: Family<RepeatLabels, Counter>,
    resumed: Counter,
    latency: Histogram,
    first_event: Histogram,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Daemons known.
    pub daemons: Gauge,
    /// Connections open to back ends.
    pub back_end_connections: Gauge,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Log lines that were dropped because the reader was slow.
    pub log_lines_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("ponddrift");
        let requests = Family::default();
        registry.register("requests", "Requests by kind and end", requests.clone());
        let refused = Family::default();
        registry.register(
            "refused",
            "Requests refused before a back end was chosen",
            refused.clone(),
        );
        let repeats = Family::default();
        registry.register(
            "repeats",
            "Sends beyond the first, granted or not",
            repeats.clone(),
        );
        let resumed = Counter::default();
        registry.register(
            "streams_resumed",
            "Streams that went on elsewhere",
            resumed.clone(),
        );
        let latency = Histogram::new(LATENCY_BOUNDS);
        registry.register("request_seconds", "Time of a request", latency.clone());
        let first_event = Histogram::new(LATENCY_BOUNDS);
        registry.register(
            "first_event_seconds",
            "Time to a stream's first event",
            first_event.clone(),
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let configuration_version = gauge(
            "configuration_version",
            "Version of the configuration in force",
        );
        let daemons = gauge("daemons", "Daemons known, this one among them");
        let back_end_connections = gauge("back_end_connections", "Connections open to back ends");
        let in_progress = gauge("requests_in_progress", "Requests in progress");
        let log_lines_dropped = gauge("log_lines_dropped", "Log lines dropped");
        Self {
            registry: Mutex::new(registry),
            requests,
            refused,
            repeats,
            resumed,
            latency,
            first_event,
            configuration_version,
            daemons,
            back_end_connections,
            in_progress,
            log_lines_dropped,
        }
    }
}

impl Metrics {
    pub(crate) fn ended(
        &self,
        kind: &'static str,
        outcome: &'static str,
        took: Duration,
        in_time: bool,
    ) {
        let labels = EndLabels {
            kind,
            outcome,
            in_time: yes_or_no(in_time),
        };
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(took.as_secs_f64());
    }

    pub(crate) fn refused(&self, status: u16) {
        self.refused.get_or_create(&StatusLabels { status }).inc();
    }

    pub(crate) fn repeat(&self, granted: bool) {
        let granted = yes_or_no(granted);
        self.repeats.get_or_create(&RepeatLabels { granted }).inc();
    }

    pub(crate) fn resumed(&self) {
        self.resumed.inc();
    }

    pub(crate) fn first_event(&self, waited: Duration) {
        self.first_event.observe(waited.as_secs_f64());
    }

    /// The figures as text.
    #[must_use]
    pub fn text(&self) -> String {
        let registry = self
            .registry
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut text = String::new();
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(_never) => String::new(),
        }
    }
}

const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
