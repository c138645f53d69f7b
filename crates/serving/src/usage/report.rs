//! The leader reports each window's usage to the provider.
//!
//! 1. Gather: the copies that daemons keep of each other's counts, until all known daemons have closed the window or it has
//!    to be reported.
//! 2. Settle: the sum is written to the store once. Whoever leads next reports that figure and no other.
//! 3. Report, again and again until the provider has taken it.

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

/// Time between two looks at what is to be done.
const STEP: Duration = Duration::from_millis(200);
/// Copies of a window are gathered so long after its end: by then each daemon has sent its closed tally twice.
const FIRST_GATHERING: Duration = Duration::from_millis(1_100);
/// Time from the first to the second gathering, where something is missing; it doubles from one to the next.
const GATHERING_PAUSE: Duration = Duration::from_millis(900);
/// Part of the time until a report is due in which it waits for daemons whose counts are missing. The rest is for a new
/// leader: a lease that lapses, and the report itself.
const GATHERING_SHARE: f64 = 0.5;
/// First pause after a call that was not taken; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a call that was not taken.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Reports that are overdue for this many windows are no longer made.
const WINDOWS_REPORTED: u64 = 10;

/// Settings of usage reports.
#[derive(Debug, Clone)]
pub struct ReportSettings {
    /// Name of this daemon.
    pub holder: Arc<str>,
    /// A report is due so long after its window ends.
    pub due: Duration,
}

/// What reports are made of and where they go.
pub struct ReportDependencies {
    /// This daemon's counts and copies of others'.
    pub recorder: Arc<UsageRecorder>,
    /// Where a window's figures are settled.
    pub store: Arc<dyn FleetStore>,
    /// Which daemons there are.
    pub state: Arc<FleetState>,
    /// Who takes the reports.
    pub provider: Arc<dyn Provider>,
    /// Whether this daemon leads.
    pub leadership: Leadership,
    /// Figures.
    pub metrics: Arc<Metrics>,
}

/// Starts to report while this daemon leads.
pub fn start(runtime: &Runtime, settings: ReportSettings, reporting: ReportDependencies) {
    let reporter = Reporter {
        runtime: runtime.clone(),
        settings,
        reporting,
        open: BTreeMap::new(),
        next: None,
    };
    runtime.spawner.spawn(Box::pin(reporter.run()));
}

struct Reporter {
    runtime: Runtime,
    settings: ReportSettings,
    reporting: ReportDependencies,
    /// Windows that have ended and are not reported yet.
    open: BTreeMap<WindowNumber, Progress>,
    /// First window that has not been looked at.
    next: Option<WindowNumber>,
}

/// How far the report of a window is.
#[derive(Default)]
struct Progress {
    gatherings: u32,
    failures: u32,
    not_before: Option<Instant>,
    settled: Option<TenantCounts>,
    /// It ended before this daemon led: another may have reported it.
    may_be_reported: bool,
}

impl Progress {
    fn is_paused(&self, now: Instant) -> bool {
        self.not_before.is_some_and(|not_before| now < not_before)
    }

    fn pause_after_failure(&mut self) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.not_before = Some(now() + pause.min(LONGEST_PAUSE));
    }
}

/// What became of a window in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepEnd {
    Reported,
    /// Nobody knows anything of it.
    Unknown,
    GoesOn,
}

impl Reporter {
    async fn run(mut self) {
        loop {
            sleep(STEP).await;
            if !self.reporting.leadership.may_call() {
                // Another leads, and reports what is open.
                self.open.clear();
                self.next = None;
                continue;
            }
            self.open_ended_windows();
            self.report_open_windows().await;
        }
    }

    fn open_ended_windows(&mut self) {
        let length = self.reporting.recorder.window_length();
        let current = window_at(self.reporting.recorder.true_time(), length);
        let oldest = current.saturating_sub(WINDOWS_REPORTED);
        // A new leader does not know what the one before reported: it settles and reports all that is not overdue again.
        let not_overdue = current.saturating_sub(1 + self.windows_until_due(length));
        let first = self.next.unwrap_or(not_overdue).max(oldest);
        let may_be_reported = self.next.is_none();
        for window in first..current {
            let progress = self.open.entry(window).or_default();
            progress.may_be_reported = may_be_reported;
        }
        self.next = Some(current.max(first));
        for (window, _progress) in self.open.extract_if(..oldest, |_window, _progress| true) {
            tracing::warn!(window, "usage_not_reported");
            self.reporting.metrics.usage_report("given_up");
        }
    }

    fn windows_until_due(&self, length: Duration) -> u64 {
        let windows = self.settings.due.as_millis() / length.as_millis().max(1);
        u64::try_from(windows).unwrap_or(WINDOWS_REPORTED)
    }

    /// Side by side: a daemon that does not answer holds up no other window.
    async fn report_open_windows(&mut self) {
        let now = now();
        let due = self
            .open
            .extract_if(.., |_window, progress| !progress.is_paused(now));
        let due: Vec<(WindowNumber, Progress)> = due.collect();
        let this = &*self;
        let steps = due.into_iter().map(|(window, mut progress)| async move {
            let end = this.step(window, &mut progress).await;
            (window, progress, end)
        });
        for (window, progress, end) in join_all(steps).await {
            if end == StepEnd::GoesOn {
                self.open.insert(window, progress);
            }
        }
    }

