//! What back ends report of their present load.

use std::time::{Duration, Instant};

/// A report is used for this long. The load of a shared machine changes many times a second.
pub const PRESENT_LOAD_TTL: Duration = Duration::from_millis(900);
/// Bounds of the ratio of present times to usual ones that a report may name.
const BUSYNESS_BOUNDS: (f64, f64) = (0.01, 100.0);

/// Ratio of the times that a back end takes at present to its usual ones; 2 is half as fast.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Busyness(f64);

impl Busyness {
    /// Returns `None` for a ratio that cannot be.
    #[must_use]
    pub fn new(ratio: f64) -> Option<Self> {
        let (min, max) = BUSYNESS_BOUNDS;
        (ratio >= min && ratio <= max).then_some(Self(ratio))
    }

    /// The ratio.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.0
    }
}

/// Load that a back end reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PresentLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at most.
    pub slots: u32,
    /// How busy its machine is; `None` if it does not report that.
    pub busyness: Option<Busyness>,
}

/// What an answer says of the load of its back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadAnnouncement {
    /// Nothing.
    None,
    /// Something that cannot be read.
    Unreadable,
    /// The present load.
    Reported(PresentLoad),
}

/// A busyness and when it was reported.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedBusyness {
    pub(super) busyness: Busyness,
    pub(super) at: Instant,
}

impl ReportedBusyness {
    pub(super) fn now(self, now: Instant) -> Option<Busyness> {
        let age = now.saturating_duration_since(self.at);
        (age < PRESENT_LOAD_TTL).then_some(self.busyness)
    }
}
