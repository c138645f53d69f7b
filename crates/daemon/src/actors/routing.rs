//! Shell of routing and retries: one actor decides for all requests of the daemon.

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

/// Holds the router and the retry policy.
pub(crate) struct RoutingActor {
    router: Router,
    retries: RetryPolicy,
    clock: Arc<dyn Clock>,
    own: Option<WeakAddress<Self>>,
    /// Placements that were handed out and not given back, by back end.
    reserved: BTreeMap<MachineId, usize>,
    cells: BTreeMap<MachineId, CellName>,
    /// Until when this daemon may route, by cell; `None` stands for plain back ends.
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

/// Why there is no placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PlacementRefusal {
    /// Routing found none.
    #[error(transparent)]
    Routing(RoutingRefusal),
    /// This daemon's view is too old to route on: it was cut off or frozen, or has just started.
    #[error("this daemon is catching up with its peers; send to another daemon or come back soon")]
    ViewExpired,
}

/// A placement with its reservation.
pub(crate) struct ReservedPlacement {
    pub(crate) placement: Placement,
    pub(crate) reservation: Reservation,
}

/// Keeps the drains of the chosen back ends from being acknowledged until it is dropped.
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

/// Asks where a request goes.
pub(crate) struct ChoosePlacement(pub(crate) RouteRequest);

/// Asks, right before sending, whether the view that a back end was chosen on still holds: time may
/// have passed since, in a freeze, or while the prompt was read elsewhere for a hand-over.
pub(crate) struct IsSendAllowed(pub(crate) MachineId);

/// Asks whether nothing of this daemon is under way to a back end.
pub(crate) struct IsIdle(pub(crate) MachineId);

/// This daemon may route to a cell (`None`: to plain back ends) until then.
pub(crate) struct ExtendViewValidity {
    pub(crate) cell: Option<CellName>,
    pub(crate) until: Timestamp,
}

/// Asks what this daemon's own requests show of each back end.
pub(crate) struct BackEndStatusQuery;

/// A back end as this daemon's own requests show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BackEndStatus {
    /// Own requests there that have not ended.
    pub(crate) running: usize,
    pub(crate) eligibility: Eligibility,
    /// Whether this daemon's view of the back end's cell is fresh enough to route on.
    pub(crate) is_view_valid: bool,
}

/// Tells the router of something that happened.
pub(crate) struct Observe(pub(crate) RoutingEvent);

/// Asks what to do after a failed attempt.
pub(crate) struct AttemptFailed {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) facts: RequestFacts,
}

/// A request was answered whole: it adds to the retry budget.
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
