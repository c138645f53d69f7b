//! This daemon's share of system-wide limits.
//!
//! `share = coverage * demand share + (1 - coverage) / live daemons`, where `coverage` is the
//! fraction of the other live daemons with a fresh report. The demand share is the own part of the
//! total demand, plus a small even part for every live daemon.

use indexmap::IndexMap;

use super::settings::AdmissionSettings;
use crate::{MachineId, TenantName, Timestamp};

/// Demand of a tenant at one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantDemand {
    /// The tenant.
    pub tenant: TenantName,
    /// Arriving requests per second, whether admitted or not.
    pub requests_per_second: f64,
}

/// Demand that a daemon reports to the others.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DemandReport {
    /// Requests per second over all tenants.
    pub total_requests_per_second: f64,
    /// Demand of the tenants with limits. Tenants not listed have no demand at that daemon.
    pub tenants: Vec<TenantDemand>,
}

/// Demand below which a tenant is dropped.
const NEGLIGIBLE_REQUESTS_PER_SECOND: f64 = 0.000_1;
/// Fraction of the total demand that is split evenly over live daemons on top of their own demand,
/// so that a daemon without demand for a tenant still has a share when the tenant's requests
/// arrive.
const GRANTED_SHARE: f64 = 0.1;

#[derive(Debug, Clone, Copy, Default)]
struct DecayingRate {
    rate: f64,
    updated_at: Timestamp,
}

impl DecayingRate {
    fn value(self, now: Timestamp, time_constant: f64) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / time_constant).exp()
    }

    fn with_one_more(self, now: Timestamp, time_constant: f64) -> Self {
        Self {
            rate: self.value(now, time_constant) + 1.0 / time_constant,
            updated_at: now,
        }
    }
}

#[derive(Debug, Clone)]
struct Report {
    received_at: Timestamp,
    total: f64,
    demands: IndexMap<TenantName, f64>,
}

/// Demand of each tenant at this daemon and, as reported, at the other daemons.
#[derive(Debug, Clone)]
pub struct DemandShares {
    settings: AdmissionSettings,
    live_daemons: u32,
    total: DecayingRate,
    own: IndexMap<TenantName, DecayingRate>,
    reports: IndexMap<MachineId, Report>,
}

impl DemandShares {
    /// Creates shares for a single live daemon without demand.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            live_daemons: 1,
            total: DecayingRate::default(),
            own: IndexMap::new(),
            reports: IndexMap::new(),
        }
    }

    /// Sets the number of live daemons, including this one.
    pub fn set_live_daemons(&mut self, live: u32) {
        self.live_daemons = live.max(1);
    }

    /// Records an arriving request. `limited_tenant` is its tenant if that tenant has limits.
    pub fn arrived(&mut self, now: Timestamp, limited_tenant: Option<&TenantName>) {
        let time_constant = self.settings.demand_time.as_secs_f64();
        self.total = self.total.with_one_more(now, time_constant);
        if let Some(tenant) = limited_tenant {
            let held = self.own.get(tenant).copied().unwrap_or_default();
            let rate = held.with_one_more(now, time_constant);
            self.own.insert(tenant.clone(), rate);
        }
    }

    /// Stores another daemon's report, replacing its previous one.
    pub fn add_report(&mut self, now: Timestamp, daemon: MachineId, report: DemandReport) {
        let usable = report
            .tenants
            .into_iter()
            .filter(|demand| demand.requests_per_second > 0.0)
            .map(|demand| (demand.tenant, demand.requests_per_second));
        let report = Report {
            received_at: now,
            total: report.total_requests_per_second.max(0.0),
            demands: usable.collect(),
        };
        self.reports.insert(daemon, report);
    }

    /// This daemon's report for the others.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> DemandReport {
        let time_constant = self.settings.demand_time.as_secs_f64();
        let demands = self.own.iter().map(|(tenant, rate)| TenantDemand {
            tenant: tenant.clone(),
            requests_per_second: rate.value(now, time_constant),
        });
        DemandReport {
            total_requests_per_second: self.total.value(now, time_constant),
            tenants: demands.collect(),
        }
    }

    /// Drops expired reports and tenants with negligible demand.
    pub fn forget_old(&mut self, now: Timestamp) {
        let age = self.settings.demand_report_age;
        let time_constant = self.settings.demand_time.as_secs_f64();
        self.reports
            .retain(|_, report| now.since(report.received_at) < age);
        self.own
            .retain(|_, rate| rate.value(now, time_constant) > NEGLIGIBLE_REQUESTS_PER_SECOND);
    }

    /// This daemon's share of a tenant's limits, above 0 and at most 1.
    #[must_use]
    pub fn tenant_share(&self, now: Timestamp, tenant: &TenantName) -> f64 {
        let time_constant = self.settings.demand_time.as_secs_f64();
        let own = self
            .own
            .get(tenant)
            .map_or(0.0, |rate| rate.value(now, time_constant));
        let fresh = self.fresh_reports(now);
        let others: f64 = fresh
            .iter()
            .map(|report| report.demands.get(tenant).copied().unwrap_or(0.0))
            .sum();
        self.share(own, others, fresh.len())
    }

    /// This daemon's share of a service's limits, which apply to all tenants together.
    #[must_use]
    pub fn service_share(&self, now: Timestamp) -> f64 {
        let time_constant = self.settings.demand_time.as_secs_f64();
        let own = self.total.value(now, time_constant);
        let fresh = self.fresh_reports(now);
        let others = fresh.iter().map(|report| report.total).sum();
        self.share(own, others, fresh.len())
    }

    fn fresh_reports(&self, now: Timestamp) -> Vec<&Report> {
        let age = self.settings.demand_report_age;
        let fresh = self.reports.values();
        fresh
            .filter(|report| now.since(report.received_at) < age)
            .collect()
    }

    fn share(&self, own: f64, others: f64, reports: usize) -> f64 {
        let live = f64::from(self.live_daemons);
        let total_demand = own + others;
        if self.live_daemons == 1 {
            return 1.0;
        }
        let reports = f64::from(u32::try_from(reports).unwrap_or(u32::MAX));
        let report_coverage = (reports / (live - 1.0)).min(1.0);
        let granted = total_demand * GRANTED_SHARE / live;
        let by_demand = if total_demand > 0.0 {
            (own + granted) / (total_demand * (1.0 + GRANTED_SHARE))
        } else {
            1.0 / live
        };
        report_coverage * by_demand + (1.0 - report_coverage) / live
    }
}
