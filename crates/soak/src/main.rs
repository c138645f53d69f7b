//! Command line of `ponddrift-soak`, which runs one randomized soak test against real daemons.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use eyre::{Context, Result};
use ponddrift_soak::{SoakSettings, run};
use rand::TryRng;
use rand::rngs::SysRng;

fn command() -> Command {
    Command::new("ponddrift-soak")
        .about("Injects random faults into real daemons under load, and checks invariants")
        .after_help(
            "Requires the ponddrift-serve and ponddrift-soak-daemon binaries in the same directory: cargo build --release -p ponddrift-serve -p ponddrift-soak\n\n\
             Example: ponddrift-soak --seconds 120",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Seed for drawing the faults; random if omitted"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("60")
                .value_parser(value_parser!(u64).range(1..=3600)),
        )
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .default_value("4")
                .value_parser(value_parser!(u16).range(1..=32)),
        )
        .arg(
            Arg::new("callers")
                .long("callers")
                .default_value("12")
                .value_parser(value_parser!(u64).range(1..=200)),
        )
        .arg(
            Arg::new("without-limits")
                .long("without-limits")
                .action(ArgAction::SetTrue)
                .help("Disables the rate limits that engines set in addition to the faults"),
        )
        .arg(
            Arg::new("without-restores")
                .long("without-restores")
                .action(ArgAction::SetTrue)
                .help("Disables restoring the store from older copies in addition to the faults"),
        )
        .arg(
            Arg::new("without-cuts")
                .long("without-cuts")
                .action(ArgAction::SetTrue)
                .help("Disables cutting paths between daemons and back ends in addition to the faults"),
        )
        .arg(
            Arg::new("without-silences")
                .long("without-silences")
                .action(ArgAction::SetTrue)
                .help("Disables short silences of back ends in addition to the faults"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_parser(value_parser!(PathBuf))
                .help("Directory for the daemons' settings and logs; a new directory in the system's temporary directory if omitted"),
        )
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let random_seed = SysRng
        .try_next_u64()
        .wrap_err("the operating system's random number generator failed")?;
    let seed = matches
        .get_one("seed")
        .copied()
        .unwrap_or(random_seed >> 16);
    let seconds: u64 = matches.get_one("seconds").copied().unwrap_or(60);
    let daemons: u16 = matches.get_one("daemons").copied().unwrap_or(4);
    let callers: u64 = matches.get_one("callers").copied().unwrap_or(12);
    let folder = matches
        .get_one::<PathBuf>("folder")
        .cloned()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("ponddrift-soak-{seed}")));
    let settings = SoakSettings {
        seed,
        duration: Duration::from_secs(seconds),
        daemons: usize::from(daemons),
        callers,
        limits: !matches.get_flag("without-limits"),
        restores: !matches.get_flag("without-restores"),
        cuts: !matches.get_flag("without-cuts"),
        silences: !matches.get_flag("without-silences"),
        folder,
    };
    println!("seed {seed}, {seconds} s, {daemons} daemons, {callers} callers");
    let report = run(&settings).await?;
    println!(
        "{} requests, {} served, {} rate limits, {} store restores, {} cuts, {} faults",
        report.requests,
        report.served,
        report.limits,
        report.restores,
        report.cuts,
        report.faults.len()
    );
    println!(
        "{} silences, {} requests met only these: {} served, {} refused, {} violations",
        report.silences,
        report.silence_report.checked,
        report.silence_report.served,
        report.silence_report.refused,
        report.silence_report.violations.len()
    );
    for fault in &report.faults {
        println!("  {:?} for {:?}", fault.fault, fault.duration);
    }
    for violation in &report.violations {
        println!("VIOLATION {}: {}", violation.rule, violation.observed);
    }
    if report.violations.is_empty() {
        println!("no invariant violations");
        return Ok(ExitCode::SUCCESS);
    }
    println!("logs: {}", settings.folder.display());
    Ok(ExitCode::FAILURE)
}
