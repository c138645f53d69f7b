//! Election of a cell's controller, the daemon that may send orders to the cell's engines.
//!
//! The controller holds the cell's key in the key-value service under a lease, whose end it
//! computes by its own clock. The key's `create_revision` is the fencing token of its orders. See
//! `docs/design/authority-and-orders.md` for the rationale.

mod answers;
mod election;
mod event;
mod settings;

pub use election::{AuthorityState, ControllerElection};
pub use event::{
    AuthorityAction, AuthorityEvent, CallFailure, CallNumber, KeyHolder, LeaseNumber, StoreAnswer,
    StoreCall,
};
pub use settings::AuthoritySettings;

use crate::CellName;

/// Key in the key-value service that the controller of `cell` holds under its lease.
#[must_use]
pub fn controller_key(cell: &CellName) -> String {
    format!("ponddrift/cells/{cell}/controller")
}
