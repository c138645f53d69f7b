//! Max-min fair sharing among a service's tenants during overload.
//!
//! The work that can be completed on time is distributed over the tenants' demands: small demands
//! are met in full, and the rest is split evenly among the others. Requests of a tenant beyond its
//! share yield to those of other tenants, and are still served by engines that have nothing else to
//! do. Shares are measured in work rather than requests, so one long prompt counts as many short
//! ones.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::work::half_life_decay;
use crate::scarcity::demand::{DemandReport, FleetDemand, MAX_SERVICE_ROWS, ReportMerge};
use crate::scarcity::demand::{PeerDemand, ServiceDemand, TenantRow};
use crate::scarcity::name_hash;

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
/// Minimum capacity as a share of the work that all daemons together did in time.
const MIN_KNOWN_CAPACITY_SHARE: f64 = 0.8;
/// Minimum capacity as a share of the offered work, so that the end of an overload is detected.
const MIN_CAPACITY_SHARE: f64 = 0.1;
/// Minimum prioritized share of a tenant's requests, relative to the average over all tenants.
/// Without it, small demands could fill the engines and leave a large tenant almost nothing.
const MIN_SHARE_OF_AVERAGE: f64 = 0.5;
/// A tenant yields only if its demand exceeds its share by this factor, because the demand seen by
/// one daemon fluctuates.
const MIN_EXCESS_FACTOR: f64 = 2.0;
/// The same while the demand of the whole fleet is known from a sample, which fluctuates less.
const MIN_FLEET_EXCESS_FACTOR: f64 = 1.5;
/// Interval between updates of the fair-share level.
const LEVEL_REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Limit on tenants that no report names; bounds the work of an update.
const MAX_UNNAMED_TENANTS: u16 = 1_024;
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
    /// Demand at the other daemons as of `level_updated_at`; `None` if it is not shared or not
    /// known.
    peers: Option<PeerDemand>,
}

/// Tenant demands by service.
#[derive(Debug, Default)]
pub struct FairShares {
    by_service: HashMap<Arc<str>, Demands>,
    /// Demand at the other daemons; `None` if daemons do not share it.
    fleet: Option<FleetDemand>,
}

