//! Orders engines to change their stage, where this daemon holds the right to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use http::{Request, Response, StatusCode, header};
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::stages::{StageChange, StagePlanner, StageWork};
use ponddrift_http::body;
use ponddrift_runtime::Runtime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::authority::{Authority, AuthorityKeeper, ORDER_LIMIT};
use crate::connections::Connections;
use crate::dialect::{Dialect, EngineReport, OrderFacts};
use crate::fleet_state::FleetState;
use crate::follow::now;
use crate::pipeline::Pipeline;
use crate::store::{FleetStore, StoreError};

/// Time between two looks at the stages.
const STEP: Duration = Duration::from_millis(500);
/// Time between two renewals of the holder's lease, as a part of its life.
const RENEWALS_IN_A_LIFE: u32 = 3;
/// Daemons that see no holder try after a random time up to this, so that few ask at once.
const CANDIDACY_SPREAD: Duration = Duration::from_millis(1_500);
/// Peers have this long to hear that an engine is about to change.
const NOTICE: Duration = Duration::from_millis(100);
/// An engine's entry tells its new stage up to a heartbeat after the change.
const AWAY_MORE: Duration = Duration::from_millis(1_000);
/// An engine whose order was not answered is left alone for this long: the order may still be carried out.
const UNSETTLED: Duration = Duration::from_secs(15);

/// An engine that refused an order is left alone for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// Settings of orders.
#[derive(Debug, Clone)]
pub struct OrderSettings {
    /// Name of this daemon.
    pub holder: Arc<str>,
    /// Life of the holder's lease.
    pub lease: Duration,
}

/// Starts planning and ordering.
pub fn start(
    runtime: &Runtime,
    settings: &OrderSettings,
    store: &Arc<dyn FleetStore>,
    dialect: &Arc<dyn Dialect>,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
) {
    let keeper = AuthorityKeeper::new(
        Arc::clone(store),
        Arc::clone(&settings.holder),
        settings.lease,
    );
    let desk = OrderDesk {
        settings: settings.clone(),
        keeper,
        connections: Connections::new(runtime.clone()),
        dialect: Arc::clone(dialect),
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        planners: HashMap::new(),
        unsettled: HashMap::new(),
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(17)),
    };
    runtime.spawner.spawn(Box::pin(desk.run()));
}

struct OrderDesk {
    settings: OrderSettings,
    keeper: AuthorityKeeper,
    connections: Arc<Connections>,
    dialect: Arc<dyn Dialect>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    planners: HashMap<Arc<str>, StagePlanner>,
    unsettled: HashMap<Arc<str>, Instant>,
    random: Pcg64Mcg,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderEnd {
    /// The engine carries it out.
    Taken,
    /// The engine does not.
    Refused(u16),
    /// Nobody knows.
    Unanswered,
    /// The right to order was over before it was sent.
    NotSent,
}

impl OrderEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused(_) => "refused",
            Self::Unanswered => "unanswered",
            Self::NotSent => "not_sent",
        }
    }
}

impl OrderDesk {
    async fn run(mut self) {
        let mut authority = None;
        loop {
            authority = match authority {
                None => self.seek().await,
                Some(held) => self.hold(held).await,
            };
            if self.pipeline.is_stopping() {
                if let Some(held) = authority {
                    self.keeper.give_back(held).await;
                }
                return;
            }
        }
    }

    /// Waits until nobody holds the right, and tries to take it.
    async fn seek(&mut self) -> Option<Authority> {
        let pause = CANDIDACY_SPREAD.mul_f64(self.random.random_range(0.3..1.0));
        tokio::time::sleep(pause).await;
        self.observe();
        if self.state.order_holder().is_some() || !self.has_engines() {
            return None;
        }
        match self.keeper.take().await {
            Ok(authority) => {
                tracing::info!(fence = authority.fence, "order_lease_taken");
                Some(authority)
            }
            Err(error) => {
                tracing::debug!(%error, "order_lease_not_taken");
                None
            }
        }
    }

    fn has_engines(&self) -> bool {
        let back_ends = self.state.back_ends();
        back_ends.iter().any(|back_end| back_end.stage.is_some())
    }

    /// Plans, orders and renews for a while. None when the right is over.
    async fn hold(&mut self, mut authority: Authority) -> Option<Authority> {
        let renew_at = now() + self.settings.lease / RENEWALS_IN_A_LIFE;
        while now() < renew_at && !self.pipeline.is_stopping() {
            tokio::time::sleep(STEP.min(self.settings.lease / RENEWALS_IN_A_LIFE)).await;
            if authority.covers_an_order(now()) {
                self.plan_all(&authority).await;
            }
        }
        match self.keeper.keep(&mut authority).await {
            Ok(()) => Some(authority),
            Err(StoreError::LeaseOver) => {
                tracing::warn!(fence = authority.fence, "order_lease_over");
                None
            }
            Err(_trouble) if !authority.may_be_over(now()) => Some(authority),
            Err(error) => {
                tracing::warn!(fence = authority.fence, %error, "order_lease_over");
                None
            }
        }
    }

    async fn plan_all(&mut self, authority: &Authority) {
        for service in self.observe() {
            let engines = self.state.ready(&service, now());
            let changes = self.plan(&service, &engines);
            let ended = join_all(changes.iter().map(|change| self.change(change, authority))).await;
            for (change, end) in changes.iter().zip(ended) {
                self.settle(&change.engine, end);
            }
        }
    }

    /// Takes the work of every service. Returns the services.
    fn observe(&mut self) -> Vec<Arc<str>> {
        let work = self.pipeline.work_of_all();
        for (service, measured) in &work {
            let planner = self.planners.entry(Arc::clone(service)).or_default();
            let engines = self.state.ready(service, now());
            let slots = self.pipeline.placement().load.slots_held(&engines);
            let measured = StageWork { slots, ..*measured };
            planner.observe(measured, &engines, now());
        }
        work.into_iter().map(|(service, _work)| service).collect()
    }

