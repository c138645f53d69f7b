//! This daemon's view of the fleet and how updates change it. Each change that matters is logged.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::{Configuration, Stage};
use ponddrift_fleet::directory::{
    BackEnd, ColdStart, Directory, Lifecycle, PutOutcome, WarmupState,
};
use ponddrift_fleet::rate_limits::Members;
use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::routes::RouteTable;
use ponddrift_fleet::tenants::TenantTable;
use ponddrift_fleet::topology::{Member, Topology};

use super::retained::Retained;
use super::{InForce, Source, daemon_identity};
use crate::back_end_index::BackEndIndex;
use crate::follow::MISSING_KEY_GRACE;
use crate::store::{Decoded, Item};

/// For this long after a failed call to the store, an entry that vanishes may have lapsed because the store was away.
const DOUBT_AFTER_FAILURE: Duration = Duration::from_secs(5);

/// Daemons that led before and are still known: within the windows of usage that are reported hardly more lead.
const LEADERS_REMEMBERED: usize = 4;

/// How far a first reading of everything has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PartlyRead {
    /// Every key up to this one has been read.
    pub(super) up_to: String,
    /// Revision up to which those keys show every change.
    pub(super) at: Revision,
}

#[derive(Default)]
pub(super) struct FleetView {
    pub(super) in_force: Option<Arc<InForce>>,
    pub(super) directory: Directory,
    /// Shared with whoever reads a message just now; copied only if it changes in that moment.
    pub(super) index: Arc<BackEndIndex>,
    pub(super) daemons: HashMap<Arc<str>, Member>,
    pub(super) topology: Arc<Topology>,
    /// The daemons, for sharing out what back ends take from all together.
    pub(super) members: Arc<Members>,
    /// Daemons have come or gone since the topology was worked out.
    daemons_changed: bool,
    pub(super) leader: Option<Arc<str>>,
    /// The last daemons that led, the newest last.
    pub(super) recent_leaders: VecDeque<Arc<str>>,
    /// Raw items by key, as they are handed on to peers page by page.
    pub(super) items: BTreeMap<String, Item>,
    /// What was known before the store came back from an older copy, where that shows less: it stays in force until it is written
    /// again.
    pub(super) retained: BTreeMap<String, Retained>,
    /// Daemons whose keys the store lacks since it came back, and since when.
    missing_daemons: HashMap<Arc<str>, Instant>,
    /// A first reading of everything that is under way; none before its first page, or once everything is known.
    pub(super) partly_read: Option<PartlyRead>,
    pub(super) newest: Revision,
    /// Everything up to this revision is known; none before the first reading.
    pub(super) position: Option<Revision>,
    /// Removals are known from this revision on.
    pub(super) removals_since: Revision,
    /// Back ends whose entries held no usable time of their slow start.
    pub(super) unusable_cold_times: u64,
    pub(super) last_store_failure: Option<Instant>,
    pub(super) store_reached: bool,
}

impl FleetView {
    /// Nothing known yet but this daemon.
    pub(super) fn of(own: &Member) -> Self {
        Self {
            topology: Arc::new(Topology::of(own, &[])),
            directory: Directory::for_daemon(Arc::clone(&own.zone), daemon_identity(&own.name)),
            ..Self::default()
        }
    }

