//! Rates of work caused by the requests of this daemon and its peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::stages::StageWork;

/// Time constant of the averages of work and arrivals, in seconds.
pub(super) const AVERAGING_TIME_S: f64 = 1.5;
/// Services with less work than this are removed, in engine-seconds per second.
const NEGLIGIBLE_WORK: f64 = 1e-4;

/// Reports of peers expire after this time.
const REPORT_TTL: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Average {
    work: StageWork,
    at: Instant,
}

/// Exponentially weighted work by service.
#[derive(Debug, Default)]
pub struct WorkMeter {
    by_service: HashMap<Arc<str>, Average>,
}

impl WorkMeter {
    /// Adds work in engine-seconds.
    pub fn add(&mut self, service: &Arc<str>, work: StageWork, now: Instant) {
        let average = self
            .by_service
            .entry(Arc::clone(service))
            .or_insert_with(|| Average {
                work: StageWork::default(),
                at: now,
            });
        average.decay(now);
        average.work.add(work.scaled(1.0 / AVERAGING_TIME_S));
    }

    /// Work of each service, in engine-seconds per second.
    pub fn rates(&mut self, now: Instant) -> Vec<(Arc<str>, StageWork)> {
        for average in self.by_service.values_mut() {
            average.decay(now);
        }
        self.by_service
            .retain(|_service, average| average.work.total() > NEGLIGIBLE_WORK);
        self.by_service
            .iter()
            .map(|(service, average)| (Arc::clone(service), average.work))
            .collect()
    }
}

/// Work reported by peers.
#[derive(Debug, Default)]
pub struct PeerWork {
    by_peer: HashMap<u64, PeerReport>,
}

#[derive(Debug)]
struct PeerReport {
    received_at: Instant,
    rates: Vec<(Arc<str>, StageWork)>,
}

impl PeerWork {
    /// Stores the report of a peer; `origin` is a hash that identifies the peer.
    pub fn receive(&mut self, origin: u64, rates: Vec<(Arc<str>, StageWork)>, now: Instant) {
        let report = PeerReport {
            received_at: now,
            rates,
        };
        self.by_peer.insert(origin, report);
    }

    /// Sum of the work of this daemon and its peers, scaled up for daemons that have not reported.
    pub fn fleet_rates(
        &mut self,
        own: &[(Arc<str>, StageWork)],
        daemons: usize,
        now: Instant,
    ) -> Vec<(Arc<str>, StageWork)> {
        self.by_peer
            .retain(|_peer, report| now.saturating_duration_since(report.received_at) < REPORT_TTL);
        let reporting = self.by_peer.len() + 1;
        #[expect(clippy::cast_precision_loss, reason = "a few hundred daemons")]
        let scale = daemons.max(reporting) as f64 / reporting as f64;
        let mut sums: Vec<(Arc<str>, StageWork)> = Vec::new();
        let report = self.by_peer.values().flat_map(|report| &report.rates);
        for (service, work) in own.iter().chain(report) {
            let known = sums.iter_mut().find(|(known, _sum)| known == service);
            match known {
                Some((_service, sum)) => sum.add(*work),
                None => sums.push((Arc::clone(service), *work)),
            }
        }
        for (_service, sum) in &mut sums {
            *sum = sum.scaled(scale);
        }
        sums
    }
}

impl Average {
    fn decay(&mut self, now: Instant) {
        self.work = self.work.scaled(average_decay(self.at, now));
        self.at = now;
    }
}

/// Remaining share of an amount with this half-life.
pub(crate) fn half_life_decay(since: Instant, now: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(since).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}

/// Remaining share of an average with time constant [`AVERAGING_TIME_S`].
pub(super) fn average_decay(since: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(since).as_secs_f64();
    (-elapsed / AVERAGING_TIME_S).exp()
}
