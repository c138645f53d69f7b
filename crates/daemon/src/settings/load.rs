//! Merges the settings sources: defaults, file, environment variables, flags.

use std::net::SocketAddr;
use std::str::FromStr;

use ponddrift_core::MachineId;
use toml::{Table, Value};

use super::model::{
    AdmissionSettings, ControlSettings, DaemonSettings, GatewaySettings, ListenSettings,
    LoadSettings, MembershipSettings, PlannerSettings, PlatformSettings, Profile, RetrySettings,
    Settings,
};
use ponddrift_settings::{Fault, Faults, Reader};

/// Prefix of environment variables: `PONDDRIFT_LISTEN__GATEWAY` sets the key `listen.gateway`.
pub const ENVIRONMENT_PREFIX: &str = "PONDDRIFT_";

const HOUR_MS: u64 = 3_600_000;
const GIBIBYTE: u64 = 1 << 30;

/// A key set by an environment variable or a flag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyAssignment {
    /// Dotted key.
    pub key: String,
    /// TOML value; text that is not valid TOML is used as a string.
    pub value: String,
}

/// Error for an assignment without `=`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not KEY=VALUE: write for example listen.gateway=127.0.0.1:8080")]
pub struct InvalidKeyAssignment(String);

impl FromStr for KeyAssignment {
    type Err = InvalidKeyAssignment;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (key, value) = text
            .split_once('=')
            .ok_or_else(|| InvalidKeyAssignment(text.to_owned()))?;
        Ok(Self {
            key: key.trim().to_owned(),
            value: value.trim().to_owned(),
        })
    }
}

impl KeyAssignment {
    /// Converts an environment variable; `None` unless its name has the prefix and a section.
    #[must_use]
    pub fn from_environment(name: &str, value: &str) -> Option<Self> {
        let key = name
            .strip_prefix(ENVIRONMENT_PREFIX)?
            .to_lowercase()
            .replace("__", ".");
        key.contains('.').then(|| Self {
            key,
            value: value.to_owned(),
        })
    }

    fn parsed_value(&self) -> Value {
        let document = format!("value = {}", self.value);
        let parsed: Option<Table> = document.parse().ok();
        parsed
            .and_then(|mut table| table.remove("value"))
            .unwrap_or_else(|| Value::String(self.value.clone()))
    }

    fn assign(&self, table: &mut Table) -> Result<(), Fault> {
        let mut parts: Vec<&str> = self.key.split('.').collect();
        let last = parts.pop().unwrap_or_default();
        let mut current = table;
        for part in parts {
            let entry = current
                .entry(part.to_owned())
                .or_insert_with(|| Value::Table(Table::new()));
            current = entry.as_table_mut().ok_or_else(|| Fault {
                key: self.key.clone(),
                value: Some(self.value.clone()),
                remedy: format!("{part} is a value, not a section; see docs/CONFIGURATION.md"),
            })?;
        }
        current.insert(last.to_owned(), self.parsed_value());
        Ok(())
    }
}

/// Returns the commented settings template.
#[must_use]
pub fn template() -> &'static str {
    include_str!("../../../../etc/ponddriftd.toml")
}

/// Parses and validates settings: the file's text, then `assignments`, later ones taking
/// precedence.
///
/// # Errors
/// Returns all [`Faults`] found.
///
/// # Examples
/// ```
/// let faults = ponddrift_daemon::settings::load("[daemon]\nzoom = 3", &[]).unwrap_err();
/// assert!(faults.to_string().contains("daemon.zoom"));
/// ```
pub fn load(text: &str, assignments: &[KeyAssignment]) -> Result<Settings, Faults> {
    let mut table: Table = text.parse().map_err(|error: toml::de::Error| {
        Faults(vec![Fault {
            key: String::from("(file)"),
            value: None,
            remedy: format!("is not TOML: {error}"),
        }])
    })?;
    let faults: Vec<Fault> = assignments
        .iter()
        .filter_map(|assignment| assignment.assign(&mut table).err())
        .collect();
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    read(Reader::new(table))
}

