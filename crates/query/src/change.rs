//! Typed configuration changes.

use std::fmt;

use ponddrift_core::{
    AdapterName, EngineRole, MachineId, ModelName, PoolName, PriorityName, Revision, ServiceName,
    TenantName,
};

/// An `INSERT`, `UPDATE` or `DELETE` of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The row and the operation on it.
    pub object: ObjectChange,
    /// If set, the change must only be applied while this is the revision of the row's last change.
    pub expected_revision: Option<Revision>,
}

/// An operation on a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit<P> {
    /// Creates the row with these values.
    Insert(P),
    /// Sets these values in an existing row.
    Update(P),
    /// Deletes an existing row.
    Delete,
}

/// A row, named by its key, and the operation on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectChange {
    /// A service.
    Service(ServiceName, Edit<ServicePatch>),
    /// A model.
    Model(ModelName, Edit<ModelPatch>),
    /// A tenant.
    Tenant(TenantName, Edit<TenantPatch>),
    /// A priority class.
    Priority(PriorityName, Edit<PriorityPatch>),
    /// The pin of an engine to a role.
    Pin(MachineId, Edit<PinPatch>),
}

/// The kind of a service, without the settings specific to that kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKindName {
    /// Served by model engines.
    Completion,
    /// Served by plain back ends.
    Plain,
}

impl fmt::Display for ServiceKindName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Completion => "'completion'",
            Self::Plain => "'plain'",
        })
    }
}

/// Columns of a service that a statement sets; `None` leaves a column unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServicePatch {
    /// Whether model engines or plain back ends serve it.
    pub kind: Option<ServiceKindName>,
    /// Model, for completion services.
    pub model: Option<ModelName>,
    /// Adapter, for completion services; `Some(None)` removes it.
    pub adapter: Option<Option<AdapterName>>,
    /// Version of the model, for completion services.
    pub version: Option<u32>,
    /// Pool of back ends, for plain services.
    pub pool: Option<PoolName>,
    /// Priority class of its requests.
    pub priority: Option<PriorityName>,
    /// Whether a request may be executed more than once.
    pub repeatable: Option<bool>,
    /// Maximum total time of a request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Maximum share of its engines that are unavailable during a version change, in percent.
    pub rollout_percent: Option<u8>,
}

/// Columns of a model that a statement sets; `None` leaves a column unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ModelPatch {
    /// Size of the weights in MiB.
    pub weights_mib: Option<u32>,
    /// Share of the engines that hold the model, in percent.
    pub engine_share_percent: Option<u8>,
}

/// Columns of a tenant that a statement sets; `None` leaves a column unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TenantPatch {
    /// Maximum requests per second over the whole system; 0 means no limit.
    pub requests_per_second: Option<u32>,
    /// Maximum concurrent requests over the whole system; 0 means no limit.
    pub concurrency: Option<u32>,
    /// Maximum prompt and output tokens per second over the whole system; 0 means no limit.
    pub tokens_per_second: Option<u32>,
    /// Relative share among tenants of one priority under contention.
    pub weight: Option<u32>,
}

/// Columns of a priority class that a statement sets; `None` leaves a column unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PriorityPatch {
    /// Scheduling level; 0 is served first and shed last.
    pub level: Option<u8>,
}

/// Columns of a pin that a statement sets; `None` leaves a column unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PinPatch {
    /// Role that the engine must keep.
    pub role: Option<EngineRole>,
}
