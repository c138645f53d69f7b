//! `ponddrift-soak`: one randomized run against real daemons.

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
        .about("Strikes real daemons with random faults under load, and checks what must hold")
        .after_help(
            "Needs ponddrift-serve beside it: cargo build --release -p ponddrift-serve -p ponddrift-soak\n\n\
             Example: ponddrift-soak --seconds 120",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Draws the faults; a fresh one if not given"),
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
                .help("Engines set no rate limits beside the faults"),
        )
        .arg(
            Arg::new("without-restores")
                .long("without-restores")
                .action(ArgAction::SetTrue)
                .help("The store does not come back from older copies beside the faults"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_parser(value_parser!(PathBuf))
                .help("Where settings and logs of the daemons go; a folder of its own in the temporary one if not given"),
        )
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let fresh = SysRng
        .try_next_u64()
        .wrap_err("the system gives no random numbers")?;
    let seed = matches.get_one("seed").copied().unwrap_or(fresh >> 16);
    let seconds: u64 = matches.get_one("seconds").copied().unwrap_or(60);
    let daemons: u16 = matches.get_one("daemons").copied().unwrap_or(4);
    let callers: u64 = matches.get_one("callers").copied().unwrap_or(12);
    let folder = matches
        .get_one::<PathBuf>("folder")
        .cloned()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("ponddrift-soak-{seed}")));
    let settings = SoakSettings {
        seed,
        time: Duration::from_secs(seconds),
        daemons: usize::from(daemons),
        callers,
        limits: !matches.get_flag("without-limits"),
        restores: !matches.get_flag("without-restores"),
        folder,
    };
    println!("seed {seed}, {seconds} s, {daemons} daemons, {callers} callers");
    let report = run(&settings).await?;
    println!(
        "{} requests, {} served, {} rate limits, {} returns of the store, {} faults",
        report.asked,
        report.served,
        report.limits,
        report.restores,
        report.faults.len()
    );
    for fault in &report.faults {
        println!("  {:?} for {:?}", fault.fault, fault.time);
    }
    for violation in &report.violations {
        println!("VIOLATION {}: {}", violation.rule, violation.seen);
    }
    if report.violations.is_empty() {
        println!("nothing that must hold was seen broken");
        return Ok(ExitCode::SUCCESS);
    }
    println!("logs: {}", settings.folder.display());
    Ok(ExitCode::FAILURE)
}
