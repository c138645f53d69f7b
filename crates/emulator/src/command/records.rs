//! `ponddrift-emulator records`.

use clap::{ArgMatches, Command};
use serde_json::json;

use super::{announce, arguments, until_stopped};
use crate::records::Records;

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("records")
        .about("Plain back end: deterministic records by GET, counted postings by POST")
        .after_help(
            "GET /any/path[?size=BYTES], POST /any/path, GET /test/runs, GET|POST /test/settings.\n\
             Settings: {\"latency_ms\":0,\"latency_jitter_ms\":0,\"crossed\":0.0,\"truncated\":0.0,\
             \"reset\":0.0,\"error\":0.0,\"refused\":0.0,\"slow\":0.0,\"slow_ms\":0}",
        )
        .arg(arguments::listen("address", "Where it listens"))
        .arg(arguments::json("settings", "First latency and faults"))
        .arg(arguments::seed())
}

/// Runs until stopped.
///
/// # Errors
/// When an argument does not fit or the address cannot be bound.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = arguments::runtime(matches);
    let records = Records::new(&runtime, arguments::read_json(matches, "settings")?);
    let address = arguments::address(matches, "address");
    let server = records.listen(&runtime, address).await?;
    announce(json!({ "address": server.address() }))?;
    until_stopped().await
}
