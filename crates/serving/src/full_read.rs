//! Reads all keys of the store page by page, from the store or from peers.
//!
//! After a restart of all machines, every daemon reads everything at the same time and the store's
//! network link is the bottleneck: 1,000 daemons with 10,000 back ends would share 1 Gbit/s for
//! half a minute. Therefore only a few daemons read the store, and the others read from these while
//! they are still reading. Each page takes effect as soon as it arrives: the first pages contain the
//! configuration and enough back ends to serve requests. After a failed page, only that page is read
//! again, possibly from another source: all sources return the keys in the same order.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ponddrift_fleet::distribution::ReadPlan;
use ponddrift_fleet::revision::Revision;
use ponddrift_runtime::Runtime;

use crate::fleet_state::{FleetState, UpdateSource};
use crate::peers;
use crate::request_trace::milliseconds;
use crate::store::{Consistency, FleetStore, Page, StoreError};
use crate::time::now;

/// Delay before the next provider is asked if one has nothing to offer or fails.
const PROVIDER_RETRY_DELAY: Duration = Duration::from_millis(30);

/// A full read in progress.
#[derive(Debug)]
pub(crate) struct FullRead {
    consistency: Consistency,
    started: Instant,
    pages: usize,
    pages_from_peers: usize,
    keys: HashSet<String>,
    /// Lowest revision of any page. Pages are not a snapshot, and a stale page can be older than
    /// those before it. Changes after this revision may be missing from some of the pages.
    oldest_at: Option<Revision>,
    next_after: Option<String>,
    /// Pages of peers are accepted only if their revision is higher than this.
    newer_than: Option<Revision>,
}

/// Why a page cannot be appended to the pages before it.
#[derive(Debug, thiserror::Error)]
enum PageMismatch {
    #[error(
        "a page does not continue after the requested key; another peer, or the store, is read"
    )]
    OutOfOrder,
    #[error(
        "a page belongs to another era of the store than those before it; all pages are read again"
    )]
    EraMismatch,
}

impl From<PageMismatch> for StoreError {
    fn from(mismatch: PageMismatch) -> Self {
        match mismatch {
            PageMismatch::OutOfOrder => Self::Unreadable(mismatch.to_string()),
            PageMismatch::EraMismatch => Self::EraMismatch,
        }
    }
}

impl FullRead {
    /// Starts a full read without any pages.
    pub(crate) fn new(consistency: Consistency) -> Self {
        Self {
            consistency,
            started: now(),
            pages: 0,
            pages_from_peers: 0,
            keys: HashSet::new(),
            oldest_at: None,
            next_after: None,
            newer_than: None,
        }
    }

    /// From now on, rejects pages of peers whose revision is not higher than `known`. Such a peer
    /// has not read the missing changes yet and is asked again. When the store compacts its
    /// history, all daemons miss the same changes.
    pub(crate) fn require_newer_than(&mut self, known: Option<Revision>) {
        self.newer_than = known;
    }

    /// Restarts the read, because pages of different eras of the store must not be combined.
    fn restart(&mut self) {
        *self = Self {
            newer_than: self.newer_than,
            ..Self::new(self.consistency)
        };
    }

    /// Reads the remaining pages from the store. Returns the revision after which changes are to be
    /// followed.
    ///
    /// # Errors
    /// The store's error for a page. A later call continues with that page.
    pub(crate) async fn read_store(
        &mut self,
        store: &dyn FleetStore,
        state: &FleetState,
    ) -> Result<Revision, StoreError> {
        loop {
            let after = self.next_after.as_deref();
            let page = store.read_page(after, self.consistency).await?;
            let end = self.apply_page(page, UpdateSource::Store, state);
            if let Some(at) = end? {
                return Ok(at);
            }
        }
    }