    /// Works out the daemon's place among its peers anew, where they are others than before.
    pub(super) fn place_where_daemons_changed(&mut self, own: &Member) {
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

    /// Whether nothing has been known for long enough that an entry could be a change. A start writes one line for everything
    /// that it reads: a line for each entry took a quarter of a second of a small machine before 10,000 back ends.
    fn is_first_reading(&self) -> bool {
        self.position.is_none()
    }

    pub(super) fn is_in_doubt(&self, now: Instant) -> bool {
        self.last_store_failure
            .is_some_and(|last| now.saturating_duration_since(last) < DOUBT_AFTER_FAILURE)
    }

    /// Applies what an item means that is newer than what is known of its key.
    pub(super) fn apply(&mut self, decoded: Decoded, item: &Item, source: Source, now: Instant) {
        let revision = item.revision;
        match decoded {
            Decoded::Configuration(configuration) => {
                if self.knows_newer_than(configuration.version) {
                    self.retain_known(item, now);
                } else {
                    self.retained.remove(&item.key);
                }
                self.apply_configuration(*configuration, revision, source, now);
            }
            Decoded::ConfigurationGone => self.retain_known(item, now),
            Decoded::BackEnd(mut back_end, warmth) => {
                back_end.cold_start = self.cold_start(&back_end, warmth, revision, now);
                self.apply_back_end(back_end, item, source, now);
            }
            Decoded::BackEndGone(id) => {
                if !self.is_of_era_before(item) {
                    self.retained.remove(&item.key);
                }
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
                self.missing_daemons.remove(&daemon.name);
                self.daemons.insert(Arc::clone(&daemon.name), daemon);
                self.daemons_changed = true;
            }
            Decoded::DaemonGone(name) if self.is_of_era_before(item) => {
                // Its key went with the store's return; the daemon itself writes it again.
                tracing::info!(daemon = %name, %revision, "daemon_key_missing");
                self.missing_daemons.insert(name, now);
            }
            Decoded::DaemonGone(name) => self.remove_daemon(&name),
            Decoded::Leader(leader) => {
                let fence = revision.as_token();
                tracing::info!(%leader, %revision, fence, source = source.as_str(), "leader");
                self.note_leader(leader);
            }
            Decoded::LeaderGone => {
                tracing::info!(%revision, source = source.as_str(), "leader_gone");
                self.leader = None;
            }
            Decoded::Quarantined(_) | Decoded::Released(_) | Decoded::Other => {}
        }
    }

    /// Whether a newer configuration is in force.
    fn knows_newer_than(&self, version: u64) -> bool {
        let in_force = self.in_force.as_ref();
        in_force.is_some_and(|in_force| in_force.configuration.version > version)
    }

    /// Whether what is known of an item's key is of an era before the item's: the item may be no news, but what the store held when
    /// its copy was made.
    fn is_of_era_before(&self, item: &Item) -> bool {
        let known = self.items.get(&item.key);
        known.is_some_and(|known| known.revision.era() < item.revision.era())
    }

    fn note_leader(&mut self, leader: Arc<str>) {
        self.recent_leaders.retain(|known| *known != leader);
        if self.recent_leaders.len() == LEADERS_REMEMBERED {
            self.recent_leaders.pop_front();
        }
        self.recent_leaders.push_back(Arc::clone(&leader));
        self.leader = Some(leader);
    }

    /// Whether the store holds the key of this daemon, as far as is known.
    pub(super) fn has_key_of(&self, daemon: &str) -> bool {
        self.daemons.contains_key(daemon) && !self.missing_daemons.contains_key(daemon)
    }

    fn remove_daemon(&mut self, name: &str) {
        tracing::info!(daemon = name, "daemon_left");
        self.missing_daemons.remove(name);
        self.daemons.remove(name);
        self.daemons_changed = true;
    }

    pub(super) fn expire_removals(&mut self, now: Instant) {
        for back_end in self.directory.expire_removals(now) {
            tracing::info!(back_end = %back_end.id, "back_end_shown_by_copy_lives");
            Arc::make_mut(&mut self.index).insert(&back_end);
        }
    }

    /// Removes daemons that have not written their keys again after the store came back without them.
    pub(super) fn remove_departed(&mut self, now: Instant) {
        let departed: Vec<Arc<str>> = self
            .missing_daemons
            .iter()
            .filter(|(_name, since)| now.saturating_duration_since(**since) > MISSING_KEY_GRACE)
            .map(|(name, _since)| Arc::clone(name))
            .collect();
        for name in departed {
            self.remove_daemon(&name);
        }
    }

    /// Returns whether it is newer than the one in force.
    pub(super) fn apply_configuration(
        &mut self,
        configuration: Configuration,
        revision: Revision,
        source: Source,
        now: Instant,
    ) -> bool {
        let known = self
            .in_force
            .as_ref()
            .map_or(0, |in_force| in_force.configuration.version);
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
        self.in_force = Some(Arc::new(InForce {
            configuration,
            routes,
            tenants,
            revision,
            since: now,
        }));
        true
    }

    /// The slow start of a back end, counted from now: entries are written about once a heartbeat.
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
            WarmupState::ColdFor(left) => {
                let before = known.and_then(|known| known.cold_start);
                Some(ColdStart::observe(left, before, now))
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

    fn apply_back_end(&mut self, back_end: BackEnd, item: &Item, source: Source, now: Instant) {
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

    fn remove_back_end(&mut self, id: &str, revision: Revision, source: Source, now: Instant) {
        let in_doubt = self.is_in_doubt(now);
        tracing::info!(
            back_end = id,
            %revision,
            in_doubt,
            source = source.as_str(),
            "back_end_gone"
        );
        if self.directory.remove(id, revision, now, in_doubt) {
            Arc::make_mut(&mut self.index).remove(id);
        }
    }
}
