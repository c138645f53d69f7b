//! Reports each window's usage to the provider while this daemon leads.
//!
//! 1. Gather: collect the copies that daemons keep of each other's counts, until all known daemons
//!    have closed the window or the report must not wait longer.
//! 2. Settle: write the sum to the store once. Later leaders report these figures and no others.
//! 3. Report: repeat the report until the provider accepts it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use ponddrift_fleet::usage::{TenantCounts, WindowNumber, end_of_window, window_at};
use ponddrift_runtime::Runtime;
use tokio::time::sleep;

use super::UsageRecorder;
use crate::fleet_state::FleetState;
use crate::leader::Leadership;
use crate::metrics::Metrics;
use crate::peers;
use crate::provider::{Caller, Provider, ProviderError, result_name};
use crate::store::{FleetStore, StoreError};
use crate::time::now;

/// Interval between steps.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Delay from the end of a window to the first gathering. By then each daemon has sent its closed
/// tally twice.
const GATHERING_DELAY: Duration = Duration::from_millis(1_100);
/// Delay from the first to the second gathering if counts are missing; doubles with each gathering.
const GATHERING_RETRY_DELAY: Duration = Duration::from_millis(900);
/// Fraction of the time until a report is due during which the report waits for missing counts. The
/// rest is left for a change of the leader and for the report itself.
const GATHERING_FRACTION_OF_DUE_TIME: f64 = 0.5;
/// Delay after the first failed call; doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Upper bound of the delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Windows older than this number of windows are no longer reported.
const MAX_REPORTABLE_AGE_WINDOWS: u64 = 10;

/// Settings of usage reports.
#[derive(Debug, Clone)]
pub struct ReportSettings {
    /// Name of this daemon.
    pub holder: Arc<str>,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
}

/// What usage reports need from the daemon.
pub struct ReportDependencies {
    /// This daemon's counts, and its copies of other daemons' counts.
    pub recorder: Arc<UsageRecorder>,
    /// Store in which the figures of a window are settled.
    pub store: Arc<dyn FleetStore>,
    /// Source of the known daemons and leaders.
    pub state: Arc<FleetState>,
    /// Receiver of the reports.
    pub provider: Arc<dyn Provider>,
    /// Whether this daemon may report as the leader.
    pub leadership: Leadership,
    /// Counters of the reports and their results.
    pub metrics: Arc<Metrics>,
}

/// Starts to report usage while this daemon leads.
pub fn start(runtime: &Runtime, settings: ReportSettings, dependencies: ReportDependencies) {
    let reporter = Reporter {
        runtime: runtime.clone(),
        settings,
        dependencies,
        pending: BTreeMap::new(),
        next_window: None,
        term: None,
    };
    runtime.spawner.spawn(Box::pin(reporter.run()));
}

struct Reporter {
    runtime: Runtime,
    settings: ReportSettings,
    dependencies: ReportDependencies,
    /// Windows that have ended and are not reported yet.
    pending: BTreeMap<WindowNumber, Progress>,
    /// The first window that has not been added to `pending`.
    next_window: Option<WindowNumber>,
    /// Fencing token of the term to which `pending` belongs. A term may pause and resume.
    term: Option<u64>,
}

/// Progress of the report of one window.
#[derive(Default)]
struct Progress {
    gatherings: u32,
    failures: u32,
    retry_at: Option<Instant>,
    settled: Option<TenantCounts>,
    /// Whether the window ended before this daemon led, so that an earlier leader may have reported
    /// it.
    may_be_reported: bool,
}

impl Progress {
    fn is_waiting(&self, now: Instant) -> bool {
        self.retry_at.is_some_and(|retry_at| now < retry_at)
    }

    fn schedule_retry(&mut self) {
        let delay = INITIAL_RETRY_DELAY.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.retry_at = Some(now() + delay.min(MAX_RETRY_DELAY));
    }
}

/// The outcome of one step for a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepOutcome {
    Reported,
    /// No counts of the window are known.
    Unknown,
    Pending,
}

impl Reporter {
    async fn run(mut self) {
        loop {
            sleep(STEP_INTERVAL).await;
            let Some(fencing_token) = self.dependencies.leadership.current_token() else {
                continue;
            };
            if self.term != Some(fencing_token) {
                // Another daemon may have reported windows since this daemon's earlier term.
                self.pending.clear();
                self.next_window = None;
                self.term = Some(fencing_token);
            }
            self.add_ended_windows();
            self.report_pending_windows().await;
        }
    }

