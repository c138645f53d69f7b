//! This daemon's view of the fleet, and how updates change it. Relevant changes are logged.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use ponddrift_fleet::configuration::{Configuration, Stage};
use ponddrift_fleet::directory::{
    BackEnd, ColdStart, Directory, Lifecycle, PutOutcome, WarmupState,
};
use ponddrift_fleet::rate_limits::Members;
use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::routes::RouteTable;
use ponddrift_fleet::store_doubt::StoreDoubt;
use ponddrift_fleet::tenants::TenantTable;
use ponddrift_fleet::topology::{Member, Topology};

use super::retained::Retained;
use super::version_history::KnownVersions;
use super::{ConfigurationInForce, UpdateSource, daemon_identity};
use crate::back_end_index::BackEndIndex;
use crate::follow::MISSING_KEY_GRACE;
use crate::store::{Decoded, Item};

/// Number of recent leaders to remember. Few more can lead within the usage windows that are
/// reported.
const MAX_RECENT_LEADERS: usize = 4;

/// Progress of the first full read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PartialRead {
    /// All keys up to and including this one have been read.
    pub(super) up_to: String,
    /// Revision up to which these keys include every change.
    pub(super) at: Revision,
}

#[derive(Default)]
pub(super) struct FleetView {
    pub(super) in_force: Option<Arc<ConfigurationInForce>>,
    pub(super) directory: Directory,
    /// Shared with readers; copied on write only while a reader holds it.
    pub(super) index: Arc<BackEndIndex>,
    pub(super) daemons: HashMap<Arc<str>, Member>,
    pub(super) topology: Arc<Topology>,
    /// The daemons that share the rate limits of back ends.
    pub(super) members: Arc<Members>,
    /// Whether daemons have joined or left since the topology was computed.
    daemons_changed: bool,
    pub(super) leader: Option<Arc<str>>,
    /// Daemons that led recently, newest last.
    pub(super) recent_leaders: VecDeque<Arc<str>>,
    /// Raw items by key, as they are sent to peers.
    pub(super) items: BTreeMap<String, Item>,
    /// Items known from before the store was restored from a backup whose contents are older. They
    /// stay in force until they are written to the store again.
    pub(super) retained: BTreeMap<String, Retained>,
    /// Daemons whose keys are missing since the store was restored, and since when.
    daemons_missing_keys: HashMap<Arc<str>, Instant>,
    /// Progress of the first full read; `None` before its first page and after its end.
    pub(super) partial_read: Option<PartialRead>,
    pub(super) newest: Revision,
    /// Revision up to which the state is complete; `None` before the first full read.
    pub(super) position: Option<Revision>,
    /// When the first full read finished.
    pub(super) complete_since: Option<Instant>,
    /// Revision after which all removals are known.
    pub(super) removals_since: Revision,
    /// Back ends whose entries in the store cannot be decoded.
    unreadable_entries: HashSet<Arc<str>>,
    /// Number of back-end entries with an unusable cold-start time.
    pub(super) unusable_cold_times: u64,
    pub(super) store_doubt: StoreDoubt,
    pub(super) store_reached: bool,
    pub(super) versions: KnownVersions,
}

impl FleetView {
    /// Creates a view that contains only this daemon.
    pub(super) fn new(own: &Member) -> Self {
        Self {
            topology: Arc::new(Topology::of(own, &[])),
            directory: Directory::for_daemon(Arc::clone(&own.zone), daemon_identity(&own.name)),
            ..Self::default()
        }
    }

    /// Recomputes this daemon's place among its peers if daemons have joined or left.
    pub(super) fn update_topology(&mut self, own: &Member) {
        if !std::mem::take(&mut self.daemons_changed) {
            return;
        }
        let members: Vec<Member> = self.daemons.values().cloned().collect();
        let topology = Topology::of(own, &members);
        if topology.follows_store != self.topology.follows_store {
            tracing::info!(
                follows = topology.follows_store,
                daemons = topology.daemons,
                neighbours = topology.neighbours.len(),
                "store_follower_chosen"
            );
        }
        self.topology = Arc::new(topology);
        self.members = Arc::new(Members {
            own: daemon_identity(&own.name),
            daemons: members
                .iter()
                .map(|member| (Arc::clone(&member.zone), daemon_identity(&member.name)))
                .collect(),
        });
    }

