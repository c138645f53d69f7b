//! Events handled by the reconciler and the actions it returns.

use super::reason::SetAsideReason;
use super::types::{DesiredState, EngineReport, Order, OrderRefusal};
use crate::decision::DecisionRecord;
use crate::drain::DrainReason;
use crate::{FencingToken, MachineId, OrderId};

/// Sequence number of a read of an engine's state; a later read has a larger number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReadNumber(pub u64);

/// Why a call to an engine did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineCallError {
    /// The call did not reach the engine, or was not sent because the lease was about to expire.
    NotSent,
    /// The outcome is unknown: the call may have reached the engine.
    AnswerLost,
    /// The engine refused the call.
    Refused(OrderRefusal),
}

/// Input to the reconciler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersEvent {
    /// Periodic timer, expected every 100 ms.
    Tick,
    /// The planner or the configuration changed the desired state.
    DesiredChanged(DesiredState),
    /// An engine accepted the claim.
    Claimed {
        /// Engine concerned.
        engine: MachineId,
        /// State reported by the engine.
        report: EngineReport,
    },
    /// A claim did not succeed.
    ClaimFailed {
        /// Engine concerned.
        engine: MachineId,
        /// Cause of the failure.
        problem: EngineCallError,
    },
    /// An engine's state was read.
    Read {
        /// Engine concerned.
        engine: MachineId,
        /// Sequence number of the read.
        number: ReadNumber,
        /// State reported by the engine; `None` if the read failed.
        report: Option<EngineReport>,
    },
    /// An engine accepted an order.
    OrderAccepted {
        /// Engine concerned.
        engine: MachineId,
        /// Id of the order.
        order_id: OrderId,
        /// State reported by the engine.
        report: EngineReport,
    },
    /// Sending an order did not succeed.
    OrderFailed {
        /// Engine concerned.
        engine: MachineId,
        /// Id of the order.
        order_id: OrderId,
        /// Cause of the failure.
        problem: EngineCallError,
    },
    /// No daemon routes to the engine any more. The caller repeats this event at each tick for
    /// which `DrainTracker::progress` returns `Acknowledged`.
    DrainAcknowledged {
        /// Engine concerned.
        engine: MachineId,
    },
}

/// Action that the caller must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersAction {
    /// Claim an engine, but only while `ControllerElection::may_order` allows it.
    Claim {
        /// Engine concerned.
        engine: MachineId,
        /// This controller's token.
        token: FencingToken,
    },
    /// Read an engine's state.
    ReadState {
        /// Engine concerned.
        engine: MachineId,
        /// Sequence number of the read.
        number: ReadNumber,
    },
    /// Start draining an engine.
    BeginDrain {
        /// Engine concerned.
        engine: MachineId,
        /// Reason of the drain.
        reason: DrainReason,
    },
    /// Release a drained engine.
    EndDrain {
        /// Engine concerned.
        engine: MachineId,
    },
    /// Send an order, but only while `ControllerElection::may_order` allows it; otherwise report
    /// `NotSent`.
    SendOrder {
        /// Engine concerned.
        engine: MachineId,
        /// Order to send.
        order: Order,
    },
    /// Report that an engine was set aside. It stays drained.
    SetAside {
        /// Engine concerned.
        engine: MachineId,
        /// Reason, including the remedy.
        reason: SetAsideReason,
    },
    /// An engine has seen a newer token, so this controller has lost its authority.
    TokenRefused {
        /// The newer token.
        newest: FencingToken,
    },
    /// Store a decision record.
    Record(DecisionRecord),
}
