//! Selects the engines that change roles to reach a chosen split.

use super::candidates::{ROLES, is_movable};
use super::sample::EngineState;
use super::settings::PlannerSettings;
use super::split::RoleSplit;
use crate::{EngineRole, MachineId, Timestamp};

/// Planned role change of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RoleChange {
    pub engine: MachineId,
    pub from: EngineRole,
    pub to: EngineRole,
}

/// Selects the engines with the fewest sequences, which drain fastest; ties are broken by id.
pub(super) fn select_engines(
    now: Timestamp,
    engines: &[&EngineState],
    from: RoleSplit,
    to: RoleSplit,
    settings: &PlannerSettings,
) -> Vec<RoleChange> {
    let mut new_roles = Vec::new();
    for role in ROLES {
        for _ in from.of(role)..to.of(role) {
            new_roles.push(role);
        }
    }
    let mut new_roles = new_roles.into_iter();
    let mut selected = Vec::new();
    for role in ROLES {
        let leaving = from.of(role).saturating_sub(to.of(role)) as usize;
        let mut movable: Vec<&&EngineState> = engines
            .iter()
            .filter(|engine| engine.role == Some(role) && is_movable(now, engine, settings))
            .collect();
        movable.sort_by_key(|engine| (engine.sequences, engine.id));
        for engine in movable.into_iter().take(leaving) {
            if let Some(new_role) = new_roles.next() {
                selected.push(RoleChange {
                    engine: engine.id,
                    from: role,
                    to: new_role,
                });
            }
        }
    }
    selected
}
