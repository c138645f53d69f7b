//! Definition of the command line and accessors for its arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::{EnumValueParser, PossibleValue};
use clap::{Arg, ArgAction, ArgMatches, Command, ValueEnum, value_parser};
use clap_complete::Shell;

/// Environment variable with a comma-separated list of the daemons' operator addresses.
const DAEMON_VARIABLE: &str = "PONDDRIFT_DAEMON";

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// A human-readable table.
    Table,
    /// The JSON that the daemon returned.
    Json,
    /// Comma-separated values with a header row.
    Csv,
}

impl ValueEnum for OutputFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json, Self::Csv]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(match self {
            Self::Table => PossibleValue::new("table").help("Human-readable table"),
            Self::Json => PossibleValue::new("json").help("JSON as returned by the daemon"),
            Self::Csv => PossibleValue::new("csv")
                .help("Comma-separated values with a header row; NULL is an empty field"),
        })
    }
}

/// Builds the command line with all subcommands.
pub(crate) fn command() -> Command {
    Command::new("ponddrift")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Queries the state of ponddrift and changes its configuration")
        .after_help(
            "Examples:\n  \
             ponddrift --daemon 10.0.0.7:8081 query \"SELECT name, role, reason FROM engines WHERE zone = 'a'\"\n  \
             ponddrift query \"SELECT * FROM decisions WHERE kind = 'role' ORDER BY at_ms DESC LIMIT 10\"\n  \
             ponddrift apply \"UPDATE services SET version = 7 WHERE name = 'reconcile' AND revision = 41\"\n  \
             ponddrift check-config etc/ponddriftd.toml\n\n\
             Exit codes: 0 success; 1 statement rejected, the message says what to write instead; 2 invalid\n\
             usage or settings; 3 no daemon answered. `ponddrift query --help` shows the tables.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(daemon())
        .arg(output())
        .subcommand(query())
        .subcommand(apply())
        .subcommand(Command::new("status").about("Shows the status of one daemon"))
        .subcommand(check_config())
        .subcommand(losses())
        .subcommand(completions())
}

fn daemon() -> Arg {
    Arg::new("daemon")
        .long("daemon")
        .global(true)
        .value_name("IP:PORT")
        .env(DAEMON_VARIABLE)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:8081")
        .help("Operator address of a daemon; if several are given, they are tried in order")
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_name("FORMAT")
        .value_parser(EnumValueParser::<OutputFormat>::new())
        .default_value("table")
        .help("Output format")
}

fn statement(help: &'static str) -> Arg {
    Arg::new("statement").value_name("STATEMENT").help(help)
}

fn query() -> Command {
    Command::new("query")
        .about("Runs a query: SELECT … FROM …")
        .after_help("`ponddrift query --help` lists the tables and their columns.")
        .after_long_help(format!(
            "Without an argument, the statement is read from standard input. At a terminal, statements are\n\
             read line by line until Ctrl-D and may also be changes.\n\n\
             Examples:\n  \
             ponddrift query \"SELECT role, COUNT(*) FROM engines GROUP BY role\"\n  \
             ponddrift query \"SELECT * FROM configuration WHERE current = false\"\n  \
             echo \"SELECT * FROM services\" | ponddrift --output csv query\n\n\
             Tables:\n{}",
            ponddrift_query::schema()
        ))
        .arg(statement("The query; read from standard input if omitted"))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Changes the configuration: INSERT, UPDATE or DELETE of one row")
        .after_help(
            "A change is atomic and gets a revision. With AND revision = N in WHERE, it is rejected if\n\
             somebody else has changed the row since revision N.\n\n\
             Examples:\n  \
             ponddrift apply \"INSERT INTO priorities (name, level) VALUES ('month-end', 0)\"\n  \
             ponddrift apply \"UPDATE services SET rollout_percent = 20 WHERE name = 'reconcile' AND revision = 41\"\n  \
             ponddrift apply \"DELETE FROM pins WHERE engine = 3\"",
        )
        .arg(statement("The change; read from standard input if omitted"))
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .env("PONDDRIFT_OPERATOR")
                .default_value("operator")
                .help("Your name, shown to operators whose changes conflict with yours"),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MILLISECONDS")
                .default_value("6000")
                .value_parser(value_parser!(u64).range(0..=60_000))
                .help("Maximum time to wait until the change is in force on all daemons"),
        )
}

fn losses() -> Command {
    Command::new("losses")
        .about("Summarizes from daemons' logs which requests were not in time, when and why")
        .after_help(
            "Examples:\n  \
             ponddrift losses daemon-*.log\n  \
             tail -n 100000 daemon.log | ponddrift losses",
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of daemons; standard input is read if omitted"),
        )
}

/// Returns the paths of the log files; empty if standard input is to be read.
pub(crate) fn logs(matches: &ArgMatches) -> Vec<PathBuf> {
    let logs = matches.get_many::<PathBuf>("logs");
    logs.into_iter().flatten().cloned().collect()
}

fn check_config() -> Command {
    Command::new("check-config")
        .about("Checks a daemon's settings file without starting it")
        .after_help("Example: ponddrift check-config etc/ponddriftd.toml\n`ponddriftd --template` prints a commented template.")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML)"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints a shell completion script")
        .after_help("Example: ponddrift completions bash > /etc/bash_completion.d/ponddrift")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell to generate the script for"),
        )
}

/// Returns the daemons' operator addresses in the order in which they are tried.
pub(crate) fn daemons(matches: &ArgMatches) -> Vec<SocketAddr> {
    let given = matches.get_many::<SocketAddr>("daemon").unwrap_or_default();
    given.copied().collect()
}

/// Returns the requested output format.
pub(crate) fn output_format(matches: &ArgMatches) -> OutputFormat {
    let format = matches.get_one::<OutputFormat>("output");
    format.copied().unwrap_or(OutputFormat::Table)
}
