//! Orders engines to change their stage while this daemon leads.

mod engine_calls;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::Placement;
use ponddrift_fleet::profiles::WorkKind;
use ponddrift_fleet::stages::{EngineTime, OVERDUE_FACTOR, StageChange, StagePlanner, StageWork};
use ponddrift_runtime::Runtime;

use crate::connections::Connections;
use crate::dialect::{Dialect, EngineReport, OrderParameters};
use crate::fleet_state::FleetState;
use crate::leader::Leadership;
use crate::pipeline::Pipeline;
use crate::time::now;
use engine_calls::{EngineCalls, OrderOutcome};

/// Interval between planning steps.
const PLANNING_INTERVAL: Duration = Duration::from_millis(500);
/// How long peers have to learn that an engine is about to change before the order is sent.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(100);
/// An engine's entry shows the new stage only up to one heartbeat after the change.
const ENTRY_UPDATE_DELAY: Duration = Duration::from_millis(1_000);
/// An engine whose order was not answered gets no further order for this long, because the order
/// may still be carried out.
const UNANSWERED_ORDER_PAUSE: Duration = Duration::from_secs(15);

/// An engine that refused an order gets no further order for this long.
const REFUSED_ORDER_PAUSE: Duration = Duration::from_secs(2);

/// Starts to plan stages, and to order changes while this daemon leads.
pub fn start(
    runtime: &Runtime,
    holder: Arc<str>,
    leadership: Leadership,
    dialect: &Arc<dyn Dialect>,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
) {
    let controller = StageController {
        holder,
        leadership,
        calls: EngineCalls {
            connections: Connections::to_back_ends(
                runtime.clone(),
                Arc::clone(pipeline.metrics()),
                pipeline.memory().clone(),
            ),
            dialect: Arc::clone(dialect),
            pipeline: Arc::clone(pipeline),
        },
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        planners: HashMap::new(),
        paused_until: HashMap::new(),
    };
    runtime.spawner.spawn(Box::pin(controller.run()));
}

struct StageController {
    holder: Arc<str>,
    leadership: Leadership,
    calls: EngineCalls,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    planners: HashMap<Arc<str>, StagePlanner>,
    paused_until: HashMap<Arc<str>, Instant>,
}

impl StageController {
    async fn run(mut self) {
        while !self.pipeline.is_stopping() {
            tokio::time::sleep(PLANNING_INTERVAL).await;
            if self.leadership.may_call() {
                self.plan_all().await;
            } else {
                // Observe as well, so that the planner is up to date if this daemon becomes the
                // leader.
                self.observe();
            }
        }
    }

    async fn plan_all(&mut self) {
        for service in self.observe() {
            let engines = self.engines(&service);
            let changes = self.plan(&service, &engines);
            let outcomes = join_all(changes.iter().map(|change| self.change(change))).await;
            for (change, outcome) in changes.iter().zip(outcomes) {
                self.settle(change, outcome);
            }
        }
    }

    /// Feeds the measured work of every service to its planner. Returns the services.
    fn observe(&mut self) -> Vec<Arc<str>> {
        let work = self.pipeline.fleet_work();
        for (service, measured) in &work {
            let engines = self.engines(service);
            let placement = self.pipeline.placement();
            let slots = placement.load.slots_held(&engines);
            let times = known_times(&placement, &engines, now());
            drop(placement);
            let measured = StageWork { slots, ..*measured };
            let planner = self.planners.entry(Arc::clone(service)).or_default();
            planner.set_engine_times(times);
            planner.observe(measured, &engines, now());
        }
        work.into_iter().map(|(service, _work)| service).collect()
    }

    /// Engines of the service that are ready and not draining.
    fn engines(&self, service: &str) -> Vec<Arc<BackEnd>> {
        let mut engines = self.state.ready(service, now());
        let placement = self.pipeline.placement();
        engines.retain(|engine| !placement.announcements.is_draining(engine, now()));
        engines
    }

