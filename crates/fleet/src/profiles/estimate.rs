//! Weighted means of log ratios that lose weight with age.

use std::time::{Duration, Instant};

use crate::placement::half_life_decay;

/// Half-life of the weight of a sample. A burst of work lasts a second or two and a back end keeps
/// its speed for minutes, so what is known must outlast a pause without requests.
pub(super) const HALF_LIFE: Duration = Duration::from_secs(12);
/// Weight of the average of the service in the estimate of a back end, as a number of samples. A
/// single time varies within a back end about as much as the averages vary between back ends, so
/// one or two samples say as much as the service does.
const SERVICE_WEIGHT: f64 = 2.0;
/// Share of a back end's deviation in one kind of work that is expected in another kind.
const SHARED_DEVIATION: f64 = 0.7;
/// Evidence of less weight than this counts as unknown.
const MIN_WEIGHT: f64 = 0.1;
/// Greatest deviation of a sample from the estimate that counts, as a natural logarithm (a factor
/// of two). Times beyond it contain waiting or other work of the machine.
const MAX_DEVIATION: f64 = std::f64::consts::LN_2;
/// Number of back ends at the average that the average of a service starts from, so that the first
/// back ends with samples do not define it.
const AVERAGE_BACK_ENDS: f64 = 8.0;

/// Log ratios of measured to expected times, as a weighted mean.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Evidence {
    weight: f64,
    weighted_log: f64,
    /// Time to which the sums have decayed; `None` before the first sample.
    decayed_to: Option<Instant>,
    newest: Option<Instant>,
}

impl Evidence {
    /// Evidence of this weight and mean, whose newest sample was taken at `newest`.
    pub(super) fn of(weight: f64, mean: f64, newest: Instant, now: Instant) -> Self {
        Self {
            weight,
            weighted_log: weight * mean,
            decayed_to: Some(now),
            newest: Some(newest),
        }
    }

    pub(super) fn add(&mut self, log_ratio: f64, weight: f64, now: Instant) {
        self.merge(&Self::of(weight, log_ratio, now, now), now);
    }

    pub(super) fn merge(&mut self, other: &Self, now: Instant) {
        self.decay(now);
        let share = other.remaining_share(now);
        self.weight += other.weight * share;
        self.weighted_log += other.weighted_log * share;
        self.newest = self.newest.max(other.newest);
    }

    /// Limits the weight, so that new samples always count.
    pub(super) fn limit_weight(&mut self, maximum: f64) {
        if self.weight > maximum {
            self.weighted_log *= maximum / self.weight;
            self.weight = maximum;
        }
    }

    fn decay(&mut self, now: Instant) {
        let share = self.remaining_share(now);
        self.weight *= share;
        self.weighted_log *= share;
        self.decayed_to = self.decayed_to.max(Some(now));
    }

    fn remaining_share(&self, now: Instant) -> f64 {
        self.decayed_to
            .map_or(0.0, |since| half_life_decay(since, now, HALF_LIFE))
    }

    pub(super) fn weight(&self, now: Instant) -> f64 {
        self.weight * self.remaining_share(now)
    }

    /// The mean log ratio and its weight; `None` if nothing is known any more.
    pub(super) fn mean(&self, now: Instant) -> Option<Mean> {
        let weight = self.weight(now);
        (weight >= MIN_WEIGHT).then(|| Mean {
            log_ratio: self.weighted_log / self.weight,
            weight,
        })
    }

    pub(super) const fn newest(&self) -> Option<Instant> {
        self.newest
    }
}

/// A mean log ratio.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Mean {
    pub(super) log_ratio: f64,
    pub(super) weight: f64,
}

impl Mean {
    /// How far the mean counts as a property of the back end: 0 without samples, 1 with many.
    fn reliability(self) -> f64 {
        self.weight / (self.weight + SERVICE_WEIGHT)
    }

    /// Deviation from the average of the service, drawn towards `expected` while little is known.
    fn deviation(self, service_average: f64, expected: f64) -> f64 {
        let own = self.log_ratio - service_average;
        expected + self.reliability() * (own - expected)
    }
}

/// Estimates the deviation of a back end in one kind of work. `others` holds the other kinds, each
/// with the average of the service in it. `None` if nothing is known in any kind.
pub(super) fn deviation(
    own: Option<Mean>,
    service_average: f64,
    others: impl Iterator<Item = (Option<Mean>, f64)>,
) -> Option<f64> {
    let mut weight = 0.0;
    let mut weighted = 0.0;
    for (mean, average) in others {
        let Some(mean) = mean else { continue };
        weight += mean.weight;
        weighted += mean.weight * mean.deviation(average, 0.0);
    }
    let borrowed = (weight > 0.0).then(|| SHARED_DEVIATION * weighted / weight);
    let expected = borrowed.unwrap_or_default();
    match own {
        Some(own) => Some(own.deviation(service_average, expected)),
        None => borrowed,
    }
}

/// Average log ratio of a service in one kind of work. Each back end counts as far as its mean is
/// reliable, whatever the number of its samples.
pub(super) fn service_average(means: impl Iterator<Item = Mean>) -> f64 {
    let mut weight = AVERAGE_BACK_ENDS;
    let mut weighted = 0.0;
    for mean in means {
        weight += mean.reliability();
        weighted += mean.reliability() * mean.log_ratio;
    }
    weighted / weight
}

/// The log ratio of a sample, limited to a deviation that a back end may show by itself.
pub(super) fn limit_outlier(log_ratio: f64, estimate: f64) -> f64 {
    log_ratio.clamp(estimate - MAX_DEVIATION, estimate + MAX_DEVIATION)
}
