//! A naive reactive rule, for comparison.

use ponddrift_core::roles::{
    DemandSample, EngineAvailability, EngineSample, EngineState, RoleSplit,
};
use ponddrift_core::{EngineRole, Timestamp};

use super::schedule::towards;
use super::{RoleController, RoleOrder};

/// Prompt tokens waiting for each prefill engine above which one more is wanted.
const WAITING_TOKENS_HIGH: f64 = 10_000.0;
/// Sequences on each decode engine above which one more is wanted.
const RUNNING_HIGH: f64 = 60.0;

/// Moves one engine whenever a queue is long, with no memory and no cost in mind.
#[derive(Debug, Clone, Default)]
pub struct ThresholdController {
    waiting_prompt_tokens: f64,
}

impl RoleController for ThresholdController {
    fn observe(&mut self, _now: Timestamp, demand: &DemandSample, _engines: &[EngineSample]) {
        self.waiting_prompt_tokens = demand.waiting_prompt_tokens as f64;
    }

    fn plan(&mut self, _now: Timestamp, engines: &[EngineState]) -> Vec<RoleOrder> {
        let mut split = RoleSplit::default();
        let mut decoding = 0;
        for engine in engines {
            let role = match engine.availability {
                EngineAvailability::Changing { to } => Some(to),
                EngineAvailability::Serving => engine.role,
                EngineAvailability::Unassigned | EngineAvailability::Lost => None,
            };
            let Some(role) = role else { continue };
            split = split.with(role);
            if role == EngineRole::Decode {
                decoding += engine.sequences;
            }
        }
        let waiting = self.waiting_prompt_tokens / f64::from(split.prefill.max(1));
        let running = f64::from(decoding) / f64::from(split.decode.max(1));
        let wanted = if waiting > WAITING_TOKENS_HIGH && split.decode > 1 {
            split.without(EngineRole::Decode).with(EngineRole::Prefill)
        } else if running > RUNNING_HIGH && split.prefill > 1 {
            split.without(EngineRole::Prefill).with(EngineRole::Decode)
        } else {
            split
        };
        towards(wanted, engines)
    }
}
