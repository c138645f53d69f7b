//! The splits that can be reached by one plan.

use super::sample::{EngineAvailability, EngineState};
use super::settings::PlannerSettings;
use super::split::RoleSplit;
use super::value::Transition;
use crate::{EngineRole, Timestamp};

/// The roles, in the order in which splits are listed.
pub(super) const ROLES: [EngineRole; 3] =
    [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];

/// A model's engines, counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Census {
    /// Engines that serve.
    pub serving: RoleSplit,
    /// Engines that serve or will once their change is done.
    pub settled: RoleSplit,
    /// Engines that serve and may be changed.
    pub movable: RoleSplit,
    /// Engines that may be changed now in all, by the share that may be away.
    pub budget: u32,
    /// Engines away.
    pub away: u32,
}

impl Census {
    pub fn new(now: Timestamp, engines: &[&EngineState], settings: &PlannerSettings) -> Self {
        let mut census = Self::default();
        for engine in engines {
            match (engine.availability, engine.role) {
                (EngineAvailability::Serving, Some(role)) => {
                    census.serving = census.serving.with(role);
                    census.settled = census.settled.with(role);
                    if is_movable(now, engine, settings) {
                        census.movable = census.movable.with(role);
                    }
                }
                (EngineAvailability::Changing { to }, _) => {
                    census.settled = census.settled.with(to);
                    census.away += 1;
                }
                _ => {}
            }
        }
        census.budget = allowed_away(census.settled.total(), settings)
            .saturating_sub(census.away)
            .min(settings.maximum_changes);
        census
    }

    /// Nothing is changed; engines that are away come back.
    pub fn stay(&self) -> Transition {
        Transition {
            meanwhile: self.serving,
            after: self.settled,
            changes: self.away,
            changed_readers: 0,
        }
    }

    /// Every other split that the budget, dwell times and pins allow.
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

    fn transition(&self, after: RoleSplit) -> Option<Transition> {
        let changes = self.settled.changes_to(after);
        if changes == 0 || changes > self.budget || !after.can_serve() {
            return None;
        }
        let mut meanwhile = RoleSplit::default();
        for role in ROLES {
            let leaving = self.settled.of(role).saturating_sub(after.of(role));
            if leaving > self.movable.of(role) {
                return None;
            }
            for _ in 0..self.serving.of(role) - leaving {
                meanwhile = meanwhile.with(role);
            }
        }
        let new_decoders = after.decode.saturating_sub(self.settled.decode);
        (meanwhile.can_serve() || !self.serving.can_serve()).then_some(Transition {
            meanwhile,
            after,
            changes,
            changed_readers: changes - new_decoders,
        })
    }
}

/// Engines of a model that may be away at once.
pub(super) fn allowed_away(engines: u32, settings: &PlannerSettings) -> u32 {
    let share = f64::from(engines) * settings.maximum_away_share;
    (share.floor() as u32).max(1)
}

/// Whether an engine's role may be changed for the split's sake.
pub(super) fn is_movable(now: Timestamp, engine: &EngineState, settings: &PlannerSettings) -> bool {
    engine.availability == EngineAvailability::Serving
        && engine.pinned.is_none()
        && now.since(engine.since) >= settings.minimum_dwell
}
