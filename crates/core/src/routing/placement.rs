//! Routing requests and their placements.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, MachineId, ModelName, PoolName, RegionName, RequestId, Timestamp, ZoneName,
};

/// Model versions that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRule {
    /// Any loaded version, so that old and new versions serve during a rollout.
    Any,
    /// Only this version.
    Exactly(u32),
}

/// Required kind of back end for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// Engines that have a model loaded.
    Completion {
        /// The model.
        model: ModelName,
        /// Allowed versions.
        version: VersionRule,
        /// The adapter, if the request needs one.
        adapter: Option<AdapterName>,
    },
    /// Plain back ends of a pool.
    Plain {
        /// The pool.
        pool: PoolName,
    },
}

/// A request that needs a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// The request.
    pub request: RequestId,
    /// Required kind of back end.
    pub target: RouteTarget,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub expected_output_tokens: u32,
    /// Hashes of the prompt blocks; each covers the prompt up to the end of its block.
    pub prefix_blocks: Vec<u64>,
    /// When the caller stops waiting for the answer.
    pub deadline: Timestamp,
    /// Priority level; 0 is the highest.
    pub priority: u8,
    /// Back ends that must not be chosen because they failed this request.
    pub excluded: Vec<MachineId>,
    /// Zone in which an attempt failed; used only if no other zone has a candidate.
    pub avoided_zone: Option<ZoneName>,
    /// Zone in which the request arrived.
    pub caller_zone: ZoneName,
    /// Region of that zone.
    pub caller_region: RegionName,
    /// Whether it may probe an ejected back end. Must be false for requests that must not be
    /// repeated.
    pub may_probe: bool,
}

/// Back ends that a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "plan", rename_all = "snake_case")]
pub enum PlacementPlan {
    /// One back end serves the whole request.
    Single {
        /// The back end.
        back_end: MachineId,
    },
    /// One engine prefills the prompt and hands its KV cache to another, which decodes.
    Handover {
        /// Engine that prefills the prompt.
        prefill: MachineId,
        /// Engine that generates the tokens.
        decode: MachineId,
    },
}

/// Estimate for one candidate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CandidateEstimate {
    /// The back end.
    pub back_end: MachineId,
    /// Expected time to the first token, or to the end of the answer of a plain back end.
    pub first_token: Duration,
    /// Expected time between tokens.
    pub token_interval: Duration,
    /// Estimated prompt tokens in its prefix cache, weighted by the trust in the index.
    pub cached_tokens: u32,
    /// Age of its load digest; `None` without a digest.
    pub digest_age: Option<Duration>,
    /// Cost used for the comparison: expected total time plus penalties for delaying other
    /// sequences and for a nearly full KV cache.
    pub cost: Duration,
    /// Whether the request probes an ejected back end.
    pub probe: bool,
}

/// Reason for a placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementReason {
    /// Expected time to the first token, including the KV cache transfer of a handover.
    pub expected_first_token: Duration,
    /// Expected time to the end of the answer.
    pub expected_total: Duration,
    /// Expected time of the KV cache transfer; zero without a handover.
    pub transfer: Duration,
    /// Number of back ends that could serve the request.
    pub eligible: usize,
    /// Estimates of the sampled candidates that were compared.
    pub weighed: Vec<CandidateEstimate>,
}

/// Result of [`super::Router::choose`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Back ends that the request is sent to.
    pub plan: PlacementPlan,
    /// Reason for the choice.
    pub reason: PlacementReason,
}

/// Why no back end was chosen. This attempt did not start the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum RoutingRefusal {
    /// The deadline has passed.
    #[error("the deadline passed before a back end was chosen; send the request with a later one")]
    DeadlinePassed,
    /// No known back end matches the target.
    #[error(
        "no back end serves this model, adapter and version or pool; check the service's settings"
    )]
    NoneServes,
    /// All matching back ends are draining or changing their role.
    #[error("all {serving} back ends of the service are draining; retry in a few seconds")]
    AllDraining {
        /// Number of back ends that match the target.
        serving: usize,
    },
    /// All remaining back ends have already failed this request.
    #[error("all {serving} back ends of the service have failed this request; retry later")]
    AllExcluded {
        /// Number of back ends that match the target.
        serving: usize,
    },
    /// All remaining back ends are ejected after failures.
    #[error("all usable back ends are set aside after failures; retry in {retry_after:?}")]
    AllSetAside {
        /// Time until the first of them may be probed.
        retry_after: Duration,
    },
    /// Only prefill engines or only decode engines are available.
    #[error(
        "only prefill or only decode engines are available, so no handover is possible; retry later"
    )]
    NoPartner,
}
