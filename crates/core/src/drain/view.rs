//! Limits how long a daemon may route with its view of a cell.
//!
//! A daemon requests the drain marks from the cell's controller periodically. The daemon counts the
//! validity of a view from *before* the request was sent, and the controller counts it from its
//! answer. Therefore a view always expires at the daemon before the controller assumes that it has.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::Contact;
use crate::{CellName, FencingToken, MachineId, Timestamp};

/// Time settings of [`ViewLeases`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewLeaseSettings {
    /// Validity of a view, counted from before its request was sent.
    pub validity: Duration,
    /// Interval between requests for a nearby cell.
    pub renew_period: Duration,
    /// Interval between requests for a cell that is not nearby. Between requests the daemon relies
    /// on gossiped marks, which it must acknowledge; the request identifies the current controller.
    pub remote_renew_period: Duration,
}

impl Default for ViewLeaseSettings {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(6),
            renew_period: Duration::from_secs(2),
            remote_renew_period: Duration::from_secs(30),
        }
    }
}

/// Request for a cell's drain marks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewRequest {
    /// Cell whose marks are requested.
    pub cell: CellName,
    /// Request number, which the answer repeats.
    pub number: u64,
}

/// Recipient of a daemon's requests for a cell's marks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// The controller known to the daemon.
    Controller(MachineId),
    /// The daemon itself and some peers. A daemon that was frozen past its lease may still consider
    /// itself the controller. If it asked only itself, it would not learn of its successor, and the
    /// successor would not receive its acknowledgements.
    Peers,
}

impl ViewSource {
    /// Selects the recipient for the daemon `own`, given the controller that it knows, if any.
    #[must_use]
    pub fn new(controller: Option<MachineId>, own: MachineId) -> Self {
        match controller {
            Some(controller) if controller != own => Self::Controller(controller),
            _ => Self::Peers,
        }
    }
}

/// Whether a daemon may route with its view of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewStatus {
    /// The controller answered recently: the daemon may route to every back end that is not
    /// drained.
    Valid,
    /// The controller does not answer, but the daemon is not isolated from its peers: it is not
    /// considered dead, and no change can start without its acknowledgement. It may route to every
    /// back end that is not drained.
    Unconfirmed,
    /// The daemon may be considered dead and a back end may be changing: it must not route to the
    /// cell.
    Unusable,
}

#[derive(Debug, Clone, Default)]
struct View {
    token: FencingToken,
    valid_until: Option<Timestamp>,
    pending_request: Option<(u64, Timestamp)>,
    next_request: Timestamp,
    is_remote: bool,
}

/// View leases for the cells that a daemon routes to.
#[derive(Debug, Clone)]
pub struct ViewLeases {
    settings: ViewLeaseSettings,
    cells: BTreeMap<CellName, View>,
    request_count: u64,
    must_catch_up: bool,
}

impl ViewLeases {
    /// Creates leases without cells. Until [`ViewLeases::caught_up`] is called, only views
    /// confirmed by a controller are usable.
    #[must_use]
    pub const fn new(settings: ViewLeaseSettings) -> Self {
        Self {
            settings,
            cells: BTreeMap::new(),
            request_count: 0,
            must_catch_up: true,
        }
    }

    /// Starts requesting views of `cell`.
    pub fn subscribe(&mut self, cell: CellName) {
        self.cells.entry(cell).or_default();
    }

    /// Sets which cells are nearby. Views of other cells are renewed less often.
    pub fn set_nearby_cells(&mut self, now: Timestamp, is_nearby: impl Fn(&CellName) -> bool) {
        for (cell, view) in &mut self.cells {
            let was_remote = std::mem::replace(&mut view.is_remote, !is_nearby(cell));
            if was_remote && !view.is_remote {
                view.next_request = now;
            }
        }
    }

    /// Requests a cell's view at the next tick, because an unknown controller is active.
    pub fn request_soon(&mut self, now: Timestamp, cell: &CellName) {
        if let Some(view) = self.cells.get_mut(cell) {
            view.next_request = now;
        }
    }

    /// The cells that the daemon routes to.
    pub fn cells(&self) -> impl Iterator<Item = &CellName> {
        self.cells.keys()
    }

    /// Returns the requests that are due.
    ///
    /// A daemon that was isolated must synchronize its marks with a peer before it relies on them
    /// again, because drains may have completed without its acknowledgement.
    pub fn tick(&mut self, now: Timestamp, contact: Contact) -> Vec<ViewRequest> {
        if contact == Contact::Isolated {
            self.must_catch_up = true;
        }
        let mut due = Vec::new();
        for (cell, view) in &mut self.cells {
            if now < view.next_request {
                continue;
            }
            self.request_count += 1;
            let period = if view.is_remote {
                self.settings.remote_renew_period
            } else {
                self.settings.renew_period
            };
            view.next_request = now + period;
            view.pending_request = Some((self.request_count, now));
            due.push(ViewRequest {
                cell: cell.clone(),
                number: self.request_count,
            });
        }
        due
    }

    /// Renews a view from a controller's answer. Call only after its marks were applied to the
    /// drain table.
    ///
    /// Returns false and changes nothing unless the answer belongs to the last request and its
    /// token is not older than one seen before.
    pub fn accept_answer(&mut self, cell: &CellName, number: u64, token: FencingToken) -> bool {
        let Some(view) = self.cells.get_mut(cell) else {
            return false;
        };
        let Some((pending_request, sent)) = view.pending_request else {
            return false;
        };
        if pending_request != number || token < view.token {
            return false;
        }
        view.pending_request = None;
        view.token = token;
        view.valid_until = Some(sent + self.settings.validity);
        true
    }

    /// Invalidates all views and outstanding requests after the process was frozen. Answers to
    /// earlier requests are not accepted.
    pub fn invalidate_after_freeze(&mut self, now: Timestamp) {
        self.must_catch_up = true;
        for view in self.cells.values_mut() {
            view.valid_until = None;
            view.pending_request = None;
            view.next_request = now;
        }
    }

    /// Records that the marks were synchronized with a peer that answered after the last start,
    /// freeze or isolation.
    pub const fn caught_up(&mut self) {
        self.must_catch_up = false;
    }

    /// Whether the daemon may route with its view of a cell.
    #[must_use]
    pub fn status(&self, cell: &CellName, now: Timestamp, contact: Contact) -> ViewStatus {
        let valid_until = self.cells.get(cell).and_then(|view| view.valid_until);
        if valid_until.is_some_and(|end| now < end) {
            return ViewStatus::Valid;
        }
        match contact {
            Contact::Alone | Contact::InContact if !self.must_catch_up => ViewStatus::Unconfirmed,
            Contact::Alone | Contact::InContact | Contact::Isolated => ViewStatus::Unusable,
        }
    }
}
