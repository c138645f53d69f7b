//! What the tenants of each service want and get, over all daemons.
//!
//! A daemon sees a small, random part of the requests, so its own view of a tenant is mostly
//! chance. Each daemon therefore reports its largest tenants and the sum of the others about once a
//! second to a few daemons. A receiver keeps the newest report of each origin; of more origins than
//! it can keep, those with the smallest rank. Both rules depend only on the set of reports, not on
//! their order or number, so lost, repeated and reordered reports change nothing but its age.
//!
//! The known origins are a sample: their sum is scaled to all daemons. While too few are known, the
//! demand of the fleet is unknown and callers of this module use their own view.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Tenants of one service in one report; the others are summed. Covers all tenants that can have a
/// share worth limiting: the largest of that many has less than a twentieth.
pub const MAX_TENANT_ROWS: usize = 20;
/// Services in one report.
pub const MAX_SERVICE_ROWS: usize = 4;
/// Origins whose reports are kept. A sample of this size shows the share of a tenant with a tenth
/// of the demand to within a fifth of it.
pub const MAX_ORIGINS: usize = 192;
/// Reports older than this say nothing about the demand any more: bursts last a few seconds.
pub const REPORT_TTL: Duration = Duration::from_secs(8);
/// The demand of the fleet is known if reports of at least this many other daemons are, however large
/// the fleet: their sum shows a tenant with a tenth of the demand to within half of it.
const MIN_KNOWN_DAEMONS: usize = 24;
/// In a smaller fleet, reports of this share of the other daemons.
const MIN_KNOWN_SHARE: f64 = 0.2;
/// No report counts for more work per service than this; protects the sums from corrupt values.
const MAX_WORK: f64 = 1e12;

/// Demand of one tenant at one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantRow {
    /// Hash of the tenant's name.
    pub tenant: u32,
    /// Work that its requests want, as a decaying sum.
    pub work: f64,
}

/// Demand for one service at one daemon. All amounts of work are decaying sums.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceDemand {
    /// Hash of the service's name.
    pub service: u32,
    /// Work of requests that do not yield.
    pub prioritized: f64,
    /// Part of `prioritized` that could be in time.
    pub prioritized_in_time: f64,
    /// Work that could be in time, over the half-life of the tenants' demands.
    pub in_time: f64,
    /// Prompts per second that prefill engines process.
    pub prefill_arrivals: f64,
    /// Prompts per second that decode engines process.
    pub decode_arrivals: f64,
    /// The largest tenants, in descending order of work.
    pub tenants: Vec<TenantRow>,
    /// Work of all other tenants.
    pub rest: f64,
    /// Number of other tenants.
    pub rest_tenants: u16,
}

impl ServiceDemand {
    /// Moves all but the largest tenants into the rest.
    pub fn limit_tenants(&mut self) {
        self.tenants.sort_unstable_by(|left, right| {
            right
                .work
                .total_cmp(&left.work)
                .then(left.tenant.cmp(&right.tenant))
        });
        let others = self
            .tenants
            .split_off(self.tenants.len().min(MAX_TENANT_ROWS));
        self.rest += others.iter().map(|row| row.work).sum::<f64>();
        let others = u16::try_from(others.len()).unwrap_or(u16::MAX);
        self.rest_tenants = self.rest_tenants.saturating_add(others);
    }

    /// Whether every amount is one that a daemon can have measured.
    fn is_plausible(&self) -> bool {
        let amounts = [
            self.prioritized,
            self.prioritized_in_time,
            self.in_time,
            self.prefill_arrivals,
            self.decode_arrivals,
            self.rest,
        ];
        let tenants = self.tenants.iter().map(|row| row.work);
        self.tenants.len() <= MAX_TENANT_ROWS
            && amounts
                .into_iter()
                .chain(tenants)
                .all(|amount| (0.0..=MAX_WORK).contains(&amount))
    }
}

/// Demand at one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandReport {
    /// Hash of the daemon's name and start, which identifies this run of it.
    pub origin: u64,
    /// Sequence number; of two reports of an origin, the higher one holds.
    pub sequence: u32,
    /// Demand by service.
    pub services: Vec<ServiceDemand>,
}

/// What became of a received report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMerge {
    /// It is kept.
    Kept,
    /// It is not newer than the known one of its origin.
    Known,
    /// Enough other origins with a smaller rank are known.
    NotSampled,
    /// It holds more rows than allowed, or amounts that cannot have been measured.
    Implausible,
}

