//! Whole experiments: one case with one seed under several planners, and several seeds on threads.

use std::time::Duration;

use ponddrift_core::roles::{PlannerProfile, PlannerSettings, RoleSplit};
use serde::Serialize;

use super::controller::{PlannerController, Schedule, ThresholdController};
use super::demand::{load_of, mean_demand, scale};
use super::deployment::{Deployment, Fleet};
use super::figures::Figures;
use super::generate::generate;
use super::oracle;
use super::parallel::in_parallel;
use super::planners::PlannerName;
use super::scenario::{EngineLoss, scenario};
use super::schedule_search::{Tried, best_static, first_ranked, try_schedule};
use super::simulation::{AdmissionInputs, RunRecord, SimulationInput, simulate};
use super::trace::ExperimentRequest;

/// Rate at which a scenario is drawn first, to measure its demand.
const MEASURING_SCALE: f64 = 10.0;
/// Seeds of the measurement, so that the scale does not depend on the run's own draws.
const MEASURING_SEED: u64 = 0x5ca1e;

/// Where the requests come from.
#[derive(Debug, Clone)]
pub enum CaseSource {
    /// A built-in scenario.
    Scenario(String),
    /// A trace.
    Trace(Vec<ExperimentRequest>),
}

/// What is to be run.
#[derive(Debug, Clone)]
pub struct Case {
    /// The requests.
    pub source: CaseSource,
    /// The fleet; `None` for the scenario's usual one.
    pub deployment: Option<Deployment>,
    /// The planner's profile; `None` for the deployment's usual one.
    pub profile: Option<PlannerProfile>,
    /// Mean demand as a share of what the fleet can serve; `None` for the scenario's usual one, or the
    /// trace as it is.
    pub load: Option<f64>,
    /// What the daemons' admission is fed with.
    pub admission: AdmissionInputs,
    /// The planners to run.
    pub planners: Vec<PlannerName>,
}

/// Everything that is simulated, before any planner.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name of the scenario, or `trace`.
    pub name: String,
    /// The deployment.
    pub deployment: Deployment,
    /// Its fleet.
    pub fleet: Fleet,
    /// The requests.
    pub requests: Vec<ExperimentRequest>,
    /// Engines lost.
    pub losses: Vec<EngineLoss>,
    /// Lag of reports.
    pub report_lag: Duration,
    /// Length in seconds.
    pub seconds: f64,
    /// Mean demand as a share of what the fleet can serve.
    pub load: f64,
    /// What the daemons' admission is fed with.
    pub admission: AdmissionInputs,
    /// The split at the begin for all planners but the fixed ones: the one that the capacity model ranks
    /// first among fixed splits, as an operator would set it from an earlier day.
    pub initial: RoleSplit,
}

/// One planner's run.
#[derive(Debug, Clone, Serialize)]
pub struct PlannerOutcome {
    /// The planner.
    pub planner: PlannerName,
    /// Its figures.
    #[serde(flatten)]
    pub figures: Figures,
    /// Goodput by the oracle's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub goodput_vs_oracle: Option<f64>,
    /// Goodput by the best fixed split's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub goodput_vs_static: Option<f64>,
    /// Fewest role changes of a plan found by the oracle's search that reaches this goodput.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub oracle_changes_at_goodput: Option<u64>,
    /// The split at the begin.
    pub initial: RoleSplit,
    /// The run, for plots.
    #[serde(skip)]
    pub record: RunRecord,
}

/// All planners on one seed.
#[derive(Debug, Clone, Serialize)]
pub struct SeedReport {
    /// Name of the scenario, or `trace`.
    pub scenario: String,
    /// The deployment.
    pub deployment: Deployment,
    /// The planner's profile.
    pub profile: PlannerProfile,
    /// The seed.
    pub seed: u64,
    /// Mean demand as a share of what the fleet can serve.
    pub load: f64,
    /// Length in seconds.
    pub seconds: f64,
    /// The planners.
    pub planners: Vec<PlannerOutcome>,
}

impl Case {
    /// Draws or scales the requests.
    ///
    /// # Errors
    /// When there is no scenario of the name.
    pub fn workload(&self, seed: u64) -> eyre::Result<Workload> {
        let mut workload = match &self.source {
            CaseSource::Scenario(name) => self.scenario_workload(name, seed)?,
            CaseSource::Trace(requests) => self.trace_workload(requests, seed),
        };
        workload.initial = first_ranked(&workload.input(seed));
        Ok(workload)
    }

    fn scenario_workload(&self, name: &str, seed: u64) -> eyre::Result<Workload> {
        let drawn = scenario(name, self.deployment, seed).ok_or_else(|| {
            eyre::eyre!("there is no scenario {name:?}: see --help for the names")
        })?;
        let fleet = drawn.deployment.fleet();
        let capacity = fleet.engine_capacity();
        let measured = generate(&drawn, MEASURING_SCALE, MEASURING_SEED);
        let demand = mean_demand(&measured, drawn.seconds);
        let load = self.load.unwrap_or(drawn.load);
        let factor = load / load_of(demand, &capacity, fleet.engines);
        let requests = generate(&drawn, MEASURING_SCALE * factor, seed);
        Ok(Workload {
            name: drawn.name.to_owned(),
            deployment: drawn.deployment,
            load,
            losses: drawn.losses,
            report_lag: drawn.report_lag,
            seconds: drawn.seconds,
            admission: self.admission,
            initial: RoleSplit::all_mixed(fleet.engines),
            requests,
            fleet,
        })
    }

