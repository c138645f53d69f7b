//! Work that this daemon's requests bring, as a rate.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use crate::stages::StageWork;

/// Time over which work is averaged, in seconds.
const AVERAGED_S: f64 = 1.5;
/// Work below which a service is forgotten, in engine-seconds a second.
const NEGLIGIBLE: f64 = 1e-4;

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
        average.work.prefill += work.prefill / AVERAGED_S;
        average.work.decode += work.decode / AVERAGED_S;
    }

    /// Work of each service in engine-seconds a second.
    pub fn rates(&mut self, now: Instant) -> Vec<(Arc<str>, StageWork)> {
        for average in self.by_service.values_mut() {
            average.decay(now);
        }
        self.by_service
            .retain(|_service, average| average.work.prefill + average.work.decode > NEGLIGIBLE);
        self.by_service
            .iter()
            .map(|(service, average)| (Arc::clone(service), average.work))
            .collect()
    }
}

impl Average {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-elapsed / AVERAGED_S).exp();
        self.work.prefill *= kept;
        self.work.decode *= kept;
        self.at = now;
    }
}
