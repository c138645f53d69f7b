//! `ponddrift-emulator experiment`.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr as _;
use ponddrift_core::roles::PlannerProfile;

use super::arguments;
use crate::experiment::deployment::Deployment;
use crate::experiment::scenario::SCENARIOS;
use crate::experiment::simulation::AdmissionInputs;
use crate::experiment::trace::{read_requests, write_requests};
use crate::experiment::{Case, CaseSource, PlannerName, SeedReport, render, run_seeds};

/// Most threads used.
const MOST_THREADS: u64 = 6;
/// Name of the page in the report's folder.
const PAGE: &str = "index.html";

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    let scenarios = SCENARIOS.map(|(name, _deployment)| name);
    let planners = PlannerName::ALL.map(PlannerName::as_str);
    let profiles = [PlannerProfile::Hanbit, PlannerProfile::HeadOffice].map(PlannerProfile::as_str);
    Command::new("experiment")
        .about("Role planners on emulated engines and virtual time, beside baselines")
        .after_help(
            "Prints one JSON document with --json (an array, one report a seed), else a table. The \
             oracle is the best plan found by a search that knows the trace.\n\
             Example: ponddrift-emulator experiment --scenario dock-rush --seed 7 --json",
        )
        .arg(
            option(
                "scenario",
                "NAME",
                "Built-in scenario; repeat for several, or `all`",
            )
            .value_parser(scenarios.into_iter().chain(["all"]).collect::<Vec<_>>())
            .action(ArgAction::Append)
            .required_unless_present("trace")
            .conflicts_with("trace"),
        )
        .arg(file("trace", "FILE", "Trace to run, JSON lines"))
        .arg(arguments::seed())
        .arg(
            option("seeds", "NUMBER", "Seeds to run, from --seed on")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            option("threads", "NUMBER", "Threads for several seeds")
                .default_value("6")
                .value_parser(value_parser!(u64).range(1..=MOST_THREADS)),
        )
        .arg(
            option(
                "planner",
                "NAME",
                "Planner to run; repeat for several [default: all]",
            )
            .value_parser(planners.to_vec())
            .action(ArgAction::Append),
        )
        .arg(
            option(
                "profile",
                "NAME",
                "The planner's profile [default: the deployment's]",
            )
            .value_parser(profiles.to_vec()),
        )
        .arg(
            option(
                "deployment",
                "NAME",
                "Size of the fleet [default: the scenario's]",
            )
            .value_parser(profiles.to_vec()),
        )
        .arg(
            option(
                "load",
                "SHARE",
                "Mean demand as a share of what the fleet can serve",
            )
            .value_parser(positive),
        )
        .arg(file(
            "write-trace",
            "FILE",
            "Writes the requests of the first seed",
        ))
        .arg(file(
            "report",
            "DIRECTORY",
            "Writes a page with plots into this folder",
        ))
        .arg(
            Arg::new("shipped-admission")
                .long("shipped-admission")
                .help("Feeds admission as the daemon of today does, see docs/EXPERIMENTS.md")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints JSON")
                .action(ArgAction::SetTrue),
        )
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn file(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    option(name, value, help).value_parser(value_parser!(PathBuf))
}

fn positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() && value > 0.0 => Ok(value),
        _ => Err("give a number above 0, for instance 0.8".to_owned()),
    }
}

/// Runs the experiment and prints its figures.
///
/// # Errors
/// When a file cannot be read or written.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let first: u64 = *matches.get_one("seed").expect("the seed has a default");
    let count: u64 = *matches.get_one("seeds").expect("it has a default");
    let threads: u64 = *matches.get_one("threads").expect("it has a default");
    let seeds: Vec<u64> = (0..count).map(|index| first.wrapping_add(index)).collect();
    let cases = chosen_cases(matches)?;
    if let Some(path) = matches.get_one::<PathBuf>("write-trace") {
        write_trace(&cases[0], first, path)?;
    }
    let mut reports = Vec::new();
    for case in &cases {
        reports.extend(run_seeds(case, &seeds, threads as usize)?);
    }
    if let Some(folder) = matches.get_one::<PathBuf>("report") {
        std::fs::create_dir_all(folder)
            .wrap_err_with(|| format!("{} cannot be made", folder.display()))?;
        std::fs::write(folder.join(PAGE), render(&reports)?)?;
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    } else {
        print_table(&reports);
    }
    Ok(())
}

