//! Applies drain marks: routing to the back end stops, and once no request is in flight the drain
//! is acknowledged to the controller. Also renews the views that routing depends on.

use std::time::Duration;

use ponddrift_core::drain::{DrainAction, DrainMark, DrainVersion, ViewSource, ViewStatus};
use ponddrift_core::machine::{Machine, MachineKind, MachineList};
use ponddrift_core::membership::{Contact, MembershipEvent, Seed};
use ponddrift_core::routing::RoutingEvent;
use ponddrift_core::{CellName, MachineId, Timestamp};
use ponddrift_protocol::{Part, Request};

use super::cells::CellMap;
use super::{KnownController, PeerActor};
use crate::actors::routing::{ExtendViewValidity, IsIdle, Observe};
use crate::actors::{ask, tell};

/// How long routing may continue after the last tick of this actor. This must stay short: a process
/// that resumes after a suspension must not route on an old view.
const VIEW_VALIDITY_AFTER_TICK: Duration = Duration::from_millis(1_000);
/// How long a machine list can replace the drain marks of peers, counted from the start of the
/// read.
const MACHINE_LIST_VALIDITY: Duration = Duration::from_millis(2_500);
/// Interval between two pulls while catching up; each pull opens a connection to a peer.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);
/// Number of peers that are told of a new controller.
const CONTROLLER_FANOUT: usize = 4;
/// Time after which a daemon that finds no peers assumes that it is the only daemon.
const SINGLE_DAEMON_TIMEOUT: Duration = Duration::from_secs(3);

impl PeerActor {
    pub(super) fn apply_machine_list(&mut self) {
        let now = self.now();
        let list = self.deps.fleet.borrow().clone();
        let own = self.deps.identity.machine;
        self.member_event(MembershipEvent::SeedsRead(seeds(&list, own)));
        self.cells = CellMap::new(&list);
        let cells = &self.cells;
        self.own_digests
            .retain(|engine, _digest| cells.has(*engine));
        for cell in self.cells.names() {
            self.views.subscribe(cell.clone());
        }
        self.update_subscriptions();
        for action in self.drains.apply_machine_list(now, &list) {
            self.execute_drain_action(action);
        }
        self.applied_list_revision = list.revision;
        self.mark_directory_stale();
        self.refresh_directory();
        self.publish_view_validity();
    }

    pub(super) fn apply_mark(&mut self, mark: DrainMark) {
        let now = self.now();
        if let Some(action) = self.drains.apply_mark(now, mark) {
            self.execute_drain_action(action);
        }
    }

    fn execute_drain_action(&mut self, action: DrainAction) {
        match action {
            DrainAction::StopRouting { back_end, version } => {
                self.request_view_for_unknown_controller(back_end, version);
                self.set_draining(back_end, true);
                self.unacknowledged.insert(back_end, version);
            }
            DrainAction::ResumeRouting { back_end } => {
                self.unacknowledged.remove(&back_end);
                self.set_draining(back_end, false);
            }
        }
    }

    /// Requests the view of the cell if the mark comes from an unknown controller: the answer names
    /// the controller, which needs the acknowledgement.
    fn request_view_for_unknown_controller(&mut self, back_end: MachineId, version: DrainVersion) {
        let Some(cell) = self.cell_of(back_end) else {
            return;
        };
        let known = self.deps.controllers.borrow().get(&cell).copied();
        if known.is_none_or(|known| known.token < version.token) {
            let now = self.now();
            self.views.request_soon(now, &cell);
        }
    }

    fn set_draining(&mut self, back_end: MachineId, draining: bool) {
        self.directory.note_draining(back_end, draining);
        tell(
            &self.deps.routing,
            Observe(RoutingEvent::Draining { back_end, draining }),
        );
    }

    pub(super) async fn tick_drains(&mut self) {
        let now = self.now();
        self.catch_up(now);
        self.request_views(now);
        self.publish_view_validity();
        self.acknowledge().await;
    }

    /// Pulls drain marks from a peer after a start, a suspension or an isolation. Until they have
    /// arrived, the local marks are not trusted.
    fn catch_up(&mut self, now: Timestamp) {
        let contact = self.membership.contact(now);
        if contact == Contact::Isolated {
            self.must_catch_up = true;
        }
        if !self.must_catch_up {
            self.catching_up_since = None;
            return;
        }
        let since = *self.catching_up_since.get_or_insert(now);
        if now < self.next_catch_up {
            return;
        }
        self.next_catch_up = now + CATCH_UP_PERIOD;
        let peers = self.membership.random_peers(1);
        if let Some(peer) = peers.first() {
            self.pull(peer.peer_address, Request::PullDrainMarks);
            if !self.has_pulled_facts {
                self.pull(peer.peer_address, Request::PullEngineFacts);
            }
        } else if contact == Contact::Alone && self.time_since(since) >= SINGLE_DAEMON_TIMEOUT {
            self.views.caught_up();
            self.must_catch_up = false;
        }
    }

    fn request_views(&mut self, now: Timestamp) {
        let contact = self.membership.contact(now);
        for request in self.views.tick(now, contact) {
            let controller = self.view_request_address(&request.cell);
            let part = Part::ViewRequest {
                cell: request.cell,
                number: request.number,
            };
            match controller {
                Some(address) => self.outbox.add(address, part),
                None => self.request_view_from_peers(part),
            }
        }
    }

