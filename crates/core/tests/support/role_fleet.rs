//! Simulated fleet and demand for tests of the role planner.

use std::time::Duration;

use ponddrift_core::roles::{
    DemandSample, EngineAvailability, EngineState, LevelDemand, Plan, PlannerSettings, RolePlanner,
    RoleSplit,
};
use ponddrift_core::{EngineRole, MachineId, ModelName, Timestamp};

pub const WINDOW: Duration = Duration::from_secs(2);
pub const CHANGE_DURATION: Duration = Duration::from_secs(6);

/// Demand per second.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    pub requests: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
}

pub fn model(name: &str) -> ModelName {
    ModelName::new(name).expect("a valid name")
}

pub fn engine(id: u32, role: EngineRole) -> EngineState {
    EngineState {
        id: MachineId(id),
        model: model("ledger"),
        role: Some(role),
        since: Timestamp::ZERO,
        pinned: None,
        availability: EngineAvailability::Serving,
        sequences: 0,
    }
}

pub fn engines(split: RoleSplit) -> Vec<EngineState> {
    let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];
    let roles = roles
        .into_iter()
        .flat_map(|role| (0..split.of(role)).map(move |_| role));
    (0..)
        .zip(roles)
        .map(|(id, role)| engine(id, role))
        .collect()
}

pub fn sample(rates: Rates) -> DemandSample {
    let seconds = WINDOW.as_secs();
    DemandSample {
        model: model("ledger"),
        window: WINDOW,
        levels: vec![LevelDemand {
            level: 0,
            requests: rates.requests * seconds,
            prompt_tokens: rates.prompt_tokens * seconds,
            cached_prompt_tokens: 0,
            output_tokens: rates.output_tokens * seconds,
        }],
        waiting_requests: 0,
        waiting_prompt_tokens: 0,
    }
}

/// Engines that complete each planned change after [`CHANGE_DURATION`].
pub struct Fleet {
    pub planner: RolePlanner,
    pub engines: Vec<EngineState>,
    pub now: Timestamp,
    pub changes: usize,
}

impl Fleet {
    pub fn new(settings: PlannerSettings, split: RoleSplit) -> Self {
        Self {
            planner: RolePlanner::new(settings),
            engines: engines(split),
            now: Timestamp::from_millis(1_000_000),
            changes: 0,
        }
    }

    /// Simulates one planning interval with the given demand.
    pub fn step(&mut self, rates: Rates) -> Plan {
        self.now = self.now + WINDOW;
        self.planner.observe(self.now, &sample(rates));
        self.finish_changes();
        let plan = self.planner.plan(self.now, &self.engines);
        self.begin_changes(&plan);
        plan
    }

    #[allow(dead_code, reason = "only some of the test files look at it")]
    pub fn split(&self) -> RoleSplit {
        let expected_role = |engine: &EngineState| match engine.availability {
            EngineAvailability::Changing { to } => Some(to),
            _ => engine.role,
        };
        self.engines
            .iter()
            .filter_map(expected_role)
            .fold(RoleSplit::default(), RoleSplit::with)
    }

    fn finish_changes(&mut self) {
        for engine in &mut self.engines {
            let EngineAvailability::Changing { to } = engine.availability else {
                continue;
            };
            if self.now.since(engine.since) >= CHANGE_DURATION {
                engine.role = Some(to);
                engine.since = self.now;
                engine.availability = EngineAvailability::Serving;
            }
        }
    }

    fn begin_changes(&mut self, plan: &Plan) {
        for decision in &plan.decisions {
            let engine = self
                .engines
                .iter_mut()
                .find(|engine| engine.id == decision.engine)
                .expect("an engine of the fleet");
            engine.availability = EngineAvailability::Changing { to: decision.to };
            engine.since = self.now;
            self.changes += 1;
        }
    }
}
