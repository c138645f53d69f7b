//! Actor for the controller of one cell: campaigns for the controller lease and, while it holds the
//! lease, reconciles the engines of the cell.

mod calls;
mod engines;
mod planning;
mod term;
mod wanted;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::authority::{
    AuthorityAction, AuthorityEvent, AuthoritySettings, CallNumber, ControllerElection, StoreAnswer,
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
use crate::fleet::FleetReceiver;
use crate::peer::PeerIdentity;
use crate::peer::view::MembersView;
use crate::settings::Settings;
use term::ControllerTerm;

/// Number of daemons that are ranked as controller candidates of each cell.
pub(crate) const CANDIDATES_PER_CELL: usize = 5;
/// Lower bound of the limit on engines of a cell that may be unavailable at the same time, so that
/// small cells can still be changed.
const MIN_UNAVAILABLE_LIMIT: usize = 1;

/// Dependencies shared by the controllers of all cells.
#[derive(Clone)]
pub(crate) struct ControllerDependencies {
    pub(crate) runtime: Runtime,
    pub(crate) settings: Settings,
    pub(crate) identity: PeerIdentity,
    pub(crate) store: Arc<dyn KeyValueStore>,
    pub(crate) control: ControlClient,
    pub(crate) load: LoadClient,
    pub(crate) peers: Address<PeerActor>,
    pub(crate) members: watch::Receiver<Arc<MembersView>>,
    pub(crate) fleet: FleetReceiver,
    pub(crate) configuration: watch::Receiver<Arc<Configuration>>,
    pub(crate) decisions: DecisionLog,
}

/// The controller of one cell, or a candidate for it.
pub(crate) struct ControllerActor {
    cell: CellName,
    deps: ControllerDependencies,
    holder: ControllerElection,
    term: Option<ControllerTerm>,
    /// Current authority, read by calls in progress right before they send. Its end is on this
    /// daemon's clock.
    authority: watch::Sender<Option<Authority>>,
    /// Address of this actor, set when it starts.
    own: Option<WeakAddress<Self>>,
    /// Token of the last controller reported dead, and the time from which the same report is
    /// handled again.
    last_death_hint: (FencingToken, Timestamp),
}

/// Authority to send calls under `token` until `until`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Authority {
    pub(crate) token: FencingToken,
    pub(crate) until: Timestamp,
}

impl ControllerActor {
    pub(crate) fn new(cell: CellName, deps: ControllerDependencies) -> Self {
        let authority_settings = AuthoritySettings {
            time_to_live: deps.settings.control.lease_time,
            keep_alive_period: deps.settings.control.lease_time / 4,
            key_read_period: deps.settings.control.lease_time,
            clock_margin: deps.settings.control.lease_time / 20,
            ..AuthoritySettings::default()
        };
        let holder = ControllerElection::new(
            authority_settings,
            cell.clone(),
            deps.identity.machine,
            deps.identity.incarnation,
            deps.runtime.seed,
        );
        Self {
            cell,
            deps,
            holder,
            term: None,
            authority: watch::Sender::new(None),
            own: None,
            last_death_hint: (FencingToken(0), Timestamp::ZERO),
        }
    }

    fn now(&self) -> Timestamp {
        self.deps.runtime.clock.now()
    }

    fn authority_event(&mut self, event: AuthorityEvent) {
        let now = self.now();
        for action in self.holder.handle(now, event) {
            self.execute_action(now, action);
        }
        self.publish_authority(now);
    }

