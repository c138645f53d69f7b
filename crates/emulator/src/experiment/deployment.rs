//! The fleets that experiments run on.

use ponddrift_core::roles::{EngineCapacity, PlannerProfile};
use serde::{Deserialize, Serialize};

use crate::engine::cost::CostModel;

/// One of the two deployments of today.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// 12 ledger engines and 4 records engines in four zones.
    Hanbit,
    /// 18 cold-chain engines and 3 records engines in three zones.
    HeadOffice,
}

impl Deployment {
    /// The deployment of a name on the command line.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        [Self::Hanbit, Self::HeadOffice]
            .into_iter()
            .find(|deployment| deployment.profile().as_str() == name)
    }

    /// The planner's profile that its users would choose.
    #[must_use]
    pub const fn profile(self) -> PlannerProfile {
        match self {
            Self::Hanbit => PlannerProfile::Hanbit,
            Self::HeadOffice => PlannerProfile::HeadOffice,
        }
    }

    /// Its fleet.
    #[must_use]
    pub fn fleet(self) -> Fleet {
        let (engines, plain, zones, zone_distance_us) = match self {
            Self::Hanbit => (12, 4, 4, 1_500),
            Self::HeadOffice => (18, 3, 3, 500),
        };
        Fleet {
            engines,
            plain,
            zones,
            zone_distance_us,
            daemons: zones,
            cost: CostModel::default(),
        }
    }
}

/// A fleet of back ends and daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Model engines.
    pub engines: u32,
    /// Plain back ends.
    pub plain: u32,
    /// Zones; machines are spread over them in turn.
    pub zones: u32,
    /// One way between two zones, in microseconds.
    pub zone_distance_us: u64,
    /// Daemons that requests come in at.
    pub daemons: u32,
    /// What work costs on an engine.
    pub cost: CostModel,
}

impl Fleet {
    /// The capacity of one engine, in the planner's terms.
    #[must_use]
    pub fn engine_capacity(&self) -> EngineCapacity {
        EngineCapacity {
            prefill_tokens_per_second: self.cost.prefill_tokens_per_second,
            decode_base_seconds: self.cost.decode_base_seconds,
            decode_sequence_seconds: self.cost.decode_sequence_seconds,
            maximum_sequences: self.cost.maximum_sequences as f64,
            kv_cache_tokens: self.cost.kv_cache_tokens as f64,
        }
    }
}
