//! What other daemons know of a back end.
//!
//! Each daemon publishes the means of its own samples. Per back end and kind of work, the newest
//! row of each daemon is kept, of a bounded number of daemons. Which daemons these are depends only
//! on their identity, so the state does not depend on the order in which rows arrive.

use std::time::{Duration, Instant};

use super::WorkKind;
use super::estimate::{Evidence, HALF_LIFE};

/// Daemons whose rows are kept per back end and kind of work. Their samples determine a factor far
/// more closely than a decision needs it.
pub const MAX_OBSERVERS: usize = 24;
/// Rows of other daemons that are kept in total, several times what they publish in the time for
/// which a row is kept. Beyond it no further ones are added until others expire.
pub const MAX_ROWS: usize = 32_768;
/// Greatest weight of a row.
pub const MAX_ROW_WEIGHT: f64 = 64.0;
/// Greatest absolute log ratio of a row: a back end twenty times as slow or fast as the average.
pub const MAX_ROW_LOG_RATIO: f64 = 3.0;
/// Rows are removed after this time; little of their weight is left then.
pub(super) const ROW_TTL: Duration = Duration::from_secs(4 * HALF_LIFE.as_secs());

/// A daemon's mean of its samples of one back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProfileRow {
    /// Hash of the daemon's name and start, which identifies this run of it.
    pub origin: u64,
    /// Number of the message; a row of an earlier message does not replace a later one.
    pub sequence: u32,
    /// Kind of work.
    pub kind: WorkKind,
    /// Number of samples, reduced by their age.
    pub weight: f64,
    /// Natural logarithm of the mean ratio of measured to expected time.
    pub log_ratio: f64,
    /// Time since the newest sample.
    pub age: Duration,
}

impl ProfileRow {
    /// Whether all values are possible.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let has_weight = self.weight > 0.0 && self.weight <= MAX_ROW_WEIGHT;
        has_weight && self.log_ratio.abs() <= MAX_ROW_LOG_RATIO && self.age <= ROW_TTL
    }
}

/// What became of a received row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowMerge {
    /// It is the newest row of its daemon.
    Merged,
    /// A row of the same daemon that is as new is known, or enough other daemons are.
    NotNeeded,
    /// A value is out of range.
    OutOfRange,
    /// It describes an incarnation that is not the one in the directory.
    OtherIncarnation,
    /// It describes a back end that is not in the directory, or for which there is no room.
    UnknownBackEnd,
}

impl RowMerge {
    /// Name used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Merged => "merged",
            Self::NotNeeded => "not_needed",
            Self::OutOfRange => "out_of_range",
            Self::OtherIncarnation => "other_incarnation",
            Self::UnknownBackEnd => "unknown_back_end",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ObserverRow {
    origin: u64,
    sequence: u32,
    received_at: Instant,
    evidence: Evidence,
}

/// Newest rows of other daemons about one back end and kind of work.
#[derive(Debug, Clone, Default)]
pub(super) struct Observers {
    /// Sorted by origin.
    rows: Vec<ObserverRow>,
    sum: Evidence,
}

impl Observers {
    /// Merges a row. `has_room` tells whether a row of a further daemon may be added.
    pub(super) fn merge(&mut self, row: &ProfileRow, has_room: bool, now: Instant) -> RowMerge {
        let newest = now.checked_sub(row.age).unwrap_or(now);
        let received = ObserverRow {
            origin: row.origin,
            sequence: row.sequence,
            received_at: now,
            evidence: Evidence::of(row.weight, row.log_ratio, newest, now),
        };
        match self
            .rows
            .binary_search_by_key(&row.origin, |known| known.origin)
        {
            Ok(index) if self.rows[index].sequence >= row.sequence => return RowMerge::NotNeeded,
            Ok(index) => self.rows[index] = received,
            Err(index) if index >= MAX_OBSERVERS || !has_room => return RowMerge::NotNeeded,
            Err(index) => {
                self.rows.insert(index, received);
                self.rows.truncate(MAX_OBSERVERS);
            }
        }
        self.update_sum(now);
        RowMerge::Merged
    }

    /// Removes expired rows.
    pub(super) fn expire(&mut self, now: Instant) {
        let before = self.rows.len();
        self.rows
            .retain(|row| now.saturating_duration_since(row.received_at) < ROW_TTL);
        if self.rows.len() < before {
            self.update_sum(now);
        }
    }

    fn update_sum(&mut self, now: Instant) {
        self.sum = Evidence::default();
        for row in &self.rows {
            self.sum.merge(&row.evidence, now);
        }
    }

    pub(super) const fn sum(&self) -> &Evidence {
        &self.sum
    }

    pub(super) fn count(&self) -> usize {
        self.rows.len()
    }
}
