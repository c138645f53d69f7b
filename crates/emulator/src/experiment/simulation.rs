//! Discrete-event simulation: the daemons' decision code against emulated engines on virtual time.
//!
//! Routers, admission and retry policies are those of `ponddrift-core`; steps, batches, prefix caches
//! and times of the engines are those of [`crate::engine`]. One input and seed give one record.

mod changes;
mod engine;
mod event;
mod gateway;
mod record;
mod reports;
mod request;
mod serving;

use std::time::Duration;

use ponddrift_core::roles::RoleSplit;
use ponddrift_core::{
    CellName, EngineRole, MachineId, ModelName, PoolName, RegionName, Timestamp, ZoneName,
};

use self::engine::{SimEngine, SimPlain};
use self::event::{Event, EventQueue};
use self::gateway::SimDaemon;
use self::reports::DemandWindow;
use self::request::{RequestState, Stage};
use super::controller::RoleController;
use super::deployment::Fleet;
use super::scenario::EngineLoss;
use super::trace::ExperimentRequest;

pub use gateway::AdmissionInputs;
pub use record::{ChangeRecord, RequestRecord, RunRecord, SeriesPoint};
pub use request::Ending;

/// Time between two plans.
pub const PLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two load reports of an engine.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
const ROLES: [EngineRole; 3] = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct SimulationInput<'a> {
    /// The machines.
    pub fleet: &'a Fleet,
    /// The requests, ordered by arrival.
    pub requests: &'a [ExperimentRequest],
    /// Engines that are lost.
    pub losses: &'a [EngineLoss],
    /// How late load reports and samples of demand arrive.
    pub report_lag: Duration,
    /// Length in seconds; requests after it are still carried to their end.
    pub seconds: f64,
    /// The split at the begin.
    pub initial: RoleSplit,
    /// What the daemons' admission is fed with.
    pub admission: AdmissionInputs,
    /// Seed of the daemons' random choices.
    pub seed: u64,
}

/// Names that are the same for every machine of a run.
struct Names {
    model: ModelName,
    pool: PoolName,
    cell: CellName,
    region: RegionName,
    zones: Vec<ZoneName>,
}

impl Names {
    fn new(fleet: &Fleet) -> Self {
        let zone = |index| ZoneName::new(&format!("zone-{index}")).expect("a valid name");
        Self {
            model: ModelName::new("model").expect("a valid name"),
            pool: PoolName::new("records").expect("a valid name"),
            cell: CellName::new("cell").expect("a valid name"),
            region: RegionName::new("central").expect("a valid name"),
            zones: (0..fleet.zones.max(1)).map(zone).collect(),
        }
    }

    fn zone(&self, machine: usize) -> &ZoneName {
        &self.zones[machine % self.zones.len()]
    }
}

struct Simulation<'a> {
    input: SimulationInput<'a>,
    controller: &'a mut dyn RoleController,
    now: Timestamp,
    events: EventQueue,
    names: Names,
    engines: Vec<SimEngine>,
    plain: Vec<SimPlain>,
    daemons: Vec<SimDaemon>,
    requests: Vec<RequestState>,
    prefixes: gateway::PrefixBlocks,
    window: DemandWindow,
    open: usize,
    record: RunRecord,
}

