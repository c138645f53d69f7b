//! `ponddrift-emulator overhead`.

use clap::{Arg, ArgMatches, Command, value_parser};

use super::arguments;
use crate::overhead::{OverheadSettings, measure};

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("overhead")
        .about("Time that a daemon adds, against going straight to the same stand-in")
        .after_help(
            "One daemon, one engine and one records service in this process; each request goes both ways\n\
             in one run, the order alternating. Prints one JSON object, times in microseconds.\n\
             Example: cargo run --release -p ponddrift-emulator -- overhead --pairs 5000",
        )
        .arg(number("pairs", "5000", "Pairs that count, of each kind"))
        .arg(number("warm-up", "500", "Pairs before them that do not count"))
        .arg(arguments::seed())
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
}

fn chosen(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("the argument has a default")
}

/// Measures and prints.
///
/// # Errors
/// When a part does not start, or an answer is not 200.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let settings = OverheadSettings {
        pairs: chosen(matches, "pairs"),
        warm_up: chosen(matches, "warm-up"),
        seed: chosen(matches, "seed"),
    };
    let report = measure(settings).await?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
