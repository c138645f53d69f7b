//! Settings: a TOML file, validated completely before the daemon starts.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, Result};
use ponddrift_fleet::budget::BudgetSettings;
use ponddrift_fleet::capacity::CapacitySettings;
use ponddrift_fleet::leadership::Fencing;
use ponddrift_serving::pipeline::IntakeLimits;
use ponddrift_settings::{Fault, Faults, Reader};
use toml::Table;

/// Environment variable that names the settings file.
pub const PATH_VARIABLE: &str = "PONDDRIFT_NODE_FILE";

/// Name of the usage report call in `provider.calls`.
const USAGE_REPORT_CALL: &str = "usage_report";
/// Name of the call that orders engines in `provider.calls`.
const AUTOSCALE_CALL: &str = "autoscale";
/// Name in `overload.contracts` of the agreement under which callers may want more than there is.
const PRESSURE_CONTRACT: &str = "pressure";
const HOUR_MS: u64 = 3_600_000;
/// Greatest default of `limits.held_body_bytes`.
const MAX_DEFAULT_HELD_BYTES: u64 = 64 << 20;
/// Greatest default of `limits.connections`.
const MAX_DEFAULT_CONNECTIONS: u64 = 16_384;
/// What is held for callers and their connections may each take up one of so many bytes of the machine's
/// memory by default.
const MEMORY_DIVISOR: u64 = 4;
/// Memory of a connection: its read buffer, its head and its task.
const CONNECTION_BYTES: u64 = 24 << 10;
/// A graceful stop ends this long before the supervisor kills the process (`stop.grace_s`).
const GRACE_PERIOD_MARGIN: Duration = Duration::from_millis(700);

/// The validated settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this daemon, unique among its peers.
    pub name: Arc<str>,
    /// Zone of this daemon's machine.
    pub zone: Arc<str>,
    /// Whether this is the first start of the fleet: no daemon of it has run before.
    pub is_first_start: bool,
    /// Listen address for callers' requests.
    pub callers_address: SocketAddr,
    /// Listen address for readiness checks and metrics.
    pub readiness_address: SocketAddr,
    /// Further listen address for metrics, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Listen address for peers (UDP and TCP).
    pub peers_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Reads per second that the store accepts from all daemons together.
    pub store_reads_per_second: f64,
    /// Bandwidth of the machine's network link; 0 if unknown.
    pub link_megabits_per_second: u32,
    /// Peers to contact first. Their ports are ignored; the port of `listen.peers` is used instead.
    pub seeds: Vec<SocketAddr>,
    /// Limits on retries.
    pub retry_budget: BudgetSettings,
    /// Limits on the requests in progress and on their buffered bodies.
    pub intake_bounds: IntakeLimits,
    /// Duration of the leader's lease.
    pub leader_lease: Duration,
    /// Whether the receivers of the leader's calls check fencing tokens.
    pub fencing: Fencing,
    /// Address of the provider's API, if there is one.
    pub provider_address: Option<SocketAddr>,
    /// Usage reports; none if the provider does not accept them.
    pub usage: Option<UsageSettings>,
    /// How the number of engines is planned; none if the provider accepts no orders or operators
    /// set the number themselves.
    pub capacity: Option<CapacitySettings>,
    /// Whether the speed of each back end is learned, where the configuration has long streams.
    pub profiles: bool,
    /// Whether the number of engines follows a forecast of the load instead of its highest value.
    pub capacity_by_forecast: bool,
    /// Time limits of a graceful stop.
    pub stop: StopSettings,
    /// Filter of log lines, in the syntax of `tracing_subscriber::EnvFilter`.
    pub log_filter: String,
    /// Greatest number of log lines kept for a slow reader; lines beyond it are dropped.
    pub log_buffered_lines: usize,
}

/// Timing of usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a reporting window.
    pub window: Duration,
    /// A report must be sent within this time after the end of its window.
    pub due: Duration,
}

/// Time limits of a graceful stop, each measured from its beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSettings {
    /// Until then, requests may still be sent here, because not every sender has learned of the
    /// stop; afterwards idle connections are closed.
    pub notice_period: Duration,
    /// Until then, new requests are still accepted; afterwards they are refused.
    pub accept_period: Duration,
    /// After this time the process ends, even if requests are still in progress.
    pub exit_deadline: Duration,
}

/// Reads and checks the file at `path`.
///
/// # Errors
/// The outer result fails if the file cannot be read, the inner one if its contents are invalid.
pub fn read(path: &Path) -> Result<Result<Settings, Faults>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}: check --config", path.display()))?;
    Ok(check(&text))
}

