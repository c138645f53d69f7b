//! Running the chosen command.

use std::fs::File;
use std::io::{self, BufReader, IsTerminal, Read};
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use ponddrift_daemon::settings::{self, KeyAssignment};
use ponddrift_query::{Statement, parse};

use crate::arguments::{self, OutputForm};
use crate::client::{Change, DaemonClient};
use crate::error::CliError;
use crate::interactive::Terminal;
use crate::losses::Losses;
use crate::output;

/// Who an interactive change is by, unless the environment says.
const DEFAULT_OPERATOR: &str = "operator";
/// Environment variable with the operator's name.
const OPERATOR_VARIABLE: &str = "PONDDRIFT_OPERATOR";
/// How long an interactive change waits to be in force everywhere.
const INTERACTIVE_WAIT: Duration = Duration::from_secs(6);

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("check-config", chosen)) => check_config(chosen),
        Some(("losses", chosen)) => add_up_losses(chosen),
        Some(("completions", chosen)) => {
            completions(chosen);
            Ok(())
        }
        Some((name, chosen)) => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(talk(name, chosen))
        }
        None => Err(CliError::NoStatement),
    }
}

fn add_up_losses(matches: &ArgMatches) -> Result<(), CliError> {
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

async fn talk(name: &str, matches: &ArgMatches) -> Result<(), CliError> {
    let client = DaemonClient::new(arguments::daemons(matches));
    let form = arguments::output_form(matches);
    match name {
        "status" => output::fields(&client.status().await?, form),
        "apply" => apply(&client, matches, form).await,
        _ => query(&client, matches, form).await,
    }
}

async fn query(
    client: &DaemonClient,
    matches: &ArgMatches,
    form: OutputForm,
) -> Result<(), CliError> {
    let given = matches.get_one::<String>("statement");
    if given.is_none() && io::stdin().is_terminal() {
        return converse(client, form).await;
    }
    let answer = client.query(&statement(given)?).await?;
    output::rows(&answer, form)
}

async fn apply(
    client: &DaemonClient,
    matches: &ArgMatches,
    form: OutputForm,
) -> Result<(), CliError> {
    let statement = statement(matches.get_one::<String>("statement"))?;
    let operator = matches.get_one::<String>("operator");
    let wait_ms = matches.get_one::<u64>("wait-ms").copied();
    let change = Change {
        statement: &statement,
        operator: operator.map_or(DEFAULT_OPERATOR, String::as_str),
        wait: wait_ms.map_or(INTERACTIVE_WAIT, Duration::from_millis),
    };
    output::applied(&client.apply(change).await?, form)
}

/// The statement that was given, or else standard input.
fn statement(given: Option<&String>) -> Result<String, CliError> {
    let text = match given {
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

/// Reads statements at the terminal until its end; one that fails does not end the others.
async fn converse(client: &DaemonClient, form: OutputForm) -> Result<(), CliError> {
    let mut terminal = Terminal::open()?;
    while let Some(text) = terminal.next()? {
        if let Err(error) = one(client, &text, form).await {
            eprintln!("{error}");
        }
    }
    Ok(())
}

async fn one(client: &DaemonClient, text: &str, form: OutputForm) -> Result<(), CliError> {
    // What cannot be parsed is sent as a question: the daemon's refusal says what to write.
    if !matches!(parse(text), Ok(Statement::Change(_))) {
        return output::rows(&client.query(text).await?, form);
    }
    let operator = std::env::var(OPERATOR_VARIABLE);
    let change = Change {
        statement: text,
        operator: operator.as_deref().unwrap_or(DEFAULT_OPERATOR),
        wait: INTERACTIVE_WAIT,
    };
    output::applied(&client.apply(change).await?, form)
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
    println!("{}: the settings are in order", path.display());
    Ok(())
}

fn completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = arguments::command();
        clap_complete::generate(*shell, &mut command, "ponddrift", &mut io::stdout());
    }
}