    /// Brings the report of one window as far as it goes now.
    async fn step(&self, window: WindowNumber, progress: &mut Progress) -> StepEnd {
        if progress.settled.is_none() {
            if !self.is_gathered(window, progress).await {
                return StepEnd::GoesOn;
            }
            if !self.reporting.recorder.knows(window) {
                return StepEnd::Unknown;
            }
            let end = self.settle(window, progress).await;
            if end != StepEnd::GoesOn {
                return end;
            }
        }
        match progress.settled.clone() {
            Some(counts) => self.report(window, &counts, progress).await,
            None => StepEnd::GoesOn,
        }
    }

    /// Gathers copies where it is time to. Returns whether nothing is missing, or there is no more time to wait for it.
    async fn is_gathered(&self, window: WindowNumber, progress: &mut Progress) -> bool {
        let recorder = &self.reporting.recorder;
        let end = end_of_window(window, recorder.window_length());
        let since_end = recorder.true_time().saturating_sub(end);
        if since_end < FIRST_GATHERING {
            return false;
        }
        let daemons = self.reporting.state.daemon_addresses();
        self.gather(window, &daemons).await;
        progress.gatherings += 1;
        let missing = self.missing(window, &daemons).len();
        let is_last = since_end >= self.settings.due.mul_f64(GATHERING_SHARE);
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
        let pause =
            GATHERING_PAUSE.saturating_mul(1 << progress.gatherings.min(8).saturating_sub(1));
        progress.not_before = Some(now() + pause);
        false
    }

    /// Asks those that keep copies, then the daemons themselves whose counts are still missing: a keeper may have been
    /// started anew.
    async fn gather(&self, window: WindowNumber, daemons: &BTreeMap<u64, SocketAddr>) {
        let topology = self.reporting.state.topology();
        self.fetch(window, &topology.usage_keepers).await;
        let missing = self.missing(window, daemons);
        self.fetch(window, &missing).await;
    }

    /// Daemons whose counts of a window are not known to be complete.
    fn missing(
        &self,
        window: WindowNumber,
        daemons: &BTreeMap<u64, SocketAddr>,
    ) -> Vec<SocketAddr> {
        let recorder = &self.reporting.recorder;
        let missing = daemons
            .iter()
            .filter(|(daemon, _address)| !recorder.is_final(window, **daemon));
        missing.map(|(_daemon, address)| *address).collect()
    }

    async fn fetch(&self, window: WindowNumber, peers: &[SocketAddr]) {
        let asked = peers
            .iter()
            .map(|peer| peers::fetch_tallies(&self.runtime, *peer, window));
        for (peer, answer) in peers.iter().zip(join_all(asked).await) {
            match answer {
                Ok(copies) => copies
                    .iter()
                    .for_each(|copy| self.reporting.recorder.merge(copy)),
                // Others may keep the same copies; what none of them has counts as missing.
                Err(error) => tracing::info!(%peer, window, %error, "usage_copies_not_fetched"),
            }
        }
    }

    /// What is to be settled: the figures that were settled before, where the store has lost them since.
    async fn figures(&self, window: WindowNumber, progress: &Progress) -> TenantCounts {
        let recorder = &self.reporting.recorder;
        if let Some(settled) = recorder.settled(window) {
            return settled;
        }
        if progress.may_be_reported
            && let Some(settled) = self.settled_by_leader_before(window).await
        {
            return settled;
        }
        recorder.totals(window)
    }

    async fn settled_by_leader_before(&self, window: WindowNumber) -> Option<TenantCounts> {
        let leaders = self.reporting.state.other_recent_leaders();
        let asked = leaders
            .iter()
            .map(|leader| peers::fetch_settled(&self.runtime, *leader, window));
        for (leader, answer) in leaders.iter().zip(join_all(asked).await) {
            match answer {
                Ok(Some(settled)) => return Some(settled),
                Ok(None) => {}
                // It may have ended: then what it settled stands in the store alone.
                Err(error) => tracing::info!(%leader, window, %error, "settled_usage_not_fetched"),
            }
        }
        None
    }

    async fn settle(&self, window: WindowNumber, progress: &mut Progress) -> StepEnd {
        let counts = self.figures(window, progress).await;
        match self.reporting.store.settle_usage(window, &counts).await {
            Ok(settled) => {
                let is_own = settled == counts;
                tracing::info!(window, tenants = settled.len(), is_own, "usage_settled");
                self.reporting.recorder.note_settled(window, &settled);
                progress.settled = Some(settled);
                StepEnd::GoesOn
            }
            // Its place in the store holds a later window: this one is long overdue.
            Err(StoreError::Conflict) => StepEnd::Unknown,
            Err(error) => {
                tracing::warn!(window, %error, "usage_not_settled");
                progress.pause_after_failure();
                StepEnd::GoesOn
            }
        }
    }

    async fn report(
        &self,
        window: WindowNumber,
        counts: &TenantCounts,
        progress: &mut Progress,
    ) -> StepEnd {
        let Some(fencing_token) = self.reporting.leadership.begin_call() else {
            return StepEnd::GoesOn;
        };
        let caller = Caller {
            holder: Arc::clone(&self.settings.holder),
            fencing_token,
        };
        let provider = &self.reporting.provider;
        let ended = provider.report_usage(&caller, window, counts).await;
        let requests: u64 = counts.values().copied().map(u64::from).sum();
        let error = ended.as_ref().err().map(ToString::to_string);
        tracing::info!(
            window,
            fencing_token,
            tenants = counts.len(),
            requests,
            error,
            "usage_reported"
        );
        self.reporting.metrics.usage_report(result_name(&ended));
        match ended {
            Ok(()) => return StepEnd::Reported,
            Err(ProviderError::Fenced) => self.reporting.leadership.report_fenced_off(fencing_token),
            Err(_trouble) => {}
        }
        progress.pause_after_failure();
        StepEnd::GoesOn
    }
}
