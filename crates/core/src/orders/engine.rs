//! State that the reconciler keeps for each engine.

use super::event::ReadNumber;
use super::types::{EngineReport, Order, TargetState};
use crate::{ModelName, Timestamp};

/// Progress of an engine towards its desired state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnginePhase {
    /// No change is in progress.
    Steady,
    /// Daemons stop routing to the engine, and its running requests finish.
    Draining {
        /// Start of the drain.
        since: Timestamp,
        /// Time at which all daemons were known to have stopped routing.
        acknowledged: Option<Timestamp>,
        /// First read issued after requests in transit have arrived. Only the report of this read
        /// or a later one can show that the engine is idle.
        idle_read: Option<ReadNumber>,
        /// Whether the latest such report showed no requests.
        is_idle: bool,
    },
    /// An order was sent and has not ended.
    Ordered {
        /// The order. It is resent with the same id; no other order may be sent until it ends.
        order: Order,
        /// Time of the last send.
        sent_at: Timestamp,
    },
    /// The engine failed too often or refused the order as impossible. It stays drained.
    SetAside,
}

/// State of one engine.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub target: Option<TargetState>,
    pub is_claimed: bool,
    /// A claim failed or the engine restarted, so it does not block orders to other engines.
    pub was_unreachable: bool,
    pub claim_in_flight: bool,
    pub report: Option<EngineReport>,
    pub phase: EnginePhase,
    pub attempts: u32,
    /// Earliest time for the next change or claim.
    pub not_before: Timestamp,
    pub next_read_at: Timestamp,
    pub read_in_flight: Option<(ReadNumber, Timestamp)>,
    /// Whether the current wait was recorded; prevents duplicate decision records.
    pub wait_recorded: bool,
}

impl Engine {
    pub const fn new(target: Option<TargetState>) -> Self {
        Self {
            target,
            is_claimed: false,
            was_unreachable: false,
            claim_in_flight: false,
            report: None,
            phase: EnginePhase::Steady,
            attempts: 0,
            not_before: Timestamp::ZERO,
            next_read_at: Timestamp::ZERO,
            read_in_flight: None,
            wait_recorded: false,
        }
    }

    /// Whether the engine reports its target state, or serves requests if it has no target.
    pub fn matches_target(&self) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        match &self.target {
            Some(target) => report.is_at(target),
            None => report.is_serving(),
        }
    }

    /// Whether the engine is unavailable or about to become so. Engines set aside do not count.
    pub fn is_unavailable(&self) -> bool {
        let is_changing = matches!(
            self.phase,
            EnginePhase::Draining { .. } | EnginePhase::Ordered { .. }
        );
        let is_unclear = self
            .report
            .as_ref()
            .is_some_and(|report| !report.is_serving());
        is_changing || (is_unclear && self.phase != EnginePhase::SetAside)
    }

    /// The model whose capacity the engine provides: the loaded model, otherwise the target model.
    pub fn model(&self) -> Option<&ModelName> {
        let loaded = self
            .report
            .as_ref()
            .and_then(|report| report.model.as_ref());
        let desired = self.target.as_ref().map(|target| &target.model);
        loaded.or(desired).map(|model| &model.model)
    }

    /// Whether the outstanding order loads weights.
    pub fn is_loading(&self) -> bool {
        let EnginePhase::Ordered { order, .. } = &self.phase else {
            return false;
        };
        self.needs_weights(&order.target)
    }

    /// Whether the engine must load weights to reach `target`.
    pub fn needs_weights(&self, target: &TargetState) -> bool {
        let loaded = self
            .report
            .as_ref()
            .and_then(|report| report.model.as_ref());
        loaded.is_none_or(|loaded| {
            loaded.model != target.model.model || loaded.version != target.model.version
        })
    }
}
