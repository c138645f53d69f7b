//! The path of a request from its caller to a back end and back.
//!
//! Dropping the future of a request (because its caller disconnected) drops everything it holds:
//! the connection to the back end closes, which cancels the work there, and KV cache handles are
//! released.

mod admission;
mod announcements;
mod answers;
mod attempt;
mod budgeting;
mod cache_probe;
mod candidates;
mod event_buffer;
mod first_event;
mod generate;
mod guards;
mod intake;
mod job;
mod lost_runs;
mod path_checks;
mod plain;
mod prefill;
mod probe;
mod profiling;
mod quarantining;
mod rate_wait;
mod relay;
mod relay_slots;
mod retry_pool;
mod send_gate;
mod silent_sends;
mod silent_service;
mod stopping;
mod stream_send;
mod taken_up;
mod unconfirmed_runs;
mod wait_policy;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use ponddrift_fleet::budget::{BudgetSettings, RetryBudget, RetryPool};
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::fingerprint::Fingerprint;
use ponddrift_fleet::placement::Placement;
use ponddrift_fleet::rate_limits::{Members, MembersTrust};
use ponddrift_fleet::routes::SplitScheduler;
use ponddrift_fleet::stages::StageWork;
use ponddrift_http::memory::MemoryBudget;
use ponddrift_http::{Body, CloseReason, ConnectionTimeouts};
use ponddrift_runtime::Runtime;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::back_end_paths::BackEndPaths;
use crate::changed::PendingSet;
use crate::connections::Connections;
use crate::dialect::Dialect;
use crate::fleet_state::FleetState;
use crate::metrics::{GaugeValues, Metrics, PathGaugeValues};
use crate::peers::StreamRecorders;
use crate::time::now;
use crate::usage::UsageRecorder;
pub(crate) use announcements::AnswerOrigin;
use lost_runs::EngineExitChecks;
use rate_wait::RateQueues;
pub(crate) use relay_slots::RelaySlot;
pub use send_gate::SendPermit;
use silent_service::SilentServices;
use stopping::StopProgress;
use unconfirmed_runs::UnconfirmedRuns;

/// Settings of the pipeline.
#[derive(Clone)]
pub struct PipelineSettings {
    /// Zone of this daemon.
    pub zone: Arc<str>,
    /// Limits on retries.
    pub budget: BudgetSettings,
    /// Limits on the requests held at a time.
    pub bounds: IntakeLimits,
    /// Counts the usage of tenants; `None` if usage is not reported.
    pub usage: Option<Arc<UsageRecorder>>,
    /// Whether profiles of back ends are kept if the configuration has long streams.
    pub profiles: bool,
    /// Whether back ends with an idle connection are preferred over others.
    pub prefers_idle_connections: bool,
}

/// Limits on the requests held at a time. Requests beyond them are refused before any processing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Maximum requests in progress.
    pub requests: usize,
    /// Maximum total bytes of request bodies, of heads that are being read, and of answers that are
    /// held for callers.
    pub held_bytes: usize,
    /// Maximum open connections of callers.
    pub connections: usize,
}

/// Serves requests.
pub struct Pipeline {
    runtime: Runtime,
    dialect: Arc<dyn Dialect>,
    state: Arc<FleetState>,
    connections: Arc<Connections>,
    paths: Arc<BackEndPaths>,
    /// Connections that this daemon relays for peers.
    relayed: AtomicUsize,
    engine_exit_checks: EngineExitChecks,
    unconfirmed_runs: UnconfirmedRuns,
    /// Requests whose quarantine state changed and has to be published to peers.
    changed_suspects: PendingSet<Fingerprint>,
    /// Back ends whose rate limits changed and have to be published to peers.
    changed_rate_limits: PendingSet<Arc<str>>,
    metrics: Arc<Metrics>,
    placement: Mutex<Placement>,
    budget: Mutex<RetryBudget>,
    budget_settings: BudgetSettings,
    /// The retry pool of the zone; used only if this daemon owns the pool.
    retry_pool: Mutex<RetryPool>,
    /// When the zone's retry pool last denied a retry.
    pool_last_empty: Mutex<Option<Instant>>,
    traffic_split: Mutex<SplitScheduler>,
    random: Mutex<Pcg64Mcg>,
    stop: StopProgress,
    daemons: AtomicUsize,
    in_progress: AtomicUsize,
    heavy_work_changed: Notify,
    prefixes_changed: Notify,
    rates_changed: Notify,
    rate_queues: RateQueues,
    silent_services: Arc<SilentServices>,
    stream_recorders: OnceLock<StreamRecorders>,
    /// When a new connection was last closed unread.
    last_closed_unread: Mutex<Option<Instant>>,
    /// When a connection was last closed for each reason.
    last_closed: Mutex<HashMap<CloseReason, Instant>>,
    /// Memory of the bodies of requests, and of answers that are held for callers.
    memory: MemoryBudget,
    bounds: IntakeLimits,
    usage: Option<Arc<UsageRecorder>>,
    keeps_profiles: bool,
    profiles_switched: Notify,
    prefers_idle_connections: bool,
}

