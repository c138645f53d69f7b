//! Admission controller of one daemon.

use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;

use super::capacity::CapacityLimiter;
use super::event::{
    AdmissionAction, AdmissionEvent, AdmissionRefusal, AdmissionRequest, LimitScope,
};
use super::limits::{Exceeded, LimitState, Limits};
use super::queue::FairQueue;
use super::settings::AdmissionSettings;
use super::share::{DemandReport, DemandShares};
use crate::random::{SeededRandom, seeded};
use crate::sliding_count::SlidingCount;
use crate::{RequestId, ServiceName, TenantName, Timestamp};

/// Maximum random extension of a retry time, as a fraction, so that refused callers do not retry at
/// the same moment.
const RETRY_AFTER_JITTER: f64 = 0.2;

/// Service time assumed until the first request has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(1);
/// Lower bound on the mean service time in the drain-rate estimate.
const MIN_SERVICE_SECONDS: f64 = 0.001;
/// Weight of a new sample in the moving average of the service time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.05;

/// A queued or in-flight request that counts against its limits.
#[derive(Debug, Clone)]
struct Admitted {
    tenant: TenantName,
    service: ServiceName,
    expected_tokens: u32,
    started_at: Option<Timestamp>,
}

/// Decides whether each request starts, waits or is refused.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: AdmissionSettings,
    tenants: IndexMap<TenantName, LimitState>,
    services: IndexMap<ServiceName, LimitState>,
    admitted: IndexMap<RequestId, Admitted>,
    in_flight: usize,
    queue: FairQueue,
    capacity: CapacityLimiter,
    shares: DemandShares,
    ended: SlidingCount,
    mean_service_seconds: Option<f64>,
    random: SeededRandom,
}

impl Admission {
    /// Creates a controller without tenant or service limits.
    #[must_use]
    pub fn new(settings: AdmissionSettings, seed: u64) -> Self {
        Self {
            settings,
            tenants: IndexMap::new(),
            services: IndexMap::new(),
            admitted: IndexMap::new(),
            in_flight: 0,
            queue: FairQueue::new(),
            capacity: CapacityLimiter::new(settings),
            shares: DemandShares::new(settings),
            ended: SlidingCount::new(settings.drain_window),
            mean_service_seconds: None,
            random: seeded(seed, "admission"),
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that started and have not finished.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Current limit on requests in flight.
    #[must_use]
    pub const fn in_flight_limit(&self) -> f64 {
        self.capacity.limit()
    }

    /// When [`AdmissionEvent::Tick`] is due; `None` while the queue is empty.
    #[must_use]
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.queue.next_expiry()
    }

    /// Demand at this daemon, for the other daemons.
    #[must_use]
    pub fn demand_report(&self, now: Timestamp) -> DemandReport {
        self.shares.report(now)
    }

    /// Handles an event. The caller must deliver every refusal in the result immediately.
    pub fn handle(&mut self, now: Timestamp, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrived(request) => self.arrived(now, request, &mut actions),
            AdmissionEvent::Waited { queue_wait } => {
                self.capacity.observe_wait(now, queue_wait, self.in_flight);
            }
            AdmissionEvent::Finished { id, used_tokens } => self.finished(now, id, used_tokens),
            AdmissionEvent::Abandoned { id } => self.abandoned(id),
            AdmissionEvent::Tick => self.shares.forget_old(now),
            AdmissionEvent::LimitsChanged { tenants, services } => {
                self.set_tenant_limits(now, tenants);
                self.set_service_limits(now, services);
            }
            AdmissionEvent::DaemonsChanged { live } => self.shares.set_live_daemons(live),
            AdmissionEvent::DemandReported { daemon, report } => {
                self.shares.add_report(now, daemon, report);
                self.shares.forget_old(now);
            }
            AdmissionEvent::CapacityChanged { slots } => self.capacity.set_capacity(slots),
        }
        self.refuse_expired(now, &mut actions);
        self.start_waiting(now, &mut actions);
        actions
    }

    fn arrived(
        &mut self,
        now: Timestamp,
        request: AdmissionRequest,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let id = request.id;
        if self.admitted.contains_key(&id) {
            return;
        }
        let is_limited = self.tenants.contains_key(&request.tenant);
        self.shares
            .arrived(now, is_limited.then_some(&request.tenant));
        self.refresh_shares(now, &request);
        if let Some(refusal) = self.limit_refusal(now, &request) {
            actions.push(AdmissionAction::Refuse(id, refusal));
            return;
        }
        let expected_wait = self.expected_wait(now, &request);
        let latest_start = self.latest_start(now, &request, expected_wait);
        if now + expected_wait > latest_start {
            let refusal = AdmissionRefusal::DeadlineUnreachable {
                expected_wait,
                retry_after: self.retry_after(now),
            };
            actions.push(AdmissionAction::Refuse(id, refusal));
            return;
        }
        if !self.make_room(now, &request, actions) {
            let retry_after = self.retry_after(now);
            let refusal = AdmissionRefusal::Overloaded { retry_after };
            actions.push(AdmissionAction::Refuse(id, refusal));
            return;
        }
        self.admit(now, request, latest_start);
    }

