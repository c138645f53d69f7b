//! Revisions of the store, which order only within one era of it.
//!
//! A store that comes back from an older copy gives revisions out again, and begins a new era. What was written in a later era
//! is newer whatever its number.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

/// Bits of a revision that hold its number within the era: at a hundred changes a second enough for three centuries.
const NUMBER_BITS: u32 = 40;
/// Bits of a whole revision: what a number of JSON carries exactly, since fencing tokens travel in it.
const REVISION_BITS: u32 = 53;
const NUMBERS: u64 = 1 << NUMBER_BITS;
const ERAS: u64 = 1 << (REVISION_BITS - NUMBER_BITS);

/// How often the store had come back from an older copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(u64);

impl Era {
    /// Before any return.
    pub const FIRST: Self = Self(0);

    /// The era after so many returns; none where there are more than a revision has room for.
    #[must_use]
    pub fn after_restores(restores: u64) -> Option<Self> {
        (restores < ERAS).then_some(Self(restores))
    }

    /// How many returns came before.
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

/// A revision of the store: its era first, then the number that the store gave out in it.
///
/// One integer, in messages and as a fencing token too. In the first era it is the bare number, as daemons of builds without eras
/// send and expect it.
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
    /// The revision with this number in an era; none where the number is larger than any that a store gives out.
    #[must_use]
    pub fn new(era: Era, number: u64) -> Option<Self> {
        (number < NUMBERS).then_some(Self(era.0 << NUMBER_BITS | number))
    }

    /// In which era it was given out.
    #[must_use]
    pub const fn era(self) -> Era {
        Era(self.0 >> NUMBER_BITS)
    }

    /// The number that the store gave out.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 % NUMBERS
    }

    /// The integer that orders revisions, as a fencing token.
    #[must_use]
    pub const fn as_token(self) -> u64 {
        self.0
    }

    /// The revision so many numbers before, in the same era: its beginning at the earliest.
    #[must_use]
    pub const fn back_by(self, numbers: u64) -> Self {
        let number = self.number();
        let back = if numbers < number { numbers } else { number };
        Self(self.0 - back)
    }
}

/// `ERA.NUMBER`.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era(), self.number())
    }
}
