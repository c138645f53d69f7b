//! The newest configuration, back-end directory and set of daemons known to this daemon.

mod fleet_view;
mod known_era;
mod peer_answers;
mod quarantines;
mod retained;
mod version_history;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_fleet::configuration::Configuration;
use ponddrift_fleet::directory::{BackEnd, CandidateQuery, Candidates, Lifecycle};
use ponddrift_fleet::quarantine::Quarantine;
use ponddrift_fleet::rate_limits::Members;
use ponddrift_fleet::relays::RelayCandidate;
use ponddrift_fleet::revision::{Era, Revision};
use ponddrift_fleet::routes::RouteTable;
use ponddrift_fleet::store_doubt::OutageReport;
use ponddrift_fleet::stream_origins::{RecorderCandidate, StreamOrigins};
use ponddrift_fleet::tenants::TenantTable;
use ponddrift_fleet::topology::{Member, Topology};
use ponddrift_fleet::versions::RequiredVersion;

use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use fleet_view::{FleetView, PartialRead};
pub use known_era::KnownEra;

use crate::back_end_index::BackEndIndex;
use crate::store::{Changes, Decoded, FleetStore, Item, Page, Unreadable};

/// A configuration in force, with the tables that are derived from it.
#[derive(Debug)]
pub struct ConfigurationInForce {
    /// The configuration as the operators wrote it.
    pub configuration: Configuration,
    /// Routes of the configuration, indexed for lookup.
    pub routes: RouteTable,
    /// Tenants by API key; `None` if requests are not authenticated.
    pub tenants: Option<TenantTable>,
    /// Revision of the configuration's key in the store.
    pub revision: Revision,
    /// When it came into force on this daemon.
    pub since: Instant,
}

/// A daemon's identity in messages. It is derived from the name and survives restarts.
#[must_use]
pub fn daemon_identity(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The source of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store itself.
    Store,
    /// Another daemon, which received the update from the store.
    Peer,
}

impl UpdateSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The answer to a peer that asks for all changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ChangesAnswer {
    /// The changes, or the first part of them.
    Changes(Changes),
    /// Removals after that revision have been forgotten here, so the peer must read all keys again.
    HistoryForgotten,
}

/// This daemon's view of the fleet, shared by its tasks.
pub struct FleetState {
    store: Arc<dyn FleetStore>,
    own: Member,
    inner: Mutex<FleetView>,
    quarantine: Mutex<Quarantine>,
    stream_origins: Mutex<StreamOrigins>,
    quarantine_changed: Notify,
    configuration_changed: Notify,
    items_changed: Notify,
    stream_served: Notify,
    read_progressed: Notify,
    era: KnownEra,
}

impl FleetState {
    /// Creates an empty view. `own` is this daemon.
    #[must_use]
    pub fn new(store: Arc<dyn FleetStore>, own: Member) -> Self {
        let inner = Mutex::new(FleetView::new(&own));
        Self {
            store,
            own,
            inner,
            quarantine: Mutex::default(),
            stream_origins: Mutex::default(),
            quarantine_changed: Notify::new(),
            configuration_changed: Notify::new(),
            items_changed: Notify::new(),
            stream_served: Notify::new(),
            read_progressed: Notify::new(),
            era: KnownEra::default(),
        }
    }

    /// The store that this view follows.
    pub(crate) fn store(&self) -> &dyn FleetStore {
        &*self.store
    }

    /// Locks the records of requests during which engines ended.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Locks the records of where streams began.
    pub fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.stream_origins
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Notified when there may be a new quarantine to write to the store.
    #[must_use]
    pub const fn quarantine_changed(&self) -> &Notify {
        &self.quarantine_changed
    }

    /// Notified when another configuration may be in force.
    #[must_use]
    pub const fn configuration_changed(&self) -> &Notify {
        &self.configuration_changed
    }

    /// Notified when this daemon begins to serve a stream that its caller may take up.
    #[must_use]
    pub const fn stream_served(&self) -> &Notify {
        &self.stream_served
    }