fn read(mut reader: Reader) -> Result<Settings, Faults> {
    let daemon = read_daemon(&mut reader);
    let listen = read_listen(&mut reader);
    let platform = read_platform(&mut reader);
    let seeds = reader.addresses("peers.seeds", false);
    let sections = SectionsWithDefaults {
        gateway: read_gateway(&mut reader),
        admission: read_admission(&mut reader),
        retry: read_retry(&mut reader),
        membership: read_membership(&mut reader),
        load: read_load(&mut reader),
        control: read_control(&mut reader),
        planner: read_planner(&mut reader),
    };
    let log_filter = reader.parsed("log.filter", Some(String::from("info")), "a log filter");
    let rest = sections;
    reader.finish()?;
    // Each `None` below has recorded a fault, so `finish` has already returned an error.
    let missing = || Faults(Vec::new());
    Ok(Settings {
        daemon: daemon.ok_or_else(missing)?,
        listen: listen.ok_or_else(missing)?,
        platform: platform.ok_or_else(missing)?,
        seeds,
        gateway: rest.gateway,
        admission: rest.admission,
        retry: rest.retry,
        membership: rest.membership,
        load: rest.load,
        control: rest.control,
        planner: rest.planner,
        log_filter: log_filter.ok_or_else(missing)?,
    })
}

struct SectionsWithDefaults {
    gateway: GatewaySettings,
    admission: AdmissionSettings,
    retry: RetrySettings,
    membership: MembershipSettings,
    load: LoadSettings,
    control: ControlSettings,
    planner: PlannerSettings,
}

fn read_daemon(reader: &mut Reader) -> Option<DaemonSettings> {
    let id = reader.required_number("daemon.id", 1..=u64::from(u32::MAX));
    let cluster = reader.parsed("daemon.cluster", Some(String::from("ponddrift")), "a name");
    let zone = reader.parsed("daemon.zone", None, "the zone's name");
    let region = reader.parsed("daemon.region", None, "the region's name");
    Some(DaemonSettings {
        id: MachineId(u32::try_from(id).ok()?),
        cluster: cluster?,
        zone: zone?,
        region: region?,
    })
}

fn read_listen(reader: &mut Reader) -> Option<ListenSettings> {
    const EXPECTED: &str = "an IP number and a port such as \"127.0.0.1:8080\"";
    let gateway: Option<SocketAddr> = reader.parsed("listen.gateway", None, EXPECTED);
    let operator: Option<SocketAddr> = reader.parsed("listen.operator", None, EXPECTED);
    let peer: Option<SocketAddr> = reader.parsed("listen.peer", None, EXPECTED);
    let same = |first: Option<SocketAddr>, second: Option<SocketAddr>| {
        first.is_some_and(|address| address.port() != 0) && first == second
    };
    if same(gateway, operator) {
        reader.report_conflict("listen.operator", same_address("listen.gateway"));
    }
    if same(gateway, peer) {
        reader.report_conflict("listen.peer", same_address("listen.gateway"));
    }
    if same(operator, peer) {
        reader.report_conflict("listen.peer", same_address("listen.operator"));
    }
    if peer.is_some_and(|address| address.ip().is_unspecified()) {
        let remedy = "other daemons cannot send to an unspecified address: set this machine's IP";
        reader.report_conflict("listen.peer", remedy.to_owned());
    }
    Some(ListenSettings {
        gateway: gateway?,
        operator: operator?,
        peer: peer?,
    })
}

fn same_address(other: &str) -> String {
    format!("is the address of {other} too: give each its own port")
}

