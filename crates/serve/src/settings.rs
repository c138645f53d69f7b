//! Settings: a TOML file, checked as a whole before anything starts.

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

/// Among the provider's calls, usage reports.
const USAGE_REPORT: &str = "usage_report";
/// Among the provider's calls, orders of engines.
const AUTOSCALE: &str = "autoscale";
const HOUR_MS: u64 = 3_600_000;
/// A planned stop ends this long before whoever asked for it ends the process.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// The checked settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this daemon, alone among its peers.
    pub name: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Whether no daemon of this fleet has run before.
    pub is_first_start: bool,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for, and figures.
    pub readiness: SocketAddr,
    /// Where figures are asked for beside that; none if there is no such place.
    pub metrics: Option<SocketAddr>,
    /// Where peers are heard (UDP and TCP).
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Reads that the store takes in a second from all daemons together.
    pub store_reads_per_second: f64,
    /// Speed of the machine's link in megabits a second; 0 where it is not known.
    pub link_megabits: u32,
    /// Peers to begin with; the port is that of `listen.peers`.
    pub seeds: Vec<SocketAddr>,
    /// Bounds of repeats.
    pub budget: BudgetSettings,
    /// Bounds of what is taken in at a time.
    pub bounds: IntakeLimits,
    /// Life of the lease under which one daemon leads.
    pub leader_lease: Duration,
    /// Whether receivers of the leader's calls check fencing tokens.
    pub fencing: Fencing,
    /// The provider's API; none where there is none.
    pub provider: Option<SocketAddr>,
    /// Usage reports; none where nobody takes them.
    pub usage: Option<UsageSettings>,
    /// How the number of engines is planned; none where nobody takes orders, or operators do it themselves.
    pub capacity: Option<CapacitySettings>,
    /// A planned stop.
    pub stop: StopSettings,
    /// Filter of the log.
    pub log_filter: String,
    /// Lines of the log that wait for a slow reader, at most.
    pub log_lines_waiting: usize,
}

/// Usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a reporting window.
    pub window: Duration,
    /// A report is due so long after its window ends.
    pub due: Duration,
}

/// Times of a planned stop, from its beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSettings {
    /// Until then callers may be sent here, since not all know of the stop.
    pub notice: Duration,
    /// Until then requests are taken that come all the same.
    pub accept: Duration,
    /// Then the process ends, whatever is in progress.
    pub limit: Duration,
}

/// Reads and checks the file at `path`.
///
/// # Errors
/// When the file cannot be read. Faults of its contents are the inner result.
pub fn read(path: &Path) -> Result<Result<Settings, Faults>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("{} cannot be read: check --config", path.display()))?;
    Ok(check(&text))
}

