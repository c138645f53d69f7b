//! The daemon program: command line, settings, logs, signals.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use eyre::{Context, Result};
use ponddrift_runtime::{Network, Runtime, TokioClock, TokioSpawner};
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::signal::unix::{SignalKind, signal};

use crate::Daemon;
use crate::logging::{self, LogGuard};
use crate::settings::{self, Settings};

/// Exit code when the settings file is invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Time between two calls of [`Daemon::run_maintenance`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

fn command() -> Command {
    Command::new("ponddrift-serve")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests to the engines and servers registered in a platform's store")
        .after_help(
            "SIGTERM starts a graceful stop. SIGHUP reads the settings file again and logs whether \
             it changed; changes take effect at the next start.\n\n\
             Example: ponddrift-serve --config etc/ponddrift-serve.toml",
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
                .help("Only check the settings file; exit with code 2 if it is invalid"),
        )
}

/// Runs the program with the arguments of the process until it is told to stop.
///
/// # Errors
/// If the settings cannot be read, the logs cannot be written or the daemon cannot be started.
pub fn run_from_arguments(network: Arc<dyn Network>) -> Result<ExitCode> {
    let matches = command().get_matches();
    let path = matches
        .get_one::<PathBuf>("config")
        .cloned()
        .unwrap_or_default();
    let settings = match settings::read(&path)? {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    if matches.get_flag("check") {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    let log_guard = logging::init(&settings.log_filter, settings.log_buffered_lines)?;
    // One thread: a daemon gets less than one core, so more threads would only add wake-ups.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(network, &path, settings, &log_guard))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(
    network: Arc<dyn Network>,
    path: &Path,
    settings: Settings,
    log_guard: &LogGuard,
) -> Result<()> {
    ponddrift_serving::time::use_system_clock();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let seed = SysRng
        .try_next_u64()
        .wrap_err("the operating system returned no random numbers")?;
    let runtime = Runtime {
        network,
        spawner: Arc::new(TokioSpawner),
        clock: Arc::new(TokioClock::start()),
        seed,
    };
    let daemon = Daemon::start(&runtime, settings).await?;
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => check_changed_settings(path, daemon.settings()),
            () = tokio::time::sleep(MAINTENANCE_INTERVAL) =>
                daemon.run_maintenance(log_guard.dropped_lines()),
        }
    }
    daemon.stop().await;
    Ok(())
}

/// Reads the settings file again and logs whether it differs from the settings in use.
///
/// The running daemon keeps its settings: changes take effect at the next start.
fn check_changed_settings(path: &Path, in_use: &Settings) {
    match settings::read(path) {
        Ok(Ok(settings)) => {
            let changed = settings != *in_use;
            tracing::info!(changed, "settings_read_again");
        }
        Ok(Err(faults)) => tracing::warn!(%faults, "settings_refused"),
        Err(error) => tracing::warn!(%error, "settings_unreadable"),
    }
}