    /// Notified when items of the store have been applied.
    #[must_use]
    pub const fn items_changed(&self) -> &Notify {
        &self.items_changed
    }

    /// This daemon, as it announces itself.
    #[must_use]
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// The configuration in force; `None` before the first one was received.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<ConfigurationInForce>> {
        self.lock().in_force.clone()
    }

    /// Back ends of `service` that accept requests.
    #[must_use]
    pub fn ready(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        self.lock().directory.ready(service, now)
    }

    /// The back ends among which the target of one request is chosen.
    #[must_use]
    pub fn candidates(&self, query: &CandidateQuery<'_>, now: Instant) -> Candidates {
        self.lock().directory.candidates(query, now)
    }

    /// Those of the given back ends that belong to `service` and accept requests.
    #[must_use]
    pub fn ready_among(&self, service: &str, ids: &[Arc<str>]) -> Vec<Arc<BackEnd>> {
        self.lock().directory.ready_among(service, ids)
    }

    /// Whether the back end's entry still says that it is ready.
    #[must_use]
    pub fn is_ready(&self, id: &str) -> bool {
        self.lock()
            .directory
            .get(id)
            .is_some_and(|back_end| back_end.lifecycle == Lifecycle::Ready)
    }

    /// Whether the back end has started again since the given entry.
    #[must_use]
    pub fn has_later_incarnation(&self, known: &BackEnd) -> bool {
        let inner = self.lock();
        let newest = inner.directory.get(&known.id);
        newest.is_some_and(|newest| newest.incarnation > known.incarnation)
    }

    /// Whether the entries show that this incarnation of a back end no longer runs; see
    /// [`Directory::has_ended`](ponddrift_fleet::directory::Directory::has_ended).
    #[must_use]
    pub fn has_ended(&self, known: &BackEnd, now: Instant) -> bool {
        self.lock().directory.has_ended(known, now)
    }

    /// Whether the entry of the back end shows another software than the given one: it has started
    /// again under its ID.
    #[must_use]
    pub fn has_other_software(&self, known: &BackEnd) -> bool {
        let inner = self.lock();
        let newest = inner.directory.get(&known.id);
        newest.is_some_and(|newest| newest.version != known.version)
    }

    /// Whether a back end of `service` with an admitted version serves, or may serve again soon.
    #[must_use]
    pub fn has_version(&self, service: &str, version: &RequiredVersion, now: Instant) -> bool {
        self.lock().directory.has_version(service, version, now)
    }

    /// Whether the back end may get a new request, according to its entry.
    #[must_use]
    pub fn accepts_requests(&self, id: &str, now: Instant) -> bool {
        self.lock().directory.accepts_requests(id, now)
    }

    /// Every back end that has an entry.
    #[must_use]
    pub fn back_ends(&self) -> Vec<Arc<BackEnd>> {
        self.lock().directory.present().cloned().collect()
    }

    /// Whether the configuration in force has the service, or there is none yet.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.lock().has_service(service)
    }

    /// The back end whose entry names this address. Takes time in proportion to the number of
    /// back ends.
    #[must_use]
    pub fn back_end_at(&self, address: SocketAddr) -> Option<Arc<BackEnd>> {
        let inner = self.lock();
        let mut present = inner.directory.present();
        present
            .find(|back_end| back_end.address == address)
            .cloned()
    }

    /// The other daemons that have a key, in a fixed order, as candidates for relaying connections.
    #[must_use]
    pub fn relay_candidates(&self) -> Vec<RelayCandidate> {
        let inner = self.lock();
        let others = inner
            .daemons
            .values()
            .filter(|member| member.name != self.own.name);
        let mut candidates: Vec<RelayCandidate> = others
            .map(|member| RelayCandidate {
                address: member.peer_address,
                zone: Arc::clone(&member.zone),
            })
            .collect();
        candidates.sort_unstable_by_key(|candidate| candidate.address);
        candidates
    }

    /// Every back end that has an entry, indexed by hash.
    #[must_use]
    pub fn back_end_index(&self) -> Arc<BackEndIndex> {
        Arc::clone(&self.lock().index)
    }

    /// This daemon's place among the daemons that have a key.
    #[must_use]
    pub fn topology(&self) -> Arc<Topology> {
        Arc::clone(&self.lock().topology)
    }

    /// The daemons that have a key.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        Arc::clone(&self.lock().members)
    }

    /// The current leader, as far as this daemon knows.
    #[must_use]
    pub fn leader(&self) -> Option<Arc<str>> {
        self.lock().leader.clone()
    }

    /// Addresses of the other daemons that led recently, newest first.
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

    /// Whether the store holds this daemon's key, as far as this daemon knows.
    #[must_use]
    pub fn knows_own_key(&self) -> bool {
        self.lock().has_key_of(&self.own.name)
    }

    /// Peer addresses of all daemons that have a key, by identity.
    #[must_use]
    pub fn daemon_addresses(&self) -> BTreeMap<u64, SocketAddr> {
        let inner = self.lock();
        let daemons = inner.daemons.iter();
        daemons
            .map(|(name, member)| (daemon_identity(name), member.peer_address))
            .collect()
    }

    /// The other daemons that have a key, as candidates for recording where streams began.
    #[must_use]
    pub fn recorder_candidates(&self) -> Vec<RecorderCandidate<SocketAddr>> {
        let inner = self.lock();
        let members = inner.daemons.values();
        members
            .filter(|member| member.name != self.own.name)
            .map(|member| RecorderCandidate {
                daemon: daemon_identity(&member.name),
                zone: Arc::clone(&member.zone),
                address: member.peer_address,
            })
            .collect()
    }

    /// The version of the service's software if all back ends had the same for at least `time`, as
    /// far as this daemon knows. `None` if it has not followed the back ends for so long.
    #[must_use]
    pub fn sole_version(&self, service: &str, time: Duration, now: Instant) -> Option<Arc<str>> {
        let inner = self.lock();
        let since = now.checked_sub(time)?;
        inner.complete_since.filter(|known| *known <= since)?;
        inner.directory.sole_version(service, since)
    }

    /// Highest revision of any item received.
    #[must_use]
    pub fn newest_revision(&self) -> Revision {
        self.lock().newest
    }

    /// Revision up to which this daemon's state is complete; `None` before the first full read.
    #[must_use]
    pub fn position(&self) -> Option<Revision> {
        self.lock().position
    }

    /// The newest era of the store, as far as this daemon knows.
    #[must_use]
    pub const fn era(&self) -> &KnownEra {
        &self.era
    }

    /// Whether the store was restored from a backup after the last full read.
    #[must_use]
    pub fn is_of_earlier_era(&self) -> bool {
        let position = self.position();
        position.is_some_and(|position| position.era() < self.era.newest())
    }

    /// Records an era that an answer of the store named.
    pub fn observe_store_era(&self, era: Era, now: Instant) {
        if self.position().is_some() {
            self.era.observe_from_store(era, now);
        } else {
            self.era.observe_before_first_read(era);
        }
    }

    /// Records an era that a peer named after it performed a full read.
    pub fn observe_peer_era(&self, era: Era, now: Instant) {
        self.era.observe_from_peer(era, now);
    }

    /// Records a full read from the store itself, as of the revision `at`.
    pub fn confirm_store_era(&self, at: Revision, now: Instant) {
        self.era.lower_to(at.era(), now);
    }

    /// The changes after the revision `after`, or the first part of them, for a peer that asks.
    #[must_use]
    pub fn changes_after(&self, after: Revision) -> ChangesAnswer {
        self.lock().changes_after(after)
    }

    /// The keys after `after`, or the first part of them. Returns `None` if no keys beyond `after`
    /// have been read yet.
    #[must_use]
    pub fn page_after(&self, after: Option<&str>) -> Option<Page> {
        self.lock().page_after(after)
    }

    /// Notified whenever more keys can be served to peers.
    #[must_use]
    pub const fn read_progressed(&self) -> &Notify {
        &self.read_progressed
    }

    /// Records that the first full read has reached the key `up_to`, as of the revision `at`.
    pub fn record_partial_read(&self, up_to: &str, at: Revision) {
        let up_to = up_to.to_owned();
        self.lock().partial_read = Some(PartialRead { up_to, at });
        self.read_progressed.notify_waiters();
    }

    /// Completes a full read: `keys` are all keys that existed at the revision `at`. Known keys
    /// that are missing from them were removed. Changes are followed from that revision on.
    pub fn finish_full_read(
        &self,
        keys: &HashSet<String>,
        at: Revision,
        source: UpdateSource,
        now: Instant,
    ) {
        self.mark_removals_doubtful(at, now);
        let removed = self.removals_of_missing(keys, at);
        self.apply_items(removed, source, now);
        let mut inner = self.lock();
        if inner.position.is_none_or(|position| position < at) {
            inner.position = Some(at);
            inner.removals_since = at;
        }
        inner.partial_read = None;
        inner.complete_since.get_or_insert(now);
        drop(inner);
        self.read_progressed.notify_waiters();
    }

    /// Applies changes that continue the known state. Returns false, and applies nothing, if there
    /// may be a gap before them.
    pub fn apply_changes(&self, changes: Changes, source: UpdateSource, now: Instant) -> bool {
        let follow_on = self
            .position()
            .is_some_and(|position| changes.after <= position);
        if !follow_on {
            return false;
        }
        self.apply_items(changes.items, source, now);
        let mut inner = self.lock();
        inner.position = inner.position.max(Some(changes.at));
        true
    }

    /// After a restore of the store, puts removals in doubt: a missing key may be written again.
    fn mark_removals_doubtful(&self, at: Revision, now: Instant) {
        let mut inner = self.lock();
        if inner
            .position
            .is_some_and(|position| position.era() < at.era())
        {
            inner.store_doubt.restored(now);
        }
    }

    /// Removals, at the revision `at`, of the present items that are no newer than `at` and not in
    /// `keys`.
    fn removals_of_missing(&self, keys: &HashSet<String>, at: Revision) -> Vec<Item> {
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

    /// Applies items, each only if it is newer than the known item of the same key. Does not treat
    /// missing keys as removed; for that see [`Self::finish_full_read`].
    pub fn apply_items(&self, items: Vec<Item>, source: UpdateSource, now: Instant) {
        let version_before = self.lock().configuration_version();
        for item in items {
            self.apply_item(item, source, now);
        }
        // Once for all items, because a full read contains every daemon.
        self.lock().update_topology(&self.own);
        self.notify_new_configuration(version_before);
        self.items_changed.notify_one();
    }

    /// Notifies of a configuration that came into force since `version_before` was.
    fn notify_new_configuration(&self, version_before: u64) {
        if self.lock().configuration_version() != version_before {
            self.configuration_changed.notify_one();
        }
    }

    fn apply_item(&self, item: Item, source: UpdateSource, now: Instant) {
        if self.is_stale(&item) {
            self.log_ignored_conflict(&item, source);
            return;
        }
        match self.store.decode(&item) {
            Ok(Decoded::QuarantineFiled(fingerprint)) => {
                self.apply_quarantine_filed(fingerprint, &item, source, now);
            }
            Ok(Decoded::QuarantineRemoved(fingerprint)) => {
                self.apply_quarantine_removed(fingerprint, &item, source, now);
            }
            Ok(decoded) => self.lock().apply(decoded, &item, source, now),
            Err(unreadable) => self.apply_unreadable(&unreadable, &item, source, now),
        }
        let mut inner = self.lock();
        inner.newest = inner.newest.max(item.revision);
        inner.items.insert(item.key.clone(), item);
    }

    /// Takes the back end out of use if the value is its entry; otherwise the last valid value stays
    /// in force.
    fn apply_unreadable(
        &self,
        unreadable: &Unreadable,
        item: &Item,
        source: UpdateSource,
        now: Instant,
    ) {
        match &unreadable.back_end {
            Some(id) => {
                let mut inner = self.lock();
                inner.take_out_of_use(id, &unreadable.problem, item, source, now);
            }
            None => tracing::warn!(
                key = unreadable.key,
                revision = %unreadable.revision,
                problem = unreadable.problem,
                "value_unreadable"
            ),
        }
    }

    /// Logs an ignored item that is not newer than the known one but has a different value, which
    /// indicates an inconsistency.
    fn log_ignored_conflict(&self, item: &Item, source: UpdateSource) {
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
                "conflicting_item_ignored"
            );
        }
    }

    fn is_stale(&self, item: &Item) -> bool {
        self.lock()
            .items
            .get(&item.key)
            .is_some_and(|known| known.revision >= item.revision)
    }

    /// Number of back-end entries that cannot be decoded or name a service that the configuration
    /// does not have.
    #[must_use]
    pub fn unusable_entries(&self) -> usize {
        self.lock().unusable_entries()
    }

    /// Number of back-end entries with an unusable cold-start time so far.
    #[must_use]
    pub fn unusable_cold_times(&self) -> u64 {
        self.lock().unusable_cold_times
    }

    /// Records a failed call to the store.
    pub fn store_failed(&self, error: &dyn std::fmt::Display, started: Instant, now: Instant) {
        let mut inner = self.lock();
        inner.store_doubt.failed(started, now);
        if inner.store_reached {
            inner.store_reached = false;
            tracing::warn!(%error, newest_revision = %inner.newest, "store_lost");
        }
    }

    /// Whether this daemon's newest call to the store that shows its state was answered.
    #[must_use]
    pub fn is_store_reached(&self) -> bool {
        self.lock().store_reached
    }

    /// The outage that this daemon saw itself, if entries that are missing because of it may still
    /// be written again.
    #[must_use]
    pub fn outage_report(&self, now: Instant) -> Option<OutageReport> {
        self.lock().store_doubt.report(now)
    }

    /// Records an outage of the store that a peer which follows the store saw.
    pub fn record_peer_outage(&self, report: OutageReport, now: Instant) {
        self.lock()
            .update_store_doubt(now, |doubt| doubt.receive(report, now));
    }

    /// Records how long ago the store answered a neighbour.
    pub fn neighbour_reported(&self, store_silence: Duration, now: Instant) {
        let mut inner = self.lock();
        inner.update_store_doubt(now, |doubt| {
            doubt.neighbour_was_answered(store_silence, now);
        });
    }

    /// Records that this daemon does not follow the store itself for now.
    pub fn stopped_following_store(&self) {
        self.lock().store_doubt.stopped_following();
    }

    /// Records a successful call to the store.
    pub fn store_answered(&self, at: Revision, now: Instant) {
        let mut inner = self.lock();
        inner.update_store_doubt(now, |doubt| doubt.answered(now));
        if !inner.store_reached {
            inner.store_reached = true;
            tracing::info!(%at, newest_revision = %inner.newest, "store_reached");
        }
    }

    /// Forgets records that are no longer needed.
    pub fn forget_old(&self, now: Instant) {
        /// Number of revisions for which removed keys are kept, so that peers can be told of them.
        const REMOVALS_KEPT_REVISIONS: u64 = 10_000;
        let mut inner = self.lock();
        inner.expire_removals(now);
        inner.remove_missing_daemons(now);
        inner.forget_retained(now);
        inner.update_topology(&self.own);
        self.quarantine().forget_old(now);
        let oldest_removal = inner.newest.back_by(REMOVALS_KEPT_REVISIONS);
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
