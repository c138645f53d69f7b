//! Max-min fair sharing among a service's tenants during overload.
//!
//! The work that can be completed on time is distributed over the tenants' demands: small demands
//! are met in full, and the rest is split evenly among the others. Requests of a tenant beyond its
//! share yield to those of other tenants, and are still served by engines that have nothing else to
//! do. Shares are measured in work rather than requests, so one long prompt counts as many short
//! ones.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::work::half_life_decay;

/// Half-life of demand averages: long compared with a request, short compared with a burst.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// Half-life of the on-time share of prioritized work; shorter because it must follow the load.
const IN_TIME_HALF_LIFE: Duration = Duration::from_secs(3);
/// Overload begins when less than this share of prioritized work can be on time. Well below 1
/// because the few requests that one daemon sees fluctuate.
const OVERLOADED_BELOW: f64 = 0.8;
/// Capacity is raised while more than this share of prioritized work can be on time.
const SPARE_CAPACITY_ABOVE: f64 = 0.92;
/// Relative change of the capacity per update.
const CAPACITY_STEP: f64 = 0.05;
/// Minimum capacity as a share of the offered work, so that the end of an overload is detected.
const MIN_CAPACITY_SHARE: f64 = 0.1;
/// Minimum prioritized share of a tenant's requests, relative to the average over all tenants.
/// Without it, small demands could fill the engines and leave a large tenant almost nothing.
const MIN_SHARE_OF_AVERAGE: f64 = 0.5;
/// A tenant yields only if its demand exceeds its share by this factor, because the demand seen by
/// one daemon fluctuates.
const MIN_EXCESS_FACTOR: f64 = 2.0;
/// Interval between updates of the fair-share level.
const LEVEL_REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Tenants with less work than this are removed.
const NEGLIGIBLE_WORK: f64 = 1e-3;

/// An exponentially decaying amount.
#[derive(Debug, Clone, Copy)]
struct DecayingAmount {
    amount: f64,
    half_life: Duration,
    at: Instant,
}

impl DecayingAmount {
    const fn zero(half_life: Duration, now: Instant) -> Self {
        Self {
            amount: 0.0,
            half_life,
            at: now,
        }
    }

    fn at(&self, now: Instant) -> f64 {
        self.amount * half_life_decay(self.at, now, self.half_life)
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.amount = self.at(now) + amount;
        self.at = now;
    }
}

#[derive(Debug)]
struct Demands {
    by_tenant: HashMap<Arc<str>, DecayingAmount>,
    /// Prioritized work that could be on time, over [`DEMAND_HALF_LIFE`].
    in_time: DecayingAmount,
    /// All prioritized work, over [`IN_TIME_HALF_LIFE`].
    prioritized: DecayingAmount,
    /// Prioritized work that could be on time, over [`IN_TIME_HALF_LIFE`].
    prioritized_in_time: DecayingAmount,
    /// Work distributed among the tenants; `None` while there is no overload.
    capacity: Option<f64>,
    /// Work up to which each tenant's demand is met.
    level: f64,
    /// Upper bound of the share of a tenant's requests that yields.
    max_yielding_share: f64,
    level_updated_at: Instant,
}

/// Tenant demands by service.
#[derive(Debug, Default)]
pub struct FairShares {
    by_service: HashMap<Arc<str>, Demands>,
}

/// A request for which engines are being chosen.
#[derive(Debug, Clone, Copy)]
pub struct OfferedRequest<'a> {
    /// Service of the request.
    pub service: &'a Arc<str>,
    /// Tenant of the request.
    pub tenant: &'a Arc<str>,
    /// Work caused by the request.
    pub work: f64,
    /// Whether the engines can complete it on time.
    pub can_be_in_time: bool,
}

impl FairShares {
    /// Decides whether a request yields to those of other tenants. `draw` is a random number in
    /// `0.0..1.0`: only a share of the requests of a tenant above its fair share yields.
    pub fn yields(&mut self, offer: OfferedRequest<'_>, draw: f64, now: Instant) -> bool {
        let demands = self
            .by_service
            .entry(Arc::clone(offer.service))
            .or_insert_with(|| Demands::none(now));
        demands.add(offer, now);
        let yields = draw < demands.yielding_share(offer.tenant, now);
        if !yields {
            demands.prioritized.add(offer.work, now);
            if offer.can_be_in_time {
                demands.prioritized_in_time.add(offer.work, now);
                demands.in_time.add(offer.work, now);
            }
        }
        yields
    }