/// Validates the text of a settings file.
///
/// # Errors
/// [`Faults`] with all invalid, missing and unknown settings, or with the syntax error of the file.
pub fn check(text: &str) -> Result<Settings, Faults> {
    let table: Table = text.parse().map_err(|error: toml::de::Error| {
        Faults(vec![Fault {
            key: String::from("(file)"),
            value: None,
            remedy: format!("is not valid TOML: {error}"),
        }])
    })?;
    let mut reader = Reader::new(table);
    let unspecified_address = SocketAddr::from(([0, 0, 0, 0], 0));
    let name = required_text(
        &mut reader,
        "daemon.name",
        "a name that is unique among the daemons",
    );
    let zone = required_text(&mut reader, "daemon.zone", "the name of the zone");
    let is_first_start = reader.flag("daemon.first_start", false);
    let callers_address =
        socket_address(&mut reader, "listen.callers").unwrap_or(unspecified_address);
    let readiness_address =
        socket_address(&mut reader, "listen.readiness").unwrap_or(unspecified_address);
    let peers_address = socket_address(&mut reader, "listen.peers").unwrap_or(unspecified_address);
    let metrics_address = reader
        .has("listen.metrics")
        .then(|| socket_address(&mut reader, "listen.metrics"))
        .flatten();
    let store_address = socket_address(&mut reader, "store.address").unwrap_or(unspecified_address);
    let store_reads_per_second = reader.fraction("store.reads_per_s", 2_000.0, 1.0..=1e9);
    let link_mbps = reader.fraction("peers.link_mbps", 0.0, 0.0..=10_000_000.0);
    let seeds = reader.addresses("peers.seeds", false);
    let retry_budget = BudgetSettings {
        ratio: reader.fraction("retry.budget_ratio", 0.2, 0.0..=10.0),
        slack: reader.fraction("retry.budget_slack", 10.0, 0.0..=100_000.0),
    };
    let intake_bounds = intake_limits(&mut reader);
    let leader_lease = reader.milliseconds("leader.lease_ms", 3_000, 1_000..=HOUR_MS);
    let fencing = fencing(&mut reader);
    let provider_address = reader
        .has("provider.address")
        .then(|| socket_address(&mut reader, "provider.address"))
        .flatten();
    let accepted_calls = reader
        .parsed(
            "provider.calls",
            Some(String::new()),
            "names separated by commas",
        )
        .unwrap_or_default();
    let is_accepted_call = |call| {
        provider_address.is_some() && accepted_calls.split(',').any(|name| name.trim() == call)
    };
    let usage = usage_settings(&mut reader, is_accepted_call(USAGE_REPORT_CALL));
    let capacity = capacity_settings(&mut reader, is_accepted_call(AUTOSCALE_CALL));
    let profiles = reader.flag("placement.profiles", true);
    let capacity_by_forecast = capacity_by_forecast(&mut reader);
    let stop = stop_settings(&mut reader);
    let log_filter = reader
        .parsed(
            "log.filter",
            Some(String::from("info")),
            "a log filter such as info",
        )
        .unwrap_or_default();
    let log_buffered_lines =
        saturating_usize(reader.number("log.lines_waiting", 8_192, 16..=1_000_000));
    reader.finish()?;
    Ok(Settings {
        name: Arc::from(name),
        zone: Arc::from(zone),
        is_first_start,
        callers_address,
        readiness_address,
        metrics_address,
        peers_address,
        store_address,
        store_reads_per_second,
        link_megabits_per_second: truncate_to_u32(link_mbps),
        seeds,
        retry_budget,
        intake_bounds,
        leader_lease,
        fencing,
        provider_address,
        usage,
        capacity,
        profiles,
        capacity_by_forecast,
        stop,
        log_filter,
        log_buffered_lines,
    })
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the reader accepts only values from 0 to ten million"
)]
const fn truncate_to_u32(number: f64) -> u32 {
    number as u32
}

fn required_text(reader: &mut Reader, key: &str, expected: &str) -> String {
    reader.parsed(key, None, expected).unwrap_or_default()
}

fn socket_address(reader: &mut Reader, key: &str) -> Option<SocketAddr> {
    reader.parsed(key, None, "an IP address and a port")
}

fn fencing(reader: &mut Reader) -> Fencing {
    if reader.flag("leader.fencing_checked", true) {
        Fencing::Checked
    } else {
        Fencing::Ignored
    }
}