    /// Whether the first full read has not finished. Until then single entries are not logged as
    /// changes, because logging all entries would slow down the start of a large fleet: 10,000
    /// lines take a quarter of a second on a small machine.
    fn is_first_reading(&self) -> bool {
        self.position.is_none()
    }

    /// Applies a decoded item that is newer than the known item of the same key.
    pub(super) fn apply(
        &mut self,
        decoded: Decoded,
        item: &Item,
        source: UpdateSource,
        now: Instant,
    ) {
        let revision = item.revision;
        match decoded {
            Decoded::Configuration(configuration) => {
                if self.has_newer_configuration(configuration.version) {
                    self.retain_known(item, now);
                } else {
                    self.retained.remove(&item.key);
                }
                self.apply_configuration(*configuration, revision, source, now);
            }
            Decoded::ConfigurationRemoved => self.retain_known(item, now),
            Decoded::BackEnd(mut back_end, warmth) => {
                self.unreadable_entries.remove(&back_end.id);
                back_end.cold_start = self.cold_start(&back_end, warmth, revision, now);
                self.apply_back_end(back_end, item, source, now);
            }
            Decoded::BackEndRemoved(id) => {
                if !self.is_of_earlier_era(item) {
                    self.retained.remove(&item.key);
                }
                self.unreadable_entries.remove(&id);
                self.remove_back_end(&id, revision, source, now);
            }
            Decoded::Daemon(daemon) => {
                if !self.is_first_reading() {
                    tracing::info!(
                        daemon = %daemon.name,
                        zone = %daemon.zone,
                        address = %daemon.peer_address,
                        "daemon_joined"
                    );
                }
                self.daemons_missing_keys.remove(&daemon.name);
                self.daemons.insert(Arc::clone(&daemon.name), daemon);
                self.daemons_changed = true;
            }
            Decoded::DaemonRemoved(name) if self.is_of_earlier_era(item) => {
                // The key was lost when the store was restored; the daemon writes it again.
                tracing::info!(daemon = %name, %revision, "daemon_key_missing");
                self.daemons_missing_keys.insert(name, now);
            }
            Decoded::DaemonRemoved(name) => self.remove_daemon(&name),
            Decoded::Leader(leader) => {
                let fence = revision.as_token();
                tracing::info!(%leader, %revision, fence, source = source.as_str(), "leader");
                self.record_leader(leader);
            }
            Decoded::LeaderRemoved => {
                tracing::info!(%revision, source = source.as_str(), "leader_gone");
                self.leader = None;
            }
            Decoded::Versions(history) => self.versions.apply(history, revision),
            Decoded::VersionsRemoved => self.versions.apply_removal(),
            Decoded::QuarantineFiled(_) | Decoded::QuarantineRemoved(_) | Decoded::Other => {}
        }
    }

    /// Version of the configuration in force; 0 if there is none.
    pub(super) fn configuration_version(&self) -> u64 {
        let in_force = self.in_force.as_ref();
        in_force.map_or(0, |in_force| in_force.configuration.version)
    }

    /// Whether a newer configuration is in force.
    fn has_newer_configuration(&self, version: u64) -> bool {
        let in_force = self.in_force.as_ref();
        in_force.is_some_and(|in_force| in_force.configuration.version > version)
    }

    /// Whether the known item of the same key belongs to an earlier era. In that case the item may
    /// show an old state from the backup rather than a change.
    fn is_of_earlier_era(&self, item: &Item) -> bool {
        let known = self.items.get(&item.key);
        known.is_some_and(|known| known.revision.era() < item.revision.era())
    }