/// Runs a whole simulation.
pub fn simulate(input: SimulationInput<'_>, controller: &mut dyn RoleController) -> RunRecord {
    let mut simulation = Simulation::new(input, controller);
    simulation.begin();
    while simulation.open > 0 {
        let Some((at, event)) = simulation.events.pop() else {
            break;
        };
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.end()
}

impl<'a> Simulation<'a> {
    fn new(input: SimulationInput<'a>, controller: &'a mut dyn RoleController) -> Self {
        let fleet = input.fleet;
        let roles = ROLES
            .into_iter()
            .flat_map(|role| (0..input.initial.of(role)).map(move |_| role));
        let engines = (0..)
            .zip(roles)
            .map(|(id, role)| SimEngine::new(MachineId(id), fleet.cost, role));
        let plain = (0..fleet.plain).map(|index| SimPlain::new(MachineId(fleet.engines + index)));
        let daemons = (0..fleet.daemons)
            .map(|index| SimDaemon::new(fleet, input.admission, input.seed, index));
        let requests = input.requests.iter().enumerate().map(|(index, request)| {
            let deadline = Timestamp::from_millis(request.arrival_ms + request.deadline_ms);
            RequestState::new(index % fleet.daemons.max(1) as usize, deadline)
        });
        Self {
            input,
            controller,
            now: Timestamp::ZERO,
            events: EventQueue::default(),
            names: Names::new(fleet),
            engines: engines.collect(),
            plain: plain.collect(),
            daemons: daemons.collect(),
            open: input.requests.len(),
            requests: requests.collect(),
            prefixes: gateway::PrefixBlocks::default(),
            window: DemandWindow::default(),
            record: RunRecord::default(),
        }
    }

    fn begin(&mut self) {
        for engine in 0..self.engines.len() {
            self.tell_view(engine);
        }
        self.tell_plain();
        for (request, entry) in self.input.requests.iter().enumerate() {
            let at = Timestamp::from_millis(entry.arrival_ms);
            self.events.push(at, Event::Arrival { request });
        }
        for loss in self.input.losses {
            let engine = loss.engine as usize;
            let at = seconds(loss.at);
            self.events.push(at, Event::Lost { engine });
            if let Some(after) = loss.back_after {
                let back = seconds(loss.at + after);
                self.events.push(back, Event::Returned { engine });
            }
        }
        self.events.push(Timestamp::ZERO, Event::PublishLoad);
        self.events
            .push(Timestamp::ZERO + PLAN_INTERVAL, Event::Plan);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { request } => self.arrive(request),
            Event::Deadline { request } => self.expire(request),
            Event::Retry { request, attempt } => {
                if self.is_current(request, attempt)
                    && self.requests[request].stage == Stage::Placing
                {
                    self.place(request);
                }
            }
            Event::Imported { request, attempt } => self.imported(request, attempt),
            Event::LookupDone { request, attempt } => self.lookup_done(request, attempt),
            Event::StepDone { engine, epoch } => self.step_done(engine, epoch),
            Event::DrainAnnounced { engine, epoch } => self.drain_announced(engine, epoch),
            Event::ChangeDone { engine, epoch, to } => self.change_done(engine, epoch, to),
            Event::Lost { engine } => self.lose(engine),
            Event::LossNoticed { engine } => self.notice_loss(engine),
            Event::Returned { engine } => self.come_back(engine),
            Event::AdmissionTick { daemon } => self.admission_tick(daemon),
            Event::PublishLoad => self.publish_load(),
            Event::LoadArrives(digests) => self.load_arrives(&digests),
            Event::SamplesArrive(samples) => {
                let now = self.now;
                self.controller
                    .observe(now, &samples.demand, &samples.engines);
            }
            Event::Plan => self.plan(),
        }
    }

    fn is_current(&self, request: usize, attempt: u32) -> bool {
        let state = &self.requests[request];
        state.attempt == attempt && state.ending.is_none()
    }

    fn end(mut self) -> RunRecord {
        for engine in &self.engines {
            if let Some(change) = engine.change {
                self.record.engine_seconds_away += self.now.since(change.begun_at).as_secs_f64();
            }
        }
        self.record.requests = (0..self.requests.len())
            .map(|request| self.request_record(request))
            .collect();
        self.record
    }

    fn request_record(&self, request: usize) -> RequestRecord {
        let state = &self.requests[request];
        let entry = &self.input.requests[request];
        let arrival = Timestamp::from_millis(entry.arrival_ms);
        let milliseconds = |from: Timestamp, to: Timestamp| to.since(from).as_secs_f64() * 1e3;
        let interval = match (state.first_token_at, state.last_token_at) {
            (Some(first), Some(last)) if state.tokens > 1 => {
                Some(milliseconds(first, last) / f64::from(state.tokens - 1))
            }
            _ => None,
        };
        let ran_twice = !entry.is_repeatable() && state.executions > 1;
        RequestRecord {
            ending: state.ending,
            first_token_ms: state
                .first_token_at
                .map(|first| milliseconds(arrival, first)),
            token_interval_ms: interval,
            doubled: ran_twice || state.endings > 1,
        }
    }
}

fn seconds(value: f64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs_f64(value)
}