    /// Returns the address of the controller to ask for the view of a cell, or `None` if peers must
    /// be asked instead.
    fn view_request_address(&self, cell: &CellName) -> Option<std::net::SocketAddr> {
        let known = self.deps.controllers.borrow().get(cell).copied();
        let known = known.map(|known| known.machine);
        match ViewSource::new(known, self.deps.identity.machine) {
            ViewSource::Controller(_) => self.controller_address(cell),
            ViewSource::Peers => None,
        }
    }

    /// Sends a view request to random peers and to this daemon itself, which forward it or name the
    /// controller.
    fn request_view_from_peers(&mut self, part: Part) {
        let own_address = self.membership.own().peer_address;
        self.outbox.add(own_address, part.clone());
        for peer in self.membership.random_peers(2) {
            self.outbox.add(peer.peer_address, part.clone());
        }
    }

    /// Tells routing until when the view of each cell is valid, and publishes whether this daemon
    /// has caught up.
    pub(super) fn publish_view_validity(&mut self) {
        let now = self.now();
        let contact = self.membership.contact(now);
        let until = now + VIEW_VALIDITY_AFTER_TICK;
        let cells: Vec<CellName> = self.views.cells().cloned().collect();
        for cell in cells {
            if self.views.status(&cell, now, contact) != ViewStatus::Unusable {
                tell(
                    &self.deps.routing,
                    ExtendViewValidity {
                        cell: Some(cell),
                        until,
                    },
                );
            }
        }
        if let Some(until) = self.plain_view_until(now) {
            tell(&self.deps.routing, ExtendViewValidity { cell: None, until });
        }
        let is_caught_up = !self.must_catch_up && self.deps.fleet.borrow().revision > 0;
        if is_caught_up != *self.deps.caught_up.borrow() {
            self.deps.caught_up.send_replace(is_caught_up);
        }
    }

    /// Returns until when this daemon may route to plain back ends. They have no controller: their
    /// drain marks come from peers or, if no peer can be asked, from a machine list that was read
    /// recently.
    fn plain_view_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = now + VIEW_VALIDITY_AFTER_TICK;
        if !self.must_catch_up {
            return Some(until);
        }
        let is_list_applied = self.deps.fleet.borrow().revision == self.applied_list_revision;
        let confirmed = *self.deps.machine_list_confirmed_at.borrow();
        let confirmed_until = confirmed + MACHINE_LIST_VALIDITY;
        let is_confirmed = confirmed > Timestamp::ZERO && is_list_applied && now < confirmed_until;
        is_confirmed.then(|| until.min(confirmed_until))
    }

    /// Acknowledges drains of back ends that have no request of this daemon in flight.
    async fn acknowledge(&mut self) {
        let waiting: Vec<(MachineId, DrainVersion)> = self
            .unacknowledged
            .iter()
            .map(|(back_end, version)| (*back_end, *version))
            .collect();
        for (back_end, _version) in waiting {
            if !ask(&self.deps.routing, IsIdle(back_end))
                .await
                .unwrap_or(false)
            {
                continue;
            }
            let Some(ack) = self.drains.acknowledge_drain(back_end) else {
                self.unacknowledged.remove(&back_end);
                continue;
            };
            // Repeated at each tick until the mark is released, so a lost datagram is harmless.
            if let Some(address) = self.controller_of(back_end) {
                self.outbox.add(address, Part::DrainAcks(vec![ack]));
            }
        }
    }

    fn controller_of(&self, back_end: MachineId) -> Option<std::net::SocketAddr> {
        self.controller_address(&self.cell_of(back_end)?)
    }

    /// Returns the address of the known controller of a cell, or `None` if it is not live; it will
    /// be replaced.
    pub(super) fn controller_address(&self, cell: &CellName) -> Option<std::net::SocketAddr> {
        let known = self.deps.controllers.borrow().get(cell).copied()?;
        let record = self.membership.member(known.machine)?;
        record.state.is_live().then_some(record.peer_address)
    }

    pub(super) fn cell_of(&self, back_end: MachineId) -> Option<CellName> {
        self.cells.cell_of(back_end).cloned()
    }

    /// Records a controller of a cell. If it is newer than the known one, forwards it to random
    /// peers.
    pub(super) fn learn_controller(&mut self, cell: CellName, learned: KnownController) {
        let is_newer = self.deps.controllers.send_if_modified(|known| {
            let is_newer = known.get(&cell).is_none_or(|old| learned.token > old.token);
            if is_newer {
                known.insert(cell.clone(), learned);
            }
            is_newer
        });
        if !is_newer {
            return;
        }
        let KnownController { machine, token } = learned;
        for peer in self.membership.random_peers(CONTROLLER_FANOUT) {
            let part = Part::Controller {
                cell: cell.clone(),
                controller: machine,
                token,
            };
            self.outbox.add(peer.peer_address, part);
        }
    }
}

/// Membership seeds: the peer addresses of the other daemons in the machine list.
fn seeds(list: &MachineList, own: MachineId) -> Vec<Seed> {
    let is_peer =
        |machine: &&Machine| matches!(machine.kind, MachineKind::Daemon) && machine.id != own;
    let peers = list.machines.iter().filter(is_peer);
    peers
        .map(|machine| Seed {
            machine: machine.id,
            address: machine.address,
        })
        .collect()
}