    /// Reads the remaining pages from peers. Returns the revision after which changes are to be
    /// followed, or `None` if no peer provided another page within the plan's fallback time.
    pub(crate) async fn read_peers(
        &mut self,
        runtime: &Runtime,
        plan: &ReadPlan,
        state: &FleetState,
    ) -> Option<Revision> {
        let mut last_page = now();
        for provider in plan.providers.iter().cycle() {
            match self
                .read_peer(runtime, *provider, state, &mut last_page)
                .await
            {
                Ok(end) => return end,
                Err(NoPage::NotReadYet) => {}
                Err(NoPage::Failed(error)) => {
                    tracing::info!(%provider, pages = self.pages, error, "page_not_read");
                }
            }
            if now().saturating_duration_since(last_page) > plan.fallback_after {
                tracing::info!(pages = self.pages, "peer_pages_timed_out");
                return None;
            }
            tokio::time::sleep(PROVIDER_RETRY_DELAY).await;
        }
        None
    }

    /// Reads pages from one peer for as long as it provides any.
    async fn read_peer(
        &mut self,
        runtime: &Runtime,
        provider: SocketAddr,
        state: &FleetState,
        last_page: &mut Instant,
    ) -> Result<Option<Revision>, NoPage> {
        loop {
            let answer = peers::fetch_page(runtime, provider, self.next_after.as_deref()).await;
            let page = answer.map_err(|error| NoPage::Failed(error.to_string()))?;
            let page = page.ok_or(NoPage::NotReadYet)?;
            let is_of_earlier_era = self
                .oldest_at
                .is_some_and(|oldest| page.at.era() < oldest.era());
            if is_of_earlier_era || Some(page.at) <= self.newer_than {
                return Err(NoPage::NotReadYet);
            }
            let end = match self.apply_page(page, UpdateSource::Peer, state) {
                Ok(end) => end,
                Err(PageMismatch::EraMismatch) => {
                    self.restart();
                    continue;
                }
                Err(mismatch) => return Err(NoPage::Failed(mismatch.to_string())),
            };
            *last_page = now();
            if end.is_some() {
                return Ok(end);
            }
        }
    }

    /// Applies a page. Returns the revision after which changes are to be followed if it was the
    /// last page.
    fn apply_page(
        &mut self,
        page: Page,
        source: UpdateSource,
        state: &FleetState,
    ) -> Result<Option<Revision>, PageMismatch> {
        if self
            .oldest_at
            .is_some_and(|oldest| oldest.era() != page.at.era())
        {
            return Err(PageMismatch::EraMismatch);
        }
        if !self.continues_with(&page) {
            return Err(PageMismatch::OutOfOrder);
        }
        self.pages += 1;
        if source == UpdateSource::Peer {
            self.pages_from_peers += 1;
        }
        let at = self.oldest_at.map_or(page.at, |oldest| oldest.min(page.at));
        self.oldest_at = Some(at);
        self.keys
            .extend(page.items.iter().map(|item| item.key.clone()));
        state.apply_items(page.items, source, now());
        self.next_after = page.next_after;
        if let Some(up_to) = &self.next_after {
            state.record_partial_read(up_to, at);
            return Ok(None);
        }
        state.finish_full_read(&self.keys, at, source, now());
        tracing::info!(
            pages = self.pages,
            pages_of_peers = self.pages_from_peers,
            keys = self.keys.len(),
            %at,
            took_ms = milliseconds(now().saturating_duration_since(self.started)),
            "store_read"
        );
        Ok(Some(at))
    }

    fn continues_with(&self, page: &Page) -> bool {
        let advances = page
            .next_after
            .as_ref()
            .is_none_or(|next_after| Some(next_after) > self.next_after.as_ref());
        let first = page.items.first().map(|item| &item.key);
        advances && first.is_none_or(|first| Some(first) > self.next_after.as_ref())
    }
}

/// Why a peer provided no page.
enum NoPage {
    /// The peer has not read that far yet.
    NotReadYet,
    /// The peer cannot be reached, or its answer is not a valid page.
    Failed(String),
}
