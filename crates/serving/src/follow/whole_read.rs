//! Reads everything that the store holds, page by page.
//!
//! After a loss of all machines every daemon reads everything at the same time, and the store's link is what they wait
//! for: 300 daemons with 3,000 engines share 1 Gbit/s for 3 s. So each page takes effect as it comes: the first one holds
//! the configuration and enough back ends to serve with. A page that fails is read again, never those before it.

use std::collections::HashSet;
use std::time::Instant;

use crate::fleet_state::{FleetState, Source};
use crate::request_trace::milliseconds;
use crate::store::{Consistency, FleetStore, Page, StoreError};
use crate::time::now;

/// A reading of everything that has begun.
#[derive(Debug)]
pub(super) struct WholeRead {
    consistency: Consistency,
    begun: Instant,
    pages: usize,
    keys: HashSet<String>,
    /// Lowest revision of any page. Pages are no snapshot, and one that may be old can be older than those before it:
    /// what changed since then may be missing from some of them.
    oldest_at: Option<u64>,
    next_after: Option<String>,
}

impl WholeRead {
    /// Nothing read yet.
    pub(super) fn new(consistency: Consistency) -> Self {
        Self {
            consistency,
            begun: now(),
            pages: 0,
            keys: HashSet::new(),
            oldest_at: None,
            next_after: None,
        }
    }

    /// Reads the pages that are left. Returns the revision after which changes follow.
    ///
    /// # Errors
    /// What the store answered to a page; called again, it goes on with that page.
    pub(super) async fn finish(
        &mut self,
        store: &dyn FleetStore,
        state: &FleetState,
    ) -> Result<u64, StoreError> {
        loop {
            let after = self.next_after.as_deref();
            let page = store.read_page(after, self.consistency).await?;
            let at = self.oldest_at.map_or(page.at, |oldest| oldest.min(page.at));
            self.oldest_at = Some(at);
            if self.take(page, state) {
                continue;
            }
            state.whole_is_known(&self.keys, at, Source::Store, now());
            tracing::info!(
                pages = self.pages,
                keys = self.keys.len(),
                at,
                took_ms = milliseconds(now().saturating_duration_since(self.begun)),
                "store_read"
            );
            return Ok(at);
        }
    }

    /// Puts a page into effect. Returns whether another follows.
    fn take(&mut self, page: Page, state: &FleetState) -> bool {
        self.pages += 1;
        self.keys
            .extend(page.items.iter().map(|item| item.key.clone()));
        state.take_items(page.items, Source::Store, now());
        self.next_after = page.next_after;
        self.next_after.is_some()
    }
}