    fn add_ended_windows(&mut self) {
        let length = self.dependencies.recorder.window_length();
        let current = window_at(self.dependencies.recorder.fleet_time(), length);
        let oldest = current.saturating_sub(MAX_REPORTABLE_AGE_WINDOWS);
        // A new leader does not know what its predecessor reported, so it settles and reports all
        // windows again that are not overdue.
        let first_not_overdue = current.saturating_sub(1 + self.windows_until_due(length));
        let first = self.next_window.unwrap_or(first_not_overdue).max(oldest);
        let may_be_reported = self.next_window.is_none();
        for window in first..current {
            let progress = self.pending.entry(window).or_default();
            progress.may_be_reported = may_be_reported;
        }
        self.next_window = Some(current.max(first));
        for (window, _progress) in self.pending.extract_if(..oldest, |_window, _progress| true) {
            tracing::warn!(window, "usage_not_reported");
            self.dependencies.metrics.usage_report("given_up");
        }
    }

    fn windows_until_due(&self, length: Duration) -> u64 {
        let windows = self.settings.due.as_millis() / length.as_millis().max(1);
        u64::try_from(windows).unwrap_or(MAX_REPORTABLE_AGE_WINDOWS)
    }

    /// Processes the windows concurrently, so that a daemon that does not answer delays no other
    /// window.
    async fn report_pending_windows(&mut self) {
        let now = now();
        let due = self
            .pending
            .extract_if(.., |_window, progress| !progress.is_waiting(now));
        let due: Vec<(WindowNumber, Progress)> = due.collect();
        let this = &*self;
        let steps = due.into_iter().map(|(window, mut progress)| async move {
            let outcome = this.advance(window, &mut progress).await;
            (window, progress, outcome)
        });
        for (window, progress, outcome) in join_all(steps).await {
            if outcome == StepOutcome::Pending {
                self.pending.insert(window, progress);
            }
        }
    }

    /// Advances the report of one window as far as possible now.
    async fn advance(&self, window: WindowNumber, progress: &mut Progress) -> StepOutcome {
        if progress.settled.is_none() {
            if !self.gather_if_due(window, progress).await {
                return StepOutcome::Pending;
            }
            if !self.dependencies.recorder.knows(window) {
                return StepOutcome::Unknown;
            }
            let outcome = self.settle(window, progress).await;
            if outcome != StepOutcome::Pending {
                return outcome;
            }
        }
        match progress.settled.clone() {
            Some(counts) => self.report(window, &counts, progress).await,
            None => StepOutcome::Pending,
        }
    }

    /// Gathers copies if that is due. Returns whether nothing is missing, or there is no time left
    /// to wait.
    async fn gather_if_due(&self, window: WindowNumber, progress: &mut Progress) -> bool {
        let recorder = &self.dependencies.recorder;
        let window_end = end_of_window(window, recorder.window_length());
        let since_end = recorder.fleet_time().saturating_sub(window_end);
        if since_end < GATHERING_DELAY {
            return false;
        }
        let daemons = self.dependencies.state.daemon_addresses();
        self.gather(window, &daemons).await;
        progress.gatherings += 1;
        let missing = self.missing(window, &daemons).len();
        let is_last = since_end >= self.settings.due.mul_f64(GATHERING_FRACTION_OF_DUE_TIME);
        tracing::info!(
            window,
            daemons = daemons.len(),
            missing,
            gatherings = progress.gatherings,
            is_last,
            "usage_gathered"
        );
        if missing == 0 || is_last {
            return true;
        }
        let delay =
            GATHERING_RETRY_DELAY.saturating_mul(1 << progress.gatherings.min(8).saturating_sub(1));
        progress.retry_at = Some(now() + delay);
        false
    }

    /// Asks the daemons that keep copies, then those whose counts are still missing, because a
    /// daemon that keeps copies may have been restarted.
    async fn gather(&self, window: WindowNumber, daemons: &BTreeMap<u64, SocketAddr>) {
        let topology = self.dependencies.state.topology();
        self.fetch(window, &topology.usage_replica_holders).await;
        let missing = self.missing(window, daemons);
        self.fetch(window, &missing).await;
    }

