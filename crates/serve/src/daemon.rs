//! One running daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, Result};
use ponddrift_fleet::topology::Member;
use ponddrift_fleet::usage::DaemonInstance;
use ponddrift_http::Server;
use ponddrift_platform_adapter::{PlatformDialect, PlatformProvider, PlatformStore};
use ponddrift_runtime::Runtime;
use ponddrift_serving::capacity::CapacityDependencies;
use ponddrift_serving::dialect::Dialect;
use ponddrift_serving::fleet_state::{FleetState, daemon_identity};
use ponddrift_serving::follow::FollowStatus;
use ponddrift_serving::leader::{LeaderSettings, Leadership};
use ponddrift_serving::metrics::{GaugeValues, Metrics};
use ponddrift_serving::peers::PeerSettings;
use ponddrift_serving::pipeline::{Pipeline, PipelineSettings};
use ponddrift_serving::provider::Provider;
use ponddrift_serving::store::FleetStore;
use ponddrift_serving::usage::UsageRecorder;
use ponddrift_serving::usage::report::{self, ReportSettings, ReportDependencies};
use ponddrift_serving::{capacity, follow, leader, listeners, orders, peers, quarantine};
use tokio::time::Instant;

use crate::process;
use crate::settings::Settings;

/// Time between two looks at what is still in progress while stopping.
const STOP_LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time at the end of a planned stop in which connections close.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// A running daemon.
pub struct Daemon {
    settings: Settings,
    pipeline: Arc<Pipeline>,
    callers: Server,
    _status: Server,
    _metrics: Option<Server>,
}

impl Daemon {
    /// Binds every address, and begins to follow the store.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(runtime: &Runtime, settings: Settings) -> Result<Self> {
        let store: Arc<dyn FleetStore> = Arc::new(PlatformStore::new(runtime, settings.store));
        let own = Member {
            name: Arc::clone(&settings.name),
            zone: Arc::clone(&settings.zone),
            peer_address: settings.peers,
            link_megabits: settings.link_megabits,
        };
        let state = Arc::new(FleetState::new(Arc::clone(&store), own));
        let metrics = Arc::new(Metrics::default());
        let recorder = settings.usage.map(|usage| {
            let instance = DaemonInstance {
                daemon: daemon_identity(&settings.name),
                start: runtime.seed,
            };
            UsageRecorder::new(Arc::clone(&runtime.clock), instance, usage.window)
        });
        let pipeline_settings = PipelineSettings {
            zone: Arc::clone(&settings.zone),
            budget: settings.budget,
            bounds: settings.bounds,
            usage: recorder.clone(),
        };
        let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
        let pipeline = Pipeline::new(
            runtime,
            Arc::clone(&dialect),
            Arc::clone(&state),
            Arc::clone(&metrics),
            &pipeline_settings,
        );
        let status = listeners::serve_status(runtime, settings.readiness, &pipeline, &metrics)
            .await
            .wrap_err("listen.readiness cannot be bound: is another process there?")?;
        let metrics_server = match settings.metrics {
            Some(address) => serve_metrics(runtime, address, &pipeline, &metrics).await,
            None => None,
        };
        let callers = listeners::serve_callers(runtime, settings.callers, &pipeline)
            .await
            .wrap_err("listen.callers cannot be bound: is another process there?")?;
        let (following, unpublished) = FollowStatus::new();
        follow::start(
            runtime,
            &store,
            &state,
            &following,
            settings.store_reads_per_second,
            &metrics,
        );
        let peer_settings = PeerSettings {
            seeds: settings.seeds.clone(),
        };
        peers::start(
            runtime,
            peer_settings,
            &state,
            &pipeline,
            &following,
            unpublished,
        )
        .await
        .wrap_err("listen.peers cannot be bound: is another process there?")?;
        quarantine::start(runtime, &store, &state);
        let probing = Arc::clone(&pipeline).probe_caches();
        runtime.spawner.spawn(Box::pin(probing));
        let leader_settings = LeaderSettings {
            holder: Arc::clone(&settings.name),
            lease: settings.leader_lease,
            fencing: settings.fencing,
            is_first_start: settings.is_first_start,
            leads_without_engines: settings.usage.is_some() || settings.capacity.is_some(),
        };
        let leadership = leader::start(runtime, leader_settings, &store, &state, &pipeline);
        orders::start(
            runtime,
            Arc::clone(&settings.name),
            leadership.clone(),
            &dialect,
            &state,
            &pipeline,
        );
        if let Some(provider) = settings.provider {
            let provider = PlatformProvider::new(runtime, provider);
            let parts = Parts {
                store,
                state,
                pipeline: Arc::clone(&pipeline),
                metrics,
                recorder,
                leadership,
                provider: Arc::new(provider),
            };
            start_provider_tasks(runtime, &settings, &parts);
        }
        tracing::info!(
            daemon = &*settings.name,
            zone = &*settings.zone,
            version = env!("CARGO_PKG_VERSION"),
            callers = %settings.callers,
            store = %settings.store,
            store_reads_per_second = settings.store_reads_per_second,
            budget_ratio = settings.budget.ratio,
            budget_slack = settings.budget.slack,
            leader_lease_ms = u64::try_from(settings.leader_lease.as_millis()).unwrap_or(u64::MAX),
            fencing = ?settings.fencing,
            usage = ?settings.usage,
            capacity = ?settings.capacity,
            stop_limit_ms = u64::try_from(settings.stop.limit.as_millis()).unwrap_or(u64::MAX),
            "started"
        );
        Ok(Self {
            settings,
            pipeline,
            callers,
            _status: status,
            _metrics: metrics_server,
        })
    }

    /// Its settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether it says that it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.pipeline.is_ready()
    }

    /// Forgets what is long past, and brings the figures up to date.
    pub fn tidy(&self, dropped_log_lines: usize) {
        self.pipeline.tidy();
        let values = GaugeValues {
            log_lines_dropped: dropped_log_lines,
            memory_bytes: process::memory_bytes(),
            descriptors: process::descriptors(),
            ..self.pipeline.gauge_values()
        };
        self.pipeline.metrics().set_gauges(&values);
    }

    /// A planned stop.
    ///
    /// 1. Not ready at once; each answer closes its connection.
    /// 2. After `stop.notice`, callers come no more: connections at rest are closed.
    /// 3. After `stop.accept`, whoever comes all the same is told at once to go elsewhere.
    /// 4. The end comes with the last request, and before `stop.limit` in any case.
    pub async fn stop(&self) {
        let stop = &self.settings.stop;
        let begun = Instant::now();
        tracing::info!(in_progress = self.pipeline.in_progress(), "stop_begins");
        self.pipeline.begin_stop();
        tokio::time::sleep_until(begun + stop.notice).await;
        self.callers.close_connections();
        tokio::time::sleep_until(begun + stop.accept).await;
        self.pipeline.refuse_new_requests();
        self.await_last_request(begun + stop.limit).await;
        let closing = tokio::time::timeout(CLOSE_LIMIT, self.callers.stop());
        if closing.await.is_err() {
            let in_progress = self.pipeline.in_progress();
            tracing::warn!(in_progress, "stop_cut_requests");
        }
        tracing::info!(
            in_progress = self.pipeline.in_progress(),
            took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX),
            "stopped"
        );
    }

    async fn await_last_request(&self, end: Instant) {
        while self.pipeline.in_progress() > 0 && Instant::now() < end {
            tokio::time::sleep(STOP_LOOK_INTERVAL).await;
        }
    }
}

