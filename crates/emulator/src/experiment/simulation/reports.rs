//! What engines and daemons report, and the planning on it.

use std::collections::BTreeMap;

use ponddrift_core::load::LoadDigest;
use ponddrift_core::roles::{
    DemandSample, EngineAvailability, EngineSample, EngineState, LevelDemand, RoleSplit,
};
use ponddrift_core::routing::RoutingEvent;

use super::event::{Event, Samples};
use super::record::SeriesPoint;
use super::request::Stage;
use super::{LOAD_INTERVAL, PLAN_INTERVAL, Simulation};
use crate::experiment::trace::ExperimentRequest;

/// Demand since the last sample.
#[derive(Debug, Clone, Default)]
pub(super) struct DemandWindow {
    levels: BTreeMap<u8, LevelDemand>,
}

impl DemandWindow {
    pub fn arrived(&mut self, request: &ExperimentRequest) {
        if request.is_lookup() {
            return;
        }
        let level = self.level(request.priority);
        level.requests += 1;
        level.prompt_tokens += u64::from(request.prompt_tokens);
        level.output_tokens += u64::from(request.output_tokens);
    }

    pub fn cached(&mut self, priority: u8, tokens: u32) {
        self.level(priority).cached_prompt_tokens += u64::from(tokens);
    }

    fn level(&mut self, level: u8) -> &mut LevelDemand {
        self.levels.entry(level).or_insert(LevelDemand {
            level,
            ..LevelDemand::default()
        })
    }
}

impl Simulation<'_> {
    pub(super) fn publish_load(&mut self) {
        let digests = self
            .engines
            .iter_mut()
            .filter(|engine| !engine.lost)
            .map(|engine| {
                let digest = engine.digest();
                let waiting = u32::from(digest.waiting);
                engine.sampled.fewest_waiting = engine.sampled.fewest_waiting.min(waiting);
                digest
            })
            .collect();
        let due = self.now + self.input.report_lag;
        self.events.push(due, Event::LoadArrives(digests));
        self.events
            .push(self.now + LOAD_INTERVAL, Event::PublishLoad);
    }

    pub(super) fn load_arrives(&mut self, digests: &[LoadDigest]) {
        for digest in digests {
            self.tell_all(&RoutingEvent::Digest(*digest));
        }
    }

    pub(super) fn plan(&mut self) {
        let samples = self.samples();
        self.record_point(&samples.demand);
        let due = self.now + self.input.report_lag;
        self.events
            .push(due, Event::SamplesArrive(Box::new(samples)));
        let states: Vec<EngineState> = (0..self.engines.len())
            .map(|engine| self.engine_state(engine))
            .collect();
        let now = self.now;
        for order in self.controller.plan(now, &states) {
            self.begin_change(order);
        }
        self.events.push(self.now + PLAN_INTERVAL, Event::Plan);
    }

    fn engine_state(&self, engine: usize) -> EngineState {
        let state = &self.engines[engine];
        EngineState {
            id: state.id,
            model: self.names.model.clone(),
            role: state.role,
            since: state.since,
            pinned: None,
            availability: state.availability(),
            sequences: u32::try_from(state.held.len()).unwrap_or(u32::MAX),
        }
    }

    fn samples(&mut self) -> Samples {
        let engine_tokens: u64 = self
            .engines
            .iter()
            .map(|engine| engine.scheduler.load().waiting_prompt_tokens)
            .sum();
        let waiting: Vec<usize> = self.waiting_requests();
        let gateway_tokens: u64 = waiting
            .iter()
            .map(|request| u64::from(self.input.requests[*request].prompt_tokens))
            .sum();
        let levels = std::mem::take(&mut self.window.levels);
        let demand = DemandSample {
            model: self.names.model.clone(),
            window: PLAN_INTERVAL,
            levels: levels.into_values().collect(),
            waiting_requests: waiting.len() as u64,
            waiting_prompt_tokens: engine_tokens + gateway_tokens,
        };
        let model = self.names.model.clone();
        let engines = self.engines.iter_mut().filter_map(|engine| {
            let load = engine.scheduler.load();
            let before = engine.sampled;
            engine.sampled.prompt_tokens = load.prompt_tokens;
            engine.sampled.output_tokens = load.generated_tokens;
            engine.sampled.fewest_waiting = u32::MAX;
            if engine.availability() != EngineAvailability::Serving {
                return None;
            }
            Some(EngineSample {
                engine: engine.id,
                model: model.clone(),
                role: engine.role?,
                window: PLAN_INTERVAL,
                prompt_tokens: load.prompt_tokens - before.prompt_tokens,
                output_tokens: load.generated_tokens - before.output_tokens,
                waiting: before.fewest_waiting,
                running: load.running as u32,
            })
        });
        Samples {
            demand,
            engines: engines.collect(),
        }
    }

    /// Requests that wait in admission.
    fn waiting_requests(&self) -> Vec<usize> {
        if self.daemons.iter().all(|one| one.admission.waiting() == 0) {
            return Vec::new();
        }
        (0..self.requests.len())
            .filter(|request| self.requests[*request].stage == Stage::Waiting)
            .collect()
    }

    fn record_point(&mut self, demand: &DemandSample) {
        let seconds = PLAN_INTERVAL.as_secs_f64();
        let mut serving = RoleSplit::default();
        for engine in &self.engines {
            if let (EngineAvailability::Serving, Some(role)) = (engine.availability(), engine.role)
            {
                serving = serving.with(role);
            }
        }
        let sum = |value: fn(&LevelDemand) -> u64| {
            demand.levels.iter().map(value).sum::<u64>() as f64 / seconds
        };
        let running = self
            .engines
            .iter()
            .map(|one| one.scheduler.load().running as u64);
        self.record.series.push(SeriesPoint {
            at: self.now.as_millis() as f64 / 1e3,
            prompt_tokens: sum(|level| level.prompt_tokens),
            output_tokens: sum(|level| level.output_tokens),
            serving,
            away: self.engines.len() as u32 - serving.total(),
            waiting_prompt_tokens: demand.waiting_prompt_tokens,
            running: running.sum(),
        });
    }
}