#[derive(Debug)]
struct Received {
    report: DemandReport,
    at: Instant,
}

/// Sum over all other daemons, extrapolated from those that are known.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerDemand {
    /// Sums of the amounts; `tenants` holds every tenant that a known report names.
    pub sum: ServiceDemand,
    /// Number of daemons whose reports were summed.
    pub known_daemons: usize,
    /// Age of the oldest of these reports.
    pub oldest: Duration,
}

/// Newest reports of other daemons.
#[derive(Debug)]
pub struct FleetDemand {
    by_origin: BTreeMap<u64, Received>,
    daemons: usize,
}

impl Default for FleetDemand {
    fn default() -> Self {
        Self {
            by_origin: BTreeMap::new(),
            daemons: 1,
        }
    }
}

impl FleetDemand {
    /// Sets the number of daemons of the fleet, including this one.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Takes in a report of another daemon.
    pub fn receive(&mut self, report: DemandReport, now: Instant) -> ReportMerge {
        let is_plausible = report.services.len() <= MAX_SERVICE_ROWS
            && report.services.iter().all(ServiceDemand::is_plausible);
        if !is_plausible {
            return ReportMerge::Implausible;
        }
        self.expire(now);
        let origin = report.origin;
        if let Some(known) = self.by_origin.get(&origin)
            && known.report.sequence >= report.sequence
        {
            return ReportMerge::Known;
        }
        let received = Received { report, at: now };
        self.by_origin.insert(origin, received);
        if self.by_origin.len() <= MAX_ORIGINS {
            return ReportMerge::Kept;
        }
        let last = self.by_origin.keys().copied().max_by_key(sample_rank);
        if let Some(last) = last {
            self.by_origin.remove(&last);
        }
        if last == Some(origin) {
            ReportMerge::NotSampled
        } else {
            ReportMerge::Kept
        }
    }

    fn expire(&mut self, now: Instant) {
        self.by_origin
            .retain(|_origin, known| now.saturating_duration_since(known.at) < REPORT_TTL);
    }

    /// Demand of all other daemons for a service; `None` while too few of them are known.
    #[must_use]
    pub fn peers(&self, service: u32, now: Instant) -> Option<PeerDemand> {
        let fresh: Vec<&Received> = self
            .by_origin
            .values()
            .filter(|known| now.saturating_duration_since(known.at) < REPORT_TTL)
            .collect();
        let others = self.daemons.saturating_sub(1).max(fresh.len());
        let scale = as_f64(others) / as_f64(fresh.len().max(1));
        let is_known = fresh.len() >= MIN_KNOWN_DAEMONS || 1.0 / scale >= MIN_KNOWN_SHARE;
        if fresh.is_empty() || !is_known {
            return None;
        }
        let mut tenants: BTreeMap<u32, f64> = BTreeMap::new();
        let mut sum = ServiceDemand {
            service,
            ..ServiceDemand::default()
        };
        let demands = fresh.iter().flat_map(|known| &known.report.services);
        for demand in demands.filter(|demand| demand.service == service) {
            sum.prioritized += demand.prioritized * scale;
            sum.prioritized_in_time += demand.prioritized_in_time * scale;
            sum.in_time += demand.in_time * scale;
            sum.prefill_arrivals += demand.prefill_arrivals * scale;
            sum.decode_arrivals += demand.decode_arrivals * scale;
            sum.rest += demand.rest * scale;
            sum.rest_tenants = sum.rest_tenants.max(demand.rest_tenants);
            for row in &demand.tenants {
                *tenants.entry(row.tenant).or_default() += row.work * scale;
            }
        }
        sum.tenants = tenants
            .into_iter()
            .map(|(tenant, work)| TenantRow { tenant, work })
            .collect();
        sum.tenants.sort_unstable_by_key(|row| row.tenant);
        let ages = fresh
            .iter()
            .map(|known| now.saturating_duration_since(known.at));
        Some(PeerDemand {
            sum,
            known_daemons: fresh.len(),
            oldest: ages.max().unwrap_or_default(),
        })
    }

    /// Number of daemons of which a report is kept.
    #[must_use]
    pub fn known_daemons(&self) -> usize {
        self.by_origin.len()
    }
}

/// Order in which origins are kept; unrelated to what they report.
fn sample_rank(origin: &u64) -> (u64, u64) {
    (xxh3_64(&origin.to_le_bytes()), *origin)
}

#[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
const fn as_f64(count: usize) -> f64 {
    count as f64
}