fn read_platform(reader: &mut Reader) -> Option<PlatformSettings> {
    let key_value = reader.addresses("platform.key_value", true);
    let machine_list = reader.parsed("platform.machine_list", None, "an IP number and a port");
    let call_time_limit = reader.milliseconds("platform.call_time_limit_ms", 2_000, 10..=60_000);
    let machine_list_interval =
        reader.milliseconds("platform.machine_list_interval_ms", 1_000, 50..=HOUR_MS);
    Some(PlatformSettings {
        key_value,
        machine_list: machine_list?,
        call_time_limit,
        machine_list_interval,
    })
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn read_gateway(reader: &mut Reader) -> GatewaySettings {
    GatewaySettings {
        header_time_limit: reader.milliseconds(
            "gateway.header_time_limit_ms",
            10_000,
            100..=HOUR_MS,
        ),
        body_size_limit: saturating_usize(reader.number(
            "gateway.body_size_limit_bytes",
            16 << 20,
            1_024..=GIBIBYTE,
        )),
        body_time_limit: reader.milliseconds("gateway.body_time_limit_ms", 30_000, 100..=HOUR_MS),
        stalled_reader_limit: reader.milliseconds(
            "gateway.stalled_reader_limit_ms",
            30_000,
            100..=HOUR_MS,
        ),
        stream_idle_limit: reader.milliseconds(
            "gateway.stream_idle_limit_ms",
            20_000,
            100..=HOUR_MS,
        ),
    }
}

fn read_admission(reader: &mut Reader) -> AdmissionSettings {
    AdmissionSettings {
        queue_length: saturating_usize(reader.number(
            "admission.queue_length",
            1_024,
            1..=1_000_000,
        )),
        maximum_in_flight: saturating_usize(reader.number(
            "admission.maximum_in_flight",
            2_048,
            1..=100_000,
        )),
    }
}

fn read_retry(reader: &mut Reader) -> RetrySettings {
    RetrySettings {
        maximum_attempts: saturating_u32(reader.number("retry.maximum_attempts", 3, 1..=10)),
        budget_percent: saturating_u32(reader.number("retry.budget_percent", 10, 0..=100)),
    }
}

fn read_membership(reader: &mut Reader) -> MembershipSettings {
    let membership = MembershipSettings {
        probe_interval: reader.milliseconds("membership.probe_interval_ms", 1_000, 20..=60_000),
        probe_time_limit: reader.milliseconds("membership.probe_time_limit_ms", 300, 5..=60_000),
        suspicion_time: reader.milliseconds("membership.suspicion_time_ms", 3_000, 50..=600_000),
    };
    if membership.probe_time_limit >= membership.probe_interval {
        let remedy = "must be shorter than membership.probe_interval_ms: set about a third of it";
        reader.report_conflict("membership.probe_time_limit_ms", remedy.to_owned());
    }
    membership
}

fn read_load(reader: &mut Reader) -> LoadSettings {
    LoadSettings {
        poll_interval: reader.milliseconds("load.poll_interval_ms", 2_000, 20..=60_000),
    }
}

fn read_control(reader: &mut Reader) -> ControlSettings {
    let unavailable_percent = reader.number("control.engines_away_percent", 25, 1..=100);
    let control = ControlSettings {
        lease_time: reader.milliseconds("control.lease_ms", 10_000, 1_000..=600_000),
        order_time_limit: reader.milliseconds("control.order_time_limit_ms", 1_000, 10..=60_000),
        reconcile_interval: reader.milliseconds("control.reconcile_interval_ms", 500, 10..=60_000),
        maximum_unavailable_percent: u8::try_from(unavailable_percent).unwrap_or(100),
    };
    if control.lease_time < control.order_time_limit * 4 {
        let remedy = "must be at least four times control.order_time_limit_ms: raise it";
        reader.report_conflict("control.lease_ms", remedy.to_owned());
    }
    control
}

fn read_planner(reader: &mut Reader) -> PlannerSettings {
    let what = "\"hanbit\" or \"head-office\"";
    let profile = reader.parsed("planner.profile", Some(Profile::Hanbit), what);
    let planner = PlannerSettings {
        profile: profile.unwrap_or(Profile::Hanbit),
        interval: reader.milliseconds("planner.interval_ms", 2_000, 50..=HOUR_MS),
        minimum_dwell: reader.milliseconds("planner.minimum_dwell_ms", 20_000, 0..=HOUR_MS),
        horizon: reader.milliseconds("planner.horizon_ms", 60_000, 1_000..=24 * HOUR_MS),
    };
    if planner.minimum_dwell > planner.horizon {
        let remedy = "must not be longer than planner.horizon_ms: lower it, or raise the horizon";
        reader.report_conflict("planner.minimum_dwell_ms", remedy.to_owned());
    }
    planner
}