    fn record_leader(&mut self, leader: Arc<str>) {
        self.recent_leaders.retain(|known| *known != leader);
        if self.recent_leaders.len() == MAX_RECENT_LEADERS {
            self.recent_leaders.pop_front();
        }
        self.recent_leaders.push_back(Arc::clone(&leader));
        self.leader = Some(leader);
    }

    /// Whether the store holds the key of the given daemon, as far as this daemon knows.
    pub(super) fn has_key_of(&self, daemon: &str) -> bool {
        self.daemons.contains_key(daemon) && !self.daemons_missing_keys.contains_key(daemon)
    }

    fn remove_daemon(&mut self, name: &str) {
        tracing::info!(daemon = name, "daemon_left");
        self.daemons_missing_keys.remove(name);
        self.daemons.remove(name);
        self.daemons_changed = true;
    }

    pub(super) fn expire_removals(&mut self, now: Instant) {
        for back_end in self.directory.expire_removals(now) {
            tracing::info!(back_end = %back_end.id, "restored_back_end_is_alive");
            Arc::make_mut(&mut self.index).insert(&back_end);
        }
    }

    /// Removes daemons that have not written their keys again within the grace period after the
    /// store was restored without them.
    pub(super) fn remove_missing_daemons(&mut self, now: Instant) {
        let departed: Vec<Arc<str>> = self
            .daemons_missing_keys
            .iter()
            .filter(|(_name, since)| now.saturating_duration_since(**since) > MISSING_KEY_GRACE)
            .map(|(name, _since)| Arc::clone(name))
            .collect();
        for name in departed {
            self.remove_daemon(&name);
        }
    }

    /// Puts a configuration into force if it is newer than the current one. Returns whether it is.
    pub(super) fn apply_configuration(
        &mut self,
        configuration: Configuration,
        revision: Revision,
        source: UpdateSource,
        now: Instant,
    ) -> bool {
        let known = self.configuration_version();
        if configuration.version <= known {
            return false;
        }
        let tenants = configuration.tenants.as_deref().map(TenantTable::new);
        let ambiguous_keys = tenants.as_ref().map_or(0, TenantTable::ambiguous_keys);
        tracing::info!(
            version = configuration.version,
            before = known,
            %revision,
            routes = configuration.routes.len(),
            tenants = configuration.tenants.as_ref().map(Vec::len),
            ambiguous_keys,
            source = source.as_str(),
            "configuration_in_force"
        );
        let routes = RouteTable::new(&configuration);
        self.in_force = Some(Arc::new(ConfigurationInForce {
            configuration,
            routes,
            tenants,
            revision,
            since: now,
        }));
        true
    }

    /// The cold start of a back end. The remaining time counts from now, because entries are
    /// written about once per heartbeat.
    fn cold_start(
        &mut self,
        back_end: &BackEnd,
        warmth: WarmupState,
        revision: Revision,
        now: Instant,
    ) -> Option<ColdStart> {
        let known = self.directory.get(&back_end.id);
        match warmth {
            WarmupState::Warm => None,
            WarmupState::ColdFor(remaining) => {
                let before = known.and_then(|known| known.cold_start);
                Some(ColdStart::observe(remaining, before, now))
            }
            WarmupState::InvalidTime => {
                if known.is_none() {
                    self.unusable_cold_times += 1;
                    tracing::warn!(
                        back_end = %back_end.id,
                        %revision,
                        problem = "no time, negative or too long: taken as warm",
                        "cold_time_unusable"
                    );
                }
                None
            }
        }
    }

