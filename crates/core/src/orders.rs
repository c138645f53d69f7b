//! Reconciles the engines of one cell with their desired state by means of fenced orders.
//!
//! [`Reconciler`] is level-triggered: it compares the state that each engine reports with the
//! desired state and inherits nothing from an earlier controller. The safety argument and its
//! limits are in `docs/design/authority-and-orders.md`.

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
