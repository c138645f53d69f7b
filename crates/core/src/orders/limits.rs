//! How many engines may be away at once.

use std::collections::BTreeMap;

use super::engine::Engine;
use super::reason::OrderDecision;
use super::settings::OrdersSettings;
use super::types::RolloutLimit;
use crate::MachineId;

const PERCENT: usize = 100;

/// Why `engine` must wait before it is taken away; `None` if it need not.
///
/// Engines that are set aside or cannot be reached do not count: they would block every later change.
pub(super) fn reason_to_wait(
    engines: &BTreeMap<MachineId, Engine>,
    engine: &Engine,
    rollouts: &[RolloutLimit],
    settings: &OrdersSettings,
) -> Option<OrderDecision> {
    let away = engines.values().filter(|other| other.is_away()).count();
    if away >= settings.maximum_unavailable {
        return Some(OrderDecision::WaitForCell {
            limit: settings.maximum_unavailable,
        });
    }
    let model = engine.model()?;
    let rollout = rollouts.iter().find(|rollout| rollout.model == *model)?;
    let same_model = || {
        engines
            .values()
            .filter(|other| other.model() == Some(model))
    };
    let size = same_model().count();
    let limit = (size * usize::from(rollout.percent) / PERCENT).max(1);
    let away = same_model().filter(|other| other.is_away()).count();
    (away >= limit).then(|| OrderDecision::WaitForRollout {
        model: model.clone(),
        limit,
    })
}