/// What the tasks are made of that speak with the provider.
struct Parts {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    metrics: Arc<Metrics>,
    recorder: Option<Arc<UsageRecorder>>,
    leadership: Leadership,
    provider: Arc<dyn Provider>,
}

fn start_provider_tasks(runtime: &Runtime, settings: &Settings, parts: &Parts) {
    if let (Some(usage), Some(recorder)) = (settings.usage, &parts.recorder) {
        let report_settings = ReportSettings {
            holder: Arc::clone(&settings.name),
            due: usage.due,
        };
        let reporting = ReportDependencies {
            recorder: Arc::clone(recorder),
            store: Arc::clone(&parts.store),
            state: Arc::clone(&parts.state),
            provider: Arc::clone(&parts.provider),
            leadership: parts.leadership.clone(),
            metrics: Arc::clone(&parts.metrics),
        };
        report::start(runtime, report_settings, reporting);
    }
    if let Some(capacity_settings) = settings.capacity {
        let capacity_parts = CapacityDependencies {
            holder: Arc::clone(&settings.name),
            settings: capacity_settings,
            state: Arc::clone(&parts.state),
            pipeline: Arc::clone(&parts.pipeline),
            provider: Arc::clone(&parts.provider),
            leadership: parts.leadership.clone(),
        };
        capacity::start(runtime, capacity_parts);
    }
}

/// Figures at a place of their own. They are at the readiness address too, so that a place that is taken is no reason
/// not to serve.
async fn serve_metrics(
    runtime: &Runtime,
    address: SocketAddr,
    pipeline: &Arc<Pipeline>,
    metrics: &Arc<Metrics>,
) -> Option<Server> {
    match listeners::serve_status(runtime, address, pipeline, metrics).await {
        Ok(server) => Some(server),
        Err(error) => {
            tracing::warn!(%address, %error, "metrics_address_taken");
            None
        }
    }
}
