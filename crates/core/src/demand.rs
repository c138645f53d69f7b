//! Request demand that daemons count and report to controllers.

use std::collections::BTreeMap;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::ModelName;
use crate::roles::LevelDemand;

/// Demand for one model at one priority level since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct LevelCount {
    /// Priority level.
    pub level: u8,
    /// Arrived requests, including refused ones.
    pub requests: u32,
    /// Prompt tokens of these requests.
    pub prompt_tokens: u32,
    /// Expected output tokens of these requests.
    pub output_tokens: u32,
}

/// Demand for one model since the last report.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Demand by priority level.
    pub levels: Vec<LevelCount>,
}

/// Counts demand between two reports, or sums the reports of several daemons.
#[derive(Debug, Clone, Default)]
pub struct DemandCounter {
    models: BTreeMap<ModelName, BTreeMap<u8, LevelDemand>>,
}

impl DemandCounter {
    /// Counts one request.
    pub fn count(&mut self, model: &ModelName, level: u8, prompt_tokens: u32, output_tokens: u32) {
        let counts = self.level(model, level);
        counts.requests += 1;
        counts.prompt_tokens += u64::from(prompt_tokens);
        counts.output_tokens += u64::from(output_tokens);
    }

    /// Adds the counts of a report.
    pub fn add(&mut self, report: &ModelDemand) {
        for count in &report.levels {
            let counts = self.level(&report.model, count.level);
            counts.requests += u64::from(count.requests);
            counts.prompt_tokens += u64::from(count.prompt_tokens);
            counts.output_tokens += u64::from(count.output_tokens);
        }
    }

    fn level(&mut self, model: &ModelName, level: u8) -> &mut LevelDemand {
        let levels = self.models.entry(model.clone()).or_default();
        let counts = levels.entry(level).or_default();
        counts.level = level;
        counts
    }

    /// Returns the counts by model and resets the counter.
    pub fn take(&mut self) -> BTreeMap<ModelName, Vec<LevelDemand>> {
        let models = std::mem::take(&mut self.models);
        models
            .into_iter()
            .map(|(model, levels)| (model, levels.into_values().collect()))
            .collect()
    }
}

/// The part of a daemon's demand for `model` that a cell serves, in proportion to the cell's share
/// of all engines with that model.
#[must_use]
pub fn report_for_cell(
    model: &ModelName,
    levels: &[LevelDemand],
    cell_engines: usize,
    all_engines: usize,
) -> ModelDemand {
    let part = |amount: u64| scaled(amount, cell_engines, all_engines);
    let level = |demand: &LevelDemand| LevelCount {
        level: demand.level,
        requests: part(demand.requests),
        prompt_tokens: part(demand.prompt_tokens),
        output_tokens: part(demand.output_tokens),
    };
    ModelDemand {
        model: model.clone(),
        levels: levels.iter().map(level).collect(),
    }
}

fn scaled(amount: u64, part: usize, whole: usize) -> u32 {
    let part = u64::try_from(part).unwrap_or(u64::MAX);
    let whole = u64::try_from(whole).unwrap_or(u64::MAX).max(1);
    u32::try_from(amount.saturating_mul(part) / whole).unwrap_or(u32::MAX)
}
