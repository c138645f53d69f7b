//! Numbers of engines by role.

use serde::{Deserialize, Serialize};

use crate::EngineRole;

/// How many engines play each role.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RoleSplit {
    /// Engines that read prompts.
    pub prefill: u32,
    /// Engines that generate.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
}

impl RoleSplit {
    /// A split of mixed engines only.
    #[must_use]
    pub const fn all_mixed(engines: u32) -> Self {
        Self {
            prefill: 0,
            decode: 0,
            mixed: engines,
        }
    }

    /// Engines in all.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.prefill + self.decode + self.mixed
    }

    /// Engines of a role.
    #[must_use]
    pub const fn of(self, role: EngineRole) -> u32 {
        match role {
            EngineRole::Prefill => self.prefill,
            EngineRole::Decode => self.decode,
            EngineRole::Mixed => self.mixed,
        }
    }

    /// This split with one engine of a role more.
    #[must_use]
    pub const fn with(mut self, role: EngineRole) -> Self {
        match role {
            EngineRole::Prefill => self.prefill += 1,
            EngineRole::Decode => self.decode += 1,
            EngineRole::Mixed => self.mixed += 1,
        }
        self
    }

    /// This split with one engine of a role less.
    #[must_use]
    pub const fn without(mut self, role: EngineRole) -> Self {
        match role {
            EngineRole::Prefill => self.prefill = self.prefill.saturating_sub(1),
            EngineRole::Decode => self.decode = self.decode.saturating_sub(1),
            EngineRole::Mixed => self.mixed = self.mixed.saturating_sub(1),
        }
        self
    }

    /// The engines that both splits leave in their roles.
    #[must_use]
    pub fn in_common(self, other: Self) -> Self {
        Self {
            prefill: self.prefill.min(other.prefill),
            decode: self.decode.min(other.decode),
            mixed: self.mixed.min(other.mixed),
        }
    }

    /// Role changes from this split to another of the same size.
    #[must_use]
    pub fn changes_to(self, other: Self) -> u32 {
        self.total().saturating_sub(self.in_common(other).total())
    }

    /// Whether every request can be served: a mixed engine, or a pair for the hand-over.
    #[must_use]
    pub const fn can_serve(self) -> bool {
        self.mixed > 0 || (self.prefill > 0 && self.decode > 0)
    }
}