/// What a tenant's fair share was decided on, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareInputs {
    /// Work that the tenant wants.
    pub demand: f64,
    /// Work up to which each tenant's demand is met; infinite without overload.
    pub level: f64,
    /// Number of other daemons whose demand is included; 0 if only this daemon's is.
    pub known_daemons: usize,
    /// Age of the oldest news of them.
    pub oldest_news: Duration,
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
        demands.add(offer, self.fleet.as_ref(), now);
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

    /// Shares demands with the other daemons from now on.
    pub fn share_with_peers(&mut self) {
        self.fleet.get_or_insert_default();
    }

    /// Sets the number of daemons of the fleet, including this one.
    pub fn set_daemons(&mut self, daemons: usize) {
        if let Some(fleet) = &mut self.fleet {
            fleet.set_daemons(daemons);
        }
    }

    /// Takes in the demand at another daemon; `None` if demands are not shared.
    pub fn receive(&mut self, report: DemandReport, now: Instant) -> Option<ReportMerge> {
        let fleet = self.fleet.as_mut()?;
        Some(fleet.receive(report, now))
    }

    /// Demand at this daemon, to be sent to others; empty if demands are not shared.
    #[must_use]
    pub fn own_demand(&self, now: Instant) -> Vec<ServiceDemand> {
        if self.fleet.is_none() {
            return Vec::new();
        }
        let mut services: Vec<ServiceDemand> = self
            .by_service
            .iter()
            .map(|(service, demands)| demands.report(service, now))
            .collect();
        services.sort_unstable_by_key(|demand| demand.service);
        services.truncate(MAX_SERVICE_ROWS);
        services
    }

    /// Demand at all other daemons for a service as of the last update of its fair shares; `None` if
    /// it is not shared or not known.
    #[must_use]
    pub fn known_peers(&self, service: &str) -> Option<&PeerDemand> {
        let demands = self.by_service.get(service)?;
        demands.peers.as_ref()
    }

    /// Number of other daemons whose demand is known.
    #[must_use]
    pub fn known_daemons(&self) -> usize {
        self.fleet.as_ref().map_or(0, FleetDemand::known_daemons)
    }

    /// What the fair share of a tenant is decided on at present.
    #[must_use]
    pub fn inputs(&self, service: &str, tenant: &str, now: Instant) -> ShareInputs {
        let Some(demands) = self.by_service.get(service) else {
            return ShareInputs {
                level: f64::INFINITY,
                ..ShareInputs::default()
            };
        };
        let peers = demands.peers.as_ref();
        ShareInputs {
            demand: demands.demand_of(tenant, now),
            level: demands.level,
            known_daemons: peers.map_or(0, |peers| peers.known_daemons),
            oldest_news: peers.map_or(Duration::ZERO, |peers| {
                peers.oldest + now.saturating_duration_since(demands.level_updated_at)
            }),
        }
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
            peers: None,
        }
    }

    fn add(&mut self, offer: OfferedRequest<'_>, fleet: Option<&FleetDemand>, now: Instant) {
        self.by_tenant
            .entry(Arc::clone(offer.tenant))
            .or_insert_with(|| DecayingAmount::zero(DEMAND_HALF_LIFE, now))
            .add(offer.work, now);
        if now.saturating_duration_since(self.level_updated_at) >= LEVEL_REFRESH_INTERVAL {
            self.refresh_peers(offer.service, fleet, now);
            self.update_level(now);
        }
    }

    fn refresh_peers(&mut self, service: &str, fleet: Option<&FleetDemand>, now: Instant) {
        let Some(fleet) = fleet else {
            return;
        };
        let peers = fleet.peers(name_hash(service), now);
        if peers.is_some() != self.peers.is_some() {
            // The capacity of one daemon's share and that of the fleet are different amounts.
            self.capacity = None;
        }
        self.peers = peers;
    }

    fn yielding_share(&self, tenant: &str, now: Instant) -> f64 {
        let demand = self.demand_of(tenant, now);
        let min_excess_factor = if self.peers.is_some() {
            MIN_FLEET_EXCESS_FACTOR
        } else {
            MIN_EXCESS_FACTOR
        };
        if demand > self.level * min_excess_factor {
            (1.0 - self.level / demand).min(self.max_yielding_share)
        } else {
            0.0
        }
    }

    /// Work that a tenant wants, here and at the daemons that are known.
    fn demand_of(&self, tenant: &str, now: Instant) -> f64 {
        let own = self.by_tenant.get(tenant).map(|demand| demand.at(now));
        let peers = self.peers.as_ref().map_or(0.0, |peers| {
            let rows = &peers.sum.tenants;
            let found = rows.binary_search_by_key(&name_hash(tenant), |row| row.tenant);
            found
                .ok()
                .and_then(|index| rows.get(index))
                .map_or(0.0, |row| row.work)
        });
        own.unwrap_or_default() + peers
    }

    /// Demands of all tenants, here and at the daemons that are known. Tenants that no report names
    /// count as equally large.
    fn all_demands(&self, now: Instant) -> Vec<f64> {
        let own = self.by_tenant.iter();
        let Some(peers) = &self.peers else {
            return own.map(|(_tenant, demand)| demand.at(now)).collect();
        };
        let mut by_tenant: BTreeMap<u32, f64> = BTreeMap::new();
        for row in &peers.sum.tenants {
            by_tenant.insert(row.tenant, row.work);
        }
        for (tenant, demand) in own {
            *by_tenant.entry(name_hash(tenant)).or_default() += demand.at(now);
        }
        let unnamed = peers.sum.rest_tenants.min(MAX_UNNAMED_TENANTS);
        let unnamed_work = peers.sum.rest / f64::from(unnamed.max(1));
        let unnamed = usize::from(unnamed);
        let named = by_tenant.into_values();
        named
            .chain(std::iter::repeat_n(unnamed_work, unnamed))
            .collect()
    }

    fn report(&self, service: &str, now: Instant) -> ServiceDemand {
        let tenants = self.by_tenant.iter().map(|(tenant, demand)| TenantRow {
            tenant: name_hash(tenant),
            work: demand.at(now),
        });
        let mut report = ServiceDemand {
            service: name_hash(service),
            prioritized: self.prioritized.at(now),
            prioritized_in_time: self.prioritized_in_time.at(now),
            in_time: self.in_time.at(now),
            tenants: tenants.collect(),
            ..ServiceDemand::default()
        };
        report.limit_tenants();
        report
    }

    fn update_level(&mut self, now: Instant) {
        self.by_tenant
            .retain(|_tenant, demand| demand.at(now) > NEGLIGIBLE_WORK);
        let demands = self.all_demands(now);
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
        let of_peers = |amount: fn(&ServiceDemand) -> f64| {
            self.peers.as_ref().map_or(0.0, |peers| amount(&peers.sum))
        };
        let prioritized = self.prioritized.at(now) + of_peers(|sum| sum.prioritized);
        if prioritized < NEGLIGIBLE_WORK {
            return self.capacity;
        }
        let prioritized_in_time =
            self.prioritized_in_time.at(now) + of_peers(|sum| sum.prioritized_in_time);
        let in_time_share = prioritized_in_time / prioritized;
        let in_time = self.in_time.at(now) + of_peers(|sum| sum.in_time);
        let next = match self.capacity {
            None if in_time_share < OVERLOADED_BELOW => in_time,
            None => return None,
            Some(capacity) if in_time_share < OVERLOADED_BELOW => capacity * (1.0 - CAPACITY_STEP),
            Some(capacity) if in_time_share > SPARE_CAPACITY_ABOVE => {
                capacity * (1.0 + CAPACITY_STEP)
            }
            Some(capacity) => capacity,
        };
        // What all daemons together did in time is known, and news of it lags: steps while it is
        // under way would lead far below it.
        let next = if self.peers.is_some() {
            next.max(in_time * MIN_KNOWN_CAPACITY_SHARE)
        } else {
            next
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