impl Pipeline {
    /// Creates a pipeline that reads the fleet from `state`.
    #[must_use]
    pub fn new(
        runtime: &Runtime,
        dialect: Arc<dyn Dialect>,
        state: Arc<FleetState>,
        metrics: Arc<Metrics>,
        settings: &PipelineSettings,
    ) -> Arc<Self> {
        let paths = BackEndPaths::new(runtime, &state, &metrics);
        let mut placement = Placement::new(Arc::clone(&settings.zone));
        placement.link.set_megabits(state.own().link_megabits);
        let memory = MemoryBudget::new(settings.bounds.held_bytes);
        Arc::new(Self {
            runtime: runtime.clone(),
            dialect,
            state,
            connections: Connections::over_paths(
                runtime.clone(),
                Arc::clone(&metrics),
                Arc::clone(&paths),
                memory.clone(),
            ),
            paths,
            relayed: AtomicUsize::new(0),
            engine_exit_checks: EngineExitChecks::default(),
            unconfirmed_runs: UnconfirmedRuns::default(),
            changed_suspects: PendingSet::default(),
            changed_rate_limits: PendingSet::default(),
            metrics,
            placement: Mutex::new(placement),
            budget: Mutex::new(RetryBudget::new(settings.budget)),
            budget_settings: settings.budget,
            retry_pool: Mutex::default(),
            pool_last_empty: Mutex::default(),
            traffic_split: Mutex::default(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(runtime.seed)),
            stop: StopProgress::default(),
            daemons: AtomicUsize::new(1),
            in_progress: AtomicUsize::new(0),
            heavy_work_changed: Notify::new(),
            prefixes_changed: Notify::new(),
            rates_changed: Notify::new(),
            rate_queues: RateQueues::default(),
            silent_services: Arc::default(),
            stream_recorders: OnceLock::new(),
            last_closed_unread: Mutex::default(),
            last_closed: Mutex::default(),
            memory,
            bounds: settings.bounds,
            usage: settings.usage.clone(),
            keeps_profiles: settings.profiles,
            profiles_switched: Notify::new(),
            prefers_idle_connections: settings.prefers_idle_connections,
        })
    }

