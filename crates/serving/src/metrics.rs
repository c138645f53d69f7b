//! Figures of this daemon, in the text form of Prometheus.

use std::sync::Mutex;
use std::time::Duration;

use ponddrift_fleet::revision::{Era, Revision};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};

/// Bounds of the latency histograms in seconds.
const LATENCY_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    route: String,
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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    purpose: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WayLabels {
    way: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnnouncementLabels {
    kind: &'static str,
    source: &'static str,
}

/// Values that are looked up now and then.
#[derive(Debug, Clone, Copy, Default)]
pub struct GaugeValues {
    /// Version of the configuration in force.
    pub configuration_version: u64,
    /// How long it has been in force here, in seconds.
    pub configuration_age_s: u64,
    /// Newest revision of the store that was seen.
    pub newest_revision: Revision,
    /// How often the store has come back from an older copy, as far as is known.
    pub era: Era,
    /// Model engines that read prompts for others.
    pub prefill_engines: usize,
    /// Model engines that generate.
    pub decode_engines: usize,
    /// Slots of all model engines.
    pub engine_slots: u64,
    /// Requests known to be at model engines, of all daemons.
    pub engine_requests: u64,
    /// Daemons known, this one among them.
    pub daemons: usize,
    /// Back ends that take requests.
    pub back_ends: usize,
    /// Back ends that are ejected.
    pub ejected: usize,
    /// Back ends that asked this daemon to back off for now.
    pub backing_off: usize,
    /// Back ends that announced in an answer that they drain.
    pub announced_draining: usize,
    /// Back ends that limit the rate of requests.
    pub rate_limited: usize,
    /// Back ends whose entries held no usable time of their slow start.
    pub unusable_cold_times: u64,
    /// Requests that are remembered since engines ended under them.
    pub suspects: usize,
    /// Requests among them that are not run.
    pub quarantined: usize,
    /// Connections open to back ends.
    pub connections: u32,
    /// Requests in progress.
    pub in_progress: usize,
    /// Log lines that were dropped because the reader was slow.
    pub log_lines_dropped: usize,
    /// Memory of the process in bytes.
    pub memory_bytes: u64,
    /// Descriptors of the process.
    pub descriptors: usize,
}

struct Gauges {
    configuration_version: Gauge,
    configuration_age_s: Gauge,
    newest_revision: Gauge,
    era: Gauge,
    engines: Family<StageLabels, Gauge>,
    engine_slots: Gauge,
    engine_requests: Gauge,
    daemons: Gauge,
    back_ends: Gauge,
    ejected: Gauge,
    backing_off: Gauge,
    announced_draining: Gauge,
    rate_limited: Gauge,
    unusable_cold_times: Gauge,
    suspects: Gauge,
    quarantined: Gauge,
    connections: Gauge,
    in_progress: Gauge,
    log_lines_dropped: Gauge,
    memory_bytes: Gauge,
    descriptors: Gauge,
}

/// All figures.
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<EndLabels, Counter>,
    refused: Family<StatusLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    repeats: Family<RepeatLabels, Counter>,
    orders: Family<ResultLabels, Counter>,
    usage_reports: Family<ResultLabels, Counter>,
    engines_ordered: Family<ResultLabels, Counter>,
    store_calls: Family<ResultLabels, Counter>,
    prompt_tokens: Family<WayLabels, Counter<f64, std::sync::atomic::AtomicU64>>,
    fetches: Counter,
    resumed: Counter,
    ejections: Counter,
    announcements: Family<AnnouncementLabels, Counter>,
    runs_lost: Counter,
    quarantined: Counter,
    latency: Histogram,
    first_event: Histogram,
    gaps: Histogram,
    head_waits: Histogram,
    store_seconds: Histogram,
    gauges: Gauges,
}

/// Registers what is made by `Default`.
fn made<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

