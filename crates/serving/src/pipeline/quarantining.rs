//! Records lost runs, and refuses quarantined requests and those with a quarantined part.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::fingerprint::Fingerprint;
use ponddrift_fleet::quarantine::{LostRun, Standing, SuspectKind, Suspicion, Update};

use super::Pipeline;
use super::answers::Failure;
use super::job::{Job, SuspectPart};
use super::plain::MIN_TIME_FOR_SEND;
use crate::back_end_index::hash;
use crate::request_trace::milliseconds;
use crate::time::{self, now};

/// How far an engine had come with a request when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunProgress {
    /// It was only to read the prompt.
    Reading,
    /// It had sent nothing of an answer yet.
    BeforeAnswer,
    /// It had begun to write the answer.
    Writing,
}

impl RunProgress {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::BeforeAnswer => "before_answer",
            Self::Writing => "writing",
        }
    }
}

/// A run that was lost, with what it says against its request and the parts of its prompt.
#[derive(Debug, Clone)]
pub(super) struct LostRunReport {
    pub(super) request_id: Arc<str>,
    pub(super) request: Fingerprint,
    pub(super) tenant: Option<Arc<str>>,
    pub(super) route: Arc<str>,
    /// The parts of the prompt that may be the cause. Engines crash on a part when they begin to
    /// write, so none is suspected of a run that was lost at another time.
    pub(super) parts: Arc<[SuspectPart]>,
    pub(super) engine: Arc<BackEnd>,
    pub(super) begun: Instant,
    pub(super) ended: Instant,
    pub(super) progress: RunProgress,
}

impl LostRunReport {
    /// Reports a run that has just ended.
    pub(super) fn of(
        job: &Job,
        engine: &Arc<BackEnd>,
        begun: Instant,
        progress: RunProgress,
    ) -> Self {
        let parts = match progress {
            RunProgress::BeforeAnswer => job.suspect_parts(),
            RunProgress::Reading | RunProgress::Writing => Arc::from([]),
        };
        Self {
            request_id: Arc::clone(&job.id),
            request: job.fingerprint(),
            tenant: job.tenant.as_ref().map(|tenant| Arc::clone(&tenant.name)),
            route: Arc::clone(&job.route.name),
            parts,
            engine: Arc::clone(engine),
            begun,
            ended: now(),
            progress,
        }
    }
}

impl Pipeline {
    /// Records a run that was lost with its engine.
    pub(super) fn record_lost_run(&self, report: &LostRunReport) {
        self.metrics.run_lost();
        let run = LostRun {
            engine: report.engine.incarnation_id(),
            request: 0,
            begun: report.begun,
            ended: report.ended,
        };
        let tenant = report.tenant.as_ref().map_or(0, |tenant| hash(tenant));
        let request =
            Suspicion::of_lost_run(report.request, SuspectKind::Request, tenant, run.clone());
        let parts = report.parts.iter().map(|part| {
            let run = LostRun {
                request: report.request.short(),
                ..run.clone()
            };
            Suspicion::of_lost_run(part.fingerprint, part.kind(), tenant, run)
        });
        let suspicions: Vec<Suspicion> = std::iter::once(request).chain(parts).collect();
        let updates = self.state.quarantine().record_lost_runs(&suspicions, now());
        for (suspicion, update) in suspicions.iter().zip(&updates) {
            self.announce_suspect(report, suspicion, *update);
        }
        let of_request = updates.first();
        tracing::warn!(
            request = &*report.request_id,
            fingerprint = %report.request,
            tenant = report.tenant.as_deref(),
            route = &*report.route,
            back_end = %report.engine.id,
            incarnation = report.engine.incarnation.0,
            ran_ms = milliseconds(report.ended.saturating_duration_since(report.begun)),
            known_after_ms = milliseconds(now().saturating_duration_since(report.ended)),
            requests_there = self.placement().load.requests(&report.engine.id),
            progress = report.progress.as_str(),
            parts = report.parts.len(),
            before = of_request.map(|update| update.before.as_str()),
            standing = of_request.map(|update| update.after.as_str()),
            "run_lost_with_engine"
        );
    }

