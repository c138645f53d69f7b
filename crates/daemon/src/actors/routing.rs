//! Actor for routing and retries. One instance decides for all requests of the daemon.

use std::collections::BTreeMap;
use std::sync::Arc;

use ponddrift_core::retry::{AttemptOutcome, RequestFacts, RetryDecision, RetryPolicy};
use ponddrift_core::routing::{
    BackEndKind, Eligibility, Placement, PlacementPlan, RouteRequest, Router, RoutingEvent,
    RoutingRefusal,
};
use ponddrift_core::{CellName, MachineId, Timestamp};
use ponddrift_runtime::Clock;
use xtra::{Context, Handler, WeakAddress};

use super::tell;

/// Holds the router, the retry policy and the validity of the views.
pub(crate) struct RoutingActor {
    router: Router,
    retries: RetryPolicy,
    clock: Arc<dyn Clock>,
    /// Address of this actor, set when it starts.
    own: Option<WeakAddress<Self>>,
    /// Number of outstanding reservations, by back end.
    reserved: BTreeMap<MachineId, usize>,
    cells: BTreeMap<MachineId, CellName>,
    /// Until when this daemon may route, by cell; the key `None` stands for plain back ends.
    valid_until: BTreeMap<Option<CellName>, Timestamp>,
}

impl RoutingActor {
    pub(crate) fn new(router: Router, retries: RetryPolicy, clock: Arc<dyn Clock>) -> Self {
        Self {
            router,
            retries,
            clock,
            own: None,
            reserved: BTreeMap::new(),
            cells: BTreeMap::new(),
            valid_until: BTreeMap::new(),
        }
    }

    fn is_valid(&self, now: Timestamp, back_end: MachineId) -> bool {
        let cell = self.cells.get(&back_end).cloned();
        self.valid_until
            .get(&cell)
            .is_some_and(|until| now < *until)
    }

    fn choose(&mut self, mut request: RouteRequest) -> Result<ReservedPlacement, PlacementRefusal> {
        let now = self.clock.now();
        let expired = self
            .router
            .back_ends()
            .filter(|id| !self.is_valid(now, *id));
        let expired: Vec<MachineId> = expired.collect();
        let is_any_valid = self.valid_until.values().any(|until| now < *until);
        request.excluded.extend(expired.iter().copied());
        let placement = match self.router.choose(now, &request) {
            Ok(placement) => placement,
            Err(_no_valid_view) if !expired.is_empty() || !is_any_valid => {
                return Err(PlacementRefusal::ViewExpired);
            }
            Err(refusal) => return Err(PlacementRefusal::Routing(refusal)),
        };
        let back_ends = back_ends_of(placement.plan);
        for back_end in &back_ends {
            *self.reserved.entry(*back_end).or_default() += 1;
        }
        let reservation = Reservation {
            routing: self.own.clone(),
            back_ends,
        };
        Ok(ReservedPlacement {
            placement,
            reservation,
        })
    }
}

fn back_ends_of(plan: PlacementPlan) -> Vec<MachineId> {
    match plan {
        PlacementPlan::Single { back_end } => vec![back_end],
        PlacementPlan::Handover { prefill, decode } => vec![prefill, decode],
    }
}

impl xtra::Actor for RoutingActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &xtra::Mailbox<Self>) -> Result<(), ()> {
        self.own = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) {}
}

/// Reason why no placement was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PlacementRefusal {
    /// The router found no usable back end.
    #[error(transparent)]
    Routing(RoutingRefusal),
    /// The view of this daemon is too old for routing: the daemon was isolated or suspended, or has
    /// just started.
    #[error("this daemon is catching up with its peers; send to another daemon or retry shortly")]
    ViewExpired,
}

/// A placement together with its reservation.
pub(crate) struct ReservedPlacement {
    pub(crate) placement: Placement,
    pub(crate) reservation: Reservation,
}

/// Prevents drains of the chosen back ends from being acknowledged until it is dropped.
pub(crate) struct Reservation {
    routing: Option<WeakAddress<RoutingActor>>,
    back_ends: Vec<MachineId>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let routing = self.routing.as_ref().and_then(WeakAddress::try_upgrade);
        if let Some(routing) = routing {
            tell(
                &routing,
                ReleaseReservation(std::mem::take(&mut self.back_ends)),
            );
        }
    }
}

struct ReleaseReservation(Vec<MachineId>);

/// Chooses a placement for a request.
pub(crate) struct ChoosePlacement(pub(crate) RouteRequest);