fn histogram(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let histogram = Histogram::new(LATENCY_BOUNDS);
    registry.register(name, help, histogram.clone());
    histogram
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("ponddrift");
        let r = &mut registry;
        let gauges = Gauges::new(r);
        Self {
            requests: made(r, "requests", "Requests by route, kind and end"),
            refused: made(
                r,
                "refused",
                "Requests refused before a back end was chosen",
            ),
            attempts: made(r, "attempts", "Sends to back ends by purpose and end"),
            repeats: made(r, "repeats", "Sends beyond the first, granted or not"),
            orders: made(r, "orders", "Orders to engines by result"),
            engines_ordered: made(r, "engines_ordered", "Orders of engines by result"),
            usage_reports: made(r, "usage_reports", "Reports of a window's usage by result"),
            store_calls: made(r, "store_calls", "Calls that follow the store, by result"),
            prompt_tokens: made(
                r,
                "prompt_tokens",
                "Prompt tokens expected to be read or kept",
            ),
            fetches: made(r, "head_fetches", "Prompts whose head was to be fetched"),
            resumed: made(r, "streams_resumed", "Streams that went on elsewhere"),
            ejections: made(r, "ejections", "Back ends found unwell"),
            announcements: made(
                r,
                "announcements",
                "What back ends announced of themselves in answers, by kind and source",
            ),
            runs_lost: made(
                r,
                "runs_lost_with_engine",
                "Runs that ended because their engine did",
            ),
            quarantined: made(
                r,
                "requests_quarantined",
                "Requests that were not run since engines ended under them",
            ),
            latency: histogram(r, "request_seconds", "Time of a request"),
            first_event: histogram(r, "first_event_seconds", "Time to a stream's first event"),
            gaps: histogram(
                r,
                "event_gap_seconds",
                "Time between two events of a stream",
            ),
            head_waits: histogram(
                r,
                "head_wait_seconds",
                "Time that requests waited while their prompt's head was read for another",
            ),
            store_seconds: histogram(r, "store_call_seconds", "Time of a lease's renewal"),
            gauges,
            registry: Mutex::new(registry),
        }
    }
}

impl Gauges {
    fn new(r: &mut Registry) -> Self {
        Self {
            configuration_version: made(r, "configuration_version", "Configuration in force"),
            configuration_age_s: made(
                r,
                "configuration_age_seconds",
                "Time that the configuration has been in force",
            ),
            engines: made(r, "engines", "Model engines by stage"),
            engine_slots: made(r, "engine_slots", "Slots of all model engines"),
            engine_requests: made(r, "engine_requests", "Requests known at model engines"),
            newest_revision: made(
                r,
                "store_revision",
                "Newest revision of the store seen, in its era",
            ),
            era: made(
                r,
                "store_era",
                "How often the store has come back from an older copy",
            ),
            daemons: made(r, "daemons", "Daemons known, this one among them"),
            back_ends: made(r, "back_ends", "Back ends that the directory names"),
            suspects: made(
                r,
                "suspected_requests",
                "Requests that are remembered since engines ended under them",
            ),
            quarantined: made(
                r,
                "quarantined_requests",
                "Requests that are not run for now",
            ),
            ejected: made(
                r,
                "back_ends_ejected",
                "Back ends found unwell that get nothing",
            ),
            backing_off: made(
                r,
                "back_ends_backing_off",
                "Back ends that asked this daemon to back off for now",
            ),
            announced_draining: made(
                r,
                "back_ends_announced_draining",
                "Back ends that announced in an answer that they drain",
            ),
            rate_limited: made(
                r,
                "back_ends_rate_limited",
                "Back ends that limit the rate of all daemons' requests",
            ),
            unusable_cold_times: made(
                r,
                "unusable_cold_times",
                "Back ends whose entries held no usable time of their slow start",
            ),
            connections: made(r, "back_end_connections", "Connections open to back ends"),
            in_progress: made(r, "requests_in_progress", "Requests in progress"),
            log_lines_dropped: made(r, "log_lines_dropped", "Log lines that found no room"),
            memory_bytes: made(r, "memory_bytes", "Resident memory of the process"),
            descriptors: made(r, "descriptors", "Open descriptors of the process"),
        }
    }
}

