//! Reconciling the engines of one cell with their wanted state by fenced orders.
//!
//! [`Reconciler`] is level-triggered: it compares what each engine reports with what is wanted, and
//! carries nothing over from an earlier controller. `docs/design/authority-and-orders.md` gives the
//! reasons and the window that remains.

mod draining;
mod engine;
mod event;
mod limits;
mod outcome;
mod reason;
mod reconciler;
mod settings;
mod types;

pub use engine::EnginePhase;
pub use event::{EngineCallError, OrdersAction, OrdersEvent, ReadNumber};
pub use reason::{OrderDecision, SetAsideReason};
pub use reconciler::Reconciler;
pub use settings::OrdersSettings;
pub use types::{
    DesiredEngine, DesiredState, EndedOrder, EngineReport, LoadedModel, Order, OrderRefusal,
    RolloutLimit, RunningOrder, TargetState, order_id,
};
