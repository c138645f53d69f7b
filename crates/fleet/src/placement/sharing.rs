//! What this daemon tells the others of its demand, and how theirs changes its decisions.

use std::sync::Arc;
use std::time::Instant;

use super::{MS_PER_S, Placement};
use crate::configuration::Stage;
use crate::directory::BackEnd;
use crate::scarcity::demand::ServiceDemand;
use crate::scarcity::name_hash;

impl Placement {
    /// Shares out room among priorities and tenants over all daemons from now on.
    pub fn share_out_room(&mut self) {
        self.is_scarce = true;
        self.fairness.share_with_peers();
        self.load.average_peers();
    }

    /// Whether room is shared out among priorities and tenants over all daemons.
    #[must_use]
    pub const fn is_scarce(&self) -> bool {
        self.is_scarce
    }

    /// Sets the number of serving daemons, including this one.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons;
        self.fairness.set_daemons(daemons);
    }

    /// Demand at this daemon, to be sent to others; empty if demands are not shared.
    #[must_use]
    pub fn own_demand(&self, now: Instant) -> Vec<ServiceDemand> {
        let mut demands = self.fairness.own_demand(now);
        for (service, prefill_per_s, decode_per_s) in self.arrivals.per_s(now) {
            let hash = name_hash(&service);
            let demand = demands.iter_mut().find(|demand| demand.service == hash);
            if let Some(demand) = demand {
                demand.prefill_arrivals = prefill_per_s;
                demand.decode_arrivals = decode_per_s;
            }
        }
        demands
    }

    /// Prompts per millisecond that arrive at each of these engines for prefill. While it is not
    /// known what the other daemons send, every one is assumed to send about as many as this one.
    #[expect(
        clippy::cast_precision_loss,
        reason = "at most tens of thousands of daemons and engines"
    )]
    pub(super) fn arrivals_per_engine_per_ms(&self, engines: &[Arc<BackEnd>], stage: Stage) -> f64 {
        let Some(first) = engines.first() else {
            return 0.0;
        };
        let own_per_ms = self.arrivals.per_ms(&first.service, stage);
        let peers = self.fairness.known_peers(&first.service);
        let fleet_per_ms = peers.map_or(own_per_ms * self.daemons as f64, |peers| {
            let peers_per_s = match stage {
                Stage::Prefill => peers.sum.prefill_arrivals,
                Stage::Decode => peers.sum.decode_arrivals,
            };
            own_per_ms + peers_per_s / MS_PER_S
        });
        fleet_per_ms / self.ready_engines(engines, stage) as f64
    }
}
