//! Outcome of a change when operators race, or when the answer of the key-value service was lost.

use super::keys::StoredLatestChange;
use crate::{ChangeId, Revision};

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It was accepted.
    Accepted {
        /// The revision it led to.
        revision: Revision,
    },
    /// Another change was accepted on the same base; this one had no effect.
    ConflictedWith {
        /// Who asked for the other.
        author: String,
        /// The other change.
        change: ChangeId,
        /// The revision it led to.
        revision: Revision,
    },
    /// Nothing was written so far. The same transaction may be sent again: its compare lets it take
    /// effect once at most, even if the first one still arrives.
    NotWritten,
    /// More changes followed than the head names: the operator must look at the records.
    Undetermined,
}

/// Settles a change that was sent with a compare on `base`, from the head read back afterwards.
#[must_use]
pub fn determine_outcome(
    change: ChangeId,
    base: Revision,
    latest: Option<&StoredLatestChange>,
) -> ChangeOutcome {
    let Some(stored) = latest else {
        return ChangeOutcome::NotWritten;
    };
    if stored.latest.change == change {
        return ChangeOutcome::Accepted {
            revision: stored.revision,
        };
    }
    if stored.revision <= base {
        return ChangeOutcome::NotWritten;
    }
    let recent = &stored.latest.recent;
    if let Some(own) = recent.iter().find(|recent| recent.change == change) {
        return ChangeOutcome::Accepted {
            revision: own.revision,
        };
    }
    if stored.latest.previous == base {
        return ChangeOutcome::ConflictedWith {
            author: stored.latest.author.clone(),
            change: stored.latest.change,
            revision: stored.revision,
        };
    }
    // The change right after the base is the one that won: the oldest that is newer than the base.
    let reaches_base = base == Revision(0) || recent.iter().any(|recent| recent.revision == base);
    let winner = recent
        .iter()
        .filter(|recent| recent.revision > base)
        .min_by_key(|recent| recent.revision);
    match winner {
        Some(winner) if reaches_base => ChangeOutcome::ConflictedWith {
            author: winner.author.clone(),
            change: winner.change,
            revision: winner.revision,
        },
        Some(_) | None => ChangeOutcome::Undetermined,
    }
}
