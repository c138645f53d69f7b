//! Records of the configuration. Each is stored as JSON under its own key in the key-value service.

use std::collections::BTreeMap;

use borsh::{BorshDeserialize, BorshSerialize};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::change::ItemKey;
use crate::{
    AdapterName, EngineRole, MachineId, ModelName, PoolName, PriorityName, Revision, ServiceName,
    TenantName,
};

/// Kind of back end that serves a service's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceKind {
    /// Completions from model engines.
    Completion {
        /// Model that serves the requests.
        model: ModelName,
        /// Adapter applied to the model, if any.
        #[serde(default)]
        adapter: Option<AdapterName>,
        /// Version of the model that engines should run.
        version: u32,
    },
    /// Plain HTTP from a pool of back ends, reached under `/services/<name>/…`.
    Plain {
        /// Pool of back ends that serve the requests.
        pool: PoolName,
    },
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct ServiceSettings {
    /// Kind of back end that serves the requests.
    #[serde(flatten)]
    pub kind: ServiceKind,
    /// Priority class of the requests.
    pub priority: PriorityName,
    /// Whether a request may run more than once. If `false`, requests with the same
    /// `Idempotency-Key` run at most once.
    pub repeatable: bool,
    /// Longest total time of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Share of the service's engines that a version change may take out of service at once, in per
    /// cent.
    pub rollout_percent: u8,
}

/// Settings of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct ModelSettings {
    /// Size of the weights in MiB.
    pub weights_mib: u32,
    /// Share of the engines that run this model, in per cent. The sum over all models is at most
    /// 100.
    pub engine_share_percent: u8,
}

/// Limits and weight of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct TenantSettings {
    /// Requests per second over the whole system; 0 means no limit.
    pub requests_per_second: u32,
    /// Concurrent requests over the whole system; 0 means no limit.
    pub concurrency: u32,
    /// Prompt and output tokens per second over the whole system; 0 means no limit.
    pub tokens_per_second: u32,
    /// Weight among tenants of the same priority under contention.
    pub weight: u32,
}

/// Settings of a priority class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct PrioritySettings {
    /// Requests of level 0 are served first and shed last.
    pub level: u8,
}

/// Pin of an engine to a role, set by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct Pin {
    /// Role that the engine keeps.
    pub role: EngineRole,
}

/// The whole configuration at one revision.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, BorshSerialize, BorshDeserialize,
)]
pub struct Configuration {
    /// Revision of the key-value service at which the configuration was last changed.
    pub revision: Revision,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceSettings>,
    /// Models by name.
    pub models: IndexMap<ModelName, ModelSettings>,
    /// Tenants by name.
    pub tenants: IndexMap<TenantName, TenantSettings>,
    /// Priority classes by name.
    pub priorities: IndexMap<PriorityName, PrioritySettings>,
    /// Pins by engine.
    pub pins: IndexMap<MachineId, Pin>,
    /// Revision at which each record was last changed.
    #[serde(skip)]
    pub row_revisions: BTreeMap<ItemKey, Revision>,
}
