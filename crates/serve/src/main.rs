//! `ponddrift-serve`: the program on each machine of a platform with a store.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use eyre::{Context, Result};
use ponddrift_runtime::Runtime;
use ponddrift_serve::Daemon;
use ponddrift_serve::logging::{self, Log};
use ponddrift_serve::settings::{self, Settings};
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the settings are refused.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Time between two looks at what can be forgotten.
const TIDY_INTERVAL: Duration = Duration::from_secs(5);

fn command() -> Command {
    Command::new("ponddrift-serve")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers' requests over the fleet that a platform's store names")
        .after_help(
            "SIGTERM is a planned stop, SIGHUP reads the settings again.\n\n\
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
                .help("Only checks the settings; exit code 2 if they have faults"),
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
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    if matches.get_flag("check") {
        println!("the settings are in order");
        return Ok(ExitCode::SUCCESS);
    }
    let log = logging::start(&settings.log_filter, settings.log_lines_waiting)?;
    // One thread: a machine has a part of one core, and another thread would only add wake-ups.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(&path, settings, &log))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(path: &Path, settings: Settings, log: &Log) -> Result<()> {
    ponddrift_serving::time::use_system_clock();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let seed = SysRng
        .try_next_u64()
        .wrap_err("the system gives no random numbers")?;
    let daemon = Daemon::start(&Runtime::system(seed), settings).await?;
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(path, daemon.settings()),
            () = tokio::time::sleep(TIDY_INTERVAL) => daemon.tidy(log.dropped_lines()),
        }
    }
    daemon.stop().await;
    Ok(())
}

/// Reads the settings again. What cannot change in a running process is told and stays.
fn reload(path: &Path, before: &Settings) {
    match settings::read(path) {
        Ok(Ok(settings)) => {
            let changed = settings != *before;
            tracing::info!(changed, "settings_read_again");
        }
        Ok(Err(faults)) => tracing::warn!(%faults, "settings_refused"),
        Err(error) => tracing::warn!(%error, "settings_unreadable"),
    }
}
