//! Revisions of the store and the eras within which they are ordered.
//!
//! A store that is restored from an older copy assigns revision numbers again and starts a new era.
//! What was written in a later era is newer, whatever its number.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

/// Bits for the number within an era: enough for centuries at a hundred changes per second.
const NUMBER_BITS: u32 = 40;
/// Bits of a whole revision. JSON numbers represent integers of this size exactly, and fencing
/// tokens are sent as JSON numbers.
const REVISION_BITS: u32 = 53;
const NUMBERS_PER_ERA: u64 = 1 << NUMBER_BITS;
const MAX_ERAS: u64 = 1 << (REVISION_BITS - NUMBER_BITS);

/// Number of times the store has been restored from an older copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(u64);

impl Era {
    /// The era before any restore.
    pub const FIRST: Self = Self(0);

    /// The era after this many restores; `None` if the number exceeds what a revision can hold.
    #[must_use]
    pub fn after_restores(restores: u64) -> Option<Self> {
        (restores < MAX_ERAS).then_some(Self(restores))
    }

    /// Number of restores before this era.
    #[must_use]
    pub const fn restores(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A revision of the store: the era, then the number that the store assigned within it.
///
/// Encoded as one integer, in messages and as a fencing token. In the first era it equals the
/// number, which keeps it compatible with daemons of builds without eras.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct Revision(u64);

impl Revision {
    /// The revision with this number in an era; `None` if the number exceeds what a revision can
    /// hold.
    #[must_use]
    pub fn new(era: Era, number: u64) -> Option<Self> {
        (number < NUMBERS_PER_ERA).then_some(Self(era.0 << NUMBER_BITS | number))
    }

    /// Era in which the revision was assigned.
    #[must_use]
    pub const fn era(self) -> Era {
        Era(self.0 >> NUMBER_BITS)
    }

    /// Number that the store assigned.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 % NUMBERS_PER_ERA
    }

    /// The revision as an integer of the same order, used as a fencing token.
    #[must_use]
    pub const fn as_token(self) -> u64 {
        self.0
    }

    /// The revision this many numbers earlier in the same era, but not before the beginning of the
    /// era.
    #[must_use]
    pub const fn back_by(self, numbers: u64) -> Self {
        let number = self.number();
        let distance = if numbers < number { numbers } else { number };
        Self(self.0 - distance)
    }
}

/// Formats the revision as `ERA.NUMBER`.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era(), self.number())
    }
}
