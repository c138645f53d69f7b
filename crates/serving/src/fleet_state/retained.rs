//! What stays known though the store, back from an older copy, shows less.

use std::sync::Arc;
use std::time::Instant;

use ponddrift_fleet::directory::GONE_OUTLIVES_COPY;
use xxhash_rust::xxh3::Xxh3;

use super::FleetState;
use super::fleet_view::FleetView;
use crate::store::{Decoded, Item, Page};

/// What was known of a key, as it lay in the store before.
#[derive(Debug, Clone)]
pub(super) struct Retained {
    item: Item,
    since: Instant,
}

impl FleetView {
    /// What was known of an item's key stays in force.
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
            "kept_over_copy"
        );
        let known = known.clone();
        self.retain(known, now);
    }

    fn retain(&mut self, item: Item, since: Instant) {
        let key = item.key.clone();
        self.retained.insert(key, Retained { item, since });
    }

    fn remove_over_copy(&mut self, id: &str, now: Instant) -> bool {
        let was_shown = self.directory.remove_over_copy(id, now);
        if was_shown {
            Arc::make_mut(&mut self.index).remove(id);
        }
        was_shown
    }

    /// Back ends that had gone are not told of any longer than they are believed to have gone.
    pub(super) fn forget_retained(&mut self, now: Instant) {
        self.retained.retain(|_key, retained| {
            let age = now.saturating_duration_since(retained.since);
            retained.item.value.is_some() || age < GONE_OUTLIVES_COPY
        });
    }

    /// Takes an item that the store lacked as of `page`, where this daemon knows no more than the store. Returns whether it was news.
    fn take_retained(&mut self, decoded: Decoded, item: Item, page: &Page, now: Instant) -> bool {
        let known = self.items.get(&item.key);
        let is_written_since = known.is_some_and(|known| known.revision > page.at);
        if is_written_since || self.retained.contains_key(&item.key) {
            return false;
        }
        let is_news = match decoded {
            Decoded::Configuration(configuration) => {
                self.apply_configuration(*configuration, item.revision, super::Source::Peer, now)
            }
            Decoded::BackEnd(back_end, _warmth) => self.directory.put_over_copy(back_end),
            Decoded::BackEndRemoved(id) => self.remove_over_copy(&id, now),
            _ => false,
        };
        if is_news {
            tracing::info!(key = item.key, known_revision = %item.revision, "told_over_copy");
            self.retain(item, now);
        }
        is_news
    }
}

impl FleetState {
    /// Hash of all that this daemon knows and the store lacks; none where that is nothing.
    #[must_use]
    pub fn retained_set(&self) -> Option<u64> {
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

    /// All that this daemon knows and the store lacks.
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

    /// Takes what a peer knows and the store lacked as of the page's revision. Returns how much of it was news.
    pub fn take_retained(&self, mut page: Page, now: Instant) -> usize {
        let is_of_this_era = self
            .position()
            .is_some_and(|position| position.era() == page.at.era());
        if !is_of_this_era {
            return 0;
        }
        let items = std::mem::take(&mut page.items);
        let mut taken = 0;
        for item in items {
            match self.store.decode(&item) {
                Ok(decoded) => {
                    let is_news = self.lock().take_retained(decoded, item, &page, now);
                    taken += usize::from(is_news);
                }
                Err(error) => tracing::warn!(%error, "value_unreadable"),
            }
        }
        taken
    }
}
