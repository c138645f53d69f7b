//! Subscriptions to the engine load of cells: the daemons in the zones of a cell and a few remote
//! ones subscribe to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use ponddrift_core::load::AgedDigest;
use ponddrift_core::machine::{MachineKind, MachineList};
use ponddrift_core::membership::assignment::cell_subscribers;
use ponddrift_core::{CellName, MachineId, ZoneName};
use ponddrift_protocol::Part;

use super::PeerActor;

/// Number of daemons in other zones that subscribe to the load of a cell.
const REMOTE_SUBSCRIBERS: usize = 8;
/// Minimum interval between two computations of the subscriptions.
const SUBSCRIPTION_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of load digests in one part; an encoded digest takes 28 bytes.
const DIGESTS_PER_PART: usize = 40;

/// Cells and engines of the machine list.
#[derive(Debug, Default)]
pub(super) struct CellMap {
    zones: BTreeMap<CellName, Vec<ZoneName>>,
    cell_of: BTreeMap<MachineId, CellName>,
    /// Addresses of the other daemons that subscribe to the load of a cell.
    subscribers: BTreeMap<CellName, Vec<SocketAddr>>,
}

impl CellMap {
    pub(super) fn new(list: &MachineList) -> Self {
        let mut map = Self::default();
        for machine in &list.machines {
            let MachineKind::Engine { cell } = &machine.kind else {
                continue;
            };
            map.cell_of.insert(machine.id, cell.clone());
            let zones = map.zones.entry(cell.clone()).or_default();
            if !zones.contains(&machine.zone) {
                zones.push(machine.zone.clone());
            }
        }
        map
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &CellName> {
        self.zones.keys()
    }

    pub(super) fn has(&self, engine: MachineId) -> bool {
        self.cell_of.contains_key(&engine)
    }

    pub(super) fn cell_of(&self, engine: MachineId) -> Option<&CellName> {
        self.cell_of.get(&engine)
    }
}

impl PeerActor {
    /// Recomputes the subscribers of each cell, after members or machines changed.
    pub(super) fn update_subscriptions(&mut self) {
        let now = self.now();
        self.subscriptions_are_stale = false;
        self.next_subscription = now + SUBSCRIPTION_PERIOD;
        let own = self.deps.identity.machine;
        let live = self.membership.live();
        let mut subscribed_cells = BTreeSet::new();
        let mut subscribers_by_cell = BTreeMap::new();
        for (cell, zones) in &self.cells.zones {
            let subscribers = cell_subscribers(cell, zones, &live, REMOTE_SUBSCRIBERS);
            let others = subscribers.iter().filter(|record| record.machine != own);
            let others: Vec<SocketAddr> = others.map(|record| record.peer_address).collect();
            if others.len() < subscribers.len() {
                subscribed_cells.insert(cell.clone());
            }
            subscribers_by_cell.insert(cell.clone(), others);
        }
        let engines = self.cells.cell_of.iter();
        self.load.subscribe(
            engines
                .filter(|(_engine, cell)| subscribed_cells.contains(*cell))
                .map(|(engine, _cell)| *engine),
        );
        self.views
            .set_nearby_cells(now, |cell| subscribed_cells.contains(cell));
        self.cells.subscribers = subscribers_by_cell;
    }

    /// Sends newly polled load digests to all subscribers of the cell of each engine. They are sent
    /// directly rather than by gossip, so that each subscriber receives a digest only once.
    pub(super) fn send_digests_to_subscribers(&mut self, digests: Vec<AgedDigest>) {
        let mut by_cell: BTreeMap<CellName, Vec<AgedDigest>> = BTreeMap::new();
        for digest in digests {
            if let Some(cell) = self.cells.cell_of(digest.digest.engine) {
                by_cell.entry(cell.clone()).or_default().push(digest);
            }
        }
        for (cell, digests) in by_cell {
            let Some(targets) = self.cells.subscribers.get(&cell) else {
                continue;
            };
            for chunk in digests.chunks(DIGESTS_PER_PART) {
                for target in targets {
                    self.outbox.add(*target, Part::Load(chunk.to_vec()));
                }
            }
        }
    }
}
