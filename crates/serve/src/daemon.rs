//! Start, maintenance and graceful stop of one daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

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
use ponddrift_serving::usage::report::{self, ReportDependencies, ReportSettings};
use ponddrift_serving::{
    capacity, follow, leader, listeners, orders, peers, quarantine, time, version_recorder,
};

use crate::process;
use crate::settings::Settings;

/// Interval at which a stopping daemon checks whether requests are still in progress.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for connections to close at the end of a graceful stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A running daemon.
pub struct Daemon {
    settings: Settings,
    pipeline: Arc<Pipeline>,
    callers_server: Server,
    _readiness_server: Server,
    _metrics_server: Option<Server>,
}

impl Daemon {
    /// Binds all listen addresses and starts the background tasks.
    ///
    /// # Errors
    /// When a listen address cannot be bound. A failure to bind `listen.metrics` is only logged.
    pub async fn start(runtime: &Runtime, settings: Settings) -> Result<Self> {
        let store: Arc<dyn FleetStore> =
            Arc::new(PlatformStore::new(runtime, settings.store_address));
        let own_member = Member {
            name: Arc::clone(&settings.name),
            zone: Arc::clone(&settings.zone),
            peer_address: settings.peers_address,
            link_megabits: settings.link_megabits_per_second,
        };
        let state = Arc::new(FleetState::new(Arc::clone(&store), own_member));
        let metrics = Arc::new(Metrics::default());
        let usage_recorder = settings.usage.map(|usage| {
            let instance = DaemonInstance {
                daemon: daemon_identity(&settings.name),
                start: runtime.seed,
            };
            UsageRecorder::new(Arc::clone(&runtime.clock), instance, usage.window)
        });
        let pipeline_settings = PipelineSettings {
            zone: Arc::clone(&settings.zone),
            budget: settings.retry_budget,
            bounds: settings.intake_bounds,
            usage: usage_recorder.clone(),
            profiles: settings.profiles,
            prefers_idle_connections: settings.capacity_by_forecast,
        };
        let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
        let pipeline = Pipeline::new(
            runtime,
            Arc::clone(&dialect),
            Arc::clone(&state),
            Arc::clone(&metrics),
            &pipeline_settings,
        );
        let readiness_server =
            listeners::serve_status(runtime, settings.readiness_address, &pipeline, &metrics)
                .await
                .wrap_err("cannot bind listen.readiness: is another process using this address?")?;
        let metrics_server = match settings.metrics_address {
            Some(address) => serve_metrics(runtime, address, &pipeline, &metrics).await,
            None => None,
        };
        let callers_server = listeners::serve_callers(runtime, settings.callers_address, &pipeline)
            .await
            .wrap_err("cannot bind listen.callers: is another process using this address?")?;
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
        .wrap_err("cannot bind listen.peers: is another process using this address?")?;
        quarantine::start(runtime, &store, &state);
        let cache_probe = Arc::clone(&pipeline).probe_caches();
        runtime.spawner.spawn(Box::pin(cache_probe));
        let switch_profiles = Arc::clone(&pipeline).switch_profiles();
        runtime.spawner.spawn(Box::pin(switch_profiles));
        let confirm_runs = Arc::clone(&pipeline).confirm_runs_on_changes();
        runtime.spawner.spawn(Box::pin(confirm_runs));
        let handle_cut_paths = Arc::clone(&pipeline).handle_cut_paths();
        runtime.spawner.spawn(Box::pin(handle_cut_paths));
        let check_cut_paths = Arc::clone(&pipeline).check_cut_paths();
        runtime.spawner.spawn(Box::pin(check_cut_paths));
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
        version_recorder::start(
            runtime,
            settings.is_first_start,
            leadership.clone(),
            &store,
            &state,
            &pipeline,
        );
        if let Some(provider) = settings.provider_address {
            let provider = PlatformProvider::new(runtime, provider);
            let dependencies = ProviderTaskDependencies {
                store,
                state,
                pipeline: Arc::clone(&pipeline),
                metrics,
                usage_recorder,
                leadership,
                provider: Arc::new(provider),
            };
            start_provider_tasks(runtime, &settings, &dependencies);
        }
        tracing::info!(
            daemon = &*settings.name,
            zone = &*settings.zone,
            version = env!("CARGO_PKG_VERSION"),
            callers = %settings.callers_address,
            store = %settings.store_address,
            store_reads_per_second = settings.store_reads_per_second,
            budget_ratio = settings.retry_budget.ratio,
            budget_slack = settings.retry_budget.slack,
            leader_lease_ms = u64::try_from(settings.leader_lease.as_millis()).unwrap_or(u64::MAX),
            fencing = ?settings.fencing,
            usage = ?settings.usage,
            capacity = ?settings.capacity,
            profiles = settings.profiles,
            capacity_by_forecast = settings.capacity_by_forecast,
            stop_limit_ms = u64::try_from(settings.stop.exit_deadline.as_millis()).unwrap_or(u64::MAX),
            "started"
        );
        Ok(Self {
            settings,
            pipeline,
            callers_server,
            _readiness_server: readiness_server,
            _metrics_server: metrics_server,
        })
    }

