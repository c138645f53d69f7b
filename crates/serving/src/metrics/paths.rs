//! Metrics of cut paths to back ends and of relayed connections.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::{Metrics, ReasonLabels, ResultLabels, register_default, saturating_i64};

/// Values of the gauges of paths.
#[derive(Debug, Clone, Copy, Default)]
pub struct PathGaugeValues {
    /// Back ends that are not reached directly.
    pub cut: usize,
    /// Own connections that peers relay.
    pub through_peers: u32,
    /// Connections that this daemon relays for peers.
    pub relayed: usize,
}

pub(super) struct PathMetrics {
    cuts: Family<ReasonLabels, Counter>,
    relay_failures: Counter,
    relay_answers: Family<ResultLabels, Counter>,
    unreadable_queries: Counter,
    cut: Gauge,
    through_peers: Gauge,
    relayed: Gauge,
}

impl PathMetrics {
    pub(super) fn new(r: &mut Registry) -> Self {
        Self {
            cuts: register_default(
                r,
                "back_end_paths_cut",
                "Paths to back ends that were found to be cut, by how connections failed",
            ),
            relay_failures: register_default(
                r,
                "relay_failures",
                "Peers that did not relay a connection to a back end",
            ),
            relay_answers: register_default(
                r,
                "relay_answers",
                "Answers to peers that asked for a connection to a back end",
            ),
            unreadable_queries: register_default(
                r,
                "unreadable_peer_queries",
                "Queries of peers that could not be decoded",
            ),
            cut: register_default(
                r,
                "back_end_paths_cut_now",
                "Back ends that are reached through peers only",
            ),
            through_peers: register_default(
                r,
                "connections_through_peers",
                "Own connections to back ends that peers relay",
            ),
            relayed: register_default(
                r,
                "relayed_connections",
                "Connections to back ends that are relayed for peers",
            ),
        }
    }

    pub(super) fn set(&self, values: PathGaugeValues) {
        self.cut.set(saturating_i64(values.cut));
        self.through_peers.set(saturating_i64(values.through_peers));
        self.relayed.set(saturating_i64(values.relayed));
    }
}

impl Metrics {
    pub(crate) fn path_cut(&self, reason: &'static str) {
        let cuts = &self.paths.cuts;
        cuts.get_or_create(&ReasonLabels { reason }).inc();
    }

    pub(crate) fn relay_not_available(&self) {
        self.paths.relay_failures.inc();
    }

    pub(crate) fn relay_answer(&self, result: &'static str) {
        let answers = &self.paths.relay_answers;
        answers.get_or_create(&ResultLabels { result }).inc();
    }

    pub(crate) fn unreadable_peer_query(&self) {
        self.paths.unreadable_queries.inc();
    }
}