/// Checks the text of a settings file; all faults are told at once.
///
/// # Errors
/// [`Faults`].
pub fn check(text: &str) -> Result<Settings, Faults> {
    let table: Table = text.parse().map_err(|error: toml::de::Error| {
        Faults(vec![Fault {
            key: String::from("(file)"),
            value: None,
            remedy: format!("is not TOML: {error}"),
        }])
    })?;
    let mut reader = Reader::new(table);
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let name = text_of(
        &mut reader,
        "daemon.name",
        "a name that no other daemon has",
    );
    let zone = text_of(&mut reader, "daemon.zone", "the zone's name");
    let is_first_start = reader.flag("daemon.first_start", false);
    let callers = address(&mut reader, "listen.callers").unwrap_or(nowhere);
    let readiness = address(&mut reader, "listen.readiness").unwrap_or(nowhere);
    let peers = address(&mut reader, "listen.peers").unwrap_or(nowhere);
    let metrics = reader
        .has("listen.metrics")
        .then(|| address(&mut reader, "listen.metrics"))
        .flatten();
    let store = address(&mut reader, "store.address").unwrap_or(nowhere);
    let store_reads_per_second = reader.fraction("store.reads_per_s", 2_000.0, 1.0..=1e9);
    let link = reader.fraction("peers.link_mbps", 0.0, 0.0..=10_000_000.0);
    let seeds = reader.addresses("peers.seeds", false);
    let budget = BudgetSettings {
        ratio: reader.fraction("retry.budget_ratio", 0.2, 0.0..=10.0),
        slack: reader.fraction("retry.budget_slack", 10.0, 0.0..=100_000.0),
    };
    let bounds = IntakeLimits {
        requests: count(reader.number("limits.requests_in_progress", 2_000, 1..=1_000_000)),
        body_bytes: count(reader.number("limits.held_body_bytes", 64 << 20, 1 << 16..=1 << 40)),
    };
    let leader_lease = reader.milliseconds("leader.lease_ms", 3_000, 1_000..=HOUR_MS);
    let fencing = fencing(&mut reader);
    let provider = reader
        .has("provider.address")
        .then(|| address(&mut reader, "provider.address"))
        .flatten();
    let calls = reader
        .parsed(
            "provider.calls",
            Some(String::new()),
            "names, parted by commas",
        )
        .unwrap_or_default();
    let takes = |call| provider.is_some() && calls.split(',').any(|name| name.trim() == call);
    let usage = usage_settings(&mut reader, takes(USAGE_REPORT));
    let capacity = capacity_settings(&mut reader, takes(AUTOSCALE));
    let stop = stop_settings(&mut reader);
    let log_filter = reader
        .parsed(
            "log.filter",
            Some(String::from("info")),
            "a filter such as info",
        )
        .unwrap_or_default();
    let log_lines_waiting = count(reader.number("log.lines_waiting", 8_192, 16..=1_000_000));
    reader.finish()?;
    Ok(Settings {
        name: Arc::from(name),
        zone: Arc::from(zone),
        is_first_start,
        callers,
        readiness,
        metrics,
        peers,
        store,
        store_reads_per_second,
        link_megabits: whole(link),
        seeds,
        budget,
        bounds,
        leader_lease,
        fencing,
        provider,
        usage,
        capacity,
        stop,
        log_filter,
        log_lines_waiting,
    })
}

fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked before: not negative, and far below the largest"
)]
const fn whole(number: f64) -> u32 {
    number as u32
}

fn text_of(reader: &mut Reader, key: &str, what: &str) -> String {
    reader.parsed(key, None, what).unwrap_or_default()
}

fn address(reader: &mut Reader, key: &str) -> Option<SocketAddr> {
    reader.parsed(key, None, "an IP number and a port")
}

fn fencing(reader: &mut Reader) -> Fencing {
    if reader.flag("leader.fencing_checked", true) {
        Fencing::Checked
    } else {
        Fencing::Ignored
    }
}

fn usage_settings(reader: &mut Reader, is_taken: bool) -> Option<UsageSettings> {
    let window = reader.fraction("usage.window_s", 60.0, 1.0..=86_400.0);
    let due = reader.fraction("usage.due_s", 60.0, 1.0..=86_400.0);
    is_taken.then(|| UsageSettings {
        window: Duration::from_secs_f64(window),
        due: Duration::from_secs_f64(due),
    })
}

fn capacity_settings(reader: &mut Reader, is_taken: bool) -> Option<CapacitySettings> {
    let is_planned = reader.flag("capacity.planned", true);
    let busy_share = reader.fraction("capacity.busy_share", 0.35, 0.05..=0.95);
    let on_demand_share = reader.fraction("capacity.on_demand_share", 0.0, 0.0..=1.0);
    (is_taken && is_planned).then_some(CapacitySettings {
        busy_share,
        on_demand_share,
    })
}

fn stop_settings(reader: &mut Reader) -> StopSettings {
    let notice = reader.milliseconds("stop.notice_ms", 2_300, 0..=HOUR_MS);
    let accept = reader.milliseconds("stop.accept_ms", 3_000, 0..=HOUR_MS);
    let grace = reader.fraction("stop.grace_s", 30.0, 1.0..=3_600.0);
    let limit = Duration::from_secs_f64(grace).saturating_sub(GRACE_MARGIN);
    if notice > accept {
        let remedy = String::from("is longer than stop.accept_ms: set less");
        reader.clash("stop.notice_ms", remedy);
    }
    if accept > limit {
        let remedy = String::from("is longer than stop.grace_s allows: set less");
        reader.clash("stop.accept_ms", remedy);
    }
    StopSettings {
        notice,
        accept,
        limit,
    }
}
