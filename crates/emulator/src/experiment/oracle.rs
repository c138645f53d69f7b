//! The best plan found with the whole trace known.
//!
//! Dynamic programming over windows of demand, on the capacity model and the times of changes, gives
//! candidates for several weights of a change; each is run in the simulator with several lead times,
//! and the best one is then refined by moving and dropping its changes. It is the best plan *found*:
//! nothing proves that there is no better one.

use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_core::roles::{LatencyTargets, RoleSplit, TokenDemand};

use super::controller::{Schedule, SchedulePoint};
use super::demand::all_splits;
use super::parallel::in_parallel;
use super::schedule_search::{Tried, WINDOW_SECONDS, demand_windows, try_schedule};
use super::simulation::SimulationInput;

/// Requests' shares of a window that one change must gain, for which plans are made.
const CHANGE_WEIGHTS: [f64; 3] = [0.005, 0.04, 0.2];
/// Seconds by which a plan's changes begin before the window they are for.
const LEADS: [f64; 2] = [2.0, 8.0];
/// Seconds by which single changes are moved when the best plan is refined.
const MOVES: [f64; 4] = [-10.0, -4.0, 4.0, 10.0];
/// Variants run in one round of refining.
const REFINING_RUNS: usize = 6;
/// Rounds of refining.
const REFINING_ROUNDS: usize = 2;
/// Seconds that an engine is away for a change, as planned with.
const AWAY_SECONDS: f64 = 6.0;
/// Most engines changed between two windows.
const MOST_CHANGES: u32 = 4;

/// Plans tried by the oracle.
#[derive(Debug, Clone)]
pub struct OracleSearch {
    /// The one with the largest goodput.
    pub best: Tried,
    /// Goodput and role changes of every plan that was run.
    pub tried: Vec<TriedSummary>,
}

/// What one plan of the search reached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TriedSummary {
    /// Its goodput.
    pub goodput: f64,
    /// Its role changes.
    pub role_changes: u64,
}

impl OracleSearch {
    fn new(best: Tried) -> Self {
        let mut search = Self {
            tried: Vec::new(),
            best: best.clone(),
        };
        search.take(best);
        search
    }

    /// Takes a run in; gives whether it is the best so far.
    fn take(&mut self, run: Tried) -> bool {
        self.tried.push(TriedSummary {
            goodput: run.figures.goodput,
            role_changes: run.figures.role_changes,
        });
        let is_better = better(&run, &self.best);
        if is_better {
            self.best = run;
        }
        is_better
    }

    /// Fewest changes of a plan found that reaches a goodput.
    #[must_use]
    pub fn fewest_changes_at(&self, goodput: f64) -> Option<u64> {
        let reach = self.tried.iter().filter(|one| one.goodput >= goodput);
        reach.map(|one| one.role_changes).min()
    }
}

/// Larger goodput; of two equal ones the one with fewer changes.
fn better(run: &Tried, than: &Tried) -> bool {
    let goodput = run.figures.goodput.total_cmp(&than.figures.goodput);
    goodput.is_gt() || (goodput.is_eq() && run.figures.role_changes < than.figures.role_changes)
}

/// Searches the best plan. `fixed` is the best fixed split; it takes part.
#[must_use]
pub fn search(input: SimulationInput<'_>, fixed: Tried, threads: usize) -> OracleSearch {
    let windows = demand_windows(&input);
    let splits = all_splits(input.fleet.engines);
    let table = GoodputTable::new(&input, &windows, &splits);
    let starts = [input.initial, fixed.schedule.points[0].split];
    let mut search = OracleSearch::new(fixed);
    let mut schedules: Vec<Schedule> = Vec::new();
    for weight in CHANGE_WEIGHTS {
        for start in starts {
            let chosen = table.plan(weight, start);
            for lead in LEADS {
                let schedule = to_schedule(&chosen, lead);
                if !schedules.contains(&schedule) {
                    schedules.push(schedule);
                }
            }
        }
    }
    let run = |schedule: &Schedule| {
        let start = schedule.points[0].split;
        try_schedule(input, schedule.clone(), start)
    };
    for run in in_parallel(&schedules, threads, run) {
        search.take(run);
    }
    refine(input, &mut search, threads);
    search
}

/// Expected good requests of each window and split.
struct GoodputTable<'a> {
    splits: &'a [RoleSplit],
    requests: Vec<f64>,
    values: Vec<Vec<f64>>,
    meanwhile: Box<dyn Fn(usize, RoleSplit) -> f64 + 'a>,
}

