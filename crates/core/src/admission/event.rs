//! Input events and resulting actions of admission control.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::limits::Limits;
use super::share::DemandReport;
use crate::{Execution, MachineId, RequestId, ServiceName, TenantName, Timestamp};

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Tenant that sent it.
    pub tenant: TenantName,
    /// Weight of the tenant in fair queuing within a priority level; at least 1.
    pub weight: u32,
    /// Service that it addresses.
    pub service: ServiceName,
    /// Priority level; 0 is served first and shed last.
    pub level: u8,
    /// When the caller stops waiting for the answer.
    pub deadline: Timestamp,
    /// Prompt tokens plus expected output tokens.
    pub expected_tokens: u32,
    /// Expected service time after the start.
    pub expected_service: Duration,
}

/// Input of [`super::Admission::handle`].
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrived(AdmissionRequest),
    /// A started request left its back end's queue.
    Waited {
        /// Time in the queue: the time to the first token minus the prefill time.
        queue_wait: Duration,
    },
    /// A started request ended, successfully or not.
    Finished {
        /// The request.
        id: RequestId,
        /// Prompt and output tokens that it used.
        used_tokens: u32,
    },
    /// The caller of a request disconnected. A started request must still be reported as finished.
    Abandoned {
        /// The request.
        id: RequestId,
    },
    /// The time given by [`super::Admission::next_tick`] was reached.
    Tick,
    /// The configured limits changed. Tenants and services not listed have no limits.
    LimitsChanged {
        /// Limits of the tenants.
        tenants: IndexMap<TenantName, Limits>,
        /// Limits of the services.
        services: IndexMap<ServiceName, Limits>,
    },
    /// The number of live daemons changed.
    DaemonsChanged {
        /// Number of live daemons, including this one.
        live: u32,
    },
    /// Another daemon reported its demand.
    DemandReported {
        /// The daemon.
        daemon: MachineId,
        /// Demand at that daemon.
        report: DemandReport,
    },
    /// The capacity reported by load digests changed.
    CapacityChanged {
        /// Number of requests that this daemon's share of the fleet can process concurrently.
        slots: u32,
    },
}

/// Action that the caller of [`super::Admission::handle`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to a back end.
    Start(RequestId),
    /// Refuse the request immediately. It was not started.
    Refuse(RequestId, AdmissionRefusal),
}

/// Kind of limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrency,
}

/// What the reached limit belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitScope {
    /// The tenant of the request.
    Tenant,
    /// The service of the request.
    Service,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum AdmissionRefusal {
    /// A tenant or service limit was reached.
    #[error("the {scope:?} limit of {limit:?} is reached; retry in {retry_after:?}")]
    LimitReached {
        /// Whether the tenant or the service reached its limit.
        scope: LimitScope,
        /// Kind of the limit.
        limit: LimitKind,
        /// Time to wait before retrying.
        retry_after: Duration,
    },
    /// The queue is full of requests that rank before this one.
    #[error("too many requests are waiting; retry in {retry_after:?}")]
    Overloaded {
        /// Time to wait before retrying, from the estimated drain rate.
        retry_after: Duration,
    },
    /// It was queued and displaced by a request that ranks before it.
    #[error(
        "the request was displaced from the queue by one that ranks before it; retry in {retry_after:?}"
    )]
    Displaced {
        /// Time to wait before retrying, from the estimated drain rate.
        retry_after: Duration,
    },
    /// It is expected to end after its deadline.
    #[error(
        "the request is expected to wait {expected_wait:?} and would end after its deadline; retry in {retry_after:?} or send a later deadline"
    )]
    DeadlineUnreachable {
        /// Expected wait in the queue.
        expected_wait: Duration,
        /// Time to wait before retrying, from the estimated drain rate.
        retry_after: Duration,
    },
}

impl AdmissionRefusal {
    /// Always [`Execution::NotStarted`]: a refused request was never sent to a back end.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        Execution::NotStarted
    }

    /// Time that the caller should wait before retrying.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        match self {
            Self::LimitReached { retry_after, .. }
            | Self::Overloaded { retry_after }
            | Self::Displaced { retry_after }
            | Self::DeadlineUnreachable { retry_after, .. } => *retry_after,
        }
    }
}
