//! Answers to peers that ask for this daemon's state. Answers are split into parts small enough for
//! the slowest links.

use std::ops::Bound;

use ponddrift_fleet::revision::Revision;

use super::ChangesAnswer;
use super::fleet_view::FleetView;
use crate::store::{Changes, Item, Page};

/// Approximate size of the items in one part. Compressed, a part occupies a link of 20 Mbit/s for
/// about 20 ms, so that sixteen readers that ask at the same time get theirs within a second.
const PART_SIZE_BYTES: usize = 128 << 10;
/// Encoded size of an item in addition to its key and value: a revision and two lengths.
const ITEM_OVERHEAD_BYTES: usize = 17;

impl FleetView {
    /// The changes after the revision `after`, or the first part of them.
    pub(super) fn changes_after(&self, after: Revision) -> ChangesAnswer {
        if after < self.removals_since {
            return ChangesAnswer::HistoryForgotten;
        }
        let at = self.position.unwrap_or_default();
        let changed = self.items.values().filter(|item| item.revision > after);
        let mut changed: Vec<&Item> = changed.collect();
        changed.sort_unstable_by_key(|item| item.revision);
        let part = first_part_by_revision(&changed);
        let is_truncated = part.len() < changed.len();
        let last = part.last().map(|item| item.revision);
        ChangesAnswer::Changes(Changes {
            after,
            items: part.iter().map(|item| (*item).clone()).collect(),
            at: last.filter(|_revision| is_truncated).unwrap_or(at),
        })
    }

    /// The keys after `after`, or the first part of them. Returns `None` if no keys beyond `after`
    /// have been read yet.
    pub(super) fn page_after(&self, after: Option<&str>) -> Option<Page> {
        let available = self.available_after(after)?;
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let end = available.up_to.map_or(Bound::Unbounded, Bound::Included);
        let mut present = self
            .items
            .range::<str, _>((begin, end))
            .map(|(_key, item)| item)
            .filter(|item| item.value.is_some());
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut is_truncated = false;
        for item in present.by_ref() {
            if bytes >= PART_SIZE_BYTES {
                is_truncated = true;
                break;
            }
            bytes += bytes_of(item);
            items.push(item.clone());
        }
        let last = items.last().map(|item| item.key.clone());
        let next_after = if is_truncated {
            last
        } else {
            available.up_to.map(str::to_owned)
        };
        Some(Page {
            items,
            at: available.at,
            next_after,
        })
    }

    fn available_after(&self, after: Option<&str>) -> Option<AvailableKeys<'_>> {
        if let Some(at) = self.position {
            return Some(AvailableKeys { up_to: None, at });
        }
        let partial = self.partial_read.as_ref()?;
        let up_to = Some(partial.up_to.as_str());
        (after < up_to).then_some(AvailableKeys {
            up_to,
            at: partial.at,
        })
    }
}

/// The range of keys that can be served.
struct AvailableKeys<'a> {
    /// The last key of the range; `None` if all keys are known.
    up_to: Option<&'a str>,
    /// Revision up to which these keys include every change.
    at: Revision,
}

/// The first items up to the part size. A revision that wrote several keys is never split.
fn first_part_by_revision<'a, 'b>(items: &'b [&'a Item]) -> &'b [&'a Item] {
    let mut bytes = 0;
    let mut last_revision = None;
    for (index, item) in items.iter().enumerate() {
        if bytes >= PART_SIZE_BYTES && last_revision != Some(item.revision) {
            return &items[..index];
        }
        bytes += bytes_of(item);
        last_revision = Some(item.revision);
    }
    items
}

fn bytes_of(item: &Item) -> usize {
    let value = item.value.as_ref().map_or(0, Vec::len);
    item.key.len() + value + ITEM_OVERHEAD_BYTES
}