    /// Share of a tenant's requests that yield; 0 if the tenant is within its fair share or there
    /// is no overload.
    #[must_use]
    pub fn yielding_share(&self, service: &str, tenant: &str, now: Instant) -> f64 {
        let demands = self.by_service.get(service);
        demands.map_or(0.0, |demands| demands.yielding_share(tenant, now))
    }
}

impl Demands {
    fn none(now: Instant) -> Self {
        Self {
            by_tenant: HashMap::new(),
            in_time: DecayingAmount::zero(DEMAND_HALF_LIFE, now),
            prioritized: DecayingAmount::zero(IN_TIME_HALF_LIFE, now),
            prioritized_in_time: DecayingAmount::zero(IN_TIME_HALF_LIFE, now),
            capacity: None,
            level: f64::INFINITY,
            max_yielding_share: 0.0,
            level_updated_at: now,
        }
    }

    fn add(&mut self, offer: OfferedRequest<'_>, now: Instant) {
        self.by_tenant
            .entry(Arc::clone(offer.tenant))
            .or_insert_with(|| DecayingAmount::zero(DEMAND_HALF_LIFE, now))
            .add(offer.work, now);
        if now.saturating_duration_since(self.level_updated_at) >= LEVEL_REFRESH_INTERVAL {
            self.update_level(now);
        }
    }

    fn yielding_share(&self, tenant: &str, now: Instant) -> f64 {
        let demand = self.by_tenant.get(tenant).map(|demand| demand.at(now));
        match demand {
            Some(demand) if demand > self.level * MIN_EXCESS_FACTOR => {
                (1.0 - self.level / demand).min(self.max_yielding_share)
            }
            _ => 0.0,
        }
    }

    fn update_level(&mut self, now: Instant) {
        self.by_tenant
            .retain(|_tenant, demand| demand.at(now) > NEGLIGIBLE_WORK);
        let demands: Vec<f64> = self
            .by_tenant
            .values()
            .map(|demand| demand.at(now))
            .collect();
        let offered = demands.iter().sum();
        self.capacity = self.next_capacity(offered, now);
        let capacity = self.capacity.unwrap_or(f64::INFINITY);
        self.max_yielding_share = 1.0 - MIN_SHARE_OF_AVERAGE * (capacity / offered).min(1.0);
        self.level = level(demands, capacity);
        self.level_updated_at = now;
    }

    /// Adjusts the capacity: raises it while nearly all prioritized work is on time and lowers it
    /// while too much is late.
    fn next_capacity(&self, offered: f64, now: Instant) -> Option<f64> {
        let prioritized = self.prioritized.at(now);
        if prioritized < NEGLIGIBLE_WORK {
            return self.capacity;
        }
        let in_time_share = self.prioritized_in_time.at(now) / prioritized;
        let next = match self.capacity {
            None if in_time_share < OVERLOADED_BELOW => self.in_time.at(now),
            None => return None,
            Some(capacity) if in_time_share < OVERLOADED_BELOW => capacity * (1.0 - CAPACITY_STEP),
            Some(capacity) if in_time_share > SPARE_CAPACITY_ABOVE => {
                capacity * (1.0 + CAPACITY_STEP)
            }
            Some(capacity) => capacity,
        };
        (next < offered).then_some(next.max(offered * MIN_CAPACITY_SHARE))
    }
}

/// Level at which the demands, each capped at the level, add up to `capacity`.
fn level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    let mut tenants_left = demands.len();
    for demand in demands {
        #[expect(clippy::cast_precision_loss, reason = "a few thousand tenants")]
        let share = left / tenants_left as f64;
        if demand > share {
            return share;
        }
        left -= demand;
        tenants_left -= 1;
    }
    f64::INFINITY
}
