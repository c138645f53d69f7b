//! The state of one request in the pipeline.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri, header};
use ponddrift_fleet::configuration::{Route, Service};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::fingerprint::{Fingerprint, PartContent, RequestContent};
use ponddrift_fleet::placement::{
    LatencyTargets, Placement, StreamNeeds, StreamPlacement, Urgency,
};
use ponddrift_fleet::prompt::PromptPart;
use ponddrift_fleet::quarantine::SuspectKind;
use ponddrift_fleet::tenants::Tenant;
use ponddrift_fleet::versions::RequiredVersion;
use ponddrift_http::memory::Reservation;

use super::Pipeline;
use super::attempt::{OpenSend, PREFILL};
use super::budgeting::HeldRetry;
use super::silent_sends::{RunStage, SharedRunStage};
use super::taken_up::TakenUpStream;
use super::wait_policy::Release;
use crate::dialect::RequestMetadata;
use crate::request_trace::RequestTrace;
use crate::time::now;

/// Logged status of a request whose caller disconnected before any status was sent.
const CALLER_LEFT_STATUS: u16 = 0;

/// A part of a prompt that may crash engines.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectPart {
    pub(super) fingerprint: Fingerprint,
    /// Number of parts before it.
    pub(super) place: u16,
}

impl SuspectPart {
    pub(super) const fn kind(&self) -> SuspectKind {
        SuspectKind::Part { place: self.place }
    }
}

/// A request and the decisions taken for it.
pub(super) struct Job {
    pub(super) id: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers of the caller that are forwarded.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Accounts for the memory of the body.
    pub(super) _memory: Reservation,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    /// Tenant of the request; `None` without a valid key on a public route, or if no tenants are
    /// configured.
    pub(super) tenant: Option<Arc<Tenant>>,
    pub(super) revision: ponddrift_fleet::revision::Revision,
    pub(super) arrived: Instant,
    /// Deadline of the request, from the caller's or the route's time limit.
    pub(super) deadline: Instant,
    pub(super) trace: RequestTrace,
    /// Sends that arrived at a back end of the service, or may have arrived.
    pub(super) delivered_sends: u32,
    /// Remote prefills that an engine started, or may have started.
    pub(super) prefill_sends: u32,
    /// Whether the request can meet its latency target, according to the latest plan.
    pub(super) urgency: Urgency,
    /// Whether the request ranks below those of other tenants, because its tenant exceeds its fair
    /// share.
    pub(super) yields: bool,
    /// Time to the first event that the first plan expected, in milliseconds.
    pub(super) expected_ms: Option<f64>,
    /// When the first event arrived.
    pub(super) first_event: Option<Instant>,
    /// Longest time between two events.
    pub(super) longest_gap: Duration,
    /// Gap that was expected at the engine chosen last, in milliseconds.
    pub(super) expected_gap_ms: Option<f64>,
    /// Events of the stream that the caller has.
    pub(super) events_sent: u64,
    /// How often the request waited while all back ends limited their request rate.
    pub(super) rate_waits: u32,
    /// Back ends that ran the request, or may have run it.
    pub(super) runs: u32,
    /// Those of them whose back ends fell silent and were not checked since.
    pub(super) silent_runs: Vec<OpenSend>,
    /// Back ends of runs that are known to have ended since. These do not count as attempts.
    pub(super) ended_runs: Vec<Arc<str>>,
    /// The stream that the caller takes up, if any.
    pub(super) taken_up: Option<TakenUpStream>,
    /// Software that a back end must run to go on with the stream.
    pub(super) required_version: RequiredVersion,
    /// Back ends that must not be tried again.
    pub(super) tried: Vec<Arc<str>>,
    /// Whether a back end did not answer in time. Later sends use new connections, because idle
    /// ones may have died silently.
    pub(super) had_timeout: bool,
    /// The send that is in progress.
    pub(super) open_send: Option<OpenSend>,
    /// How far the current run has come.
    pub(super) run_stage: Arc<SharedRunStage>,
    /// A retry taken for the next send.
    pub(super) held_retry: Option<HeldRetry>,
    /// The retry of the send that is in progress.
    pub(super) sending_retry: Option<HeldRetry>,
    /// Identifies the request when it is sent again; computed on first use.
    pub(super) fingerprint: OnceLock<Fingerprint>,
    /// Parts of its prompt that may crash engines; computed on first use.
    pub(super) suspect_parts: OnceLock<Arc<[SuspectPart]>>,
    /// Whether the end of the request has been recorded.
    pub(super) is_finished: bool,
    pub(super) pipeline: Arc<Pipeline>,
}

impl Drop for Job {
    /// Records a request whose caller disconnected: its future was dropped before the end.
    fn drop(&mut self) {
        if !self.is_finished {
            let pipeline = Arc::clone(&self.pipeline);
            pipeline.finish(self, CALLER_LEFT_STATUS, "caller_left");
        }
    }
}

