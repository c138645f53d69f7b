//! Shell of what daemons tell one another: membership, drain marks, facts and load of engines.

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
use crate::fleet::MachineListReceiver;
use crate::metrics::Metrics;
use crate::peer::client::PeerClient;
use crate::peer::outbox::{Outbox, OutgoingDatagram};
use crate::peer::view::MembersView;
use crate::peer::{PeerIdentity, socket};
use crate::polling::EngineObservation;

pub(crate) use answers::{AllFacts, AllMarks};

/// Time between two ticks.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Shortest time between two views of the members of which only facts differ.
const FACTS_PUBLISH_PERIOD: Duration = Duration::from_secs(1);

/// A cell's controller, as far as this daemon has heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownController {
    pub(crate) machine: MachineId,
    pub(crate) token: FencingToken,
}

/// What a controller on this daemon is told by peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ControllerInput {
    /// A daemon acknowledged a drain.
    Acknowledged {
        daemon: MachineId,
        incarnation: ponddrift_core::Incarnation,
        ack: ponddrift_core::drain::DrainAck,
    },
    /// What arrived at a daemon.
    Demand(Vec<ponddrift_core::demand::ModelDemand>),
    /// A daemon asks for a view of the cell.
    ViewRequested {
        daemon: MachineId,
        incarnation: ponddrift_core::Incarnation,
        from: std::net::SocketAddr,
        number: u64,
    },
}

/// Where the peer actor sends what other parts of the daemon need.
pub(crate) struct PeerLinks {
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
    pub(crate) fleet: MachineListReceiver,
    /// When the last reading of the machine list that succeeded began.
    pub(crate) list_confirmed: watch::Receiver<Timestamp>,
    pub(crate) metrics: Arc<Metrics>,
    /// Turns true once routing may begin.
    pub(crate) caught_up: watch::Sender<bool>,
    /// Told how long the process was frozen, when it wakes.
    pub(crate) woke: watch::Sender<Timestamp>,
}

/// Holds everything that is gossiped.
pub(crate) struct PeerActor {
    runtime: Runtime,
    links: PeerLinks,
    membership: Membership,
    drains: DrainTable,
    views: ViewLeases,
    facts: FactsTable,
    load: LoadTable,
    /// The last digest that this daemon made of each engine it polled.
    given: BTreeMap<MachineId, LoadDigest>,
    directory: BackEndDirectory,
    cells: cells::CellMap,
    /// Whether members changed since the cells were last shared out.
    subscriptions_are_stale: bool,
    next_subscription: Timestamp,
    /// Drains that routing has not come to rest for yet.
    unacknowledged: BTreeMap<MachineId, DrainVersion>,
    outbox: Outbox,
    configuration: Revision,
    /// When the members' view was last published.
    published: Timestamp,
    /// Whether facts of members changed since.
    has_new_facts: bool,
    /// Whether members changed since.
    has_new_members: bool,
    next_gossip: Timestamp,
    next_comparison: Timestamp,
    pulled_facts: bool,
    must_catch_up: bool,
    catching_up_since: Option<Timestamp>,
    /// Answers to what was asked earlier say nothing of the marks that were made meanwhile.
    trust_answers_from: Timestamp,
    /// Revision of the machine list whose marks were taken.
    list_taken: u64,
    next_catch_up: Timestamp,
    own: Option<xtra::WeakAddress<Self>>,
}

impl PeerActor {
    pub(crate) fn new(runtime: &Runtime, links: PeerLinks, membership: Membership) -> Self {
        let directory = BackEndDirectory::new(links.routing.clone());
        Self {
            runtime: runtime.clone(),
            membership,
            drains: DrainTable::default(),
            views: ViewLeases::new(ponddrift_core::drain::ViewLeaseSettings::default()),
            facts: FactsTable::default(),
            load: LoadTable::new(LoadTableSettings::default()),
            given: BTreeMap::new(),
            directory,
            cells: cells::CellMap::default(),
            subscriptions_are_stale: true,
            next_subscription: Timestamp::ZERO,
            unacknowledged: BTreeMap::new(),
            outbox: Outbox::default(),
            configuration: Revision(0),
            published: Timestamp::ZERO,
            has_new_facts: false,
            has_new_members: false,
            next_gossip: Timestamp::ZERO,
            next_comparison: Timestamp::ZERO,
            pulled_facts: false,
            must_catch_up: true,
            catching_up_since: None,
            trust_answers_from: Timestamp::ZERO,
            list_taken: 0,
            next_catch_up: Timestamp::ZERO,
            own: None,
            links,
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
            is_changed |= self.carry_out(now, action);
        }
        if is_changed {
            self.subscriptions_are_stale = true;
            self.has_new_members = true;
        }
    }

