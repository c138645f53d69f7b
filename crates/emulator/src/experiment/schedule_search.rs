//! Trying schedules in the simulator, and the search for the best fixed split.

use ponddrift_core::roles::{LatencyTargets, RoleSplit, TokenDemand};

use super::controller::{Schedule, ScheduleController};
use super::demand::{all_splits, mean_demand};
use super::figures::Figures;
use super::parallel::in_parallel;
use super::simulation::{RunRecord, SimulationInput, simulate};

/// Length of the windows in which demand is averaged, in seconds.
pub const WINDOW_SECONDS: f64 = 10.0;
/// Splits that are tried because the capacity model ranks them first.
const RANKED_TRIED: usize = 10;
/// Rounds of trying the neighbours of the best split.
const CLIMBING_ROUNDS: usize = 3;

/// A schedule that was tried, with what came of it.
#[derive(Debug, Clone)]
pub struct Tried {
    /// The schedule.
    pub schedule: Schedule,
    /// Its run.
    pub record: RunRecord,
    /// Its figures.
    pub figures: Figures,
}

/// Runs a schedule; `initial` is the split at the begin.
pub fn try_schedule(input: SimulationInput<'_>, schedule: Schedule, initial: RoleSplit) -> Tried {
    let input = SimulationInput { initial, ..input };
    let mut controller = ScheduleController::new(schedule.clone());
    let record = simulate(input, &mut controller);
    let figures = Figures::new(input.requests, &record, input.seconds);
    Tried {
        schedule,
        record,
        figures,
    }
}

/// Mean demand of each window.
#[must_use]
pub fn demand_windows(input: &SimulationInput<'_>) -> Vec<TokenDemand> {
    let count = (input.seconds / WINDOW_SECONDS).ceil().max(1.0) as usize;
    (0..count)
        .map(|index| {
            let begin = (index as f64 * WINDOW_SECONDS * 1e3) as u64;
            let end = ((index + 1) as f64 * WINDOW_SECONDS * 1e3) as u64;
            let from = input.requests.partition_point(|one| one.arrival_ms < begin);
            let to = input.requests.partition_point(|one| one.arrival_ms < end);
            mean_demand(&input.requests[from..to], WINDOW_SECONDS)
        })
        .collect()
}

/// Goodput that the capacity model expects of a split in each window, weighed by requests.
#[must_use]
pub fn expected_goodput(
    input: &SimulationInput<'_>,
    windows: &[TokenDemand],
    split: RoleSplit,
) -> f64 {
    let capacity = input.fleet.engine_capacity();
    let targets = LatencyTargets::default();
    windows
        .iter()
        .map(|demand| demand.requests * capacity.goodput(split, *demand, targets))
        .sum()
}

/// All splits, the one that the capacity model expects most of first.
fn ranked(input: &SimulationInput<'_>) -> Vec<RoleSplit> {
    let windows = demand_windows(input);
    let mut valued: Vec<(f64, RoleSplit)> = all_splits(input.fleet.engines)
        .into_iter()
        .map(|split| (expected_goodput(input, &windows, split), split))
        .collect();
    valued.sort_by(|left, right| right.0.total_cmp(&left.0));
    valued.into_iter().map(|(_value, split)| split).collect()
}

/// The fixed split that the capacity model ranks first.
#[must_use]
pub fn first_ranked(input: &SimulationInput<'_>) -> RoleSplit {
    let first = ranked(input).first().copied();
    first.unwrap_or(RoleSplit::all_mixed(input.fleet.engines))
}

/// The best fixed split found: the ones that the capacity model ranks first and all mixed are run, then
/// the neighbours of the best, until none is better.
#[must_use]
pub fn best_static(input: SimulationInput<'_>, threads: usize) -> Tried {
    let mut ranked = ranked(&input);
    ranked.truncate(RANKED_TRIED);
    ranked.push(RoleSplit::all_mixed(input.fleet.engines));
    let mut tried: Vec<RoleSplit> = Vec::new();
    let mut best: Option<Tried> = None;
    for _ in 0..=CLIMBING_ROUNDS {
        ranked.retain(|split| !tried.contains(split));
        if ranked.is_empty() {
            break;
        }
        let run = |split: &RoleSplit| try_schedule(input, Schedule::fixed(*split), *split);
        for run in in_parallel(&ranked, threads, run) {
            let is_better = |best: &Tried| run.figures.goodput > best.figures.goodput;
            if best.as_ref().is_none_or(is_better) {
                best = Some(run);
            }
        }
        tried.append(&mut ranked);
        let centre = best.as_ref().map(|best| best.schedule.points[0].split);
        ranked = centre.map(neighbours).unwrap_or_default();
    }
    best.expect("at least one split was tried")
}

/// Splits one change away.
fn neighbours(split: RoleSplit) -> Vec<RoleSplit> {
    all_splits(split.total())
        .into_iter()
        .filter(|other| split.changes_to(*other) == 1)
        .collect()
}
