//! One life of an engine, from a start to a crash: its requests and the loop that runs them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use ponddrift_core::{EngineRole, Incarnation};
use ponddrift_engine::wire::control::LoadedModel;
use ponddrift_http::{Client, ClientSettings, ProblemKind};
use ponddrift_runtime::Runtime;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::cache_events::CacheEventFeed;
use super::control::{Change, ControlState};
use super::execution::{Execution, Stage, Wanted};
use super::host::Shared;
use super::load::LoadHistory;
use super::scheduler::{Scheduler, SchedulerEvent, SequenceId, SequenceRequest, Step};
use super::settings::EngineSettings;
use super::transfer::Exports;

/// A refusal of a request that was certainly not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct NotRun {
    pub(super) kind: ProblemKind,
    pub(super) detail: String,
}

/// One life.
pub(super) struct Life {
    pub(super) runtime: Runtime,
    pub(super) settings: Arc<EngineSettings>,
    pub(super) shared: Arc<Shared>,
    pub(super) client: Client,
    pub(super) cache_events: CacheEventFeed,
    pub(super) incarnation: Incarnation,
    state: Mutex<LifeState>,
    wake: Notify,
    /// Requests that came without an id.
    unnamed: AtomicU64,
}

/// What changes in a life.
pub(super) struct LifeState {
    pub(super) control: ControlState,
    pub(super) change: Option<Change>,
    pub(super) exports: Exports,
    pub(super) load: LoadHistory,
    pub(super) scheduler: Scheduler,
    executions: BTreeMap<SequenceId, Arc<Execution>>,
    streams: IndexMap<String, Arc<Execution>>,
    /// Ended streams with the time until which they are kept.
    kept: VecDeque<(Instant, Arc<Execution>)>,
}

