//! Metrics of the sharing of room: who gets it, and which refused callers come back.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClaimLabels {
    kind: &'static str,
    decision: &'static str,
    tenant: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReturnLabels {
    result: &'static str,
}

/// Values of the gauges, which are read periodically.
#[derive(Debug, Clone, Copy, Default)]
pub struct ScarcityValues {
    /// Requests that the plain back ends work on at once.
    pub plain_slots: u64,
    /// Requests known to be at plain back ends, from all daemons.
    pub plain_requests: u64,
    /// Daemons whose demand is known.
    pub known_daemons: usize,
}

/// Metrics of the sharing of room.
#[derive(Default)]
pub struct ScarcityMetrics {
    claims: Family<ClaimLabels, Counter>,
    returns: Family<ReturnLabels, Counter>,
    plain_slots: Gauge,
    plain_requests: Gauge,
    known_daemons: Gauge,
}

impl ScarcityMetrics {
    /// Registers all metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "room_claims",
            "Requests that asked for room, by kind, decision and whether their tenant exceeds its fair share",
            metrics.claims.clone(),
        );
        registry.register(
            "returns",
            "Refused callers: told a time, told too late, back early, back at their time",
            metrics.returns.clone(),
        );
        registry.register(
            "plain_slots",
            "Requests that plain back ends work on at once",
            metrics.plain_slots.clone(),
        );
        registry.register(
            "plain_requests",
            "Requests known at plain back ends",
            metrics.plain_requests.clone(),
        );
        registry.register(
            "demand_known_daemons",
            "Daemons whose demand by tenant is known",
            metrics.known_daemons.clone(),
        );
        metrics
    }

    pub(crate) fn claim(&self, kind: &'static str, decision: &'static str, yields: bool) {
        let tenant = if yields {
            "beyond_share"
        } else {
            "within_share"
        };
        let labels = ClaimLabels {
            kind,
            decision,
            tenant,
        };
        self.claims.get_or_create(&labels).inc();
    }

    pub(crate) fn caller_returns(&self, result: &'static str) {
        self.returns.get_or_create(&ReturnLabels { result }).inc();
    }

    pub(crate) fn set(&self, values: ScarcityValues) {
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.plain_slots.set(number(values.plain_slots));
        self.plain_requests.set(number(values.plain_requests));
        self.known_daemons
            .set(i64::try_from(values.known_daemons).unwrap_or(i64::MAX));
    }
}