    /// Carries an action out. Returns whether the view of the members changed.
    fn carry_out(&mut self, now: Timestamp, action: MembershipAction) -> bool {
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
                self.note_configuration(
                    record.machine,
                    record.life.incarnation,
                    record.facts.configuration,
                );
                true
            }
            MembershipAction::FactsChanged { member, facts } => {
                if let Some(incarnation) = self.incarnation_of(member) {
                    self.note_configuration(member, incarnation, facts.configuration);
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
                    "another process runs under this machine's number: stop one of them"
                );
                false
            }
            MembershipAction::WokeAfterFreeze(gap) => {
                self.woke(now, gap);
                true
            }
        }
    }

    /// Nothing that was known before the freeze is trusted until a peer or controller has answered.
    fn woke(&mut self, now: Timestamp, gap: Duration) {
        tracing::warn!(frozen_ms = gap.as_millis(), "this process was frozen");
        self.views.woke_after_freeze(now);
        self.must_catch_up = true;
        self.trust_answers_from = now;
        self.next_catch_up = now;
        self.links.caught_up.send_replace(false);
        self.links.woke.send_replace(now);
    }

    /// Publishes the view when contact changed, or facts did and the last view is old enough: a view of 370
    /// daemons is not made at every tick. Changes of members are published at the end of each turn.
    fn publish_if_changed(&mut self) {
        let now = self.now();
        let contact = self.membership.contact(now);
        let has_new_contact = contact != self.links.members.borrow().contact;
        let is_due = self.has_new_facts && now.since(self.published) >= FACTS_PUBLISH_PERIOD;
        if has_new_contact || is_due {
            self.publish_members();
        }
    }

    pub(super) fn publish_members(&mut self) {
        let now = self.now();
        self.published = now;
        self.has_new_facts = false;
        self.has_new_members = false;
        let live: Vec<_> = self.membership.live().into_iter().cloned().collect();
        self.links
            .metrics
            .live_daemons
            .set(i64::try_from(live.len()).unwrap_or(i64::MAX));
        let gone = self
            .membership
            .others()
            .filter(|record| !record.state.is_live());
        let view = MembersView {
            gone: gone.cloned().collect(),
            own: self.links.identity.machine,
            live,
            contact: self.membership.contact(now),
        };
        self.links.members.send_replace(Arc::new(view));
    }

    /// Ends a turn: publishes the members if any changed in it, and sends what was collected.
    async fn flush(&mut self) {
        if self.has_new_members {
            self.publish_members();
        }
        let outgoing: Vec<OutgoingDatagram> = self.outbox.pack(self.links.identity);
        socket::send_all(self.links.socket.as_ref(), &self.links.metrics, outgoing).await;
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

/// Time passed.
pub(crate) struct Tick;

/// This daemon polled engines.
pub(crate) struct Polled(pub(crate) Vec<EngineObservation>);

/// The machine list was read.
pub(crate) struct FleetRead;

/// Another configuration is in force here.
pub(crate) struct ConfigurationAdopted(pub(crate) Revision);

/// This daemon is ready, or leaving.
pub(crate) struct SetReadiness(pub(crate) Readiness);

/// This daemon stops by plan.
pub(crate) struct LeavePeers;

/// The controller on this daemon marked back ends.
pub(crate) struct ControllerMarks(pub(crate) Vec<DrainMark>);

/// The controller on this daemon answers a view request, or has just taken over a cell.
pub(crate) struct ControllerAnswer {
    pub(crate) target: std::net::SocketAddr,
    pub(crate) part: Part,
}

/// A controller is known for a cell.
pub(crate) struct ControllerKnown {
    pub(crate) cell: CellName,
    pub(crate) controller: KnownController,
}

/// What arrived at this daemon, by model.
pub(crate) struct ReportDemand(pub(crate) BTreeMap<ModelName, Vec<LevelDemand>>);

/// Asks peers that are not known to have a revision in force.
pub(crate) struct AskInForce(pub(crate) Vec<MachineId>);

impl Handler<Tick> for PeerActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, _context: &mut Context<Self>) {
        self.member_event(MembershipEvent::Tick);
        self.tick_drains().await;
        self.tick_gossip();
        self.publish_if_changed();
        if self.subscriptions_are_stale && self.now() >= self.next_subscription {
            self.subscribe_to_cells();
        }
        self.flush().await;
    }
}

impl Handler<Polled> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: Polled, _context: &mut Context<Self>) {
        let observations = message.0.into_iter();
        let digests = observations
            .map(|observation| self.observed(observation))
            .collect();
        self.tell_subscribers(digests);
        self.refresh_directory();
        self.flush().await;
    }
}

impl Handler<FleetRead> for PeerActor {
    type Return = ();

    async fn handle(&mut self, _message: FleetRead, _context: &mut Context<Self>) {
        self.read_fleet();
        self.flush().await;
    }
}

impl Handler<ConfigurationAdopted> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ConfigurationAdopted, _context: &mut Context<Self>) {
        self.configuration = message.0;
        self.member_event(MembershipEvent::ConfigurationInForce(message.0));
        self.spread_configuration();
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

impl Handler<LeavePeers> for PeerActor {
    type Return = ();

    async fn handle(&mut self, _message: LeavePeers, _context: &mut Context<Self>) {
        self.member_event(MembershipEvent::Leave);
        self.publish_members();
        self.flush().await;
    }
}

impl Handler<ControllerMarks> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ControllerMarks, _context: &mut Context<Self>) {
        for mark in message.0 {
            self.take_mark(mark);
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

impl Handler<AskInForce> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: AskInForce, _context: &mut Context<Self>) {
        for machine in message.0 {
            if let Some(record) = self.membership.member(machine) {
                let target = record.peer_address;
                self.outbox.add(target, Part::ConfigurationQuery);
            }
        }
        self.flush().await;
    }
}