    /// The settings the daemon was started with.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether the readiness check succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.pipeline.is_ready()
    }

    /// Removes expired state and updates the gauges. Call it every few seconds.
    pub fn run_maintenance(&self, dropped_log_lines: usize) {
        self.pipeline.tidy();
        let values = GaugeValues {
            log_lines_dropped: dropped_log_lines,
            memory_bytes: process::resident_memory_bytes(),
            descriptors: process::open_file_descriptors(),
            ..self.pipeline.gauge_values()
        };
        self.pipeline.metrics().set_gauges(&values);
    }

    /// Stops the daemon gracefully.
    ///
    /// 1. Readiness checks fail at once, and every response closes its connection. Records of streams
    ///    are handed over to other daemons, and those that came since again at the end.
    /// 2. After `notice_period`, idle connections are closed.
    /// 3. After `accept_period`, new requests are refused at once.
    /// 4. After `exit_deadline`, requests that are still in progress are answered.
    /// 5. The stop ends once no request is in progress, no connection is relayed and all callers'
    ///    connections are closed, at the latest `CLOSE_TIMEOUT` after `exit_deadline`.
    pub async fn stop(&self) {
        let stop = &self.settings.stop;
        let started_at = time::now();
        tracing::info!(in_progress = self.pipeline.in_progress(), "stop_begins");
        let exit_deadline = started_at + stop.exit_deadline;
        self.pipeline.begin_stop(exit_deadline);
        let notice_end = started_at + stop.notice_period;
        // Slow peers must not delay the stop. What is left is handed over at its end.
        time::timeout_at(notice_end, self.pipeline.hand_over_stream_records()).await;
        time::sleep_until(notice_end).await;
        self.callers_server.close_connections();
        time::sleep_until(started_at + stop.accept_period).await;
        self.pipeline.refuse_new_requests();
        self.wait_until_idle(exit_deadline).await;
        self.pipeline.end_requests();
        let close_deadline = exit_deadline + CLOSE_TIMEOUT;
        let closing = time::timeout_at(close_deadline, self.callers_server.stop());
        let handing_over =
            time::timeout_at(close_deadline, self.pipeline.hand_over_stream_records());
        let (closed, _handed_over) = tokio::join!(closing, handing_over);
        if closed.is_none() {
            tracing::warn!(
                in_progress = self.pipeline.in_progress(),
                connections = self.callers_server.open_connections(),
                "stop_cut_connections"
            );
        }
        tracing::info!(
            in_progress = self.pipeline.in_progress(),
            took_ms = u64::try_from(
                time::now()
                    .saturating_duration_since(started_at)
                    .as_millis()
            )
            .unwrap_or(u64::MAX),
            "stopped"
        );
    }

    async fn wait_until_idle(&self, deadline: Instant) {
        while !self.pipeline.is_idle() && time::now() < deadline {
            time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Dependencies of the tasks that call the provider.
struct ProviderTaskDependencies {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    metrics: Arc<Metrics>,
    usage_recorder: Option<Arc<UsageRecorder>>,
    leadership: Leadership,
    provider: Arc<dyn Provider>,
}

fn start_provider_tasks(
    runtime: &Runtime,
    settings: &Settings,
    dependencies: &ProviderTaskDependencies,
) {
    if let (Some(usage), Some(usage_recorder)) = (settings.usage, &dependencies.usage_recorder) {
        let report_settings = ReportSettings {
            holder: Arc::clone(&settings.name),
            due: usage.due,
        };
        let reporting = ReportDependencies {
            recorder: Arc::clone(usage_recorder),
            store: Arc::clone(&dependencies.store),
            state: Arc::clone(&dependencies.state),
            provider: Arc::clone(&dependencies.provider),
            leadership: dependencies.leadership.clone(),
            metrics: Arc::clone(&dependencies.metrics),
        };
        report::start(runtime, report_settings, reporting);
    }
    if let Some(capacity_settings) = settings.capacity {
        let capacity_parts = CapacityDependencies {
            holder: Arc::clone(&settings.name),
            settings: capacity_settings,
            by_forecast: settings.capacity_by_forecast,
            state: Arc::clone(&dependencies.state),
            pipeline: Arc::clone(&dependencies.pipeline),
            provider: Arc::clone(&dependencies.provider),
            leadership: dependencies.leadership.clone(),
        };
        capacity::start(runtime, capacity_parts);
    }
}

/// Serves metrics at an address of their own. A failure to bind it is only logged: the readiness
/// address serves the same metrics.
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
