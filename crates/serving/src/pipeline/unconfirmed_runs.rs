//! Runs that broke off at engines of which no peer could tell whether they have exited.
//!
//! A refused connection shows that an engine has exited only at a daemon whose paths are known to
//! work, and while all back ends are down no daemon can show that. The entry of the engine tells it
//! later: it names a later start, it expires, or another process uses the address. Until then the
//! engine gets no requests, so the run still counts before the next one can be lost there. A peer that
//! has found out reports what it lost there, which confirms the runs of others as well. Otherwise the
//! innocent requests of one daemon would count and the cause, at another daemon, would not.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use ponddrift_fleet::directory::{BackEnd, IncarnationId};
use ponddrift_fleet::quarantine::{QUARANTINE_DURATION, Quarantine};

use super::Pipeline;
use super::quarantining::LostRunReport;
use crate::time::now;

/// Maximum number of runs that are held.
const MAX_RUNS: usize = 256;

/// Runs whose engines may have exited.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedRuns {
    reports: Mutex<Vec<LostRunReport>>,
}

impl UnconfirmedRuns {
    /// Adds a run. If there are too many, the one whose request has lost the fewest runs goes, and
    /// among those the oldest.
    fn add(&self, report: LostRunReport, quarantine: &Quarantine) {
        let mut reports = self.lock();
        reports.push(report);
        if reports.len() <= MAX_RUNS {
            return;
        }
        let weakest = reports
            .iter()
            .enumerate()
            .min_by_key(|(_index, report)| (quarantine.lost_runs(report.request), report.ended));
        if let Some((index, _report)) = weakest {
            reports.remove(index);
        }
    }

    /// Removes and returns the runs whose engines have ended, in the order in which they were lost.
    /// Forgets those that are too old for a quarantine.
    fn take_ended(&self, has_ended: impl Fn(&BackEnd) -> bool, now: Instant) -> Vec<LostRunReport> {
        let mut reports = self.lock();
        if reports.is_empty() {
            return Vec::new();
        }
        reports.retain(|report| now.saturating_duration_since(report.ended) < QUARANTINE_DURATION);
        let mut ended: HashMap<IncarnationId, bool> = HashMap::new();
        let engines = reports.iter().map(|report| &report.engine);
        for engine in engines {
            let known = ended.entry(engine.incarnation_id());
            known.or_insert_with(|| has_ended(engine));
        }
        reports
            .extract_if(.., |report| ended[&report.engine.incarnation_id()])
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LostRunReport>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pipeline {
    /// Holds a run until the entry of its engine shows whether the engine has exited.
    pub(super) fn hold_unconfirmed(&self, report: LostRunReport) {
        tracing::info!(
            request = &*report.request_id,
            fingerprint = %report.request,
            back_end = %report.engine.id,
            incarnation = report.engine.incarnation.0,
            "engine_exit_unconfirmed"
        );
        self.metrics.exit_unconfirmed();
        self.unconfirmed_runs.add(report, &self.state.quarantine());
    }

    /// Records the held runs whose engines have ended, according to their entries.
    pub(super) fn confirm_ended_runs(&self) {
        self.confirm_runs(|engine| self.state.has_ended(engine, now()));
    }

    /// Records the held runs at engines under which peers have lost runs.
    pub(crate) fn confirm_runs_at(&self, exited: &HashSet<IncarnationId>) {
        self.confirm_runs(|engine| exited.contains(&engine.incarnation_id()));
    }

    fn confirm_runs(&self, has_ended: impl Fn(&BackEnd) -> bool) {
        for report in self.unconfirmed_runs.take_ended(has_ended, now()) {
            self.record_lost_run(&report);
        }
    }

    /// Confirms held runs whenever entries change, so that peers learn of them before they use the
    /// next incarnation of the engine.
    pub async fn confirm_runs_on_changes(self: Arc<Self>) {
        loop {
            self.state.items_changed().notified().await;
            self.confirm_ended_runs();
        }
    }
}