    /// Daemons whose counts of a window are not known to be complete.
    fn missing(
        &self,
        window: WindowNumber,
        daemons: &BTreeMap<u64, SocketAddr>,
    ) -> Vec<SocketAddr> {
        let recorder = &self.dependencies.recorder;
        let missing = daemons
            .iter()
            .filter(|(daemon, _address)| !recorder.is_final(window, **daemon));
        missing.map(|(_daemon, address)| *address).collect()
    }

    async fn fetch(&self, window: WindowNumber, peers: &[SocketAddr]) {
        let answers = peers
            .iter()
            .map(|peer| peers::fetch_tallies(&self.runtime, *peer, window));
        for (peer, answer) in peers.iter().zip(join_all(answers).await) {
            match answer {
                Ok(copies) => copies
                    .iter()
                    .for_each(|copy| self.dependencies.recorder.merge(copy)),
                // Other daemons may keep the same copies. What none of them has counts as missing.
                Err(error) => tracing::info!(%peer, window, %error, "usage_copies_not_fetched"),
            }
        }
    }

    /// The figures to settle: those settled before if the store lost them, otherwise the current
    /// totals.
    async fn figures_to_settle(&self, window: WindowNumber, progress: &Progress) -> TenantCounts {
        let recorder = &self.dependencies.recorder;
        if let Some(settled) = recorder.settled(window) {
            return settled;
        }
        if progress.may_be_reported
            && let Some(settled) = self.settled_by_earlier_leader(window).await
        {
            return settled;
        }
        recorder.totals(window)
    }

    async fn settled_by_earlier_leader(&self, window: WindowNumber) -> Option<TenantCounts> {
        let leaders = self.dependencies.state.other_recent_leaders();
        let answers = leaders
            .iter()
            .map(|leader| peers::fetch_settled(&self.runtime, *leader, window));
        for (leader, answer) in leaders.iter().zip(join_all(answers).await) {
            match answer {
                Ok(Some(settled)) => return Some(settled),
                Ok(None) => {}
                // The daemon may have ended; the figures it settled are then found only in the
                // store.
                Err(error) => tracing::info!(%leader, window, %error, "settled_usage_not_fetched"),
            }
        }
        None
    }

    async fn settle(&self, window: WindowNumber, progress: &mut Progress) -> StepOutcome {
        let counts = self.figures_to_settle(window, progress).await;
        match self.dependencies.store.settle_usage(window, &counts).await {
            Ok(settled) => {
                let is_own = settled == counts;
                tracing::info!(window, tenants = settled.len(), is_own, "usage_settled");
                self.dependencies.recorder.record_settled(window, &settled);
                progress.settled = Some(settled);
                StepOutcome::Pending
            }
            // The window's place in the store was reused for a later one, so the window is long
            // overdue.
            Err(StoreError::Conflict) => StepOutcome::Unknown,
            Err(error) => {
                tracing::warn!(window, %error, "usage_not_settled");
                progress.schedule_retry();
                StepOutcome::Pending
            }
        }
    }

    async fn report(
        &self,
        window: WindowNumber,
        counts: &TenantCounts,
        progress: &mut Progress,
    ) -> StepOutcome {
        let Some(fencing_token) = self.dependencies.leadership.begin_call() else {
            return StepOutcome::Pending;
        };
        let caller = Caller {
            holder: Arc::clone(&self.settings.holder),
            fencing_token,
        };
        let provider = &self.dependencies.provider;
        let result = provider.report_usage(&caller, window, counts).await;
        let requests: u64 = counts.values().copied().map(u64::from).sum();
        let error = result.as_ref().err().map(ToString::to_string);
        tracing::info!(
            window,
            fencing_token,
            tenants = counts.len(),
            requests,
            error,
            "usage_reported"
        );
        self.dependencies.metrics.usage_report(result_name(&result));
        match result {
            Ok(()) => return StepOutcome::Reported,
            Err(ProviderError::Fenced) => self
                .dependencies
                .leadership
                .report_fenced_off(fencing_token),
            Err(_error) => {}
        }
        progress.schedule_retry();
        StepOutcome::Pending
    }
}
