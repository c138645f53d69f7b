//! Configuration by the operators: routes, services, tenants and limits, applied as one version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::tenants::Tenant;

/// A complete configuration. Versions increase, and a process never goes back to an earlier one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version number assigned by the operators.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Arc<Service>>,
    /// All tenants; `None` if requests are not authenticated.
    pub tenants: Option<Vec<Arc<Tenant>>>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Whether callers rely on the pace of whole streams, so that it matters which back end a
    /// stream runs on.
    #[must_use]
    pub fn has_long_streams(&self) -> bool {
        self.routes.iter().any(|route| route.has_long_streams())
    }
}

/// Whether and how a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// Answered with a stream of events.
    Stream {
        /// Whether another back end can continue the stream after a given event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may run again after it has failed.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether a stream of this kind may go on at another back end.
    #[must_use]
    pub const fn is_resumable_stream(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream { resumable: true } => "resumable_stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

/// A rule that assigns requests to services and sets their deadlines and retries.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Path prefix of the requests; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether and how requests may be retried.
    pub kind: RequestKind,
    /// Maximum time until a request is answered or fails.
    pub timeout: Duration,
    /// Response time up to which an answer has its full value.
    pub target_latency: Duration,
    /// Maximum time between two events of a stream that counts as in time.
    pub target_gap: Option<Duration>,
    /// Callers abandon a stream without an event for this long; `None` if they wait until their
    /// timeout.
    pub caller_stall_timeout: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Services and their shares of the requests.
    pub split: Vec<SplitPart>,
    /// Maximum number of back ends that one request may run on.
    pub maximum_attempts: u32,
}

impl Route {
    /// Whether the route's streams may last for many gaps and are to be continued if their back
    /// end fails.
    #[must_use]
    pub fn has_long_streams(&self) -> bool {
        /// Number of target gaps from which a stream counts as long.
        const LONG_STREAM_GAPS: u32 = 50;
        let is_long = |gap: Duration| self.timeout >= gap.saturating_mul(LONG_STREAM_GAPS);
        let is_resumable = matches!(self.kind, RequestKind::Stream { resumable: true });
        is_resumable && self.target_gap.is_some_and(is_long)
    }
}

/// Share of one service in a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// A group of interchangeable back ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path that answers with status 200 while a back end is healthy.
    pub health_path: Arc<str>,
    /// Maximum number of connections that each back end accepts from all callers together.
    pub maximum_connections: u32,
    /// Properties of the engines; `None` for a service of plain back ends.
    pub engine: Option<EngineTraits>,
    /// Bounds for the number of engines; `None` if it is fixed.
    pub autoscaling: Option<Autoscaling>,
}

/// Bounds and prices for scaling the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Autoscaling {
    /// Minimum number of engines per zone, over all contracts.
    pub minimum: u32,
    /// Maximum number of engines per zone, over all contracts.
    pub maximum: u32,
    /// Time from ordering an engine until it serves requests.
    pub boot: Duration,
    /// Price of a spot engine as a fraction of the price of an on-demand engine; `None` if there
    /// are no spot engines.
    pub spot_price: Option<f64>,
    /// Relative prices of the zones in which the service may run.
    pub zone_prices: BTreeMap<Arc<str>, f64>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTraits {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub cache_tokens: u64,
    /// Size of one token in the KV cache, in bytes.
    pub token_bytes: u64,
    /// Bandwidth for transfers of KV cache, in megabits per second.
    pub link_megabits: f64,
    /// Time for which an engine is unavailable while it changes its stage.
    pub stage_change: Duration,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time in which a request head arrives.
    pub head_timeout: Duration,
    /// Maximum time for which a connection is idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(120),
        }
    }
}

/// Stage of request processing that a model engine performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Stage {
    /// Processes prompts for other engines.
    Prefill,
    /// Generates tokens, and processes prompts itself when needed.
    Decode,
}

impl Stage {
    /// Name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}
