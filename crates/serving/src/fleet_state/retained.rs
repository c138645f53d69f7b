//! Items that stay in force although the store was restored from a backup with older contents.

use std::sync::Arc;
use std::time::Instant;

use ponddrift_fleet::directory::REMOVAL_HOLD_AFTER_RESTORE;
use xxhash_rust::xxh3::Xxh3;

use super::FleetState;
use super::fleet_view::FleetView;
use crate::store::{Decoded, Item, Page};

/// An item as the store held it before it was restored.
#[derive(Debug, Clone)]
pub(super) struct Retained {
    item: Item,
    since: Instant,
}

impl FleetView {
    /// Keeps the known item of the same key in force.
    pub(super) fn retain_known(&mut self, item: &Item, now: Instant) {
        let Some(known) = self.items.get(&item.key) else {
            return;
        };
        if known.revision.era() == item.revision.era() || self.retained.contains_key(&item.key) {
            return;
        }
        tracing::info!(
            key = item.key,
            revision = %item.revision,
            known_revision = %known.revision,
            "newer_value_retained"
        );
        let known = known.clone();
        self.retain(known, now);
    }

    fn retain(&mut self, item: Item, since: Instant) {
        let key = item.key.clone();
        self.retained.insert(key, Retained { item, since });
    }

    fn remove_from_peer(&mut self, id: &str, now: Instant) -> bool {
        let was_shown = self.directory.remove_from_peer(id, now);
        if was_shown {
            Arc::make_mut(&mut self.index).remove(id);
        }
        was_shown
    }

    /// Forgets back ends that had been removed, once their removal no longer takes precedence over
    /// the restored store.
    pub(super) fn forget_retained(&mut self, now: Instant) {
        self.retained.retain(|_key, retained| {
            let age = now.saturating_duration_since(retained.since);
            retained.item.value.is_some() || age < REMOVAL_HOLD_AFTER_RESTORE
        });
    }

    /// Applies an item that the store lacked as of `page`, unless this daemon has a newer item from
    /// the store. Returns whether it changed anything.
    fn apply_retained(&mut self, decoded: Decoded, item: Item, page: &Page, now: Instant) -> bool {
        let known = self.items.get(&item.key);
        let is_written_again = known.is_some_and(|known| known.revision > page.at);
        if is_written_again || self.retained.contains_key(&item.key) {
            return false;
        }
        let has_changed = match decoded {
            Decoded::Configuration(configuration) => self.apply_configuration(
                *configuration,
                item.revision,
                super::UpdateSource::Peer,
                now,
            ),
            Decoded::BackEnd(back_end, _warmth) => self.directory.put_from_peer(back_end, now),
            Decoded::BackEndRemoved(id) => self.remove_from_peer(&id, now),
            _ => false,
        };
        if has_changed {
            tracing::info!(
                key = item.key,
                known_revision = %item.revision,
                "retained_value_received"
            );
            self.retain(item, now);
        }
        has_changed
    }
}

impl FleetState {
    /// Hash of all items that this daemon retains and the store lacks; `None` if there are none.
    #[must_use]
    pub fn retained_hash(&self) -> Option<u64> {
        let inner = self.lock();
        if inner.retained.is_empty() {
            return None;
        }
        let mut hash = Xxh3::new();
        for (key, retained) in &inner.retained {
            hash.update(key.as_bytes());
            hash.update(&retained.item.revision.as_token().to_le_bytes());
        }
        Some(hash.digest())
    }

    /// All items that this daemon retains and the store lacks.
    #[must_use]
    pub fn retained(&self) -> Page {
        let inner = self.lock();
        let items = inner.retained.values();
        Page {
            items: items.map(|retained| retained.item.clone()).collect(),
            at: inner.position.unwrap_or_default(),
            next_after: None,
        }
    }

    /// Applies items that a peer retains and that the store lacked as of the page's revision.
    /// Returns the number of items that changed anything.
    pub fn apply_retained(&self, mut page: Page, now: Instant) -> usize {
        let is_of_this_era = self
            .position()
            .is_some_and(|position| position.era() == page.at.era());
        if !is_of_this_era {
            return 0;
        }
        let items = std::mem::take(&mut page.items);
        let version_before = self.lock().configuration_version();
        let mut applied = 0;
        for item in items {
            match self.store.decode(&item) {
                Ok(decoded) => {
                    let has_changed = self.lock().apply_retained(decoded, item, &page, now);
                    applied += usize::from(has_changed);
                }
                Err(error) => tracing::warn!(%error, "value_unreadable"),
            }
        }
        self.notify_new_configuration(version_before);
        applied
    }
}
