//! Enumerates the role splits that a single plan can reach.

use super::sample::{EngineAvailability, EngineState};
use super::settings::PlannerSettings;
use super::split::RoleSplit;
use super::value::Transition;
use crate::{EngineRole, Timestamp};

/// All roles, in a fixed order that keeps planning deterministic.
pub(super) const ROLES: [EngineRole; 3] =
    [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];

/// Numbers of a model's engines by role and availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct EngineCounts {
    /// Serving engines.
    pub serving: RoleSplit,
    /// Engines that serve, or will serve once their current change completes.
    pub settled: RoleSplit,
    /// Serving engines whose role may be changed now.
    pub movable: RoleSplit,
    /// Number of engines that this plan may change, given the limit on unavailable engines.
    pub change_budget: u32,
    /// Engines that are draining or changing.
    pub unavailable: u32,
}

impl EngineCounts {
    pub fn new(now: Timestamp, engines: &[&EngineState], settings: &PlannerSettings) -> Self {
        let mut counts = Self::default();
        for engine in engines {
            match (engine.availability, engine.role) {
                (EngineAvailability::Serving, Some(role)) => {
                    counts.serving = counts.serving.with(role);
                    counts.settled = counts.settled.with(role);
                    if is_movable(now, engine, settings) {
                        counts.movable = counts.movable.with(role);
                    }
                }
                (EngineAvailability::Changing { to }, _) => {
                    counts.settled = counts.settled.with(to);
                    counts.unavailable += 1;
                }
                _ => {}
            }
        }
        counts.change_budget = unavailable_limit(counts.settled.total(), settings)
            .saturating_sub(counts.unavailable)
            .min(settings.maximum_changes);
        counts
    }

    /// The transition that starts no change; changes in progress complete.
    pub fn without_changes(&self) -> Transition {
        Transition {
            during: self.serving,
            after: self.settled,
            changes: self.unavailable,
            cold_cache_engines: 0,
        }
    }

    /// Transitions to every other split that the change budget, dwell times and pins allow.
    pub fn reachable(&self) -> Vec<Transition> {
        let total = self.settled.total();
        let mut found = Vec::new();
        for prefill in 0..=total {
            for decode in 0..=(total - prefill) {
                let after = RoleSplit {
                    prefill,
                    decode,
                    mixed: total - prefill - decode,
                };
                found.extend(self.transition(after));
            }
        }
        found
    }

    /// The transition to `after`; `None` if it is not allowed, changes nothing or interrupts
    /// service.
    fn transition(&self, after: RoleSplit) -> Option<Transition> {
        let changes = self.settled.changes_to(after);
        if changes == 0 || changes > self.change_budget || !after.can_serve() {
            return None;
        }
        let mut during = RoleSplit::default();
        for role in ROLES {
            let leaving = self.settled.of(role).saturating_sub(after.of(role));
            if leaving > self.movable.of(role) {
                return None;
            }
            for _ in 0..self.serving.of(role) - leaving {
                during = during.with(role);
            }
        }
        let added_decode_engines = after.decode.saturating_sub(self.settled.decode);
        (during.can_serve() || !self.serving.can_serve()).then_some(Transition {
            during,
            after,
            changes,
            cold_cache_engines: changes - added_decode_engines,
        })
    }
}

/// Number of a model's engines that may be unavailable at once.
pub(super) fn unavailable_limit(engines: u32, settings: &PlannerSettings) -> u32 {
    let share = f64::from(engines) * settings.maximum_unavailable_share;
    (share.floor() as u32).max(1)
}

/// Whether the planner may change an engine's role: it serves, is not pinned, and has kept its
/// role for the minimum dwell time.
pub(super) fn is_movable(now: Timestamp, engine: &EngineState, settings: &PlannerSettings) -> bool {
    engine.availability == EngineAvailability::Serving
        && engine.pinned.is_none()
        && now.since(engine.since) >= settings.minimum_dwell
}
