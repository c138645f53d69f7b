//! Splits that are fixed beforehand: static, mixed, and the oracle's plans.

use ponddrift_core::roles::{
    DemandSample, EngineAvailability, EngineSample, EngineState, RoleSplit,
};
use ponddrift_core::{EngineRole, Timestamp};

use super::{RoleController, RoleOrder};

/// Largest share of the engines that a schedule takes away at once; the planner's own bound.
const MAXIMUM_AWAY_SHARE: f64 = 0.25;
const ROLES: [EngineRole; 3] = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];

/// From when on a split is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulePoint {
    /// From when on.
    pub at: Timestamp,
    /// The split.
    pub split: RoleSplit,
}

/// Splits over time; the first one is there from the begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// Ordered by time; at least one.
    pub points: Vec<SchedulePoint>,
}

impl Schedule {
    /// One split for ever.
    #[must_use]
    pub fn fixed(split: RoleSplit) -> Self {
        let at = Timestamp::ZERO;
        Self {
            points: vec![SchedulePoint { at, split }],
        }
    }

    /// The split wanted at a time.
    #[must_use]
    pub fn split(&self, now: Timestamp) -> RoleSplit {
        let begun = self.points.iter().take_while(|point| point.at <= now);
        begun
            .last()
            .or(self.points.first())
            .map_or_else(RoleSplit::default, |point| point.split)
    }
}

/// Follows a schedule.
#[derive(Debug, Clone)]
pub struct ScheduleController {
    schedule: Schedule,
}

impl ScheduleController {
    /// Follows `schedule`.
    #[must_use]
    pub const fn new(schedule: Schedule) -> Self {
        Self { schedule }
    }
}

impl RoleController for ScheduleController {
    fn observe(&mut self, _now: Timestamp, _demand: &DemandSample, _engines: &[EngineSample]) {}

    fn plan(&mut self, now: Timestamp, engines: &[EngineState]) -> Vec<RoleOrder> {
        towards(self.schedule.split(now), engines)
    }
}

/// Changes that bring the engines nearer to a split, as many as may be away.
///
/// When engines are lost the split cannot be reached; roles with the largest lack come first.
pub(super) fn towards(wanted: RoleSplit, engines: &[EngineState]) -> Vec<RoleOrder> {
    let mut settled = RoleSplit::default();
    let mut serving = RoleSplit::default();
    let mut away = 0;
    for engine in engines {
        match (engine.availability, engine.role) {
            (EngineAvailability::Serving, Some(role)) => {
                settled = settled.with(role);
                serving = serving.with(role);
            }
            (EngineAvailability::Changing { to }, _) => {
                settled = settled.with(to);
                away += 1;
            }
            _ => {}
        }
    }
    let mut orders = Vec::new();
    for engine in engines {
        if engine.availability != EngineAvailability::Unassigned {
            continue;
        }
        let to = most_lacking(wanted, settled).unwrap_or(EngineRole::Mixed);
        settled = settled.with(to);
        orders.push(RoleOrder {
            engine: engine.id,
            to,
        });
    }
    let allowed = (f64::from(settled.total()) * MAXIMUM_AWAY_SHARE).max(1.0) as u32;
    let mut candidates: Vec<&EngineState> = engines
        .iter()
        .filter(|engine| engine.availability == EngineAvailability::Serving)
        .collect();
    candidates.sort_by_key(|engine| (engine.sequences, engine.id));
    for engine in candidates {
        let Some(role) = engine.role else { continue };
        let has_surplus = settled.of(role) > wanted.of(role);
        let Some(to) = most_lacking(wanted, settled) else {
            break;
        };
        if away >= allowed || !has_surplus || !serving.without(role).can_serve() {
            continue;
        }
        away += 1;
        serving = serving.without(role);
        settled = settled.without(role).with(to);
        orders.push(RoleOrder {
            engine: engine.id,
            to,
        });
    }
    orders
}

fn most_lacking(wanted: RoleSplit, settled: RoleSplit) -> Option<EngineRole> {
    let lack = |role: EngineRole| wanted.of(role).saturating_sub(settled.of(role));
    ROLES
        .into_iter()
        .filter(|role| lack(*role) > 0)
        .max_by_key(|role| lack(*role))
}
