//! Number of engines in each role.

use serde::{Deserialize, Serialize};

use crate::EngineRole;

/// Number of engines in each role.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RoleSplit {
    /// Engines that only run prefill.
    pub prefill: u32,
    /// Engines that only run decode.
    pub decode: u32,
    /// Engines that run both prefill and decode.
    pub mixed: u32,
}

impl RoleSplit {
    /// A split with only mixed engines.
    #[must_use]
    pub const fn all_mixed(engines: u32) -> Self {
        Self {
            prefill: 0,
            decode: 0,
            mixed: engines,
        }
    }

    /// Total number of engines.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.prefill + self.decode + self.mixed
    }

    /// Number of engines in a role.
    #[must_use]
    pub const fn of(self, role: EngineRole) -> u32 {
        match role {
            EngineRole::Prefill => self.prefill,
            EngineRole::Decode => self.decode,
            EngineRole::Mixed => self.mixed,
        }
    }

    /// This split with one engine added to a role.
    #[must_use]
    pub const fn with(mut self, role: EngineRole) -> Self {
        match role {
            EngineRole::Prefill => self.prefill += 1,
            EngineRole::Decode => self.decode += 1,
            EngineRole::Mixed => self.mixed += 1,
        }
        self
    }

    /// This split with one engine removed from a role, unless it has none.
    #[must_use]
    pub const fn without(mut self, role: EngineRole) -> Self {
        match role {
            EngineRole::Prefill => self.prefill = self.prefill.saturating_sub(1),
            EngineRole::Decode => self.decode = self.decode.saturating_sub(1),
            EngineRole::Mixed => self.mixed = self.mixed.saturating_sub(1),
        }
        self
    }

    /// Engines that keep their roles between both splits.
    #[must_use]
    pub fn in_common(self, other: Self) -> Self {
        Self {
            prefill: self.prefill.min(other.prefill),
            decode: self.decode.min(other.decode),
            mixed: self.mixed.min(other.mixed),
        }
    }

    /// Number of role changes from this split to another of the same size.
    #[must_use]
    pub fn changes_to(self, other: Self) -> u32 {
        self.total().saturating_sub(self.in_common(other).total())
    }

    /// Whether all requests can be served: there is a mixed engine, or both a prefill and a decode
    /// engine.
    #[must_use]
    pub const fn can_serve(self) -> bool {
        self.mixed > 0 || (self.prefill > 0 && self.decode > 0)
    }
}
