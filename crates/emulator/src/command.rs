//! Subcommands of `ponddrift-emulator`, one module each.

mod arguments;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fault_proxy;
pub mod load;
pub mod overhead;
pub mod platform;
pub mod records;

use std::io::Write as _;

use clap::{ArgMatches, Command};
use serde::Serialize;

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("ponddrift-emulator")
        .about("Stand-ins of the systems around ponddrift, load and experiments")
        .long_about(
            "Stand-ins of the systems around ponddrift, for tests and demonstrations on loopback.\n\
             Each stand-in prints one JSON line with \"ready\":true and its addresses on standard \
             output once it listens, logs JSON lines to standard error, and stops on SIGTERM.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::command())
        .subcommand(platform::command())
        .subcommand(engine::command())
        .subcommand(records::command())
        .subcommand(fault_proxy::command())
        .subcommand(load::command())
        .subcommand(experiment::command())
        .subcommand(overhead::command())
}

/// Runs the chosen subcommand.
///
/// # Errors
/// When an argument does not fit or an address cannot be bound.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    match matches.subcommand() {
        Some(("demo", chosen)) => demo::run(chosen).await,
        Some(("platform", chosen)) => platform::run(chosen).await,
        Some(("engine", chosen)) => engine::run(chosen).await,
        Some(("fault-proxy", chosen)) => fault_proxy::run(chosen).await,
        Some(("load", chosen)) => load::run(chosen).await,
        Some(("overhead", chosen)) => overhead::run(chosen).await,
        Some(("experiment", chosen)) => experiment::run(chosen),
        Some(("records", chosen)) => records::run(chosen).await,
        _ => eyre::bail!("choose a subcommand: see `ponddrift-emulator --help`"),
    }
}

/// First line on standard output.
#[derive(Serialize)]
struct Ready<T> {
    ready: bool,
    #[serde(flatten)]
    addresses: T,
}

/// Tells on standard output that everything listens.
fn announce<T: Serialize>(addresses: T) -> eyre::Result<()> {
    let ready = Ready {
        ready: true,
        addresses,
    };
    let mut output = std::io::stdout().lock();
    writeln!(output, "{}", serde_json::to_string(&ready)?)?;
    output.flush()?;
    Ok(())
}

/// Returns at SIGTERM or SIGINT.
async fn until_stopped() -> eyre::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _signal = terminate.recv() => {}
        _signal = interrupt.recv() => {}
    }
    tracing::info!("stopping");
    Ok(())
}
