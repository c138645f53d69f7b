//! Work that this daemon's requests bring, as a rate.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::stages::StageWork;

/// Time over which work and arrivals are averaged, in seconds.
pub(super) const AVERAGED_S: f64 = 1.5;
/// Work below which a service is forgotten, in engine-seconds a second.
const NEGLIGIBLE: f64 = 1e-4;

/// What a peer told is forgotten after this long.
const REPORT_LIFE: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Average {
    work: StageWork,
    at: Instant,
}

/// Work by service, averaged with exponential weights.
#[derive(Debug, Default)]
pub struct WorkMeter {
    by_service: HashMap<Arc<str>, Average>,
}

impl WorkMeter {
    /// Adds engine-seconds of work.
    pub fn add(&mut self, service: &Arc<str>, work: StageWork, now: Instant) {
        let average = self
            .by_service
            .entry(Arc::clone(service))
            .or_insert_with(|| Average {
                work: StageWork::default(),
                at: now,
            });
        average.decay(now);
        average.work.add(work.times(1.0 / AVERAGED_S));
    }

    /// Work of each service in engine-seconds a second.
    pub fn rates(&mut self, now: Instant) -> Vec<(Arc<str>, StageWork)> {
        for average in self.by_service.values_mut() {
            average.decay(now);
        }
        self.by_service
            .retain(|_service, average| average.work.total() > NEGLIGIBLE);
        self.by_service
            .iter()
            .map(|(service, average)| (Arc::clone(service), average.work))
            .collect()
    }
}

/// What peers told of the work that their requests bring.
#[derive(Debug, Default)]
pub struct PeerWork {
    by_peer: HashMap<u64, PeerReport>,
}

#[derive(Debug)]
struct PeerReport {
    heard: Instant,
    rates: Vec<(Arc<str>, StageWork)>,
}

impl PeerWork {
    /// Takes what a peer tells; `origin` is a hash that tells it from others.
    pub fn receive(&mut self, origin: u64, rates: Vec<(Arc<str>, StageWork)>, now: Instant) {
        let told = PeerReport { heard: now, rates };
        self.by_peer.insert(origin, told);
    }

    /// Own work and that of all peers. Those that were not heard are taken to bring as much as the others.
    pub fn with_own(
        &mut self,
        own: &[(Arc<str>, StageWork)],
        daemons: usize,
        now: Instant,
    ) -> Vec<(Arc<str>, StageWork)> {
        self.by_peer
            .retain(|_peer, told| now.saturating_duration_since(told.heard) < REPORT_LIFE);
        let heard = self.by_peer.len() + 1;
        #[expect(clippy::cast_precision_loss, reason = "a few hundred daemons")]
        let scale = daemons.max(heard) as f64 / heard as f64;
        let mut sums: Vec<(Arc<str>, StageWork)> = Vec::new();
        let told = self.by_peer.values().flat_map(|told| &told.rates);
        for (service, work) in own.iter().chain(told) {
            let known = sums.iter_mut().find(|(known, _sum)| known == service);
            match known {
                Some((_service, sum)) => sum.add(*work),
                None => sums.push((Arc::clone(service), *work)),
            }
        }
        for (_service, sum) in &mut sums {
            *sum = sum.times(scale);
        }
        sums
    }
}

impl Average {
    fn decay(&mut self, now: Instant) {
        self.work = self.work.times(kept_since(self.at, now));
        self.at = now;
    }
}

/// Part that is left of something that halves in each half-life.
pub(super) fn halved_since(since: Instant, now: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(since).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}

/// Part of an average over [`AVERAGED_S`] that is left of what it was at `since`.
pub(super) fn kept_since(since: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(since).as_secs_f64();
    (-elapsed / AVERAGED_S).exp()
}
