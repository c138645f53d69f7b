//! The newest configuration, directory and daemons that this daemon has seen.

mod fleet_view;
mod handing_on;
mod known_era;
mod quarantines;
mod retained;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_fleet::configuration::Configuration;
use ponddrift_fleet::directory::{BackEnd, CandidateQuery, Candidates, Lifecycle};
use ponddrift_fleet::quarantine::Quarantine;
use ponddrift_fleet::rate_limits::Members;
use ponddrift_fleet::revision::{Era, Revision};
use ponddrift_fleet::routes::RouteTable;
use ponddrift_fleet::tenants::TenantTable;
use ponddrift_fleet::topology::{Member, Topology};

use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use fleet_view::{FleetView, PartlyRead};
pub use known_era::KnownEra;

use crate::back_end_index::BackEndIndex;
use crate::store::{Changes, Decoded, FleetStore, Item, Page};

/// A configuration in force.
#[derive(Debug)]
pub struct ConfigurationInForce {
    /// The configuration.
    pub configuration: Configuration,
    /// Its routes.
    pub routes: RouteTable,
    /// Its tenants by key; none where requests are not authenticated.
    pub tenants: Option<TenantTable>,
    /// Revision of its key.
    pub revision: Revision,
    /// Since when it has been in force here.
    pub since: Instant,
}

/// A daemon's identity in messages, the same in all its lives.
#[must_use]
pub fn daemon_identity(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Where news came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another daemon, which had it from the store.
    Peer,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// What a peer is told that asks for everything after a revision.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum News {
    /// What changed since then, or the first part of it.
    Changes(Changes),
    /// What was removed since then is no longer known here: everything is to be read anew.
    TooLongAgo,
}

/// This daemon's view of the fleet, shared by its tasks.
pub struct FleetState {
    store: Arc<dyn FleetStore>,
    own: Member,
    inner: Mutex<FleetView>,
    quarantine: Mutex<Quarantine>,
    quarantine_changed: Notify,
    more_is_known: Notify,
    era: KnownEra,
}

impl FleetState {
    /// Nothing known yet. `own` is this daemon.
    #[must_use]
    pub fn new(store: Arc<dyn FleetStore>, own: Member) -> Self {
        let inner = Mutex::new(FleetView::of(&own));
        Self {
            store,
            own,
            inner,
            quarantine: Mutex::default(),
            quarantine_changed: Notify::new(),
            more_is_known: Notify::new(),
            era: KnownEra::default(),
        }
    }

    /// What is known of requests under which engines ended.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Wakes who files quarantines in the store when there may be a new one.
    #[must_use]
    pub const fn quarantine_changed(&self) -> &Notify {
        &self.quarantine_changed
    }

