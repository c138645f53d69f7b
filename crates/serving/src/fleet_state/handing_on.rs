//! What a daemon hands on to peers of what it knows, in parts that any link carries within a second.

use std::ops::Bound;

use ponddrift_fleet::revision::Revision;

use super::News;
use super::fleet_view::FleetView;
use crate::store::{Changes, Item, Page};

/// Bytes of items in one part, about. Compressed it takes some 20 ms of a link of 20 Mbit/s, and sixteen readers of one
/// daemon get theirs within a second even where all of them ask at the same time.
const PART_BYTES: usize = 128 << 10;
/// Bytes of an item beside its key and value: its revision and two lengths.
const ITEM_BYTES: usize = 17;

impl FleetView {
    /// What a peer lacks that knows everything up to `after`, or the first part of it.
    pub(super) fn news_after(&self, after: Revision) -> News {
        if after < self.removals_since {
            return News::TooLongAgo;
        }
        let at = self.position.unwrap_or_default();
        let newer = self.items.values().filter(|item| item.revision > after);
        let mut newer: Vec<&Item> = newer.collect();
        newer.sort_unstable_by_key(|item| item.revision);
        let part = first_part_by_revision(&newer);
        let is_cut = part.len() < newer.len();
        let last = part.last().map(|item| item.revision);
        News::Changes(Changes {
            after,
            items: part.iter().map(|item| (*item).clone()).collect(),
            at: last.filter(|_revision| is_cut).unwrap_or(at),
        })
    }

    /// Everything behind the key `after`, or the first part of it; none where nothing behind it is known yet.
    pub(super) fn page_after(&self, after: Option<&str>) -> Option<Page> {
        let known = self.known_after(after)?;
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let end = known.up_to.map_or(Bound::Unbounded, Bound::Included);
        let mut present = self
            .items
            .range::<str, _>((begin, end))
            .map(|(_key, item)| item)
            .filter(|item| item.value.is_some());
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut is_cut = false;
        for item in present.by_ref() {
            if bytes >= PART_BYTES {
                is_cut = true;
                break;
            }
            bytes += bytes_of(item);
            items.push(item.clone());
        }
        let last = items.last().map(|item| item.key.clone());
        let next_after = if is_cut {
            last
        } else {
            known.up_to.map(str::to_owned)
        };
        Some(Page {
            items,
            at: known.at,
            next_after,
        })
    }

    fn known_after(&self, after: Option<&str>) -> Option<Known<'_>> {
        if let Some(at) = self.position {
            return Some(Known { up_to: None, at });
        }
        let partly = self.partly_read.as_ref()?;
        let up_to = Some(partly.up_to.as_str());
        (after < up_to).then_some(Known {
            up_to,
            at: partly.at,
        })
    }
}

/// The keys that can be handed on.
struct Known<'a> {
    /// The last one; none where all are known.
    up_to: Option<&'a str>,
    /// Revision up to which they show every change.
    at: Revision,
}

/// Whole revisions, as many as fit: one that wrote several keys is not torn apart.
fn first_part_by_revision<'a, 'b>(items: &'b [&'a Item]) -> &'b [&'a Item] {
    let mut bytes = 0;
    let mut last_revision = None;
    for (index, item) in items.iter().enumerate() {
        if bytes >= PART_BYTES && last_revision != Some(item.revision) {
            return &items[..index];
        }
        bytes += bytes_of(item);
        last_revision = Some(item.revision);
    }
    items
}

fn bytes_of(item: &Item) -> usize {
    let value = item.value.as_ref().map_or(0, Vec::len);
    item.key.len() + value + ITEM_BYTES
}
