//! Names of what can decide about roles.

use serde::Serialize;

/// A planner or a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlannerName {
    /// The daemon's own planner.
    Ponddrift,
    /// The best fixed split found.
    Static,
    /// All engines mixed.
    Mixed,
    /// A naive reactive rule.
    Threshold,
    /// The best plan found with the trace known.
    Oracle,
}

impl PlannerName {
    /// All of them, in the order of the report.
    pub const ALL: [Self; 5] = [
        Self::Ponddrift,
        Self::Static,
        Self::Mixed,
        Self::Threshold,
        Self::Oracle,
    ];

    /// The name on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ponddrift => "ponddrift",
            Self::Static => "static",
            Self::Mixed => "mixed",
            Self::Threshold => "threshold",
            Self::Oracle => "oracle",
        }
    }

    /// The planner of a name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|known| known.as_str() == name)
    }
}
