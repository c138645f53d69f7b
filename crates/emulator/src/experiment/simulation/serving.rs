//! Requests at engines and plain back ends.

use std::time::Duration;

use ponddrift_core::MachineId;
use ponddrift_core::admission::AdmissionEvent;
use ponddrift_core::retry::AttemptFailure;
use ponddrift_core::routing::{RoutingEvent, SendOutcome, SendStage, Sent};

use super::Simulation;
use super::event::Event;
use super::gateway::request_id;
use super::request::{Ending, Stage};
use crate::engine::scheduler::{SchedulerEvent, SequenceId, SequenceRequest};

/// Prompt tokens a second that the daemon takes off the time to the first token to see the wait.
const ASSUMED_PREFILL_RATE: f64 = 8_000.0;

impl Simulation<'_> {
    /// Sends a request to an engine that does all of it.
    pub(super) fn run_whole(&mut self, request: usize, engine: usize) {
        self.tell_sent(request, engine, SendStage::Whole);
        if !self.reaches(request, engine) {
            return;
        }
        self.hold(request, engine);
        self.requests[request].executions += 1;
        let output_tokens = self.input.requests[request].output_tokens;
        let sequence = self.add_sequence(request, engine, output_tokens, false);
        self.requests[request].stage = Stage::Generating { engine, sequence };
        self.run_engine(engine);
    }

    /// Has a prompt read by one engine for another.
    pub(super) fn read_for(&mut self, request: usize, engine: usize, decode: usize) {
        self.tell_sent(request, engine, SendStage::Prefill);
        if !self.engines[engine].accepts() {
            // As the daemon does: the decode engine then reads the prompt itself.
            self.end_send(request, engine, SendOutcome::Neutral);
            self.run_whole(request, decode);
            return;
        }
        self.hold(request, engine);
        self.hold(request, decode);
        let sequence = self.add_sequence(request, engine, 0, false);
        self.requests[request].stage = Stage::Reading {
            engine,
            decode,
            sequence,
        };
        self.run_engine(engine);
    }

    fn add_sequence(
        &mut self,
        request: usize,
        engine: usize,
        output_tokens: u32,
        imported: bool,
    ) -> SequenceId {
        let entry = &self.input.requests[request];
        let wanted = SequenceRequest {
            priority: entry.priority,
            prompt_tokens: entry.prompt_tokens,
            blocks: if imported {
                Vec::new()
            } else {
                self.prefixes.of(entry)
            },
            output_tokens,
            imported,
        };
        self.engines[engine].add(request, wanted)
    }

    /// Whether the engine takes the request; if not, the attempt has failed.
    fn reaches(&mut self, request: usize, engine: usize) -> bool {
        if self.engines[engine].accepts() {
            return true;
        }
        let (outcome, failure) = if self.engines[engine].lost {
            (SendOutcome::Failed, AttemptFailure::NotSent)
        } else {
            (SendOutcome::Neutral, AttemptFailure::RefusedNotRun)
        };
        self.end_send(request, engine, outcome);
        self.failed(request, engine, failure);
        false
    }

    fn tell_sent(&mut self, request: usize, back_end: usize, stage: SendStage) {
        let entry = &self.input.requests[request];
        let sent = Sent {
            request: request_id(request),
            back_end: MachineId(back_end as u32),
            stage,
            prompt_tokens: entry.prompt_tokens,
            prefix_blocks: self.prefixes.of(entry),
            priority: entry.priority,
        };
        let daemon = self.requests[request].daemon;
        let router = &mut self.daemons[daemon].router;
        router.handle(self.now, RoutingEvent::Sent(sent));
    }

    fn hold(&mut self, request: usize, engine: usize) {
        if self.engines[engine].held.insert(request) {
            self.requests[request].held_at.push(engine);
        }
    }

    /// Frees the engines that the request was placed at.
    pub(super) fn release(&mut self, request: usize) {
        let held_at = std::mem::take(&mut self.requests[request].held_at);
        for engine in held_at {
            self.engines[engine].held.remove(&request);
            self.try_change(engine);
        }
    }

    /// Begins a step if the engine is idle and has work.
    pub(super) fn run_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.step.is_some() || state.lost {
            return;
        }
        let mut events = Vec::new();
        if let Some(step) = state.scheduler.plan(&mut events) {
            let done = self.now + step.duration;
            state.step = Some(step);
            let epoch = state.epoch;
            self.events.push(done, Event::StepDone { engine, epoch });
        }
        self.engine_events(engine, &events);
    }

    pub(super) fn step_done(&mut self, engine: usize, epoch: u32) {
        let state = &mut self.engines[engine];
        if state.epoch != epoch {
            return;
        }
        let Some(step) = state.step.take() else {
            return;
        };
        let mut events = Vec::new();
        state.scheduler.finish(&step, &mut events);
        self.engine_events(engine, &events);
        self.run_engine(engine);
    }

    fn engine_events(&mut self, engine: usize, events: &[SchedulerEvent]) {
        for event in events {
            match event {
                SchedulerEvent::Started {
                    sequence,
                    cached_tokens,
                } => {
                    let request = self.engines[engine].request(*sequence);
                    self.requests[request].cached_tokens = *cached_tokens;
                    let entry = &self.input.requests[request];
                    self.window.cached(entry.priority, *cached_tokens);
                }
                SchedulerEvent::Token(sequence) => self.token(engine, *sequence),
                SchedulerEvent::Finished(sequence) => self.sequence_finished(engine, *sequence),
                SchedulerEvent::Cache(_) => {}
            }
        }
    }

    fn token(&mut self, engine: usize, sequence: SequenceId) {
        let request = self.engines[engine].request(sequence);
        let now = self.now;
        let state = &mut self.requests[request];
        state.tokens += 1;
        state.last_token_at = Some(now);
        if state.first_token_at.is_some() {
            return;
        }
        state.first_token_at = Some(now);
        let (daemon, started_at) = (state.daemon, state.started_at);
        let first = RoutingEvent::FirstToken {
            request: request_id(request),
            back_end: MachineId(engine as u32),
        };
        self.daemons[daemon].router.handle(now, first);
        let prompt = f64::from(self.input.requests[request].prompt_tokens);
        let reading = Duration::from_secs_f64(prompt / ASSUMED_PREFILL_RATE);
        let running = started_at.map_or(Duration::ZERO, |started| now.since(started));
        let queue_wait = running.saturating_sub(reading);
        self.admit(daemon, AdmissionEvent::Waited { queue_wait });
    }

    fn sequence_finished(&mut self, engine: usize, sequence: SequenceId) {
        let request = self.engines[engine].request(sequence);
        match self.requests[request].stage {
            Stage::Reading { decode, .. } => self.prompt_read(request, engine, decode),
            Stage::Generating { .. } => {
                let state = &self.requests[request];
                let outcome = SendOutcome::Succeeded {
                    output_tokens: state.tokens,
                    cached_tokens: Some(state.cached_tokens),
                };
                self.end_send(request, engine, outcome);
                self.finish(request, Ending::Whole);
            }
            _ => {}
        }
    }

    /// The prompt is read; its KV cache goes to the engine that generates.
    fn prompt_read(&mut self, request: usize, engine: usize, decode: usize) {
        let daemon = self.requests[request].daemon;
        let first = RoutingEvent::FirstToken {
            request: request_id(request),
            back_end: MachineId(engine as u32),
        };
        self.daemons[daemon].router.handle(self.now, first);
        let outcome = SendOutcome::Succeeded {
            output_tokens: 0,
            cached_tokens: None,
        };
        self.end_send(request, engine, outcome);
        self.engines[engine].held.remove(&request);
        let held_at = &mut self.requests[request].held_at;
        held_at.retain(|held| *held != engine);
        self.try_change(engine);
        self.tell_sent(request, decode, SendStage::Decode);
        if !self.reaches(request, decode) {
            return;
        }
        let state = &mut self.requests[request];
        state.stage = Stage::Importing { decode };
        let attempt = state.attempt;
        let tokens = self.input.requests[request].prompt_tokens;
        let distance = Duration::from_micros(2 * self.input.fleet.zone_distance_us);
        let due = self.now + distance + self.input.fleet.cost.import_time(tokens);
        self.events.push(due, Event::Imported { request, attempt });
    }

    pub(super) fn imported(&mut self, request: usize, attempt: u32) {
        let Stage::Importing { decode } = self.requests[request].stage else {
            return;
        };
        if !self.is_current(request, attempt) || !self.reaches(request, decode) {
            return;
        }
        self.requests[request].executions += 1;
        let output_tokens = self.input.requests[request].output_tokens;
        let sequence = self.add_sequence(request, decode, output_tokens, true);
        self.requests[request].stage = Stage::Generating {
            engine: decode,
            sequence,
        };
        self.run_engine(decode);
    }

    /// Takes a request off the engine that works on it.
    pub(super) fn cancel(&mut self, request: usize) {
        let priority = self.input.requests[request].priority;
        match self.requests[request].stage {
            Stage::Reading {
                engine, sequence, ..
            }
            | Stage::Generating { engine, sequence } => {
                self.engines[engine].scheduler.cancel(priority, sequence);
                self.end_send(request, engine, SendOutcome::Neutral);
            }
            Stage::Importing { decode } => {
                self.end_send(request, decode, SendOutcome::Neutral);
            }
            Stage::Lookup { back_end } => {
                let back_end = self.engines.len() + back_end;
                self.end_send(request, back_end, SendOutcome::Neutral);
            }
            Stage::Coming | Stage::Waiting | Stage::Placing | Stage::Ended => {}
        }
    }

    pub(super) fn look_up(&mut self, request: usize, back_end: usize) {
        self.tell_sent(request, self.engines.len() + back_end, SendStage::Whole);
        let state = &mut self.requests[request];
        state.stage = Stage::Lookup { back_end };
        state.executions += 1;
        let attempt = state.attempt;
        let done = self.plain[back_end].take(self.now);
        let event = Event::LookupDone { request, attempt };
        self.events.push(done, event);
    }

    pub(super) fn lookup_done(&mut self, request: usize, attempt: u32) {
        let Stage::Lookup { back_end } = self.requests[request].stage else {
            return;
        };
        if !self.is_current(request, attempt) {
            return;
        }
        let outcome = SendOutcome::Succeeded {
            output_tokens: 0,
            cached_tokens: None,
        };
        self.end_send(request, self.engines.len() + back_end, outcome);
        self.finish(request, Ending::Whole);
    }
}
