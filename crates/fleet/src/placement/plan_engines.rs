//! The engines among which a prompt is planned, separated by the software that they run.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::PromptPlan;
use crate::directory::BackEnd;
use crate::versions::SoftwareVersion;

/// Engines among which one prompt is planned.
pub(super) struct PlanEngines {
    /// Engines that cache the prompt's prefix.
    pub(super) holders: Vec<Arc<BackEnd>>,
    /// Engines that may decode.
    pub(super) decoders: Vec<Arc<BackEnd>>,
    /// Engines that may prefill for others.
    pub(super) prefills: Vec<Arc<BackEnd>>,
}

impl PlanEngines {
    /// The engines of each version that can decode. Usually there is only one.
    pub(super) fn by_version(self) -> Vec<Self> {
        let engines = self.decoders.iter().chain(&self.prefills);
        let engines = engines.chain(&self.holders);
        let mut versions = engines.map(|engine| &engine.version);
        let first = versions.next();
        if versions.all(|version| Some(version) == first) {
            return vec![self];
        }
        let of_decoders = self.decoders.iter().map(|engine| &engine.version);
        let of_decoders: BTreeSet<&SoftwareVersion> = of_decoders.collect();
        of_decoders
            .into_iter()
            .map(|version| self.of_version(version))
            .collect()
    }

    fn of_version(&self, version: &SoftwareVersion) -> Self {
        let of_version = |engines: &[Arc<BackEnd>]| {
            let engines = engines.iter().filter(|engine| engine.version == *version);
            engines.cloned().collect()
        };
        Self {
            holders: of_version(&self.holders),
            decoders: of_version(&self.decoders),
            prefills: of_version(&self.prefills),
        }
    }
}

/// A plan and its weighted cost, which includes the burden on other requests.
pub(super) struct PlanWithCost {
    pub(super) plan: PromptPlan,
    /// In milliseconds.
    pub(super) cost_ms: f64,
}
