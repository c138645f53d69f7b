//! Orders engines to change their stage, where this daemon leads.

mod engine_calls;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::stages::{StageChange, StagePlanner, StageWork};
use ponddrift_runtime::Runtime;

use crate::connections::Connections;
use crate::dialect::{Dialect, EngineReport, OrderParameters};
use crate::fleet_state::FleetState;
use crate::leader::Leadership;
use crate::pipeline::Pipeline;
use crate::time::now;
use engine_calls::{EngineCalls, OrderEnd};

/// Time between two looks at the stages.
const STEP: Duration = Duration::from_millis(500);
/// Peers have this long to hear that an engine is about to change.
const NOTICE: Duration = Duration::from_millis(100);
/// An engine's entry tells its new stage up to a heartbeat after the change.
const AWAY_MORE: Duration = Duration::from_millis(1_000);
/// An engine whose order was not answered is left alone for this long: the order may still be carried out.
const UNSETTLED: Duration = Duration::from_secs(15);

/// An engine that refused an order is left alone for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// Starts planning, and ordering where this daemon leads.
pub fn start(
    runtime: &Runtime,
    holder: Arc<str>,
    leadership: Leadership,
    dialect: &Arc<dyn Dialect>,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
) {
    let desk = OrderDesk {
        holder,
        leadership,
        calls: EngineCalls {
            connections: Connections::new(runtime.clone()),
            dialect: Arc::clone(dialect),
            pipeline: Arc::clone(pipeline),
        },
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        planners: HashMap::new(),
        unsettled: HashMap::new(),
    };
    runtime.spawner.spawn(Box::pin(desk.run()));
}

struct OrderDesk {
    holder: Arc<str>,
    leadership: Leadership,
    calls: EngineCalls,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    planners: HashMap<Arc<str>, StagePlanner>,
    unsettled: HashMap<Arc<str>, Instant>,
}

impl OrderDesk {
    async fn run(mut self) {
        while !self.pipeline.is_stopping() {
            tokio::time::sleep(STEP).await;
            if self.leadership.may_call() {
                self.plan_all().await;
            } else {
                // Whoever comes to lead has learned.
                self.observe();
            }
        }
    }

    async fn plan_all(&mut self) {
        for service in self.observe() {
            let engines = self.engines(&service);
            let changes = self.plan(&service, &engines);
            let ended = join_all(changes.iter().map(|change| self.change(change))).await;
            for (change, end) in changes.iter().zip(ended) {
                self.settle(&change.engine, end);
            }
        }
    }

    /// Takes the work of every service. Returns the services.
    fn observe(&mut self) -> Vec<Arc<str>> {
        let work = self.pipeline.fleet_work();
        for (service, measured) in &work {
            let engines = self.engines(service);
            let slots = self.pipeline.placement().load.slots_held(&engines);
            let measured = StageWork { slots, ..*measured };
            let planner = self.planners.entry(Arc::clone(service)).or_default();
            planner.observe(measured, &engines, now());
        }
        work.into_iter().map(|(service, _work)| service).collect()
    }

    /// Engines of the service that stay.
    fn engines(&self, service: &str) -> Vec<Arc<BackEnd>> {
        let mut engines = self.state.ready(service, now());
        let placement = self.pipeline.placement();
        engines.retain(|engine| !placement.announcements.is_draining(engine, now()));
        engines
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
            let is_unwell =
                placement.health.is_ejected(&engine.id) || placement.is_closed(engine, now());
            let outstanding = placement.load.outstanding(&engine.id);
            let busyness = outstanding.requests + outstanding.prompt_tokens;
            (!is_unsettled && !is_unwell).then_some(busyness)
        };
        let changes = planner.plan(engines, busyness, away, now());
        for change in &changes {
            planner.record_order(change, now());
        }
        changes
    }

    /// Lets the engine run dry of new requests, reads its state, then orders the change.
    async fn change(&self, change: &StageChange) -> OrderEnd {
        let engine = &change.engine;
        self.pipeline
            .pause_engine(engine, Duration::from_secs_f64(change.away_s));
        tokio::time::sleep(NOTICE).await;
        let report = self.calls.report(engine).await;
        let (end, fence) = match report {
            Some(report) if self.may_change(engine, report) => {
                self.order(engine, change.stage, report.sequence).await
            }
            _ => (OrderEnd::NotSent, None),
        };
        tracing::info!(
            back_end = &*engine.id,
            stage = change.stage.as_str(),
            fence,
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

    /// Whether the engine is as it was planned with; its report may have announced that it drains.
    fn may_change(&self, engine: &BackEnd, report: EngineReport) -> bool {
        let is_as_expected = !report.is_changing && report.stage == engine.stage;
        is_as_expected && !self.pipeline.placement().is_closed(engine, now())
    }

    /// An engine whose order was not taken is left alone for a while.
    fn settle(&mut self, engine: &BackEnd, end: OrderEnd) {
        let left_alone = match end {
            OrderEnd::Taken => return,
            OrderEnd::Unanswered => UNSETTLED,
            OrderEnd::Refused(_) | OrderEnd::NotSent => {
                self.pipeline.resume_engine(&engine.id);
                if let Some(planner) = self.planners.get_mut(&engine.service) {
                    planner.record_rejected_order(&engine.id);
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

    /// Orders the change under this daemon's fencing token, if it still leads. Returns the token.
    async fn order(
        &self,
        engine: &Arc<BackEnd>,
        stage: Stage,
        expected_sequence: u64,
    ) -> (OrderEnd, Option<u64>) {
        let Some(fence) = self.leadership.begin_call() else {
            return (OrderEnd::NotSent, None);
        };
        let facts = OrderParameters {
            back_end: &engine.id,
            stage,
            holder: &self.holder,
            fence,
            expected_sequence,
        };
        (self.calls.order(engine, &facts).await, Some(fence))
    }
}
