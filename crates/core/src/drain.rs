//! Draining a back end: routing stops everywhere before it is changed or leaves.
//!
//! [`DrainTable`] holds the marks at each daemon, [`ViewLeases`] bound how long a daemon may route on
//! its view, and [`DrainTracker`] tells a controller when no daemon can route to a back end any more.
//! `docs/design/drains.md` gives the argument and the window that remains.

mod mark;
mod table;
mod tracker;
mod view;

pub use mark::{DrainAck, DrainMark, DrainReason, DrainSource, DrainState, DrainVersion};
pub use table::{DrainAction, DrainTable};
pub use tracker::{DrainProgress, DrainTracker, DrainTrackerSettings, KnownDaemon};
pub use view::{ViewLeaseSettings, ViewLeases, ViewRequest, ViewSource, ViewStatus};
