//! What engines report and are ordered. The fields mean the same as on the engines' control endpoint.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{AdapterName, EngineRole, FencingToken, Incarnation, MachineId, ModelName, OrderId};

/// Bits of an order id that count the orders under one token.
const COUNTER_BITS: u32 = 24;

/// Id of the order number `counter` under `token`; `None` when either does not fit any more.
///
/// The counter runs over all engines of the cell, so an id is used for one engine and one order:
/// ids of one token differ by the counter, those of two controllers by the token.
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
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: u32,
    /// The adapters on top of it, sorted.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// State an engine is ordered to reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// The role.
    pub role: EngineRole,
    /// The model to hold.
    pub model: LoadedModel,
}

/// One fenced order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The controller's token.
    pub token: FencingToken,
    /// The engine's incarnation that the order was made for.
    pub incarnation: Incarnation,
    /// Its id.
    pub order_id: OrderId,
    /// What to reach.
    pub target: TargetState,
}

/// An order in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningOrder {
    /// Its id.
    pub order_id: OrderId,
    /// Its target.
    pub target: TargetState,
}

/// An order that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedOrder {
    /// Its id.
    pub order_id: OrderId,
    /// Whether the target was reached.
    pub succeeded: bool,
    /// What went wrong.
    #[serde(default)]
    pub message: String,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Its incarnation; larger after each restart.
    pub incarnation: Incarnation,
    /// Newest token it has seen.
    pub token: FencingToken,
    /// Its role; `None` while it changes, or after a crash in the middle of a change.
    pub role: Option<EngineRole>,
    /// The model it holds; `None` as for the role.
    pub model: Option<LoadedModel>,
    /// The order it carries out.
    pub running_order: Option<RunningOrder>,
    /// The last order that ended.
    pub last_order: Option<EndedOrder>,
    /// Requests it is working on or has queued.
    pub requests: u32,
}

impl EngineReport {
    /// Whether the engine is in a state and changes nothing.
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

/// Why an engine refused a claim or an order. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum OrderRefusal {
    /// A newer token was seen.
    StaleToken {
        /// The newest token.
        newest: FencingToken,
    },
    /// The order was made for another incarnation.
    WrongIncarnation {
        /// The engine's incarnation.
        current: Incarnation,
    },
    /// Another order is in progress.
    Busy {
        /// Its id.
        order_id: OrderId,
    },
    /// The order's id was used with another target.
    OrderIdReused,
    /// The engine cannot hold the model.
    Impossible {
        /// Why.
        message: String,
    },
}

/// What one engine shall be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredEngine {
    /// The engine.
    pub engine: MachineId,
    /// Its wanted state; `None` leaves it as it is.
    pub target: Option<TargetState>,
}

/// Share of the engines of a model that may be away at once: the smallest `rollout_percent` of the
/// services that use it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutLimit {
    /// The model.
    pub model: ModelName,
    /// The share, in per cent; at least one engine may always be away.
    pub percent: u8,
}

/// What the cell shall be.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DesiredState {
    /// All engines of the cell.
    pub engines: Vec<DesiredEngine>,
    /// Limits by model.
    pub rollouts: Vec<RolloutLimit>,
}