    fn trace_workload(&self, requests: &[ExperimentRequest], seed: u64) -> Workload {
        let deployment = self.deployment.unwrap_or(Deployment::Hanbit);
        let fleet = deployment.fleet();
        let last = requests.iter().map(|request| request.arrival_ms).max();
        let seconds = (last.unwrap_or(0) as f64 / 1e3).max(1.0);
        let capacity = fleet.engine_capacity();
        let as_it_is = load_of(mean_demand(requests, seconds), &capacity, fleet.engines);
        let load = self.load.unwrap_or(as_it_is);
        let requests = match self.load {
            Some(load) => scale(requests, load / as_it_is, seed),
            None => requests.to_vec(),
        };
        Workload {
            name: "trace".to_owned(),
            deployment,
            load,
            losses: Vec::new(),
            report_lag: Duration::from_millis(250),
            seconds,
            admission: self.admission,
            initial: RoleSplit::all_mixed(fleet.engines),
            requests,
            fleet,
        }
    }
}

impl Workload {
    /// What the simulator takes.
    #[must_use]
    pub fn input(&self, seed: u64) -> SimulationInput<'_> {
        SimulationInput {
            fleet: &self.fleet,
            requests: &self.requests,
            losses: &self.losses,
            report_lag: self.report_lag,
            seconds: self.seconds,
            initial: self.initial,
            admission: self.admission,
            seed,
        }
    }
}

/// Runs one seed under all planners of the case; searches use up to `threads` threads.
///
/// # Errors
/// When there is no scenario of the name.
pub fn run_seed(case: &Case, seed: u64, threads: usize) -> eyre::Result<SeedReport> {
    let workload = case.workload(seed)?;
    let profile = case.profile.unwrap_or(workload.deployment.profile());
    let input = workload.input(seed);
    let wants = |name| case.planners.contains(&name);
    let needs_static = wants(PlannerName::Static) || wants(PlannerName::Oracle);
    let fixed = needs_static.then(|| best_static(input, threads));
    let oracle = match &fixed {
        Some(fixed) if wants(PlannerName::Oracle) => {
            Some(oracle::search(input, fixed.clone(), threads))
        }
        _ => None,
    };
    let run = |name: PlannerName| match name {
        PlannerName::Ponddrift => {
            let settings = planner_settings(profile, &workload.fleet);
            let record = simulate(input, &mut PlannerController::new(settings));
            outcome(name, input, record, workload.initial)
        }
        PlannerName::Threshold => {
            let record = simulate(input, &mut ThresholdController::default());
            outcome(name, input, record, workload.initial)
        }
        PlannerName::Mixed => {
            let split = RoleSplit::all_mixed(workload.fleet.engines);
            of_tried(name, &try_schedule(input, Schedule::fixed(split), split))
        }
        PlannerName::Static => of_tried(name, fixed.as_ref().expect("it was searched")),
        PlannerName::Oracle => of_tried(name, &oracle.as_ref().expect("it was searched").best),
    };
    let mut planners: Vec<PlannerOutcome> = case.planners.iter().map(|name| run(*name)).collect();
    for planner in &mut planners {
        let goodput = planner.figures.goodput;
        let by = |tried: &Tried| goodput / tried.figures.goodput.max(f64::MIN_POSITIVE);
        planner.goodput_vs_static = fixed.as_ref().map(by);
        planner.goodput_vs_oracle = oracle.as_ref().map(|oracle| by(&oracle.best));
        planner.oracle_changes_at_goodput = oracle
            .as_ref()
            .and_then(|oracle| oracle.fewest_changes_at(goodput));
    }
    Ok(SeedReport {
        scenario: workload.name.clone(),
        deployment: workload.deployment,
        profile,
        seed,
        load: workload.load,
        seconds: workload.seconds,
        planners,
    })
}

/// The planner's settings of a profile, with the cost model's role change and capacity as assumptions.
fn planner_settings(profile: PlannerProfile, fleet: &Fleet) -> PlannerSettings {
    PlannerSettings {
        role_change: Duration::from_secs_f64(fleet.cost.role_change_seconds),
        engine: fleet.engine_capacity(),
        ..PlannerSettings::of(profile)
    }
}

fn of_tried(name: PlannerName, tried: &Tried) -> PlannerOutcome {
    PlannerOutcome {
        planner: name,
        figures: tried.figures.clone(),
        goodput_vs_oracle: None,
        goodput_vs_static: None,
        oracle_changes_at_goodput: None,
        initial: tried.schedule.points[0].split,
        record: tried.record.clone(),
    }
}

fn outcome(
    name: PlannerName,
    input: SimulationInput<'_>,
    record: RunRecord,
    initial: RoleSplit,
) -> PlannerOutcome {
    PlannerOutcome {
        planner: name,
        figures: Figures::new(input.requests, &record, input.seconds),
        goodput_vs_oracle: None,
        goodput_vs_static: None,
        oracle_changes_at_goodput: None,
        initial,
        record,
    }
}

/// Runs several seeds on up to `threads` threads; the reports come in the order of the seeds.
///
/// # Errors
/// When there is no scenario of the name.
pub fn run_seeds(case: &Case, seeds: &[u64], threads: usize) -> eyre::Result<Vec<SeedReport>> {
    let outer = threads.clamp(1, seeds.len().max(1));
    let inner = (threads / outer).max(1);
    let reports = in_parallel(seeds, outer, |seed| run_seed(case, *seed, inner));
    reports.into_iter().collect()
}
