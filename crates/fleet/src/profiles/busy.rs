//! Quantile of how far single times exceed the average of their back end.

/// Bounds of the histogram, as natural logarithms: a quarter to eight times the average.
const LOG_BOUNDS: (f64, f64) = (-1.386, 2.08);
/// Number of buckets; each is wide enough for a step of 7%.
const BUCKETS: usize = 48;
/// Number of samples at which all counts are halved, so that the quantile follows the load of the
/// machines within a minute or so.
const MAX_SAMPLES: f64 = 600.0;
/// Number of assumed samples without variation, so that the first samples do not set the quantile.
const ASSUMED_SAMPLES: f64 = 20.0;
/// Number of samples after which the quantile is computed again.
const SAMPLES_PER_UPDATE: u32 = 8;

/// Decayed histogram of the log ratio of a time to the average of its back end.
#[derive(Debug, Clone)]
pub(super) struct Variation {
    counts: [f64; BUCKETS],
    samples: f64,
    samples_since_update: u32,
    quantile: f64,
}

impl Default for Variation {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            samples: 0.0,
            samples_since_update: 0,
            quantile: 1.0,
        }
    }
}

impl Variation {
    /// Adds a sample; `share` is the share of samples that the quantile covers.
    pub(super) fn add(&mut self, log_ratio: f64, share: f64) {
        self.counts[bucket_of(log_ratio)] += 1.0;
        self.samples += 1.0;
        if self.samples >= MAX_SAMPLES {
            for count in &mut self.counts {
                *count /= 2.0;
            }
            self.samples /= 2.0;
        }
        self.samples_since_update += 1;
        if self.samples_since_update >= SAMPLES_PER_UPDATE {
            self.samples_since_update = 0;
            self.quantile = self.quantile_now(share);
        }
    }

    /// Ratio to the average that the given share of samples does not exceed; at least 1.
    pub(super) const fn quantile(&self) -> f64 {
        self.quantile
    }

    /// Counts down from the slowest bucket to the one that contains the quantile.
    fn quantile_now(&self, share: f64) -> f64 {
        let allowed = (self.samples + ASSUMED_SAMPLES) * (1.0 - share);
        let mut above = 0.0;
        for (bucket, count) in self.counts.iter().enumerate().rev() {
            above += count;
            if above > allowed {
                return upper_bound(bucket).exp().max(1.0);
            }
        }
        1.0
    }
}

#[expect(clippy::cast_precision_loss, reason = "a small number")]
const fn bucket_width() -> f64 {
    (LOG_BOUNDS.1 - LOG_BOUNDS.0) / BUCKETS as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts saturate, and the bucket is limited"
)]
fn bucket_of(log_ratio: f64) -> usize {
    let bucket = ((log_ratio - LOG_BOUNDS.0) / bucket_width()).floor();
    (bucket as usize).min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "a small number")]
fn upper_bound(bucket: usize) -> f64 {
    LOG_BOUNDS.0 + (bucket + 1) as f64 * bucket_width()
}
