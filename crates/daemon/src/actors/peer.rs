//! Actor for the communication between daemons: membership, drain marks, engine facts and engine
//! load.

pub(crate) mod answers;
mod cells;
mod demand;
mod drains;
mod gossip;
pub(crate) mod operators;
pub(crate) mod receive;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::claims::ShardMap;
use ponddrift_core::drain::{DrainMark, DrainTable, DrainVersion, ViewLeases};
use ponddrift_core::engine_facts::FactsTable;
use ponddrift_core::load::{LoadDigest, LoadTable, LoadTableSettings};
use ponddrift_core::membership::{Membership, MembershipAction, MembershipEvent, Readiness};
use ponddrift_core::roles::LevelDemand;
use ponddrift_core::{CellName, FencingToken, MachineId, ModelName, Revision, Timestamp};
use ponddrift_protocol::Part;
use ponddrift_runtime::watch;
use ponddrift_runtime::{Datagram as DatagramSocket, Runtime};
use tokio::sync::mpsc;
use xtra::{Address, Context, Handler};

use crate::actors::claims::ClaimsActor;
use crate::actors::configuration::ConfigurationActor;
use crate::actors::routing::RoutingActor;
use crate::back_ends::BackEndDirectory;
use crate::fleet::FleetReceiver;
use crate::metrics::Metrics;
use crate::peer::client::PeerClient;
use crate::peer::outbox::{Outbox, Outgoing};
use crate::peer::view::MembersView;
use crate::peer::{PeerIdentity, socket};
use crate::polling::EngineObservation;

pub(crate) use answers::{AllFacts, AllMarks};

/// Interval between two ticks of the peer actor.
pub(crate) const PEER_TICK_PERIOD: Duration = Duration::from_millis(100);
/// Minimum interval between two published member views if only member facts changed.
const FACTS_PUBLISH_PERIOD: Duration = Duration::from_secs(1);

/// The last known controller of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownController {
    pub(crate) machine: MachineId,
    pub(crate) token: FencingToken,
}

/// Input that a controller on this daemon receives from peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ControllerInput {
    /// A daemon acknowledged a drain mark.
    Acknowledged {
        daemon: MachineId,
        incarnation: ponddrift_core::Incarnation,
        ack: ponddrift_core::drain::DrainAck,
    },
    /// Demand that a daemon observed.
    Demand(Vec<ponddrift_core::demand::ModelDemand>),
    /// A daemon requests the drain marks of the cell.
    ViewRequested {
        daemon: MachineId,
        incarnation: ponddrift_core::Incarnation,
        from: std::net::SocketAddr,
        number: u64,
    },
}

/// Dependencies of the peer actor.
pub(crate) struct PeerDependencies {
    pub(crate) socket: Arc<dyn DatagramSocket>,
    pub(crate) identity: PeerIdentity,
    pub(crate) client: PeerClient,
    pub(crate) routing: Address<RoutingActor>,
    pub(crate) configuration: Address<ConfigurationActor>,
    pub(crate) claims: Address<ClaimsActor>,
    pub(crate) shard_map: watch::Receiver<Arc<ShardMap>>,
    pub(crate) members: watch::Sender<Arc<MembersView>>,
    pub(crate) controllers: watch::Sender<BTreeMap<CellName, KnownController>>,
    pub(crate) controller_inputs: mpsc::UnboundedSender<(CellName, ControllerInput)>,
    pub(crate) fleet: FleetReceiver,
    /// Start time of the last successful read of the machine list.
    pub(crate) machine_list_confirmed_at: watch::Receiver<Timestamp>,
    pub(crate) metrics: Arc<Metrics>,
    /// True while this daemon has caught up with its peers, so that routing may begin.
    pub(crate) caught_up: watch::Sender<bool>,
    /// Time at which the process last resumed after being suspended.
    pub(crate) resumed: watch::Sender<Timestamp>,
}

/// Holds the state that daemons exchange by gossip.
pub(crate) struct PeerActor {
    runtime: Runtime,
    deps: PeerDependencies,
    membership: Membership,
    drains: DrainTable,
    views: ViewLeases,
    facts: FactsTable,
    load: LoadTable,
    /// Last load digest that this daemon made for each engine it polled.
    own_digests: BTreeMap<MachineId, LoadDigest>,
    directory: BackEndDirectory,
    cells: cells::CellMap,
    /// Whether members or machines changed since the cell subscribers were last computed.
    subscriptions_are_stale: bool,
    next_subscription: Timestamp,
    /// Drain marks that are not acknowledged yet because requests may still be in flight.
    unacknowledged: BTreeMap<MachineId, DrainVersion>,
    outbox: Outbox,
    configuration: Revision,
    /// Time at which the member view was last published.
    published_at: Timestamp,
    /// Whether member facts changed since the last published view.
    has_new_facts: bool,
    /// Whether members changed since the last published view.
    has_new_members: bool,
    next_gossip: Timestamp,
    next_digest_exchange: Timestamp,
    has_pulled_facts: bool,
    must_catch_up: bool,
    catching_up_since: Option<Timestamp>,
    /// Pulls sent before this time do not count as catching up: their answers may lack marks made
    /// while the process was suspended.
    trusted_pulls_since: Timestamp,
    /// Revision of the machine list whose drain marks were applied.
    applied_list_revision: u64,
    next_catch_up: Timestamp,
    /// Address of this actor, set when it starts.
    own: Option<xtra::WeakAddress<Self>>,
}

