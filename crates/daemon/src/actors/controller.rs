//! Shell of a cell's controller: stands for election, and while it holds the lease, reconciles the cell.

mod calls;
mod engines;
mod office;
mod planning;
mod wanted;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::authority::{
    AuthorityAction, AuthorityEvent, AuthoritySettings, CallNumber, LeaseHolder, StoreAnswer,
};
use ponddrift_core::configuration::Configuration;
use ponddrift_core::machine::{Machine, MachineKind, MachineList};
use ponddrift_core::orders::{OrdersEvent, OrdersSettings};
use ponddrift_core::{CellName, FencingToken, MachineId, Timestamp};
use ponddrift_engine::control::ControlClient;
use ponddrift_engine::load::LoadClient;
use ponddrift_platform::KeyValueStore;
use ponddrift_runtime::Runtime;
use ponddrift_runtime::watch;
use xtra::{Address, Context, Handler, WeakAddress};

use crate::actors::peer::{ControllerInput, ControllerKnown, KnownController, PeerActor};
use crate::actors::tell;
use crate::decisions::DecisionLog;
use crate::fleet::MachineListReceiver;
use crate::peer::PeerIdentity;
use crate::peer::view::MembersView;
use crate::settings::Settings;
use office::Office;

/// Daemons that are ranked as candidates of a cell.
pub(crate) const CANDIDATES: usize = 5;
/// Smallest number of engines of a cell that may be away at once.
const LEAST_AWAY: usize = 1;

/// What controllers of all cells share.
#[derive(Clone)]
pub(crate) struct ControllerLinks {
    pub(crate) runtime: Runtime,
    pub(crate) settings: Settings,
    pub(crate) identity: PeerIdentity,
    pub(crate) store: Arc<dyn KeyValueStore>,
    pub(crate) control: ControlClient,
    pub(crate) load: LoadClient,
    pub(crate) peers: Address<PeerActor>,
    pub(crate) members: watch::Receiver<Arc<MembersView>>,
    pub(crate) fleet: MachineListReceiver,
    pub(crate) configuration: watch::Receiver<Arc<Configuration>>,
    pub(crate) decisions: DecisionLog,
}

/// One cell's controller, or candidate for it.
pub(crate) struct ControllerActor {
    cell: CellName,
    links: ControllerLinks,
    holder: LeaseHolder,
    office: Option<Office>,
    /// End of authority, on this daemon's clock, as the calls under way see it.
    authority: watch::Sender<Option<Authority>>,
    own: Option<WeakAddress<Self>>,
    /// The dead controller's token that was hinted at last, and when it may be hinted at again.
    hinted: (FencingToken, Timestamp),
}

/// The token under which calls may be sent until `until`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Authority {
    pub(crate) token: FencingToken,
    pub(crate) until: Timestamp,
}

impl ControllerActor {
    pub(crate) fn new(cell: CellName, links: ControllerLinks) -> Self {
        let authority_settings = AuthoritySettings {
            time_to_live: links.settings.control.lease_time,
            keep_alive_period: links.settings.control.lease_time / 4,
            look_period: links.settings.control.lease_time,
            clock_margin: links.settings.control.lease_time / 20,
            ..AuthoritySettings::default()
        };
        let holder = LeaseHolder::new(
            authority_settings,
            cell.clone(),
            links.identity.machine,
            links.identity.incarnation,
            links.runtime.seed,
        );
        Self {
            cell,
            links,
            holder,
            office: None,
            authority: watch::Sender::new(None),
            own: None,
            hinted: (FencingToken(0), Timestamp::ZERO),
        }
    }

    fn now(&self) -> Timestamp {
        self.links.runtime.clock.now()
    }

    fn authority_event(&mut self, event: AuthorityEvent) {
        let now = self.now();
        for action in self.holder.handle(now, event) {
            self.carry_out(now, action);
        }
        self.publish_authority(now);
    }

    /// Calls under way ask this right before they send.
    fn publish_authority(&self, now: Timestamp) {
        let order_time = self.links.settings.control.order_time_limit;
        let authority = self
            .holder
            .may_order(now, order_time)
            .map(|token| Authority {
                token,
                until: self.holder.authority_ends().unwrap_or(now),
            });
        self.authority
            .send_if_modified(|current| std::mem::replace(current, authority) != authority);
    }

    fn carry_out(&mut self, now: Timestamp, action: AuthorityAction) {
        match action {
            AuthorityAction::Call { number, call } => self.call_store(number, call),
            AuthorityAction::BecameController { token } => self.take_office(now, token),
            AuthorityAction::LostAuthority { token } => {
                tracing::warn!(cell = %self.cell, %token, "authority over the cell ended");
                self.office = None;
            }
            AuthorityAction::ControllerSeen(holder) => {
                let controller = KnownController {
                    machine: holder.machine,
                    token: holder.token,
                };
                self.announce(controller);
            }
            AuthorityAction::Record(record) => self.links.decisions.keep(record),
        }
    }

