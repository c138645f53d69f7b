//! Engine reports and orders. Fields have the same meaning as on the engines' control endpoint.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{AdapterName, EngineRole, FencingToken, Incarnation, MachineId, ModelName, OrderId};

/// Low bits of an order id that hold the counter; the other bits hold the token.
const COUNTER_BITS: u32 = 24;

/// Id of order number `counter` under `token`; `None` if either does not fit.
///
/// The counter is shared by all engines of the cell, so each id identifies a single order. Ids of
/// different controllers differ by the token.
#[must_use]
pub const fn order_id(token: FencingToken, counter: u64) -> Option<OrderId> {
    let counter_fits = counter < 1 << COUNTER_BITS;
    let token_fits = token.0 < 1 << (u64::BITS - COUNTER_BITS);
    if counter_fits && token_fits {
        Some(OrderId(token.0 << COUNTER_BITS | counter))
    } else {
        None
    }
}

/// A model with its version and adapters.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: u32,
    /// Loaded adapters, sorted by name.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// State that an engine is ordered to reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Role to serve in.
    pub role: EngineRole,
    /// Model to load.
    pub model: LoadedModel,
}

/// Order to an engine, fenced by the controller's token and the engine's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the controller.
    pub token: FencingToken,
    /// Engine incarnation for which the order was issued.
    pub incarnation: Incarnation,
    /// Id of the order.
    pub order_id: OrderId,
    /// State to reach.
    pub target: TargetState,
}

/// An order in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningOrder {
    /// Id of the order.
    pub order_id: OrderId,
    /// State to reach.
    pub target: TargetState,
}

/// An order that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedOrder {
    /// Id of the order.
    pub order_id: OrderId,
    /// Whether the target was reached.
    pub succeeded: bool,
    /// Cause of the failure; empty on success.
    #[serde(default)]
    pub message: String,
}

/// State reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine; larger after each restart.
    pub incarnation: Incarnation,
    /// Newest controller token that the engine has seen.
    pub token: FencingToken,
    /// Current role; `None` during a change, or after a crash that interrupted a change.
    pub role: Option<EngineRole>,
    /// Loaded model; `None` in the same cases as the role.
    pub model: Option<LoadedModel>,
    /// Order in progress.
    pub running_order: Option<RunningOrder>,
    /// The last order that ended.
    pub last_order: Option<EndedOrder>,
    /// Number of running and queued requests.
    pub requests: u32,
}

impl EngineReport {
    /// Whether the engine is in the target state and no order is in progress.
    #[must_use]
    pub fn is_at(&self, target: &TargetState) -> bool {
        self.running_order.is_none()
            && self.role == Some(target.role)
            && self.model.as_ref() == Some(&target.model)
    }

    /// Whether the engine serves requests.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        self.running_order.is_none() && self.role.is_some() && self.model.is_some()
    }
}

/// Why an engine refused a claim or an order. A refusal leaves the engine unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum OrderRefusal {
    /// The engine has seen a newer token.
    StaleToken {
        /// Newest token that the engine has seen.
        newest: FencingToken,
    },
    /// The order was issued for another incarnation.
    WrongIncarnation {
        /// Current incarnation of the engine.
        current: Incarnation,
    },
    /// Another order is in progress.
    Busy {
        /// Id of the order in progress.
        order_id: OrderId,
    },
    /// The order's id was already used with another target.
    OrderIdReused,
    /// The engine cannot hold the model.
    Impossible {
        /// Explanation from the engine.
        message: String,
    },
}

/// Desired state of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredEngine {
    /// Engine concerned.
    pub engine: MachineId,
    /// Target state; `None` leaves the engine unchanged.
    pub target: Option<TargetState>,
}

/// Share of a model's engines that may be unavailable at once: the smallest `rollout_percent` of
/// the services that use the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutLimit {
    /// Model that the limit applies to.
    pub model: ModelName,
    /// Share in percent; one engine may always be unavailable.
    pub percent: u8,
}

/// Desired state of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DesiredState {
    /// All engines of the cell.
    pub engines: Vec<DesiredEngine>,
    /// Rollout limits by model.
    pub rollouts: Vec<RolloutLimit>,
}
