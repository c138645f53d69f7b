//! Keeps a controller, or candidate, for each cell that this daemon is ranked for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::machine::{MachineKind, MachineList};
use ponddrift_core::membership::assignment::{controller_candidates, rank_of};
use ponddrift_core::{CellName, Timestamp, ZoneName};
use ponddrift_runtime::watch;
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;
use xtra::Address;

use crate::actors::controller::{
    CANDIDATES_PER_CELL, CONTROLLER_TICK_PERIOD, ControllerActor, ControllerDependencies,
    ControllerDied, ControllerTick, PeerInput, ProcessResumed, SetCandidateRank, StepDown,
};
use crate::actors::peer::{ControllerInput, KnownController};
use crate::actors::{ask, start, tell};
use crate::peer::view::MembersView;

/// Time between two rankings of the candidates.
const RANKING_PERIOD: Duration = Duration::from_secs(1);

/// What a supervisor listens to.
pub(super) struct ControllerEvents {
    pub(super) inputs: mpsc::UnboundedReceiver<(CellName, ControllerInput)>,
    pub(super) resumed: watch::Receiver<Timestamp>,
    pub(super) stop: mpsc::Receiver<oneshot::Sender<()>>,
}

/// Starts controllers, ticks them, and hands them what peers say.
pub(super) struct ControllerSupervisor {
    deps: ControllerDependencies,
    controllers: BTreeMap<CellName, Address<ControllerActor>>,
    known: watch::Receiver<BTreeMap<CellName, KnownController>>,
    next_ranking: Timestamp,
    is_stopping: bool,
}

impl ControllerSupervisor {
    pub(super) fn new(
        deps: ControllerDependencies,
        known: watch::Receiver<BTreeMap<CellName, KnownController>>,
    ) -> Self {
        Self {
            deps,
            known,
            controllers: BTreeMap::new(),
            next_ranking: Timestamp::ZERO,
            is_stopping: false,
        }
    }

    /// Runs until the daemon ends.
    pub(super) async fn run(mut self, mut events: ControllerEvents) {
        let mut ticker = tokio::time::interval(CONTROLLER_TICK_PERIOD);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                Ok(()) = events.resumed.changed() => self.tell_all(|| ProcessResumed),
                Some(stopped) = events.stop.recv() => self.step_down(stopped).await,
                Some((cell, input)) = events.inputs.recv() => {
                    if let Some(controller) = self.controllers.get(&cell) {
                        tell(controller, PeerInput(input));
                    }
                }
                _ = ticker.tick() => self.tick().await,
            }
        }
    }

    fn tell_all<M>(&self, message: impl Fn() -> M)
    where
        M: Send + 'static,
        ControllerActor: xtra::Handler<M>,
    {
        for controller in self.controllers.values() {
            tell(controller, message());
        }
    }

    /// Gives every lease back, so that another daemon can take over at once.
    async fn step_down(&mut self, stopped: oneshot::Sender<()>) {
        self.is_stopping = true;
        for controller in self.controllers.values() {
            // A controller that has stopped holds nothing.
            let _told = ask(controller, StepDown).await;
        }
        // Whoever waits may have given up.
        let _gone = stopped.send(());
    }

    async fn tick(&mut self) {
        let now = self.deps.runtime.clock.now();
        if now >= self.next_ranking && !self.is_stopping {
            self.next_ranking = now + RANKING_PERIOD;
            self.rank();
        }
        for controller in self.controllers.values() {
            let _ticked = ask(controller, ControllerTick).await;
        }
    }

    fn rank(&mut self) {
        let list = Arc::clone(&self.deps.fleet.borrow());
        let view = Arc::clone(&self.deps.members.borrow());
        for (cell, zones) in cells(&list) {
            let rank = rank(&view, &cell, &zones);
            if rank.is_none() && !self.controllers.contains_key(&cell) {
                continue;
            }
            let deps = &self.deps;
            let controller = self
                .controllers
                .entry(cell.clone())
                .or_insert_with(|| start(&deps.runtime, ControllerActor::new(cell, deps.clone())));
            tell(controller, SetCandidateRank(rank));
        }
        self.notice_dead_controllers(&view);
    }

    /// A controller that died leaves its key behind until its lease ends: the candidates look soon.
    fn notice_dead_controllers(&self, view: &MembersView) {
        for (cell, known) in self.known.borrow().iter() {
            let is_gone = view
                .gone
                .iter()
                .any(|record| record.machine == known.machine);
            if let Some(controller) = self.controllers.get(cell).filter(|_| is_gone) {
                tell(controller, ControllerDied(known.token));
            }
        }
    }
}

/// Cells of a machine list with the zones of their engines.
fn cells(list: &MachineList) -> BTreeMap<CellName, Vec<ZoneName>> {
    let mut cells: BTreeMap<CellName, Vec<ZoneName>> = BTreeMap::new();
    for machine in &list.machines {
        let MachineKind::Engine { cell } = &machine.kind else {
            continue;
        };
        let zones = cells.entry(cell.clone()).or_default();
        if !zones.contains(&machine.zone) {
            zones.push(machine.zone.clone());
        }
    }
    cells
}

fn rank(view: &MembersView, cell: &CellName, zones: &[ZoneName]) -> Option<u32> {
    let live = view.live_records();
    let candidates = controller_candidates(cell, zones, &live, CANDIDATES_PER_CELL);
    let rank = rank_of(view.own, &candidates)?;
    u32::try_from(rank).ok()
}