/// Limits on what callers can make the daemon hold. Their defaults follow from the machine's memory
/// and descriptors.
fn intake_limits(reader: &mut Reader) -> IntakeLimits {
    let memory_megabytes = reader.number("limits.memory_mb", 0, 0..=1 << 24);
    let descriptors = reader.number("limits.descriptors", 0, 0..=1 << 24);
    let connections = default_connections(memory_megabytes, descriptors);
    let requests = reader.number("limits.requests_in_progress", 2_000, 1..=1_000_000);
    let held_bytes = reader.number(
        "limits.held_body_bytes",
        default_held_bytes(memory_megabytes),
        1 << 16..=1 << 40,
    );
    let connections = reader.number("limits.connections", connections, 16..=1 << 24);
    IntakeLimits {
        requests: saturating_usize(requests),
        held_bytes: saturating_usize(held_bytes),
        connections: saturating_usize(connections),
    }
}

/// A quarter of the memory, at most [`MAX_DEFAULT_HELD_BYTES`]; that much if the memory is not stated.
fn default_held_bytes(memory_megabytes: u64) -> u64 {
    match memory_megabytes {
        0 => MAX_DEFAULT_HELD_BYTES,
        stated => ((stated << 20) / MEMORY_DIVISOR).clamp(1 << 20, MAX_DEFAULT_HELD_BYTES),
    }
}

/// What a quarter of the memory and half of the descriptors suffice for; the other descriptors are for
/// back ends, the store, peers and files.
fn default_connections(memory_megabytes: u64, descriptors: u64) -> u64 {
    let descriptors = match descriptors {
        0 => descriptor_limit(),
        stated => stated,
    };
    let by_descriptors = (descriptors / 2).clamp(16, MAX_DEFAULT_CONNECTIONS);
    match memory_megabytes {
        0 => by_descriptors,
        stated => by_descriptors
            .min((stated << 20) / MEMORY_DIVISOR / CONNECTION_BYTES)
            .max(16),
    }
}

/// Descriptors that the process may open.
fn descriptor_limit() -> u64 {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.unwrap_or(MAX_DEFAULT_CONNECTIONS * 2)
}

fn usage_settings(reader: &mut Reader, is_accepted: bool) -> Option<UsageSettings> {
    let window = reader.fraction("usage.window_s", 60.0, 1.0..=86_400.0);
    let due = reader.fraction("usage.due_s", 60.0, 1.0..=86_400.0);
    is_accepted.then(|| UsageSettings {
        window: Duration::from_secs_f64(window),
        due: Duration::from_secs_f64(due),
    })
}

fn capacity_settings(reader: &mut Reader, is_accepted: bool) -> Option<CapacitySettings> {
    let is_planned = reader.flag("capacity.planned", true);
    let busy_share = reader.fraction("capacity.busy_share", 0.35, 0.05..=0.95);
    let on_demand_share = reader.fraction("capacity.on_demand_share", 0.0, 0.0..=1.0);
    (is_accepted && is_planned).then_some(CapacitySettings {
        busy_share,
        on_demand_share,
    })
}

/// The forecast plans for callers that want more at some times than at others; it is on by default
/// where the deployment says so.
fn capacity_by_forecast(reader: &mut Reader) -> bool {
    let contracts = reader
        .parsed(
            "overload.contracts",
            Some(String::new()),
            "names separated by commas",
        )
        .unwrap_or_default();
    let may_want_more = contracts
        .split(',')
        .any(|name| name.trim() == PRESSURE_CONTRACT);
    reader.flag("capacity.forecast", may_want_more)
}

fn stop_settings(reader: &mut Reader) -> StopSettings {
    let notice_period = reader.milliseconds("stop.notice_ms", 2_300, 0..=HOUR_MS);
    let accept_period = reader.milliseconds("stop.accept_ms", 3_000, 0..=HOUR_MS);
    let grace_period_s = reader.fraction("stop.grace_s", 30.0, 1.0..=3_600.0);
    let exit_deadline = Duration::from_secs_f64(grace_period_s).saturating_sub(GRACE_PERIOD_MARGIN);
    if notice_period > accept_period {
        let remedy = String::from("is longer than stop.accept_ms: set a smaller value");
        reader.report_conflict("stop.notice_ms", remedy);
    }
    if accept_period > exit_deadline {
        let remedy = String::from("is longer than stop.grace_s allows: set a smaller value");
        reader.report_conflict("stop.accept_ms", remedy);
    }
    StopSettings {
        notice_period,
        accept_period,
        exit_deadline,
    }
}
