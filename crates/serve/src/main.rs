//! `ponddrift-serve`: the program on each machine of a platform with a store. It only wires.

mod logging;
mod settings;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Context, Result};
use ponddrift_http::Server;
use ponddrift_platform_adapter::{PlatformDialect, PlatformStore};
use ponddrift_runtime::Runtime;
use ponddrift_serving::fleet_state::FleetState;
use ponddrift_serving::metrics::Metrics;
use ponddrift_serving::peers::PeerSettings;
use ponddrift_serving::pipeline::{Pipeline, PipelineSettings};
use ponddrift_serving::store::{DaemonRecord, FleetStore};
use ponddrift_serving::{follow, front, peers};
use rand::TryRng;
use rand::rngs::SysRng;
use settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code when the settings are refused.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Time between two looks at what can be forgotten.
const TIDY_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two looks at what is still in progress while stopping.
const STOP_LOOK_INTERVAL: Duration = Duration::from_millis(50);

fn command() -> Command {
    Command::new("ponddrift-serve")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers' requests over the fleet that a platform's store names")
        .after_help(
            "SIGTERM is a planned stop, SIGHUP reads the settings again.\n\n\
             Example: ponddrift-serve --config /etc/ponddrift/serve.toml",
        )
        .arg(
            Arg::new("config")
                .long("config")
                .env(settings::PATH_VARIABLE)
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML); see docs/CONFIGURATION.md"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the settings; exit code 2 if they have faults"),
        )
}

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let path = config_path(&matches);
    let settings = match settings::read(&path)? {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    if matches.get_flag("check") {
        println!("the settings are in order");
        return Ok(ExitCode::SUCCESS);
    }
    let log = logging::start(&settings.log_filter)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(path, settings, &log))?;
    Ok(ExitCode::SUCCESS)
}

fn config_path(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("config")
        .cloned()
        .unwrap_or_default()
}

struct Daemon {
    pipeline: Arc<Pipeline>,
    state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    callers: Server,
    _status: Server,
}

async fn run(path: PathBuf, settings: Settings, log: &logging::Log) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let daemon = start(&settings).await?;
    tracing::info!(
        daemon = &*settings.name,
        zone = &*settings.zone,
        version = env!("CARGO_PKG_VERSION"),
        callers = %settings.callers,
        store = %settings.store,
        "started"
    );
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&path, &settings),
            () = tokio::time::sleep(TIDY_INTERVAL) => tidy(&daemon, log),
        }
    }
    stop(&daemon, &settings, &mut terminate).await;
    tracing::info!("stopped");
    Ok(())
}

async fn start(settings: &Settings) -> Result<Daemon> {
    let seed = SysRng
        .try_next_u64()
        .wrap_err("the system gives no random numbers")?;
    let runtime = Runtime::system(seed);
    let store: Arc<dyn FleetStore> = Arc::new(PlatformStore::new(&runtime, settings.store));
    let state = Arc::new(FleetState::new(Arc::clone(&store)));
    let metrics = Arc::new(Metrics::default());
    let pipeline_settings = PipelineSettings {
        zone: Arc::clone(&settings.zone),
        budget: settings.budget,
    };
    let pipeline = Pipeline::new(
        &runtime,
        Arc::new(PlatformDialect),
        Arc::clone(&state),
        Arc::clone(&metrics),
        &pipeline_settings,
    );
    let status = front::serve_status(&runtime, settings.readiness, &pipeline, &metrics)
        .await
        .wrap_err("listen.readiness cannot be bound: is another process there?")?;
    let callers = front::serve_callers(&runtime, settings.callers, &pipeline)
        .await
        .wrap_err("listen.callers cannot be bound: is another process there?")?;
    let record = DaemonRecord {
        name: Arc::clone(&settings.name),
        peer_address: settings.peers,
    };
    follow::start(&runtime, &store, &state, record);
    let peer_settings = PeerSettings {
        name: Arc::clone(&settings.name),
        address: settings.peers,
        seeds: settings.seeds.clone(),
    };
    peers::start(&runtime, peer_settings, &state, &pipeline)
        .await
        .wrap_err("listen.peers cannot be bound: is another process there?")?;
    Ok(Daemon {
        pipeline,
        state,
        metrics,
        callers,
        _status: status,
    })
}

/// Reads the settings again. What cannot change in a running process is told and stays.
fn reload(path: &std::path::Path, before: &Settings) {
    match settings::read(path) {
        Ok(Ok(settings)) => {
            let same = settings == *before;
            tracing::info!(changed = !same, "settings_read_again");
        }
        Ok(Err(faults)) => tracing::warn!(%faults, "settings_refused"),
        Err(error) => tracing::warn!(%error, "settings_unreadable"),
    }
}

fn tidy(daemon: &Daemon, log: &logging::Log) {
    daemon.pipeline.tidy();
    let metrics = &daemon.metrics;
    let version = daemon
        .state
        .in_force()
        .map_or(0, |in_force| in_force.configuration.version);
    metrics
        .configuration_version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    let daemons = daemon.state.daemons().len();
    metrics
        .daemons
        .set(i64::try_from(daemons).unwrap_or(i64::MAX));
    let in_progress = daemon.pipeline.in_progress();
    metrics
        .in_progress
        .set(i64::try_from(in_progress).unwrap_or(i64::MAX));
    let dropped = log.dropped_lines();
    metrics
        .log_lines_dropped
        .set(i64::try_from(dropped).unwrap_or(i64::MAX));
}

/// A planned stop: not ready at once, yet serving until the platform sends no more and all requests have ended.
async fn stop(daemon: &Daemon, settings: &Settings, terminate: &mut Signal) {
    let begun = tokio::time::Instant::now();
    tracing::info!(in_progress = daemon.pipeline.in_progress(), "stop_begins");
    daemon.pipeline.begin_stop();
    let end = begun + settings.stop_limit;
    let unseen_until = begun + settings.stop_notice;
    loop {
        let now = tokio::time::Instant::now();
        let is_idle = daemon.pipeline.in_progress() == 0;
        if now >= end || (is_idle && now >= unseen_until) {
            break;
        }
        tokio::select! {
            biased;
            _ = terminate.recv() => {}
            () = tokio::time::sleep(STOP_LOOK_INTERVAL) => {}
        }
    }
    let left = end.saturating_duration_since(tokio::time::Instant::now());
    if tokio::time::timeout(left, daemon.callers.stop())
        .await
        .is_err()
    {
        let in_progress = daemon.pipeline.in_progress();
        tracing::warn!(in_progress, "stop_cut_requests");
    }
}