    fn plan(&mut self, service: &Arc<str>, engines: &[Arc<BackEnd>]) -> Vec<StageChange> {
        let to_prefill = self.away_time(service, Stage::Prefill);
        let to_decode = self.away_time(service, Stage::Decode);
        let away = |stage| match stage {
            Stage::Prefill => to_prefill,
            Stage::Decode => to_decode,
        };
        let planner = self.planners.entry(Arc::clone(service)).or_default();
        let placement = self.pipeline.placement();
        let unsettled = &self.unsettled;
        let busyness = |engine: &BackEnd| {
            let is_unsettled = unsettled
                .get(&engine.id)
                .is_some_and(|until| *until > now());
            let is_unwell = placement.health.is_ejected(&engine.id);
            let outstanding = placement.load.outstanding(&engine.id);
            let busyness = outstanding.requests + outstanding.prompt_tokens;
            (!is_unsettled && !is_unwell).then_some(busyness)
        };
        let changes = planner.plan(engines, busyness, away, now());
        for change in &changes {
            planner.ordered(change, now());
        }
        changes
    }

    /// Lets the engine run dry of new requests, reads its state, then orders the change.
    async fn change(&self, change: &StageChange, authority: &Authority) -> OrderEnd {
        let engine = &change.engine;
        self.pipeline
            .engine_away(engine, Duration::from_secs_f64(change.away_s));
        tokio::time::sleep(NOTICE).await;
        let report = self.report(engine).await;
        let end = match report {
            Some(report) if !report.is_changing && report.stage == engine.stage => {
                self.order(engine, change.stage, report.sequence, authority)
                    .await
            }
            _ => OrderEnd::NotSent,
        };
        tracing::info!(
            back_end = &*engine.id,
            stage = change.stage.as_str(),
            fence = authority.fence,
            sequence = report.map(|report| report.sequence),
            prefill_work = change.work.prefill,
            short_reading = change.work.short_reading,
            decode_work = change.work.decode,
            slots_held = change.work.slots,
            prefill_engines = change.prefill_engines,
            decode_engines = change.decode_engines,
            gain = change.gain,
            away_s = change.away_s,
            net_gain = change.net_gain,
            outcome = ?end,
            "stage_ordered"
        );
        self.pipeline.metrics().order(end.name());
        end
    }

    /// An engine whose order was not taken is left alone for a while.
    fn settle(&mut self, engine: &BackEnd, end: OrderEnd) {
        let left_alone = match end {
            OrderEnd::Taken => return,
            OrderEnd::Unanswered => UNSETTLED,
            OrderEnd::Refused(_) | OrderEnd::NotSent => {
                self.pipeline.engine_back(&engine.id);
                if let Some(planner) = self.planners.get_mut(&engine.service) {
                    planner.not_taken(&engine.id);
                }
                REFUSED_PAUSE
            }
        };
        self.unsettled
            .insert(Arc::clone(&engine.id), now() + left_alone);
    }

    /// How long a change takes an engine of the service away: its streams end first, where it has any, then it changes,
    /// then its entry tells the new stage.
    fn away_time(&self, service: &str, to: Stage) -> Duration {
        let in_force = self.state.in_force();
        let traits = in_force.as_ref().and_then(|in_force| {
            let service = in_force.configuration.service(service)?;
            service.engine.as_ref()
        });
        let change = traits.map_or(Duration::ZERO, |traits| traits.stage_change);
        let streams = match to {
            Stage::Prefill => self.pipeline.placement().streams.longest(service, now()),
            Stage::Decode => Duration::ZERO,
        };
        streams + change + AWAY_MORE
    }

    async fn report(&self, engine: &BackEnd) -> Option<EngineReport> {
        let request = self.dialect.report().request(engine.address)?;
        let answer = self.exchange(engine, request).await?;
        (answer.status() == StatusCode::OK)
            .then(|| self.dialect.read_report(answer.body()))
            .flatten()
    }

    async fn order(
        &self,
        engine: &BackEnd,
        stage: Stage,
        expected_sequence: u64,
        authority: &Authority,
    ) -> OrderEnd {
        let facts = OrderFacts {
            back_end: &engine.id,
            stage,
            holder: &self.settings.holder,
            fence: authority.fence,
            expected_sequence,
        };
        let Some(request) = self.build(engine, &facts) else {
            return OrderEnd::NotSent;
        };
        // Looked at anew: time has passed since the plan.
        if !authority.covers_an_order(now()) {
            return OrderEnd::NotSent;
        }
        let answer = self.exchange(engine, request).await;
        match answer.map(|answer| answer.status()) {
            Some(StatusCode::OK | StatusCode::ACCEPTED) => OrderEnd::Taken,
            Some(status) => OrderEnd::Refused(status.as_u16()),
            None => OrderEnd::Unanswered,
        }
    }

    /// One exchange with an engine; none without a whole answer in time.
    async fn exchange(
        &self,
        engine: &BackEnd,
        request: Request<body::Body>,
    ) -> Option<Response<Bytes>> {
        /// An order, and a report beside it.
        const CONNECTIONS: u32 = 2;
        self.connections
            .call(engine.address, CONNECTIONS, request, ORDER_LIMIT)
            .await
    }

    fn build(&self, engine: &BackEnd, facts: &OrderFacts<'_>) -> Option<Request<body::Body>> {
        let call = self.dialect.order(facts);
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, engine.address.to_string())
            .body(body::full(call.body))
            .ok()?;
        request.headers_mut().extend(call.headers);
        Some(request)
    }
}
