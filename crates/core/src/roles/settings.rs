//! Settings of the role planner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::capacity::{EngineCapacity, LatencyTargets};

/// Trade-off between goodput and the number of role changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlannerProfile {
    /// Favours goodput when demand shifts.
    #[default]
    Hanbit,
    /// Favours few role changes.
    HeadOffice,
}

impl PlannerProfile {
    /// Name of the profile in settings and on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hanbit => "hanbit",
            Self::HeadOffice => "head-office",
        }
    }
}

/// Settings of a [`super::RolePlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerSettings {
    /// Interval between plans.
    pub interval: Duration,
    /// Minimum time for which an engine keeps a role.
    pub minimum_dwell: Duration,
    /// Period over which the gain of a change is evaluated.
    pub horizon: Duration,
    /// Number of points within the horizon at which splits are compared.
    pub horizon_points: u32,
    /// Length of the history from which level and trend are estimated.
    pub trend_window: Duration,
    /// Significance threshold of a trend, in standard deviations of Kendall's statistic.
    pub trend_significance: f64,
    /// Time constant of the exponential decay of a trend.
    pub trend_decay_time: Duration,
    /// Weight of past demand relative to the forecast when splits are compared. A split that also
    /// serves past demand needs fewer changes when that demand recurs.
    pub past_weight: f64,
    /// Period covered by one snapshot of past demand.
    pub past_snapshot: Duration,
    /// Number of snapshots that are kept.
    pub past_snapshots: usize,
    /// Minimum number of samples before the first change.
    pub minimum_samples: usize,
    /// Minimum gain of any plan, as a share of the requests within the horizon.
    pub minimum_gain: f64,
    /// Additional gain required for each changed engine.
    pub gain_per_change: f64,
    /// Number of consecutive plans that must propose the same direction; suppresses noise.
    pub confirmations: u32,
    /// Maximum share of a model's engines that are unavailable at once. One engine is always
    /// allowed.
    pub maximum_unavailable_share: f64,
    /// Maximum number of a model's engines that one plan changes.
    pub maximum_changes: u32,
    /// Expected duration of a drain.
    pub drain: Duration,
    /// Expected duration of a role change.
    pub role_change: Duration,
    /// Time after a change during which an engine's prefix cache is considered cold.
    pub cold_cache: Duration,
    /// Latency targets of interactive requests.
    pub targets: LatencyTargets,
    /// Engine capacity assumed before the first measurement.
    pub engine: EngineCapacity,
}

impl PlannerSettings {
    /// Settings of a profile.
    #[must_use]
    pub fn of(profile: PlannerProfile) -> Self {
        let goodput_first = Self {
            interval: Duration::from_secs(2),
            minimum_dwell: Duration::from_secs(20),
            horizon: Duration::from_secs(60),
            horizon_points: 6,
            trend_window: Duration::from_secs(30),
            trend_significance: 2.6,
            trend_decay_time: Duration::from_secs(20),
            past_weight: 0.7,
            past_snapshot: Duration::from_secs(20),
            past_snapshots: 30,
            minimum_samples: 3,
            minimum_gain: 0.015,
            gain_per_change: 0.002,
            confirmations: 2,
            maximum_unavailable_share: 0.25,
            maximum_changes: 4,
            drain: Duration::from_secs(6),
            role_change: Duration::from_secs(4),
            cold_cache: Duration::from_secs(10),
            targets: LatencyTargets::default(),
            engine: EngineCapacity::default(),
        };
        match profile {
            PlannerProfile::Hanbit => goodput_first,
            PlannerProfile::HeadOffice => Self {
                minimum_dwell: Duration::from_secs(45),
                minimum_gain: 0.045,
                gain_per_change: 0.005,
                confirmations: 3,
                ..goodput_first
            },
        }
    }

    /// Minimum gain of a plan with the given number of changes, as a share of the requests within
    /// the horizon.
    #[must_use]
    pub fn gain_needed(&self, changes: u32) -> f64 {
        self.minimum_gain + self.gain_per_change * f64::from(changes)
    }
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self::of(PlannerProfile::default())
    }
}
