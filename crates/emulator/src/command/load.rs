//! `ponddrift-emulator load`.

use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr as _;
use ponddrift_http::{Client, ClientSettings};
use ponddrift_runtime::Runtime;
use serde::Serialize;

use super::arguments;
use crate::load::{
    LoadOutcome, LoadReport, LoadSettings, MixSettings, RequestIds, Targets, TraceEntry, Violation,
    compare, fetch_runs, generate, read_trace, run_load, write_trace,
};

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("load")
        .about("Open-loop load that checks every answer and compares it with the back ends' logs")
        .after_help(
            "Prints one JSON report. Ends with status 1 when an answer was wrong or ended silently, or \
             a log contradicts an answer.\n\
             Example: ponddrift-emulator load --target 127.0.0.1:8000 --runs 127.0.0.1:9001 \
             --mix '{\"per_second\":20,\"seconds\":10,\"postings\":0.1}'",
        )
        .arg(addresses("target", "A daemon (or engine) to send to; repeat for several").required(true))
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .help("The targets are daemons, which give each request an id of their own")
                .action(ArgAction::SetTrue),
        )
        .arg(addresses("runs", "A back end whose run log is compared; repeat for several"))
        .arg(file("trace", "Trace to send, JSON lines; without it a mix is generated"))
        .arg(file("write-trace", "Writes the trace that is sent to this file"))
        .arg(arguments::json("mix", "Mix to generate, for instance {\"per_second\":10,\"seconds\":10}"))
        .arg(milliseconds("time-limit-ms", "60000", "Time a request may take"))
        .arg(milliseconds("first-token-ms", "910", "Target of the time to the first token"))
        .arg(milliseconds("between-tokens-ms", "59", "Target of the time between tokens"))
        .arg(arguments::seed())
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .help(help)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

fn milliseconds(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("MILLISECONDS")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn duration(matches: &ArgMatches, name: &str) -> Duration {
    let number: u64 = *matches.get_one(name).expect("the argument has a default");
    Duration::from_millis(number)
}

fn chosen_addresses(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let chosen = matches.get_many::<SocketAddr>(name);
    chosen.map(|all| all.copied().collect()).unwrap_or_default()
}

fn chosen_trace(matches: &ArgMatches, seed: u64) -> eyre::Result<Vec<TraceEntry>> {
    if let Some(path) = matches.get_one::<PathBuf>("trace") {
        let file =
            File::open(path).wrap_err_with(|| format!("{} cannot be read", path.display()))?;
        return Ok(read_trace(BufReader::new(file))?);
    }
    let mix: MixSettings = arguments::read_json(matches, "mix")?;
    Ok(generate(&mix, seed))
}

#[derive(Serialize)]
struct Printed<'a> {
    report: &'a LoadReport,
    violations: &'a [Violation],
}

/// Sends the load and prints its report.
///
/// # Errors
/// When an argument does not fit, a log cannot be read, or something was wrong.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = arguments::runtime(matches);
    let trace = chosen_trace(matches, runtime.seed)?;
    if let Some(path) = matches.get_one::<PathBuf>("write-trace") {
        write_trace(File::create(path)?, &trace)?;
    }
    let settings = LoadSettings {
        targets: chosen_addresses(matches, "target"),
        time_limit: duration(matches, "time-limit-ms"),
        goals: Targets {
            first: duration(matches, "first-token-ms"),
            between: duration(matches, "between-tokens-ms"),
        },
        ids: if matches.get_flag("daemons") {
            RequestIds::Daemon
        } else {
            RequestIds::Caller
        },
    };
    let outcome = run_load(&runtime, settings, trace).await?;
    let violations = violations(&runtime, matches, &outcome).await?;
    let printed = Printed {
        report: &outcome.report,
        violations: &violations,
    };
    println!("{}", serde_json::to_string(&printed)?);
    let wrong = outcome.report.errors.len() + violations.len();
    eyre::ensure!(
        wrong == 0,
        "{wrong} answers are wrong or contradicted by a log: see the report"
    );
    Ok(())
}

async fn violations(
    runtime: &Runtime,
    matches: &ArgMatches,
    outcome: &LoadOutcome,
) -> eyre::Result<Vec<Violation>> {
    let back_ends = chosen_addresses(matches, "runs");
    if back_ends.is_empty() {
        return Ok(Vec::new());
    }
    let client = Client::new(runtime, ClientSettings::default());
    let logs = fetch_runs(&client, &back_ends)
        .await
        .map_err(|error| eyre::eyre!(error))?;
    Ok(compare(&outcome.results, &logs))
}
