//! How long a daemon may route on its view of a cell.
//!
//! A daemon asks the cell's controller for the marks every few seconds. The view is valid from the
//! moment *before* the request was sent, so the daemon's view always ends before the controller,
//! which counts from its answer, believes that it has ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::Contact;
use crate::{CellName, FencingToken, MachineId, Timestamp};

/// Times of views.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewLeaseSettings {
    /// How long a view is valid, counted from before the request.
    pub validity: Duration,
    /// Time between two requests.
    pub renew_period: Duration,
    /// Time between two requests for a cell that is not near. Between them the daemon goes by the marks that are
    /// gossiped, which needs its acknowledgement; the request tells it who the controller is.
    pub far_renew_period: Duration,
}

impl Default for ViewLeaseSettings {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(6),
            renew_period: Duration::from_secs(2),
            far_renew_period: Duration::from_secs(30),
        }
    }
}

/// Asks the controller of a cell for its marks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewRequest {
    /// The cell.
    pub cell: CellName,
    /// Number of the request; the answer repeats it.
    pub number: u64,
}

/// Whom a daemon asks for a cell's marks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// The controller that it knows.
    Controller(MachineId),
    /// Itself and some peers. A daemon that was frozen past its lease still takes itself for the controller: asked
    /// alone, it would never hear of its successor, nor would the successor get its acknowledgements.
    Peers,
}

impl ViewSource {
    /// Whom the daemon `own` asks that knows `controller`, if any.
    #[must_use]
    pub fn new(controller: Option<MachineId>, own: MachineId) -> Self {
        match controller {
            Some(controller) if controller != own => Self::Controller(controller),
            _ => Self::Peers,
        }
    }
}

/// How far a daemon's view of a cell is to be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewStatus {
    /// The controller answered lately: route to every back end without a mark.
    Valid,
    /// The controller does not answer, but most peers do: no change can pass this daemon by without
    /// its acknowledgement. Route to every back end without a mark.
    Unconfirmed,
    /// This daemon may be held dead, and a back end may be changing: route nothing to the cell.
    Unusable,
}

#[derive(Debug, Clone, Default)]
struct View {
    token: FencingToken,
    valid_until: Option<Timestamp>,
    asked: Option<(u64, Timestamp)>,
    next_request: Timestamp,
    is_far: bool,
}

/// Views of the cells that a daemon routes to.
#[derive(Debug, Clone)]
pub struct ViewLeases {
    settings: ViewLeaseSettings,
    cells: BTreeMap<CellName, View>,
    requests: u64,
    must_catch_up: bool,
}

impl ViewLeases {
    /// No cell yet. Until [`ViewLeases::caught_up`] nothing is trusted without a controller.
    #[must_use]
    pub const fn new(settings: ViewLeaseSettings) -> Self {
        Self {
            settings,
            cells: BTreeMap::new(),
            requests: 0,
            must_catch_up: true,
        }
    }

    /// The daemon routes to `cell` from now on.
    pub fn subscribe(&mut self, cell: CellName) {
        self.cells.entry(cell).or_default();
    }

    /// Says which cells are near. The views of the others are renewed seldom.
    pub fn set_nearby_cells(&mut self, now: Timestamp, is_near: impl Fn(&CellName) -> bool) {
        for (cell, view) in &mut self.cells {
            let was_far = std::mem::replace(&mut view.is_far, !is_near(cell));
            if was_far && !view.is_far {
                view.next_request = now;
            }
        }
    }

    /// Asks for a cell's view at the next tick: a controller is at work that is not known here.
    pub fn request_soon(&mut self, now: Timestamp, cell: &CellName) {
        if let Some(view) = self.cells.get_mut(cell) {
            view.next_request = now;
        }
    }

    /// The cells that the daemon routes to.
    pub fn cells(&self) -> impl Iterator<Item = &CellName> {
        self.cells.keys()
    }

    /// The requests that are due. A daemon that was cut off from its peers must catch up before it
    /// trusts its marks again: meanwhile it may have been passed by.
    pub fn tick(&mut self, now: Timestamp, contact: Contact) -> Vec<ViewRequest> {
        if contact == Contact::Isolated {
            self.must_catch_up = true;
        }
        let mut due = Vec::new();
        for (cell, view) in &mut self.cells {
            if now < view.next_request {
                continue;
            }
            self.requests += 1;
            let period = if view.is_far {
                self.settings.far_renew_period
            } else {
                self.settings.renew_period
            };
            view.next_request = now + period;
            view.asked = Some((self.requests, now));
            due.push(ViewRequest {
                cell: cell.clone(),
                number: self.requests,
            });
        }
        due
    }

    /// A controller answered; its marks are already in the drain table. Returns whether the answer
    /// counts: it belongs to the last request and its token is not older than one seen before.
    pub fn accept_answer(&mut self, cell: &CellName, number: u64, token: FencingToken) -> bool {
        let Some(view) = self.cells.get_mut(cell) else {
            return false;
        };
        let Some((asked, sent)) = view.asked else {
            return false;
        };
        if asked != number || token < view.token {
            return false;
        }
        view.asked = None;
        view.token = token;
        view.valid_until = Some(sent + self.settings.validity);
        true
    }

    /// The process was frozen: every view is void until a controller answers, and no answer to an
    /// earlier request counts.
    pub fn invalidate_after_freeze(&mut self, now: Timestamp) {
        self.must_catch_up = true;
        for view in self.cells.values_mut() {
            view.valid_until = None;
            view.asked = None;
            view.next_request = now;
        }
    }

    /// The marks were compared with those of a peer that answered after the start or the freeze.
    pub const fn caught_up(&mut self) {
        self.must_catch_up = false;
    }

    /// How far the view of a cell is to be trusted.
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
