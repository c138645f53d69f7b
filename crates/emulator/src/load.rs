//! Load generator: open loop from a trace, checks every answer, reports, and compares with the back
//! ends' run logs.

mod compare;
mod mix;
mod outcome;
mod report;
pub(crate) mod request;
mod trace;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ponddrift_core::random::seeded;
use ponddrift_http::{Client, ClientSettings};
use ponddrift_runtime::Runtime;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::Instant;

pub use compare::{Violation, compare, fetch_runs};
pub use mix::{MixSettings, WeightedModel, generate};
pub use outcome::{Outcome, RequestResult, Timing};
pub use report::{LoadReport, Percentiles, RefusalCount, Targets};
pub use trace::{TraceEntry, TracePrompt, TraceWork, read_trace, write_trace};

/// How a load is run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Where requests are sent, in turn.
    pub targets: Vec<SocketAddr>,
    /// Time a request without its own deadline may take.
    pub time_limit: Duration,
    /// What counts as good.
    pub goals: Targets,
    /// Whose request ids the answers carry.
    pub ids: RequestIds,
}

/// Whose request ids the answers carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestIds {
    /// The caller's: back ends repeat what they were sent.
    #[default]
    Caller,
    /// The daemon's, which names each request itself; its header and every part must agree.
    Daemon,
}

/// How far a load is, for whoever shows it.
#[derive(Debug, Default)]
pub struct LoadProgress {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

/// Counts of a [`LoadProgress`] at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressCounts {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Anything else.
    pub other: u64,
}

impl LoadProgress {
    /// The counts now.
    #[must_use]
    pub fn counts(&self) -> ProgressCounts {
        ProgressCounts {
            sent: self.sent.load(Ordering::Relaxed),
            whole: self.whole.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            other: self.other.load(Ordering::Relaxed),
        }
    }

    fn ended(&self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Whole(_) => &self.whole,
            Outcome::Refused { .. } => &self.refused,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Everything that came out of a load.
#[derive(Debug, Clone)]
pub struct LoadOutcome {
    /// Figures.
    pub report: LoadReport,
    /// Each request, in the order of the trace.
    pub results: Vec<RequestResult>,
}

/// Sends every entry of `trace` at its time, whether or not earlier ones were answered.
///
/// # Errors
/// When no target is named.
pub async fn run_load(
    runtime: &Runtime,
    settings: LoadSettings,
    trace: Vec<TraceEntry>,
) -> io::Result<LoadOutcome> {
    run_load_shown(runtime, settings, trace, Arc::default()).await
}

/// As [`run_load`], counting in `progress` while it runs.
///
/// # Errors
/// When no target is named.
pub async fn run_load_shown(
    runtime: &Runtime,
    settings: LoadSettings,
    trace: Vec<TraceEntry>,
    progress: Arc<LoadProgress>,
) -> io::Result<LoadOutcome> {
    if settings.targets.is_empty() {
        let message = "name at least one target";
        return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
    }
    let mut random = seeded(runtime.seed, "load request ids");
    let client = Client::new(runtime, ClientSettings::default());
    let settings = Arc::new(settings);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let begin = Instant::now();
    let mut results = Vec::with_capacity(trace.len());
    let mut sent_late = Vec::with_capacity(trace.len());
    for (index, entry) in trace.into_iter().enumerate() {
        let due = begin + Duration::from_millis(entry.at_ms);
        tokio::time::sleep_until(due).await;
        sent_late.push(due.elapsed());
        let sending = request::Sending {
            client: client.clone(),
            target: settings.targets[index % settings.targets.len()],
            request_id: format!("{:032x}", random.random::<u128>()),
            time_limit: settings.time_limit,
            ids: settings.ids,
            entry,
        };
        let sender = sender.clone();
        let progress = Arc::clone(&progress);
        progress.sent.fetch_add(1, Ordering::Relaxed);
        runtime.spawner.spawn(Box::pin(async move {
            let result = sending.run().await;
            progress.ended(&result.outcome);
            // The receiver lives until every sender is gone.
            let _received = sender.send((index, result));
        }));
    }
    drop(sender);
    while let Some(result) = receiver.recv().await {
        results.push(result);
    }
    let elapsed = begin.elapsed();
    results.sort_by_key(|(index, _result)| *index);
    let results: Vec<RequestResult> = results.into_iter().map(|(_index, one)| one).collect();
    Ok(LoadOutcome {
        report: LoadReport::new(&results, &sent_late, elapsed, settings.goals),
        results,
    })
}