impl PeerActor {
    pub(crate) fn new(runtime: &Runtime, deps: PeerDependencies, membership: Membership) -> Self {
        let directory = BackEndDirectory::new(deps.routing.clone());
        Self {
            runtime: runtime.clone(),
            membership,
            drains: DrainTable::default(),
            views: ViewLeases::new(ponddrift_core::drain::ViewLeaseSettings::default()),
            facts: FactsTable::default(),
            load: LoadTable::new(LoadTableSettings::default()),
            own_digests: BTreeMap::new(),
            directory,
            cells: cells::CellMap::default(),
            subscriptions_are_stale: true,
            next_subscription: Timestamp::ZERO,
            unacknowledged: BTreeMap::new(),
            outbox: Outbox::default(),
            configuration: Revision(0),
            published_at: Timestamp::ZERO,
            has_new_facts: false,
            has_new_members: false,
            next_gossip: Timestamp::ZERO,
            next_digest_exchange: Timestamp::ZERO,
            has_pulled_facts: false,
            must_catch_up: true,
            catching_up_since: None,
            trusted_pulls_since: Timestamp::ZERO,
            applied_list_revision: 0,
            next_catch_up: Timestamp::ZERO,
            own: None,
            deps,
        }
    }

    fn now(&self) -> Timestamp {
        self.runtime.clock.now()
    }

    fn member_event(&mut self, event: MembershipEvent) {
        let now = self.now();
        let actions = self.membership.handle(now, event);
        let mut is_changed = false;
        for action in actions {
            is_changed |= self.execute_action(now, action);
        }
        if is_changed {
            self.subscriptions_are_stale = true;
            self.has_new_members = true;
        }
    }

    /// Executes a membership action. Returns whether the members changed.
    fn execute_action(&mut self, now: Timestamp, action: MembershipAction) -> bool {
        match action {
            MembershipAction::Send { address, message } => {
                self.outbox.add(address, Part::Membership(message));
                false
            }
            MembershipAction::MemberChanged(record) => {
                tracing::info!(
                    member = %record.machine, incarnation = %record.life.incarnation,
                    state = record.state.as_str(), "member changed"
                );
                self.record_peer_revision(
                    record.machine,
                    record.life.incarnation,
                    record.facts.configuration,
                );
                true
            }
            MembershipAction::FactsChanged { member, facts } => {
                if let Some(incarnation) = self.incarnation_of(member) {
                    self.record_peer_revision(member, incarnation, facts.configuration);
                }
                self.has_new_facts = true;
                false
            }
            MembershipAction::Refuted(life) => {
                tracing::info!(refutation = life.refutation, "suspicion refuted");
                false
            }
            MembershipAction::Superseded(newer) => {
                tracing::error!(
                    newer_incarnation = %newer,
                    "another process uses this machine id; stop one of them"
                );
                false
            }
            MembershipAction::WokeAfterFreeze(gap) => {
                self.resumed(now, gap);
                true
            }
        }
    }

    /// Handles the resume after a suspension: nothing known from before is trusted until a peer or
    /// controller has answered.
    fn resumed(&mut self, now: Timestamp, gap: Duration) {
        tracing::warn!(frozen_ms = gap.as_millis(), "this process was suspended");
        self.views.invalidate_after_freeze(now);
        self.must_catch_up = true;
        self.trusted_pulls_since = now;
        self.next_catch_up = now;
        self.deps.caught_up.send_replace(false);
        self.deps.resumed.send_replace(now);
    }

    /// Publishes the member view if the contact state changed, or if facts changed and the last
    /// view is old enough. The rate is limited because building a view copies all members. Member
    /// changes are published in `flush`.
    fn publish_if_changed(&mut self) {
        let now = self.now();
        let contact = self.membership.contact(now);
        let has_new_contact = contact != self.deps.members.borrow().contact;
        let is_due = self.has_new_facts && now.since(self.published_at) >= FACTS_PUBLISH_PERIOD;
        if has_new_contact || is_due {
            self.publish_members();
        }
    }

    pub(super) fn publish_members(&mut self) {
        let now = self.now();
        self.published_at = now;
        self.has_new_facts = false;
        self.has_new_members = false;
        let live: Vec<_> = self.membership.live().into_iter().cloned().collect();
        self.deps
            .metrics
            .live_daemons
            .set(i64::try_from(live.len()).unwrap_or(i64::MAX));
        let gone = self
            .membership
            .others()
            .filter(|record| !record.state.is_live());
        let view = MembersView {
            gone: gone.cloned().collect(),
            own: self.deps.identity.machine,
            live,
            contact: self.membership.contact(now),
        };
        self.deps.members.send_replace(Arc::new(view));
    }