    /// This daemon.
    #[must_use]
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// The configuration in force; none before the first was seen.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<ConfigurationInForce>> {
        self.lock().in_force.clone()
    }

    /// Back ends of `service` that take requests.
    #[must_use]
    pub fn ready(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        self.lock().directory.ready(service, now)
    }

    /// The back ends among which one request's are chosen.
    #[must_use]
    pub fn candidates(&self, query: &CandidateQuery<'_>, now: Instant) -> Candidates {
        self.lock().directory.candidates(query, now)
    }

    /// Those of these back ends that belong to `service` and take requests.
    #[must_use]
    pub fn ready_among(&self, service: &str, ids: &[Arc<str>]) -> Vec<Arc<BackEnd>> {
        self.lock().directory.ready_among(service, ids)
    }

    /// Whether the back end's entry still says that it takes requests.
    #[must_use]
    pub fn is_ready(&self, id: &str) -> bool {
        self.lock()
            .directory
            .get(id)
            .is_some_and(|back_end| back_end.lifecycle == Lifecycle::Ready)
    }

    /// Whether the back end may get a new request, as far as its entry tells.
    #[must_use]
    pub fn takes_requests(&self, id: &str, now: Instant) -> bool {
        self.lock().directory.takes_requests(id, now)
    }

    /// Every back end that has an entry.
    #[must_use]
    pub fn back_ends(&self) -> Vec<Arc<BackEnd>> {
        self.lock().directory.present().cloned().collect()
    }

    /// Every back end that has an entry, to be found by hash.
    #[must_use]
    pub fn back_end_index(&self) -> Arc<BackEndIndex> {
        Arc::clone(&self.lock().index)
    }

    /// This daemon's place among those that have a key.
    #[must_use]
    pub fn topology(&self) -> Arc<Topology> {
        Arc::clone(&self.lock().topology)
    }

    /// The daemons that have a key.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        Arc::clone(&self.lock().members)
    }

    /// The daemon that leads, as far as is known.
    #[must_use]
    pub fn leader(&self) -> Option<Arc<str>> {
        self.lock().leader.clone()
    }

    /// Addresses of the other daemons that led lately, the newest first.
    #[must_use]
    pub fn other_recent_leaders(&self) -> Vec<SocketAddr> {
        let inner = self.lock();
        let others = inner.recent_leaders.iter().rev();
        others
            .filter(|leader| **leader != self.own.name)
            .filter_map(|leader| inner.daemons.get(leader))
            .map(|member| member.peer_address)
            .collect()
    }

    /// Whether the store holds this daemon's key, as far as is known.
    #[must_use]
    pub fn knows_own_key(&self) -> bool {
        self.lock().has_key_of(&self.own.name)
    }

    /// All daemons that have a key, by identity.
    #[must_use]
    pub fn daemon_addresses(&self) -> BTreeMap<u64, SocketAddr> {
        let inner = self.lock();
        let daemons = inner.daemons.iter();
        daemons
            .map(|(name, member)| (daemon_identity(name), member.peer_address))
            .collect()
    }

    /// Newest revision of any item.
    #[must_use]
    pub fn newest_revision(&self) -> Revision {
        self.lock().newest
    }

    /// Revision up to which everything is known; none before the first reading.
    #[must_use]
    pub fn position(&self) -> Option<Revision> {
        self.lock().position
    }

    /// The newest era of the store, as far as is known.
    #[must_use]
    pub const fn era(&self) -> &KnownEra {
        &self.era
    }

    /// Whether the store has come back from an older copy since everything was read.
    #[must_use]
    pub fn is_of_era_before(&self) -> bool {
        let position = self.position();
        position.is_some_and(|position| position.era() < self.era.newest())
    }

    /// An answer of the store named an era.
    pub fn store_named_era(&self, era: Era, now: Instant) {
        if self.position().is_some() {
            self.era.note_of_store(era, now);
        } else {
            self.era.meet(era);
        }
    }

    /// A peer that has read everything named an era.
    pub fn peer_named_era(&self, era: Era, now: Instant) {
        self.era.note_of_peer(era, now);
    }

    /// Everything was read from the store itself just now, as of `at`.
    pub fn store_was_read(&self, at: Revision, now: Instant) {
        self.era.refute_newer_than(at.era(), now);
    }

    /// What a peer lacks that knows everything up to `after`, or the first part of it.
    #[must_use]
    pub fn news_after(&self, after: Revision) -> News {
        self.lock().news_after(after)
    }

    /// Everything behind the key `after`, or the first part of it; none where nothing behind it is known yet.
    #[must_use]
    pub fn page_after(&self, after: Option<&str>) -> Option<Page> {
        self.lock().page_after(after)
    }

    /// Wakes whoever waits to hand on more, as soon as more is known.
    #[must_use]
    pub const fn more_is_known(&self) -> &Notify {
        &self.more_is_known
    }

    /// A first reading of everything has come to the key `up_to`, as of the revision `at`.
    pub fn note_part_read(&self, up_to: &str, at: Revision) {
        let up_to = up_to.to_owned();
        self.lock().partly_read = Some(PartlyRead { up_to, at });
        self.more_is_known.notify_waiters();
    }

    /// All keys that were there at a revision have been taken: what is missing from them was removed, and changes follow
    /// on that revision.
    pub fn whole_is_known(
        &self,
        keys: &HashSet<String>,
        at: Revision,
        source: Source,
        now: Instant,
    ) {
        self.doubt_what_a_copy_lacks(at, now);
        let removed = self.missing_from(keys, at);
        self.take_items(removed, source, now);
        let mut inner = self.lock();
        if inner.position.is_none_or(|position| position < at) {
            inner.position = Some(at);
            inner.removals_since = at;
        }
        inner.partly_read = None;
        drop(inner);
        self.more_is_known.notify_waiters();
    }

    /// Takes changes that follow on what is known. Returns false where something may lie between; nothing is taken
    /// then.
    pub fn take_changes(&self, changes: Changes, source: Source, now: Instant) -> bool {
        let follow_on = self
            .position()
            .is_some_and(|position| changes.after <= position);
        if !follow_on {
            return false;
        }
        self.take_items(changes.items, source, now);
        let mut inner = self.lock();
        inner.position = inner.position.max(Some(changes.at));
        true
    }

    /// What a store lacks that has come back from an older copy may be written again.
    fn doubt_what_a_copy_lacks(&self, at: Revision, now: Instant) {
        let mut inner = self.lock();
        if inner
            .position
            .is_some_and(|position| position.era() < at.era())
        {
            inner.last_store_failure = Some(now);
        }
    }

    /// What is held as present, is no newer than `at`, and is not among `keys`.
    fn missing_from(&self, keys: &HashSet<String>, at: Revision) -> Vec<Item> {
        let inner = self.lock();
        inner
            .items
            .values()
            .filter(|item| item.value.is_some() && item.revision <= at)
            .filter(|item| !keys.contains(&item.key))
            .map(|item| Item {
                key: item.key.clone(),
                revision: at,
                value: None,
            })
            .collect()
    }

    /// Takes items, each only if it is newer than what is known of its key. What is missing from them says nothing; of
    /// everything see [`Self::whole_is_known`].
    pub fn take_items(&self, items: Vec<Item>, source: Source, now: Instant) {
        for item in items {
            self.take_item(item, source, now);
        }
        // Once for all of them: a reading of everything names every daemon.
        self.lock().place_where_daemons_changed(&self.own);
    }

    fn take_item(&self, item: Item, source: Source, now: Instant) {
        if self.is_stale(&item) {
            self.log_passed_over(&item, source);
            return;
        }
        match self.store.decode(&item) {
            Ok(Decoded::QuarantineFiled(fingerprint)) => {
                self.quarantine_filed(fingerprint, &item, source, now);
            }
            Ok(Decoded::QuarantineRemoved(fingerprint)) => {
                self.quarantine_released(fingerprint, &item, source, now);
            }
            Ok(decoded) => self.lock().apply(decoded, &item, source, now),
            Err(unreadable) => tracing::warn!(
                key = unreadable.key,
                revision = %unreadable.revision,
                problem = unreadable.problem,
                "value_unreadable"
            ),
        }
        let mut inner = self.lock();
        inner.newest = inner.newest.max(item.revision);
        inner.items.insert(item.key.clone(), item);
    }

    /// An item that is no newer by its revision, and yet says something else, is worth a line: the two cannot both be right.
    fn log_passed_over(&self, item: &Item, source: Source) {
        let inner = self.lock();
        let Some(known) = inner.items.get(&item.key) else {
            return;
        };
        if known.value != item.value {
            tracing::info!(
                key = item.key,
                revision = %item.revision,
                known_revision = %known.revision,
                source = source.as_str(),
                "item_passed_over"
            );
        }
    }

    fn is_stale(&self, item: &Item) -> bool {
        self.lock()
            .items
            .get(&item.key)
            .is_some_and(|known| known.revision >= item.revision)
    }

    /// Back ends whose entries held no usable time of their slow start, so far.
    #[must_use]
    pub fn unusable_cold_times(&self) -> u64 {
        self.lock().unusable_cold_times
    }

    /// A call to the store failed.
    pub fn store_failed(&self, error: &dyn std::fmt::Display, now: Instant) {
        let mut inner = self.lock();
        inner.last_store_failure = Some(now);
        if inner.store_reached {
            inner.store_reached = false;
            tracing::warn!(%error, newest_revision = %inner.newest, "store_lost");
        }
    }

    /// Whether entries that vanish now may have lapsed because the store was away.
    #[must_use]
    pub fn is_in_doubt(&self, now: Instant) -> bool {
        self.lock().is_in_doubt(now)
    }

    /// A peer that follows the store is in doubt.
    pub fn note_doubt(&self, now: Instant) {
        self.lock().last_store_failure = Some(now);
    }

    /// A call to the store succeeded.
    pub fn store_answered(&self, at: Revision) {
        let mut inner = self.lock();
        if !inner.store_reached {
            inner.store_reached = true;
            tracing::info!(%at, newest_revision = %inner.newest, "store_reached");
        }
    }

    /// Forgets what is long past.
    pub fn forget_old(&self, now: Instant) {
        /// Removed keys are handed on to peers for about this many revisions.
        const REMOVED_KEPT: u64 = 10_000;
        let mut inner = self.lock();
        inner.forget_removals(now);
        inner.remove_departed(now);
        inner.forget_retained(now);
        inner.place_where_daemons_changed(&self.own);
        self.quarantine().forget_old(now);
        let oldest_removal = inner.newest.back_by(REMOVED_KEPT);
        inner
            .items
            .retain(|_key, item| item.value.is_some() || item.revision > oldest_removal);
        inner.removals_since = inner.removals_since.max(oldest_removal);
    }

    fn lock(&self) -> MutexGuard<'_, FleetView> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
