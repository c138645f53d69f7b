//! The daemons' part of a request: admission, placement, retries, and the end.

use std::time::Duration;

use indexmap::IndexMap;
use ponddrift_core::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionRequest, AdmissionSettings,
    DAEMON_WAIT_TARGET,
};
use ponddrift_core::retry::{
    AttemptFailure, AttemptOutcome, RequestFacts, RetryDecision, RetryPolicy, RetrySettings,
};
use ponddrift_core::routing::{
    PlacementPlan, RouteRequest, RouteTarget, Router, RouterSettings, RoutingEvent, RoutingRefusal,
    SendOutcome, VersionRule,
};
use ponddrift_core::service_time::{ServiceTimes, WorkUnits};
use ponddrift_core::{MachineId, RequestId, ServiceName, TenantName, Timestamp};
use ponddrift_engine::wire::cache_events::BLOCK_TOKENS;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Simulation;
use super::event::Event;
use super::request::{Ending, Stage};
use crate::experiment::deployment::Fleet;
use crate::experiment::trace::ExperimentRequest;

/// The daemon's own default of `admission.maximum_in_flight`.
const MAXIMUM_IN_FLIGHT: u32 = 2_048;
/// The daemon's own default of `admission.queue_length`.
const QUEUE_LENGTH: usize = 256;
/// A wait that no request reaches.
const NO_WAIT_TARGET: Duration = Duration::from_secs(600);
/// Most tokens that a prefix (a handbook, the head of a ledger) has.
const LONGEST_PREFIX: usize = 1_024;

/// What the daemons' admission is fed with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AdmissionInputs {
    /// The limiter on waits is out of play, and service times are learned by output tokens.
    #[default]
    Adjusted,
    /// As in the daemon: its wait target, and service times learned by units of work.
    Shipped,
}

impl AdmissionInputs {
    fn wait_target(self) -> Duration {
        match self {
            Self::Adjusted => NO_WAIT_TARGET,
            Self::Shipped => DAEMON_WAIT_TARGET,
        }
    }

    /// Work by which the service time of a request is learned and expected.
    fn work(self, request: &ExperimentRequest) -> WorkUnits {
        match self {
            Self::Adjusted => WorkUnits::of_completion(0, request.output_tokens),
            Self::Shipped => WorkUnits::of_completion(request.prompt_tokens, request.output_tokens),
        }
    }
}

/// The decision code of one daemon.
pub(super) struct SimDaemon {
    pub router: Router,
    pub admission: Admission,
    pub retry: RetryPolicy,
    pub times: ServiceTimes,
    pub tick_at: Option<Timestamp>,
}

impl SimDaemon {
    pub fn new(fleet: &Fleet, inputs: AdmissionInputs, seed: u64, index: u32) -> Self {
        let seed = xxh3_64_with_seed(&index.to_le_bytes(), seed);
        let settings = RouterSettings {
            zone_distance: Duration::from_micros(fleet.zone_distance_us),
            ..RouterSettings::default()
        };
        let admission_settings = AdmissionSettings {
            queue_length: QUEUE_LENGTH,
            max_capacity_multiple: 1.0,
            wait_target: inputs.wait_target(),
            ..AdmissionSettings::default()
        };
        let mut admission = Admission::new(admission_settings, seed);
        let capacity = AdmissionEvent::CapacityChanged {
            slots: MAXIMUM_IN_FLIGHT,
        };
        admission.handle(Timestamp::ZERO, capacity);
        Self {
            router: Router::new(settings, seed),
            admission,
            retry: RetryPolicy::new(RetrySettings::default(), seed),
            times: ServiceTimes::default(),
            tick_at: None,
        }
    }
}

/// Block hashes of the prefixes, made once.
#[derive(Default)]
pub(super) struct PrefixBlocks {
    blocks: IndexMap<u64, Vec<u64>>,
}

impl PrefixBlocks {
    /// Hashes of the whole blocks in the shared beginning of a prompt: its first half, but no more than
    /// the longest prefix. The rest is never shared.
    pub fn of(&mut self, request: &ExperimentRequest) -> Vec<u64> {
        let Some(prefix) = request.prefix_id else {
            return Vec::new();
        };
        let shared = (request.prompt_tokens as usize / 2).min(LONGEST_PREFIX);
        let count = shared / BLOCK_TOKENS;
        let blocks = self.blocks.entry(prefix).or_default();
        for index in blocks.len()..count {
            blocks.push(xxh3_64_with_seed(&index.to_le_bytes(), prefix));
        }
        blocks[..count].to_vec()
    }
}

