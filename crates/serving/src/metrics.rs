//! Metrics of this daemon in the Prometheus text format.

mod paths;

use std::sync::Mutex;
use std::time::Duration;

use ponddrift_fleet::profiles::ProfileSummary;
use ponddrift_fleet::revision::{Era, Revision};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};

pub use paths::PathGaugeValues;
use paths::PathMetrics;

/// Bucket bounds of the latency histograms, in seconds.
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
struct RetryLabels {
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
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CapacityLabels {
    service: String,
    figure: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PromptTokenLabels {
    way: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ExtremeLabels {
    extreme: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnnouncementLabels {
    kind: &'static str,
    source: &'static str,
}

/// Values of the gauges, which are read periodically.
#[derive(Debug, Clone, Copy, Default)]
pub struct GaugeValues {
    /// Version of the configuration in force.
    pub configuration_version: u64,
    /// How long this daemon has used the configuration, in seconds.
    pub configuration_age_s: u64,
    /// Newest known revision of the store.
    pub newest_revision: Revision,
    /// Number of times that the store was restored from an older copy, as far as known.
    pub era: Era,
    /// Model engines that prefill prompts for others.
    pub prefill_engines: usize,
    /// Model engines that decode.
    pub decode_engines: usize,
    /// Slots of all model engines.
    pub engine_slots: u64,
    /// Requests known to be at model engines, from all daemons.
    pub engine_requests: u64,
    /// Known daemons, including this one.
    pub daemons: usize,
    /// Back ends that accept requests.
    pub back_ends: usize,
    /// Back ends that are ejected.
    pub ejected: usize,
    /// Back ends that asked this daemon to back off.
    pub backing_off: usize,
    /// Back ends that announced in an answer that they are draining.
    pub announced_draining: usize,
    /// Back ends that limit their request rate.
    pub rate_limited: usize,
    /// Profiles of back ends.
    pub profiles: ProfileSummary,
    /// Directory entries without a usable cold-start time.
    pub unusable_cold_times: u64,
    /// Directory entries that name no back end to use.
    pub unusable_entries: usize,
    /// Requests that are suspected of crashing engines.
    pub suspects: usize,
    /// Suspected requests that are quarantined.
    pub quarantined: usize,
    /// Connections open to back ends.
    pub connections: u32,
    /// Paths to back ends.
    pub paths: PathGaugeValues,
    /// Requests in progress.
    pub in_progress: usize,
    /// Bytes held for callers.
    pub held_bytes: usize,
    /// Log lines that were dropped because the log reader was too slow.
    pub log_lines_dropped: usize,
    /// Resident memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Open file descriptors of the process.
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
    profiles: Gauge,
    profile_extremes: Family<ExtremeLabels, Gauge<f64, std::sync::atomic::AtomicU64>>,
    profile_age_s: Gauge<f64, std::sync::atomic::AtomicU64>,
    unusable_cold_times: Gauge,
    unusable_entries: Gauge,
    suspects: Gauge,
    quarantined: Gauge,
    connections: Gauge,
    in_progress: Gauge,
    held_bytes: Gauge,
    log_lines_dropped: Gauge,
    memory_bytes: Gauge,
    descriptors: Gauge,
}

/// All metrics of this daemon.
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<EndLabels, Counter>,
    refused: Family<StatusLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    orders: Family<ResultLabels, Counter>,
    usage_reports: Family<ResultLabels, Counter>,
    engines_ordered: Family<ResultLabels, Counter>,
    capacity: Family<CapacityLabels, Gauge<f64, std::sync::atomic::AtomicU64>>,
    connections_opened: Family<ReasonLabels, Counter>,
    paths: PathMetrics,
    store_calls: Family<ResultLabels, Counter>,
    prompt_tokens: Family<PromptTokenLabels, Counter<f64, std::sync::atomic::AtomicU64>>,
    fetches: Counter,
    resumed: Counter,
    taken_up: Family<ResultLabels, Counter>,
    closed_unread: Family<ReasonLabels, Counter>,
    answers_unwritten: Counter,
    connections_closed: Family<ReasonLabels, Counter>,
    ejections: Counter,
    silences: Family<ResultLabels, Counter>,
    announcements: Family<AnnouncementLabels, Counter>,
    profile_rows: Family<ResultLabels, Counter>,
    runs_lost: Counter,
    exits_unconfirmed: Counter,
    quarantined: Counter,
    latency: Histogram,
    first_event: Histogram,
    gaps: Histogram,
    prefix_waits: Histogram,
    store_seconds: Histogram,
    gauges: Gauges,
}

/// Registers a metric with its default value.
fn register_default<M: Metric + Clone + Default>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
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
            requests: register_default(r, "requests", "Requests by route, kind and end"),
            refused: register_default(
                r,
                "refused",
                "Requests refused before a back end was chosen",
            ),
            attempts: register_default(r, "attempts", "Sends to back ends by purpose and end"),
            retries: register_default(r, "repeats", "Sends beyond the first, granted or not"),
            orders: register_default(r, "orders", "Orders to engines by result"),
            engines_ordered: register_default(r, "engines_ordered", "Orders of engines by result"),
            capacity: register_default(
                r,
                "capacity_engines",
                "Engines of a service that are present, needed and forecast, and the forecast's error",
            ),
            connections_opened: register_default(
                r,
                "back_end_connections_opened",
                "New connections to back ends by reason",
            ),
            paths: PathMetrics::new(r),
            usage_reports: register_default(
                r,
                "usage_reports",
                "Reports of a window's usage by result",
            ),
            store_calls: register_default(
                r,
                "store_calls",
                "Calls that follow the store, by result",
            ),
            prompt_tokens: register_default(
                r,
                "prompt_tokens",
                "Prompt tokens expected to be read or kept",
            ),
            fetches: register_default(r, "head_fetches", "Prompts whose head was to be fetched"),
            resumed: register_default(r, "streams_resumed", "Streams that went on elsewhere"),
            taken_up: register_default(
                r,
                "streams_taken_up",
                "Streams that callers took up again, by what is known of where they began",
            ),
            connections_closed: register_default(
                r,
                "caller_connections_closed",
                "Connections of callers that the daemon closed, by reason",
            ),
            answers_unwritten: register_default(
                r,
                "answers_unwritten",
                "Answers whose connection was closed before their last byte was written",
            ),
            closed_unread: register_default(
                r,
                "connections_closed_unread",
                "New connections closed unread while most came to this daemon, by what was full",
            ),
            ejections: register_default(r, "ejections", "Back ends found unwell"),
            silences: register_default(
                r,
                "requests_at_silent_services",
                "Requests whose back ends were all silent, by whether one came back in time",
            ),
            announcements: register_default(
                r,
                "announcements",
                "What back ends announced of themselves in answers, by kind and source",
            ),
            profile_rows: register_default(
                r,
                "profile_rows",
                "Rows of back-end profiles received from other daemons, by result",
            ),
            runs_lost: register_default(
                r,
                "runs_lost_with_engine",
                "Runs that ended because their engine did",
            ),
            exits_unconfirmed: register_default(
                r,
                "engine_exits_unconfirmed",
                "Runs that broke off at an engine of which no peer could tell whether it had exited",
            ),
            quarantined: register_default(
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
            prefix_waits: histogram(
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
            configuration_version: register_default(
                r,
                "configuration_version",
                "Configuration in force",
            ),
            configuration_age_s: register_default(
                r,
                "configuration_age_seconds",
                "Time that the configuration has been in force",
            ),
            engines: register_default(r, "engines", "Model engines by stage"),
            engine_slots: register_default(r, "engine_slots", "Slots of all model engines"),
            engine_requests: register_default(
                r,
                "engine_requests",
                "Requests known at model engines",
            ),
            newest_revision: register_default(
                r,
                "store_revision",
                "Newest revision of the store seen, in its era",
            ),
            era: register_default(
                r,
                "store_era",
                "How often the store has come back from an older copy",
            ),
            daemons: register_default(r, "daemons", "Daemons known, this one among them"),
            back_ends: register_default(r, "back_ends", "Back ends that the directory names"),
            suspects: register_default(
                r,
                "suspected_requests",
                "Requests that are remembered since engines ended under them",
            ),
            quarantined: register_default(
                r,
                "quarantined_requests",
                "Requests that are not run for now",
            ),
            ejected: register_default(
                r,
                "back_ends_ejected",
                "Back ends found unwell that get nothing",
            ),
            backing_off: register_default(
                r,
                "back_ends_backing_off",
                "Back ends that asked this daemon to back off for now",
            ),
            announced_draining: register_default(
                r,
                "back_ends_announced_draining",
                "Back ends that announced in an answer that they drain",
            ),
            rate_limited: register_default(
                r,
                "back_ends_rate_limited",
                "Back ends that limit the rate of all daemons' requests",
            ),
            profiles: register_default(r, "back_end_profiles", "Back ends whose speed is known"),
            profile_extremes: register_default(
                r,
                "back_end_profile_factor",
                "Time of the fastest and of the slowest back end relative to the average",
            ),
            profile_age_s: register_default(
                r,
                "back_end_profile_age_seconds",
                "Time since the newest sample of the back end that was sampled least recently",
            ),
            unusable_cold_times: register_default(
                r,
                "unusable_cold_times",
                "Back ends whose entries held no usable time of their slow start",
            ),
            unusable_entries: register_default(
                r,
                "unusable_back_end_entries",
                "Entries that cannot be decoded or name a service that is not configured",
            ),
            connections: register_default(
                r,
                "back_end_connections",
                "Connections open to back ends",
            ),
            held_bytes: register_default(r, "held_bytes", "Bytes held for callers"),
            in_progress: register_default(r, "requests_in_progress", "Requests in progress"),
            log_lines_dropped: register_default(
                r,
                "log_lines_dropped",
                "Log lines that found no room",
            ),
            memory_bytes: register_default(r, "memory_bytes", "Resident memory of the process"),
            descriptors: register_default(r, "descriptors", "Open descriptors of the process"),
        }
    }
}

impl Metrics {
    pub(crate) fn request_ended(
        &self,
        route: &str,
        kind: &'static str,
        outcome: &'static str,
        took: Duration,
        in_time: bool,
    ) {
        let labels = EndLabels {
            route: escaped(route),
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

    pub(crate) fn retry(&self, granted: bool) {
        let granted = yes_or_no(granted);
        self.retries.get_or_create(&RetryLabels { granted }).inc();
    }

    pub(crate) fn order(&self, result: &'static str) {
        self.orders.get_or_create(&ResultLabels { result }).inc();
    }

    pub(crate) fn engines_ordered(&self, result: &'static str) {
        self.engines_ordered
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// Sets a figure of capacity planning, in engines.
    pub(crate) fn capacity(&self, service: &str, figure: &'static str, engines: f64) {
        let labels = CapacityLabels {
            service: escaped(service),
            figure,
        };
        self.capacity.get_or_create(&labels).set(engines);
    }

    pub(crate) fn connection_opened(&self, reason: &'static str) {
        self.connections_opened
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    pub(crate) fn usage_report(&self, result: &'static str) {
        self.usage_reports
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// Counts a call that follows changes of the store.
    pub(crate) fn store_call(&self, result: &'static str) {
        self.store_calls
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// Records how long the store took to answer a lease renewal.
    pub(crate) fn store_answered(&self, took: Duration) {
        self.store_seconds.observe(took.as_secs_f64());
    }

    pub(crate) fn prompt(&self, tokens: f64, to_read: f64, is_fetched: bool) {
        let ways = [("read", to_read), ("kept", (tokens - to_read).max(0.0))];
        for (way, tokens) in ways {
            self.prompt_tokens
                .get_or_create(&PromptTokenLabels { way })
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

    /// Counts a request that was held while all its back ends were silent.
    pub(crate) fn silence_awaited(&self, has_ended: bool) {
        self.silence(if has_ended {
            "came_back"
        } else {
            "waited_in_vain"
        });
    }

    /// Counts a request that was not held although all its back ends were silent.
    pub(crate) fn silence_refused(&self) {
        self.silence("not_held");
    }

    fn silence(&self, result: &'static str) {
        self.silences.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a connection of a caller that was closed.
    pub(crate) fn connection_closed(&self, reason: &'static str) {
        self.connections_closed
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts an answer whose connection was closed before its last byte was written.
    pub(crate) fn answer_unwritten(&self) {
        self.answers_unwritten.inc();
    }

    /// Counts a new connection that was closed unread.
    pub(crate) fn connection_closed_unread(&self, reason: &'static str) {
        self.closed_unread
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a stream that a caller took up again, by what is known of where it began.
    pub(crate) fn stream_taken_up(&self, result: &'static str) {
        self.taken_up.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts an announcement of this kind by a back end.
    pub(crate) fn announcement(&self, kind: &'static str, source: &'static str) {
        let labels = AnnouncementLabels { kind, source };
        self.announcements.get_or_create(&labels).inc();
    }

    /// Counts a row of a back-end profile that another daemon published.
    pub(crate) fn profile_row(&self, result: &'static str) {
        self.profile_rows
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    pub(crate) fn quarantined(&self) {
        self.quarantined.inc();
    }

    pub(crate) fn run_lost(&self) {
        self.runs_lost.inc();
    }

    pub(crate) fn exit_unconfirmed(&self) {
        self.exits_unconfirmed.inc();
    }

    pub(crate) fn first_event(&self, waited: Duration) {
        self.first_event.observe(waited.as_secs_f64());
    }

    pub(crate) fn prefix_wait(&self, waited: Duration) {
        self.prefix_waits.observe(waited.as_secs_f64());
    }

    pub(crate) fn gap(&self, gap: Duration) {
        self.gaps.observe(gap.as_secs_f64());
    }

    /// Sets the gauges, which are read periodically.
    pub fn set_gauges(&self, values: &GaugeValues) {
        let gauges = &self.gauges;
        gauges
            .configuration_version
            .set(saturating_i64(values.configuration_version));
        gauges
            .configuration_age_s
            .set(saturating_i64(values.configuration_age_s));
        gauges.era.set(saturating_i64(values.era.restores()));
        gauges
            .newest_revision
            .set(saturating_i64(values.newest_revision.number()));
        let by_stage = [
            ("prefill", values.prefill_engines),
            ("decode", values.decode_engines),
        ];
        for (stage, engines) in by_stage {
            let gauge = gauges.engines.get_or_create(&StageLabels { stage });
            gauge.set(saturating_i64(engines));
        }
        gauges.engine_slots.set(saturating_i64(values.engine_slots));
        gauges
            .engine_requests
            .set(saturating_i64(values.engine_requests));
        gauges.daemons.set(saturating_i64(values.daemons));
        gauges.back_ends.set(saturating_i64(values.back_ends));
        gauges.ejected.set(saturating_i64(values.ejected));
        gauges.backing_off.set(saturating_i64(values.backing_off));
        gauges
            .announced_draining
            .set(saturating_i64(values.announced_draining));
        gauges.rate_limited.set(saturating_i64(values.rate_limited));
        let profiles = &values.profiles;
        gauges.profiles.set(saturating_i64(profiles.back_ends));
        for (extreme, factor) in [("fastest", profiles.fastest), ("slowest", profiles.slowest)] {
            if let Some(factor) = factor {
                let labels = ExtremeLabels { extreme };
                gauges.profile_extremes.get_or_create(&labels).set(factor);
            }
        }
        let profile_age = profiles.oldest.unwrap_or_default();
        gauges.profile_age_s.set(profile_age.as_secs_f64());
        gauges.suspects.set(saturating_i64(values.suspects));
        gauges.quarantined.set(saturating_i64(values.quarantined));
        gauges
            .unusable_cold_times
            .set(saturating_i64(values.unusable_cold_times));
        gauges
            .unusable_entries
            .set(saturating_i64(values.unusable_entries));
        self.paths.set(values.paths);
        gauges.connections.set(saturating_i64(values.connections));
        gauges.in_progress.set(saturating_i64(values.in_progress));
        gauges.held_bytes.set(saturating_i64(values.held_bytes));
        gauges
            .log_lines_dropped
            .set(saturating_i64(values.log_lines_dropped));
        gauges.memory_bytes.set(saturating_i64(values.memory_bytes));
        gauges.descriptors.set(saturating_i64(values.descriptors));
    }

    /// Encodes the metrics as text.
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

fn saturating_i64(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

/// Escapes the value of a label, which the metrics library writes as it is.
fn escaped(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
