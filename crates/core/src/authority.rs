//! Authority over a cell: which daemon is its controller, and until when by its own clock.
//!
//! The controller holds the cell's key in the key-value service under a lease. The key's
//! `create_revision` is the fencing token of its orders. `docs/design/authority-and-orders.md` gives
//! the reasons.

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

/// Key of a cell's controller.
#[must_use]
pub fn controller_key(cell: &CellName) -> String {
    format!("ponddrift/cells/{cell}/controller")
}
