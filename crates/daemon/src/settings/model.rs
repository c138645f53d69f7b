//! Types of the validated settings.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use ponddrift_core::{MachineId, RegionName, ZoneName};

/// All settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity and location of this daemon.
    pub daemon: DaemonSettings,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// Key-value service and machine list.
    pub platform: PlatformSettings,
    /// Initial peer addresses, in addition to those of the machine list.
    pub seeds: Vec<SocketAddr>,
    /// Limits for callers' requests.
    pub gateway: GatewaySettings,
    /// Queue length and concurrency limit.
    pub admission: AdmissionSettings,
    /// Retry limits.
    pub retry: RetrySettings,
    /// Gossip between daemons.
    pub membership: MembershipSettings,
    /// Polling of engines.
    pub load: LoadSettings,
    /// Controller leases and control requests to engines.
    pub control: ControlSettings,
    /// Role planner settings.
    pub planner: PlannerSettings,
    /// Log filter, such as `info` or `ponddrift_daemon=debug`.
    pub log_filter: String,
}

/// Identity and location of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Machine id in the machine list.
    pub id: MachineId,
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Region of the machine.
    pub region: RegionName,
}

/// Addresses a daemon listens on.
#[derive(Debug, Clone, Copy)]
pub struct ListenSettings {
    /// HTTP address for callers.
    pub gateway: SocketAddr,
    /// HTTP address for operators.
    pub operator: SocketAddr,
    /// UDP and TCP address for other daemons.
    pub peer: SocketAddr,
}

/// Key-value service and machine list.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Addresses of the key-value service's HTTP gateways.
    pub key_value: Vec<SocketAddr>,
    /// Address of the machine list service.
    pub machine_list: SocketAddr,
    /// Timeout of a platform call.
    pub call_time_limit: Duration,
    /// Interval between reads of the machine list.
    pub machine_list_interval: Duration,
}

/// Limits for callers' requests.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Timeout for receiving a request's header section.
    pub header_time_limit: Duration,
    /// Largest request body in bytes.
    pub body_size_limit: usize,
    /// Timeout for receiving a request's body.
    pub body_time_limit: Duration,
    /// Maximum time without the caller reading the response before its request is cancelled.
    pub stalled_reader_limit: Duration,
    /// Maximum time between two events of an engine's response stream.
    pub stream_idle_limit: Duration,
}

/// Queue length and concurrency limit.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests.
    pub queue_length: usize,
    /// Maximum number of concurrent requests.
    pub maximum_in_flight: usize,
}

/// Retry limits.
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// Maximum number of attempts per request, the first included.
    pub maximum_attempts: u32,
    /// Retry budget as a percentage of recent successful requests.
    pub budget_percent: u32,
}

/// Gossip between daemons.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Timeout of a direct probe.
    pub probe_time_limit: Duration,
    /// Minimum time before a suspect member is declared dead.
    pub suspicion_time: Duration,
}

/// Polling of engines.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Interval between reads of an engine's load.
    pub poll_interval: Duration,
}

/// Controller leases and control requests to engines.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Time to live of a cell controller's lease.
    pub lease_time: Duration,
    /// Timeout of a control request to an engine.
    pub order_time_limit: Duration,
    /// Interval between reconciliation rounds.
    pub reconcile_interval: Duration,
    /// Maximum percentage of a cell's engines that may be unavailable at the same time.
    pub maximum_unavailable_percent: u8,
}

/// Planner preference between goodput and few role changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Prefers goodput when demand shifts.
    Hanbit,
    /// Prefers few role changes.
    HeadOffice,
}

impl Profile {
    /// Name of the profile in the settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hanbit => "hanbit",
            Self::HeadOffice => "head-office",
        }
    }
}

/// An unknown profile name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("there is no profile {0:?}")]
pub struct UnknownProfile(String);

impl FromStr for Profile {
    type Err = UnknownProfile;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "hanbit" => Ok(Self::Hanbit),
            "head-office" => Ok(Self::HeadOffice),
            other => Err(UnknownProfile(other.to_owned())),
        }
    }
}

/// Role planner settings.
#[derive(Debug, Clone)]
pub struct PlannerSettings {
    /// Preference between goodput and few role changes.
    pub profile: Profile,
    /// Interval between planning runs.
    pub interval: Duration,
    /// Minimum time an engine keeps a role.
    pub minimum_dwell: Duration,
    /// Time within which the benefit of a role change must exceed its cost.
    pub horizon: Duration,
}