    /// Whether requests can be served: a configuration is known and no stop has begun.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.state.in_force().is_some()
    }

    /// Notified when work begins or ends that is large enough to be published to peers at once.
    #[must_use]
    pub fn heavy_work_changed(&self) -> &Notify {
        &self.heavy_work_changed
    }

    /// Wakes requests that wait for a shared prefix, after the known contents of engine caches
    /// changed.
    pub fn notify_prefix_change(&self) {
        self.prefixes_changed.notify_waiters();
    }

    /// Requests whose quarantine state has to be published to peers.
    #[must_use]
    pub(crate) const fn changed_suspects(&self) -> &PendingSet<Fingerprint> {
        &self.changed_suspects
    }

    /// Back ends whose rate limits have to be published to peers.
    #[must_use]
    pub(crate) const fn changed_rate_limits(&self) -> &PendingSet<Arc<str>> {
        &self.changed_rate_limits
    }

    /// Sets the daemons that share the rate limits of back ends, and whether that list is reliable.
    pub fn set_members(&self, members: &Arc<Members>, trust: MembersTrust) {
        self.placement()
            .rate_limits
            .set_members(members, trust, now());
    }

    /// Limits on what callers can make this daemon hold.
    #[must_use]
    pub const fn limits(&self) -> IntakeLimits {
        self.bounds
    }

    /// The account of the memory that callers can make grow.
    #[must_use]
    pub const fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Counts the usage of tenants; `None` if usage is not reported.
    #[must_use]
    pub const fn usage(&self) -> Option<&Arc<UsageRecorder>> {
        self.usage.as_ref()
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Sets the number of serving daemons, including this one.
    pub fn set_daemons(&self, daemons: usize) {
        self.daemons.store(daemons.max(1), Ordering::Relaxed);
        self.budget().set_daemons(daemons);
        self.placement().daemons = daemons;
    }

    /// Locks the state that back ends are chosen from.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sends no new requests to an engine for `time`, here and at peers, because its stage is about
    /// to change.
    pub fn pause_engine(&self, engine: &BackEnd, time: Duration) {
        self.placement().suspend_engine(engine, time, true, now());
        self.heavy_work_changed.notify_one();
    }

    /// Lets an engine that was paused take requests again.
    pub fn resume_engine(&self, id: &str) {
        self.placement().resume_engine(id);
    }

    /// Tells the placement of the next choice which connections are idle now.
    fn refresh_idle_connections(&self, placement: &mut Placement) {
        if self.prefers_idle_connections {
            placement.idle_connections = self.connections.idle_connections();
        }
    }

    /// Work of every service, summed over all daemons.
    #[must_use]
    pub fn fleet_work(&self) -> Vec<(Arc<str>, StageWork)> {
        self.placement().fleet_work(now()).to_vec()
    }

    /// Removes the state of back ends that no longer exist and closes expired idle connections.
    pub fn tidy(&self) {
        let present: std::collections::HashSet<Arc<str>> = self
            .state
            .back_ends()
            .iter()
            .map(|back_end| Arc::clone(&back_end.id))
            .collect();
        let mut placement = self.placement();
        placement.health.keep_only(|id| present.contains(id));
        placement.speed.keep_only(|id| present.contains(id));
        placement.prefixes.keep_only(|id| present.contains(id));
        placement.profiles.keep_only(|id| present.contains(id));
        placement.profiles.expire(now());
        placement
            .announcements
            .forget_absent(|id| present.contains(id), now());
        placement
            .rate_limits
            .forget_absent(|id| present.contains(id), now());
        drop(placement);
        self.tidy_exit_checks();
        self.state.forget_old(now());
        if let Some(in_force) = self.state.in_force() {
            self.traffic_split().keep_only(&in_force.configuration);
        }
        self.rate_queues.tidy();
        self.tidy_paths();
        self.connections.close_expired_idle();
    }

    /// Reads the current values of the gauges.
    #[must_use]
    pub fn gauge_values(&self) -> GaugeValues {
        let in_force = self.state.in_force();
        let back_ends = self.state.back_ends();
        let engines = || back_ends.iter().filter(|known| known.stage.is_some());
        let placement = self.placement();
        let requests = engines().map(|engine| placement.load.requests(&engine.id));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count"
        )]
        let engine_requests = requests.sum::<f64>() as u64;
        let ejected = placement.health.ejected().len();
        let announced = placement.announcements.counts(now());
        let rate_limited = placement.rate_limits.limited().len();
        let profiles = placement.profiles.summary(now());
        drop(placement);
        let suspects = self.state.quarantine().counts(now());
        GaugeValues {
            configuration_version: in_force
                .as_ref()
                .map_or(0, |known| known.configuration.version),
            configuration_age_s: in_force.map_or(0, |known| {
                now().saturating_duration_since(known.since).as_secs()
            }),
            newest_revision: self.state.newest_revision(),
            era: self.state.era().newest(),
            prefill_engines: engines()
                .filter(|known| known.stage == Some(Stage::Prefill))
                .count(),
            decode_engines: engines()
                .filter(|known| known.stage == Some(Stage::Decode))
                .count(),
            engine_slots: engines().map(|engine| u64::from(engine.slots)).sum(),
            engine_requests,
            daemons: self.daemons.load(Ordering::Relaxed),
            back_ends: back_ends.len(),
            ejected,
            backing_off: announced.backing_off,
            announced_draining: announced.draining,
            rate_limited,
            profiles,
            unusable_cold_times: self.state.unusable_cold_times(),
            unusable_entries: self.state.unusable_entries(),
            suspects: suspects.remembered,
            quarantined: suspects.quarantined,
            connections: self.connections.open_count(),
            paths: PathGaugeValues {
                cut: self.paths.paths().cut_count(),
                through_peers: self.paths.relays().open_count(),
                relayed: self.relayed_connections(),
            },
            in_progress: self.in_progress(),
            held_bytes: self.memory.used(),
            ..GaugeValues::default()
        }
    }

    /// Metrics of this daemon.
    #[must_use]
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn traffic_split(&self) -> MutexGuard<'_, SplitScheduler> {
        self.traffic_split
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn random(&self) -> MutexGuard<'_, Pcg64Mcg> {
        self.random
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Connections that this daemon may open to one back end: its share of `maximum`, at least two.
    fn connection_share(&self, maximum: u32) -> u32 {
        let daemons = u32::try_from(self.daemons.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        (maximum / daemons.max(1)).max(2)
    }
}

/// Handles the requests of callers with one pipeline.
pub struct CallerHandler(pub Arc<Pipeline>);

impl ponddrift_http::Handler for CallerHandler {
    fn handle(
        &self,
        request: Request<Incoming>,
        _peer: std::net::SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let pipeline = Arc::clone(&self.0);
        Box::pin(async move {
            let mut response = Arc::clone(&pipeline).serve(request).await;
            if pipeline.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    }

    fn admits_connection(&self, lag: Duration) -> bool {
        self.0.admits_connection(lag)
    }

    fn connection_timeouts(&self) -> ConnectionTimeouts {
        self.0.connection_timeouts()
    }

    fn connection_closed(&self, reason: CloseReason) {
        self.0.connection_closed(reason);
    }
}
