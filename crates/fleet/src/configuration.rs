//! What the operators want: routes, services, tenants and limits, as one whole version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::tenants::Tenant;

/// One whole configuration. Versions rise; a process never goes back to an older one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version, as the operators number it.
    pub version: u64,
    /// Every route.
    pub routes: Vec<Arc<Route>>,
    /// Every service.
    pub services: Vec<Arc<Service>>,
    /// Every tenant; none where requests are not authenticated.
    pub tenants: Option<Vec<Arc<Tenant>>>,
    /// Limits towards callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

/// What may be done with a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a series of events.
    Stream {
        /// Whether it may go on at another back end after a given event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may run a second time.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Name for logs and metrics.
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

/// Which requests go where, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Begins the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be done again.
    pub kind: RequestKind,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time in which an answer is worth all.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is in time.
    pub target_gap: Option<Duration>,
    /// Callers abandon a stream that brings no event for this long; none where they wait for their whole time.
    pub caller_stall_timeout: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Services and their shares.
    pub split: Vec<SplitPart>,
    /// Most back ends that one request may run on.
    pub maximum_attempts: u32,
}

/// One service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// Service.
    pub service: Arc<str>,
    /// Its weight among the parts.
    pub weight: u32,
}

/// A group of equal back ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path that answers 200 while a back end is well.
    pub health_path: Arc<str>,
    /// Connections that each back end takes from all callers together.
    pub maximum_connections: u32,
    /// What its engines can do; none for a plain service.
    pub engine: Option<EngineTraits>,
    /// How many engines may be ordered; none where their number is fixed.
    pub autoscaling: Option<Autoscaling>,
}

/// Bounds and prices of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Autoscaling {
    /// Fewest engines of a zone, of all contracts together.
    pub minimum: u32,
    /// Most engines of a zone, of all contracts together.
    pub maximum: u32,
    /// Time from the order of an engine until it serves.
    pub boot: Duration,
    /// Price of a spot engine as a part of an on-demand one's; none where there are none.
    pub spot_price: Option<f64>,
    /// Relative prices of the zones in which the service may run.
    pub zone_prices: BTreeMap<Arc<str>, f64>,
}

/// What the model engines of a service can do.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTraits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of KV cache.
    pub cache_tokens: u64,
    /// Bytes of one token's KV cache.
    pub token_bytes: u64,
    /// Speed at which KV cache moves, in megabits a second.
    pub link_megabits: f64,
    /// How long a change of stage takes the engine away.
    pub stage_change: Duration,
}

/// Limits towards callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head in bytes.
    pub head_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            body_bytes: 4 << 20,
        }
    }
}

/// What a model engine does for requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Stage {
    /// Reads prompts for others.
    Prefill,
    /// Generates, and reads prompts itself when it must.
    Decode,
}

impl Stage {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}