    fn announce(&self, controller: KnownController) {
        let cell = self.cell.clone();
        tell(&self.links.peers, ControllerKnown { cell, controller });
    }

    fn take_office(&mut self, now: Timestamp, token: FencingToken) {
        tracing::info!(cell = %self.cell, %token, "this daemon is the cell's controller");
        let engines = self.cell_engines().len();
        let share = usize::from(self.links.settings.control.maximum_unavailable_percent);
        let orders = OrdersSettings {
            maximum_away: (engines * share / 100).max(LEAST_AWAY),
            read_period: self.links.settings.control.reconcile_interval,
            ..OrdersSettings::default()
        };
        self.office = Some(Office::new(
            now,
            token,
            orders,
            &self.links.settings.planner,
        ));
        self.announce(KnownController {
            machine: self.links.identity.machine,
            token,
        });
    }

    fn cell_engines(&self) -> Vec<Machine> {
        engines_of(&self.links.fleet.borrow(), &self.cell)
    }
}

/// Engines of a cell.
pub(crate) fn engines_of(list: &MachineList, cell: &CellName) -> Vec<Machine> {
    let is_in_cell = |machine: &&Machine| matches!(&machine.kind, MachineKind::Engine { cell: its_cell } if its_cell == cell);
    list.machines.iter().filter(is_in_cell).cloned().collect()
}

impl xtra::Actor for ControllerActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &xtra::Mailbox<Self>) -> Result<(), ()> {
        self.own = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) {}
}

/// Time passed.
pub(crate) struct ControllerTick;

/// The store answered.
pub(crate) struct StoreAnswered {
    pub(crate) number: CallNumber,
    pub(crate) answer: StoreAnswer,
}

/// An engine answered, or did not.
pub(crate) struct EngineAnswered {
    pub(crate) token: FencingToken,
    pub(crate) event: OrdersEvent,
}

/// The load of the cell's engines was read for the planner.
pub(crate) struct LoadRead {
    pub(crate) token: FencingToken,
    pub(crate) readings: BTreeMap<MachineId, ponddrift_engine::load::LoadSample>,
}

/// A peer told the controller something.
pub(crate) struct PeerInput(pub(crate) ControllerInput);

/// This daemon's place among the candidates of the cell.
pub(crate) struct SetRank(pub(crate) Option<u32>);

/// The controller with this token is dead, as far as membership knows.
pub(crate) struct ControllerDied(pub(crate) FencingToken);

/// The process was frozen.
pub(crate) struct Woke;

/// This daemon stops by plan.
pub(crate) struct StepDown;

impl Handler<ControllerTick> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _message: ControllerTick, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::Tick);
        self.tick_office();
    }
}

impl Handler<StoreAnswered> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: StoreAnswered, _context: &mut Context<Self>) {
        let StoreAnswered { number, answer } = message;
        self.authority_event(AuthorityEvent::Answered { number, answer });
    }
}

impl Handler<EngineAnswered> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: EngineAnswered, _context: &mut Context<Self>) {
        if self
            .office
            .as_ref()
            .is_some_and(|office| office.token == message.token)
        {
            self.orders_event(message.event);
        }
    }
}

impl Handler<LoadRead> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: LoadRead, _context: &mut Context<Self>) {
        let now = self.now();
        if let Some(office) = self
            .office
            .as_mut()
            .filter(|office| office.token == message.token)
        {
            office.take_readings(now, message.readings);
        }
    }
}

impl Handler<PeerInput> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: PeerInput, _context: &mut Context<Self>) {
        self.peer_input(message.0);
    }
}

impl Handler<SetRank> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: SetRank, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::RankChanged(message.0));
    }
}

impl Handler<ControllerDied> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: ControllerDied, _context: &mut Context<Self>) {
        let now = self.now();
        let is_news = self.hinted.0 != message.0;
        if is_news || now >= self.hinted.1 {
            self.hinted = (message.0, now + self.links.settings.control.lease_time / 2);
            self.authority_event(AuthorityEvent::KeyGone);
        }
    }
}

impl Handler<Woke> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _message: Woke, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::WokeAfterFreeze);
    }
}

impl Handler<StepDown> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _message: StepDown, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::StepDown);
    }
}

/// Time between two ticks of a controller.
pub(crate) const CONTROLLER_TICK: Duration = Duration::from_millis(100);
