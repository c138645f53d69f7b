//! The demonstration: a whole small fleet in one process on loopback, under a shifting load.

pub mod fleet;
pub mod load;
pub mod operator;
pub mod report;

use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use ponddrift_runtime::Runtime;

use self::fleet::{DemoFleet, FleetPlan};
use self::operator::OperatorClient;
use self::report::Verdict;
use crate::load::{LoadProgress, LoadSettings, RequestIds, Targets, run_load_shown};

/// Time that a request without its own deadline may take.
const TIME_LIMIT: Duration = Duration::from_secs(60);

/// How the demonstration is run.
#[derive(Debug, Clone, Copy)]
pub struct DemoSettings {
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Starts the fleet, configures it, loads it, and prints what came out.
///
/// # Errors
/// When a part does not start or the operators' endpoint refuses a statement.
pub async fn run(settings: DemoSettings) -> Result<(DemoFleet, Verdict)> {
    say("starting: platform, 6 engines, 2 records services, 3 daemons, all on loopback");
    let fleet = DemoFleet::start(settings.seed, FleetPlan::default()).await?;
    let operator = OperatorClient::new(fleet.operators());
    operator.configure().await?;
    fleet.wait_until_ready().await?;
    say("the configuration is in force on all daemons; the load begins");
    let runtime = Runtime::system(settings.seed);
    let trace = load::trace(settings);
    let progress = Arc::new(LoadProgress::default());
    let load_settings = LoadSettings {
        targets: fleet.gateways(),
        time_limit: TIME_LIMIT,
        goals: Targets::default(),
        ids: RequestIds::Daemon,
    };
    let running = run_load_shown(&runtime, load_settings, trace, Arc::clone(&progress));
    let watching = load::show_progress(settings.seconds, &progress, &operator);
    let operating = operator.act_after(Duration::from_secs(settings.seconds) / 2);
    let outcome = tokio::select! {
        biased;
        failed = watching => return Err(failed),
        both = async { tokio::join!(running, operating) } => {
            let (outcome, operated) = both;
            operated?;
            outcome?
        }
    };
    let verdict = report::print(&fleet, &operator, &outcome).await?;
    Ok((fleet, verdict))
}

/// Prints a line at once.
pub(crate) fn say(text: &str) {
    let mut output = io::stdout().lock();
    // Nobody reads any more: the exit code still tells the verdict.
    let _written = writeln!(output, "{text}").and_then(|()| output.flush());
}