/// Checks right before sending that the view of the back end is still valid and the back end is not
/// draining. Time may have passed since the placement, for example in a suspension or during the
/// prefill on another engine.
pub(crate) struct IsSendAllowed(pub(crate) MachineId);

/// Returns whether no request of this daemon is reserved for or in flight to a back end.
pub(crate) struct IsIdle(pub(crate) MachineId);

/// Allows routing to a cell (`None`: to plain back ends) until this time.
pub(crate) struct ExtendViewValidity {
    pub(crate) cell: Option<CellName>,
    pub(crate) until: Timestamp,
}

/// Returns the status of each back end, judged by the requests of this daemon.
pub(crate) struct BackEndStatusQuery;

/// Status of a back end, judged by the requests of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BackEndStatus {
    /// Requests of this daemon in flight to the back end.
    pub(crate) running: usize,
    pub(crate) eligibility: Eligibility,
    /// Whether the view of the cell is recent enough for routing.
    pub(crate) is_view_valid: bool,
}

/// Passes an event to the router.
pub(crate) struct Observe(pub(crate) RoutingEvent);

/// Decides whether to retry after a failed attempt.
pub(crate) struct AttemptFailed {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) facts: RequestFacts,
}

/// Records a complete answer, which adds to the retry budget.
pub(crate) struct RequestSucceeded;

impl Handler<ChoosePlacement> for RoutingActor {
    type Return = Result<ReservedPlacement, PlacementRefusal>;

    async fn handle(
        &mut self,
        message: ChoosePlacement,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        self.choose(message.0)
    }
}

impl Handler<ReleaseReservation> for RoutingActor {
    type Return = ();

    async fn handle(&mut self, message: ReleaseReservation, _context: &mut Context<Self>) {
        for back_end in message.0 {
            if let Some(count) = self.reserved.get_mut(&back_end) {
                *count = count.saturating_sub(1);
            }
        }
        self.reserved.retain(|_, count| *count > 0);
    }
}

impl Handler<IsSendAllowed> for RoutingActor {
    type Return = bool;

    async fn handle(&mut self, message: IsSendAllowed, _context: &mut Context<Self>) -> bool {
        self.is_valid(self.clock.now(), message.0) && !self.router.is_draining(message.0)
    }
}

impl Handler<IsIdle> for RoutingActor {
    type Return = bool;

    async fn handle(&mut self, message: IsIdle, _context: &mut Context<Self>) -> bool {
        !self.reserved.contains_key(&message.0) && self.router.in_flight(message.0) == 0
    }
}

impl Handler<BackEndStatusQuery> for RoutingActor {
    type Return = BTreeMap<MachineId, BackEndStatus>;

    async fn handle(
        &mut self,
        _message: BackEndStatusQuery,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        let now = self.clock.now();
        let status = |back_end: MachineId| BackEndStatus {
            running: self.router.in_flight(back_end),
            eligibility: self.router.eligibility(now, back_end),
            is_view_valid: self.is_valid(now, back_end),
        };
        let back_ends = self.router.back_ends();
        back_ends.map(|id| (id, status(id))).collect()
    }
}

impl Handler<ExtendViewValidity> for RoutingActor {
    type Return = ();

    async fn handle(&mut self, message: ExtendViewValidity, _context: &mut Context<Self>) {
        self.valid_until.insert(message.cell, message.until);
    }
}

impl Handler<Observe> for RoutingActor {
    type Return = ();

    async fn handle(&mut self, message: Observe, _context: &mut Context<Self>) {
        match &message.0 {
            RoutingEvent::BackEnd(view) => {
                if let BackEndKind::Engine(engine) = &view.kind {
                    self.cells.insert(view.id, engine.cell.clone());
                }
            }
            RoutingEvent::Removed(back_end) => {
                self.cells.remove(back_end);
            }
            _ => {}
        }
        let aside_until = self.router.handle(self.clock.now(), message.0);
        if let Some(until) = aside_until {
            tracing::warn!(
                until_ms = until.as_millis(),
                "back end set aside after failures"
            );
        }
    }
}

impl Handler<AttemptFailed> for RoutingActor {
    type Return = RetryDecision;

    async fn handle(
        &mut self,
        message: AttemptFailed,
        _context: &mut Context<Self>,
    ) -> RetryDecision {
        self.retries
            .decide(self.clock.now(), &message.outcome, &message.facts)
    }
}

impl Handler<RequestSucceeded> for RoutingActor {
    type Return = ();

    async fn handle(&mut self, _message: RequestSucceeded, _context: &mut Context<Self>) {
        self.retries.succeeded(self.clock.now());
    }
}
