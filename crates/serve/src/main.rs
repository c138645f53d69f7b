//! `ponddrift-serve`: the daemon program that runs on each machine of a platform with a store.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use eyre::{Context, Result};
use ponddrift_runtime::Runtime;
use ponddrift_serve::Daemon;
use ponddrift_serve::logging::{self, LogGuard};
use ponddrift_serve::settings::{self, Settings};
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::signal::unix::{SignalKind, signal};

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

fn main() -> Result<ExitCode> {
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
    runtime.block_on(run(&path, settings, &log_guard))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(path: &Path, settings: Settings, log_guard: &LogGuard) -> Result<()> {
    ponddrift_serving::time::use_system_clock();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let seed = SysRng
        .try_next_u64()
        .wrap_err("the operating system returned no random numbers")?;
    let daemon = Daemon::start(&Runtime::system(seed), settings).await?;
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