    fn announce_suspect(&self, report: &LostRunReport, suspicion: &Suspicion, update: Update) {
        let fingerprint = suspicion.fingerprint;
        self.changed_suspects.add(fingerprint);
        if update.before != update.after {
            tracing::info!(
                request = &*report.request_id,
                %fingerprint,
                suspect = suspicion.kind.as_str(),
                before = update.before.as_str(),
                standing = update.after.as_str(),
                "standing_changed"
            );
        }
        if update.after.is_quarantined() {
            self.state.quarantine_changed().notify_one();
        }
    }

    /// Clears the suspicion against a request that ran to its end.
    pub(super) fn record_good_run(&self, job: &Job) {
        let mut quarantine = self.state.quarantine();
        if quarantine.is_empty() {
            return;
        }
        let request = job.fingerprint();
        let was_filed = quarantine.is_stored(request);
        let is_cleared = quarantine.record_good_run(request, now());
        drop(quarantine);
        if is_cleared {
            self.suspicion_cleared(job, request, SuspectKind::Request, was_filed);
        }
    }

    /// Clears the suspicion against the parts of a prompt on which an engine has begun to write.
    pub(super) fn record_sound_parts(&self, job: &Job) {
        let parts = job.suspect_parts();
        let mut quarantine = self.state.quarantine();
        quarantine.record_answer();
        let filed: Vec<Fingerprint> = parts
            .iter()
            .map(|part| part.fingerprint)
            .filter(|part| quarantine.is_stored(*part))
            .collect();
        let sound = parts.iter().map(|part| part.fingerprint);
        let cleared: HashSet<Fingerprint> = quarantine
            .record_sound_parts(sound, now())
            .into_iter()
            .collect();
        drop(quarantine);
        for part in parts.iter() {
            if cleared.contains(&part.fingerprint) {
                let was_filed = filed.contains(&part.fingerprint);
                self.suspicion_cleared(job, part.fingerprint, part.kind(), was_filed);
            }
        }
    }

    fn suspicion_cleared(
        &self,
        job: &Job,
        fingerprint: Fingerprint,
        kind: SuspectKind,
        was_filed: bool,
    ) {
        tracing::info!(
            request = &*job.id,
            %fingerprint,
            suspect = kind.as_str(),
            was_filed,
            "suspicion_cleared"
        );
        self.changed_suspects.add(fingerprint);
        if was_filed {
            self.state.quarantine_changed().notify_one();
        }
    }

    /// The worst standing of the request and the parts of its prompt.
    pub(super) fn standing(&self, job: &Job) -> Standing {
        self.confirm_ended_runs();
        let mut quarantine = self.state.quarantine();
        if quarantine.is_empty() {
            return Standing::Clear;
        }
        quarantine.refresh(now());
        let parts = job.suspect_parts();
        let parts = parts.iter().map(|part| part.fingerprint);
        let standings = std::iter::once(job.fingerprint())
            .chain(parts)
            .map(|suspect| quarantine.standing(suspect, now()));
        standings.max().unwrap_or(Standing::Clear)
    }

    /// The worst standing, once it is decided if the request may still be sent then.
    async fn decided_standing(&self, job: &Job) -> Standing {
        let mut has_waited = false;
        loop {
            let standing = self.standing(job);
            if let Standing::Pending { until } = standing
                && until + MIN_TIME_FOR_SEND < job.deadline
                && self.may_be_granted_send(job)
            {
                time::sleep_until(until).await;
                has_waited = true;
                continue;
            }
            if has_waited {
                tracing::info!(
                    request = &*job.id,
                    standing = standing.as_str(),
                    "pending_quarantine_awaited"
                );
            }
            return standing;
        }
    }

    /// Whether the request may run now; waits for the decision on a pending quarantine. A quarantined
    /// request, or one with a quarantined part, must not run, because it may crash an engine together
    /// with all other requests there. Nor must one that would still run when this daemon exits.
    pub(super) async fn may_run_now(&self, job: &Job) -> Result<(), Failure> {
        const ENGINES_EXITED: &str =
            "engines ended while they ran this request: it is not run again";
        let standing = self.decided_standing(job).await;
        self.may_end_before_stop(job)?;
        let until = match standing {
            Standing::Clear | Standing::Suspected => return Ok(()),
            Standing::Pending { until } | Standing::Quarantined { until } => until,
        };
        if job.runs > 0 {
            return Err(Failure::MayHaveRun(ENGINES_EXITED));
        }
        let remaining = until.saturating_duration_since(now());
        self.metrics.quarantined();
        Err(Failure::Quarantined { remaining })
    }
}
