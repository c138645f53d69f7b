//! Decisions of the reconciler and their reasons, as shown to operators.

use std::fmt;

use crate::drain::DrainReason;
use crate::{ModelName, OrderId};

/// Why an engine was set aside. The message includes the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SetAsideReason {
    /// Changing the engine failed too often.
    #[error(
        "{attempts} tries failed, the last with {message:?}: look at the engine, then restart it or give it another model or role"
    )]
    AttemptsFailed {
        /// Number of failed attempts.
        attempts: u32,
        /// Message of the last failure.
        message: String,
    },
    /// The engine cannot hold the model.
    #[error("it cannot hold the model ({message}): give it another model")]
    Impossible {
        /// Message from the engine.
        message: String,
    },
}

/// A decision about one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// A drain starts.
    Drain(DrainReason),
    /// The change waits because too many engines of the cell are unavailable.
    WaitForCell {
        /// Number of engines that may be unavailable at once.
        limit: usize,
    },
    /// The change waits because too many engines of the model are unavailable.
    WaitForRollout {
        /// Model that the limit applies to.
        model: ModelName,
        /// Number of engines that may be unavailable at once.
        limit: usize,
    },
    /// An order is issued.
    Order {
        /// Id of the order.
        order_id: OrderId,
    },
    /// The engine reports its target state and is released.
    TargetReached,
    /// The engine is released unchanged because no change is needed any more.
    Released,
    /// The drain exceeded its time limit; the engine is released and drained again later.
    DrainTimedOut,
    /// An attempt to change the engine failed.
    AttemptFailed {
        /// Number of failed attempts so far.
        attempts: u32,
        /// Cause of the failure.
        message: String,
    },
    /// The engine restarted and must be claimed again.
    Restarted,
    /// The engine is set aside.
    SetAside(SetAsideReason),
    /// All order ids of this token are used; this controller issues no further orders.
    OrderIdsExhausted,
}

impl OrderDecision {
    /// The decision as shown to operators.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Drain(_) => "drain",
            Self::WaitForCell { .. } | Self::WaitForRollout { .. } => "wait",
            Self::Order { .. } => "order",
            Self::TargetReached => "in service",
            Self::Released | Self::DrainTimedOut => "release",
            Self::AttemptFailed { .. } => "try again",
            Self::Restarted => "claim again",
            Self::SetAside(_) => "set aside",
            Self::OrderIdsExhausted => "stop",
        }
    }
}

impl fmt::Display for OrderDecision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Drain(reason) => formatter.write_str(reason.as_str()),
            Self::WaitForCell { limit } => {
                write!(formatter, "{limit} engines of the cell may be away at once")
            }
            Self::WaitForRollout { model, limit } => {
                write!(
                    formatter,
                    "{limit} engines of model {model} may be away at once"
                )
            }
            Self::Order { order_id } => {
                write!(formatter, "drained and idle; order {order_id}")
            }
            Self::TargetReached => formatter.write_str("it reports the wanted state"),
            Self::Released => formatter.write_str("no change is wanted any more"),
            Self::DrainTimedOut => {
                formatter.write_str("its drain took too long; it is tried again later")
            }
            Self::AttemptFailed { attempts, message } => {
                write!(formatter, "try {attempts} failed: {message}")
            }
            Self::Restarted => formatter.write_str("it started again"),
            Self::SetAside(reason) => reason.fmt(formatter),
            Self::OrderIdsExhausted => formatter.write_str(
                "all order ids of this token are used: let another daemon become controller",
            ),
        }
    }
}
