//! Limits on the number of engines that are unavailable at once.

use std::collections::BTreeMap;

use super::engine::Engine;
use super::reason::OrderDecision;
use super::settings::OrdersSettings;
use super::types::RolloutLimit;
use crate::MachineId;

const PERCENT: usize = 100;

/// Returns the limit that currently prevents draining `engine`, if any.
///
/// Engines that were set aside or cannot be reached are not counted, because they would block
/// every later change.
pub(super) fn blocking_limit(
    engines: &BTreeMap<MachineId, Engine>,
    engine: &Engine,
    rollouts: &[RolloutLimit],
    settings: &OrdersSettings,
) -> Option<OrderDecision> {
    let unavailable = engines
        .values()
        .filter(|other| other.is_unavailable())
        .count();
    if unavailable >= settings.maximum_unavailable {
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
    let engine_count = same_model().count();
    let limit = (engine_count * usize::from(rollout.percent) / PERCENT).max(1);
    let unavailable = same_model().filter(|other| other.is_unavailable()).count();
    (unavailable >= limit).then(|| OrderDecision::WaitForRollout {
        model: model.clone(),
        limit,
    })
}
