//! Draining of back ends: every daemon stops routing to a back end before it is changed or removed.
//!
//! [`DrainTable`] stores the drain marks known to a daemon. [`ViewLeases`] limits how long a daemon
//! may route with its view of a cell. [`DrainTracker`] tells the controller when no daemon can
//! route to a back end any more. The safety argument and its limits are in `docs/design/drains.md`.

mod mark;
mod table;
mod tracker;
mod view;

pub use mark::{DrainAck, DrainMark, DrainReason, DrainSource, DrainState, DrainVersion};
pub use table::{DrainAction, DrainTable};
pub use tracker::{DrainProgress, DrainTracker, DrainTrackerSettings, KnownDaemon};
pub use view::{ViewLeaseSettings, ViewLeases, ViewRequest, ViewSource, ViewStatus};
