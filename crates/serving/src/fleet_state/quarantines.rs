//! Quarantines as the store holds them.

use std::time::Instant;

use ponddrift_fleet::fingerprint::RequestFingerprint;

use super::{FleetState, Source};
use crate::store::Item;

/// What was known of a key before the store came back from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownBefore {
    Present,
    Removed,
}

impl FleetState {
    /// A quarantine that an operator ended, or that ran out, is not in force again because an older copy shows it.
    pub(super) fn quarantine_filed(
        &self,
        fingerprint: RequestFingerprint,
        item: &Item,
        source: Source,
        now: Instant,
    ) {
        let had_ended = self.known_before(item) == Some(KnownBefore::Removed);
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

    /// A lease that ran out while the store was away ends no quarantine: no operator and no time has. One that an older copy lacks is
    /// filed again.
    pub(super) fn quarantine_released(
        &self,
        fingerprint: RequestFingerprint,
        item: &Item,
        source: Source,
        now: Instant,
    ) {
        let in_doubt = self.is_in_doubt(now);
        let is_missing = self.known_before(item) == Some(KnownBefore::Present);
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

    /// What was known of an item's key in an era before; none where nothing was, or the item is of the same era.
    fn known_before(&self, item: &Item) -> Option<KnownBefore> {
        let inner = self.lock();
        let known = inner.items.get(&item.key)?;
        if known.revision.era() == item.revision.era() {
            return None;
        }
        Some(if known.value.is_some() {
            KnownBefore::Present
        } else {
            KnownBefore::Removed
        })
    }
}