impl Metrics {
    pub(crate) fn ended(
        &self,
        route: &str,
        kind: &'static str,
        outcome: &'static str,
        took: Duration,
        in_time: bool,
    ) {
        let labels = EndLabels {
            route: route.to_owned(),
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

    pub(crate) fn attempt(&self, purpose: &'static str, outcome: &'static str) {
        let labels = AttemptLabels { purpose, outcome };
        self.attempts.get_or_create(&labels).inc();
    }

    pub(crate) fn repeat(&self, granted: bool) {
        let granted = yes_or_no(granted);
        self.repeats.get_or_create(&RepeatLabels { granted }).inc();
    }

    pub(crate) fn order(&self, result: &'static str) {
        self.orders.get_or_create(&ResultLabels { result }).inc();
    }

    pub(crate) fn engines_ordered(&self, result: &'static str) {
        self.engines_ordered
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    pub(crate) fn usage_report(&self, result: &'static str) {
        self.usage_reports
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// A call that follows the store ended.
    pub(crate) fn store_call(&self, result: &'static str) {
        self.store_calls
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// The store answered a small call.
    pub(crate) fn store_answered(&self, took: Duration) {
        self.store_seconds.observe(took.as_secs_f64());
    }

    pub(crate) fn prompt(&self, tokens: f64, to_read: f64, is_fetched: bool) {
        let ways = [("read", to_read), ("kept", (tokens - to_read).max(0.0))];
        for (way, tokens) in ways {
            self.prompt_tokens
                .get_or_create(&WayLabels { way })
                .inc_by(tokens);
        }
        if is_fetched {
            self.fetches.inc();
        }
    }

    pub(crate) fn resumed(&self) {
        self.resumed.inc();
    }

    pub(crate) fn ejected(&self) {
        self.ejections.inc();
    }

    /// A back end announced something of itself with an answer of this kind.
    pub(crate) fn announcement(&self, kind: &'static str, source: &'static str) {
        let labels = AnnouncementLabels { kind, source };
        self.announcements.get_or_create(&labels).inc();
    }

    pub(crate) fn quarantined(&self) {
        self.quarantined.inc();
    }

    pub(crate) fn run_lost(&self) {
        self.runs_lost.inc();
    }

    pub(crate) fn first_event(&self, waited: Duration) {
        self.first_event.observe(waited.as_secs_f64());
    }

    pub(crate) fn head_wait(&self, waited: Duration) {
        self.head_waits.observe(waited.as_secs_f64());
    }

    pub(crate) fn gap(&self, gap: Duration) {
        self.gaps.observe(gap.as_secs_f64());
    }

    /// Takes values that are looked up now and then.
    pub fn set_gauges(&self, values: &GaugeValues) {
        let gauges = &self.gauges;
        gauges
            .configuration_version
            .set(signed(values.configuration_version));
        gauges
            .configuration_age_s
            .set(signed(values.configuration_age_s));
        gauges.era.set(signed(values.era.restores()));
        gauges
            .newest_revision
            .set(signed(values.newest_revision.number()));
        let by_stage = [
            ("prefill", values.prefill_engines),
            ("decode", values.decode_engines),
        ];
        for (stage, engines) in by_stage {
            let gauge = gauges.engines.get_or_create(&StageLabels { stage });
            gauge.set(signed(engines));
        }
        gauges.engine_slots.set(signed(values.engine_slots));
        gauges.engine_requests.set(signed(values.engine_requests));
        gauges.daemons.set(signed(values.daemons));
        gauges.back_ends.set(signed(values.back_ends));
        gauges.ejected.set(signed(values.ejected));
        gauges.backing_off.set(signed(values.backing_off));
        gauges
            .announced_draining
            .set(signed(values.announced_draining));
        gauges.rate_limited.set(signed(values.rate_limited));
        gauges.suspects.set(signed(values.suspects));
        gauges.quarantined.set(signed(values.quarantined));
        gauges
            .unusable_cold_times
            .set(signed(values.unusable_cold_times));
        gauges.connections.set(signed(values.connections));
        gauges.in_progress.set(signed(values.in_progress));
        gauges
            .log_lines_dropped
            .set(signed(values.log_lines_dropped));
        gauges.memory_bytes.set(signed(values.memory_bytes));
        gauges.descriptors.set(signed(values.descriptors));
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

fn signed(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
