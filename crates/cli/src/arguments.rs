//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::{EnumValueParser, PossibleValue};
use clap::{Arg, ArgAction, ArgMatches, Command, ValueEnum, value_parser};
use clap_complete::Shell;

/// Environment variable with the operator addresses of daemons.
const DAEMON_VARIABLE: &str = "PONDDRIFT_DAEMON";

/// Form of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputForm {
    /// A table for people.
    Table,
    /// JSON, as the daemon gave it.
    Json,
    /// Comma-separated values with a head.
    Csv,
}

impl ValueEnum for OutputForm {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json, Self::Csv]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(match self {
            Self::Table => PossibleValue::new("table").help("For people"),
            Self::Json => PossibleValue::new("json").help("As the daemon gave it"),
            Self::Csv => PossibleValue::new("csv").help("With a head; NULL is empty"),
        })
    }
}

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("ponddrift")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Asks ponddrift what runs where and why, and changes its configuration")
        .after_help(
            "Examples:\n  \
             ponddrift --daemon 10.0.0.7:8081 query \"SELECT name, role, reason FROM engines WHERE zone = 'a'\"\n  \
             ponddrift query \"SELECT * FROM decisions WHERE kind = 'role' ORDER BY at_ms DESC LIMIT 10\"\n  \
             ponddrift apply \"UPDATE services SET version = 7 WHERE name = 'reconcile' AND revision = 41\"\n  \
             ponddrift check-config etc/ponddriftd.toml\n\n\
             Exit codes: 0 done; 1 refused, the message says what to write instead; 2 wrong use, or settings\n\
             with faults; 3 no daemon answered. `ponddrift query --help` shows the tables.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(daemon())
        .arg(output())
        .subcommand(query())
        .subcommand(apply())
        .subcommand(Command::new("status").about("Shows a daemon's own state"))
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
        .help(
            "Operator address of a daemon; of several the next is tried when one cannot be reached",
        )
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_name("FORM")
        .value_parser(EnumValueParser::<OutputForm>::new())
        .default_value("table")
        .help("Form of the answer")
}

fn statement(help: &'static str) -> Arg {
    Arg::new("statement").value_name("STATEMENT").help(help)
}

fn query() -> Command {
    Command::new("query")
        .about("Asks a question: SELECT … FROM …")
        .after_help("`ponddrift query --help` lists the tables and their columns.")
        .after_long_help(format!(
            "Without a statement it is read from standard input; at a terminal statements are read one by\n\
             one, until Ctrl-D, and may be changes too.\n\n\
             Examples:\n  \
             ponddrift query \"SELECT role, COUNT(*) FROM engines GROUP BY role\"\n  \
             ponddrift query \"SELECT * FROM configuration WHERE current = false\"\n  \
             echo \"SELECT * FROM services\" | ponddrift --output csv query\n\n\
             Tables:\n{}",
            ponddrift_query::schema()
        ))
        .arg(statement("The question; without it standard input is read"))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Changes the configuration: INSERT, UPDATE or DELETE of one row")
        .after_help(
            "A change is accepted whole, with its revision, or refused whole. AND revision = N in its WHERE\n\
             refuses it when somebody else changed the row after you looked.\n\n\
             Examples:\n  \
             ponddrift apply \"INSERT INTO priorities (name, level) VALUES ('month-end', 0)\"\n  \
             ponddrift apply \"UPDATE services SET rollout_percent = 20 WHERE name = 'reconcile' AND revision = 41\"\n  \
             ponddrift apply \"DELETE FROM pins WHERE engine = 3\"",
        )
        .arg(statement("The change; without it standard input is read"))
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .env("PONDDRIFT_OPERATOR")
                .default_value("operator")
                .help("Your name, told to others whose changes yours overtook"),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MILLISECONDS")
                .default_value("6000")
                .value_parser(value_parser!(u64).range(0..=60_000))
                .help("Longest time to wait until the change is in force everywhere"),
        )
}

fn losses() -> Command {
    Command::new("losses")
        .about("Adds up from daemons' logs which requests were not in time, why, and when")
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
                .help("Logs of daemons; without any, standard input is read"),
        )
}

/// The logs that were named.
pub(crate) fn logs(matches: &ArgMatches) -> Vec<PathBuf> {
    let logs = matches.get_many::<PathBuf>("logs");
    logs.into_iter().flatten().cloned().collect()
}

fn check_config() -> Command {
    Command::new("check-config")
        .about("Checks a daemon's settings file without starting it")
        .after_help("Example: ponddrift check-config etc/ponddriftd.toml\n`ponddriftd --template` prints a commented file to begin with.")
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
        .about("Prints completions for a shell")
        .after_help("Example: ponddrift completions bash > /etc/bash_completion.d/ponddrift")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
}

/// The daemons to try, in order.
pub(crate) fn daemons(matches: &ArgMatches) -> Vec<SocketAddr> {
    let given = matches.get_many::<SocketAddr>("daemon").unwrap_or_default();
    given.copied().collect()
}

/// The form of the answer.
pub(crate) fn output_form(matches: &ArgMatches) -> OutputForm {
    let form = matches.get_one::<OutputForm>("output");
    form.copied().unwrap_or(OutputForm::Table)
}