    fn admit(&mut self, now: Timestamp, request: AdmissionRequest, latest_start: Timestamp) {
        let tokens = f64::from(request.expected_tokens);
        if let Some(state) = self.tenants.get_mut(&request.tenant) {
            state.debit(now, tokens);
        }
        if let Some(state) = self.services.get_mut(&request.service) {
            state.debit(now, tokens);
        }
        let admitted = Admitted {
            tenant: request.tenant.clone(),
            service: request.service.clone(),
            expected_tokens: request.expected_tokens,
            started_at: None,
        };
        self.admitted.insert(request.id, admitted);
        self.queue.push(request, latest_start);
    }

    /// Returns whether the queue can take `request`. A full queue may displace a waiting request
    /// that ranks after it.
    fn make_room(
        &mut self,
        now: Timestamp,
        request: &AdmissionRequest,
        actions: &mut Vec<AdmissionAction>,
    ) -> bool {
        if self.queue.len() < self.settings.queue_length || self.may_start() {
            return true;
        }
        let Some(displaced) = self.queue.displacement_candidate(request) else {
            return false;
        };
        let retry_after = self.retry_after(now);
        self.remove_waiting(displaced);
        let refusal = AdmissionRefusal::Displaced { retry_after };
        actions.push(AdmissionAction::Refuse(displaced, refusal));
        true
    }

    fn refuse_expired(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        while let Some(late) = self.queue.pop_expired(now) {
            let id = late.request.id;
            self.refund(id);
            let refusal = AdmissionRefusal::DeadlineUnreachable {
                expected_wait: self.expected_wait(now, &late.request),
                retry_after: self.retry_after(now),
            };
            actions.push(AdmissionAction::Refuse(id, refusal));
        }
    }

    fn start_waiting(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        while self.may_start() {
            let Some(next) = self.queue.pop() else {
                return;
            };
            let id = next.request.id;
            if let Some(admitted) = self.admitted.get_mut(&id) {
                admitted.started_at = Some(now);
            }
            self.in_flight += 1;
            actions.push(AdmissionAction::Start(id));
        }
    }

    fn may_start(&self) -> bool {
        self.in_flight as f64 + 1.0 <= self.capacity.limit()
    }

    fn finished(&mut self, now: Timestamp, id: RequestId, used_tokens: u32) {
        let started_at = self
            .admitted
            .get(&id)
            .and_then(|admitted| admitted.started_at);
        let Some(started_at) = started_at else {
            return;
        };
        let Some(admitted) = self.admitted.swap_remove(&id) else {
            return;
        };
        self.in_flight -= 1;
        self.ended.add(now);
        let service = now.since(started_at).as_secs_f64();
        let mean = self.mean_service_seconds.unwrap_or(service);
        self.mean_service_seconds = Some(mean + SERVICE_SAMPLE_WEIGHT * (service - mean));
        let expected = f64::from(admitted.expected_tokens);
        let used = f64::from(used_tokens);
        if let Some(state) = self.tenants.get_mut(&admitted.tenant) {
            state.finished(expected, used);
        }
        if let Some(state) = self.services.get_mut(&admitted.service) {
            state.finished(expected, used);
        }
    }

    fn abandoned(&mut self, id: RequestId) {
        if self.is_waiting(id) {
            self.remove_waiting(id);
        }
    }

    fn is_waiting(&self, id: RequestId) -> bool {
        let admitted = self.admitted.get(&id);
        admitted.is_some_and(|admitted| admitted.started_at.is_none())
    }

    fn remove_waiting(&mut self, id: RequestId) {
        self.queue.remove(id);
        self.refund(id);
    }

    fn refund(&mut self, id: RequestId) {
        let Some(admitted) = self.admitted.swap_remove(&id) else {
            return;
        };
        let tokens = f64::from(admitted.expected_tokens);
        if let Some(state) = self.tenants.get_mut(&admitted.tenant) {
            state.refund(tokens);
        }
        if let Some(state) = self.services.get_mut(&admitted.service) {
            state.refund(tokens);
        }
    }

