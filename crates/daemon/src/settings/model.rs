//! The checked settings.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use ponddrift_core::{MachineId, RegionName, ZoneName};

/// All settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who and where this daemon is.
    pub daemon: DaemonSettings,
    /// Addresses it listens on.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Peer addresses to begin with, beside those of the machine list.
    pub seeds: Vec<SocketAddr>,
    /// Limits towards callers.
    pub gateway: GatewaySettings,
    /// Queue and concurrency.
    pub admission: AdmissionSettings,
    /// Retries.
    pub retry: RetrySettings,
    /// Gossip between daemons.
    pub membership: MembershipSettings,
    /// Polling of engines.
    pub load: LoadSettings,
    /// Leases and orders.
    pub control: ControlSettings,
    /// Role planner.
    pub planner: PlannerSettings,
    /// Filter of the log, as `info` or `ponddrift_daemon=debug`.
    pub log_filter: String,
}

/// Who and where a daemon is.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Number in the machine list.
    pub id: MachineId,
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
}

/// Addresses a daemon listens on.
#[derive(Debug, Clone, Copy)]
pub struct ListenSettings {
    /// HTTP of callers.
    pub gateway: SocketAddr,
    /// HTTP of operators.
    pub operator: SocketAddr,
    /// UDP and TCP of other daemons.
    pub peer: SocketAddr,
}

/// The platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Gateways of the key-value service.
    pub key_value: Vec<SocketAddr>,
    /// Machine list.
    pub machine_list: SocketAddr,
    /// Time limit of a call.
    pub call_time_limit: Duration,
    /// Time between two readings of the machine list.
    pub machine_list_interval: Duration,
}

/// Limits towards callers.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Time for a request's head.
    pub header_time_limit: Duration,
    /// Largest request body in bytes.
    pub body_size_limit: usize,
    /// Time for a request's body.
    pub body_time_limit: Duration,
    /// Time a caller may leave its answer unread before its request is cancelled.
    pub stalled_reader_limit: Duration,
    /// Most time an engine may be silent in the middle of a stream.
    pub stream_idle_limit: Duration,
}

/// Queue and concurrency.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Requests that may wait.
    pub queue_length: usize,
    /// Most requests in progress at a time.
    pub maximum_in_flight: usize,
}

/// Retries.
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// Attempts of one request in all.
    pub maximum_attempts: u32,
    /// Retries as a share of recent successes, in per cent.
    pub budget_percent: u32,
}

/// Gossip between daemons.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time for a probe's answer.
    pub probe_time_limit: Duration,
    /// Shortest time from suspicion to death.
    pub suspicion_time: Duration,
}

/// Polling of engines.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Time between two readings of an engine's load.
    pub poll_interval: Duration,
}

/// Leases and orders.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Life of a cell controller's lease.
    pub lease_time: Duration,
    /// Time limit of an order's call.
    pub order_time_limit: Duration,
    /// Time between two rounds of reconciliation.
    pub reconcile_interval: Duration,
    /// Most engines of a cell that are away at once, in per cent.
    pub maximum_unavailable_percent: u8,
}

/// Which of the two figures weighs more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Goodput through shifts weighs more.
    Hanbit,
    /// Few role changes weigh more.
    HeadOffice,
}

impl Profile {
    /// Name in the settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hanbit => "hanbit",
            Self::HeadOffice => "head-office",
        }
    }
}

/// A profile's name that does not exist.
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

/// Role planner.
#[derive(Debug, Clone)]
pub struct PlannerSettings {
    /// Weights of goodput against role changes.
    pub profile: Profile,
    /// Time between two plans.
    pub interval: Duration,
    /// Shortest time an engine keeps a role.
    pub minimum_dwell: Duration,
    /// Time a change must pay off in.
    pub horizon: Duration,
}
