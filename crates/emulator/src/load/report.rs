//! Figures of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ponddrift_core::Execution;
use serde::Serialize;

use super::outcome::{Outcome, RequestResult, Timing};

/// Largest time that the histograms tell apart, in microseconds (one hour).
const LONGEST_MICROSECONDS: u64 = 3_600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Wrong answers that are listed with their ids.
const LISTED: usize = 100;

/// What counts as good.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Targets {
    /// Longest time to the first token.
    pub first: Duration,
    /// Longest average time between tokens.
    pub between: Duration,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(910),
            between: Duration::from_millis(59),
        }
    }
}

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Percentiles {
    /// Samples.
    pub count: u64,
    /// Half are below.
    pub p50_ms: f64,
    /// 90 in 100 are below.
    pub p90_ms: f64,
    /// 95 in 100 are below.
    pub p95_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

/// Refusals of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalCount {
    /// HTTP status.
    pub status: u16,
    /// Kind of the problem.
    pub problem: String,
    /// What was said of the execution.
    pub execution: Execution,
    /// How many.
    pub count: u64,
}

/// Figures of a load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Length in seconds, until the last answer.
    pub seconds: f64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Refusals by kind.
    pub refusals: Vec<RefusalCount>,
    /// Whole answers within the targets.
    pub good: u64,
    /// Whole answers within the targets, a second.
    pub good_per_second: f64,
    /// Tokens generated in whole answers, a second.
    pub tokens_per_second: f64,
    /// Time to the first token of whole streams.
    pub time_to_first_token: Percentiles,
    /// Average time between tokens of whole streams.
    pub time_between_tokens: Percentiles,
    /// Time to the end of whole answers.
    pub total_time: Percentiles,
    /// How much later than the trace says requests were sent; more than a few milliseconds shows that
    /// the generator itself was too slow.
    pub sent_late: Percentiles,
    /// Answers that are wrong or ended silently; the first ones.
    pub errors: Vec<RequestResult>,
}

impl LoadReport {
    /// Works out the figures.
    #[must_use]
    pub fn new(
        results: &[RequestResult],
        sent_late: &[Duration],
        elapsed: Duration,
        targets: Targets,
    ) -> Self {
        let seconds = elapsed.as_secs_f64().max(f64::EPSILON);
        let timings: Vec<Timing> = results.iter().filter_map(whole).collect();
        let streamed = || timings.iter().filter(|timing| timing.streamed);
        let good = timings.iter().filter(|one| is_good(one, targets)).count() as u64;
        let tokens: u64 = timings.iter().map(|timing| u64::from(timing.tokens)).sum();
        let mut outcomes = BTreeMap::new();
        for result in results {
            *outcomes.entry(result.outcome.name()).or_insert(0) += 1;
        }
        let is_error = |result: &&RequestResult| {
            matches!(result.outcome, Outcome::Wrong { .. } | Outcome::SilentEnd)
        };
        Self {
            requests: results.len() as u64,
            seconds,
            outcomes,
            refusals: refusals(results),
            good,
            good_per_second: good as f64 / seconds,
            tokens_per_second: tokens as f64 / seconds,
            time_to_first_token: percentiles(streamed().map(|timing| timing.first)),
            time_between_tokens: percentiles(streamed().filter_map(|timing| timing.between)),
            total_time: percentiles(timings.iter().map(|timing| timing.total)),
            sent_late: percentiles(sent_late.iter().copied()),
            errors: results
                .iter()
                .filter(is_error)
                .take(LISTED)
                .cloned()
                .collect(),
        }
    }
}

fn whole(result: &RequestResult) -> Option<Timing> {
    match result.outcome {
        Outcome::Whole(timing) => Some(timing),
        _ => None,
    }
}

/// A whole completion that was not streamed is held to the targets by its total time.
fn is_good(timing: &Timing, targets: Targets) -> bool {
    if timing.streamed {
        let between = timing.between.unwrap_or_default();
        return timing.first <= targets.first && between <= targets.between;
    }
    timing.total <= targets.first + targets.between * timing.tokens
}

fn refusals(results: &[RequestResult]) -> Vec<RefusalCount> {
    let mut counts: Vec<RefusalCount> = Vec::new();
    for result in results {
        let Outcome::Refused {
            status,
            problem,
            execution,
            ..
        } = &result.outcome
        else {
            continue;
        };
        let is_same = |known: &&mut RefusalCount| {
            known.status == *status && known.problem == *problem && known.execution == *execution
        };
        match counts.iter_mut().find(is_same) {
            Some(known) => known.count += 1,
            None => counts.push(RefusalCount {
                status: *status,
                problem: problem.clone(),
                execution: *execution,
                count: 1,
            }),
        }
    }
    counts
}

fn percentiles(times: impl Iterator<Item = Duration>) -> Percentiles {
    let mut histogram: Histogram<u64> = Histogram::new_with_bounds(1, LONGEST_MICROSECONDS, DIGITS)
        .expect("the bounds are fixed and valid");
    for time in times {
        let microseconds = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(microseconds);
    }
    if histogram.is_empty() {
        return Percentiles::default();
    }
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}
