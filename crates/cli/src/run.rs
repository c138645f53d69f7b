//! Runs the selected subcommand.

use std::fs::File;
use std::io::{self, BufReader, IsTerminal, Read};
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use ponddrift_daemon::settings::{self, KeyAssignment};
use ponddrift_query::{Statement, parse};

use crate::arguments::{self, OutputFormat};
use crate::client::{Change, DaemonClient};
use crate::error::CliError;
use crate::interactive::Terminal;
use crate::losses::Losses;
use crate::output;

/// Operator name used if the environment names none.
const DEFAULT_OPERATOR: &str = "operator";
/// Environment variable with the operator's name.
const OPERATOR_VARIABLE: &str = "PONDDRIFT_OPERATOR";
/// Maximum time to wait until a change is in force on all daemons.
const DEFAULT_WAIT: Duration = Duration::from_secs(6);

/// Runs the subcommand given on the command line.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("check-config", subcommand_matches)) => check_config(subcommand_matches),
        Some(("losses", subcommand_matches)) => summarize_losses(subcommand_matches),
        Some(("completions", subcommand_matches)) => {
            completions(subcommand_matches);
            Ok(())
        }
        Some((name, subcommand_matches)) => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(run_daemon_command(name, subcommand_matches))
        }
        None => Err(CliError::NoStatement),
    }
}

fn summarize_losses(matches: &ArgMatches) -> Result<(), CliError> {
    let mut losses = Losses::default();
    let logs = arguments::logs(matches);
    if logs.is_empty() {
        losses.read(io::stdin().lock())?;
    }
    for log in logs {
        let file = File::open(&log).map_err(|source| CliError::File { path: log, source })?;
        losses.read(BufReader::new(file))?;
    }
    losses.write(&mut io::stdout().lock())
}

async fn run_daemon_command(name: &str, matches: &ArgMatches) -> Result<(), CliError> {
    let client = DaemonClient::new(arguments::daemons(matches));
    let format = arguments::output_format(matches);
    match name {
        "status" => output::print_fields(&client.status().await?, format),
        "apply" => apply(&client, matches, format).await,
        _ => query(&client, matches, format).await,
    }
}

async fn query(
    client: &DaemonClient,
    matches: &ArgMatches,
    format: OutputFormat,
) -> Result<(), CliError> {
    let argument = matches.get_one::<String>("statement");
    if argument.is_none() && io::stdin().is_terminal() {
        return run_interactive(client, format).await;
    }
    let answer = client.query(&statement(argument)?).await?;
    output::print_rows(&answer, format)
}

async fn apply(
    client: &DaemonClient,
    matches: &ArgMatches,
    format: OutputFormat,
) -> Result<(), CliError> {
    let statement = statement(matches.get_one::<String>("statement"))?;
    let operator = matches.get_one::<String>("operator");
    let wait_ms = matches.get_one::<u64>("wait-ms").copied();
    let change = Change {
        statement: &statement,
        operator: operator.map_or(DEFAULT_OPERATOR, String::as_str),
        wait: wait_ms.map_or(DEFAULT_WAIT, Duration::from_millis),
    };
    output::print_apply_result(&client.apply(change).await?, format)
}

/// Returns the statement argument, or standard input if there is none.
fn statement(argument: Option<&String>) -> Result<String, CliError> {
    let text = match argument {
        Some(text) => text.clone(),
        None => {
            let mut text = String::new();
            io::stdin().lock().read_to_string(&mut text)?;
            text
        }
    };
    if text.trim().is_empty() {
        return Err(CliError::NoStatement);
    }
    Ok(text)
}

/// Runs statements from the terminal until end of input.
/// Errors are printed and do not stop the loop.
async fn run_interactive(client: &DaemonClient, format: OutputFormat) -> Result<(), CliError> {
    let mut terminal = Terminal::open()?;
    while let Some(text) = terminal.next()? {
        if let Err(error) = run_statement(client, &text, format).await {
            eprintln!("{error}");
        }
    }
    Ok(())
}

async fn run_statement(
    client: &DaemonClient,
    text: &str,
    format: OutputFormat,
) -> Result<(), CliError> {
    // Text that does not parse is sent as a query, so that the daemon reports the error.
    if !matches!(parse(text), Ok(Statement::Change(_))) {
        return output::print_rows(&client.query(text).await?, format);
    }
    let operator = std::env::var(OPERATOR_VARIABLE);
    let change = Change {
        statement: text,
        operator: operator.as_deref().unwrap_or(DEFAULT_OPERATOR),
        wait: DEFAULT_WAIT,
    };
    output::print_apply_result(&client.apply(change).await?, format)
}

fn check_config(matches: &ArgMatches) -> Result<(), CliError> {
    let path = matches.get_one::<PathBuf>("file").cloned();
    let path = path.ok_or(CliError::NoStatement)?;
    let text = std::fs::read_to_string(&path).map_err(|source| CliError::File {
        path: path.clone(),
        source,
    })?;
    let no_assignments: [KeyAssignment; 0] = [];
    settings::load(&text, &no_assignments).map_err(CliError::Settings)?;
    println!("{}: the settings are valid", path.display());
    Ok(())
}

fn completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = arguments::command();
        clap_complete::generate(*shell, &mut command, "ponddrift", &mut io::stdout());
    }
}