fn chosen_cases(matches: &ArgMatches) -> eyre::Result<Vec<Case>> {
    let text = |name: &str| matches.get_one::<String>(name);
    let deployment = text("deployment").and_then(|name| Deployment::named(name));
    let profile = text("profile").and_then(|name| Deployment::named(name));
    let planners = match matches.get_many::<String>("planner") {
        Some(names) => names.filter_map(|name| PlannerName::named(name)).collect(),
        None => PlannerName::ALL.to_vec(),
    };
    let sources = match matches.get_one::<PathBuf>("trace") {
        Some(path) => vec![CaseSource::Trace(read_trace(path)?)],
        None => chosen_scenarios(matches)
            .map(CaseSource::Scenario)
            .collect(),
    };
    let admission = if matches.get_flag("shipped-admission") {
        AdmissionInputs::Shipped
    } else {
        AdmissionInputs::Adjusted
    };
    let case = |source| Case {
        source,
        deployment,
        profile: profile.map(Deployment::profile),
        load: matches.get_one("load").copied(),
        admission,
        planners: planners.clone(),
    };
    Ok(sources.into_iter().map(case).collect())
}

fn chosen_scenarios(matches: &ArgMatches) -> impl Iterator<Item = String> {
    let named: Vec<String> = matches
        .get_many::<String>("scenario")
        .map(|names| names.cloned().collect())
        .unwrap_or_default();
    let all = named.iter().any(|name| name == "all");
    let every = SCENARIOS.map(|(name, _deployment)| name.to_owned());
    if all { every.to_vec() } else { named }.into_iter()
}

fn read_trace(path: &Path) -> eyre::Result<Vec<crate::experiment::trace::ExperimentRequest>> {
    let file = File::open(path).wrap_err_with(|| format!("{} cannot be read", path.display()))?;
    Ok(read_requests(BufReader::new(file))?)
}

fn write_trace(case: &Case, seed: u64, path: &Path) -> eyre::Result<()> {
    let file =
        File::create(path).wrap_err_with(|| format!("{} cannot be written", path.display()))?;
    let workload = case.workload(seed)?;
    Ok(write_requests(
        std::io::BufWriter::new(file),
        &workload.requests,
    )?)
}

fn print_table(reports: &[SeedReport]) {
    println!(
        "{:<16} {:<11} {:>5} {:<10} {:>8} {:>8} {:>8} {:>7} {:>7} {:>9} {:>8} {:>8} {:>6} {:>7} {:>6} {:>4} {:>7}",
        "scenario",
        "profile",
        "seed",
        "planner",
        "goodput",
        "/oracle",
        "/static",
        "changes",
        "(found)",
        "away s",
        "ttft95",
        "tpot95",
        "late",
        "refused",
        "failed",
        "lost",
        "doubled"
    );
    for report in reports {
        for one in &report.planners {
            let figures = &one.figures;
            let ratio =
                |value: Option<f64>| value.map_or_else(String::new, |value| format!("{value:.4}"));
            let found = one.oracle_changes_at_goodput;
            println!(
                "{:<16} {:<11} {:>5} {:<10} {:>8.4} {:>8} {:>8} {:>7} {:>7} {:>9.0} {:>8.0} {:>8.1} {:>6} {:>7} {:>6} {:>4} {:>7}",
                report.scenario,
                report.profile.as_str(),
                report.seed,
                one.planner.as_str(),
                figures.goodput,
                ratio(one.goodput_vs_oracle),
                ratio(one.goodput_vs_static),
                figures.role_changes,
                found.map_or_else(String::new, |count| count.to_string()),
                figures.engine_seconds_away,
                figures.ttft_ms.p95,
                figures.tpot_ms.p95,
                figures.late,
                figures.refused,
                figures.failed,
                figures.lost,
                figures.doubled
            );
        }
    }
}