impl<'a> GoodputTable<'a> {
    fn new(
        input: &SimulationInput<'a>,
        windows: &'a [TokenDemand],
        splits: &'a [RoleSplit],
    ) -> Self {
        let capacity = input.fleet.engine_capacity();
        let targets = LatencyTargets::default();
        let value = move |window: usize, split: RoleSplit| {
            let demand = windows[window];
            demand.requests * capacity.goodput(split, demand, targets)
        };
        let values = (0..windows.len())
            .map(|window| splits.iter().map(|split| value(window, *split)).collect())
            .collect();
        Self {
            splits,
            requests: windows.iter().map(|demand| demand.requests).collect(),
            values,
            meanwhile: Box::new(value),
        }
    }

    /// The splits of the windows that are worth most, from `start` on.
    fn plan(&self, weight: f64, start: RoleSplit) -> Vec<RoleSplit> {
        let count = self.splits.len();
        let mut total = vec![f64::NEG_INFINITY; count];
        let mut came_from: Vec<Vec<usize>> = Vec::new();
        if let Some(first) = self.splits.iter().position(|split| *split == start) {
            total[first] = 0.0;
        }
        for window in 0..self.values.len() {
            let mut next = vec![f64::NEG_INFINITY; count];
            let mut from = vec![0; count];
            for (to, value) in next.iter_mut().enumerate() {
                for (before, sum) in total.iter().enumerate() {
                    let changes = self.splits[before].changes_to(self.splits[to]);
                    if !sum.is_finite() || changes > MOST_CHANGES {
                        continue;
                    }
                    let worth = sum + self.worth(window, before, to, changes, weight);
                    if worth > *value {
                        *value = worth;
                        from[to] = before;
                    }
                }
            }
            total = next;
            came_from.push(from);
        }
        let mut at = (0..count)
            .max_by(|left, right| total[*left].total_cmp(&total[*right]))
            .unwrap_or(0);
        let mut chosen = Vec::new();
        for from in came_from.iter().rev() {
            chosen.push(self.splits[at]);
            at = from[at];
        }
        chosen.push(start);
        chosen.reverse();
        chosen
    }

    fn worth(&self, window: usize, before: usize, to: usize, changes: u32, weight: f64) -> f64 {
        let after = self.values[window][to];
        if changes == 0 {
            return after;
        }
        let common = self.splits[before].in_common(self.splits[to]);
        let meanwhile = if common.can_serve() {
            (self.meanwhile)(window, common)
        } else {
            0.0
        };
        let away = AWAY_SECONDS / WINDOW_SECONDS;
        let cost = weight * f64::from(changes) * self.requests[window];
        away * meanwhile + (1.0 - away) * after - cost
    }
}

/// `chosen[0]` is the split at the begin, `chosen[k + 1]` the one of window k.
fn to_schedule(chosen: &[RoleSplit], lead: f64) -> Schedule {
    let mut points = vec![SchedulePoint {
        at: Timestamp::ZERO,
        split: chosen[0],
    }];
    for (window, split) in chosen[1..].iter().enumerate() {
        if points.last().is_some_and(|last| last.split == *split) {
            continue;
        }
        let at = (window as f64 * WINDOW_SECONDS - lead).max(0.0);
        points.push(SchedulePoint {
            at: Timestamp::ZERO + Duration::from_secs_f64(at),
            split: *split,
        });
    }
    Schedule { points }
}

/// Moves or drops single changes of the best plan as long as that helps.
fn refine(input: SimulationInput<'_>, search: &mut OracleSearch, threads: usize) {
    for round in 0..REFINING_ROUNDS {
        let variants = variants(&search.best.schedule);
        let begin = (round * REFINING_RUNS) % variants.len().max(1);
        let some: Vec<Schedule> = variants
            .iter()
            .cycle()
            .skip(begin)
            .take(REFINING_RUNS.min(variants.len()))
            .cloned()
            .collect();
        let run = |schedule: &Schedule| {
            let start = schedule.points[0].split;
            try_schedule(input, schedule.clone(), start)
        };
        for run in in_parallel(&some, threads, run) {
            search.take(run);
        }
    }
}

fn variants(schedule: &Schedule) -> Vec<Schedule> {
    let mut variants = Vec::new();
    for index in 1..schedule.points.len() {
        let mut without = schedule.clone();
        without.points.remove(index);
        variants.push(without);
        for by in MOVES {
            variants.push(moved(schedule, index, by));
        }
    }
    variants
}

fn moved(schedule: &Schedule, index: usize, by: f64) -> Schedule {
    let mut changed = schedule.clone();
    let at = changed.points[index].at.as_millis() as f64 / 1e3;
    let earliest = changed.points[index - 1].at;
    let latest = changed.points.get(index + 1).map(|next| next.at);
    let wanted = Timestamp::ZERO + Duration::from_secs_f64((at + by).max(0.0));
    changed.points[index].at = wanted.max(earliest);
    if let Some(latest) = latest {
        changed.points[index].at = changed.points[index].at.min(latest);
    }
    changed
}
