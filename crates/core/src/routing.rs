//! Routing: selection of a back end for each request.
//!
//! Each daemon decides independently, based on load digests that are always slightly outdated.
//! [`Router`] samples a few candidates, compares their estimated times and reports the reason for
//! its choice.

mod outlier;
mod placement;
mod prefix_index;
mod rates;
mod router;
mod score;
mod settings;
mod view;

pub use outlier::{Eligibility, OutlierDetector, OutlierGroup, OutlierSettings};
pub use placement::{
    CandidateEstimate, Placement, PlacementPlan, PlacementReason, RouteRequest, RouteTarget,
    RoutingRefusal, VersionRule,
};
pub use prefix_index::{PrefixChange, PrefixIndex, PrefixIndexSettings};
pub use rates::{EngineRates, MovingAverage};
pub use router::{Router, RoutingEvent, SendOutcome, SendStage, Sent};
pub use settings::RouterSettings;
pub use view::{BackEndKind, BackEndView, EngineView};