pub(super) const fn request_id(request: usize) -> RequestId {
    RequestId(request as u128 + 1)
}

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let entry = &self.input.requests[request];
        self.window.arrived(entry);
        let deadline = self.requests[request].deadline;
        self.events.push(deadline, Event::Deadline { request });
        let service = ServiceName::new(&entry.service).expect("a valid name");
        let expected_tokens = entry.prompt_tokens.saturating_add(entry.output_tokens);
        let work = self.input.admission.work(entry);
        let daemon = &self.daemons[self.requests[request].daemon];
        let wanted = AdmissionRequest {
            id: request_id(request),
            tenant: TenantName::new(&entry.tenant).expect("a valid name"),
            weight: 1,
            expected_service: daemon.times.expected(self.now, &service, work),
            service,
            level: entry.priority,
            deadline,
            expected_tokens,
        };
        self.requests[request].stage = Stage::Waiting;
        if entry.is_lookup() {
            // Lookups have an admission of their own, which they never fill.
            self.start(request);
            return;
        }
        let daemon = self.requests[request].daemon;
        self.admit(daemon, AdmissionEvent::Arrived(wanted));
    }

    pub(super) fn admission_tick(&mut self, daemon: usize) {
        self.daemons[daemon].tick_at = None;
        self.admit(daemon, AdmissionEvent::Tick);
    }

    /// Tells a daemon's admission something and carries out what it decides.
    pub(super) fn admit(&mut self, daemon: usize, event: AdmissionEvent) {
        let actions = self.daemons[daemon].admission.handle(self.now, event);
        let gateway = &mut self.daemons[daemon];
        if let Some(due) = gateway.admission.next_tick()
            && gateway.tick_at.is_none_or(|scheduled| due < scheduled)
        {
            gateway.tick_at = Some(due);
            let due = due.max(self.now + Duration::from_millis(1));
            self.events.push(due, Event::AdmissionTick { daemon });
        }
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start(id.0 as usize - 1),
                AdmissionAction::Refuse(id, _refusal) => {
                    self.finish(id.0 as usize - 1, Ending::Refused);
                }
            }
        }
    }

    fn start(&mut self, request: usize) {
        self.requests[request].started_at = Some(self.now);
        self.requests[request].stage = Stage::Placing;
        self.place(request);
    }

    /// Chooses back ends and sends the request there.
    pub(super) fn place(&mut self, request: usize) {
        self.requests[request].attempt += 1;
        let route = self.route_request(request);
        let daemon = self.requests[request].daemon;
        match self.daemons[daemon].router.choose(self.now, &route) {
            Ok(placement) => self.send(request, placement.plan),
            Err(RoutingRefusal::DeadlinePassed) => self.finish(request, Ending::Late),
            Err(_refusal) => self.finish(request, Ending::Refused),
        }
    }

    fn send(&mut self, request: usize, plan: PlacementPlan) {
        let is_repeatable = self.input.requests[request].is_repeatable();
        let engine_of = |id: MachineId| id.0 as usize;
        match plan {
            PlacementPlan::Single { back_end } if engine_of(back_end) >= self.engines.len() => {
                self.look_up(request, engine_of(back_end) - self.engines.len());
            }
            PlacementPlan::Single { back_end } => self.run_whole(request, engine_of(back_end)),
            // As the daemon does: the decode engine reads such a prompt itself.
            PlacementPlan::Handover { decode, .. } if !is_repeatable => {
                self.run_whole(request, engine_of(decode));
            }
            PlacementPlan::Handover { prefill, decode } => {
                self.read_for(request, engine_of(prefill), engine_of(decode));
            }
        }
    }

    fn route_request(&mut self, request: usize) -> RouteRequest {
        let entry = &self.input.requests[request];
        let prefix_blocks = self.prefixes.of(entry);
        let state = &self.requests[request];
        let target = if entry.is_lookup() {
            RouteTarget::Plain {
                pool: self.names.pool.clone(),
            }
        } else {
            RouteTarget::Completion {
                model: self.names.model.clone(),
                version: VersionRule::Any,
                adapter: None,
            }
        };
        RouteRequest {
            request: request_id(request),
            target,
            prompt_tokens: entry.prompt_tokens,
            expected_output_tokens: entry.output_tokens,
            prefix_blocks,
            deadline: state.deadline,
            priority: entry.priority,
            excluded: state.excluded.clone(),
            avoided_zone: state.avoided_zone.clone(),
            caller_zone: self.names.zone(state.daemon).clone(),
            caller_region: self.names.region.clone(),
            may_probe: entry.is_repeatable(),
        }
    }

    /// An attempt failed: another one follows, or the request ends with an error.
    pub(super) fn failed(&mut self, request: usize, back_end: usize, failure: AttemptFailure) {
        self.release(request);
        let zone = self.names.zone(back_end).clone();
        let back_end = MachineId(back_end as u32);
        let outcome = AttemptOutcome {
            back_end,
            zone,
            failure,
        };
        let state = &mut self.requests[request];
        let facts = RequestFacts {
            repeatable: self.input.requests[request].is_repeatable(),
            first_byte_sent: state.first_token_at.is_some(),
            deadline: state.deadline,
            expected_service: Duration::ZERO,
            earlier: state.record,
        };
        state.record = state.record.with(failure.execution());
        state.stage = Stage::Placing;
        state.attempt += 1;
        let attempt = state.attempt;
        let daemon = state.daemon;
        let decision = self.daemons[daemon]
            .retry
            .decide(self.now, &outcome, &facts);
        match decision {
            RetryDecision::Retry {
                after,
                exclude,
                avoid_zone,
            } => {
                let state = &mut self.requests[request];
                state.excluded.push(exclude);
                state.avoided_zone = avoid_zone;
                let retry = Event::Retry { request, attempt };
                self.events.push(self.now + after, retry);
            }
            RetryDecision::GiveUp { .. } => self.finish(request, Ending::Failed),
        }
    }

    /// The caller stops waiting; what still runs is cancelled.
    pub(super) fn expire(&mut self, request: usize) {
        if self.requests[request].ending.is_some() {
            return;
        }
        self.cancel(request);
        self.finish(request, Ending::Late);
    }

    /// Ends a request, whatever way.
    pub(super) fn finish(&mut self, request: usize, ending: Ending) {
        self.release(request);
        let state = &mut self.requests[request];
        state.endings += 1;
        state.stage = Stage::Ended;
        if state.ending.is_some() {
            return;
        }
        state.ending = Some(ending);
        self.open -= 1;
        let (daemon, started_at) = (state.daemon, state.started_at);
        let entry = &self.input.requests[request];
        if entry.is_lookup() {
            return;
        }
        let id = request_id(request);
        let used_tokens = entry.prompt_tokens.saturating_add(entry.output_tokens);
        let work = self.input.admission.work(entry);
        if let (Ending::Whole, Some(started_at)) = (ending, started_at) {
            let service = ServiceName::new(&entry.service).expect("a valid name");
            let gateway = &mut self.daemons[daemon];
            gateway.retry.succeeded(self.now);
            let elapsed = self.now.since(started_at);
            gateway.times.observe(self.now, &service, work, elapsed);
        }
        match (ending, started_at) {
            (Ending::Refused, None) => {}
            (_, None) => self.admit(daemon, AdmissionEvent::Abandoned { id }),
            (_, Some(_)) => self.admit(daemon, AdmissionEvent::Finished { id, used_tokens }),
        }
    }

    /// Tells the request's daemon's router how a send ended.
    pub(super) fn end_send(&mut self, request: usize, back_end: usize, outcome: SendOutcome) {
        let daemon = self.requests[request].daemon;
        let ended = RoutingEvent::Ended {
            request: request_id(request),
            back_end: MachineId(back_end as u32),
            outcome,
        };
        self.daemons[daemon].router.handle(self.now, ended);
    }

    pub(super) fn tell_all(&mut self, event: &RoutingEvent) {
        for daemon in &mut self.daemons {
            daemon.router.handle(self.now, event.clone());
        }
    }
}
