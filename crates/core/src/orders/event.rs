//! What the reconciler takes and gives.

use super::reason::SetAsideReason;
use super::types::{DesiredState, EngineReport, Order, OrderRefusal};
use crate::decision::DecisionRecord;
use crate::drain::DrainReason;
use crate::{FencingToken, MachineId, OrderId};

/// Number of a read of an engine's state; larger for a read that was begun later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReadNumber(pub u64);

/// Why a call to an engine had no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineCallError {
    /// It certainly did not reach the engine, or was not sent (the lease was too short).
    NotSent,
    /// It may have reached the engine.
    AnswerLost,
    /// The engine refused it.
    Refused(OrderRefusal),
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersEvent {
    /// Time passed; expected every 100 ms.
    Tick,
    /// The planner or the configuration want something else.
    DesiredChanged(DesiredState),
    /// An engine accepted the claim.
    Claimed {
        /// The engine.
        engine: MachineId,
        /// What it reports.
        report: EngineReport,
    },
    /// A claim had no result.
    ClaimFailed {
        /// The engine.
        engine: MachineId,
        /// Why.
        problem: EngineCallError,
    },
    /// An engine's state was read.
    Read {
        /// The engine.
        engine: MachineId,
        /// Number of the read.
        number: ReadNumber,
        /// What it reports; `None` if it could not be read.
        report: Option<EngineReport>,
    },
    /// An engine took an order.
    OrderAccepted {
        /// The engine.
        engine: MachineId,
        /// The order.
        order_id: OrderId,
        /// What it reports.
        report: EngineReport,
    },
    /// An order had no result.
    OrderFailed {
        /// The engine.
        engine: MachineId,
        /// The order.
        order_id: OrderId,
        /// Why.
        problem: EngineCallError,
    },
    /// No daemon routes to the engine any more. The shell says so again at each tick for which
    /// `DrainTracker::progress` gives `Acknowledged`.
    DrainAcknowledged {
        /// The engine.
        engine: MachineId,
    },
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersAction {
    /// Claim an engine, if `LeaseHolder::may_order` still allows it.
    Claim {
        /// The engine.
        engine: MachineId,
        /// The own token.
        token: FencingToken,
    },
    /// Read an engine's state.
    ReadState {
        /// The engine.
        engine: MachineId,
        /// Number of the read.
        number: ReadNumber,
    },
    /// Mark an engine as drained.
    BeginDrain {
        /// The engine.
        engine: MachineId,
        /// Why.
        reason: DrainReason,
    },
    /// Release an engine.
    EndDrain {
        /// The engine.
        engine: MachineId,
    },
    /// Send an order, if `LeaseHolder::may_order` still allows it; else report `NotSent`.
    SendOrder {
        /// The engine.
        engine: MachineId,
        /// The order.
        order: Order,
    },
    /// An engine was set aside. It stays drained.
    SetAside {
        /// The engine.
        engine: MachineId,
        /// Why.
        reason: SetAsideReason,
    },
    /// An engine has seen a newer token: authority is lost.
    TokenRefused {
        /// The newer token.
        newest: FencingToken,
    },
    /// Keep a decision.
    Record(DecisionRecord),
}