    /// Publishes the current authority, which calls in progress check right before they send.
    fn publish_authority(&self, now: Timestamp) {
        let order_time = self.deps.settings.control.order_time_limit;
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

    fn execute_action(&mut self, now: Timestamp, action: AuthorityAction) {
        match action {
            AuthorityAction::Call { number, call } => self.call_store(number, call),
            AuthorityAction::BecameController { token } => self.start_term(now, token),
            AuthorityAction::LostAuthority { token } => {
                tracing::warn!(cell = %self.cell, %token, "authority over the cell ended");
                self.term = None;
            }
            AuthorityAction::ControllerSeen(holder) => {
                let controller = KnownController {
                    machine: holder.machine,
                    token: holder.token,
                };
                self.announce(controller);
            }
            AuthorityAction::Record(record) => self.deps.decisions.keep(record),
        }
    }

    fn announce(&self, controller: KnownController) {
        let cell = self.cell.clone();
        tell(&self.deps.peers, ControllerKnown { cell, controller });
    }

    fn start_term(&mut self, now: Timestamp, token: FencingToken) {
        tracing::info!(cell = %self.cell, %token, "this daemon is the cell's controller");
        let engines = self.cell_engines().len();
        let percent = usize::from(self.deps.settings.control.engines_away_percent);
        let orders = OrdersSettings {
            maximum_unavailable: (engines * percent / 100).max(MIN_UNAVAILABLE_LIMIT),
            read_period: self.deps.settings.control.reconcile_interval,
            ..OrdersSettings::default()
        };
        self.term = Some(ControllerTerm::new(
            now,
            token,
            orders,
            &self.deps.settings.planner,
        ));
        self.announce(KnownController {
            machine: self.deps.identity.machine,
            token,
        });
    }

    fn cell_engines(&self) -> Vec<Machine> {
        engines_of(&self.deps.fleet.borrow(), &self.cell)
    }
}

/// Returns the engines of a cell.
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

/// Periodic tick.
pub(crate) struct ControllerTick;

/// Result of a key-value store call.
pub(crate) struct StoreAnswered {
    pub(crate) number: CallNumber,
    pub(crate) answer: StoreAnswer,
}

/// Result of an engine call, successful or not.
pub(crate) struct EngineAnswered {
    pub(crate) token: FencingToken,
    pub(crate) event: OrdersEvent,
}

/// Load of the engines of the cell, read for the role planner.
pub(crate) struct LoadRead {
    pub(crate) token: FencingToken,
    pub(crate) readings: BTreeMap<MachineId, ponddrift_engine::load::LoadSample>,
}

/// Input from a peer daemon.
pub(crate) struct PeerInput(pub(crate) ControllerInput);

/// Sets the rank of this daemon among the controller candidates; `None` when it is not a candidate.
pub(crate) struct SetCandidateRank(pub(crate) Option<u32>);

/// Membership considers the controller with this token dead.
pub(crate) struct ControllerDied(pub(crate) FencingToken);

/// The process was suspended and has resumed.
pub(crate) struct ProcessResumed;

/// Gives up the lease because this daemon is shutting down.
pub(crate) struct StepDown;

impl Handler<ControllerTick> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _message: ControllerTick, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::Tick);
        self.tick_term();
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
            .term
            .as_ref()
            .is_some_and(|term| term.token == message.token)
        {
            self.orders_event(message.event);
        }
    }
}

impl Handler<LoadRead> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: LoadRead, _context: &mut Context<Self>) {
        let now = self.now();
        if let Some(term) = self
            .term
            .as_mut()
            .filter(|term| term.token == message.token)
        {
            term.apply_load_readings(now, message.readings);
        }
    }
}

impl Handler<PeerInput> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: PeerInput, _context: &mut Context<Self>) {
        self.peer_input(message.0);
    }
}

impl Handler<SetCandidateRank> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: SetCandidateRank, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::RankChanged(message.0));
    }
}

impl Handler<ControllerDied> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, message: ControllerDied, _context: &mut Context<Self>) {
        let now = self.now();
        let is_new_token = self.last_death_hint.0 != message.0;
        if is_new_token || now >= self.last_death_hint.1 {
            self.last_death_hint = (message.0, now + self.deps.settings.control.lease_time / 2);
            self.authority_event(AuthorityEvent::KeyRemoved);
        }
    }
}

impl Handler<ProcessResumed> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _message: ProcessResumed, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::WokeAfterFreeze);
    }
}

impl Handler<StepDown> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _message: StepDown, _context: &mut Context<Self>) {
        self.authority_event(AuthorityEvent::StepDown);
    }
}

/// Interval between two controller ticks.
pub(crate) const CONTROLLER_TICK_PERIOD: Duration = Duration::from_millis(100);
