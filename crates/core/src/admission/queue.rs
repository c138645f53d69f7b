//! Fair queue: ordered by priority, then weighted fairness between tenants, then deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use indexmap::IndexMap;

use super::event::AdmissionRequest;
use crate::{RequestId, TenantName, Timestamp};

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub request: AdmissionRequest,
    /// Latest time at which it may start; it is refused afterwards.
    pub latest_start: Timestamp,
}

#[derive(Debug, Clone, Default)]
struct TenantQueue {
    /// Ordered by deadline, then arrival.
    waiting: BTreeMap<(Timestamp, u64), QueuedRequest>,
    /// Virtual time at which the tenant's next request may start.
    virtual_start: f64,
    weight: u32,
}

impl TenantQueue {
    /// Queued requests per unit of weight.
    fn backlog(&self) -> f64 {
        self.waiting.len() as f64 / f64::from(self.weight.max(1))
    }
}

#[derive(Debug, Clone, Default)]
struct Level {
    tenants: IndexMap<TenantName, TenantQueue>,
    virtual_time: f64,
    waiting: usize,
}

#[derive(Debug, Clone)]
struct QueuePosition {
    level: u8,
    tenant: TenantName,
    key: (Timestamp, u64),
}

/// Queued requests of one daemon. The caller enforces the bound on its length.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    levels: BTreeMap<u8, Level>,
    positions: IndexMap<RequestId, QueuePosition>,
    latest_starts: BTreeSet<(Timestamp, RequestId)>,
    arrivals: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, request: AdmissionRequest, latest_start: Timestamp) {
        self.arrivals += 1;
        let key = (request.deadline, self.arrivals);
        let position = QueuePosition {
            level: request.level,
            tenant: request.tenant.clone(),
            key,
        };
        self.positions.insert(request.id, position);
        self.latest_starts.insert((latest_start, request.id));
        let level = self.levels.entry(request.level).or_default();
        level.waiting += 1;
        let virtual_time = level.virtual_time;
        let tenant = level.tenants.entry(request.tenant.clone()).or_default();
        tenant.weight = request.weight.max(1);
        if tenant.waiting.is_empty() {
            tenant.virtual_start = tenant.virtual_start.max(virtual_time);
        }
        let queued = QueuedRequest {
            request,
            latest_start,
        };
        tenant.waiting.insert(key, queued);
    }

    /// Removes and returns the request that starts next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (_, level) = self
            .levels
            .iter_mut()
            .find(|(_, level)| level.waiting > 0)?;
        let tenant = level
            .tenants
            .values_mut()
            .filter(|tenant| !tenant.waiting.is_empty())
            .min_by(|left, right| left.virtual_start.total_cmp(&right.virtual_start))?;
        level.virtual_time = level.virtual_time.max(tenant.virtual_start);
        tenant.virtual_start += 1.0 / f64::from(tenant.weight.max(1));
        let id = tenant.waiting.first_key_value()?.1.request.id;
        self.remove(id)
    }

    /// Removes a request from any position in the queue.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let position = self.positions.swap_remove(&id)?;
        let level = self.levels.get_mut(&position.level)?;
        let tenant = level.tenants.get_mut(&position.tenant)?;
        let queued = tenant.waiting.remove(&position.key)?;
        level.waiting -= 1;
        self.latest_starts.remove(&(queued.latest_start, id));
        level.remove_idle_tenants();
        if level.waiting == 0 {
            self.levels.remove(&position.level);
        }
        Some(queued)
    }

    /// Removes and returns a request that can no longer meet its deadline.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        let &(latest_start, id) = self.latest_starts.first()?;
        if latest_start >= now {
            return None;
        }
        self.remove(id)
    }

    /// Earliest time at which a queued request can no longer meet its deadline.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let &(latest_start, _) = self.latest_starts.first()?;
        Some(latest_start + Duration::from_micros(1))
    }

    /// The queued request that a full queue displaces for `request`, if any.
    ///
    /// It is taken from the lowest priority level: from the tenant with the largest backlog per
    /// weight, the request with the latest deadline. Within the level of `request`, that backlog
    /// must exceed the backlog that the tenant of `request` would have.
    #[must_use]
    pub fn displacement_candidate(&self, request: &AdmissionRequest) -> Option<RequestId> {
        let (&lowest, level) = self
            .levels
            .iter()
            .rev()
            .find(|(_, level)| level.waiting > 0)?;
        if lowest < request.level {
            return None;
        }
        let largest = level
            .tenants
            .values()
            .max_by(|left, right| left.backlog().total_cmp(&right.backlog()))?;
        if lowest == request.level {
            let own = level.tenants.get(&request.tenant);
            let waiting = own.map_or(0, |tenant| tenant.waiting.len()) + 1;
            let backlog = waiting as f64 / f64::from(request.weight.max(1));
            if backlog >= largest.backlog() {
                return None;
            }
        }
        let (_, last) = largest.waiting.last_key_value()?;
        Some(last.request.id)
    }

    /// Estimated number of queued requests that would start before `request`.
    #[must_use]
    pub fn count_ahead_of(&self, request: &AdmissionRequest) -> usize {
        let higher = self.levels.range(..request.level);
        let higher: usize = higher.map(|(_, level)| level.waiting).sum();
        let Some(level) = self.levels.get(&request.level) else {
            return higher;
        };
        let own = level
            .tenants
            .get(&request.tenant)
            .map_or(0, |tenant| tenant.waiting.len());
        let own_weight = f64::from(request.weight.max(1));
        let rounds = (own as f64 + 1.0) / own_weight;
        let others = level
            .tenants
            .iter()
            .filter(|(name, _)| **name != request.tenant);
        let from_others: f64 = others
            .map(|(_, tenant)| {
                let turns = (rounds * f64::from(tenant.weight)).ceil();
                turns.min(tenant.waiting.len() as f64)
            })
            .sum();
        higher + own + to_count(from_others)
    }
}

impl Level {
    /// Removes idle tenants, except those that are still ahead of their fair share in virtual time.
    fn remove_idle_tenants(&mut self) {
        let virtual_time = self.virtual_time;
        self.tenants
            .retain(|_, tenant| !tenant.waiting.is_empty() || tenant.virtual_start > virtual_time);
    }
}

fn to_count(value: f64) -> usize {
    value.max(0.0) as usize
}