    fn plan(&mut self, service: &Arc<str>, engines: &[Arc<BackEnd>]) -> Vec<StageChange> {
        let to_prefill = self.unavailable_time(service, Stage::Prefill);
        let to_decode = self.unavailable_time(service, Stage::Decode);
        let unavailable_for = |stage| match stage {
            Stage::Prefill => to_prefill,
            Stage::Decode => to_decode,
        };
        let planner = self.planners.entry(Arc::clone(service)).or_default();
        let placement = self.pipeline.placement();
        let paused_until = &self.paused_until;
        let busyness = |engine: &BackEnd| {
            let is_paused = paused_until
                .get(&engine.id)
                .is_some_and(|until| *until > now());
            let is_unhealthy =
                placement.health.is_ejected(&engine.id) || placement.is_closed(engine, now());
            let outstanding = placement.load.outstanding(&engine.id);
            let busyness = outstanding.requests + outstanding.prompt_tokens;
            (!is_paused && !is_unhealthy).then_some(busyness)
        };
        let changes = planner.plan(engines, busyness, unavailable_for, now());
        for change in &changes {
            planner.record_order(change, now());
        }
        changes
    }

    /// Announces that the engine becomes unavailable, so that it gets no new requests, checks its
    /// state, then orders the change.
    async fn change(&self, change: &StageChange) -> OrderOutcome {
        let engine = &change.engine;
        self.pipeline
            .pause_engine(engine, Duration::from_secs_f64(change.away_s));
        tokio::time::sleep(ANNOUNCEMENT_DELAY).await;
        let report = self.calls.report(engine).await;
        let (outcome, fence) = match report {
            Some(report) if self.may_change(engine, report) => {
                self.order(engine, change.stage, report.sequence).await
            }
            _ => (OrderOutcome::NotSent, None),
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
            outcome = ?outcome,
            "stage_ordered"
        );
        self.pipeline.metrics().order(outcome.name());
        outcome
    }

    /// Whether the engine's state still matches the plan. Its report may also have announced that
    /// it drains.
    fn may_change(&self, engine: &BackEnd, report: EngineReport) -> bool {
        let is_as_expected = !report.is_changing && report.stage == engine.stage;
        is_as_expected && !self.pipeline.placement().is_closed(engine, now())
    }

    /// Pauses orders to an engine that did not accept one.
    fn settle(&mut self, change: &StageChange, outcome: OrderOutcome) {
        let engine = &change.engine;
        let pause = match outcome {
            OrderOutcome::Taken => {
                self.extend_pause(change);
                return;
            }
            OrderOutcome::Unanswered => UNANSWERED_ORDER_PAUSE,
            OrderOutcome::Refused(_) | OrderOutcome::NotSent => {
                self.pipeline.resume_engine(&engine.id);
                if let Some(planner) = self.planners.get_mut(&engine.service) {
                    planner.record_rejected_order(&engine.id);
                }
                REFUSED_ORDER_PAUSE
            }
        };
        self.paused_until
            .insert(Arc::clone(&engine.id), now() + pause);
    }

    /// Keeps requests away from an engine that took its order until it shows its new stage, or the
    /// change is overdue. Until its last stream has ended it refuses all requests, although it is
    /// the least busy engine of all. Only where profiles are used: there streams avoid busy engines.
    fn extend_pause(&self, change: &StageChange) {
        let has_profiles = self.pipeline.placement().profiles.is_enabled();
        if has_profiles {
            let until_overdue = Duration::from_secs_f64(change.away_s * OVERDUE_FACTOR);
            self.pipeline.pause_engine(&change.engine, until_overdue);
        }
    }

    /// How long a change makes an engine of the service unavailable: its streams end first if it
    /// has any, then it changes, then its entry shows the new stage.
    fn unavailable_time(&self, service: &str, to: Stage) -> Duration {
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
        streams + change + ENTRY_UPDATE_DELAY
    }

    /// Orders the change with this daemon's fencing token if it still leads. Returns the token that
    /// was used.
    async fn order(
        &self,
        engine: &Arc<BackEnd>,
        stage: Stage,
        expected_sequence: u64,
    ) -> (OrderOutcome, Option<u64>) {
        let Some(fence) = self.leadership.begin_call() else {
            return (OrderOutcome::NotSent, None);
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

/// Times of the engines whose profiles are known; empty where profiles are not used.
fn known_times(
    placement: &Placement,
    engines: &[Arc<BackEnd>],
    now: Instant,
) -> Vec<(Arc<str>, EngineTime)> {
    let profiles = &placement.profiles;
    if !profiles.is_enabled() {
        return Vec::new();
    }
    let times = engines.iter().map(|engine| {
        let time = EngineTime {
            prefill: profiles.factor(engine, WorkKind::Prefill, now),
            decode: profiles.factor(engine, WorkKind::Decode, now),
        };
        (Arc::clone(&engine.id), time)
    });
    times.collect()
}
