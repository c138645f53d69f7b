//! Comparing what callers were told with what the back ends ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use ponddrift_core::Execution;
use ponddrift_http::{Client, body};
use serde::Serialize;

use super::outcome::{Outcome, RequestResult};
use crate::run_log::{RUNS_PATH, RunCounts, RunReport};

/// Largest log read, in bytes.
const LOG_SIZE_LIMIT: usize = 256 * 1024 * 1024;
/// Time a back end has to give its log.
const LOG_TIME_LIMIT: Duration = Duration::from_secs(30);

/// A contradiction between a caller's answer and the back ends' logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "violation", rename_all = "snake_case")]
pub enum Violation {
    /// `not_started` was said, but a back end began to run it.
    NotStartedButRan {
        /// The request.
        request_id: String,
        /// Times it started.
        started: u32,
    },
    /// It was never sent, but a back end began to run it.
    NotSentButRan {
        /// The request.
        request_id: String,
        /// Times it started.
        started: u32,
    },
    /// It may run at most once, but started more often.
    RanTwice {
        /// The request.
        request_id: String,
        /// Its key.
        idempotency_key: Option<String>,
        /// Times it started.
        started: u32,
    },
    /// A whole answer was given, but no back end ran it whole.
    WholeButNotRun {
        /// The request.
        request_id: String,
    },
    /// A log is not whole, so that nothing can be said for certain.
    LogIncomplete {
        /// Entries that were dropped.
        dropped: u64,
    },
}

/// Reads the run logs of back ends (control or service address).
///
/// # Errors
/// Which back end did not give its log, and why.
pub async fn fetch_runs(
    client: &Client,
    back_ends: &[SocketAddr],
) -> Result<Vec<RunReport>, String> {
    let mut reports = Vec::with_capacity(back_ends.len());
    for address in back_ends {
        let fetched = tokio::time::timeout(LOG_TIME_LIMIT, fetch(client, *address)).await;
        let report = fetched.unwrap_or_else(|_elapsed| Err("it took too long".to_owned()));
        reports.push(report.map_err(|error| format!("run log of {address}: {error}"))?);
    }
    Ok(reports)
}

async fn fetch(client: &Client, address: SocketAddr) -> Result<RunReport, String> {
    let request = Request::get(format!("http://{address}{RUNS_PATH}"))
        .body(body::empty())
        .map_err(|error| error.to_string())?;
    let response = client
        .send(request)
        .await
        .map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()));
    }
    body::read_json(response.into_body(), LOG_SIZE_LIMIT, LOG_TIME_LIMIT)
        .await
        .map_err(|error| error.to_string())
}

/// Finds every contradiction.
#[must_use]
pub fn compare(results: &[RequestResult], logs: &[RunReport]) -> Vec<Violation> {
    let runs = Runs::new(logs);
    let mut violations = Vec::new();
    if runs.dropped > 0 {
        let dropped = runs.dropped;
        violations.push(Violation::LogIncomplete { dropped });
    }
    for result in results {
        violations.extend(runs.check_answer(result));
    }
    violations.extend(runs.check_repetitions(results));
    violations
}

/// Counts over all back ends.
struct Runs<'a> {
    by_request: BTreeMap<&'a str, RunCounts>,
    by_key: BTreeMap<&'a str, RunCounts>,
    dropped: u64,
}

impl<'a> Runs<'a> {
    fn new(logs: &'a [RunReport]) -> Self {
        let mut runs = Self {
            by_request: BTreeMap::new(),
            by_key: BTreeMap::new(),
            dropped: logs.iter().map(|log| log.dropped).sum(),
        };
        for entry in logs.iter().flat_map(|log| &log.runs) {
            let of_request = runs.by_request.entry(&entry.key.request_id).or_default();
            add(of_request, entry.counts);
            if let Some(key) = &entry.key.idempotency_key {
                add(runs.by_key.entry(key).or_default(), entry.counts);
            }
        }
        runs
    }

    fn of(&self, result: &RequestResult) -> RunCounts {
        let found = self.by_request.get(result.request_id.as_str());
        found.copied().unwrap_or_default()
    }

    /// Runs of a request under any of its names.
    fn whole_runs(&self, result: &RequestResult) -> u32 {
        let key = result.idempotency_key.as_deref();
        let by_key = key.and_then(|key| self.by_key.get(key));
        let by_key = by_key.map_or(0, |counts| counts.whole);
        by_key.max(self.of(result).whole)
    }

    fn check_answer(&self, result: &RequestResult) -> Option<Violation> {
        let counts = self.of(result);
        let (request_id, started) = (result.request_id.clone(), counts.started);
        match &result.outcome {
            Outcome::Refused {
                execution: Execution::NotStarted,
                ..
            } if started + counts.exports > 0 => Some(Violation::NotStartedButRan {
                request_id,
                started: started + counts.exports,
            }),
            Outcome::NotSent if started > 0 => Some(Violation::NotSentButRan {
                request_id,
                started,
            }),
            Outcome::Whole(_) if self.whole_runs(result) == 0 && self.dropped == 0 => {
                Some(Violation::WholeButNotRun { request_id })
            }
            _ => None,
        }
    }

    /// Each request that may run once, and each key, is reported once.
    fn check_repetitions(&self, results: &[RequestResult]) -> Vec<Violation> {
        let mut found = BTreeMap::new();
        for result in results.iter().filter(|result| !result.repeatable) {
            let key = result.idempotency_key.as_deref();
            let by_key = key.and_then(|key| self.by_key.get(key));
            let started = by_key.map_or(0, |counts| counts.started);
            let started = started.max(self.of(result).started);
            if started > 1 {
                let name = key.unwrap_or(&result.request_id);
                found.insert(
                    name,
                    Violation::RanTwice {
                        request_id: result.request_id.clone(),
                        idempotency_key: result.idempotency_key.clone(),
                        started,
                    },
                );
            }
        }
        found.into_values().collect()
    }
}

fn add(sum: &mut RunCounts, counts: RunCounts) {
    sum.started += counts.started;
    sum.ended += counts.ended;
    sum.whole += counts.whole;
    sum.exports += counts.exports;
    sum.refused += counts.refused;
}