    fn limit_refusal(
        &mut self,
        now: Timestamp,
        request: &AdmissionRequest,
    ) -> Option<AdmissionRefusal> {
        let tokens = f64::from(request.expected_tokens);
        let tenant = self.tenants.get_mut(&request.tenant);
        if let Some(exceeded) = tenant.and_then(|state| state.exceeded(now, tokens)) {
            return Some(self.limit_reached(now, LimitScope::Tenant, exceeded));
        }
        let service = self.services.get_mut(&request.service);
        let exceeded = service.and_then(|state| state.exceeded(now, tokens))?;
        Some(self.limit_reached(now, LimitScope::Service, exceeded))
    }

    fn limit_reached(
        &mut self,
        now: Timestamp,
        scope: LimitScope,
        exceeded: Exceeded,
    ) -> AdmissionRefusal {
        let retry_after = match exceeded.wait {
            Some(wait) => self.bounded_retry_after(wait.as_secs_f64()),
            None => self.retry_after(now),
        };
        AdmissionRefusal::LimitReached {
            scope,
            limit: exceeded.kind,
            retry_after,
        }
    }

    fn refresh_shares(&mut self, now: Timestamp, request: &AdmissionRequest) {
        if let Some(state) = self.tenants.get_mut(&request.tenant) {
            state.set_share(now, self.shares.tenant_share(now, &request.tenant));
        }
        if let Some(state) = self.services.get_mut(&request.service) {
            state.set_share(now, self.shares.service_share(now));
        }
    }

    fn set_tenant_limits(&mut self, now: Timestamp, limits: IndexMap<TenantName, Limits>) {
        self.tenants.retain(|tenant, _| limits.contains_key(tenant));
        for (tenant, limits) in limits {
            if let Some(state) = self.tenants.get_mut(&tenant) {
                state.set_limits(now, limits);
                continue;
            }
            let concurrent = self.count_admitted(|admitted| admitted.tenant == tenant);
            let state = LimitState::new(now, limits, concurrent, self.settings.burst);
            self.tenants.insert(tenant, state);
        }
    }

    fn set_service_limits(&mut self, now: Timestamp, limits: IndexMap<ServiceName, Limits>) {
        self.services
            .retain(|service, _| limits.contains_key(service));
        for (service, limits) in limits {
            if let Some(state) = self.services.get_mut(&service) {
                state.set_limits(now, limits);
                continue;
            }
            let concurrent = self.count_admitted(|admitted| admitted.service == service);
            let state = LimitState::new(now, limits, concurrent, self.settings.burst);
            self.services.insert(service, state);
        }
    }

    fn count_admitted(&self, matches: impl Fn(&Admitted) -> bool) -> u32 {
        let count = self
            .admitted
            .values()
            .filter(|admitted| matches(admitted))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Requests that can finish per second: the larger of the measured rate and the in-flight limit
    /// divided by the mean service time. The measured rate alone is too low under light load.
    fn drain_rate(&mut self, now: Timestamp, fallback_service: Duration) -> f64 {
        let window = self.settings.drain_window.as_secs_f64();
        let measured = f64::from(self.ended.count(now)) / window;
        let service = self
            .mean_service_seconds
            .unwrap_or(fallback_service.as_secs_f64());
        let possible = self.capacity.limit() / service.max(MIN_SERVICE_SECONDS);
        measured.max(possible)
    }

    fn expected_wait(&mut self, now: Timestamp, request: &AdmissionRequest) -> Duration {
        if self.may_start() && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.queue.count_ahead_of(request) as f64 + 1.0;
        let seconds = ahead / self.drain_rate(now, request.expected_service);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Latest time at which a request may start. The service margin uses at most half of the time
    /// until the deadline and does not apply to a request that need not wait.
    fn latest_start(
        &self,
        now: Timestamp,
        request: &AdmissionRequest,
        expected_wait: Duration,
    ) -> Timestamp {
        let service = request.expected_service;
        let with_margin = service.mul_f64(self.settings.service_margin);
        let half_remaining = request.deadline.since(now) / 2;
        let needed = if expected_wait.is_zero() {
            service
        } else {
            with_margin.min(half_remaining).max(service)
        };
        let needed = u64::try_from(needed.as_micros()).unwrap_or(u64::MAX);
        Timestamp(request.deadline.0.saturating_sub(needed))
    }

    /// Time until the current queue has drained.
    fn retry_after(&mut self, now: Timestamp) -> Duration {
        let seconds = (self.queue.len() as f64 + 1.0) / self.drain_rate(now, INITIAL_SERVICE_TIME);
        self.bounded_retry_after(seconds)
    }

    fn bounded_retry_after(&mut self, seconds: f64) -> Duration {
        let with_jitter = seconds * (1.0 + RETRY_AFTER_JITTER * self.random.random::<f64>());
        let wait = Duration::try_from_secs_f64(with_jitter).unwrap_or(Duration::MAX);
        wait.clamp(self.settings.min_retry_after, self.settings.max_retry_after)
    }
}