    /// Called at the end of each message handler: publishes member changes and sends the queued
    /// datagrams.
    async fn flush(&mut self) {
        if self.has_new_members {
            self.publish_members();
        }
        let outgoing: Vec<Outgoing> = self.outbox.pack(self.deps.identity);
        socket::send_all(self.deps.socket.as_ref(), &self.deps.metrics, outgoing).await;
    }
}

impl xtra::Actor for PeerActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &xtra::Mailbox<Self>) -> Result<(), ()> {
        self.own = Some(mailbox.address());
        self.publish_members();
        Ok(())
    }

    async fn stopped(self) {}
}

/// Periodic tick.
pub(crate) struct Tick;

/// Results of polling engines.
pub(crate) struct Polled(pub(crate) Vec<EngineObservation>);

/// A new machine list has been read.
pub(crate) struct MachineListUpdated;

/// This daemon has activated another configuration revision.
pub(crate) struct ConfigurationAdopted(pub(crate) Revision);

/// Changes the readiness that this daemon announces.
pub(crate) struct SetReadiness(pub(crate) Readiness);

/// Announces that this daemon leaves because of a graceful shutdown.
pub(crate) struct LeaveMembership;

/// Drain marks set by a controller on this daemon.
pub(crate) struct ControllerMarks(pub(crate) Vec<DrainMark>);

/// Sends a part from a controller on this daemon to a peer, for example the answer to a view
/// request.
pub(crate) struct ControllerAnswer {
    pub(crate) target: std::net::SocketAddr,
    pub(crate) part: Part,
}

/// Reports the controller of a cell.
pub(crate) struct ControllerKnown {
    pub(crate) cell: CellName,
    pub(crate) controller: KnownController,
}

/// Demand observed by this daemon, by model.
pub(crate) struct ReportDemand(pub(crate) BTreeMap<ModelName, Vec<LevelDemand>>);

/// Asks these peers for their active configuration revision.
pub(crate) struct RequestPeerRevisions(pub(crate) Vec<MachineId>);

impl Handler<Tick> for PeerActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, _context: &mut Context<Self>) {
        self.member_event(MembershipEvent::Tick);
        self.tick_drains().await;
        self.tick_gossip();
        self.publish_if_changed();
        if self.subscriptions_are_stale && self.now() >= self.next_subscription {
            self.update_subscriptions();
        }
        self.flush().await;
    }
}

impl Handler<Polled> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: Polled, _context: &mut Context<Self>) {
        let observations = message.0.into_iter();
        let digests = observations
            .map(|observation| self.record_observation(observation))
            .collect();
        self.send_digests_to_subscribers(digests);
        self.refresh_directory();
        self.flush().await;
    }
}

impl Handler<MachineListUpdated> for PeerActor {
    type Return = ();

    async fn handle(&mut self, _message: MachineListUpdated, _context: &mut Context<Self>) {
        self.apply_machine_list();
        self.flush().await;
    }
}

impl Handler<ConfigurationAdopted> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ConfigurationAdopted, _context: &mut Context<Self>) {
        self.configuration = message.0;
        self.member_event(MembershipEvent::ConfigurationInForce(message.0));
        self.announce_configuration();
        self.flush().await;
    }
}

impl Handler<SetReadiness> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: SetReadiness, _context: &mut Context<Self>) {
        self.member_event(MembershipEvent::ReadinessChanged(message.0));
        self.publish_members();
        self.flush().await;
    }
}

impl Handler<LeaveMembership> for PeerActor {
    type Return = ();

    async fn handle(&mut self, _message: LeaveMembership, _context: &mut Context<Self>) {
        self.member_event(MembershipEvent::Leave);
        self.publish_members();
        self.flush().await;
    }
}

impl Handler<ControllerMarks> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ControllerMarks, _context: &mut Context<Self>) {
        for mark in message.0 {
            self.apply_mark(mark);
        }
        self.gossip_now();
        self.flush().await;
    }
}

impl Handler<ControllerAnswer> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ControllerAnswer, _context: &mut Context<Self>) {
        self.outbox.add(message.target, message.part);
        self.flush().await;
    }
}

impl Handler<ControllerKnown> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ControllerKnown, _context: &mut Context<Self>) {
        self.learn_controller(message.cell, message.controller);
        self.flush().await;
    }
}

impl Handler<ReportDemand> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ReportDemand, _context: &mut Context<Self>) {
        self.report_demand(&message.0);
        self.flush().await;
    }
}

impl Handler<RequestPeerRevisions> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: RequestPeerRevisions, _context: &mut Context<Self>) {
        for machine in message.0 {
            if let Some(record) = self.membership.member(machine) {
                let target = record.peer_address;
                self.outbox.add(target, Part::ConfigurationQuery);
            }
        }
        self.flush().await;
    }
}