    fn apply_back_end(
        &mut self,
        back_end: BackEnd,
        item: &Item,
        source: UpdateSource,
        now: Instant,
    ) {
        let revision = item.revision;
        let known = self.directory.get(&back_end.id);
        let changed = known.map_or(!self.is_first_reading(), |known| {
            known.lifecycle != back_end.lifecycle
                || known.stage != back_end.stage
                || known.incarnation != back_end.incarnation
        });
        if changed {
            tracing::info!(
                back_end = %back_end.id,
                incarnation = back_end.incarnation.0,
                service = %back_end.service,
                address = %back_end.address,
                zone = %back_end.zone,
                ready = back_end.lifecycle == Lifecycle::Ready,
                stage = back_end.stage.map(Stage::as_str),
                %revision,
                source = source.as_str(),
                "back_end_changed"
            );
        }
        if changed && !self.has_service(&back_end.service) {
            tracing::warn!(
                back_end = %back_end.id,
                service = %back_end.service,
                %revision,
                problem = "its service is not in the configuration",
                source = source.as_str(),
                "back_end_unusable"
            );
        }
        let id = Arc::clone(&back_end.id);
        match self.directory.put(back_end, revision, now) {
            PutOutcome::Applied => {
                self.retained.remove(&item.key);
                if let Some(known) = self.directory.get(&id) {
                    Arc::make_mut(&mut self.index).insert(known);
                }
            }
            PutOutcome::Superseded => self.retain_known(item, now),
            PutOutcome::Stale => {}
        }
    }

    /// Whether the configuration in force has the service. Before the first configuration, every
    /// service may be one of its services.
    pub(super) fn has_service(&self, service: &str) -> bool {
        self.in_force
            .as_ref()
            .is_none_or(|in_force| in_force.configuration.service(service).is_some())
    }

    /// Number of back-end entries that cannot be decoded or name a service that the configuration
    /// does not have.
    pub(super) fn unusable_entries(&self) -> usize {
        let present = self.directory.present();
        let of_unknown_services = present.filter(|back_end| !self.has_service(&back_end.service));
        self.unreadable_entries.len() + of_unknown_services.count()
    }

    /// Applies an entry that cannot be decoded. It names no back end to use, so the back end that
    /// it replaces gets no new requests until a readable entry is written.
    pub(super) fn take_out_of_use(
        &mut self,
        id: &Arc<str>,
        problem: &str,
        item: &Item,
        source: UpdateSource,
        now: Instant,
    ) {
        let was_used = self.directory.get(id).is_some();
        tracing::warn!(
            back_end = %id,
            revision = %item.revision,
            problem,
            was_used,
            source = source.as_str(),
            "back_end_unusable"
        );
        self.unreadable_entries.insert(Arc::clone(id));
        if !self.is_of_earlier_era(item) {
            self.retained.remove(&item.key);
        }
        if self.directory.take_out_of_use(id, item.revision, now) {
            Arc::make_mut(&mut self.index).remove(id);
        }
    }

    /// Updates what is known of the store's outages. If it shows that the store was in reach all the
    /// time, the removals that were in doubt are confirmed.
    pub(super) fn update_store_doubt(
        &mut self,
        now: Instant,
        update: impl FnOnce(&mut StoreDoubt),
    ) {
        let was_in_doubt = self.store_doubt.entry_may_return_until(now).is_some();
        update(&mut self.store_doubt);
        let is_in_doubt = self.store_doubt.entry_may_return_until(now).is_some();
        if was_in_doubt && !is_in_doubt {
            let back_ends = self.directory.confirm_removals();
            tracing::info!(back_ends, "removals_confirmed");
        }
    }

    fn remove_back_end(
        &mut self,
        id: &str,
        revision: Revision,
        source: UpdateSource,
        now: Instant,
    ) {
        let may_return_until = self.store_doubt.entry_may_return_until(now);
        let ms_ago = |failure: Option<Instant>| {
            failure.map(|failed_at| now.saturating_duration_since(failed_at).as_millis())
        };
        tracing::info!(
            back_end = id,
            %revision,
            in_doubt = may_return_until.is_some(),
            own_failure_ms_ago = ms_ago(self.store_doubt.last_failure()),
            peers_failure_ms_ago = ms_ago(self.store_doubt.peers_last_failure()),
            source = source.as_str(),
            "back_end_gone"
        );
        if self.directory.remove(id, revision, now, may_return_until) {
            Arc::make_mut(&mut self.index).remove(id);
        }
    }
}
