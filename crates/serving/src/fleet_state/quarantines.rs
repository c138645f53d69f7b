//! Applies quarantines that are filed in and removed from the store.

use std::time::Instant;

use ponddrift_fleet::fingerprint::Fingerprint;

use super::{FleetState, UpdateSource};
use crate::store::Item;

/// State of a key before the store was restored from a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StateBeforeRestore {
    Present,
    Removed,
}

impl FleetState {
    /// Applies a quarantine found in the store. If it had ended before the store was restored from
    /// an older backup, it does not come into force again.
    pub(super) fn apply_quarantine_filed(
        &self,
        fingerprint: Fingerprint,
        item: &Item,
        source: UpdateSource,
        now: Instant,
    ) {
        let had_ended = self.state_before_restore(item) == Some(StateBeforeRestore::Removed);
        tracing::info!(
            %fingerprint,
            revision = %item.revision,
            had_ended,
            source = source.as_str(),
            "quarantine_filed"
        );
        if !had_ended {
            self.quarantine().record_stored(fingerprint, now);
        }
    }

    /// Applies the removal of a quarantine. A removal that is in doubt is ignored, because the
    /// lease may have expired only while the store was unavailable. A quarantine that is missing
    /// from a backup is filed again.
    pub(super) fn apply_quarantine_removed(
        &self,
        fingerprint: Fingerprint,
        item: &Item,
        source: UpdateSource,
        now: Instant,
    ) {
        let in_doubt = self.lock().store_doubt.was_away_recently(now);
        let is_missing = self.state_before_restore(item) == Some(StateBeforeRestore::Present);
        tracing::info!(
            %fingerprint,
            revision = %item.revision,
            in_doubt,
            is_missing,
            source = source.as_str(),
            "quarantine_released"
        );
        if is_missing {
            self.quarantine().record_missing(fingerprint);
            self.quarantine_changed().notify_one();
        } else if !in_doubt {
            self.quarantine().record_released(fingerprint, now);
        }
    }

    /// State of the item's key in an earlier era; `None` if the key was unknown or of the item's
    /// own era.
    fn state_before_restore(&self, item: &Item) -> Option<StateBeforeRestore> {
        let inner = self.lock();
        let known = inner.items.get(&item.key)?;
        if known.revision.era() == item.revision.era() {
            return None;
        }
        Some(if known.value.is_some() {
            StateBeforeRestore::Present
        } else {
            StateBeforeRestore::Removed
        })
    }
}
