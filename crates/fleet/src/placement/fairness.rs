//! Max-min fair shares of a service's tenants while its engines cannot serve all in time.
//!
//! The work that can be in time is dealt out as if poured over the tenants' demands: small ones are met whole, and what is
//! left is shared evenly by the rest. A tenant that asks for more stands behind with what is beyond its share; engines that
//! have nothing else to do serve it all the same. In work, not in requests: one long prompt counts as many short ones.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::work::halved_since;

/// Demands are averaged with this half-life: long against one request, short against a burst of a minute.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The same for how much of the work that does not yield can be in time: it has to follow the load.
const FIT_HALF_LIFE: Duration = Duration::from_secs(3);
/// Tenants yield once less than this part of the work can be in time: the few requests that one daemon sees swing down to
/// 0.9 in calm times, too,
const OVERLOADED_BELOW: f64 = 0.8;
/// and yield less as long as more than this part of what does not yield can be.
const ROOM_ABOVE: f64 = 0.92;
/// Change of the work that is dealt out, from one working out to the next: it doubles or halves within four seconds.
const CAPACITY_STEP: f64 = 0.05;
/// Part of the offered work that is dealt out at the least, so that the end of an overload shows.
const LEAST_DEALT_OUT: f64 = 0.1;
/// However much a tenant asks for, requests of it that do not yield are this part of what all tenants get on average: small
/// demands alone may fill the engines, and it would get next to nothing.
const LEAST_OF_AVERAGE: f64 = 0.5;
/// A tenant yields only if it asks for more than so many times its share: one daemon sees few requests of a tenant, whose
/// number varies by as much.
const LEAST_EXCESS: f64 = 2.0;
/// The level of the shares is worked out anew after this long.
const LEVEL_LIFE: Duration = Duration::from_millis(250);
/// Tenants with less work than this are forgotten.
const NEGLIGIBLE: f64 = 1e-3;

/// An amount that halves with time.
#[derive(Debug, Clone, Copy)]
struct Decayed {
    amount: f64,
    half_life: Duration,
    at: Instant,
}

impl Decayed {
    const fn nothing(half_life: Duration, now: Instant) -> Self {
        Self {
            amount: 0.0,
            half_life,
            at: now,
        }
    }

    fn at(&self, now: Instant) -> f64 {
        self.amount * halved_since(self.at, now, self.half_life)
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.amount = self.at(now) + amount;
        self.at = now;
    }
}

#[derive(Debug)]
struct Demands {
    by_tenant: HashMap<Arc<str>, Decayed>,
    /// Work that could be in time and did not yield.
    in_time: Decayed,
    /// Work that did not yield, lately, and that of it which could be in time.
    unyielding: Decayed,
    fitting: Decayed,
    /// Work that is dealt out; none while there is no overload.
    capacity: Option<f64>,
    /// Work up to which each tenant's demand is met, and when it was worked out.
    level: f64,
    /// The largest part of any tenant's requests that yields.
    most_yielding: f64,
    level_at: Instant,
}

/// Demands of tenants, by service.
#[derive(Debug, Default)]
pub struct FairShares {
    by_service: HashMap<Arc<str>, Demands>,
}

/// A request that engines are chosen for.
#[derive(Debug, Clone, Copy)]
pub struct OfferedRequest<'a> {
    /// Its service.
    pub service: &'a Arc<str>,
    /// Whose it is.
    pub tenant: &'a Arc<str>,
    /// Work that it brings.
    pub work: f64,
    /// Whether engines can do it in time.
    pub can_be_in_time: bool,
}

impl FairShares {
    /// Decides whether a request stands behind those of other tenants. `draw` is a random number from 0 to 1: of a tenant
    /// beyond its share, a part of the requests yields.
    pub fn yields(&mut self, offer: OfferedRequest<'_>, draw: f64, now: Instant) -> bool {
        let demands = self
            .by_service
            .entry(Arc::clone(offer.service))
            .or_insert_with(|| Demands::none(now));
        demands.add(offer, now);
        let yields = draw < demands.excess(offer.tenant, now);
        if !yields {
            demands.unyielding.add(offer.work, now);
            if offer.can_be_in_time {
                demands.fitting.add(offer.work, now);
                demands.in_time.add(offer.work, now);
            }
        }
        yields
    }

    /// Share of a tenant's requests that yield; 0 where it keeps within its share, or all can be served.
    #[must_use]
    pub fn excess(&self, service: &str, tenant: &str, now: Instant) -> f64 {
        let demands = self.by_service.get(service);
        demands.map_or(0.0, |demands| demands.excess(tenant, now))
    }
}

impl Demands {
    fn none(now: Instant) -> Self {
        Self {
            by_tenant: HashMap::new(),
            in_time: Decayed::nothing(HALF_LIFE, now),
            unyielding: Decayed::nothing(FIT_HALF_LIFE, now),
            fitting: Decayed::nothing(FIT_HALF_LIFE, now),
            capacity: None,
            level: f64::INFINITY,
            most_yielding: 0.0,
            level_at: now,
        }
    }

    fn add(&mut self, offer: OfferedRequest<'_>, now: Instant) {
        self.by_tenant
            .entry(Arc::clone(offer.tenant))
            .or_insert_with(|| Decayed::nothing(HALF_LIFE, now))
            .add(offer.work, now);
        if now.saturating_duration_since(self.level_at) >= LEVEL_LIFE {
            self.work_out_level(now);
        }
    }

    fn excess(&self, tenant: &str, now: Instant) -> f64 {
        let demand = self.by_tenant.get(tenant).map(|demand| demand.at(now));
        match demand {
            Some(demand) if demand > self.level * LEAST_EXCESS => {
                (1.0 - self.level / demand).min(self.most_yielding)
            }
            _ => 0.0,
        }
    }

    fn work_out_level(&mut self, now: Instant) {
        self.by_tenant
            .retain(|_tenant, demand| demand.at(now) > NEGLIGIBLE);
        let demands: Vec<f64> = self
            .by_tenant
            .values()
            .map(|demand| demand.at(now))
            .collect();
        let offered = demands.iter().sum();
        self.capacity = self.next_capacity(offered, now);
        let capacity = self.capacity.unwrap_or(f64::INFINITY);
        self.most_yielding = 1.0 - LEAST_OF_AVERAGE * (capacity / offered).min(1.0);
        self.level = level(demands, capacity);
        self.level_at = now;
    }

    /// Follows what can be in time: more is dealt out while all that does not yield fits, less while much does not.
    fn next_capacity(&self, offered: f64, now: Instant) -> Option<f64> {
        let unyielding = self.unyielding.at(now);
        if unyielding < NEGLIGIBLE {
            return self.capacity;
        }
        let fits = self.fitting.at(now) / unyielding;
        let next = match self.capacity {
            None if fits < OVERLOADED_BELOW => self.in_time.at(now),
            None => return None,
            Some(capacity) if fits < OVERLOADED_BELOW => capacity * (1.0 - CAPACITY_STEP),
            Some(capacity) if fits > ROOM_ABOVE => capacity * (1.0 + CAPACITY_STEP),
            Some(capacity) => capacity,
        };
        (next < offered).then_some(next.max(offered * LEAST_DEALT_OUT))
    }
}

/// The level at which demands that are met up to it add up to `capacity`.
fn level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    let mut sharers = demands.len();
    for demand in demands {
        #[expect(clippy::cast_precision_loss, reason = "a few thousand tenants")]
        let share = left / sharers as f64;
        if demand > share {
            return share;
        }
        left -= demand;
        sharers -= 1;
    }
    f64::INFINITY
}