impl Life {
    /// Begins a life on a runtime that hangs on its own switch.
    pub(super) fn begin(
        runtime: &Runtime,
        settings: Arc<EngineSettings>,
        shared: Arc<Shared>,
        incarnation: Incarnation,
        role: Option<EngineRole>,
        model: Option<LoadedModel>,
    ) -> Arc<Self> {
        let state = LifeState {
            control: ControlState::new(incarnation, role, model, settings.models.clone()),
            change: None,
            exports: Exports::default(),
            load: LoadHistory::default(),
            scheduler: Scheduler::new(settings.cost),
            executions: BTreeMap::new(),
            streams: IndexMap::new(),
            kept: VecDeque::new(),
        };
        let life = Arc::new(Self {
            runtime: runtime.clone(),
            client: Client::new(runtime, ClientSettings::default()),
            cache_events: CacheEventFeed::new(runtime.seed, incarnation),
            settings,
            shared,
            incarnation,
            state: Mutex::new(state),
            wake: Notify::new(),
            unnamed: AtomicU64::new(0),
        });
        life.record_load(&mut life.lock());
        let running = Arc::clone(&life).run();
        runtime.spawner.spawn(Box::pin(running));
        life
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LifeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An id for a request that came without one.
    pub(super) fn own_request_id(&self) -> String {
        let number = self.unnamed.fetch_add(1, Ordering::Relaxed);
        format!("engine-{}-{number}", self.incarnation)
    }

    /// Takes steps for as long as there is work.
    async fn run(self: Arc<Self>) {
        let mut due = Instant::now();
        loop {
            let Some(step) = self.plan() else {
                self.wake.notified().await;
                due = Instant::now();
                continue;
            };
            let slowness = self.shared.behaviour().slowness.max(0.0);
            let duration = step.duration.mul_f64(slowness);
            // Steps follow one another without the timer's overshoot, unless the process was held up.
            due = (due + duration).max(Instant::now());
            tokio::time::sleep_until(due).await;
            self.finish(&step);
        }
    }

    fn plan(&self) -> Option<Step> {
        let mut events = Vec::new();
        let mut state = self.lock();
        let step = state.scheduler.plan(&mut events);
        self.dispatch(&mut state, events);
        step
    }

    fn finish(&self, step: &Step) {
        let mut events = Vec::new();
        let mut state = self.lock();
        state.scheduler.finish(step, &mut events);
        self.dispatch(&mut state, events);
    }

    fn dispatch(&self, state: &mut LifeState, events: Vec<SchedulerEvent>) {
        for event in events {
            match event {
                SchedulerEvent::Started {
                    sequence,
                    cached_tokens,
                } => self.started(state, sequence, cached_tokens),
                SchedulerEvent::Token(sequence) => {
                    if let Some(execution) = state.executions.get(&sequence) {
                        execution.advance(|progress| progress.generated += 1);
                    }
                }
                SchedulerEvent::Finished(sequence) => {
                    self.end(state, sequence, Stage::Whole);
                }
                SchedulerEvent::Cache(change) => {
                    self.cache_events.publish(change, self.shared.behaviour());
                }
            }
        }
        self.record_load(state);
    }

    fn started(&self, state: &LifeState, sequence: SequenceId, cached_tokens: u32) {
        let Some(execution) = state.executions.get(&sequence) else {
            return;
        };
        let export = execution.wanted.export;
        self.shared.runs.record(&execution.wanted.key, |counts| {
            if export {
                counts.exports += 1;
            } else {
                counts.started += 1;
            }
        });
        execution.advance(|progress| {
            progress.stage = Stage::Running;
            progress.cached_tokens = cached_tokens;
        });
    }

    /// Ends one execution; gives whether any of it had run.
    fn end(&self, state: &mut LifeState, sequence: SequenceId, stage: Stage) -> Option<Stage> {
        let execution = state.executions.remove(&sequence)?;
        let ran = execution.progress().stage == Stage::Running;
        let stage = if ran { stage } else { Stage::NotRun };
        if ran && !execution.wanted.export {
            self.shared.runs.record(&execution.wanted.key, |counts| {
                counts.ended += 1;
                counts.whole += u32::from(stage == Stage::Whole);
            });
        }
        execution.advance(|progress| progress.stage = stage);
        let keep = Duration::from_millis(self.settings.stream_keep_ms);
        state.kept.push_back((Instant::now() + keep, execution));
        Some(stage)
    }

    /// Why a request cannot run now.
    pub(super) fn check(&self, wanted: &Wanted) -> Result<(), NotRun> {
        Self::check_state(&self.lock(), wanted, self.settings.queue_limit)
    }

    fn check_state(state: &LifeState, wanted: &Wanted, queue_limit: usize) -> Result<(), NotRun> {
        let unavailable = |detail: String| NotRun {
            kind: ProblemKind::Unavailable,
            detail,
        };
        let (Some(role), Some(model)) = (state.control.role(), state.control.model()) else {
            let detail = "this engine plays no role now: send the request to another";
            return Err(unavailable(detail.to_owned()));
        };
        let named = wanted.model.as_str();
        let is_held = model.model.as_str() == named
            || model
                .adapters
                .iter()
                .any(|adapter| adapter.as_str() == named);
        if !is_held {
            let held = model.model.as_str();
            return Err(unavailable(format!(
                "this engine holds {held}, not {named}"
            )));
        }
        if role == EngineRole::Prefill && !wanted.export {
            let detail = "this engine only reads prompts: ask for an export, or ask another";
            return Err(unavailable(detail.to_owned()));
        }
        if state.scheduler.queued() >= queue_limit {
            return Err(NotRun {
                kind: ProblemKind::Overloaded,
                detail: format!("{queue_limit} requests wait already: ask another engine"),
            });
        }
        if !state
            .scheduler
            .fits(wanted.prompt_tokens, wanted.output_tokens)
        {
            return Err(NotRun {
                kind: ProblemKind::BadRequest,
                detail: "prompt and answer do not fit into the KV cache: ask for less".to_owned(),
            });
        }
        Ok(())
    }

    /// Queues a request.
    pub(super) fn submit(
        &self,
        wanted: Wanted,
        blocks: Vec<u64>,
    ) -> Result<Arc<Execution>, NotRun> {
        let mut state = self.lock();
        Self::check_state(&state, &wanted, self.settings.queue_limit)?;
        state.forget_old_streams();
        let sequence = state.scheduler.add(SequenceRequest {
            priority: wanted.priority,
            prompt_tokens: wanted.prompt_tokens,
            blocks,
            output_tokens: wanted.output_tokens,
            imported: wanted.imported,
        });
        let request_id = wanted.request_id.clone();
        let execution = Arc::new(Execution::new(wanted, sequence));
        state.executions.insert(sequence, Arc::clone(&execution));
        state.streams.insert(request_id, Arc::clone(&execution));
        self.record_load(&mut state);
        drop(state);
        self.wake.notify_one();
        Ok(execution)
    }

    /// The latest execution of a request id that is still kept.
    pub(super) fn find_stream(&self, request_id: &str) -> Option<Arc<Execution>> {
        let mut state = self.lock();
        state.forget_old_streams();
        state.streams.get(request_id).cloned()
    }

    /// Cancels an execution, unless it is over.
    pub(super) fn cancel(&self, execution: &Execution) {
        let mut state = self.lock();
        let priority = execution.wanted.priority;
        state.scheduler.cancel(priority, execution.sequence);
        if self
            .end(&mut state, execution.sequence, Stage::Cut)
            .is_some()
        {
            self.shared.count(|counters| counters.cancelled += 1);
        }
        self.record_load(&mut state);
        drop(state);
        self.wake.notify_one();
    }

    /// Ends every execution at once; gives how many had run and how many had not.
    pub(super) fn cut_all(&self, state: &mut LifeState) -> CutCounts {
        let mut counts = CutCounts::default();
        let sequences: Vec<SequenceId> = state.executions.keys().copied().collect();
        for sequence in sequences {
            match self.end(state, sequence, Stage::Cut) {
                Some(Stage::NotRun) => counts.waiting += 1,
                Some(_ran) => counts.running += 1,
                None => {}
            }
        }
        state.scheduler.clear();
        state.exports.clear();
        self.record_load(state);
        counts
    }

    pub(super) fn record_load(&self, state: &mut LifeState) {
        let load = state.scheduler.load();
        let role = state.control.role();
        let lag = Duration::from_millis(self.shared.behaviour().metrics_lag_ms);
        state.load.record(Instant::now(), lag, load, role);
    }
}

/// Executions that were ended from outside.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CutCounts {
    pub(super) running: u64,
    pub(super) waiting: u64,
}

impl LifeState {
    /// Requests queued or running.
    pub(super) fn requests(&self) -> u32 {
        u32::try_from(self.scheduler.sequences()).unwrap_or(u32::MAX)
    }

    fn forget_old_streams(&mut self) {
        let now = Instant::now();
        while self
            .kept
            .front()
            .is_some_and(|(until, _execution)| *until <= now)
        {
            let Some((_until, execution)) = self.kept.pop_front() else {
                return;
            };
            let request_id = &execution.wanted.request_id;
            let is_latest = |held: &Arc<Execution>| Arc::ptr_eq(held, &execution);
            if self.streams.get(request_id).is_some_and(is_latest) {
                self.streams.swap_remove(request_id);
            }
        }
    }
}