impl Job {
    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(now())
    }

    /// Time left until the caller gives up on a request without a first event.
    pub(super) fn first_event_time_left(&self) -> Duration {
        let waited = now().saturating_duration_since(self.arrived);
        let until_stalled = self
            .route
            .caller_stall_timeout
            .map_or(Duration::MAX, |timeout| timeout.saturating_sub(waited));
        until_stalled.min(self.time_left())
    }

    /// Priority of the request; 0 is the most urgent. A tenant's priority overrides that of the
    /// route.
    pub(super) fn priority(&self) -> u8 {
        let tenant_priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(self.route.priority)
    }

    /// Latency targets of the request.
    pub(super) fn latency_targets(&self) -> LatencyTargets {
        LatencyTargets {
            latency: self.route.target_latency,
            gap: self.route.target_gap,
        }
    }

    /// What the rest of the stream needs; `None` if it has no target gap or no described prompt.
    pub(super) fn stream_needs(&self, placement: &Placement) -> Option<StreamNeeds> {
        let prompt = self.metadata.prompt.as_ref()?;
        let events_per_token = placement.streams.events_per_token(&self.service.name);
        StreamNeeds::of(
            prompt,
            self.latency_targets(),
            self.events_sent,
            self.time_left(),
            events_per_token,
        )
    }

    /// Records the gap that is expected at the chosen engine.
    pub(super) fn note_expected_gap(&mut self, placement: Option<&StreamPlacement>) {
        let gap_ms = placement.map(|placement| placement.gap_ms);
        self.expected_gap_ms = gap_ms.or(self.expected_gap_ms);
    }

    /// Whether another back end may run the request.
    pub(super) fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.route.kind.is_retryable() && self.attempts() < self.route.maximum_attempts)
    }

    /// Runs that count as attempts: those at back ends that are not known to have ended since.
    pub(super) fn attempts(&self) -> u32 {
        let ended = u32::try_from(self.ended_runs.len()).unwrap_or(u32::MAX);
        self.runs.saturating_sub(ended)
    }

    /// Records that the back end of a run has ended.
    pub(super) fn note_ended_run(&mut self, back_end: &BackEnd) {
        if !self.ended_runs.contains(&back_end.id) {
            self.ended_runs.push(Arc::clone(&back_end.id));
        }
    }

    /// Takes back a run that a back end turns out not to have begun.
    pub(super) fn forget_run(&mut self, back_end: &BackEnd) {
        self.runs = self.runs.saturating_sub(1);
        self.ended_runs.retain(|id| *id != back_end.id);
    }

    pub(super) fn begin_send(&mut self, send: OpenSend) {
        if send.purpose != PREFILL {
            self.run_stage.set(RunStage::Sent);
            self.sending_retry = self.held_retry.take();
        }
        self.open_send = Some(send);
    }

    /// Keeps the retry of a send that did not arrive for the next one.
    pub(super) fn keep_retry(&mut self) {
        if let Some(retry) = self.sending_retry.take() {
            self.held_retry = Some(retry);
        }
    }

    /// Counts a send that arrived. One that runs the request uses its retry.
    pub(super) fn count_delivery(&mut self, purpose: &'static str) {
        self.delivered_sends += 1;
        if purpose != PREFILL
            && let Some(retry) = self.sending_retry.take()
        {
            retry.spend();
        }
    }

    /// Counts a run that may have happened. A prefill does not count as a run, and the first one does
    /// not count as a delivered send.
    pub(super) fn count_run(&mut self, purpose: &'static str) {
        if purpose == PREFILL {
            self.prefill_sends += 1;
        } else {
            self.count_delivery(purpose);
            self.runs += 1;
        }
    }

    /// Identifies the request when it is sent again under another request ID.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(header::HOST);
            let path = self.uri.path_and_query();
            Fingerprint::of(&RequestContent {
                tenant: self.tenant.as_ref().map(|tenant| &*tenant.name),
                method: self.method.as_str(),
                host: host.and_then(|host| host.to_str().ok()).unwrap_or(""),
                path: path.map_or("/", |path| path.as_str()),
                body: &self.body,
            })
        })
    }

    /// The parts of its prompt that may crash engines: those that other requests share.
    pub(super) fn suspect_parts(&self) -> Arc<[SuspectPart]> {
        let parts = self.suspect_parts.get_or_init(|| {
            let prompt = self.metadata.prompt.as_ref();
            let shared = prompt.map_or(&[][..], |prompt| prompt.shared_parts());
            let parts = shared.iter().enumerate();
            parts
                .map(|(place, part)| self.suspect_part(place, part))
                .collect()
        });
        Arc::clone(parts)
    }

    fn suspect_part(&self, place: usize, part: &PromptPart) -> SuspectPart {
        SuspectPart {
            fingerprint: Fingerprint::of_part(&PartContent {
                tenant: self.tenant.as_ref().map(|tenant| &*tenant.name),
                service: &self.service.name,
                part: &part.id,
            }),
            place: u16::try_from(place).unwrap_or(u16::MAX),
        }
    }

    /// What the request needs before it leaves a back end that may be running it.
    pub(super) fn release(&self) -> Release {
        let may_run_elsewhere =
            self.route.kind.is_retryable() && self.attempts() + 1 < self.route.maximum_attempts;
        if may_run_elsewhere {
            Release::WithRetry
        } else {
            Release::Never
        }
    }

    /// Records that the back end of a silent run has answered.
    pub(super) fn forget_silent_run(&mut self, answered: &OpenSend) {
        self.silent_runs
            .retain(|run| run.back_end.id != answered.back_end.id);
    }

    pub(super) fn note_tried(&mut self, id: &Arc<str>) {
        self.tried.push(Arc::clone(id));
    }
}
