//! `ponddrift-emulator`: stand-ins of the outside systems, and the kit around them.

use std::process::ExitCode;

use ponddrift_emulator::command;
use tracing_subscriber::EnvFilter;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command::command().get_matches();
    // Those with daemons in the process print for people; the daemons' log would drown it.
    let default_filter = match matches.subcommand_name() {
        Some("demo" | "overhead") => "error",
        _ => "info",
    };
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .with_env_filter(
            EnvFilter::try_from_default_env().unwrap_or_else(|_| default_filter.into()),
        )
        .init();
    match command::run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            tracing::error!(error = format!("{report:#}"), "ended");
            ExitCode::FAILURE
        }
    }
}
