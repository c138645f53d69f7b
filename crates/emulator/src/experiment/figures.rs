//! Figures of one planner on one trace.

use std::collections::BTreeMap;

use serde::Serialize;

use super::simulation::{Ending, RequestRecord, RunRecord};
use super::trace::ExperimentRequest;

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Percentiles {
    /// Half are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

/// Goodput of one priority level.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PriorityGoodput {
    /// Level of the priority.
    pub priority: u8,
    /// Requests.
    pub requests: u64,
    /// Share of them that ended whole within their deadlines.
    pub goodput: f64,
}

/// Figures of one run.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: u64,
    /// Share of them that ended whole within their deadlines.
    pub goodput: f64,
    /// The same by priority.
    pub goodput_by_priority: Vec<PriorityGoodput>,
    /// Tokens generated a second for requests that ended whole within their deadlines.
    pub goodput_tokens_per_s: f64,
    /// Role changes begun. An engine that comes back without a role counts as one.
    pub role_changes: u64,
    /// Seconds that engines drained and changed, added up.
    pub engine_seconds_away: f64,
    /// Time to the first token.
    pub ttft_ms: Percentiles,
    /// Mean time between the tokens of a request.
    pub tpot_ms: Percentiles,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests cut off by their deadlines.
    pub late: u64,
    /// Requests that ended by an explicit error.
    pub failed: u64,
    /// Requests that were never answered in any way.
    pub lost: u64,
    /// Requests that ran or were answered more often than they may.
    pub doubled: u64,
}

impl Figures {
    /// Figures of a run over `seconds`.
    #[must_use]
    pub fn new(requests: &[ExperimentRequest], record: &RunRecord, seconds: f64) -> Self {
        let records = &record.requests;
        let count = |wanted: Option<Ending>| {
            let fits = |one: &&RequestRecord| one.ending == wanted;
            records.iter().filter(fits).count() as u64
        };
        let whole = count(Some(Ending::Whole));
        let tokens: f64 = requests
            .iter()
            .zip(records)
            .filter(|(_request, one)| one.ending == Some(Ending::Whole))
            .map(|(request, _one)| f64::from(request.output_tokens))
            .sum();
        Self {
            requests: records.len() as u64,
            goodput: share(whole, records.len() as u64),
            goodput_by_priority: by_priority(requests, records),
            goodput_tokens_per_s: tokens / seconds.max(1.0),
            role_changes: record.changes.len() as u64,
            engine_seconds_away: record.engine_seconds_away,
            ttft_ms: percentiles(records.iter().filter_map(|one| one.first_token_ms)),
            tpot_ms: percentiles(records.iter().filter_map(|one| one.token_interval_ms)),
            refused: count(Some(Ending::Refused)),
            late: count(Some(Ending::Late)),
            failed: count(Some(Ending::Failed)),
            lost: count(None),
            doubled: records.iter().filter(|one| one.doubled).count() as u64,
        }
    }
}

fn by_priority(requests: &[ExperimentRequest], records: &[RequestRecord]) -> Vec<PriorityGoodput> {
    let mut counts: BTreeMap<u8, (u64, u64)> = BTreeMap::new();
    for (request, record) in requests.iter().zip(records) {
        let (all, whole) = counts.entry(request.priority).or_default();
        *all += 1;
        *whole += u64::from(record.ending == Some(Ending::Whole));
    }
    let level = |(priority, (all, whole))| PriorityGoodput {
        priority,
        requests: all,
        goodput: share(whole, all),
    };
    counts.into_iter().map(level).collect()
}

fn share(part: u64, all: u64) -> f64 {
    if all == 0 {
        return 1.0;
    }
    part as f64 / all as f64
}

fn percentiles(values: impl Iterator<Item = f64>) -> Percentiles {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = (share * values.len() as f64).ceil() as usize;
        values.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}
