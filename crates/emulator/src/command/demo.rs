//! `ponddrift-emulator demo`.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{arguments, until_stopped};
use crate::demo::fleet::DemoFleet;
use crate::demo::report::Verdict;
use crate::demo::{self, DemoSettings};

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("demo")
        .about("A whole small fleet in one process, under a shifting load")
        .after_help(
            "Platform, 6 engines, 2 records services and 3 daemons on loopback; long prompts give way\n\
             to long outputs and back, and an operator changes something midway. Ends with status 0\n\
             only where every answer was whole and right (refusals are counted and must be true).\n\
             Example: ponddrift-emulator demo --keep",
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("NUMBER")
                .help("Length of the load")
                .default_value("20")
                .value_parser(value_parser!(u64).range(3..=86_400)),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .help("Goes on running afterwards, and prints the addresses with examples")
                .action(ArgAction::SetTrue),
        )
        .arg(arguments::seed())
}

/// Runs the demonstration.
///
/// # Errors
/// When a part does not start, or an answer was not whole and right.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let settings = DemoSettings {
        seconds: *matches
            .get_one("seconds")
            .expect("the argument has a default"),
        seed: *matches.get_one("seed").expect("the seed has a default"),
    };
    let (fleet, verdict) = demo::run(settings).await?;
    if matches.get_flag("keep") {
        examples(&fleet);
        until_stopped().await?;
        fleet.stop().await;
    }
    match verdict {
        Verdict::Right => Ok(()),
        Verdict::Wrong(count) => eyre::bail!("{count} answers were not whole and right"),
    }
}

fn examples(fleet: &DemoFleet) {
    let mut text = String::from("\nstill running; end it with Ctrl-C\n");
    for (number, addresses) in (1..).zip(fleet.daemons()) {
        let (gateway, operator) = (addresses.gateway, addresses.operator);
        text.push_str(&format!(
            "daemon {number}: callers {gateway}, operators {operator}\n"
        ));
    }
    let platform = fleet.platform.addresses;
    text.push_str(&format!("faults of the platform: {}\n", platform.control));
    if let Some(addresses) = fleet.daemons().first() {
        let (gateway, operator) = (addresses.gateway, addresses.operator);
        text.push_str(&format!(
            "\ncurl -sN http://{gateway}/v1/completions -H 'content-type: application/json' \\\n  \
             -d '{{\"model\":\"reconcile\",\"prompt\":\"the ledger of firm 9\",\"max_tokens\":8,\"stream\":true}}'\n\
             curl -s 'http://{gateway}/services/vouchers/vouchers/417?size=64'\n\
             curl -s http://{gateway}/services/post/postings -H 'idempotency-key: posting-1' -d 'debit 7'\n\
             curl -s http://{operator}/v1/query -d \"SELECT name, role, reason FROM engines\"\n\
             curl -s http://{operator}/v1/apply -H 'x-operator: hana' \\\n  \
             -d \"UPDATE services SET deadline_ms = 30000 WHERE name = 'reconcile'\"\n\
             ponddrift --daemon {operator} query \"SELECT * FROM decisions ORDER BY at_ms DESC LIMIT 5\"\n\
             ponddrift --daemon {operator} apply \"INSERT INTO pins (engine, role) VALUES (100, 'decode')\""
        ));
    }
    demo::say(&text);
}
