//! Reads everything that the store holds, page by page, from the store or from peers.
//!
//! After a loss of all machines every daemon reads everything at the same time, and the store's link is what they wait
//! for: 1,000 daemons with 10,000 back ends would share 1 Gbit/s for half a minute. So a few read the store, and the others
//! read from those while they still read. Each page takes effect as it comes: the first ones hold the configuration and
//! enough back ends to serve with. A page that fails is read again, from whoever has it, never those before it: all hand out
//! keys in the same order.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ponddrift_fleet::distribution::ReadingPlan;
use ponddrift_fleet::revision::Revision;
use ponddrift_runtime::Runtime;

use crate::fleet_state::{FleetState, Source};
use crate::peers;
use crate::request_trace::milliseconds;
use crate::store::{Consistency, FleetStore, Page, StoreError};
use crate::time::now;

/// Pause before the next provider is asked, where one has nothing or fails.
const PROVIDER_PAUSE: Duration = Duration::from_millis(30);

/// A reading of everything that has begun.
#[derive(Debug)]
pub(crate) struct FullRead {
    consistency: Consistency,
    begun: Instant,
    pages: usize,
    pages_of_peers: usize,
    keys: HashSet<String>,
    /// Lowest revision of any page. Pages are no snapshot, and one that may be old can be older than those before it:
    /// what changed since then may be missing from some of them.
    oldest_at: Option<Revision>,
    next_after: Option<String>,
    /// A page of a peer counts only if it is newer than this.
    newer_than: Option<Revision>,
}

/// A page that does not follow on those before it.
#[derive(Debug, thiserror::Error)]
enum Misfit {
    #[error(
        "a page does not go on behind the key that it was asked for; another peer, or the store, is read"
    )]
    NoProgress,
    #[error("a page is of another era of the store than those before it; all are read anew")]
    EraMismatch,
}

impl From<Misfit> for StoreError {
    fn from(misfit: Misfit) -> Self {
        match misfit {
            Misfit::NoProgress => Self::Unreadable(misfit.to_string()),
            Misfit::EraMismatch => Self::EraMismatch,
        }
    }
}

impl FullRead {
    /// Nothing read yet.
    pub(crate) fn new(consistency: Consistency) -> Self {
        Self {
            consistency,
            begun: now(),
            pages: 0,
            pages_of_peers: 0,
            keys: HashSet::new(),
            oldest_at: None,
            next_after: None,
            newer_than: None,
        }
    }

    /// From now on pages of peers that show no more than the revision `known` are not taken: whoever sent them has not read what is
    /// missing yet, and is asked again. When the store forgets its history, all daemons miss the same.
    pub(crate) fn only_newer_than(&mut self, known: Option<Revision>) {
        self.newer_than = known;
    }

    /// Pages of two eras of the store make no whole.
    fn begin_anew(&mut self) {
        *self = Self {
            newer_than: self.newer_than,
            ..Self::new(self.consistency)
        };
    }

    /// Reads the pages that are left from the store. Returns the revision after which changes follow.
    ///
    /// # Errors
    /// What the store answered to a page; called again, it goes on with that page.
    pub(crate) async fn read_store(
        &mut self,
        store: &dyn FleetStore,
        state: &FleetState,
    ) -> Result<Revision, StoreError> {
        loop {
            let after = self.next_after.as_deref();
            let page = store.read_page(after, self.consistency).await?;
            let end = self.take(page, Source::Store, state);
            if let Some(at) = end? {
                return Ok(at);
            }
        }
    }

    /// Reads the pages that are left from peers. Returns the revision after which changes follow; none where no peer brought
    /// more for as long as the plan has patience.
    pub(crate) async fn read_peers(
        &mut self,
        runtime: &Runtime,
        plan: &ReadingPlan,
        state: &FleetState,
    ) -> Option<Revision> {
        let mut last_page = now();
        for provider in plan.providers.iter().cycle() {
            match self
                .read_peer(runtime, *provider, state, &mut last_page)
                .await
            {
                Ok(end) => return end,
                Err(Unhelpful::NothingYet) => {}
                Err(Unhelpful::Failed(error)) => {
                    tracing::info!(%provider, pages = self.pages, error, "page_not_read");
                }
            }
            if now().saturating_duration_since(last_page) > plan.patience {
                tracing::info!(pages = self.pages, "pages_left_to_store");
                return None;
            }
            tokio::time::sleep(PROVIDER_PAUSE).await;
        }
        None
    }

    /// Reads pages from one peer for as long as it has any.
    async fn read_peer(
        &mut self,
        runtime: &Runtime,
        provider: SocketAddr,
        state: &FleetState,
        last_page: &mut Instant,
    ) -> Result<Option<Revision>, Unhelpful> {
        loop {
            let asked = peers::fetch_page(runtime, provider, self.next_after.as_deref()).await;
            let page = asked.map_err(|error| Unhelpful::Failed(error.to_string()))?;
            let page = page.ok_or(Unhelpful::NothingYet)?;
            let is_of_era_before = self
                .oldest_at
                .is_some_and(|oldest| page.at.era() < oldest.era());
            if is_of_era_before || Some(page.at) <= self.newer_than {
                return Err(Unhelpful::NothingYet);
            }
            let end = match self.take(page, Source::Peer, state) {
                Ok(end) => end,
                Err(Misfit::EraMismatch) => {
                    self.begin_anew();
                    continue;
                }
                Err(misfit) => return Err(Unhelpful::Failed(misfit.to_string())),
            };
            *last_page = now();
            if end.is_some() {
                return Ok(end);
            }
        }
    }

    /// Puts a page into effect. Returns the revision after which changes follow, where it was the last.
    fn take(
        &mut self,
        page: Page,
        source: Source,
        state: &FleetState,
    ) -> Result<Option<Revision>, Misfit> {
        if self
            .oldest_at
            .is_some_and(|oldest| oldest.era() != page.at.era())
        {
            return Err(Misfit::EraMismatch);
        }
        if !self.is_followed_by(&page) {
            return Err(Misfit::NoProgress);
        }
        self.pages += 1;
        if source == Source::Peer {
            self.pages_of_peers += 1;
        }
        let at = self.oldest_at.map_or(page.at, |oldest| oldest.min(page.at));
        self.oldest_at = Some(at);
        self.keys
            .extend(page.items.iter().map(|item| item.key.clone()));
        state.take_items(page.items, source, now());
        self.next_after = page.next_after;
        if let Some(up_to) = &self.next_after {
            state.note_part_read(up_to, at);
            return Ok(None);
        }
        state.whole_is_known(&self.keys, at, source, now());
        tracing::info!(
            pages = self.pages,
            pages_of_peers = self.pages_of_peers,
            keys = self.keys.len(),
            %at,
            took_ms = milliseconds(now().saturating_duration_since(self.begun)),
            "store_read"
        );
        Ok(Some(at))
    }

    fn is_followed_by(&self, page: &Page) -> bool {
        let goes_on = page
            .next_after
            .as_ref()
            .is_none_or(|next_after| Some(next_after) > self.next_after.as_ref());
        let first = page.items.first().map(|item| &item.key);
        goes_on && first.is_none_or(|first| Some(first) > self.next_after.as_ref())
    }
}

/// Why a peer brought no page.
enum Unhelpful {
    /// It has not read so far itself.
    NothingYet,
    /// It cannot be reached, or what it sent is no page.
    Failed(String),
}
