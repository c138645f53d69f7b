//! `ponddriftd`: the daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Context, Result};
use ponddrift_core::Incarnation;
use ponddrift_daemon::settings::{self, Faults, KeyAssignment, Settings};
use ponddrift_daemon::{Daemon, DaemonAddresses, logging};
use ponddrift_runtime::Runtime;
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("ponddriftd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers' requests over a fixed fleet of model engines and plain back ends")
        .after_help(
            "SIGTERM is a planned stop: nothing new is taken, every request in progress ends, then\n\
             the process exits. A second SIGTERM ends it at once.\n\n\
             Example: ponddriftd --config etc/ponddriftd.toml --set daemon.zone=b",
        )
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML); see docs/CONFIGURATION.md"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("KEY=VALUE")
                .action(ArgAction::Append)
                .value_parser(value_parser!(KeyAssignment))
                .help("Sets one key; wins over the environment and the file"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the settings; exit code 2 if they have faults"),
        )
        .arg(
            Arg::new("template")
                .long("template")
                .action(ArgAction::SetTrue)
                .help("Prints the commented settings template"),
        )
}

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    if matches.get_flag("template") {
        print!("{}", settings::template());
        return Ok(ExitCode::SUCCESS);
    }
    let settings = match read_settings(&matches)? {
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
    run(settings)?;
    Ok(ExitCode::SUCCESS)
}

fn read_settings(matches: &ArgMatches) -> Result<Result<Settings, Faults>> {
    let text = match matches.get_one::<PathBuf>("config") {
        Some(path) => std::fs::read_to_string(path)
            .wrap_err_with(|| format!("{} cannot be read: check --config", path.display()))?,
        None => String::new(),
    };
    let from_environment =
        std::env::vars().filter_map(|(name, value)| KeyAssignment::from_environment(&name, &value));
    let from_flags = matches
        .get_many::<KeyAssignment>("set")
        .unwrap_or_default()
        .cloned();
    let assignments: Vec<KeyAssignment> = from_environment.chain(from_flags).collect();
    Ok(settings::load(&text, &assignments))
}

#[tokio::main]
async fn run(settings: Settings) -> Result<()> {
    logging::start(&settings.log_filter)?;
    let seed = SysRng
        .try_next_u64()
        .wrap_err("the system gives no random numbers")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(Runtime::system(seed), settings, incarnation()?).await?;
    println!("{}", ready_line(&daemon)?);
    next_signal(&mut terminate, &mut interrupt).await;
    tracing::info!("graceful shutdown started");
    tokio::select! {
        biased;
        () = next_signal(&mut terminate, &mut interrupt) => {
            tracing::warn!("received a second signal; exiting immediately");
        }
        () = daemon.stop() => tracing::info!("graceful shutdown complete"),
    }
    Ok(())
}

/// Uses the wall clock in milliseconds as the incarnation number. It grows with each start,
/// provided that a machine starts at most once per millisecond and its clock does not go back.
fn incarnation() -> Result<Incarnation> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(Incarnation(u64::try_from(since_epoch.as_millis())?))
}

/// Formats the bound addresses as one JSON line, which tells the parent process that startup is
/// complete.
fn ready_line(daemon: &Daemon) -> Result<String> {
    #[derive(serde::Serialize)]
    struct Ready {
        ready: bool,
        #[serde(flatten)]
        addresses: DaemonAddresses,
    }
    Ok(serde_json::to_string(&Ready {
        ready: true,
        addresses: daemon.addresses(),
    })?)
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
